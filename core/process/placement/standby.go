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
// within the last day get one.
const (
	standbyEvery = 2 * time.Second // a write per backend server at most
	standbyAll   = 400             // configured artifacts that all get one
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
func (p *Placement) adopt(o *owned, h message.Held, now clock.Time) *work {
	return &work{
		artifact: h.Artifact, bytes: h.Bytes, pool: true, sent: true, answered: now,
		withdrawn: !slices.Contains(o.row.Standby, h.Artifact),
		quietAt:   now, level: message.CacheDisk,
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
		if o.works[w.artifact] == nil && o.held[w.artifact].State == Cold &&
			o.mayStandby(w.artifact) && !o.writes(w.artifact) {
			p.poolLoad(o, w, now)
		}
	}
}

// writes reports whether a write under way reserves memory for a.
func (o *owned) writes(a id.Artifact) bool {
	if o.writing == nil {
		return false
	}
	_, ok := reservation(o.writing.row, a)
	return ok
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
		w.gated = false
		chosen, _ := p.victims(o, lack, true, now)
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
func (p *Placement) poolWill(o *owned, c config.Artifact, now clock.Time) bool {
	if !o.mayStandby(c.Name) || c.Bytes > o.row.StandbyBytes {
		return false
	}
	_, ok := p.victims(o, o.poolUsed()+c.Bytes-o.row.StandbyBytes, true, now)
	return ok
}

// planStandby assigns the standby right of a few artifacts to o, and gives up
// that of artifacts which are not configured any more.
func (p *Placement) planStandby(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if now.Before(o.standbyAt) || !o.known || o.leaving || o.down || p.moving(o, now) || p.set.StandbyShare < 0 {
		return
	}
	o.standbyAt = now.Add(standbyEvery)
	p.dropStandbys(o, d)
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

func (p *Placement) dropStandbys(o *owned, d *draft) {
	for _, a := range o.row.Standby {
		_, configured := p.artifact(a)
		if configured || o.works[a] != nil || d.full() {
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
	r.row.Standby = o.name
	if !p.check.Hold(len(places(r.row)) <= maxReplicas(c), "too-many-replicas", "%s: %v", a, places(r.row)) {
		return
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
	for _, a := range p.standbySource(now) {
		c, ok := p.artifact(a)
		if !ok || c.Group != v.group.Name || c.Bytes > o.row.StandbyBytes || p.standbys[a] != "" {
			continue
		}
		if w := o.works[a]; (w != nil && !w.pool) || (w == nil && p.bestStandby(c) == o.name) {
			found = append(found, a)
		}
	}
	return found
}

func (p *Placement) standbySource(now clock.Time) []id.Artifact {
	if len(p.cfg.Artifacts) <= standbyAll {
		return slices.Sorted(maps.Keys(p.cfg.Artifacts))
	}
	for a, at := range p.used {
		if now.Sub(at) > standbyUsed {
			delete(p.used, a)
		}
	}
	return slices.Sorted(maps.Keys(p.used))
}

// bestStandby returns the backend server with the nearest cached checkpoint.
// Among equals it is one by rendezvous, which spreads the rights evenly.
func (p *Placement) bestStandby(c config.Artifact) id.Backend {
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
