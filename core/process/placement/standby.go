package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
)

// Limits of the assignment of standby replicas. The table service can't carry
// one for each of tens of thousands of adapters at once: then only those used
// here within the last day get one.
const (
	standbyInterval        = 2 * time.Second // a write per backend server at most
	maxArtifactsAllStandby = 400             // configured artifacts that all get one
	maxStandbysPerBackend  = 256             // on one backend server: its row must stay small
	standbyUseWindow       = 24 * time.Hour
	relinquishPause        = 30 * time.Second // none is assigned after one was given up
)

// mayStandby reports whether a may be loaded here without the table.
func (o *ownedBackend) canLoadStandby(a id.Artifact) bool {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) {
		return false
	}
	// While a write that gives the right up may be under way, it is not used.
	return o.pendingWrite == nil || slices.Contains(o.pendingWrite.row.Standby, a)
}

// poolUsed is what the pool holds or may be ordered to hold, in bytes.
func (o *ownedBackend) poolUsedBytes() int64 {
	sum := int64(0)
	for _, replica := range o.replicas {
		if replica.inPool {
			sum += replica.bytes
		}
	}
	return sum
}

// learnPool finds out what the pool holds after a take. The table doesn't say:
// an earlier owner may have loaded into it, and its orders may be under way.
func (p *Placement) adoptPool(o *ownedBackend, now clock.Time) {
	// The giver's orders carry the number of a row that is not claimed yet.
	fenced := !o.unclaimed && p.checksFencing(o.name) && o.report.Fencing >= o.row.Fencing
	if !o.poolKnown && !fenced && o.reportAskedAt.Before(o.poolQuietAt) && !p.disabled.poolAdoption {
		return
	}
	o.poolKnown = true
	for _, h := range o.report.Held {
		if o.replicas[h.Artifact] == nil {
			o.replicas[h.Artifact] = p.adoptReplica(o, h, now)
		}
	}
}

// adopt counts an artifact that is loaded without a reservation to the pool. If
// it is not pre-authorised here, it is unloaded.
func (p *Placement) adoptReplica(o *ownedBackend, h message.Held, now clock.Time) *managedReplica {
	return &managedReplica{
		artifact: h.Artifact, bytes: h.Bytes, inPool: true, loadSent: true, acceptedAt: now,
		withdrawn: !slices.Contains(o.row.Standby, h.Artifact),
		quietAt:   now, maxLoadFencing: o.maxEarlierFencing(), cacheLevel: message.CacheDisk,
	}
}

// servePool starts the loads that need no table: pre-authorised artifacts,
// within the memory that is set aside for them.
func (p *Placement) startPoolLoads(o *ownedBackend, now clock.Time) {
	p.removeUnloaded(o)
	if !o.reportKnown || o.leaving || o.down || !o.poolKnown || !p.canSendOrders(o, now) {
		return
	}
	for _, req := range o.activeLoadRequests(now) {
		// A reservation for it may be under way to the table, for as long as the
		// table is down: that must not hold the load up. If it is found to have
		// taken effect, the one replica here counts to it.
		if o.replicas[req.artifact] == nil && o.held[req.artifact].State == Cold && o.canLoadStandby(req.artifact) {
			if p.hasBaseModel(o, req.artifact) {
				p.startPoolLoad(o, req, now)
			} else {
				p.requestBaseModel(o, req)
			}
		}
	}
}

// clearPool removes what is unloaded, also what the engine lost.
func (p *Placement) removeUnloaded(o *ownedBackend) {
	for a, replica := range o.replicas {
		if replica.inPool && replica.withdrawn && p.provenAbsent(o, replica) {
			delete(o.replicas, a)
		}
	}
}

func (p *Placement) startPoolLoad(o *ownedBackend, req *loadRequest, now clock.Time) {
	artifact, ok := p.configuredArtifact(req.artifact)
	if !ok {
		return
	}
	if neededBytes := o.poolUsedBytes() + artifact.Bytes - o.row.StandbyBytes; neededBytes > 0 {
		req.storeWaitAt = 0
		evicted, _ := p.chooseEvictions(o, req, neededBytes, true, now)
		for _, replica := range evicted {
			p.withdraw(o, nil, replica, now)
		}
		return
	}
	if !p.weightStore.tryStart(p, o, req, now) {
		return
	}
	if !p.checker.Hold(o.poolUsedBytes()+artifact.Bytes <= o.row.StandbyBytes, "standby-overcommitted",
		"%s at %s: %d and %d of %d bytes", artifact.Name, o.name, o.poolUsedBytes(), artifact.Bytes, o.row.StandbyBytes) {
		return
	}
	o.replicas[artifact.Name] = &managedReplica{
		artifact: artifact.Name, bytes: artifact.Bytes, inPool: true, cacheLevel: p.cacheLevelAt(o.name, artifact.Name),
	}
}

// poolWill reports whether the pool has or will have room for c.
func (p *Placement) poolCanFit(o *ownedBackend, req *loadRequest, artifact config.Artifact, now clock.Time) bool {
	if !o.canLoadStandby(artifact.Name) || artifact.Bytes > o.row.StandbyBytes {
		return false
	}
	_, ok := p.chooseEvictions(o, req, o.poolUsedBytes()+artifact.Bytes-o.row.StandbyBytes, true, now)
	return ok
}

// poolHas reports whether an artifact without a standby right anywhere could get
// it here and be loaded into the pool, with evictions or without.
func (p *Placement) canAddToPool(o *ownedBackend, req *loadRequest, r replicaRow, artifact config.Artifact, evict bool, now clock.Time) bool {
	if r.row.Standby != "" || len(r.row.Decided) > 0 || !o.poolKnown || len(o.row.Standby) >= maxStandbysPerBackend {
		return false
	}
	neededBytes := o.poolUsedBytes() + artifact.Bytes - o.row.StandbyBytes
	if neededBytes <= 0 || !evict || artifact.Bytes > o.row.StandbyBytes {
		return neededBytes <= 0
	}
	_, ok := p.chooseEvictions(o, req, neededBytes, true, now)
	return ok
}

