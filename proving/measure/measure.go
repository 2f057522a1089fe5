package measure

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/request/queue"
	"oleanderdale.org/oleander/version/configfile"
	"oleanderdale.org/proving/fleet"
)

// Policy is what is measured: the core as it ships, or with one part replaced
// by a baseline.
type Policy struct {
	Name string
	// Fixed, if not 0, keeps every idle artifact for this long.
	FixedKeepAlive time.Duration
	// Split leaves each instance alone with its equal part of the rates: no
	// tokens and no rate are lent.
	EqualSplit bool
	// FirstCome serves requests in the order in which they come, whoever sent
	// them.
	FIFO bool
	// Random sends each request to any replica that has room.
	RandomReplica bool
}

// Shipped is the core as it ships.
var Shipped = Policy{Name: "as shipped"}

// Result holds the measures of one run.
type Result struct {
	Policy               string
	KeepAliveOnly        bool // differs from the shipped policy in the keep-alive only, or not at all
	Calls                int
	ColdTTFT             *hdrhistogram.Histogram // time to the first token of cold calls, in ms
	TTFT                 *hdrhistogram.Histogram // of all calls of models, in ms; refused ones count their whole deadline
	ColdCalls            int
	ColdFailed           int // cold calls that were refused
	IdleAcceleratorHours float64
	Loads                int
	// Wrongful counts the calls refused although inside their account's rate,
	// by reason.
	RefusedWithinRate map[event.Reason]int
	Refused           map[event.Reason]int
	Accounts          map[id.Account]*AccountResult
	Violations        []string
	TasksRun          int
	Elapsed           time.Duration
}

// AccountResult is how one client account fared.
type AccountResult struct {
	Calls, Completed int
	Tokens           int           // prompt and answer tokens of whole calls
	TotalTTFT        time.Duration // sum of times to the first token, or to the answer
}

const (
	warmUp   = 6 * time.Second
	coldMost = int64(time.Hour / time.Millisecond)
	digits   = 3
	settle   = 2 * time.Minute // at the end, for calls that are still open
)

// Only keeps the calls of one account, for what it gets alone.
type AccountFilter struct{ Account id.Account }

// Run plays a workload with a policy. only, if not nil, leaves out all other
// accounts and the disruptions stay.
func Run(w *Workload, seed uint64, p Policy, only *AccountFilter) (*Result, error) {
	c, err := configfile.Load(w.ConfigPaths...)
	if err != nil {
		return nil, errors.Wrap(err, "measure")
	}
	keyed(c)
	calls := w.arrivals(c, seed)
	if only != nil {
		calls = slices.DeleteFunc(calls, func(a arrival) bool { return a.account != only.Account })
	}
	r := newRun(w, c, seed, p)
	start := time.Now()
	r.play(calls)
	r.result.Elapsed = time.Since(start)
	return r.result, nil
}

// keyed gives each account the key that the fleet's callers show.
func keyed(c *config.Config) {
	for name := range c.Accounts {
		c.Keys[fleet.KeyOf(name)] = config.Key{Digest: fleet.KeyOf(name), Account: name, Label: "measure"}
	}
}

// run is one run under way.
type run struct {
	*fleet.Fleet
	workload *Workload
	result   *Result
	buckets  map[id.Account]*bucket
	placed   []placed
}

// placed is a call with what was known when it arrived.
type placed struct {
	call   *fleet.Call
	cold   bool
	inside bool // its account's rate and burst had room for it
}

