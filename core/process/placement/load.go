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
	"oleanderdale.org/core/table"
)

// wantFresh is how long a Want counts that is not repeated.
const wantFresh = 2 * time.Second

// gateFresh is some ticks: a want that only the weight store holds up asks it
// again with each.
const gateFresh = 3 * tickEvery

// want is a load that a queue owner asks for.
type want struct {
	artifact  id.Artifact
	class     config.Class
	deadline  clock.Time
	waiting   int
	since     clock.Time
	waitingAt clock.Time // when requests began to wait for it
	until     clock.Time
	forwarded bool
	forBase   bool       // wanted only for the sake of an adapter
	gatedAt   clock.Time // when nothing but the weight store kept it waiting
}

// gated reports whether w waits for nothing but the weight store. One that is
// held up by something else since, as a table that does not answer, must not
// hold up others.
func (w *want) gated(now clock.Time) bool {
	return w.gatedAt != 0 && now.Sub(w.gatedAt) <= gateFresh && now.Before(w.until)
}

// urgency numbers the classes, the most urgent 0.
func urgency(c config.Class) int {
	switch c {
	case config.Urgent:
		return 0
	case config.Interactive:
		return 1
	}
	return 2
}

// compareWants orders by class, then by the earliest deadline.
func compareWants(a, b *want) int {
	return cmp.Or(
		cmp.Compare(urgency(a.class), urgency(b.class)),
		cmp.Compare(a.deadline, b.deadline),
		cmp.Compare(a.artifact, b.artifact))
}

// want handles a Want. It is idempotent: a repeat only brings it up to date.
func (p *Placement) want(now clock.Time, m message.LoadRequest, out *event.Outbox) {
	o := p.owned[m.Backend]
	if o == nil {
		p.viewOf(m.Backend).named = true
		return
	}
	if _, ok := p.artifact(m.Artifact); !ok {
		return
	}
	p.arrived(now, m.Artifact)
	w := o.wants[m.Artifact]
	if w == nil {
		w = &want{artifact: m.Artifact, since: now}
		o.wants[m.Artifact] = w
	}
	w.class, w.deadline, w.waiting = m.Class, now.Add(m.TimeToDeadline), m.Waiting
	w.waitingAt = now.Add(-m.Waited)
	p.wanted[m.Artifact] = m.Class
	w.until, w.forwarded, w.forBase = now.Add(wantFresh), m.Forwarded, false
	p.advance(o, now, out)
}

// sortedWants drops the wants that are over, and returns the others.
func (o *owned) sortedWants(now clock.Time) []*want {
	for a, w := range o.wants {
		if now.Reached(w.until) || o.held[a].State == message.Loaded || now.Before(o.refused[a]) {
			delete(o.wants, a)
		}
	}
	return slices.SortedFunc(maps.Values(o.wants), compareWants)
}

// planLoad decides the most urgent load that has room.
func (p *Placement) planLoad(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if !o.known || o.leaving || o.down || p.moving(o, now) {
		return
	}
	for _, w := range o.sortedWants(now) {
		if o.works[w.artifact] != nil || o.held[w.artifact].State != Cold {
			continue
		}
		if !p.baseHere(o, w.artifact) {
			p.wantBase(o, w)
			continue
		}
		p.decideLoad(o, d, w, now, out)
		if d.changed || len(d.missing) > 0 {
			return
		}
	}
}

func (p *Placement) decideLoad(o *owned, d *draft, w *want, now clock.Time, out *event.Outbox) {
	c, ok := p.artifact(w.artifact)
	if !ok {
		return
	}
	r, ok := p.replicaFor(d, w.artifact)
	if !ok || p.poolWill(o, w, c, now) {
		return
	}
	if p.elsewhere(o, w, r.row) || !p.allowed(r.row, o.name, c) {
		p.denied(o, d, w, r, now, out)
		return
	}
	if !p.fits(d.row, c.Bytes) {
		w.gatedAt = 0
		p.findRoom(o, d, w, r, c, now)
		return
	}
	if !p.store.mayStart(p, o, w, now) {
		return
	}
	p.addLoad(o, d, r, c)
}

// yieldAfter is how long a want must be without room before the standby right is
// given up: what was just loaded is not in the report yet, and can't be evicted.
const yieldAfter = time.Second

// findRoom makes room for c: in the pool if that has room, else by evictions. If
// there is none for a while, c must go elsewhere.
func (p *Placement) findRoom(o *owned, d *draft, w *want, r replicaRow, c config.Artifact, now clock.Time) {
	switch {
	case p.poolHas(o, w, r, c, false, now):
		p.addStandby(o, d, c.Name)
	case p.makeRoom(o, d, w, c, now):
	case p.poolHas(o, w, r, c, true, now):
		p.addStandby(o, d, c.Name)
	case now.Sub(w.since) >= yieldAfter:
		p.yield(o, d, c.Name, now)
		p.baseDenied(o, d, c.Name, now)
	}
}

