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
	Artifact id.Artifact
	Class    config.Class  // the most urgent class that waits
	Within   time.Duration // until the earliest deadline
	Waiting  int           // requests
}

// Periods of demands.
const (
	wantEvery   = 500 * time.Millisecond // a Want is repeated
	repickAfter = 3 * time.Second        // another backend server is tried
	demandFresh = 5 * time.Second        // forgotten if not repeated
)

// demand is what the queue owner does about an artifact that requests wait for.
type demand struct {
	since     clock.Time // when requests began to wait
	target    id.Backend
	targetAt  clock.Time
	avoid     id.Backend // a target that did not start
	wantAt    clock.Time
	until     clock.Time
	loadingAt clock.Time // since when a load is seen
}

// Demand asks for as many replicas of an artifact as the waiting requests need.
// The queue owner calls it again and again while requests wait: it is
// idempotent, and a burst of calls is one load.
func (p *Placement) Demand(now clock.Time, m Demand, out *event.Outbox) {
	p.now = now
	c, ok := p.artifact(m.Artifact)
	if !ok {
		return
	}
	d := p.demands[m.Artifact]
	if d == nil {
		d = &demand{since: now}
		p.demands[m.Artifact] = d
	}
	d.until = now.Add(demandFresh)
	if now.Before(d.wantAt) {
		return
	}
	if p.enough(now, d, c, m) {
		d.target = ""
		return
	}
	d.wantAt = now.Add(wantEvery)
	if !p.choose(now, d, c) {
		return
	}
	out.Send(p.ownerOf(d.target), message.LoadRequest{
		Backend: d.target, Artifact: c.Name, Class: m.Class,
		TimeToDeadline: m.Within, Waiting: m.Waiting, Waited: now.Sub(d.since),
	})
}

// enough reports whether no further replica is needed: one is on its way, or
// those loaded have room for the requests that wait.
func (p *Placement) enough(now clock.Time, d *demand, c config.Artifact, m Demand) bool {
	count, room, loading := 0, 0, false
	for _, v := range p.holders[c.Name] {
		h := v.held[c.Name]
		if !v.usable() {
			continue
		}
		count++
		switch h.State {
		case message.Loading:
			loading = true
		case message.Loaded:
			room += max(v.group.Concurrency-v.report.Running, 0)
		}
	}
	p.seenLoading(now, d, loading)
	return loading || count >= maxReplicas(c) || (count > 0 && room >= m.Waiting)
}

func (p *Placement) seenLoading(now clock.Time, d *demand, loading bool) {
	switch {
	case !loading:
		d.loadingAt = 0
	case d.loadingAt == 0:
		d.loadingAt = now
	}
}

// choose keeps to the target while it may still start, so that repeats don't
// load the artifact in several places.
func (p *Placement) choose(now clock.Time, d *demand, c config.Artifact) bool {
	if v := p.views[d.target]; v != nil && now.Before(d.targetAt.Add(repickAfter)) &&
		passes(p.candidate(v, c, "")) {
		return true
	}
	d.avoid = d.target
	d.target, d.targetAt = p.pick(c, d.avoid), now
	return d.target != ""
}

func (p *Placement) expireDemands(now clock.Time) {
	for a, d := range p.demands {
		if now.Reached(d.until) {
			delete(p.demands, a)
		}
	}
}

// ownerOf returns the instance that last told about b, or the one that should
// own it.
func (p *Placement) ownerOf(b id.Backend) id.Instance {
	if p.owned[b] != nil {
		return p.set.Instance
	}
	if v := p.views[b]; v != nil && v.owner != "" && p.now.Sub(v.heardAt) < viewFresh {
		return v.owner
	}
	return p.ownerByRank(b)
}
