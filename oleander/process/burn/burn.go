// Package burn measures service-level burn: how fast each client account and
// class uses up the share of calls that may go wrong.
//
// A call is good if it was answered whole and its first part came in time, or
// if it was refused for a reason that lies with the caller. The burn rate over
// a window is the share of calls that were not good, divided by the share that
// the objective allows: 1 uses the allowance up exactly, 10 ten times as fast.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/request/front"
)

const (
	// Allowed is the share of calls that may go wrong: the objective is 99 in 100.
	ErrorBudget = 0.01
	// step is the length of one counter; the windows are multiples of it.
	step = 10 * time.Second
	// steps are kept, enough for the longest window.
	steps = int(LongWindow / step)
)

// The windows: a short one that shows a fault while it lasts, and a long one
// that shows whether it matters.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// InTime is how soon the first part of an answer must come, by class.
var LatencyObjectives = map[config.Class]time.Duration{
	config.Urgent:      2 * time.Second,
	config.Interactive: 30 * time.Second,
	config.Batch:       12 * time.Hour,
}

// maxSeries bounds the accounts and classes that are counted.
const maxSeries = 4096

// Row is the burn of one client account and class, on one instance or, after
// Merge, on several.
type Row struct {
	Account id.Account   `json:"account"`
	Class   config.Class `json:"class"`
	Short   Count        `json:"short"`
	Long    Count        `json:"long"`
}

// Count counts calls.
type Count struct {
	Calls uint64 `json:"calls"`
	Bad   uint64 `json:"bad"`
}

// Burn returns the burn rate of the count; 0 without calls.
func (c Count) BurnRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls) / ErrorBudget
}

func (c Count) plus(o Count) Count { return Count{c.Calls + o.Calls, c.Bad + o.Bad} }

type seriesKey struct {
	account id.Account
	class   config.Class
}

// slot counts the calls of one step; number says which step it holds.
type slot struct {
	number int64
	count  Count
}

// Recorder counts the calls of one instance. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	now    func() time.Time
	series map[seriesKey]*[steps]slot
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{now: time.Now, series: make(map[seriesKey]*[steps]slot)}
}

// Observe counts one call.
func (r *Recorder) Observe(o front.Outcome) {
	good := o.Good
	if limit, ok := LatencyObjectives[o.Class]; ok && o.Reason == "" && o.Took > limit {
		good = false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	k := seriesKey{o.Account, o.Class}
	s, ok := r.series[k]
	if !ok {
		if len(r.series) >= maxSeries {
			return
		}
		s = new([steps]slot)
		r.series[k] = s
	}
	n := r.step()
	at := &s[n%int64(steps)]
	if at.number != n {
		*at = slot{number: n}
	}
	at.count.Calls++
	if !good {
		at.count.Bad++
	}
}

func (r *Recorder) step() int64 { return r.now().UnixNano() / int64(step) }

// Snapshot returns the rows, sorted by account and class.
func (r *Recorder) Snapshot() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.step()
	rows := make([]Row, 0, len(r.series))
	for k, s := range r.series {
		row := Row{Account: k.account, Class: k.class}
		for _, at := range s {
			age := n - at.number
			if age >= 0 && age < int64(steps) {
				row.Long = row.Long.plus(at.count)
			}
			if age >= 0 && age < int64(ShortWindow/step) {
				row.Short = row.Short.plus(at.count)
			}
		}
		if row.Long.Calls > 0 {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Class, b.Class))
	})
}

// Merge adds up the rows of several instances.
func Merge(all ...[]Row) []Row {
	sums := make(map[seriesKey]Row)
	for _, rows := range all {
		for _, row := range rows {
			k := seriesKey{row.Account, row.Class}
			sum := sums[k]
			sums[k] = Row{row.Account, row.Class, sum.Short.plus(row.Short), sum.Long.plus(row.Long)}
		}
	}
	merged := make([]Row, 0, len(sums))
	for _, row := range sums {
		merged = append(merged, row)
	}
	sortRows(merged)
	return merged
}
