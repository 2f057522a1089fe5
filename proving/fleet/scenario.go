package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// Step is one thing that happens in a Scenario. What the numbers mean depends
// on Kind; they are taken modulo what there is.
type Step struct {
	Kind  string
	After time.Duration // since the step before
	Which int
	Other int
	For   time.Duration
	Share float64
}

// Scenario is a random run: calls and faults in between.
type Scenario struct {
	Seed  uint64
	Steps []Step
}

// kinds of steps, with what they do to a fleet. Calls stand more than once,
// so that most faults meet some.
var kinds = []struct {
	name string
	do   func(r *Runner, s Step)
}{
	{"call", (*Runner).call},
	{"call", (*Runner).call},
	{"burst", (*Runner).burst},
	{"order", (*Runner).order},
	{"order", (*Runner).order},
	{"repeat-order", (*Runner).repeatOrder},
	{"lookup", func(r *Runner, s Step) {
		r.place(s, Spec{Account: "b", Service: Lookup, Within: 5 * time.Second, Body: r.unique()})
	}},
	{"crashing-call", (*Runner).crashingCall},
	{"hang-up", (*Runner).hangUp},
	{"kill", func(r *Runner, s Step) { r.bounce(s, (*Node).Kill) }},
	{"stop", func(r *Runner, s Step) { r.bounce(s, (*Node).Stop) }},
	{"pause", func(r *Runner, s Step) { r.node(s).Pause(s.For) }},
	{"cut-zones", func(r *Runner, s Step) {
		r.during(s, func(on bool) { r.Net.Cut(r.zone(s.Which), r.zone(s.Other), on) })
	}},
	{"isolate-zone", func(r *Runner, s Step) { r.during(s, func(on bool) { r.Net.Isolate(r.zone(s.Which), on) }) }},
	{"cut-platform", func(r *Runner, s Step) { r.during(s, func(on bool) { r.Net.CutPlatform(r.zone(s.Which), on) }) }},
	{"lossy-net", func(r *Runner, s Step) {
		r.during(s, func(on bool) { r.Net.Lose, r.Net.Double, r.Net.Late = share(s, on), share(s, on), share(s, on) })
	}},
	{"table-down", func(r *Runner, s Step) { r.during(s, func(on bool) { r.Table.Down = on }) }},
	{"table-slow", func(r *Runner, s Step) {
		r.during(s, func(on bool) { r.Table.Slow = time.Duration(share(s, on) * float64(4*time.Second)) })
	}},
	{"table-loses", func(r *Runner, s Step) {
		r.during(s, func(on bool) { r.Table.LoseAnswers, r.Table.LoseRequests = share(s, on), share(s, on)/2 })
	}},
	{"server-crash", func(r *Runner, s Step) { r.anyServer(s).Crash() }},
	{"server-dies-after-run", (*Runner).dieAfterRun},
	{"orders-lost", func(r *Runner, s Step) {
		v := r.anyServer(s)
		r.during(s, func(on bool) { v.LoseOrders, v.LoseAnswers = share(s, on), share(s, on) })
	}},
	{"orders-late", func(r *Runner, s Step) {
		v := r.anyServer(s)
		r.during(s, func(on bool) { v.LateOrders, v.LateBy = share(s, on), 4*time.Second })
	}},
	{"server-leaves", func(r *Runner, s Step) { r.takeAway(s, (*Server).Leave) }},
	{"server-reclaimed", func(r *Runner, s Step) { r.takeAway(s, (*Server).Reclaim) }},
	{"slow-store", func(r *Runner, s Step) { r.during(s, func(on bool) { r.Store.Slow = 10 * share(s, on) }) }},
	{"change-rate", (*Runner).changeRate},
	{"withdraw-key", (*Runner).withdrawKey},
	{"withdraw-approval", (*Runner).withdrawApproval},
	{"orders-doubled", func(r *Runner, s Step) {
		v := r.anyServer(s)
		r.during(s, func(on bool) { v.DoubleOrders, v.LateBy = share(s, on), 4*time.Second })
	}},
	{"kill-zone", func(r *Runner, s Step) { r.bounceZone(s, (*Node).Kill) }},
	{"stop-zone", func(r *Runner, s Step) { r.bounceZone(s, (*Node).Stop) }},
	{"pause-zone", func(r *Runner, s Step) {
		for _, n := range r.zoneNodes(r.zone(s.Which)) {
			n.Pause(s.For)
		}
	}},
}

