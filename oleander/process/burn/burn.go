// Package burn measures the burn rate: how fast each client account and class uses up
// its error budget, the share of calls that may fail.
//
// A call is good if it was answered completely and its first byte came within the
// latency objective, or if it was refused for a reason that lies with the caller. The
// burn rate over a window is the share of bad calls divided by the error budget: 1
// uses up the budget exactly, 10 uses it up ten times as fast.
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
	// ErrorBudget is the share of calls that may be bad: the objective is 99 in 100.
	ErrorBudget = 0.01
	// stepLength is the time that one counter covers; windows are multiples of it.
	stepLength = 10 * time.Second
	// stepCount is the number of counters of a series, enough for LongWindow.
	stepCount = int(LongWindow / stepLength)
)

// ShortWindow shows a failure while it lasts, LongWindow whether it is significant.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// LatencyObjectives is the longest time to first byte of a good answer, by class.
var LatencyObjectives = map[config.Class]time.Duration{
	config.Urgent:      2 * time.Second,
	config.Interactive: 30 * time.Second,
	config.Batch:       12 * time.Hour,
}

// maxSeries limits the pairs of account and class that are counted; further ones are
// ignored.
const maxSeries = 4096

// Row holds the counts of one client account and class, on one instance or, after
// Merge, on several.
type Row struct {
	Account id.Account   `json:"account"`
	Class   config.Class `json:"class"`
	Short   Count        `json:"short"`
	Long    Count        `json:"long"`
}

// Count counts all calls and the bad ones.
type Count struct {
	Calls uint64 `json:"calls"`
	Bad   uint64 `json:"bad"`
}

// BurnRate returns the burn rate; it is 0 without calls.
func (c Count) BurnRate() float64 {
	if c.Calls == 0 {
		return 0
	}
	return float64(c.Bad) / float64(c.Calls) / ErrorBudget
}

func (c Count) add(o Count) Count { return Count{c.Calls + o.Calls, c.Bad + o.Bad} }

type seriesKey struct {
	account id.Account
	class   config.Class
}

// stepCounter counts the calls of one step, numbered from the Unix epoch.
type stepCounter struct {
	step  int64
	count Count
}

// Recorder counts the calls of one instance. It is safe for concurrent use.
type Recorder struct {
	mu     sync.Mutex
	now    func() time.Time
	series map[seriesKey]*[stepCount]stepCounter
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{now: time.Now, series: make(map[seriesKey]*[stepCount]stepCounter)}
}

// Observe counts one call.
func (r *Recorder) Observe(o front.Observation) {
	good := o.Good
	if objective, ok := LatencyObjectives[o.Class]; ok && o.Reason == "" && o.Latency > objective {
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
		s = new([stepCount]stepCounter)
		r.series[k] = s
	}
	current := r.currentStep()
	counter := &s[current%int64(stepCount)]
	if counter.step != current {
		*counter = stepCounter{step: current}
	}
	counter.count.Calls++
	if !good {
		counter.count.Bad++
	}
}

func (r *Recorder) currentStep() int64 { return r.now().UnixNano() / int64(stepLength) }

// Snapshot returns the rows with calls in the long window, sorted by account and class.
func (r *Recorder) Snapshot() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.currentStep()
	rows := make([]Row, 0, len(r.series))
	for k, s := range r.series {
		row := Row{Account: k.account, Class: k.class}
		for _, counter := range s {
			age := current - counter.step
			if age >= 0 && age < int64(stepCount) {
				row.Long = row.Long.add(counter.count)
			}
			if age >= 0 && age < int64(ShortWindow/stepLength) {
				row.Short = row.Short.add(counter.count)
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

// Merge sums the rows of several instances by account and class.
func Merge(all ...[]Row) []Row {
	sums := make(map[seriesKey]Row)
	for _, rows := range all {
		for _, row := range rows {
			k := seriesKey{row.Account, row.Class}
			sum := sums[k]
			sums[k] = Row{row.Account, row.Class, sum.Short.add(row.Short), sum.Long.add(row.Long)}
		}
	}
	merged := make([]Row, 0, len(sums))
	for _, row := range sums {
		merged = append(merged, row)
	}
	sortRows(merged)
	return merged
}
