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

// Policy selects what is measured: the core as shipped, or with one part replaced
// by a baseline.
type Policy struct {
	Name string
	// FixedKeepAlive, if not 0, is how long each idle artifact stays loaded.
	FixedKeepAlive time.Duration
	// EqualSplit leaves each instance with its equal share of the rates: no tokens
	// and no rate are lent between instances.
	EqualSplit bool
	// FIFO serves requests in the order of arrival, whichever account sent them.
	FIFO bool
	// RandomReplica sends each request to a random replica with a free slot.
	RandomReplica bool
}

// Shipped is the core as shipped.
var Shipped = Policy{Name: "as shipped"}

// Result holds the measurements of one run.
type Result struct {
	Policy               string
	KeepAliveOnly        bool // the policy differs from Shipped at most in the keep-alive time
	Calls                int
	ColdTTFT             *hdrhistogram.Histogram // completed cold calls, in ms
	TTFT                 *hdrhistogram.Histogram // all calls of models, in ms; a call that was not completed counts with its timeout
	ColdCalls            int
	ColdFailed           int // cold calls that were not completed
	IdleAcceleratorHours float64
	Loads                int
	// RefusedWithinRate counts, by reason, the refused calls that were within the
	// rate and burst of their account.
	RefusedWithinRate map[event.Reason]int
	Refused           map[event.Reason]int
	Accounts          map[id.Account]*AccountResult
	Violations        []string
	TasksRun          int
	Elapsed           time.Duration
}

// AccountResult holds the measurements of one client account.
type AccountResult struct {
	Calls, Completed int
	Tokens           int // prompt and output tokens of completed calls
	// TotalTTFT is the sum of the times to the first token or, without tokens, to
	// the end of the call. A call that was not completed counts with its timeout.
	TotalTTFT time.Duration
}

const (
	warmupDuration    = 6 * time.Second
	maxTTFTMillis     = int64(time.Hour / time.Millisecond)
	significantDigits = 3
	drainDuration     = 2 * time.Minute // simulated after the last arrival, for calls in progress
)

// AccountFilter limits a run to the calls of one account, which shows what it gets
// without the load of the others.
type AccountFilter struct{ Account id.Account }

// Run simulates a workload with a policy. With a filter, only the calls of its
// account are sent; the disruptions stay.
func Run(w *Workload, seed uint64, p Policy, filter *AccountFilter) (*Result, error) {
	c, err := configfile.Load(w.ConfigPaths...)
	if err != nil {
		return nil, errors.Wrap(err, "measure")
	}
	addAPIKeys(c)
	calls := w.plannedCalls(c, seed)
	if filter != nil {
		calls = slices.DeleteFunc(calls, func(a plannedCall) bool { return a.account != filter.Account })
	}
	r := newRun(w, c, seed, p)
	start := time.Now()
	r.replay(calls)
	r.result.Elapsed = time.Since(start)
	return r.result, nil
}

// addAPIKeys configures for each account the key that the simulated callers send.
func addAPIKeys(c *config.Config) {
	for name := range c.Accounts {
		c.Keys[fleet.KeyOf(name)] = config.Key{Digest: fleet.KeyOf(name), Account: name, Label: "measure"}
	}
}

// simulation is the state of a run in progress.
type simulation struct {
	*fleet.Fleet
	workload *Workload
	result   *Result
	buckets  map[id.Account]*tokenBucket
	issued   []issuedCall
}

// issuedCall is a call with facts from the moment it was sent.
type issuedCall struct {
	call       *fleet.Call
	cold       bool // its model was not loaded in the zone of the instance
	withinRate bool // the rate and burst of its account allowed it
}

