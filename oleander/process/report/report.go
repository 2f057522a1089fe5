// Package report reads what a fleet logged and tells how callers were served:
// the four measures of the users' brief, the burn of the latency objectives, and
// where the time of late answers went.
package report

import (
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/oleander/process/burn"
	"oleanderdale.org/oleander/process/logline"
)

// Settings of a Report.
type Settings struct {
	// Window is the shorter of the two over which burn is told; the longer one
	// has LongWindows of them.
	Window time.Duration
}

// LongWindows is how many windows make the longer one, as five minutes and an
// hour do.
const LongWindowFactor = 12

// Builder takes lines. A request keeps 64 bytes.
type Builder struct {
	set        Settings
	names      map[string]string // one copy of each text
	requests   []request
	limits     map[string][]limit
	places     map[place]*residence
	lines      int
	omitted    int
	unreadable int
	from, to   time.Time
}

// request is what is kept of a request's last line.
type request struct {
	arrived int64 // Unix nanoseconds
	ended   int64
	series  string
	account string
	reason  string
	cause   Cause // of a late one
	cost    float64
	limit   int32 // milliseconds that it waited for tokens
	first   int32 // milliseconds
	cold    bool
	result  result
	sends   uint8
}

// limit of an account from a moment on.
type limit struct {
	since       int64
	rate, burst float64
}

// New returns a Builder without lines.
func New(s Settings) *Builder {
	return &Builder{set: s, names: make(map[string]string), limits: make(map[string][]limit), places: make(map[place]*residence)}
}

// Read takes all lines of r.
func (b *Builder) Read(r io.Reader) error {
	unreadable, err := logline.ForEach(r, b.take)
	b.unreadable += unreadable
	return err
}

// Lines returns how many lines were read.
func (b *Builder) LineCount() int { return b.lines }

func (b *Builder) take(text []byte) bool {
	l, ok := decode(text)
	if !ok {
		return false
	}
	b.lines++
	if !l.Time.IsZero() {
		if b.from.IsZero() || l.Time.Before(b.from) {
			b.from = l.Time
		}
		if l.Time.After(b.to) {
			b.to = l.Time
		}
	}
	switch {
	case l.Message == messageRequest:
		b.takeRequest(&l)
	case l.Message == messageOrder:
		b.takeOrder(&l)
	case l.Message == messageLimit:
		name := b.intern(l.Account)
		b.limits[name] = append(b.limits[name], limit{l.Time.UnixNano(), l.Rate, l.Burst})
	case strings.HasPrefix(l.Message, logline.DroppedLinesPrefix):
		b.omitted++
	}
	return true
}

func (b *Builder) intern(name string) string {
	if s, ok := b.names[name]; ok {
		return s
	}
	name = strings.Clone(name)
	b.names[name] = name
	return name
}

func (b *Builder) takeRequest(l *line) {
	r := request{
		arrived: l.Time.Add(-time.Duration(l.Total) * time.Millisecond).UnixNano(), ended: l.Time.UnixNano(),
		series: b.intern(l.series()), account: b.intern(l.Account), reason: b.intern(l.why()), cost: l.Cost,
		limit: int32(l.Limit), first: int32(l.First), cold: l.WaitMod > 0, result: l.result(), sends: uint8(min(l.Sends, 255)),
	}
	if r.result == late {
		r.cause = l.cause()
	}
	b.requests = append(b.requests, r)
	if l.Model != "" && l.Server != "" {
		b.used(place{b.intern(l.Server), b.intern(l.Model)}, r.arrived, r.ended)
	}
}

// Report is what the lines say.
type Report struct {
	From        time.Time               `json:"from"`
	To          time.Time               `json:"to"`
	Lines       int                     `json:"lines"`
	Unreadable  int                     `json:"unreadable"`
	DropNotices int                     `json:"lines_that_tell_of_left_out_ones"`
	Requests    int                     `json:"requests"`
	ColdStarts  Quantiles               `json:"cold_starts"`
	Idle        Idle                    `json:"idle"`
	Accounts    []Account               `json:"accounts"`
	Burn        []Series                `json:"burn"`
	Windows     []Window                `json:"windows"`
	Reasons     map[string]int          `json:"reasons"`
	Resent      int                     `json:"sent_more_than_once"`
	Late        map[Cause]LateResponses `json:"late"`
}

// Quantiles of times in milliseconds.
type Quantiles struct {
	Count int   `json:"count"`
	P50   int32 `json:"p50_ms"`
	P90   int32 `json:"p90_ms"`
	P99   int32 `json:"p99_ms"`
	Max   int32 `json:"worst_ms"`

	all []int32
}

// Lateness is the late answers of one cause.
type LateResponses struct {
	Count     int       `json:"count"`
	FirstByte Quantiles `json:"first"`
}

