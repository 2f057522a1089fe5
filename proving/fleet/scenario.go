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

// Step is one call or fault of a Scenario. The meaning of the other fields
// depends on Kind; Target and SecondTarget are taken modulo the number of
// targets.
type Step struct {
	Kind         string
	Delay        time.Duration // since the previous step
	Target       int
	SecondTarget int
	Duration     time.Duration
	Rate         float64
}

// Scenario is a random sequence of calls and faults.
type Scenario struct {
	Seed  uint64
	Steps []Step
}

// stepKinds are the kinds of steps. Calls are listed more than once, so that
// most faults coincide with some. Scenario numbers of TestRegressionScenarios
// depend on this list.
var stepKinds = []struct {
	name string
	run  func(r *Runner, s Step)
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

// rateIf returns the rate of a step, or 0 to end its fault.
func rateIf(s Step, on bool) float64 {
	if !on {
		return 0
	}
	return s.Rate
}

// StepKinds returns the names of the kinds, in order and with repetitions.
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

// ScenarioGenerator generates scenarios for rapid.
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

// UniformScenario returns the scenario of a number, with kinds and values drawn
// from uniform distributions. ScenarioGenerator prefers small values, which
// shrink well, and so generates few scenarios with long or strong faults.
func UniformScenario(number uint64) Scenario {
	random := rand.New(rand.NewPCG(number, maxSteps))
	s := Scenario{Seed: random.Uint64()}
	for range maxSteps/4 + random.IntN(maxSteps) {
		s.Steps = append(s.Steps, Step{
			Kind:         stepKinds[random.IntN(len(stepKinds))].name,
			Delay:        time.Duration(random.IntN(1500)) * time.Millisecond,
			Target:       random.IntN(1000),
			SecondTarget: random.IntN(1000),
			Duration:     100*time.Millisecond + time.Duration(random.Int64N(int64(maxStepDuration))),
			Rate:         0.6 * random.Float64(),
		})
	}
	return s
}

// Runner runs a Scenario on a fleet.
type Runner struct {
	*Fleet
	orderCount int
	callCount  int
	// StepCounts is the number of steps run of each kind.
	StepCounts map[string]int
}

// NewRunner returns a Runner on a new fleet. modify, if not nil, changes its
// settings.
func NewRunner(s Scenario, modify func(*Settings)) *Runner {
	settings := Settings{
		Seed: s.Seed, Config: SmallConfig(), InstancesPerZone: 3, EnginesPerZone: 2, ServicesPerZone: 1,
		LeaseTerm: 6 * time.Second, DrainDelay: time.Second, GracePeriod: 10 * time.Second, TokenTime: 10 * time.Millisecond,
		RestartDelay: time.Second,
	}
	s.varySettings(&settings)
	if modify != nil {
		modify(&settings)
	}
	return &Runner{Fleet: New(settings), StepCounts: make(map[string]int)}
}

// varySettings varies the fleets of scenarios: whether engines check fencing
// numbers, the number of engines (and so how scarce memory is), and the allowed
// number of replicas.
func (s Scenario) varySettings(settings *Settings) {
	c := settings.Config
	settings.IgnoreFencing = s.Seed%2 == 0
	if settings.IgnoreFencing {
		g := c.Groups["workers"]
		g.ChecksFencing = false
		c.Groups["workers"] = g
	}
	if s.Seed/2%2 == 1 {
		settings.EnginesPerZone = 1
	}
	if s.Seed/4%2 == 1 {
		for name, a := range c.Artifacts {
			a.MaxReplicas = 2
			c.Artifacts[name] = a
		}
	}
}

// Play runs all steps, ends all faults, waits until every call has ended and the
// fleet has recovered, and returns the violations.
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

// RunStep runs one step.
func (r *Runner) RunStep(s Step) {
	r.StepCounts[s.Kind]++
	for _, k := range stepKinds {
		if k.name == s.Kind {
			r.trace("step %+v", s)
			k.run(r, s)
			return
		}
	}
	panic("fleet: unknown kind of step " + s.Kind)
}

// checkRecovery checks that every instance serves calls after all faults have
// ended. Without it, a fleet that refuses everything after an outage would pass
// all other checks.
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
			r.addViolation("after all faults ended, %s for %s%s at %s was not answered: refusal %+v, connection lost %v", c.Request, c.Artifact, c.Service, c.instance, c.Refusal, c.connectionLost)
		}
	}
}

