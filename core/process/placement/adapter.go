package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// baseModel returns the model that the adapter a needs. It returns false if a
// is not an adapter or its model is not configured.
func (p *Placement) baseModel(a id.Artifact) (id.Artifact, bool) {
	if !a.IsAdapter() {
		return "", false
	}
	_, configured := p.configuredArtifact(a.Model())
	return a.Model(), configured
}

// hasBaseModel reports whether the model that a needs is on o or going to be
// loaded there. It is true if a needs none.
func (p *Placement) hasBaseModel(o *ownedBackend, a id.Artifact) bool {
	model, needed := p.baseModel(a)
	base := o.replicas[model]
	return !needed || (base != nil && !base.withdrawn)
}

// requestBaseModel requests the model that a requested adapter needs. The model
// is decided before the adapter: without it, the engine would refuse the
// adapter's requests.
func (p *Placement) requestBaseModel(o *ownedBackend, req *loadRequest) {
	model, _ := p.baseModel(req.artifact)
	base := o.loadRequests[model]
	if base == nil {
		base = &loadRequest{
			artifact: model, class: req.class, deadline: req.deadline, receivedAt: req.receivedAt,
			forAdapter: true, forwarded: true,
		}
		o.loadRequests[model] = base
	}
	base.expiresAt = max(base.expiresAt, req.expiresAt)
	if classRank(req.class) < classRank(base.class) {
		base.class = req.class
	}
	base.deadline = min(base.deadline, req.deadline)
}

// dropAdapterRequests drops the load requests for adapters of a model that
// can't be loaded here and gives up their standby rights, so that they can be
// loaded where the model is.
func (p *Placement) dropAdapterRequests(o *ownedBackend, d *rowDraft, model id.Artifact, now clock.Time) {
	for _, req := range o.activeLoadRequests(now) {
		if base, needed := p.baseModel(req.artifact); !needed || base != model || o.replicas[req.artifact] != nil {
			continue
		}
		delete(o.loadRequests, req.artifact)
		p.relinquishStandby(o, d, req.artifact, now)
	}
}

// lacksBaseModel reports whether an adapter has been on o without its model for
// longer than missingBaseGrace, with no load of the model requested.
func (p *Placement) lacksBaseModel(o *ownedBackend, replica *managedReplica, now clock.Time) bool {
	return !p.hasBaseModel(o, replica.artifact) && o.loadRequests[replica.artifact.Model()] == nil &&
		replica.loadSentAt == 0 && replica.loadedAt != 0 && now.Sub(replica.loadedAt) > missingBaseGrace
}

// missingBaseGrace is how long an adapter may stay on an engine without its
// model.
const missingBaseGrace = 2 * time.Second

// adaptersOf returns the adapters of model that are on o or decided there,
// sorted.
func (o *ownedBackend) adaptersOf(model id.Artifact) []*managedReplica {
	if model.IsAdapter() {
		return nil
	}
	var adapters []*managedReplica
	for _, a := range o.sortedArtifacts() {
		if a.IsAdapter() && a.Model() == model {
			adapters = append(adapters, o.replicas[a])
		}
	}
	return adapters
}

// effectiveState returns the state of a held artifact for callers: an adapter
// does not count as loaded before its model is loaded.
func (p *Placement) effectiveState(o *ownedBackend, h message.HeldArtifact) message.LoadState {
	model, needed := p.baseModel(h.Artifact)
	if needed && h.State == message.Loaded && o.held[model].State != message.Loaded {
		return message.Loading
	}
	return h.State
}
