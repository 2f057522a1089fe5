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

// Limits of the assignment of standby rights. The table service can't handle
// one for each of tens of thousands of adapters at once; with more than
// maxArtifactsAllStandby artifacts, only those used here within
// standbyUseWindow get one.
const (
	standbyInterval        = 2 * time.Second // at most one write per backend server in this time
	maxArtifactsAllStandby = 400             // up to this number of configured artifacts, all get one
	maxStandbysPerBackend  = 256             // bounds the size of the backend server's row
	standbyUseWindow       = 24 * time.Hour
	relinquishPause        = 30 * time.Second // no assignment for this long after one was given up
)

// canLoadStandby reports whether a may be loaded here without a write to the
// table.
func (o *ownedBackend) canLoadStandby(a id.Artifact) bool {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) {
		return false
	}
	// The right is not used while a write that gives it up may take effect.
	return o.pendingWrite == nil || slices.Contains(o.pendingWrite.row.Standby, a)
}

// poolUsedBytes is the memory of all replicas that are in the pool or may be
// ordered into it.
func (o *ownedBackend) poolUsedBytes() int64 {
	sum := int64(0)
	for _, replica := range o.replicas {
		if replica.inPool {
			sum += replica.bytes
		}
	}
	return sum
}

// adoptPool determines what the pool holds after startOwning. The table does
// not say: an earlier owner may have loaded into it, and its orders may still
// arrive.
func (p *Placement) adoptPool(o *ownedBackend, now clock.Time) {
	// Orders of a previous owner that handed the row over carry the row's
	// current number until the row is claimed.
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

// adoptReplica counts an artifact that is loaded without a reservation as part
// of the pool. It is unloaded if it is not pre-authorised here.
func (p *Placement) adoptReplica(o *ownedBackend, h message.HeldArtifact, now clock.Time) *managedReplica {
	return &managedReplica{
		artifact: h.Artifact, bytes: h.Bytes, inPool: true, loadSent: true, acceptedAt: now,
		withdrawn: !slices.Contains(o.row.Standby, h.Artifact),
		quietAt:   now, maxLoadFencing: o.maxEarlierFencing(), cacheLevel: message.CacheDisk,
	}
}

// startPoolLoads starts the loads that need no write to the table: those of
// pre-authorised artifacts, within the memory of the pool.
func (p *Placement) startPoolLoads(o *ownedBackend, now clock.Time) {
	p.removeUnloaded(o)
	if !o.reportKnown || o.leaving || o.down || !o.poolKnown || !p.canSendOrders(o, now) {
		return
	}
	for _, req := range o.activeLoadRequests(now) {
		// While the table is unavailable, a write that reserves memory for this
		// artifact may be pending; it must not delay the load. If it turns out
		// to have taken effect, the replica loaded here counts as the reserved
		// one.
		if o.replicas[req.artifact] == nil && o.held[req.artifact].State == Cold && o.canLoadStandby(req.artifact) {
			if p.hasBaseModel(o, req.artifact) {
				p.startPoolLoad(o, req, now)
			} else {
				p.requestBaseModel(o, req)
			}
		}
	}
}

// removeUnloaded deletes the pool replicas that have been unloaded.
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
		"%s on %s: pool uses %d bytes, load needs %d, limit %d",
		artifact.Name, o.name, o.poolUsedBytes(), artifact.Bytes, o.row.StandbyBytes) {
		return
	}
	o.replicas[artifact.Name] = &managedReplica{
		artifact: artifact.Name, bytes: artifact.Bytes, inPool: true, cacheLevel: p.cacheLevelAt(o.name, artifact.Name),
	}
}

// poolCanFit reports whether the pool has enough memory for the artifact, or
// can free enough by evictions.
func (p *Placement) poolCanFit(o *ownedBackend, req *loadRequest, artifact config.Artifact, now clock.Time) bool {
	if !o.canLoadStandby(artifact.Name) || artifact.Bytes > o.row.StandbyBytes {
		return false
	}
	_, ok := p.chooseEvictions(o, req, o.poolUsedBytes()+artifact.Bytes-o.row.StandbyBytes, true, now)
	return ok
}