func newRun(w *Workload, c *config.Config, seed uint64, p Policy) *run {
	set := fleet.Settings{
		Seed: seed, Config: c, PerZone: slices.Max(w.InstancesByZone), Engines: w.EnginesPerZone, Services: w.ServicesPerZone,
		LeaseTerm: 9 * time.Second, DrainDelay: time.Second, Grace: time.Minute,
		TokenTime: time.Duration(w.TokenTime * float64(time.Second)),
	}
	set.ZoneInstances = w.InstancesByZone
	set.Queue.FIFO = p.FIFO
	if p.RandomReplica {
		set.Queue.Picker = randomPicker(seed)
	}
	if p.FixedKeepAlive > 0 {
		set.Policy = func() keepalive.Policy { return keepalive.Fixed{Duration: p.FixedKeepAlive} }
	}
	set.Placement = placement.Settings{}
	r := &run{
		Fleet: fleet.New(set), workload: w, buckets: make(map[id.Account]*bucket),
		result: &Result{
			Policy: p.Name, KeepAliveOnly: !p.EqualSplit && !p.FIFO && !p.RandomReplica, ColdTTFT: hdrhistogram.New(1, coldMost, digits), TTFT: hdrhistogram.New(1, coldMost, digits), RefusedWithinRate: make(map[event.Reason]int),
			Refused: make(map[event.Reason]int), Accounts: make(map[id.Account]*AccountResult),
		},
	}
	if p.EqualSplit {
		r.Net.Drop = isLending
	}
	for name, a := range c.Accounts {
		r.buckets[name] = &bucket{rate: a.Rate, burst: a.Burst, tokens: a.Burst}
	}
	return r
}

// randomPicker picks any server that may be picked.
func randomPicker(seed uint64) queue.Picker {
	c := queue.DefaultPicker()
	c.Scorers = []queue.Scorer{anyScore{rand.New(rand.NewPCG(seed, seed))}}
	return c
}

// anyScore gives each candidate a score at random.
type anyScore struct{ random *rand.Rand }

// Score implements queue.Scorer.
func (a anyScore) Score(*message.TurnRequest, *queue.Candidate, []queue.Candidate) float64 {
	return a.random.Float64()
}

// isLending reports whether a message belongs to the lending of shares.
func isLending(m message.Message) bool {
	switch m.(type) {
	case message.LoanRequest, message.LoanGrant, message.LoanSettlement, message.SlotsHeld:
		return true
	}
	return false
}

func (r *run) play(calls []arrival) {
	r.Run(warmUp)
	for _, e := range r.workload.Disruptions {
		r.disrupt(e)
	}
	start := r.Now()
	for _, a := range calls {
		r.Run(start + a.at - r.Now())
		r.place(a)
	}
	r.Run(start + r.workload.length() - r.Now() + settle)
	r.count()
}

// place makes a call, and notes what a perfect observer knows of it.
func (r *run) place(a arrival) {
	node := r.Nodes[a.entry%len(r.Nodes)]
	if !node.Ready { // the balancer would not choose it
		for n := range r.Nodes {
			if next := r.Nodes[(a.entry+n)%len(r.Nodes)]; next.Ready {
				node = next
				break
			}
		}
	}
	limit := a.answer
	if max := r.Config.Artifacts[a.target].MaxTokens; a.target != "" && limit > max {
		limit = max
	}
	s := fleet.Spec{
		Account: a.account, Artifact: a.target, Service: a.service, Prompt: a.prompt, Tokens: limit,
		Within: a.within, Key: a.key, Body: a.body,
	}
	cost := float64(a.prompt + limit)
	if a.service != "" {
		cost = float64(r.Config.Services[a.service].Tokens)
	}
	p := placed{
		cold:   a.target != "" && !r.loadedIn(node.Zone, a.target),
		inside: r.buckets[a.account].take(r.Now(), cost),
	}
	p.call = r.Call(node, s)
	r.placed = append(r.placed, p)
}

func (r *run) loadedIn(z id.Zone, a id.Artifact) bool {
	return slices.ContainsFunc(r.Servers, func(s *fleet.Server) bool { return s.Zone == z && s.HasLoaded(a) })
}

