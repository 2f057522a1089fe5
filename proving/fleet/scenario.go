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
	Kind         string
	Delay        time.Duration // since the step before
	Target       int
	SecondTarget int
	Duration     time.Duration
	Rate         float64
}

// Scenario is a random run: calls and faults in between.
type Scenario struct {
	Seed  uint64
	Steps []Step
}

// kinds of steps, with what they do to a fleet. Calls stand more than once,
// so that most faults meet some.
var stepKinds = []struct {
	name string
	do   func(r *Runner, s Step)
}{
	{"call", (*Runner).callModel},
	{"call", (*Runner).callModel},
	{"burst", (*Runner).callAllNodes},
	{"order", (*Runner).placeOrder},
	{"order", (*Runner).placeOrder},
	{"repeat-order", (*Runner).resendOrder},
	{"lookup", func(r *Runner, s Step) {
		r.callTarget(s, Spec{Account: "b", Service: Lookup, Timeout: 5 * time.Second, Body: r.uniqueBody()})
	}},
	{"crashing-call", (*Runner).crashingCall},
	{"hang-up", (*Runner).disconnectCaller},
	{"kill", func(r *Runner, s Step) { r.endAndRestart(s, (*Node).Kill) }},
	{"stop", func(r *Runner, s Step) { r.endAndRestart(s, (*Node).Stop) }},
	{"pause", func(r *Runner, s Step) { r.targetNode(s).Pause(s.Duration) }},
	{"cut-zones", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.Network.SetPartitioned(r.zoneAt(s.Target), r.zoneAt(s.SecondTarget), on) })
	}},
	{"isolate-zone", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.Network.SetIsolated(r.zoneAt(s.Target), on) })
	}},
	{"cut-platform", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.Network.SetPlatformUnreachable(r.zoneAt(s.Target), on) })
	}},
	{"lossy-net", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) {
			r.Network.LossRate, r.Network.DuplicateRate, r.Network.DelayRate = rateIf(s, on), rateIf(s, on), rateIf(s, on)
		})
	}},
	{"table-down", func(r *Runner, s Step) { r.injectTemporarily(s, func(on bool) { r.Table.Down = on }) }},
	{"table-slow", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.Table.ExtraLatency = time.Duration(rateIf(s, on) * float64(4*time.Second)) })
	}},
	{"table-loses", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.Table.LostReplyRate, r.Table.LostRequestRate = rateIf(s, on), rateIf(s, on)/2 })
	}},
	{"server-crash", func(r *Runner, s Step) { r.targetServer(s).Crash() }},
	{"server-dies-after-run", (*Runner).crashAfterRun},
	{"orders-lost", func(r *Runner, s Step) {
		v := r.targetServer(s)
		r.injectTemporarily(s, func(on bool) { v.LostOrderRate, v.LostReplyRate = rateIf(s, on), rateIf(s, on) })
	}},
	{"orders-late", func(r *Runner, s Step) {
		v := r.targetServer(s)
		r.injectTemporarily(s, func(on bool) { v.DelayedOrderRate, v.MaxOrderDelay = rateIf(s, on), 4*time.Second })
	}},
	{"server-leaves", func(r *Runner, s Step) { r.removeEngine(s, (*Server).Leave) }},
	{"server-reclaimed", func(r *Runner, s Step) { r.removeEngine(s, (*Server).Reclaim) }},
	{"slow-store", func(r *Runner, s Step) {
		r.injectTemporarily(s, func(on bool) { r.WeightStore.SlowdownFactor = 10 * rateIf(s, on) })
	}},
	{"change-rate", (*Runner).changeRate},
	{"withdraw-key", (*Runner).withdrawKey},
	{"withdraw-approval", (*Runner).withdrawApproval},
	{"orders-doubled", func(r *Runner, s Step) {
		v := r.targetServer(s)
		r.injectTemporarily(s, func(on bool) { v.DuplicateOrderRate, v.MaxOrderDelay = rateIf(s, on), 4*time.Second })
	}},
	{"kill-zone", func(r *Runner, s Step) { r.endAndRestartZone(s, (*Node).Kill) }},
	{"stop-zone", func(r *Runner, s Step) { r.endAndRestartZone(s, (*Node).Stop) }},
	{"pause-zone", func(r *Runner, s Step) {
		for _, n := range r.zoneNodes(r.zoneAt(s.Target)) {
			n.Pause(s.Duration)
		}
	}},
}

func rateIf(s Step, on bool) float64 {
	if !on {
		return 0
	}
	return s.Rate
}

// Kinds lists the names of the steps.
func StepKinds() []string {
	var names []string
	for _, k := range stepKinds {
		names = append(names, k.name)
	}
	return names
}

const (
	maxSteps        = 80
	startupTime     = 5 * time.Second
	recoveryTime    = 75 * time.Second
	maxStepDuration = 20 * time.Second
)

