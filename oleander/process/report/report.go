// Package report computes from the logs of a fleet how callers were served: the four
// service measures that the users asked for, the burn rate of the latency objectives,
// and the causes of late responses.
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

// Settings are the settings of a Builder.
type Settings struct {
	// Window is the length of a short window of the burn rate. A long window has
	// LongWindowFactor of them.
	Window time.Duration
}

// LongWindowFactor is the length of a long window in short ones, as with the usual
// five minutes and one hour.
const LongWindowFactor = 12

// Builder collects log lines. It keeps 104 bytes per request, besides one copy of each
// distinct name.
type Builder struct {
	settings    Settings
	interned    map[string]string // one copy of each string
	requests    []request
	limits      map[string][]rateLimit
	residencies map[placement]*residency
	lineCount   int
	dropNotices int
	unreadable  int
	from, to    time.Time
}

// request holds the values kept from the final line of a request.
type request struct {
	arrived   int64 // Unix nanoseconds
	ended     int64
	series    string
	account   string
	reason    string
	cause     Cause // if the response was late
	cost      float64
	limitWait int32 // wait for the account's tokens, in milliseconds
	firstByte int32 // time to first byte, in milliseconds
	cold      bool
	result    result
	sends     uint8
}

// rateLimit is the limit of an account from a point in time on.
type rateLimit struct {
	since       int64
	rate, burst float64
}

// New returns an empty Builder.
func New(s Settings) *Builder {
	return &Builder{settings: s, interned: make(map[string]string), limits: make(map[string][]rateLimit), residencies: make(map[placement]*residency)}
}

// Read adds all lines of r.
func (b *Builder) Read(r io.Reader) error {
	unreadable, err := logline.ForEach(r, b.addLine)
	b.unreadable += unreadable
	return err
}

// LineCount returns the number of lines read so far.
func (b *Builder) LineCount() int { return b.lineCount }

// addLine adds a line and reports whether it could be parsed.
func (b *Builder) addLine(text []byte) bool {
	l, ok := parseLine(text)
	if !ok {
		return false
	}
	b.lineCount++
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
		b.addRequest(&l)
	case l.Message == messageOrder:
		b.addOrder(&l)
	case l.Message == messageLimit:
		name := b.intern(l.Account)
		b.limits[name] = append(b.limits[name], rateLimit{l.Time.UnixNano(), l.Rate, l.Burst})
	case strings.HasPrefix(l.Message, logline.DroppedLinesPrefix):
		b.dropNotices++
	}
	return true
}

// intern returns one shared copy of a string, so that the line it comes from can be
// freed.
func (b *Builder) intern(name string) string {
	if s, ok := b.interned[name]; ok {
		return s
	}
	name = strings.Clone(name)
	b.interned[name] = name
	return name
}

func (b *Builder) addRequest(l *line) {
	r := request{
		arrived: l.Time.Add(-time.Duration(l.Total) * time.Millisecond).UnixNano(), ended: l.Time.UnixNano(),
		series: b.intern(l.seriesName()), account: b.intern(l.Account), reason: b.intern(l.reasonOrOutcome()), cost: l.Cost,
		limitWait: int32(l.LimitWait), firstByte: int32(l.FirstByte), cold: l.ModelWait > 0, result: l.result(), sends: uint8(min(l.Sends, 255)),
	}
	if r.result == late {
		r.cause = l.lateCause()
	}
	b.requests = append(b.requests, r)
	if l.Model != "" && l.Server != "" {
		b.recordUse(placement{b.intern(l.Server), b.intern(l.Model)}, r.arrived, r.ended)
	}
}

// Report is the result of a Builder.
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

// Quantiles are quantiles of durations in milliseconds.
type Quantiles struct {
	Count int   `json:"count"`
	P50   int32 `json:"p50_ms"`
	P90   int32 `json:"p90_ms"`
	P99   int32 `json:"p99_ms"`
	Max   int32 `json:"worst_ms"`

	sorted []int32
}

// LateResponses summarises the late responses of one cause.
type LateResponses struct {
	Count     int       `json:"count"`
	FirstByte Quantiles `json:"first"`
}

// Counts counts requests by result.
type Counts struct {
	InTime             int `json:"in_time"`
	Late               int `json:"late"`
	Refused            int `json:"refused"`
	Failed             int `json:"failed"`
	CallerDisconnected int `json:"caller_gone"`
}

func (c *Counts) count(r result) {
	switch r {
	case inTime:
		c.InTime++
	case late:
		c.Late++
	case refused:
		c.Refused++
	case failed:
		c.Failed++
	case disconnected:
		c.CallerDisconnected++
	}
}

// countedCalls returns the calls that count for the objective: all but those whose
// caller disconnected.
func (c *Counts) countedCalls() uint64 { return uint64(c.InTime + c.Late + c.Refused + c.Failed) }

