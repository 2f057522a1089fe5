package placer

import (
	"testing"
	"time"
)

// jump plays rare models that all are used all the time, and a model whose demand
// jumps to sixty a second: twelve callers wait for room on its one engine. It
// returns how many engines hold the model after five seconds.
func jump(t *testing.T, room bool) int {
	const engines, models, rarePerSecond, busyPerSecond = 20, 60, 8, 60
	p := newPlay(t, 11, engines, models)
	busy := Key{Group: group, Model: model(7)}
	p.run(5*time.Second, rarePerSecond, nil)
	p.run(5*time.Second, rarePerSecond, func() {
		for _, l := range p.placer.lanes {
			for _, m := range l.models {
				m.usedAt = p.now // none rests
			}
		}
		if p.rng.Float64() < busyPerSecond*testTick.Seconds() {
			p.placer.RecordArrivals(p.now, busy.Model, 1)
		}
		p.wants[busy] = Demand{Requests: 12, Since: p.now.Add(-100 * time.Millisecond), Saturated: room}
	})
	return p.holders(busy.Model)
}

// A model's demand jumps while no model on any engine rests: the callers that wait
// for room on its engines count like those that wait for a rare model, and take the
// place of the model that was used longest ago. Otherwise it stayed where it was,
// and they were turned away for ten seconds.
func TestCallersThatWaitForRoom(t *testing.T) {
	before, after := jump(t, false), jump(t, true)
	if need := 60/int(arrivalsPerReplica) + 1; after < need || before >= need {
		t.Errorf("%d engines hold it, %d if nobody counted", after, before)
	}
}

// No engine has a copy of anything but what it holds, so all loads come from the
// weight store, and rare models are asked for all the time. The model whose callers
// find no room gets its share of the store's loads, and rare ones the rest.
func TestBusyModelGetsTheStore(t *testing.T) {
	const engines, models, rarePerSecond = 20, 120, 4
	p := newPlay(t, 12, engines, models)
	for _, e := range p.engines {
		e.onDisk = nil
		p.write(e)
	}
	busy := Key{Group: group, Model: model(7)}
	p.run(10*time.Second, rarePerSecond, nil)
	loads := len(p.loads)
	p.run(20*time.Second, rarePerSecond, func() {
		p.placer.RecordArrivals(p.now, busy.Model, 1)
		p.wants[busy] = Demand{Requests: 12, Since: p.now.Add(-100 * time.Millisecond), Saturated: true}
	})
	got := p.holders(busy.Model)
	rare := len(p.loads) - loads - (got - 1)
	if got < 5 || rare < 3 {
		t.Errorf("%d engines hold the busy model, %d loads for rare ones", got, rare)
	}
}
