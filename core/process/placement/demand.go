package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Demand says that requests in this zone wait for an artifact.
type Demand struct {
	Artifact       id.Artifact
	Class          config.Class  // most urgent class among the waiting requests
	TimeToDeadline time.Duration // time until the earliest deadline
	Waiting        int           // number of waiting requests
}

// Intervals and timeouts of demands.
const (
	wantInterval  = 500 * time.Millisecond // between two Want messages
	targetTimeout = 3 * time.Second        // until another backend server is tried
	demandTTL     = 5 * time.Second        // until a demand that is not repeated is dropped
)

// demand is the queue owner's state for an artifact that requests wait for.
type demand struct {
	waitingSince   clock.Time // when requests began to wait
	target         id.Backend
	targetChosenAt clock.Time
	failedTarget   id.Backend // previous target, which did not start the load
	nextWantAt     clock.Time
	expiresAt      clock.Time
	loadingSince   clock.Time // when the load was first seen; 0: not loading
}

// SetDemand asks for as many replicas of an artifact as the waiting requests
// need. The queue owner calls it repeatedly while requests wait. It is
// idempotent: a burst of calls causes one load.
func (p *Placement) SetDemand(now clock.Time, m Demand, out *event.Outbox) {
	p.now = now
	artifact, ok := p.configuredArtifact(m.Artifact)
	if !ok {
		return
	}
	d := p.demands[m.Artifact]
	if d == nil {
		d = &demand{waitingSince: now}
		p.demands[m.Artifact] = d
	}
	d.expiresAt = now.Add(demandTTL)
	if now.Before(d.nextWantAt) {
		return
	}
	if p.hasEnoughReplicas(now, d, artifact, m) {
		d.target = ""
		return
	}
	d.nextWantAt = now.Add(wantInterval)
	if !p.chooseTarget(now, d, artifact) {
		return
	}
	out.Send(p.ownerOf(d.target), message.LoadRequest{
		Backend: d.target, Artifact: artifact.Name, Class: m.Class,
		TimeToDeadline: m.TimeToDeadline, Waiting: m.Waiting, Waited: now.Sub(d.waitingSince),
	})
}

// hasEnoughReplicas reports whether no further replica is needed: one is
// loading, the replica limit is reached, or the loaded ones have enough free
// request slots.
func (p *Placement) hasEnoughReplicas(now clock.Time, d *demand, artifact config.Artifact, m Demand) bool {
	count, freeSlots, loading := 0, 0, false
	for _, v := range p.holders[artifact.Name] {
		h := v.held[artifact.Name]
		if !v.usable() {
			continue
		}
		count++
		switch h.State {
		case message.Loading:
			loading = true
		case message.Loaded:
			freeSlots += max(v.group.Concurrency-v.report.Running, 0)
		}
	}
	p.trackLoading(now, d, loading)
	return loading || count >= maxReplicas(artifact) || (count > 0 && freeSlots >= m.Waiting)
}

// trackLoading records since when the artifact has been loading.
func (p *Placement) trackLoading(now clock.Time, d *demand, loading bool) {
	switch {
	case !loading:
		d.loadingSince = 0
	case d.loadingSince == 0:
		d.loadingSince = now
	}
}

// chooseTarget keeps the current target while it may still start the load, so
// that repeated calls don't load the artifact on several backend servers.
func (p *Placement) chooseTarget(now clock.Time, d *demand, artifact config.Artifact) bool {
	if v := p.views[d.target]; v != nil && now.Before(d.targetChosenAt.Add(targetTimeout)) &&
		passesFilters(p.candidate(v, artifact, "")) {
		return true
	}
	d.failedTarget = d.target
	d.target, d.targetChosenAt = p.pick(artifact, d.failedTarget), now
	return d.target != ""
}

func (p *Placement) expireDemands(now clock.Time) {
	for a, d := range p.demands {
		if now.Reached(d.expiresAt) {
			delete(p.demands, a)
		}
	}
}

// ownerOf returns the instance that last sent the state of b or, if that is too
// long ago, the one that should own it.
func (p *Placement) ownerOf(b id.Backend) id.Instance {
	if p.owned[b] != nil {
		return p.settings.Instance
	}
	if v := p.views[b]; v != nil && v.owner != "" && p.now.Sub(v.receivedAt) < ownerTTL {
		return v.owner
	}
	return p.preferredOwner(b)
}
