package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// base returns the model that a can't run without, false if it is none or not
// configured.
func (p *Placement) base(a id.Artifact) (id.Artifact, bool) {
	if !a.IsAdapter() {
		return "", false
	}
	_, ok := p.artifact(a.Model())
	return a.Model(), ok
}

// baseHere reports whether the model of a is on o, or ordered to be.
func (p *Placement) baseHere(o *owned, a id.Artifact) bool {
	m, needed := p.base(a)
	w := o.works[m]
	return !needed || (w != nil && !w.withdrawn)
}

// wantBase asks for the model that a wanted adapter lacks. It is decided before
// the adapter: without it, the engine would refuse the adapter's requests.
func (p *Placement) wantBase(o *owned, w *want) {
	m, _ := p.base(w.artifact)
	b := o.wants[m]
	if b == nil {
		b = &want{artifact: m, class: w.class, deadline: w.deadline, since: w.since, forBase: true, forwarded: true}
		o.wants[m] = b
	}
	b.until = max(b.until, w.until)
	if urgency(w.class) < urgency(b.class) {
		b.class = w.class
	}
	b.deadline = min(b.deadline, w.deadline)
}

// baseDenied drops the wants for adapters of a model that can't be loaded here,
// and gives up their standby rights, so that they can go where the model is.
func (p *Placement) baseDenied(o *owned, d *draft, m id.Artifact, now clock.Time) {
	for _, w := range o.sortedWants(now) {
		if b, needed := p.base(w.artifact); !needed || b != m || o.works[w.artifact] != nil {
			continue
		}
		delete(o.wants, w.artifact)
		p.yield(o, d, w.artifact, now)
	}
}

// baseLost reports whether an adapter is left on o without its model.
func (p *Placement) baseLost(o *owned, w *work, now clock.Time) bool {
	return !p.baseHere(o, w.artifact) && o.wants[w.artifact.Model()] == nil &&
		w.sentAt == 0 && w.loadedAt != 0 && now.Sub(w.loadedAt) > baseGrace
}

// baseGrace is how long an adapter may be on an engine without its model.
const baseGrace = 2 * time.Second

// dependents returns the adapters of m that o holds or has ordered, sorted.
func (o *owned) dependents(m id.Artifact) []*work {
	if m.IsAdapter() {
		return nil
	}
	var found []*work
	for _, a := range o.sortedWorks() {
		if a.IsAdapter() && a.Model() == m {
			found = append(found, o.works[a])
		}
	}
	return found
}

// runnable is the state of a held artifact as callers may count on it: an
// adapter is not loaded before its model is.
func (p *Placement) runnable(o *owned, h message.HeldArtifact) message.LoadState {
	m, needed := p.base(h.Artifact)
	if needed && h.State == message.Loaded && o.held[m].State != message.Loaded {
		return message.Loading
	}
	return h.State
}
