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
	standbyEvery = 2 * time.Second // a write per backend server at most
	standbyAll   = 400             // configured artifacts that all get one
	standbyMost  = 256             // on one backend server: its row must stay small
	standbyUsed  = 24 * time.Hour
	yieldPause   = 30 * time.Second // none is assigned after one was given up
)

// mayStandby reports whether a may be loaded here without the table.
func (o *owned) mayStandby(a id.Artifact) bool {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) {
		return false
	}
	// While a write that gives the right up may be under way, it is not used.
	return o.writing == nil || slices.Contains(o.writing.row.Standby, a)
}

// poolUsed is what the pool holds or may be ordered to hold, in bytes.
func (o *owned) poolUsed() int64 {
	sum := int64(0)
	for _, w := range o.works {
		if w.pool {
			sum += w.bytes
		}
	}
	return sum
}

// learnPool finds out what the pool holds after a take. The table doesn't say:
// an earlier owner may have loaded into it, and its orders may be under way.
func (p *Placement) learnPool(o *owned, now clock.Time) {
	// The giver's orders carry the number of a row that is not claimed yet.
	fenced := !o.claim && p.checksFencing(o.name) && o.report.Fencing >= o.row.Fencing
	if !o.poolKnown && !fenced && o.asked.Before(o.poolQuiet) && !p.unsafe.blindPool {
		return
	}
	o.poolKnown = true
	for _, h := range o.report.Held {
		if o.works[h.Artifact] == nil {
			o.works[h.Artifact] = p.adopt(o, h, now)
		}
	}
}

// adopt counts an artifact that is loaded without a reservation to the pool. If
// it is not pre-authorised here, it is unloaded.
func (p *Placement) adopt(o *owned, h message.HeldArtifact, now clock.Time) *work {
	return &work{
		artifact: h.Artifact, bytes: h.Bytes, pool: true, sent: true, answered: now,
		withdrawn: !slices.Contains(o.row.Standby, h.Artifact),
		quietAt:   now, loadFence: o.earlierFence(), level: message.CacheDisk,
	}
}

// servePool starts the loads that need no table: pre-authorised artifacts,
// within the memory that is set aside for them.
func (p *Placement) servePool(o *owned, now clock.Time) {
	p.clearPool(o)
	if !o.known || o.leaving || o.down || !o.poolKnown || !p.mayOrder(o, now) {
		return
	}
	for _, w := range o.sortedWants(now) {
		// A reservation for it may be under way to the table, for as long as the
		// table is down: that must not hold the load up. If it is found to have
		// taken effect, the one replica here counts to it.
		if o.works[w.artifact] == nil && o.held[w.artifact].State == Cold && o.mayStandby(w.artifact) {
			if p.baseHere(o, w.artifact) {
				p.poolLoad(o, w, now)
			} else {
				p.wantBase(o, w)
			}
		}
	}
}

// clearPool removes what is unloaded, also what the engine lost.
func (p *Placement) clearPool(o *owned) {
	for a, w := range o.works {
		if w.pool && w.withdrawn && p.gone(o, w) {
			delete(o.works, a)
		}
	}
}

func (p *Placement) poolLoad(o *owned, w *want, now clock.Time) {
	c, ok := p.artifact(w.artifact)
	if !ok {
		return
	}
	if lack := o.poolUsed() + c.Bytes - o.row.StandbyBytes; lack > 0 {
		w.gatedAt = 0
		chosen, _ := p.victims(o, w, lack, true, now)
		for _, victim := range chosen {
			p.withdraw(o, nil, victim, now)
		}
		return
	}
	if !p.store.mayStart(p, o, w, now) {
		return
	}
	if !p.check.Hold(o.poolUsed()+c.Bytes <= o.row.StandbyBytes, "standby-overcommitted",
		"%s at %s: %d and %d of %d bytes", c.Name, o.name, o.poolUsed(), c.Bytes, o.row.StandbyBytes) {
		return
	}
	o.works[c.Name] = &work{
		artifact: c.Name, bytes: c.Bytes, pool: true, level: p.levelAt(o.name, c.Name),
	}
}

// poolWill reports whether the pool has or will have room for c.
func (p *Placement) poolWill(o *owned, w *want, c config.Artifact, now clock.Time) bool {
	if !o.mayStandby(c.Name) || c.Bytes > o.row.StandbyBytes {
		return false
	}
	_, ok := p.victims(o, w, o.poolUsed()+c.Bytes-o.row.StandbyBytes, true, now)
	return ok
}

// poolHas reports whether an artifact without a standby right anywhere could get
// it here and be loaded into the pool, with evictions or without.
func (p *Placement) poolHas(o *owned, w *want, r replicaRow, c config.Artifact, evict bool, now clock.Time) bool {
	if r.row.Standby != "" || len(r.row.Decided) > 0 || !o.poolKnown || len(o.row.Standby) >= standbyMost {
		return false
	}
	lack := o.poolUsed() + c.Bytes - o.row.StandbyBytes
	if lack <= 0 || !evict || c.Bytes > o.row.StandbyBytes {
		return lack <= 0
	}
	_, ok := p.victims(o, w, lack, true, now)
	return ok
}