func newRun(w *Workload, c *config.Config, seed uint64, p Policy) *simulation {
	settings := fleet.Settings{
		Seed: seed, Config: c, InstancesPerZone: slices.Max(w.InstancesByZone), EnginesPerZone: w.EnginesPerZone, ServicesPerZone: w.ServicesPerZone,
		LeaseTerm: 9 * time.Second, DrainDelay: time.Second, GracePeriod: time.Minute,
		TokenTime: time.Duration(w.TokenTime * float64(time.Second)),
	}
	settings.InstancesByZone = w.InstancesByZone
	settings.Queue.FIFO = p.FIFO
	if p.RandomReplica {
		settings.Queue.Picker = randomPicker(seed)
	}
	if p.FixedKeepAlive > 0 {
		settings.Policy = func() keepalive.Policy { return keepalive.Fixed{Duration: p.FixedKeepAlive} }
	}
	settings.Placement = placement.Settings{}
	r := &simulation{
		Fleet: fleet.New(settings), workload: w, buckets: make(map[id.Account]*tokenBucket),
		result: &Result{
			Policy: p.Name, KeepAliveOnly: !p.EqualSplit && !p.FIFO && !p.RandomReplica, ColdTTFT: hdrhistogram.New(1, maxTTFTMillis, significantDigits), TTFT: hdrhistogram.New(1, maxTTFTMillis, significantDigits), RefusedWithinRate: make(map[event.Reason]int),
			Refused: make(map[event.Reason]int), Accounts: make(map[id.Account]*AccountResult),
		},
	}
	if p.EqualSplit {
		r.Network.Drop = isLoanMessage
	}
	for name, a := range c.Accounts {
		r.buckets[name] = &tokenBucket{rate: a.Rate, burst: a.Burst, tokens: a.Burst}
	}
	return r
}

// randomPicker picks a random server among the eligible ones.
func randomPicker(seed uint64) queue.Picker {
	c := queue.DefaultPicker()
	c.Scorers = []queue.Scorer{randomScorer{rand.New(rand.NewPCG(seed, seed))}}
	return c
}

// randomScorer gives each candidate a random score.
type randomScorer struct{ random *rand.Rand }

// Score implements queue.Scorer.
func (s randomScorer) Score(*message.TurnRequest, *queue.Candidate, []queue.Candidate) float64 {
	return s.random.Float64()
}

// isLoanMessage reports whether a message is part of lending between instances.
func isLoanMessage(m message.Message) bool {
	switch m.(type) {
	case message.LoanRequest, message.LoanGrant, message.LoanSettlement, message.SlotsHeld:
		return true
	}
	return false
}

// replay schedules the disruptions, sends the calls and collects the result.
func (r *simulation) replay(calls []plannedCall) {
	r.Run(warmupDuration)
	for _, d := range r.workload.Disruptions {
		r.scheduleDisruption(d)
	}
	start := r.Now()
	for _, c := range calls {
		r.Run(start + c.at - r.Now())
		r.issueCall(c)
	}
	r.Run(start + r.workload.duration() - r.Now() + drainDuration)
	r.collectResult()
}

// issueCall sends a call, and records whether it is cold and within its account's
// rate. Both use exact knowledge of the whole fleet, which no instance has.
func (r *simulation) issueCall(c plannedCall) {
	node := r.Nodes[c.instance%len(r.Nodes)]
	if !node.Ready { // the load balancer picks ready instances only
		for n := range r.Nodes {
			if next := r.Nodes[(c.instance+n)%len(r.Nodes)]; next.Ready {
				node = next
				break
			}
		}
	}
	limit := c.outputTokens
	if max := r.Config.Artifacts[c.artifact].MaxTokens; c.artifact != "" && limit > max {
		limit = max
	}
	s := fleet.Spec{
		Account: c.account, Artifact: c.artifact, Service: c.service, PromptTokens: c.promptTokens, OutputTokens: limit,
		Timeout: c.timeout, IdempotencyKey: c.idempotencyKey, Body: c.body,
	}
	cost := float64(c.promptTokens + limit)
	if c.service != "" {
		cost = float64(r.Config.Services[c.service].Tokens)
	}
	p := issuedCall{
		cold:       c.artifact != "" && !r.isLoadedInZone(node.Zone, c.artifact),
		withinRate: r.buckets[c.account].take(r.Now(), cost),
	}
	p.call = r.Call(node, s)
	r.issued = append(r.issued, p)
}

// isLoadedInZone reports whether any backend server of the zone has the artifact
// loaded.
func (r *simulation) isLoadedInZone(z id.Zone, a id.Artifact) bool {
	return slices.ContainsFunc(r.Servers, func(s *fleet.Server) bool { return s.Zone == z && s.HasLoaded(a) })
}

// tokenBucket is the exact token bucket of an account, for the calls of all
// instances together.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Duration
}

