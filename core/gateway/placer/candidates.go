package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
)

// candidate is an engine on which a model could be loaded.
type candidate struct {
	engine    *engineState
	victim    string        // model to unload first; empty if there is enough memory
	readyIn   time.Duration // time until the model is usable
	work      time.Duration // of the engine, for this load alone
	fromStore bool
	// storeInterval is the time between two loads from the weight store while loads queue
	// for it.
	storeInterval time.Duration
	victimIdle    time.Duration // time since the victim was last used
	blocked       bool          // no model can be unloaded now
}

// placeModel returns an order that loads a model on the engine where it is ready first, or
// that unloads another model there. urgent says that requests wait for the load.
func (p *Placer) placeModel(now clock.Time, k Key, urgent bool) (Order, bool) {
	var candidates []candidate
	var blocked []candidate
	for _, e := range p.sortedEngines {
		c, ok := p.candidateOn(now, e, k, urgent)
		switch {
		case ok && c.blocked:
			blocked = append(blocked, c)
		case ok:
			candidates = append(candidates, c)
		}
	}
	p.recordForecast(now, k, append(blocked, candidates...))
	if len(candidates) == 0 {
		return Order{}, false
	}
	best := slices.MinFunc(candidates, compareCandidates)
	switch {
	case !best.engine.canTakeOrder(now):
		return Order{}, false // the engine is free soon, and waiting for it is faster
	case best.fromStore && !p.mayLoadFromStore(now, best.engine, k):
		return Order{}, false // and no model is unloaded before the load can start
	case best.victim != "":
		best.engine.reservation = reservation{model: k.Model, until: now.Add(reservationTimeout)}
		p.holderCount[k.model()]++
		return p.issueOrder(now, best.engine, Unload, best.victim, "")
	}
	return p.issueOrder(now, best.engine, Load, k.Model, "")
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.readyIn, b.readyIn), cmp.Compare(b.victimIdle, a.victimIdle), strings.Compare(a.engine.id, b.engine.id))
}

// unloadTime is the time that an unload adds to a load.
const unloadTime = 40 * time.Millisecond

// candidateOn returns how soon an engine could have a model loaded, and whether it can load
// it at all.
func (p *Placer) candidateOn(now clock.Time, e *engineState, k Key, urgent bool) (candidate, bool) {
	spec, supported := e.config.Models[k.Model]
	if e.reservedModel(now) != "" {
		return candidate{}, false
	}
	if e.group != k.Group || !k.allows(e) || !e.sharesLoad() || e.reachability != Reachable || !e.known || !supported || e.models[k.Model] != nil {
		return candidate{}, false
	}
	c := candidate{engine: e, victimIdle: time.Hour}
	c.readyIn, c.fromStore = e.loadTime(k.Model)
	c.work = c.readyIn
	if c.fromStore {
		concurrency := p.storeConcurrency()
		c.storeInterval = max(c.readyIn/time.Duration(concurrency), time.Duration(float64(time.Second)/max(0.1, e.config.LoadsPerSecond)))
		c.readyIn = max(c.readyIn, time.Duration(float64(c.readyIn)*float64(p.storeLoads()+1)/float64(concurrency)))
	}
	if e.usedMB()+spec.WeightsMB > e.config.MemoryMB {
		victim, ok := p.chooseVictim(now, e, urgent)
		if ok && e.unknownMB > 0 && e.usedMB()-e.config.Models[victim].WeightsMB+spec.WeightsMB > e.config.MemoryMB {
			return candidate{}, false // the room that is kept would take what the unload frees
		}
		if ok {
			c.victim, c.victimIdle = victim, now.Sub(e.models[victim].lastUsed)
		} else {
			c.blocked = true
			c.readyIn += minResidence
		}
		c.readyIn += unloadTime
		c.work += unloadTime
	}
	if e.loading != nil {
		c.readyIn += max(0, e.loading.expectedAt.Sub(now))
	}
	c.readyIn += p.queuedWork[e]
	// A load hardly slows the requests that run on the engine, but the first tokens of the
	// new model wait behind them, so an engine with fewer requests is preferred.
	c.readyIn += time.Duration(e.server.Running()) * time.Millisecond
	return c, true
}

// chooseVictim returns the model to unload from an engine: the one that has been idle
// longest, among those without demand and with more replicas than required. If urgent is
// false, the load only adds a replica for speed, and no recently used model is unloaded for
// it.
func (p *Placer) chooseVictim(now clock.Time, e *engineState, urgent bool) (string, bool) {
	const recentUse = 4 * time.Second
	best, bestIdle := "", time.Duration(-1)
	for _, name := range sortedKeys(e.models) {
		m := e.models[name]
		if e.server.RunningForModel(name) > 0 || now.Sub(m.loadedAt) < minResidence {
			continue
		}
		k := Key{Group: e.group, Model: name}
		if p.hasDemand[k] || p.holderCount[k] <= p.requiredReplicas(now, name) {
			continue
		}
		idle := now.Sub(m.lastUsed)
		if !urgent && idle < recentUse {
			continue
		}
		if idle > bestIdle {
			best, bestIdle = name, idle
		}
	}
	return best, best != ""
}