// planStandby assigns the standby right of a few artifacts to o, and gives up
// that of artifacts which are not configured any more.
func (p *Placement) planStandby(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if now.Before(o.nextStandbyAt) || !o.reportKnown || o.leaving || o.down || p.releaseDue(o, now) || p.settings.StandbyShare < 0 {
		return
	}
	o.nextStandbyAt = now.Add(standbyInterval)
	p.removeStandbys(o, d, now)
	for _, a := range p.standbyCandidates(o, now) {
		if d.full() {
			break
		}
		p.addStandby(o, d, a)
	}
	if len(d.missingRows) > 0 {
		o.nextStandbyAt = now // the rows are read first
	}
}

// dropStandbys gives up the rights that are of no more use. The pool must be
// known, or an earlier owner's order could carry such a right out later.
func (p *Placement) removeStandbys(o *ownedBackend, d *rowDraft, now clock.Time) {
	if !o.poolKnown {
		return
	}
	for _, a := range o.row.Standby {
		_, configured := p.configuredArtifact(a)
		unused := !p.fewArtifacts() && now.Sub(max(p.lastUsed[a], o.ownedSince)) > standbyUseWindow
		if (configured && !unused) || o.replicas[a] != nil || d.full() {
			continue
		}
		if p.removeDecision(o, d, a) {
			d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
		}
	}
}

// addStandby assigns the right if the replica row has none and the limit allows
// it. Where a replica is decided already, the right goes to its place.
func (p *Placement) addStandby(o *ownedBackend, d *rowDraft, a id.Artifact) {
	artifact, _ := p.configuredArtifact(a)
	r, ok := p.replicaRowFor(d, a)
	if !ok {
		return
	}
	elsewhere := len(r.row.Decided) > 0 && !slices.Contains(r.row.Decided, o.name)
	if r.row.Standby != "" || elsewhere {
		if p.now.Sub(r.readAt) > replicaRowTTL {
			delete(p.replicaRows, a) // read again the next time
		}
		p.standbyBackends[a] = cmp.Or(r.row.Standby, p.standbyBackends[a])
		return
	}
	if r.row.Standby = o.name; len(decidedBackends(r.row)) > maxReplicas(artifact) {
		return // fewer are configured than were decided before
	}
	d.row.Standby = append(d.row.Standby, a)
	d.addReplicaWrite(r)
}

// standbyCandidates returns artifacts without a standby that should have it
// here, sorted.
func (p *Placement) standbyCandidates(o *ownedBackend, now clock.Time) []id.Artifact {
	v := p.views[o.name]
	if v == nil || o.row.StandbyBytes == 0 {
		return nil
	}
	var found []id.Artifact
	for _, a := range p.standbyEligible(o) {
		artifact, ok := p.configuredArtifact(a)
		if !ok || artifact.Group != v.group.Name || artifact.Bytes > o.row.StandbyBytes || p.standbyBackends[a] != "" ||
			len(o.row.Standby)+len(found) >= maxStandbysPerBackend {
			continue
		}
		if replica := o.replicas[a]; (replica != nil && !replica.inPool) || (replica == nil && p.preferredStandby(artifact) == o.name) {
			found = append(found, a)
		}
	}
	return found
}

// standbySource returns the artifacts that may get a standby: all of a few, of
// many those that are loaded here.
func (p *Placement) standbyEligible(o *ownedBackend) []id.Artifact {
	if p.fewArtifacts() {
		return slices.Sorted(maps.Keys(p.cfg.Artifacts))
	}
	return o.sortedArtifacts()
}

func (p *Placement) fewArtifacts() bool { return len(p.cfg.Artifacts) <= maxArtifactsAllStandby }

// expireUsed forgets the artifacts that were not used for long.
func (p *Placement) expireUsed(now clock.Time) {
	if now.Before(p.nextLastUsedExpiry) {
		return
	}
	p.nextLastUsedExpiry = now.Add(standbyUseWindow / 24)
	for a, at := range p.lastUsed {
		if now.Sub(at) > standbyUseWindow {
			delete(p.lastUsed, a)
		}
	}
}

// bestStandby returns the backend server with the nearest cached checkpoint.
// Among equals it is one by rendezvous, which spreads the rights evenly. An
// adapter goes with its model.
func (p *Placement) preferredStandby(artifact config.Artifact) id.Backend {
	if model, needed := p.baseModel(artifact.Name); needed {
		return p.standbyBackends[model]
	}
	var nearest []id.Instance
	bestRank := levelRank(message.CacheRemote)
	for _, v := range p.sortedViews {
		rank := levelRank(v.cacheLevel(artifact.Name))
		if !v.usable() || v.group.Name != artifact.Group || rank > bestRank {
			continue
		}
		if rank < bestRank {
			nearest, bestRank = nearest[:0], rank
		}
		nearest = append(nearest, id.Instance(v.name))
	}
	return id.Backend(rendezvous.Owner("standby/"+string(artifact.Name), nearest))
}

// yield gives up the standby right of an artifact that is wanted and for which
// this backend server has no room, so that it can be loaded elsewhere.
func (p *Placement) relinquishStandby(o *ownedBackend, d *rowDraft, a id.Artifact, now clock.Time) {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) || !p.removeDecision(o, d, a) {
		return
	}
	d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
	o.nextStandbyAt = now.Add(relinquishPause)
}