// take consumes cost tokens if the bucket has as many, and reports whether it had.
func (b *tokenBucket) take(now time.Duration, cost float64) bool {
	b.tokens = math.Min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// scheduleDisruption schedules the start and end of a disruption. A zone that is
// isolated is the last one of the configuration.
func (r *simulation) scheduleDisruption(d Disruption) {
	start, duration := time.Duration(d.Start*float64(time.Second)), time.Duration(d.Duration*float64(time.Second))
	zone := r.Config.Fleet.Zones[len(r.Config.Fleet.Zones)-1]
	setActive := map[string]func(active bool){
		kindIsolateZone: func(active bool) { r.Network.SetIsolated(zone, active) },
		kindTableDown:   func(active bool) { r.Table.Down = active },
		kindSlowStore: func(active bool) {
			r.WeightStore.SlowdownFactor = 1
			if active {
				r.WeightStore.SlowdownFactor = 4
			}
		},
	}[d.Kind]
	if d.Kind == kindReplaceInstances {
		r.After(start, func() { r.restartFrom(0) })
		return
	}
	r.After(start, func() { setActive(true) })
	r.After(start+duration, func() { setActive(false) })
}

// restartFrom restarts the instances from the nth on, one after another.
func (r *simulation) restartFrom(n int) {
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
		r.After(10*time.Second, func() { r.restartFrom(n + 1) })
	}
	r.After(time.Second, wait)
}

// collectResult computes the measurements after the run.
func (r *simulation) collectResult() {
	res := r.result
	res.Calls, res.TasksRun = len(r.issued), r.TasksRun
	res.IdleAcceleratorHours = r.IdleHours()
	for _, s := range r.Servers {
		res.Loads += s.Loads
	}
	for _, p := range r.issued {
		r.recordCall(p)
	}
	res.Violations = r.Violations()
}

// recordCall adds a call to the measurements.
func (r *simulation) recordCall(p issuedCall) {
	res, c := r.result, p.call
	a := res.Accounts[c.Account]
	if a == nil {
		a = &AccountResult{}
		res.Accounts[c.Account] = a
	}
	a.Calls++
	firstToken := c.FirstTokenAt
	if firstToken == 0 {
		firstToken = c.EndedAt
	}
	if c.Completed {
		a.Completed++
		a.Tokens += c.PromptTokens + c.OutputTokens
		a.TotalTTFT += firstToken.Sub(c.Arrived)
	} else {
		a.TotalTTFT += c.Deadline.Sub(c.Arrived)
	}
	if c.Refusal != nil {
		res.Refused[c.Refusal.Reason]++
		if p.withinRate {
			res.RefusedWithinRate[c.Refusal.Reason]++
		}
	}
	if c.Artifact != "" {
		wait := firstToken.Sub(c.Arrived)
		if !c.Completed {
			wait = c.Deadline.Sub(c.Arrived)
		}
		_ = res.TTFT.RecordValue(min(maxTTFTMillis, max(1, wait.Milliseconds())))
	}
	if p.cold {
		r.recordColdCall(c, firstToken)
	}
}

// recordColdCall adds a cold call to the measurements.
func (r *simulation) recordColdCall(c *fleet.Call, firstToken clock.Time) {
	r.result.ColdCalls++
	if !c.Completed {
		r.result.ColdFailed++
		return
	}
	_ = r.result.ColdTTFT.RecordValue(min(maxTTFTMillis, max(1, firstToken.Sub(c.Arrived).Milliseconds())))
}

// Goodput returns the share of calls that were completed.
func (a *AccountResult) Goodput() float64 {
	if a.Calls == 0 {
		return 1
	}
	return float64(a.Completed) / float64(a.Calls)
}

// MeanTTFT returns the mean time to the first token, as counted in TotalTTFT.
func (a *AccountResult) MeanTTFT() time.Duration {
	if a.Calls == 0 {
		return 0
	}
	return a.TotalTTFT / time.Duration(a.Calls)
}

// WorstServedAccount returns the account with the smallest ratio of tokens of
// completed calls to those that it gets in a run alone, and that ratio.
func WorstServedAccount(together *Result, alone map[id.Account]*Result) (id.Account, float64) {
	worst, minRatio := id.Account(""), math.Inf(1)
	for _, name := range slices.Sorted(maps.Keys(together.Accounts)) {
		single := alone[name]
		if single == nil || single.Accounts[name] == nil {
			continue
		}
		ratio := float64(together.Accounts[name].Tokens) / math.Max(1, float64(single.Accounts[name].Tokens))
		if ratio < minRatio {
			worst, minRatio = name, ratio
		}
	}
	return worst, minRatio
}

// formatReasons formats counts by reason, sorted by reason.
func formatReasons(m map[event.Reason]int) string {
	s := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		s += fmt.Sprintf(" %s:%d", k, m[k])
	}
	if s == "" {
		return " none"
	}
	return s
}
