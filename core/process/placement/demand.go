package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Demand says that requests wait for an artifact in this zone.
type Demand struct {
	Artifact       id.Artifact
	Class          config.Class  // the most urgent class that waits
	TimeToDeadline time.Duration // until the earliest deadline
	Waiting        int           // requests
}

// Periods of demands.
const (
	wantInterval  = 500 * time.Millisecond // a Want is repeated
	targetTimeout = 3 * time.Second        // another backend server is tried
	demandTTL     = 5 * time.Second        // forgotten if not repeated
)

// demand is what the queue owner does about an artifact that requests wait for.
type demand struct {
	waitingSince   clock.Time // when requests began to wait
	target         id.Backend
	targetChosenAt clock.Time
	failedTarget   id.Backend // a target that did not start
	nextWantAt     clock.Time
	expiresAt      clock.Time
	loadingSince   clock.Time // since when a load is seen
}

// SetDemand asks for as many replicas of an artifact as the waiting requests need.
// The queue owner calls it again and again while requests wait: it is
// idempotent, and a burst of calls is one load.
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
	out.Send(p.ownerOf(d.target), message.Want{
		Backend: d.target, Artifact: artifact.Name, Class: m.Class,
		Within: m.TimeToDeadline, Waiting: m.Waiting, Waited: now.Sub(d.waitingSince),
	})
}

// enough reports whether no further replica is needed: one is on its way, or
// those loaded have room for the requests that wait.
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

func (p *Placement) trackLoading(now clock.Time, d *demand, loading bool) {
	switch {
	case !loading:
		d.loadingSince = 0
	case d.loadingSince == 0:
		d.loadingSince = now
	}
}

// choose keeps to the target while it may still start, so that repeats don't
// load the artifact in several places.
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

// ownerOf returns the instance that last told about b, or the one that should
// own it.
func (p *Placement) ownerOf(b id.Backend) id.Instance {
	if p.owned[b] != nil {
		return p.settings.Instance
	}
	if v := p.views[b]; v != nil && v.owner != "" && p.now.Sub(v.receivedAt) < ownerTTL {
		return v.owner
	}
	return p.preferredOwner(b)
}
