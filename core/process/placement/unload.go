package placement

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/keepalive"
	"oleanderdale.org/core/table"
)

// firstUseGrace is how long a replica that was not used yet stays loaded: the
// requests for which it was loaded are on their way.
const firstUseGrace = 5 * time.Second

// planWithdraw withdraws replicas that were refused, are no longer configured,
// or have been idle for longer than the policy keeps them.
func (p *Placement) planWithdraw(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if now.Before(o.nextIdleCheckAt) {
		return
	}
	o.nextIdleCheckAt = now.Add(time.Second)
	for _, a := range o.sortedArtifacts() {
		if replica := o.replicas[a]; !replica.withdrawn && p.shouldUnload(o, replica, now) {
			p.withdraw(o, d, replica, now)
		}
	}
}

// withdraw decides to unload a replica. One in the pool needs no write. The
// larger fencing number lets an engine that checks it refuse late load orders
// once it has seen the unload order.
func (p *Placement) withdraw(o *ownedBackend, d *rowDraft, replica *managedReplica, now clock.Time) {
	if replica.inPool {
		replica.withdrawn, replica.retryAt, o.stateChanged = true, now, true
		return
	}
	for i := range d.row.Reservations {
		if d.row.Reservations[i].Artifact == replica.artifact {
			d.row.Reservations[i].State = table.Withdrawn
		}
	}
	if !d.changed {
		d.row.Fencing++
	}
	d.changed = true
}

// shouldUnload reports whether the replica should be unloaded even though its
// memory is not needed.
func (p *Placement) shouldUnload(o *ownedBackend, replica *managedReplica, now clock.Time) bool {
	if _, configured := p.configuredArtifact(replica.artifact); !configured || replica.loadRefused {
		return true
	}
	if o.loadRequests[replica.artifact] != nil {
		return false
	}
	if p.lacksBaseModel(o, replica, now) {
		return true
	}
	if o.reportKnown && o.held[replica.artifact].State == Cold && replica.acceptedAt != 0 &&
		o.reportAskedAt.Reached(replica.quietAt) {
		return true // lost in a restart of the engine, and no request waits for it
	}
	if !p.evictable(o, replica, now) || len(o.adaptersOf(replica.artifact)) > 0 {
		return false
	}
	item := p.keepAliveItem(o, replica, now)
	return item.IdleTime >= p.policy.KeepTime(item)
}

// evictable reports whether the replica is loaded and unused.
func (p *Placement) evictable(o *ownedBackend, replica *managedReplica, now clock.Time) bool {
	h := o.held[replica.artifact]
	switch {
	case h.State != message.Loaded || h.Running > 0 || replica.withdrawn || o.loadRequests[replica.artifact] != nil:
		return false
	case h.Uses == 0 && now.Before(replica.loadedAt.Add(firstUseGrace)):
		return false
	}
	return true
}

// keepAliveItem describes the replica to the keep-alive policy.
func (p *Placement) keepAliveItem(o *ownedBackend, replica *managedReplica, now clock.Time) keepalive.IdleArtifact {
	artifact, _ := p.configuredArtifact(replica.artifact)
	h := o.held[replica.artifact]
	idle := h.Idle + now.Sub(o.reportAskedAt)
	if h.Uses == 0 {
		idle = now.Sub(replica.loadedAt)
	}
	size := float64(max(o.row.Bytes, 1))
	return keepalive.IdleArtifact{
		Artifact:       replica.artifact,
		Bytes:          replica.bytes,
		MemoryShare:    float64(replica.bytes) / size,
		LoadTime:       p.expectedLoadTime(artifact, p.cacheLevelAt(o.name, replica.artifact)),
		IdleTime:       idle,
		MemoryPressure: float64(reservedBytes(o.row)) / size,
	}
}

// batchEvictionDelay is how long batch requests wait before a replica that
// other classes use is evicted for them.
const batchEvictionDelay = 2 * time.Minute

