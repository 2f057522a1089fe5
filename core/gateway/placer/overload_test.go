package placer

import (
	"slices"
	"testing"
	"time"
)

const testObjective = 2500 * time.Millisecond

// overload asks for rare models at random, faster than the engines can swap
// them, and returns how long each want waited.
func overload(t *testing.T, objective time.Duration) []time.Duration {
	p := newPlay(t, 31, 9, overloadModels)
	p.run(time.Second, 0, nil)
	p.waited = nil
	p.run(time.Minute, 0, func() {
		if p.rng.Float64() < overloadRate*testTick.Seconds() {
			k := Key{Group: group, Model: model(p.rng.IntN(overloadModels))}
			p.want(k)
			if objective > 0 {
				w := p.wants[k]
				w.ObjectiveDeadline = p.now.Add(objective)
				p.wants[k] = w
			}
		}
	})
	p.run(15*time.Second, 0, nil)
	if len(p.wants) > 0 {
		t.Errorf("%d still wait", len(p.wants))
	}
	slices.Sort(p.waited)
	return p.waited
}

// overloadRate is in wants a second, of overloadModels models; nine engines make
// about eight swaps.
const (
	overloadRate   = 20
	overloadModels = 100
)

// More swaps are wanted than the engines can make. Served in the order of
// arrival nearly all are late; with those first that can still be on time, more
// are, and nobody waits much longer.
func TestOnTimeFirstUnderOverload(t *testing.T) {
	onTime := func(waited []time.Duration) int {
		n, _ := slices.BinarySearch(waited, testObjective)
		return n
	}
	byAge, byDue := overload(t, 0), overload(t, testObjective)
	longest := byDue[len(byDue)-1]
	t.Logf("on time: %d of %d in order of arrival, %d of %d with those first that can be; longest %v and %v",
		onTime(byAge), len(byAge), onTime(byDue), len(byDue), byAge[len(byAge)-1], longest)
	if onTime(byDue) <= onTime(byAge)*11/10 {
		t.Errorf("%d on time, %d in order of arrival", onTime(byDue), onTime(byAge))
	}
	const patience = 10 * time.Second
	if longest > patience {
		t.Errorf("one waited %v", longest)
	}
}