func (c *Counts) burnCount() burn.Count {
	return burn.Count{Calls: c.countedCalls(), Bad: c.countedCalls() - uint64(c.InTime)}
}

// Series is the burn of one route of the gateway, or one class of oleanderdale's own
// interface.
type Series struct {
	Name string `json:"name"`
	Counts
	Burn          float64 `json:"burn"`             // over the whole report
	MaxShortBurn  float64 `json:"worst_short_burn"` // highest of a short window
	MaxLongBurn   float64 `json:"worst_long_burn"`  // highest of a long window
	LastShortBurn float64 `json:"end_short_burn"`   // of the last short window
	LastLongBurn  float64 `json:"end_long_burn"`
}

// Window counts the requests that ended within one short window.
type Window struct {
	Start time.Time `json:"from"`
	Counts
	ColdStarts Quantiles `json:"cold_starts"`
}

// Build returns the report on the lines read so far.
func (b *Builder) Build() *Report {
	slices.SortFunc(b.requests, func(x, y request) int {
		return cmp.Or(cmp.Compare(x.arrived, y.arrived), cmp.Compare(x.ended, y.ended))
	})
	r := &Report{
		From: b.from, To: b.to, Lines: b.lineCount, Unreadable: b.unreadable, DropNotices: b.dropNotices, Requests: len(b.requests),
		Idle: b.idleTime(), Accounts: b.accounts(), Reasons: make(map[string]int), Late: make(map[Cause]LateResponses),
	}
	var coldStarts []int32
	lateFirstBytes := make(map[Cause][]int32)
	for _, q := range b.requests {
		r.Reasons[q.reason]++
		if q.sends > 1 {
			r.Resent++
		}
		if q.cold && q.firstByte > 0 {
			coldStarts = append(coldStarts, q.firstByte)
		}
		if q.result == late {
			lateFirstBytes[q.cause] = append(lateFirstBytes[q.cause], q.firstByte)
		}
	}
	r.ColdStarts = computeQuantiles(coldStarts)
	for c, all := range lateFirstBytes {
		r.Late[c] = LateResponses{Count: len(all), FirstByte: computeQuantiles(all)}
	}
	b.countWindows(r)
	return r
}

// countWindows counts the requests by window and computes the burn of each series.
func (b *Builder) countWindows(r *Report) {
	if len(b.requests) == 0 {
		return
	}
	n := int(b.to.Sub(b.from)/b.settings.Window) + 1
	counts, coldStarts := make([]Counts, n), make([][]int32, n)
	series := make(map[string][]Counts)
	for _, q := range b.requests {
		window := int(time.Duration(q.ended-b.from.UnixNano()) / b.settings.Window)
		if series[q.series] == nil {
			series[q.series] = make([]Counts, n)
		}
		counts[window].count(q.result)
		series[q.series][window].count(q.result)
		if q.cold && q.firstByte > 0 {
			coldStarts[window] = append(coldStarts[window], q.firstByte)
		}
	}
	for i, c := range counts {
		r.Windows = append(r.Windows, Window{Start: b.from.Add(time.Duration(i) * b.settings.Window), Counts: c, ColdStarts: computeQuantiles(coldStarts[i])})
	}
	for _, name := range slices.Sorted(maps.Keys(series)) {
		r.Burn = append(r.Burn, burnSeries(name, series[name]))
	}
}

// burnSeries computes the burn rates of a series over short and long windows.
func burnSeries(name string, windows []Counts) Series {
	s := Series{Name: name}
	for i := range windows {
		s.add(windows[i])
		shortBurn, longWindow := windows[i].burnCount().BurnRate(), Counts{}
		for _, c := range windows[max(0, i+1-LongWindowFactor) : i+1] {
			longWindow.add(c)
		}
		s.LastShortBurn, s.LastLongBurn = shortBurn, longWindow.burnCount().BurnRate()
		s.MaxShortBurn, s.MaxLongBurn = max(s.MaxShortBurn, s.LastShortBurn), max(s.MaxLongBurn, s.LastLongBurn)
	}
	s.Burn = s.burnCount().BurnRate()
	return s
}

func (c *Counts) add(o Counts) {
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.CallerDisconnected += o.CallerDisconnected
}

// computeQuantiles sorts all and returns its quantiles.
func computeQuantiles(all []int32) Quantiles {
	q := Quantiles{Count: len(all), sorted: all}
	if len(all) == 0 {
		return q
	}
	slices.Sort(all)
	quantile := func(fraction float64) int32 { return all[min(len(all)-1, int(fraction*float64(len(all))))] }
	q.P50, q.P90, q.P99, q.Max = quantile(0.5), quantile(0.9), quantile(0.99), all[len(all)-1]
	return q
}
