package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// base returns the model that a can't run without, false if it is none or not
// configured.
func (p *Placement) baseModel(a id.Artifact) (id.Artifact, bool) {
	if !a.IsAdapter() {
		return "", false
	}
	_, configured := p.configuredArtifact(a.Model())
	return a.Model(), configured
}

// baseHere reports whether the model of a is on o, or ordered to be.
func (p *Placement) hasBaseModel(o *ownedBackend, a id.Artifact) bool {
	model, needed := p.baseModel(a)
	base := o.replicas[model]
	return !needed || (base != nil && !base.withdrawn)
}

// wantBase asks for the model that a wanted adapter lacks. It is decided before
// the adapter: without it, the engine would refuse the adapter's requests.
func (p *Placement) requestBaseModel(o *ownedBackend, req *loadRequest) {
	model, _ := p.baseModel(req.artifact)
	base := o.loadRequests[model]
	if base == nil {
		base = &loadRequest{artifact: model, class: req.class, deadline: req.deadline, receivedAt: req.receivedAt, forAdapter: true, forwarded: true}
		o.loadRequests[model] = base
	}
	base.expiresAt = max(base.expiresAt, req.expiresAt)
	if classRank(req.class) < classRank(base.class) {
		base.class = req.class
	}
	base.deadline = min(base.deadline, req.deadline)
}

// baseDenied drops the wants for adapters of a model that can't be loaded here,
// and gives up their standby rights, so that they can go where the model is.
func (p *Placement) dropAdapterRequests(o *ownedBackend, d *rowDraft, model id.Artifact, now clock.Time) {
	for _, req := range o.activeLoadRequests(now) {
		if base, needed := p.baseModel(req.artifact); !needed || base != model || o.replicas[req.artifact] != nil {
			continue
		}
		delete(o.loadRequests, req.artifact)
		p.relinquishStandby(o, d, req.artifact, now)
	}
}

// baseLost reports whether an adapter is left on o without its model.
func (p *Placement) lacksBaseModel(o *ownedBackend, replica *managedReplica, now clock.Time) bool {
	return !p.hasBaseModel(o, replica.artifact) && o.loadRequests[replica.artifact.Model()] == nil &&
		replica.loadSentAt == 0 && replica.loadedAt != 0 && now.Sub(replica.loadedAt) > missingBaseGrace
}

// baseGrace is how long an adapter may be on an engine without its model.
const missingBaseGrace = 2 * time.Second

// dependents returns the adapters of m that o holds or has ordered, sorted.
func (o *ownedBackend) adaptersOf(model id.Artifact) []*managedReplica {
	if model.IsAdapter() {
		return nil
	}
	var found []*managedReplica
	for _, a := range o.sortedArtifacts() {
		if a.IsAdapter() && a.Model() == model {
			found = append(found, o.replicas[a])
		}
	}
	return found
}

// runnable is the state of a held artifact as callers may count on it: an
// adapter is not loaded before its model is.
func (p *Placement) effectiveState(o *ownedBackend, h message.Held) message.LoadState {
	model, needed := p.baseModel(h.Artifact)
	if needed && h.State == message.Loaded && o.held[model].State != message.Loaded {
		return message.Loading
	}
	return h.State
}