// bucket is an account's token bucket as one place with all knowledge keeps it.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// take reports whether a call of that cost is inside the rate and burst.
func (b *bucket) take(now time.Duration, cost float64) bool {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// disrupt plans a disruption.
func (r *run) disrupt(e Disruption) {
	at, length := time.Duration(e.Start*float64(time.Second)), time.Duration(e.Duration*float64(time.Second))
	zone := r.Config.Fleet.Zones[len(r.Config.Fleet.Zones)-1]
	set := map[string]func(on bool){
		kindCut:   func(on bool) { r.Net.Isolate(zone, on) },
		kindTable: func(on bool) { r.Table.Down = on },
		kindSlow: func(on bool) {
			r.Store.Slow = 1
			if on {
				r.Store.Slow = 4
			}
		},
	}[e.Kind]
	if e.Kind == kindReplace {
		r.After(at, func() { r.replaceAll(0) })
		return
	}
	r.After(at, func() { set(true) })
	r.After(at+length, func() { set(false) })
}

// replaceAll stops the instances one after another and starts each again.
func (r *run) replaceAll(n int) {
	if n == len(r.Nodes) {
		return
	}
	node := r.Nodes[n]
	node.Stop()
	var wait func()
	wait = func() {
		if node.Running() {
			r.After(time.Second, wait)
			return
		}
		node.Restart()
		r.After(10*time.Second, func() { r.replaceAll(n + 1) })
	}
	r.After(time.Second, wait)
}

// count works out the measures.
func (r *run) count() {
	res := r.result
	res.Calls, res.TasksRun = len(r.placed), r.Steps
	res.IdleAcceleratorHours = r.IdleHours()
	for _, s := range r.Servers {
		res.Loads += s.Loads
	}
	for _, p := range r.placed {
		r.countCall(p)
	}
	res.Violations = r.Faults()
}

func (r *run) countCall(p placed) {
	res, c := r.result, p.call
	a := res.Accounts[c.Account]
	if a == nil {
		a = &AccountResult{}
		res.Accounts[c.Account] = a
	}
	a.Calls++
	first := c.FirstAt
	if first == 0 {
		first = c.EndedAt
	}
	if c.Whole {
		a.Completed++
		a.Tokens += c.Prompt + c.Tokens
		a.TotalTTFT += first.Sub(c.Arrived)
	} else {
		a.TotalTTFT += c.Deadline.Sub(c.Arrived)
	}
	if c.Refusal != nil {
		res.Refused[c.Refusal.Reason]++
		if p.inside {
			res.RefusedWithinRate[c.Refusal.Reason]++
		}
	}
	if c.Artifact != "" {
		wait := first.Sub(c.Arrived)
		if !c.Whole {
			wait = c.Deadline.Sub(c.Arrived)
		}
		_ = res.TTFT.RecordValue(min(coldMost, max(1, wait.Milliseconds())))
	}
	if p.cold {
		r.countCold(c, first)
	}
}

func (r *run) countCold(c *fleet.Call, first clock.Time) {
	r.result.ColdCalls++
	if !c.Whole {
		r.result.ColdFailed++
		return
	}
	_ = r.result.ColdTTFT.RecordValue(min(coldMost, max(1, first.Sub(c.Arrived).Milliseconds())))
}

// Goodput returns the share of calls that were answered whole.
func (a *AccountResult) Goodput() float64 {
	if a.Calls == 0 {
		return 1
	}
	return float64(a.Completed) / float64(a.Calls)
}

// MeanWait returns the mean time to the first token.
func (a *AccountResult) MeanTTFT() time.Duration {
	if a.Calls == 0 {
		return 0
	}
	return a.TotalTTFT / time.Duration(a.Calls)
}

// Worst returns the account whose goodput is the smallest part of what it gets
// alone, and that part.
func WorstServedAccount(together *Result, alone map[id.Account]*Result) (id.Account, float64) {
	worst, least := id.Account(""), math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(together.Accounts)) {
		single := alone[name]
		if single == nil || single.Accounts[name] == nil {
			continue
		}
		part := float64(together.Accounts[name].Tokens) / math.Max(1, float64(single.Accounts[name].Tokens))
		if part < least {
			worst, least = name, part
		}
	}
	return worst, least
}

// reasonList prints counts by reason in a fixed order.
func reasonList(m map[event.Reason]int) string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s += fmt.Sprintf(" %s:%d", k, m[k])
	}
	if s == "" {
		return " none"
	}
	return s
}
