package placement

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// owned is a backend server that this instance owns.
type owned struct {
	name    id.Backend
	row     table.Backend // as last known to be in the table
	version uint64
	op      *op        // the one table operation under way on row
	writing *op        // the write whose outcome is not known yet
	retryAt clock.Time // no table operation before
	claim   bool       // handed over: the row still names the giver
	doubted bool       // somebody may have taken it: read the row first
	moveAt  clock.Time // when it is released; 0: it stays

	works   map[id.Artifact]*work
	wants   map[id.Artifact]*want
	refused map[id.Artifact]clock.Time // by the engine: no load before
	counter uint64                     // of orders, for their ids

	report   message.Report
	held     map[id.Artifact]message.HeldArtifact
	asked    clock.Time // when report was asked for
	known    bool       // report was read since the take
	takenAt  clock.Time
	askAt    clock.Time
	fenceAt  clock.Time // no fence order before
	lastGood clock.Time
	down     bool
	leaving  bool

	idleAt    clock.Time // when idle replicas are looked at
	standbyAt clock.Time // when standby rights are looked at

	// The pool's content is not in the table. poolKnown says that a report
	// showed it after the last order of an earlier owner.
	poolKnown bool
	poolQuiet clock.Time

	seq        uint64
	stateAt    clock.Time
	changed    bool
	toldRow    uint64
	toldCached []message.CachedArtifact
}

// moveAfter is how long another instance must rank first before a backend
// server is released to it, so that a flapping instance moves nothing.
const moveAfter = 3 * time.Second

// own reads the rows that this instance should own and does not.
func (p *Placement) own(now clock.Time, out *event.Outbox) {
	if p.given || now.Before(p.ownAt) || p.ownRead || !p.rights.Valid(now) {
		return
	}
	p.ownAt = now.Add(p.set.OwnEvery)
	var keys []table.Key
	for _, v := range p.sorted {
		if p.owned[v.name] == nil && p.shouldOwn(v) {
			keys = append(keys, backendKey(v.name))
		}
	}
	if len(keys) > 0 {
		p.ownRead = true
		p.read(&op{kind: opOwnRead}, keys, out)
	}
}

// shouldOwn reports whether this instance ranks first for v, or the row may name
// it without its knowing: nobody else could take it then. A backend server that
// left the list is still owned, to give up what was decided there.
func (p *Placement) shouldOwn(v *view) bool {
	if _, unsure := p.unsure[v.name]; unsure {
		return true
	}
	return (!v.gone || v.rowVersion > 0 || v.named) && p.ownerByRank(v.name) == p.set.Instance
}

// ownResult acquires those of the rows that nobody owns.
func (p *Placement) ownResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	p.ownRead = false
	if r.Outcome != table.Done {
		return
	}
	read := map[id.Backend]table.Row{}
	for _, row := range r.Rows {
		read[id.Backend(row.Key.ID)] = row
	}
	for _, v := range p.sorted {
		if p.owned[v.name] != nil || !p.shouldOwn(v) || p.acquiring(v.name) {
			continue
		}
		row, present := read[v.name]
		if present || !v.gone {
			p.acquire(now, v, row, out)
		}
	}
}

// acquire takes a row that is absent, released, or whose owner's session has
// ended. A row that names this instance is one whose take had a lost answer.
func (p *Placement) acquire(now clock.Time, v *view, r table.Row, out *event.Outbox) {
	row, _ := r.Body.(table.Backend)
	if expect, unsure := p.unsure[v.name]; unsure && r.Version > expect && row.Owner != p.set.Instance {
		delete(p.unsure, v.name) // somebody else's write came first
		return
	}
	free := row.Owner == "" || row.Owner == p.set.Instance || p.rights.Ended(row.Owner)
	if !free || p.handedOn(now, v, row) {
		return
	}
	row.Name, row.Zone = v.name, p.set.Zone
	row.Owner = p.set.Instance
	row.Fencing++
	if r.Version == 0 {
		p.size(&row, 0)
	}
	p.commit(&op{kind: opAcquire, backend: v.name, row: row, expect: r.Version}, out)
}

// handedOn reports whether another instance acts as owner though the row does
// not name it: its owner handed it over while the table was down for them. A
// released row was given up by whoever acted on it before.
func (p *Placement) handedOn(now clock.Time, v *view, row table.Backend) bool {
	return row.Owner != "" && v.owner != "" && v.owner != p.set.Instance && v.owner != row.Owner &&
		v.fencing >= row.Fencing && now.Sub(v.heardAt) < viewFresh && !p.rights.Ended(v.owner)
}

func (p *Placement) acquiring(b id.Backend) bool {
	for _, o := range p.ops {
		if o.kind == opAcquire && o.backend == b {
			return true
		}
	}
	return false
}

// acquired handles the answer to an acquire. Without a known outcome the row is
// read again until it shows whose write came first.
func (p *Placement) acquired(now clock.Time, done *op, r event.TableResult, out *event.Outbox) {
	switch r.Outcome {
	case table.Unknown:
		p.unsure[done.backend] = done.expect
	case table.Done:
		delete(p.unsure, done.backend)
	}
	if r.Outcome != table.Done || p.given || p.owned[done.backend] != nil {
		return
	}
	o := p.take(now, done.row, done.expect+1, false)
	p.askReport(o, now, out)
	p.fence(o, now, out)
	p.advance(o, now, out)
}

// take starts to own a row. Orders of an earlier owner may still be under way:
// whatever it reserved counts as ordered until the quiet time is over.
func (p *Placement) take(now clock.Time, row table.Backend, version uint64, claim bool) *owned {
	o := &owned{
		name: row.Name, row: row, version: version, claim: claim,
		works: map[id.Artifact]*work{}, wants: map[id.Artifact]*want{},
		refused: map[id.Artifact]clock.Time{}, held: map[id.Artifact]message.HeldArtifact{},
		takenAt: now, askAt: now, lastGood: now, poolQuiet: now.Add(p.maxOrderTime(row.Name)), changed: true,
	}
	p.owned[row.Name] = o
	p.sync()
	p.matchWorks(o, now, true)
	return o
}

// forget stops owning; nothing of o is used any more.
func (p *Placement) forget(o *owned) {
	delete(p.owned, o.name)
	if o.op != nil {
		delete(p.ops, o.op.n)
	}
	p.sync()
}

// moving reports whether o is being released to the instance that ranks first.
func (p *Placement) moving(o *owned, now clock.Time) bool {
	if first := p.ownerByRank(o.name); first == p.set.Instance || first == "" {
		o.moveAt = 0
		return false
	}
	if o.moveAt == 0 {
		o.moveAt = now.Add(moveAfter)
	}
	return now.Reached(o.moveAt)
}

// free is the memory that nothing is reserved for, in bytes.
func (o *owned) free() int64 {
	return max(o.row.Bytes-reservedBytes(o.row), 0)
}

func reservedBytes(row table.Backend) int64 {
	sum := row.StandbyBytes
	for _, r := range row.Reservations {
		sum += r.Bytes
	}
	return sum
}

func reservation(row table.Backend, a id.Artifact) (table.Reservation, bool) {
	for _, r := range row.Reservations {
		if r.Artifact == a {
			return r, true
		}
	}
	return table.Reservation{}, false
}

func (o *owned) sortedWorks() []id.Artifact { return slices.Sorted(maps.Keys(o.works)) }