func share(s Step, on bool) float64 {
	if !on {
		return 0
	}
	return s.Share
}

// Kinds lists the names of the steps.
func Kinds() []string {
	var names []string
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

const (
	stepsMost  = 80
	warmUp     = 5 * time.Second
	coolDown   = 75 * time.Second
	longestFor = 20 * time.Second
)

// Scenarios generates scenarios.
func Scenarios() *rapid.Generator[Scenario] {
	step := rapid.Custom(func(t *rapid.T) Step {
		return Step{
			Kind:  kinds[rapid.IntRange(0, len(kinds)-1).Draw(t, "kind")].name,
			After: time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
			Which: rapid.IntRange(0, 1000).Draw(t, "which"),
			Other: rapid.IntRange(0, 1000).Draw(t, "other"),
			For:   time.Duration(rapid.IntRange(100, int(longestFor/time.Millisecond)).Draw(t, "for")) * time.Millisecond,
			Share: rapid.Float64Range(0, 0.6).Draw(t, "share"),
		}
	})
	return rapid.Custom(func(t *rapid.T) Scenario {
		return Scenario{
			Seed:  rapid.Uint64().Draw(t, "seed"),
			Steps: rapid.SliceOfN(step, 10, stepsMost).Draw(t, "steps"),
		}
	})
}

// Uniform returns the scenario of that number, with steps and values drawn
// evenly. Scenarios prefers small values, which shrink well, and so tries few
// runs with long or strong faults.
func Uniform(number uint64) Scenario {
	r := rand.New(rand.NewPCG(number, stepsMost))
	s := Scenario{Seed: r.Uint64()}
	for range stepsMost/4 + r.IntN(stepsMost) {
		s.Steps = append(s.Steps, Step{
			Kind:  kinds[r.IntN(len(kinds))].name,
			After: time.Duration(r.IntN(1500)) * time.Millisecond,
			Which: r.IntN(1000),
			Other: r.IntN(1000),
			For:   100*time.Millisecond + time.Duration(r.Int64N(int64(longestFor))),
			Share: 0.6 * r.Float64(),
		})
	}
	return s
}

// Runner carries out a Scenario.
type Runner struct {
	*Fleet
	orders int
	calls  int
	// Done counts the steps by kind.
	Done map[string]int
}

// NewRunner returns a Runner on a new fleet.
func NewRunner(s Scenario, change func(*Settings)) *Runner {
	set := Settings{
		Seed: s.Seed, Config: SmallConfig(), PerZone: 3, Engines: 2, Services: 1,
		LeaseTerm: 6 * time.Second, DrainDelay: time.Second, Grace: 10 * time.Second, TokenTime: 10 * time.Millisecond,
		Replace: time.Second,
	}
	s.vary(&set)
	if change != nil {
		change(&set)
	}
	return &Runner{Fleet: New(set), Done: make(map[string]int)}
}

// vary makes the fleets of scenarios differ: whether engines check fencing
// numbers, whether memory is tight, and how many replicas may be decided.
func (s Scenario) vary(set *Settings) {
	c := set.Config
	set.NoFencing = s.Seed%2 == 0
	if set.NoFencing {
		g := c.Groups["workers"]
		g.ChecksFencing = false
		c.Groups["workers"] = g
	}
	if s.Seed/2%2 == 1 {
		set.Engines = 1
	}
	if s.Seed/4%2 == 1 {
		for name, a := range c.Artifacts {
			a.MaxReplicas = 2
			c.Artifacts[name] = a
		}
	}
}

// Play carries out the steps, ends all faults, and waits until every call must
// be over and the fleet must be well again.
func (r *Runner) Play(s Scenario) []string {
	r.Run(warmUp)
	for _, step := range s.Steps {
		r.Run(step.After)
		r.Do(step)
	}
	r.Run(longestFor)
	r.Heal()
	r.Run(coolDown)
	r.checkWell()
	r.checkOrders()
	return r.Faults()
}

// Do carries out one step.
func (r *Runner) Do(s Step) {
	r.Done[s.Kind]++
	for _, k := range kinds {
		if k.name == s.Kind {
			r.trace("step %+v", s)
			k.do(r, s)
			return
		}
	}
	panic("fleet: unknown step " + s.Kind)
}

// checkWell: after all faults have ended, a call at every instance must be
// answered. A fleet that stays broken after an outage would pass every other
// check by refusing everything.
func (r *Runner) checkWell() {
	var calls []*Call
	for n, node := range r.Nodes {
		calls = append(calls,
			r.Call(node, Spec{Account: "b", Artifact: "m1", Prompt: 10, Tokens: 10, Within: 30 * time.Second, Body: fmt.Sprint("well", n)}),
			r.Call(node, Spec{Account: "b", Service: Orders, Key: fmt.Sprint("well", n), Within: 10 * time.Second, Body: "well"}))
	}
	r.Run(40 * time.Second)
	for _, c := range calls {
		if !c.Whole {
			r.fault("after all faults ended, %s for %s%s at %s got %+v (lost %v)", c.Request, c.Artifact, c.Service, c.at, c.Refusal, c.lost)
		}
	}
}

// checkOrders: after all faults have ended, each order is sent once more. The
// outcome of one that ran at a service that tells outcomes can be known, so that
// "unknown" is not true of it; an order of which no record stands runs now.
func (r *Runner) checkOrders() {
	runs := make(map[string]int)
	for _, c := range r.Calls {
		runs[c.Key] += c.runs
	}
	first := len(r.Calls)
	for number := 1; number <= r.orders; number++ {
		r.sendOrder(Step{Which: number, For: longestFor}, number)
	}
	r.Run(longestFor)
	for _, c := range r.Calls[first:] {
		unknown := c.Refusal != nil && c.Refusal.Reason == event.ReasonOutcomeUnknown
		known := c.Service == Orders && runs[c.Key] > 0
		if !c.Whole && (!unknown || known) {
			r.fault("after all faults ended, order %s of %s, which had run %d times, got %s", c.Key, c.Service, runs[c.Key], c.ending())
		}
	}
}

func (r *Runner) node(s Step) *Node        { return r.Nodes[s.Which%len(r.Nodes)] }
func (r *Runner) zone(n int) id.Zone       { return r.zones[n%len(r.zones)] }
func (r *Runner) anyServer(s Step) *Server { return r.Servers[s.Which%len(r.Servers)] }

func (r *Runner) unique() string {
	r.calls++
	return fmt.Sprint("body", r.calls)
}

// during switches a fault on, and off again later.
func (r *Runner) during(s Step, set func(on bool)) {
	set(true)
	r.after(s.For, func() { set(false) })
}

// place makes a call at the step's node.
func (r *Runner) place(s Step, spec Spec) *Call { return r.Call(r.node(s), spec) }

func (r *Runner) call(s Step) {
	r.place(s, Spec{
		Account: []id.Account{"a", "b"}[s.Other%2], Artifact: []id.Artifact{"m0", "m1", "m2", "m3", "m0:x"}[s.Other%5],
		Prompt: 1 + s.Other, Tokens: 10 + s.Which%300, Within: time.Second + s.For, Body: r.unique(),
		Class: []config.Class{"", config.Batch}[s.Which%2],
	})
}

// burst makes calls of one cold model at every instance at once.
func (r *Runner) burst(s Step) {
	for n := range r.Nodes {
		r.call(Step{Which: n, Other: s.Other, For: s.For + 5*time.Second})
	}
}

func (r *Runner) order(s Step) {
	r.orders++
	r.sendOrder(s, r.orders)
}

// repeatOrder sends an earlier order again, through whichever instance.
func (r *Runner) repeatOrder(s Step) {
	if r.orders > 0 {
		r.sendOrder(s, 1+s.Other%r.orders)
	}
}

func (r *Runner) sendOrder(s Step, number int) {
	service := []id.Service{Orders, Desk}[number%2]
	r.place(s, Spec{Account: "b", Service: service, Key: fmt.Sprint("order", number), Within: time.Second + s.For/4, Body: fmt.Sprint(number)})
}

func (r *Runner) crashingCall(s Step) {
	r.place(s, Spec{Account: "a", Artifact: "m0", Prompt: 10, Tokens: 50, Within: 10 * time.Second, Body: "crash", Crashes: true})
}

func (r *Runner) hangUp(s Step) {
	if len(r.Calls) > 0 {
		r.HangUp(r.Calls[len(r.Calls)-1-s.Which%min(5, len(r.Calls))])
	}
}

// bounce ends a node and starts it again later.
func (r *Runner) bounce(s Step, end func(*Node)) {
	n := r.node(s)
	end(n)
	r.after(s.For, n.Restart)
}

// bounceZone ends all nodes of a zone and starts them again later.
func (r *Runner) bounceZone(s Step, end func(*Node)) {
	for _, n := range r.zoneNodes(r.zone(s.Which)) {
		end(n)
		r.after(s.For, n.Restart)
	}
}

func (r *Runner) dieAfterRun(s Step) {
	if v := r.anyServer(s); v.Group.Kind == config.GroupServices {
		v.DieAfterRun++
	}
}

// takeAway makes an engine leave, with or without notice, as long as each zone
// keeps one.
func (r *Runner) takeAway(s Step, away func(*Server)) {
	v := r.anyServer(s)
	if v.Group.Kind == config.GroupServices || v.leaving || v.removed {
		return
	}
	for _, other := range r.Servers {
		if other != v && other.Zone == v.Zone && other.Group.Name == v.Group.Name && !other.leaving && !other.removed {
			away(v)
			return
		}
	}
}

func (r *Runner) changeRate(s Step) {
	c := Clone(r.Config)
	a := c.Accounts["a"]
	a.Rate, a.Burst = 500+10*float64(s.Which), 4000+20*float64(s.Other)
	r.publishRate(c, a)
}

func (r *Runner) publishRate(c *config.Config, a config.Account) {
	c.Accounts["a"] = a
	r.rates = append(r.rates, a)
	r.Publish(c)
}

// withdrawApproval withdraws the approval of account b for the lookups, and
// gives it back later.
func (r *Runner) withdrawApproval(s Step) {
	c := Clone(r.Config)
	approval := config.Approval{Account: "b", Service: Lookup}
	delete(c.Approvals, approval)
	r.Publish(c)
	r.after(s.For, func() {
		c := Clone(r.Config)
		c.Approvals[approval] = struct{}{}
		r.Publish(c)
	})
}

// withdrawKey withdraws the key of account a, and gives it back later.
func (r *Runner) withdrawKey(s Step) {
	key, ok := r.Config.Keys[KeyOf("a")]
	if !ok {
		return
	}
	c := Clone(r.Config)
	delete(c.Keys, KeyOf("a"))
	r.Publish(c)
	r.after(s.For, func() {
		c := Clone(r.Config)
		c.Keys[KeyOf("a")] = key
		r.Publish(c)
	})
}