// planStandby assigns the standby right of a few artifacts to o, and gives up
// that of artifacts which are not configured any more.
func (p *Placement) planStandby(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if now.Before(o.standbyAt) || !o.known || o.leaving || o.down || p.moving(o, now) || p.set.StandbyShare < 0 {
		return
	}
	o.standbyAt = now.Add(standbyEvery)
	p.dropStandbys(o, d, now)
	for _, a := range p.standbyCandidates(o, now) {
		if d.full() {
			break
		}
		p.addStandby(o, d, a)
	}
	if len(d.missing) > 0 {
		o.standbyAt = now // the rows are read first
	}
}

// dropStandbys gives up the rights that are of no more use. The pool must be
// known, or an earlier owner's order could carry such a right out later.
func (p *Placement) dropStandbys(o *owned, d *draft, now clock.Time) {
	if !o.poolKnown {
		return
	}
	for _, a := range o.row.Standby {
		_, configured := p.artifact(a)
		unused := !p.fewArtifacts() && now.Sub(max(p.used[a], o.takenAt)) > standbyUsed
		if (configured && !unused) || o.works[a] != nil || d.full() {
			continue
		}
		if p.undecide(o, d, a) {
			d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
		}
	}
}

// addStandby assigns the right if the replica row has none and the limit allows
// it. Where a replica is decided already, the right goes to its place.
func (p *Placement) addStandby(o *owned, d *draft, a id.Artifact) {
	c, _ := p.artifact(a)
	r, ok := p.replicaFor(d, a)
	if !ok {
		return
	}
	elsewhere := len(r.row.Decided) > 0 && !slices.Contains(r.row.Decided, o.name)
	if r.row.Standby != "" || elsewhere {
		if p.now.Sub(r.readAt) > replicaFresh {
			delete(p.replicas, a) // read again the next time
		}
		p.standbys[a] = cmp.Or(r.row.Standby, p.standbys[a])
		return
	}
	if r.row.Standby = o.name; len(places(r.row)) > maxReplicas(c) {
		return // fewer are configured than were decided before
	}
	d.row.Standby = append(d.row.Standby, a)
	d.writeReplica(r)
}

// standbyCandidates returns artifacts without a standby that should have it
// here, sorted.
func (p *Placement) standbyCandidates(o *owned, now clock.Time) []id.Artifact {
	v := p.views[o.name]
	if v == nil || o.row.StandbyBytes == 0 {
		return nil
	}
	var found []id.Artifact
	for _, a := range p.standbySource(o) {
		c, ok := p.artifact(a)
		if !ok || c.Group != v.group.Name || c.Bytes > o.row.StandbyBytes || p.standbys[a] != "" ||
			len(o.row.Standby)+len(found) >= standbyMost {
			continue
		}
		if w := o.works[a]; (w != nil && !w.pool) || (w == nil && p.bestStandby(c) == o.name) {
			found = append(found, a)
		}
	}
	return found
}

// standbySource returns the artifacts that may get a standby: all of a few, of
// many those that are loaded here.
func (p *Placement) standbySource(o *owned) []id.Artifact {
	if p.fewArtifacts() {
		return slices.Sorted(maps.Keys(p.cfg.Artifacts))
	}
	return o.sortedWorks()
}

func (p *Placement) fewArtifacts() bool { return len(p.cfg.Artifacts) <= standbyAll }

// expireUsed forgets the artifacts that were not used for long.
func (p *Placement) expireUsed(now clock.Time) {
	if now.Before(p.usedAt) {
		return
	}
	p.usedAt = now.Add(standbyUsed / 24)
	for a, at := range p.used {
		if now.Sub(at) > standbyUsed {
			delete(p.used, a)
		}
	}
}

// bestStandby returns the backend server with the nearest cached checkpoint.
// Among equals it is one by rendezvous, which spreads the rights evenly. An
// adapter goes with its model.
func (p *Placement) bestStandby(c config.Artifact) id.Backend {
	if m, needed := p.base(c.Name); needed {
		return p.standbys[m]
	}
	var equals []id.Instance
	least := levelRank(message.CacheRemote)
	for _, v := range p.sorted {
		rank := levelRank(v.level(c.Name))
		if !v.usable() || v.group.Name != c.Group || rank > least {
			continue
		}
		if rank < least {
			equals, least = equals[:0], rank
		}
		equals = append(equals, id.Instance(v.name))
	}
	return id.Backend(rendezvous.Owner("standby/"+string(c.Name), equals))
}

// yield gives up the standby right of an artifact that is wanted and for which
// this backend server has no room, so that it can be loaded elsewhere.
func (p *Placement) yield(o *owned, d *draft, a id.Artifact, now clock.Time) {
	if !o.poolKnown || !slices.Contains(o.row.Standby, a) || !p.undecide(o, d, a) {
		return
	}
	d.row.Standby = slices.DeleteFunc(d.row.Standby, func(s id.Artifact) bool { return s == a })
	o.standbyAt = now.Add(yieldPause)
}
