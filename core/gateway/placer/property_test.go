package placer

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

// trouble is one event of a random run.
type trouble struct {
	after  time.Duration // since the event before it
	kind   string
	engine int
	share  float64 // of the orders that get no response from now on
	asked  []int   // models that are asked for from now on
}

// Kinds of troubles.
const (
	restart       = "restart"
	restartUnder  = "restart under a load without a response"
	entryGone     = "entry gone" // and back, with the same start
	handedOver    = "planner hands over for a moment"
	replaced      = "another instance plans"
	replacedUnder = "restart under a load without a response, and another instance plans"
	startedAnew   = "another instance plans that has just started"
	ordersLost    = "orders without a response"
	troublesInRun = 12
)

func drawTrouble(t *rapid.T, engines, models int) trouble {
	return trouble{
		asked:  rapid.SliceOfNDistinct(rapid.IntRange(0, models-1), 3, 4, rapid.ID).Draw(t, "asked"),
		after:  time.Duration(rapid.IntRange(0, 12000).Draw(t, "after, ms")) * time.Millisecond,
		kind:   rapid.SampledFrom([]string{restart, restartUnder, restartUnder, restartUnder, entryGone, handedOver, replaced, replacedUnder, startedAnew, ordersLost}).Draw(t, "kind"),
		engine: rapid.IntRange(0, engines-1).Draw(t, "engine"),
		share:  rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "share"),
	}
}

// Guards against an engine that orders overfill, however late they are carried out and however often it starts again.
func TestOrdersFitUnderTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, models := rapid.IntRange(1, 2).Draw(t, "engines"), rapid.IntRange(4, 6).Draw(t, "models")
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), engines, models)
		rate := rapid.SampledFrom([]float64{0.5, 2, 8}).Draw(t, "requests a second")
		asked := []int{0, 1, 2, 3}
		for range rapid.IntRange(3, troublesInRun).Draw(t, "troubles") {
			tr := drawTrouble(t, engines, models)
			sim.runAsked(tr.after, rate, asked)
			sim.apply(tr, rate, asked)
			asked = tr.asked
		}
		sim.runAsked(maxOrderDelay, rate, asked)
	})
}

// runAsked runs while some models are asked for.
func (sim *simulation) runAsked(d time.Duration, perSecond float64, asked []int) {
	sim.run(d, 0, func() {
		sim.checkDelayed()
		if sim.rng.Float64() < perSecond*testTick.Seconds() {
			sim.request(Key{Model: model(asked[sim.rng.IntN(len(asked))])})
		}
	})
}

// checkDelayed checks that each order that may still be carried out fits now.
func (sim *simulation) checkDelayed() {
	for _, e := range sim.engines {
		for _, d := range e.delayed {
			if d.order.Kind == Load && d.order.Adapter != "" && sim.exceedsSlots(e, d.order) {
				sim.t.Fatalf("%s: an order to load %s/%s with count %d may come", e.id, d.order.Model, d.order.Adapter, d.order.Precondition)
			}
			if d.order.Kind == Load && d.order.Adapter == "" && sim.overfills(e, d.order) {
				sim.t.Fatalf("%s: an order to load %s with count %d may come, beside %v", e.id, d.order.Model, d.order.Precondition, sortedKeys(e.models))
			}
		}
	}
}

// exceedsSlots reports whether an engine would hold too many adapters if an order arrived now.
func (sim *simulation) exceedsSlots(e *fakeEngine, o Order) bool {
	n := 0
	for _, a := range e.models {
		n += len(a)
	}
	return o.Precondition == e.sequence && e.models[o.Model] != nil && !e.models[o.Model][o.Adapter] && n >= sim.config.AdapterSlots
}

// apply lets a trouble happen, while some models are asked for.
func (sim *simulation) apply(tr trouble, rate float64, asked []int) {
	e := sim.engines[fmt.Sprintf("e%02d", tr.engine)]
	switch tr.kind {
	case restart:
		sim.restart(e)
	case restartUnder:
		sim.loadsLost = true
		for end := sim.now.Add(2 * time.Second); len(e.delayed) == 0 && sim.now < end; {
			sim.runAsked(testTick, rate, asked)
		}
		sim.loadsLost = false
		sim.restart(e)
	case entryGone:
		sim.dir.Remove(sim.now, e.id)
		sim.tick()
		sim.writeEntry(e)
	case handedOver:
		sim.placer.ForgetEngines()
	case replacedUnder:
		tr.kind = restartUnder
		sim.apply(tr, rate, asked)
		sim.replacePlanner()
	case replaced:
		sim.replacePlanner()
	case startedAnew:
		sim.replacePlanner()
		sim.forgetEntries()
	case ordersLost:
		sim.noResponseRate = tr.share
	}
}