// Counts are requests by how they ended.
type Counts struct {
	InTime             int `json:"in_time"`
	Late               int `json:"late"`
	Refused            int `json:"refused"`
	Failed             int `json:"failed"`
	CallerDisconnected int `json:"caller_gone"`
}

func (c *Counts) add(r result) {
	switch r {
	case inTime:
		c.InTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	case failed:
		c.Failed++
	case gone:
		c.CallerDisconnected++
	}
}

// calls are those that the objective counts: a caller that left gave up itself.
func (c *Counts) calls() uint64 { return uint64(c.InTime + c.Late + c.Refused + c.Failed) }

func (c *Counts) burn() burn.Count {
	return burn.Count{Calls: c.calls(), Bad: c.calls() - uint64(c.InTime)}
}

// Series is the burn of one route, or class of the own interface.
type Series struct {
	Name string `json:"name"`
	Counts
	Burn          float64 `json:"burn"`             // over the whole time
	MaxShortBurn  float64 `json:"worst_short_burn"` // of any window
	MaxLongBurn   float64 `json:"worst_long_burn"`  // of any longer window
	LastShortBurn float64 `json:"end_short_burn"`   // of the last window
	LastLongBurn  float64 `json:"end_long_burn"`
}

// Window is all requests that ended within one window.
type Window struct {
	Start time.Time `json:"from"`
	Counts
	ColdStarts Quantiles `json:"cold_starts"`
}

// Build makes the report.
func (b *Builder) Build() *Report {
	slices.SortFunc(b.requests, func(x, y request) int {
		return cmp.Or(cmp.Compare(x.arrived, y.arrived), cmp.Compare(x.ended, y.ended))
	})
	r := &Report{
		From: b.from, To: b.to, Lines: b.lines, Unreadable: b.unreadable, DropNotices: b.omitted, Requests: len(b.requests),
		Idle: b.idle(), Accounts: b.accounts(), Reasons: make(map[string]int), Late: make(map[Cause]LateResponses),
	}
	var cold []int32
	lateFirst := make(map[Cause][]int32)
	for _, q := range b.requests {
		r.Reasons[q.reason]++
		if q.sends > 1 {
			r.Resent++
		}
		if q.cold && q.first > 0 {
			cold = append(cold, q.first)
		}
		if q.result == late {
			lateFirst[q.cause] = append(lateFirst[q.cause], q.first)
		}
	}
	r.ColdStarts = quantiles(cold)
	for c, all := range lateFirst {
		r.Late[c] = LateResponses{Count: len(all), FirstByte: quantiles(all)}
	}
	b.windows(r)
	return r
}

// windows counts by window, and the burn of each series.
func (b *Builder) windows(r *Report) {
	if len(b.requests) == 0 {
		return
	}
	n := int(b.to.Sub(b.from)/b.set.Window) + 1
	all, cold := make([]Counts, n), make([][]int32, n)
	series := make(map[string][]Counts)
	for _, q := range b.requests {
		at := int(time.Duration(q.ended-b.from.UnixNano()) / b.set.Window)
		if series[q.series] == nil {
			series[q.series] = make([]Counts, n)
		}
		all[at].add(q.result)
		series[q.series][at].add(q.result)
		if q.cold && q.first > 0 {
			cold[at] = append(cold[at], q.first)
		}
	}
	for i, c := range all {
		r.Windows = append(r.Windows, Window{Start: b.from.Add(time.Duration(i) * b.set.Window), Counts: c, ColdStarts: quantiles(cold[i])})
	}
	for _, name := range slices.Sorted(maps.Keys(series)) {
		r.Burn = append(r.Burn, burnOf(name, series[name]))
	}
}

// burnOf returns the burn of a series over windows and runs of windows.
func burnOf(name string, windows []Counts) Series {
	s := Series{Name: name}
	for i := range windows {
		s.plus(windows[i])
		short, long := windows[i].burn().BurnRate(), Counts{}
		for _, c := range windows[max(0, i+1-LongWindowFactor) : i+1] {
			long.plus(c)
		}
		s.LastShortBurn, s.LastLongBurn = short, long.burn().BurnRate()
		s.MaxShortBurn, s.MaxLongBurn = max(s.MaxShortBurn, s.LastShortBurn), max(s.MaxLongBurn, s.LastLongBurn)
	}
	s.Burn = s.burn().BurnRate()
	return s
}

func (c *Counts) plus(o Counts) {
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.CallerDisconnected += o.CallerDisconnected
}

// quantiles sorts all and returns its quantiles.
func quantiles(all []int32) Quantiles {
	q := Quantiles{Count: len(all), all: all}
	if len(all) == 0 {
		return q
	}
	slices.Sort(all)
	at := func(part float64) int32 { return all[min(len(all)-1, int(part*float64(len(all))))] }
	q.P50, q.P90, q.P99, q.Max = at(0.5), at(0.9), at(0.99), all[len(all)-1]
	return q
}