// Scenarios generates scenarios.
func ScenarioGenerator() *rapid.Generator[Scenario] {
	step := rapid.Custom(func(t *rapid.T) Step {
		return Step{
			Kind:         stepKinds[rapid.IntRange(0, len(stepKinds)-1).Draw(t, "kind")].name,
			Delay:        time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond,
			Target:       rapid.IntRange(0, 1000).Draw(t, "which"),
			SecondTarget: rapid.IntRange(0, 1000).Draw(t, "other"),
			Duration:     time.Duration(rapid.IntRange(100, int(maxStepDuration/time.Millisecond)).Draw(t, "for")) * time.Millisecond,
			Rate:         rapid.Float64Range(0, 0.6).Draw(t, "share"),
		}
	})
	return rapid.Custom(func(t *rapid.T) Scenario {
		return Scenario{
			Seed:  rapid.Uint64().Draw(t, "seed"),
			Steps: rapid.SliceOfN(step, 10, maxSteps).Draw(t, "steps"),
		}
	})
}

// Uniform returns the scenario of that number, with steps and values drawn
// evenly. Scenarios prefers small values, which shrink well, and so tries few
// runs with long or strong faults.
func UniformScenario(number uint64) Scenario {
	r := rand.New(rand.NewPCG(number, maxSteps))
	s := Scenario{Seed: r.Uint64()}
	for range maxSteps/4 + r.IntN(maxSteps) {
		s.Steps = append(s.Steps, Step{
			Kind:         stepKinds[r.IntN(len(stepKinds))].name,
			Delay:        time.Duration(r.IntN(1500)) * time.Millisecond,
			Target:       r.IntN(1000),
			SecondTarget: r.IntN(1000),
			Duration:     100*time.Millisecond + time.Duration(r.Int64N(int64(maxStepDuration))),
			Rate:         0.6 * r.Float64(),
		})
	}
	return s
}

// Runner carries out a Scenario.
type Runner struct {
	*Fleet
	orderCount int
	callCount  int
	// Done counts the steps by kind.
	StepCounts map[string]int
}

// NewRunner returns a Runner on a new fleet.
func NewRunner(s Scenario, change func(*Settings)) *Runner {
	set := Settings{
		Seed: s.Seed, Config: SmallConfig(), InstancesPerZone: 3, EnginesPerZone: 2, ServicesPerZone: 1,
		LeaseTerm: 6 * time.Second, DrainDelay: time.Second, GracePeriod: 10 * time.Second, TokenTime: 10 * time.Millisecond,
		RestartDelay: time.Second,
	}
	s.varySettings(&set)
	if change != nil {
		change(&set)
	}
	return &Runner{Fleet: New(set), StepCounts: make(map[string]int)}
}

