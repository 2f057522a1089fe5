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

// firstUse is how long a replica stays that was loaded and not used yet: the
// requests that it was loaded for are on their way.
const firstUseGrace = 5 * time.Second

// planWithdraw withdraws what is refused, not configured any more, or idle for
// longer than it is worth keeping.
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

// withdraw decides an unload. A pre-authorised replica needs no write. The
// larger fencing number lets a checking engine refuse load orders that are
// still under way once it has seen the unload order.
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

// dispensable reports whether w should go without anybody needing its memory.
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
	if o.reportKnown && o.held[replica.artifact].State == Cold && replica.acceptedAt != 0 && o.reportAskedAt.Reached(replica.quietAt) {
		return true // lost with a restart of the engine, and nobody waits for it
	}
	if !p.evictable(o, replica, now) || len(o.adaptersOf(replica.artifact)) > 0 {
		return false
	}
	it := p.keepAliveItem(o, replica, now)
	return it.Idle >= p.policy.Keep(it)
}

// evictable reports whether w is loaded and unused.
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

// item describes w to the policy.
func (p *Placement) keepAliveItem(o *ownedBackend, replica *managedReplica, now clock.Time) keepalive.Item {
	artifact, _ := p.configuredArtifact(replica.artifact)
	h := o.held[replica.artifact]
	idle := h.Idle + now.Sub(o.reportAskedAt)
	if h.Uses == 0 {
		idle = now.Sub(replica.loadedAt)
	}
	size := float64(max(o.row.Bytes, 1))
	return keepalive.Item{
		Artifact: replica.artifact,
		Bytes:    replica.bytes,
		Share:    float64(replica.bytes) / size,
		LoadCost: p.expectedLoadTime(artifact, p.cacheLevelAt(o.name, replica.artifact)),
		Idle:     idle,
		Pressure: float64(reservedBytes(o.row)) / size,
	}
}

// batchPatience is how long batch requests wait before a replica that others
// use is unloaded for them.
const batchEvictionDelay = 2 * time.Minute

// spared reports whether w stays though its memory is wanted. Batch requests
// that come in numbers unloaded what technicians use as soon as it stood idle
// for a moment; each technician then waited for a load, behind the batch.
func (p *Placement) protectedFromBatch(replica *managedReplica, req *loadRequest, now clock.Time) bool {
	return req.class == config.Batch && p.lastRequestedClass(replica.artifact) != config.Batch &&
		now.Sub(req.waitingSince) < batchEvictionDelay
}

// yields reports whether w goes though requests run on it: those of a batch, for
// a caller who waits. The engine ends what runs and takes nothing new; without
// that, a stream of batch requests keeps its memory for as long as it lasts.
func (p *Placement) preemptible(o *ownedBackend, replica *managedReplica, req *loadRequest) bool {
	return req.class != config.Batch && p.lastRequestedClass(replica.artifact) == config.Batch &&
		o.held[replica.artifact].State == message.Loaded && !replica.withdrawn && o.loadRequests[replica.artifact] == nil
}

// wantedBy returns the class for which an artifact was last loaded.
func (p *Placement) lastRequestedClass(a id.Artifact) config.Class {
	if c, ok := p.lastClass[a]; ok {
		return c
	}
	return config.Interactive
}

// makeRoom withdraws the replicas with the least expected loss until c fits,
// counting what is on its way out already. It reports false, and unloads
// nothing, if it can't fit.
func (p *Placement) freeMemory(o *ownedBackend, d *rowDraft, req *loadRequest, artifact config.Artifact, now clock.Time) bool {
	neededBytes := reservedBytes(d.row) + artifact.Bytes - d.row.Bytes
	evicted, ok := p.chooseEvictions(o, req, neededBytes, false, now)
	for _, replica := range evicted {
		p.withdraw(o, d, replica, now)
	}
	return ok
}

// breakLoss puts replicas that run something behind all that are idle.
const preemptionLoss = 1e6

// victim is a replica that may be unloaded, with the adapters that can't run
// without it.
type evictionChoice struct {
	replicas []*managedReplica
	loss     float64
}

// victim reports false if something of it is in use.
func (p *Placement) evictionChoiceFor(o *ownedBackend, target *managedReplica, req *loadRequest, now clock.Time) (evictionChoice, bool) {
	choice := evictionChoice{replicas: append(o.adaptersOf(target.artifact), target)}
	for _, replica := range choice.replicas {
		unused := p.evictable(o, replica, now)
		if replica.inPool != target.inPool || p.protectedFromBatch(replica, req, now) || (!unused && !p.preemptible(o, replica, req)) {
			return choice, false
		}
		if !unused {
			choice.loss += preemptionLoss
		}
		choice.loss += p.policy.Loss(p.keepAliveItem(o, replica, now))
	}
	return choice, true
}

// victims returns what must be withdrawn, beside what is on its way out, to
// free lack bytes. It reports false if that can't be had.
func (p *Placement) chooseEvictions(o *ownedBackend, req *loadRequest, neededBytes int64, inPool bool, now clock.Time) ([]*managedReplica, bool) {
	var choices []evictionChoice
	for _, a := range o.sortedArtifacts() {
		replica := o.replicas[a]
		switch {
		case replica.inPool != inPool:
		case replica.withdrawn:
			neededBytes -= replica.bytes
		default:
			if v, ok := p.evictionChoiceFor(o, replica, req, now); ok {
				choices = append(choices, v)
			}
		}
	}
	slices.SortStableFunc(choices, func(x, y evictionChoice) int { return cmp.Compare(x.loss, y.loss) })
	var evicted []*managedReplica
	for _, v := range choices {
		if neededBytes <= 0 {
			break
		}
		for _, replica := range v.replicas {
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