// checkOrderOutcomes sends each order once more after all faults have ended. An
// order without a record runs now. "Outcome unknown" is wrong for an order that
// ran at a service whose outcomes can be queried.
func (r *Runner) checkOrderOutcomes() {
	runs := make(map[string]int)
	for _, c := range r.Calls {
		runs[c.IdempotencyKey] += c.runs
	}
	resent := len(r.Calls)
	for number := 1; number <= r.orderCount; number++ {
		r.sendNumberedOrder(Step{Target: number, Duration: maxStepDuration}, number)
	}
	r.Run(maxStepDuration)
	for _, c := range r.Calls[resent:] {
		unknown := c.Refusal != nil && c.Refusal.Reason == event.ReasonOutcomeUnknown
		known := c.Service == Orders && runs[c.IdempotencyKey] > 0
		if !c.Completed && (!unknown || known) {
			r.addViolation("after all faults ended, order %s of service %s, which had run %d times, got %s", c.IdempotencyKey, c.Service, runs[c.IdempotencyKey], c.describeResult())
		}
	}
}

func (r *Runner) targetNode(s Step) *Node     { return r.Nodes[s.Target%len(r.Nodes)] }
func (r *Runner) zoneAt(n int) id.Zone        { return r.zones[n%len(r.zones)] }
func (r *Runner) targetServer(s Step) *Server { return r.Servers[s.Target%len(r.Servers)] }

// uniqueBody returns a request body that was not used before.
func (r *Runner) uniqueBody() string {
	r.callCount++
	return fmt.Sprint("body", r.callCount)
}

// injectTemporarily injects a fault and ends it after the duration of the step.
func (r *Runner) injectTemporarily(s Step, setFault func(on bool)) {
	setFault(true)
	r.schedule(s.Duration, func() { setFault(false) })
}

// callTarget makes a call at the target node of a step.
func (r *Runner) callTarget(s Step, spec Spec) *Call { return r.Call(r.targetNode(s), spec) }

func (r *Runner) callModel(s Step) {
	r.callTarget(s, Spec{
		Account: []id.Account{"a", "b"}[s.SecondTarget%2], Artifact: []id.Artifact{"m0", "m1", "m2", "m3", "m0:x"}[s.SecondTarget%5],
		PromptTokens: 1 + s.SecondTarget, OutputTokens: 10 + s.Target%300, Timeout: time.Second + s.Duration, Body: r.uniqueBody(),
		Class: []config.Class{"", config.Batch}[s.Target%2],
	})
}

// callAllNodes calls the same model at every instance at the same time.
func (r *Runner) callAllNodes(s Step) {
	for n := range r.Nodes {
		r.callModel(Step{Target: n, SecondTarget: s.SecondTarget, Duration: s.Duration + 5*time.Second})
	}
}

// placeOrder calls a non-idempotent service with a new idempotency key.
func (r *Runner) placeOrder(s Step) {
	r.orderCount++
	r.sendNumberedOrder(s, r.orderCount)
}

// resendOrder sends an earlier order again, through the target node of the step.
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

// disconnectCaller disconnects the caller of one of the five latest calls.
func (r *Runner) disconnectCaller(s Step) {
	if len(r.Calls) > 0 {
		r.Disconnect(r.Calls[len(r.Calls)-1-s.Target%min(5, len(r.Calls))])
	}
}

// endAndRestart ends a node and restarts it after the duration of the step.
func (r *Runner) endAndRestart(s Step, end func(*Node)) {
	n := r.targetNode(s)
	end(n)
	r.schedule(s.Duration, n.Restart)
}

// endAndRestartZone does the same with all nodes of a zone.
func (r *Runner) endAndRestartZone(s Step, end func(*Node)) {
	for _, n := range r.zoneNodes(r.zoneAt(s.Target)) {
		end(n)
		r.schedule(s.Duration, n.Restart)
	}
}

// crashAfterRun makes a plain service crash after its next run.
func (r *Runner) crashAfterRun(s Step) {
	if v := r.targetServer(s); v.Group.Kind == config.GroupServices {
		v.CrashAfterRuns++
	}
}

// removeEngine makes an engine leave, with or without notice, provided that its
// zone keeps another one of the group.
func (r *Runner) removeEngine(s Step, remove func(*Server)) {
	v := r.targetServer(s)
	if v.Group.Kind == config.GroupServices || v.leaving || v.removed {
		return
	}
	for _, other := range r.Servers {
		if other != v && other.Zone == v.Zone && other.Group.Name == v.Group.Name && !other.leaving && !other.removed {
			remove(v)
			return
		}
	}
}

// changeRate changes the rate and burst of account a.
func (r *Runner) changeRate(s Step) {
	c := Clone(r.Config)
	a := c.Accounts["a"]
	a.Rate, a.Burst = 500+10*float64(s.Target), 4000+20*float64(s.SecondTarget)
	r.publishRate(c, a)
}

// publishRate publishes a changed account a and records it for checkRate.
func (r *Runner) publishRate(c *config.Config, a config.Account) {
	c.Accounts["a"] = a
	r.accountHistory = append(r.accountHistory, a)
	r.Publish(c)
}

// withdrawApproval withdraws the approval of account b for the lookup service
// and restores it after the duration of the step.
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

// withdrawKey withdraws the key of account a and restores it after the duration
// of the step.
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