// vary makes the fleets of scenarios differ: whether engines check fencing
// numbers, whether memory is tight, and how many replicas may be decided.
func (s Scenario) varySettings(set *Settings) {
	c := set.Config
	set.IgnoreFencing = s.Seed%2 == 0
	if set.IgnoreFencing {
		g := c.Groups["workers"]
		g.ChecksFencing = false
		c.Groups["workers"] = g
	}
	if s.Seed/2%2 == 1 {
		set.EnginesPerZone = 1
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
	r.Run(startupTime)
	for _, step := range s.Steps {
		r.Run(step.Delay)
		r.RunStep(step)
	}
	r.Run(maxStepDuration)
	r.Heal()
	r.Run(recoveryTime)
	r.checkRecovery()
	r.checkOrderOutcomes()
	return r.Violations()
}

// Do carries out one step.
func (r *Runner) RunStep(s Step) {
	r.StepCounts[s.Kind]++
	for _, k := range stepKinds {
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
func (r *Runner) checkRecovery() {
	var calls []*Call
	for n, node := range r.Nodes {
		calls = append(calls,
			r.Call(node, Spec{Account: "b", Artifact: "m1", PromptTokens: 10, OutputTokens: 10, Timeout: 30 * time.Second, Body: fmt.Sprint("well", n)}),
			r.Call(node, Spec{Account: "b", Service: Orders, IdempotencyKey: fmt.Sprint("well", n), Timeout: 10 * time.Second, Body: "well"}))
	}
	r.Run(40 * time.Second)
	for _, c := range calls {
		if !c.Completed {
			r.addViolation("after all faults ended, %s for %s%s at %s got %+v (lost %v)", c.Request, c.Artifact, c.Service, c.instance, c.Refusal, c.connectionLost)
		}
	}
}

// checkOrders: after all faults have ended, each order is sent once more. The
// outcome of one that ran at a service that tells outcomes can be known, so that
// "unknown" is not true of it; an order of which no record stands runs now.
func (r *Runner) checkOrderOutcomes() {
	runs := make(map[string]int)
	for _, c := range r.Calls {
		runs[c.IdempotencyKey] += c.runs
	}
	first := len(r.Calls)
	for number := 1; number <= r.orderCount; number++ {
		r.sendNumberedOrder(Step{Target: number, Duration: maxStepDuration}, number)
	}
	r.Run(maxStepDuration)
	for _, c := range r.Calls[first:] {
		unknown := c.Refusal != nil && c.Refusal.Reason == event.ReasonOutcome
		known := c.Service == Orders && runs[c.IdempotencyKey] > 0
		if !c.Completed && (!unknown || known) {
			r.addViolation("after all faults ended, order %s of %s, which had run %d times, got %s", c.IdempotencyKey, c.Service, runs[c.IdempotencyKey], c.describeResult())
		}
	}
}

func (r *Runner) targetNode(s Step) *Node     { return r.Nodes[s.Target%len(r.Nodes)] }
func (r *Runner) zoneAt(n int) id.Zone        { return r.zones[n%len(r.zones)] }
func (r *Runner) targetServer(s Step) *Server { return r.Servers[s.Target%len(r.Servers)] }

func (r *Runner) uniqueBody() string {
	r.callCount++
	return fmt.Sprint("body", r.callCount)
}

// during switches a fault on, and off again later.
func (r *Runner) injectTemporarily(s Step, set func(on bool)) {
	set(true)
	r.schedule(s.Duration, func() { set(false) })
}

// place makes a call at the step's node.
func (r *Runner) callTarget(s Step, spec Spec) *Call { return r.Call(r.targetNode(s), spec) }

func (r *Runner) callModel(s Step) {
	r.callTarget(s, Spec{
		Account: []id.Account{"a", "b"}[s.SecondTarget%2], Artifact: []id.Artifact{"m0", "m1", "m2", "m3", "m0:x"}[s.SecondTarget%5],
		PromptTokens: 1 + s.SecondTarget, OutputTokens: 10 + s.Target%300, Timeout: time.Second + s.Duration, Body: r.uniqueBody(),
		Class: []config.Class{"", config.Batch}[s.Target%2],
	})
}

// burst makes calls of one cold model at every instance at once.
func (r *Runner) callAllNodes(s Step) {
	for n := range r.Nodes {
		r.callModel(Step{Target: n, SecondTarget: s.SecondTarget, Duration: s.Duration + 5*time.Second})
	}
}

func (r *Runner) placeOrder(s Step) {
	r.orderCount++
	r.sendNumberedOrder(s, r.orderCount)
}

// repeatOrder sends an earlier order again, through whichever instance.
func (r *Runner) resendOrder(s Step) {
	if r.orderCount > 0 {
		r.sendNumberedOrder(s, 1+s.SecondTarget%r.orderCount)
	}
}

func (r *Runner) sendNumberedOrder(s Step, number int) {
	service := []id.Service{Orders, Desk}[number%2]
	r.callTarget(s, Spec{Account: "b", Service: service, IdempotencyKey: fmt.Sprint("order", number), Timeout: time.Second + s.Duration/4, Body: fmt.Sprint(number)})
}

func (r *Runner) crashingCall(s Step) {
	r.callTarget(s, Spec{Account: "a", Artifact: "m0", PromptTokens: 10, OutputTokens: 50, Timeout: 10 * time.Second, Body: "crash", CrashesEngine: true})
}

func (r *Runner) disconnectCaller(s Step) {
	if len(r.Calls) > 0 {
		r.Disconnect(r.Calls[len(r.Calls)-1-s.Target%min(5, len(r.Calls))])
	}
}

// bounce ends a node and starts it again later.
func (r *Runner) endAndRestart(s Step, end func(*Node)) {
	n := r.targetNode(s)
	end(n)
	r.schedule(s.Duration, n.Restart)
}

// bounceZone ends all nodes of a zone and starts them again later.
func (r *Runner) endAndRestartZone(s Step, end func(*Node)) {
	for _, n := range r.zoneNodes(r.zoneAt(s.Target)) {
		end(n)
		r.schedule(s.Duration, n.Restart)
	}
}

func (r *Runner) crashAfterRun(s Step) {
	if v := r.targetServer(s); v.Group.Kind == config.GroupServices {
		v.CrashAfterRuns++
	}
}

// takeAway makes an engine leave, with or without notice, as long as each zone
// keeps one.
func (r *Runner) removeEngine(s Step, away func(*Server)) {
	v := r.targetServer(s)
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
	a.Rate, a.Burst = 500+10*float64(s.Target), 4000+20*float64(s.SecondTarget)
	r.publishRate(c, a)
}

func (r *Runner) publishRate(c *config.Config, a config.Account) {
	c.Accounts["a"] = a
	r.accountHistory = append(r.accountHistory, a)
	r.Publish(c)
}

// withdrawApproval withdraws the approval of account b for the lookups, and
// gives it back later.
func (r *Runner) withdrawApproval(s Step) {
	c := Clone(r.Config)
	approval := config.Approval{Account: "b", Service: Lookup}
	delete(c.Approvals, approval)
	r.Publish(c)
	r.schedule(s.Duration, func() {
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
	r.schedule(s.Duration, func() {
		c := Clone(r.Config)
		c.Keys[KeyOf("a")] = key
		r.Publish(c)
	})
}