// addLoad writes the decision into the draft. Both limits are asserted where
// they are written; the transaction holds only if nobody changed the rows.
func (p *Placement) addLoad(o *owned, d *draft, r replicaRow, c config.Artifact) {
	row := cloneRow(d.row)
	row.Reservations = append(row.Reservations, table.Reservation{
		Artifact: c.Name, Order: o.newOrder(), Bytes: c.Bytes, State: table.Decided,
	})
	if !slices.Contains(r.row.Decided, o.name) {
		r.row.Decided = append(r.row.Decided, o.name)
	}
	memory := p.check.Hold(reservedBytes(row) <= row.Bytes, "memory-overcommitted",
		"%s at %s: %d of %d bytes", c.Name, o.name, reservedBytes(row), row.Bytes)
	count := p.check.Hold(len(places(r.row)) <= maxReplicas(c), "too-many-replicas",
		"%s: %v", c.Name, places(r.row))
	if memory && count {
		d.row = row
		d.writeReplica(r)
	}
	if p.unsafe.noCommit {
		o.works[c.Name] = &work{artifact: c.Name, bytes: c.Bytes}
	}
}

// places returns where a replica may be loaded; the standby counts as decided.
func places(r table.Replica) []id.Backend {
	all := slices.Clone(r.Decided)
	if r.Standby != "" && !slices.Contains(all, r.Standby) {
		all = append(all, r.Standby)
	}
	return all
}

func maxReplicas(c config.Artifact) int { return max(c.MaxReplicas, 1) }

// allowed reports whether one more replica at b is within the limit.
func (p *Placement) allowed(r table.Replica, b id.Backend, c config.Artifact) bool {
	all := places(r)
	if !slices.Contains(all, b) {
		all = append(all, b)
	}
	return len(all) <= maxReplicas(c) || p.unsafe.noReplicas
}

func (p *Placement) fits(row table.Backend, bytes int64) bool {
	return reservedBytes(row)+bytes <= row.Bytes || p.unsafe.noMemory
}

// elsewhere reports whether the artifact is pre-authorised, but cold, on
// another backend server: a load there needs no further decision, and one here
// would leave that right standing beside it.
func (p *Placement) elsewhere(o *owned, w *want, r table.Replica) bool {
	if r.Standby == "" || r.Standby == o.name || w.forwarded || slices.Contains(r.Decided, r.Standby) {
		return false
	}
	v := p.views[r.Standby]
	return v == nil || v.held[w.artifact].State == Cold
}

// replicaFresh is how long a replica row is believed that denies a load.
const replicaFresh = time.Second

// denied reads a row again that denies a load, since another owner may have
// changed it; else it passes the want on to the owners of the places that it
// names. That also tells an instance of a backend server that has gone, and
// whose decisions nobody gave up.
func (p *Placement) denied(o *owned, d *draft, w *want, r replicaRow, now clock.Time, out *event.Outbox) {
	if now.Sub(r.readAt) > replicaFresh {
		d.missing = append(d.missing, w.artifact)
		return
	}
	delete(o.wants, w.artifact)
	if w.forBase {
		p.baseDenied(o, d, w.artifact, now)
	}
	for _, b := range places(r.row) {
		if b == o.name || w.forwarded {
			continue
		}
		out.Send(p.ownerOf(b), message.LoadRequest{
			Backend: b, Artifact: w.artifact, Class: w.class, TimeToDeadline: max(w.deadline.Sub(p.now), 0),
			Waiting: w.waiting, Forwarded: true, Waited: now.Sub(w.waitingAt),
		})
	}
}

// planResize follows the configured memory of the group, or the engine's own
// word where none is configured.
func (p *Placement) planResize(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if !o.known || o.leaving {
		return
	}
	p.size(&d.row, o.report.Bytes)
	d.changed = d.row.Bytes != o.row.Bytes || d.row.StandbyBytes != o.row.StandbyBytes
}

// size sets the memory of a row, and sets the standby pool aside while there is
// room for it.
func (p *Placement) size(row *table.Backend, reported int64) {
	row.Bytes = reported
	if v := p.views[row.Name]; v != nil && v.group.MemoryBytes > 0 {
		row.Bytes = v.group.MemoryBytes
	}
	pool := int64(p.set.StandbyShare * float64(row.Bytes))
	if row.StandbyBytes == 0 && pool > 0 && reservedBytes(*row)+pool <= row.Bytes {
		row.StandbyBytes = pool
	}
}