// canAddToPool reports whether an artifact that has no standby right anywhere
// could get it here and be loaded into the pool. Evictions are considered only
// if evict is set.
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

// planStandby assigns the standby rights of a few artifacts to o, and gives up
// rights that are no longer useful.
func (p *Placement) planStandby(o *ownedBackend, d *rowDraft, now clock.Time, out *event.Outbox) {
	if now.Before(o.nextStandbyAt) || !o.reportKnown || o.leaving || o.down || p.releaseDue(o, now) ||
		p.settings.StandbyShare < 0 {
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
		o.nextStandbyAt = now // the missing rows are read first; try again at once
	}
}

// removeStandbys gives up the rights that are no longer useful. The content of
// the pool must be known; otherwise a late order of an earlier owner could load
// an artifact whose right was given up.
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

// addStandby assigns the right if the replica row has none and the replica
// limit permits it. If a replica is decided, the right goes to its backend
// server.
func (p *Placement) addStandby(o *ownedBackend, d *rowDraft, a id.Artifact) {
	artifact, _ := p.configuredArtifact(a)
	r, ok := p.replicaRowFor(d, a)
	if !ok {
		return
	}
	elsewhere := len(r.row.Decided) > 0 && !slices.Contains(r.row.Decided, o.name)
	if r.row.Standby != "" || elsewhere {
		if p.now.Sub(r.readAt) > replicaRowTTL {
			delete(p.replicaRows, a) // read again next time
		}
		p.standbyBackends[a] = cmp.Or(r.row.Standby, p.standbyBackends[a])
		return
	}
	if r.row.Standby = o.name; len(decidedBackends(r.row)) > maxReplicas(artifact) {
		return // the limit was lowered below the number of decided replicas
	}
	d.row.Standby = append(d.row.Standby, a)
	d.addReplicaWrite(r)
}

// standbyCandidates returns the artifacts without a standby that should get it
// here, sorted.
func (p *Placement) standbyCandidates(o *ownedBackend, now clock.Time) []id.Artifact {
	v := p.views[o.name]
	if v == nil || o.row.StandbyBytes == 0 {
		return nil
	}
	var candidates []id.Artifact
	for _, a := range p.standbyEligible(o) {
		artifact, ok := p.configuredArtifact(a)
		if !ok || artifact.Group != v.group.Name || artifact.Bytes > o.row.StandbyBytes || p.standbyBackends[a] != "" ||
			len(o.row.Standby)+len(candidates) >= maxStandbysPerBackend {
			continue
		}
		if replica := o.replicas[a]; (replica != nil && !replica.inPool) ||
			(replica == nil && p.preferredStandby(artifact) == o.name) {
			candidates = append(candidates, a)
		}
	}
	return candidates
}

// standbyEligible returns the artifacts that may get a standby: all configured
// ones if there are few, else those loaded here.
func (p *Placement) standbyEligible(o *ownedBackend) []id.Artifact {
	if p.fewArtifacts() {
		return slices.Sorted(maps.Keys(p.cfg.Artifacts))
	}
	return o.sortedArtifacts()
}

func (p *Placement) fewArtifacts() bool { return len(p.cfg.Artifacts) <= maxArtifactsAllStandby }

// expireLastUsed deletes the entries of artifacts that were not used within
// standbyUseWindow.
func (p *Placement) expireLastUsed(now clock.Time) {
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

// preferredStandby returns the backend server with the fastest cached
// checkpoint. Among equals it is chosen by rendezvous hashing, which spreads
// the rights evenly. An adapter goes to the standby of its model.
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

// relinquishStandby gives up the standby right of a requested artifact for
// which this backend server lacks memory, so that it can be loaded elsewhere.
func (p *Placement) relinquishStandby(o *ownedBackend, d *rowDraft, a id.Artifact, now clock.Time) {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) || !p.removeDecision(o, d, a) {
		return
	}
	d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
	o.nextStandbyAt = now.Add(relinquishPause)
}
