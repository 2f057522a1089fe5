package placer

import (
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/outlook"
)

// Eight rare models a second are asked for on nine engines, a little more than
// they can swap. What the placer forecast when a request had waited for 100 ms
// is compared with when its model was there.
func TestForecastError(t *testing.T) {
	p := newPlay(t, 11, 9, 50)
	first := make(map[Key]clock.Time)
	var errs []time.Duration
	late := 0
	p.run(time.Minute, 8, func() {
		expected := p.placer.ExpectedReady(p.now)
		for k, w := range p.wants {
			ready, ok := expected[Key{Group: k.Group, Model: k.Model}]
			if _, had := first[k]; !had && ok && k.Adapter == "" && p.now.Sub(w.Since) >= 100*time.Millisecond {
				first[k] = ready
			}
		}
		for k, ready := range first {
			if _, waits := p.wants[k]; waits {
				continue
			}
			errs = append(errs, p.now.Sub(ready).Abs())
			if p.now.Sub(ready) > time.Second {
				late++
			}
			delete(first, k)
		}
	})
	slices.Sort(errs)
	n := len(errs)
	if n < 200 {
		t.Fatalf("%d forecasts judged", n)
	}
	t.Logf("%d forecasts: half within %v, nine in ten within %v; %d a second late or more", n, errs[n/2], errs[n*9/10], late)
	if errs[n/2] > 150*time.Millisecond || errs[n*9/10] > time.Second {
		t.Errorf("half of the forecasts within %v, nine in ten within %v", errs[n/2], errs[n*9/10])
	}
}

// An engine calls an adapter impossible. Who waits for it is told when it is tried
// again; who waits for the model, or another adapter of it, is not.
func TestImpossibleAdapterSaysNothingOfItsModel(t *testing.T) {
	p := newPlay(t, 12, 1, 10)
	p.run(time.Second, 0, nil)
	bad, good := Key{Group: group, Model: model(0), Adapter: "none"}, Key{Group: group, Model: model(0), Adapter: "a1"}
	p.placer.SetDemand(map[Key]Demand{bad: {Requests: 1, Since: p.now}, good: {Requests: 1, Since: p.now}})
	p.placer.refused[bad] = p.now
	expected := p.placer.ExpectedReady(p.now)
	if _, ok := expected[bad]; !ok || len(expected) != 1 {
		t.Errorf("expected %v", expected)
	}
}

// caller is one that asks for a rare model and leaves when nothing came for its
// patience. Sent away, it comes back once, after the time it was told or a third
// of the time it has left.
type caller struct {
	key     Key
	began   clock.Time
	arrived clock.Time // of this attempt
	back    clock.Time // comes back then; 0: it waits
	again   bool
}

const (
	callerPatience = 2 * time.Second
	callerDeadline = 5 * time.Second
)

// outcome counts what became of callers.
type outcome struct {
	served, refused, left int
	held                  time.Duration // by those that were not served
}

// crowd plays callers against the placer. decide says whether one waits on.
type crowd struct {
	*play
	callers []*caller
	kept    map[Key]clock.Time // wanted until, for callers that were told to come back
	decide  func(p outlook.WaitWindow, e outlook.Expectation) outlook.Decision
	out     outcome
}

func (c *crowd) step() {
	expected := c.placer.ExpectedReady(c.now)
	usable := make(map[string]bool)
	for _, id := range sortedKeys(c.engines) {
		_, holdings, _ := c.placer.UsableModels(c.now, id)
		for _, h := range holdings {
			usable[h.Model] = true
		}
	}
	clear(c.wants)
	var stay []*caller
	for _, a := range c.callers {
		if c.stays(a, usable[a.key.Model], expected[a.key]) {
			stay = append(stay, a)
		}
	}
	c.callers = stay
	for k, until := range c.kept {
		if _, ok := c.wants[k]; !ok && c.now < until {
			c.wants[k] = Demand{Requests: 1, Since: c.now}
		}
	}
}

// stays carries out what happens to one caller. It is false when it is gone.
func (c *crowd) stays(a *caller, usable bool, ready clock.Time) bool {
	if a.back != 0 {
		if c.now < a.back {
			return true
		}
		a.arrived, a.back, a.again = c.now, 0, true
	}
	if usable {
		c.out.served++
		return false
	}
	leaves := min(a.arrived.Add(callerPatience), a.began.Add(callerDeadline))
	if c.now >= leaves {
		c.out.left++
		c.out.held += c.now.Sub(a.arrived)
		return false
	}
	if v := c.decide(outlook.WaitWindow{Arrived: a.arrived, End: leaves}, outlook.Expectation{Ready: ready}); v.Refuse {
		if a.again {
			c.out.refused++
			c.out.held += c.now.Sub(a.arrived)
			return false
		}
		third := a.began.Add(callerDeadline).Sub(c.now) / 3
		a.back = c.now.Add(min(v.RetryAfter, third))
		c.kept[a.key] = a.back.Add(time.Second)
		return true
	}
	w, ok := c.wants[a.key]
	if !ok {
		w = Demand{Since: a.began}
	}
	w.Requests, w.Since = w.Requests+1, min(w.Since, a.began)
	c.wants[a.key] = w
	return true
}

// rush lets callers ask for all rare models within two seconds, over engines
// that need four to load them.
func rush(t *testing.T, decide func(now clock.Time, p outlook.WaitWindow, e outlook.Expectation) outlook.Decision) outcome {
	c := &crowd{play: newPlay(t, 21, 8, 60), kept: make(map[Key]clock.Time)}
	c.decide = func(p outlook.WaitWindow, e outlook.Expectation) outlook.Decision { return decide(c.now, p, e) }
	c.run(time.Second, 0, nil)
	asked := 0
	c.run(10*time.Second, 0, func() {
		if asked < 60 && c.rng.Float64() < 30*testTick.Seconds() {
			k := Key{Group: group, Model: model((asked * 7) % 60)}
			c.callers = append(c.callers, &caller{key: k, began: c.now, arrived: c.now})
			asked++
		}
		c.step()
	})
	return c.out
}

// Sixty rare models are asked for within two seconds; callers leave after two.
// When requests wait until their callers leave, a third is lost after holding on
// to the end. When those that can't be served in time are told at once when
// their model is expected, they come back and more are served.
func TestCallersAreToldWhenToComeBack(t *testing.T) {
	waits := rush(t, func(clock.Time, outlook.WaitWindow, outlook.Expectation) outlook.Decision { return outlook.Decision{} })
	told := rush(t, outlook.Decide)
	t.Logf("waiting to the end: %+v; told when to come back: %+v", waits, told)
	if told.served <= waits.served || told.left > waits.left/4 || told.held > waits.held/4 {
		t.Errorf("waiting to the end: %+v; told when to come back: %+v", waits, told)
	}
}