// protectedFromBatch reports whether the replica must not be evicted for the
// request yet. Without this rule, a large number of batch requests evicted
// models that technicians use whenever these were idle for a moment; each
// technician then waited for a load, behind the batch.
func (p *Placement) protectedFromBatch(replica *managedReplica, req *loadRequest, now clock.Time) bool {
	return req.class == config.Batch && p.lastRequestedClass(replica.artifact) != config.Batch &&
		now.Sub(req.waitingSince) < batchEvictionDelay
}

// preemptible reports whether the replica may be evicted although it runs
// requests: batch requests give way to a request of another class. The engine
// finishes the running requests and receives no new ones. Without this rule, a
// continuous stream of batch requests would keep its memory indefinitely.
func (p *Placement) preemptible(o *ownedBackend, replica *managedReplica, req *loadRequest) bool {
	return req.class != config.Batch && p.lastRequestedClass(replica.artifact) == config.Batch &&
		o.held[replica.artifact].State == message.Loaded && !replica.withdrawn && o.loadRequests[replica.artifact] == nil
}

// lastRequestedClass returns the class for which the artifact was last
// requested.
func (p *Placement) lastRequestedClass(a id.Artifact) config.Class {
	if c, ok := p.lastClass[a]; ok {
		return c
	}
	return config.Interactive
}

// freeMemory withdraws the replicas with the least expected loss until the
// artifact fits, taking into account those that are already withdrawn. If it
// can't fit, freeMemory returns false and withdraws nothing.
func (p *Placement) freeMemory(o *ownedBackend, d *rowDraft, req *loadRequest, artifact config.Artifact, now clock.Time) bool {
	neededBytes := reservedBytes(d.row) + artifact.Bytes - d.row.Bytes
	evicted, ok := p.chooseEvictions(o, req, neededBytes, false, now)
	for _, replica := range evicted {
		p.withdraw(o, d, replica, now)
	}
	return ok
}

// preemptionLoss ranks replicas that run requests after all idle ones.
const preemptionLoss = 1e6

// evictionChoice is a replica that may be evicted, with the adapters that can't
// run without it.
type evictionChoice struct {
	replicas []*managedReplica
	loss     float64
}

// evictionChoiceFor returns false if the target or one of its adapters can't be
// evicted.
func (p *Placement) evictionChoiceFor(o *ownedBackend, target *managedReplica, req *loadRequest, now clock.Time) (evictionChoice, bool) {
	choice := evictionChoice{replicas: append(o.adaptersOf(target.artifact), target)}
	for _, replica := range choice.replicas {
		unused := p.evictable(o, replica, now)
		if replica.inPool != target.inPool || p.protectedFromBatch(replica, req, now) ||
			(!unused && !p.preemptible(o, replica, req)) {
			return choice, false
		}
		if !unused {
			choice.loss += preemptionLoss
		}
		choice.loss += p.policy.EvictionCost(p.keepAliveItem(o, replica, now))
	}
	return choice, true
}

// chooseEvictions returns the replicas to withdraw, in addition to those
// already withdrawn, to free neededBytes. It returns false if that is not
// possible.
func (p *Placement) chooseEvictions(o *ownedBackend, req *loadRequest, neededBytes int64, inPool bool, now clock.Time) ([]*managedReplica, bool) {
	var choices []evictionChoice
	for _, a := range o.sortedArtifacts() {
		replica := o.replicas[a]
		switch {
		case replica.inPool != inPool:
		case replica.withdrawn:
			neededBytes -= replica.bytes
		default:
			if choice, ok := p.evictionChoiceFor(o, replica, req, now); ok {
				choices = append(choices, choice)
			}
		}
	}
	slices.SortStableFunc(choices, func(x, y evictionChoice) int { return cmp.Compare(x.loss, y.loss) })
	var evicted []*managedReplica
	for _, choice := range choices {
		if neededBytes <= 0 {
			break
		}
		for _, replica := range choice.replicas {
			if !slices.Contains(evicted, replica) {
				evicted = append(evicted, replica)
				neededBytes -= replica.bytes
			}
		}
	}
	if neededBytes > 0 {
		return nil, false
	}
	return evicted, true
}
