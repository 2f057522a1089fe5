package placer

import (
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/outlook"
)

// Eight requests a second for random models arrive at nine engines, a little more than
// these can swap. The forecast at 100 ms after the arrival of a request is compared with
// the time at which its model became usable.
func TestForecastError(t *testing.T) {
	sim := newSimulation(t, 11, 9, 50)
	forecasts := make(map[Key]clock.Time)
	var errs []time.Duration
	late := 0
	sim.run(time.Minute, 8, func() {
		expected := sim.placer.ExpectedReady(sim.now)
		for k, d := range sim.demand {
			ready, ok := expected[Key{Group: k.Group, Model: k.Model}]
			if _, recorded := forecasts[k]; !recorded && ok && k.Adapter == "" && sim.now.Sub(d.Since) >= 100*time.Millisecond {
				forecasts[k] = ready
			}
		}
		for k, ready := range forecasts {
			if _, requested := sim.demand[k]; requested {
				continue
			}
			errs = append(errs, sim.now.Sub(ready).Abs())
			if sim.now.Sub(ready) > time.Second {
				late++
			}
			delete(forecasts, k)
		}
	})
	slices.Sort(errs)
	n := len(errs)
	if n < 200 {
		t.Fatalf("%d forecasts compared, want 200 at least", n)
	}
	t.Logf("%d forecasts: median error %v, 90th percentile %v; %d more than a second late", n, errs[n/2], errs[n*9/10], late)
	if errs[n/2] > 150*time.Millisecond || errs[n*9/10] > time.Second {
		t.Errorf("median error of the forecasts %v, 90th percentile %v", errs[n/2], errs[n*9/10])
	}
}

// An engine answers an order for an adapter with NotFound. The time of the next attempt
// must be forecast for requests for this adapter, but not for the model or its other
// adapters.
func TestAdapterNotFoundDoesNotAffectModel(t *testing.T) {
	sim := newSimulation(t, 12, 1, 10)
	sim.run(time.Second, 0, nil)
	missing, present := Key{Group: group, Model: model(0), Adapter: "none"}, Key{Group: group, Model: model(0), Adapter: "a1"}
	sim.placer.SetDemand(map[Key]Demand{missing: {Requests: 1, Since: sim.now}, present: {Requests: 1, Since: sim.now}})
	sim.placer.notFoundAt[missing] = sim.now
	expected := sim.placer.ExpectedReady(sim.now)
	if _, ok := expected[missing]; !ok || len(expected) != 1 {
		t.Errorf("ExpectedReady returns %v, want only the missing adapter", expected)
	}
}

// caller requests a model that is not loaded, and gives up when no response arrives within
// callerTimeout. When refused, it retries once, after the time that it was told or a third
// of its remaining time, whichever is less.
type caller struct {
	key          Key
	firstArrived clock.Time
	arrived      clock.Time // of this attempt
	retryAt      clock.Time // when it retries; 0 while it waits
	retried      bool
}

const (
	callerTimeout  = 2 * time.Second
	callerDeadline = 5 * time.Second
)

// outcome counts how the requests of callers ended.
type outcome struct {
	served, refused, gaveUp int
	wastedWait              time.Duration // total wait of requests that were not served
}

// callerSimulation simulates callers of the placer. decide returns whether a request keeps
// waiting.
type callerSimulation struct {
	*simulation
	callers    []*caller
	keptDemand map[Key]clock.Time // demand of callers that were told to retry, with its end
	decide     func(w outlook.WaitWindow, e outlook.Expectation) outlook.Decision
	outcome    outcome
}

func (c *callerSimulation) step() {
	expected := c.placer.ExpectedReady(c.now)
	usable := make(map[string]bool)
	for _, id := range sortedKeys(c.engines) {
		_, models, _ := c.placer.UsableModels(c.now, id)
		for _, m := range models {
			usable[m.Model] = true
		}
	}
	clear(c.demand)
	var remaining []*caller
	for _, caller := range c.callers {
		if c.advanceCaller(caller, usable[caller.key.Model], expected[caller.key]) {
			remaining = append(remaining, caller)
		}
	}
	c.callers = remaining
	for k, until := range c.keptDemand {
		if _, ok := c.demand[k]; !ok && c.now < until {
			c.demand[k] = Demand{Requests: 1, Since: c.now}
		}
	}
}

// advanceCaller advances one caller to now, and reports whether it still takes part.
func (c *callerSimulation) advanceCaller(caller *caller, usable bool, ready clock.Time) bool {
	if caller.retryAt != 0 {
		if c.now < caller.retryAt {
			return true
		}
		caller.arrived, caller.retryAt, caller.retried = c.now, 0, true
	}
	if usable {
		c.outcome.served++
		return false
	}
	end := min(caller.arrived.Add(callerTimeout), caller.firstArrived.Add(callerDeadline))
	if c.now >= end {
		c.outcome.gaveUp++
		c.outcome.wastedWait += c.now.Sub(caller.arrived)
		return false
	}
	if decision := c.decide(outlook.WaitWindow{Arrived: caller.arrived, End: end}, outlook.Expectation{Ready: ready}); decision.Refuse {
		if caller.retried {
			c.outcome.refused++
			c.outcome.wastedWait += c.now.Sub(caller.arrived)
			return false
		}
		third := caller.firstArrived.Add(callerDeadline).Sub(c.now) / 3
		caller.retryAt = c.now.Add(min(decision.RetryAfter, third))
		c.keptDemand[caller.key] = caller.retryAt.Add(time.Second)
		return true
	}
	d, ok := c.demand[caller.key]
	if !ok {
		d = Demand{Since: caller.firstArrived}
	}
	d.Requests, d.Since = d.Requests+1, min(d.Since, caller.firstArrived)
	c.demand[caller.key] = d
	return true
}

// simulateRush lets callers request all models within two seconds, while the engines need
// four seconds to load them.
func simulateRush(t *testing.T, decide func(now clock.Time, w outlook.WaitWindow, e outlook.Expectation) outlook.Decision) outcome {
	c := &callerSimulation{simulation: newSimulation(t, 21, 8, 60), keptDemand: make(map[Key]clock.Time)}
	c.decide = func(w outlook.WaitWindow, e outlook.Expectation) outlook.Decision { return decide(c.now, w, e) }
	c.run(time.Second, 0, nil)
	requested := 0
	c.run(10*time.Second, 0, func() {
		if requested < 60 && c.rng.Float64() < 30*testTick.Seconds() {
			k := Key{Group: group, Model: model((requested * 7) % 60)}
			c.callers = append(c.callers, &caller{key: k, firstArrived: c.now, arrived: c.now})
			requested++
		}
		c.step()
	})
	return c.outcome
}

// Sixty models are requested within two seconds, and callers give up after two. When
// requests wait until their callers give up, a third of them is lost after waiting to the
// end. When requests that can't be served in time are refused at once with the expected
// time, callers retry then, and more of them must be served.
func TestRefusalWithRetryTimeServesMore(t *testing.T) {
	waiting := simulateRush(t, func(clock.Time, outlook.WaitWindow, outlook.Expectation) outlook.Decision { return outlook.Decision{} })
	refusing := simulateRush(t, outlook.Decide)
	t.Logf("without refusals: %+v; with refusals: %+v", waiting, refusing)
	if refusing.served <= waiting.served || refusing.gaveUp > waiting.gaveUp/4 || refusing.wastedWait > waiting.wastedWait/4 {
		t.Errorf("without refusals: %+v; with refusals: %+v", waiting, refusing)
	}
}
