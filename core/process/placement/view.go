package placement

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Cold is the state of an artifact on a backend server that holds nothing of it.
const Cold message.LoadState = ""

// viewFresh is how long an owner's word about a backend server names its owner.
const viewFresh = 5 * time.Second

// view is what this instance knows of a backend server of its zone, whoever
// owns it.
type view struct {
	name    id.Backend
	address string
	group   config.Group
	leaving bool // never cleared
	down    bool
	dropped bool // a request found it down
	dropEnd clock.Time
	gone    bool       // not in the instance list
	goneAt  clock.Time // since when
	named   bool       // a row names it, though nobody here saw it

	owner   id.Instance // who told
	heardAt clock.Time
	fencing id.Fencing
	seq     uint64
	report  message.Report
	free    int64
	idle    int64 // bytes of artifacts that run nothing, or go already
	held    map[id.Artifact]message.HeldArtifact
	cached  map[id.Artifact]message.CacheLevel

	row        table.Backend
	rowVersion uint64
}

func (v *view) usable() bool { return !v.leaving && !v.down && !v.dropped && !v.gone }

// refreshViews follows the instance list.
func (p *Placement) refreshViews(now clock.Time) {
	listed := map[id.Backend]bool{}
	all := p.members.Backends()
	for _, m := range all {
		g, ok := p.cfg.Groups[m.Group]
		if m.Zone != p.set.Zone || !ok || g.Kind != config.GroupModels {
			continue
		}
		b := id.Backend(m.Name)
		listed[b] = true
		v := p.viewOf(b)
		v.address, v.group, v.gone = m.Address, g, false
		v.leaving = v.leaving || m.Leaving
	}
	if len(all) > 0 { // an empty list is one that was not read yet
		p.markGone(now, listed)
	}
}

// markGone notes which backend servers the instance list does not name.
func (p *Placement) markGone(now clock.Time, listed map[id.Backend]bool) {
	for _, v := range p.sorted {
		v.dropped = v.dropped && now.Before(v.dropEnd)
		switch {
		case listed[v.name]:
			v.goneAt = clock.Never
		case v.goneAt == clock.Never:
			v.gone, v.goneAt = true, now
		}
	}
}

// goneAfter is how long a backend server must be missing in the instance list
// before what was decided there is given up.
const goneAfter = 10 * time.Second

// poolFree is the memory of the standby pool that nothing is held in, in bytes.
func (v *view) poolFree() int64 {
	free := v.row.StandbyBytes
	for _, h := range v.report.Held {
		if _, reserved := reservation(v.row, h.Artifact); !reserved {
			free -= h.Bytes
		}
	}
	return free
}

// left reports whether the backend server has gone for good.
func (v *view) left(now clock.Time) bool {
	return v.leaving || (v.gone && v.goneAt != clock.Never && now.Sub(v.goneAt) >= goneAfter)
}

func (p *Placement) viewOf(b id.Backend) *view {
	if v := p.views[b]; v != nil {
		return v
	}
	v := &view{name: b, gone: true, goneAt: clock.Never}
	p.views[b] = v
	p.sorted = append(p.sorted, v)
	slices.SortFunc(p.sorted, compareViews)
	return v
}

// state takes in what an owner says. An older word is dropped: states may come
// late and out of order.
func (p *Placement) state(now clock.Time, from id.Instance, m message.BackendState) {
	v := p.viewOf(m.Backend)
	if m.Fencing < v.fencing || (m.Fencing == v.fencing && from == v.owner && m.Seq <= v.seq) {
		return
	}
	v.owner, v.heardAt, v.fencing, v.seq = from, now, m.Fencing, m.Seq
	if m.CachedUnchanged {
		m.Report.Cached = v.report.Cached
	}
	v.report, v.free, v.down = m.Report, m.FreeBytes, m.Down
	v.leaving = v.leaving || m.Report.Leaving
	p.reindex(v)
	if m.Row != nil {
		p.viewRow(v, *m.Row, m.RowVersion)
	}
	if o := p.owned[m.Backend]; o != nil && from != p.set.Instance && m.Fencing > o.row.Fencing {
		// Somebody acts with a larger number: whether the row is still ours is
		// read before anything else is done with it.
		o.doubted = true
	}
}

// reindex follows v's report in the indices that are looked up by artifact.
func (p *Placement) reindex(v *view) {
	before := v.held
	v.index()
	for a := range before {
		if _, still := v.held[a]; !still {
			p.holders[a] = slices.DeleteFunc(p.holders[a], func(h *view) bool { return h == v })
			if len(p.holders[a]) == 0 {
				delete(p.holders, a)
			}
		}
	}
	for a := range v.held {
		if _, already := before[a]; !already {
			p.holders[a] = append(p.holders[a], v)
			slices.SortFunc(p.holders[a], compareViews)
		}
	}
}

func compareViews(x, y *view) int { return strings.Compare(string(x.name), string(y.name)) }

func (v *view) index() {
	v.idle = 0
	v.held = make(map[id.Artifact]message.HeldArtifact, len(v.report.Held))
	for _, h := range v.report.Held {
		v.held[h.Artifact] = h
		if h.State == message.Unloading || (h.State == message.Loaded && h.Running == 0) {
			v.idle += h.Bytes
		}
	}
	v.cached = make(map[id.Artifact]message.CacheLevel, len(v.report.Cached))
	for _, c := range v.report.Cached {
		v.cached[c.Artifact] = c.Level
	}
}

func (p *Placement) viewRow(v *view, row table.Backend, version uint64) {
	if version <= v.rowVersion {
		return
	}
	for _, a := range v.row.Standby {
		if p.standbys[a] == v.name {
			delete(p.standbys, a)
		}
	}
	for _, a := range row.Standby {
		p.standbys[a] = v.name
	}
	v.row, v.rowVersion = row, version
}

// Replica is an artifact on a backend server, or the lack of it.
type Replica struct {
	Backend     id.Backend
	Address     string
	State       message.LoadState // Cold if nothing of it is there
	Running     int               // requests that the server runs, of all artifacts
	Reported    clock.Time        // when this instance heard of Running; 0: never
	Concurrency int               // requests that it may run
	Free        int64             // bytes that nothing is reserved for
	Cached      message.CacheLevel
	Leaving     bool
	Down        bool
	// ReadyIn is when it is expected to be loaded, 0 if it is; for a cold one,
	// if its load were decided now.
	ReadyIn time.Duration
}

// Snapshot returns a on each backend server of the zone that may hold it,
// sorted by name.
func (p *Placement) Snapshot(a id.Artifact) []Replica {
	c, ok := p.artifact(a)
	if !ok {
		return nil
	}
	all := make([]Replica, 0, len(p.sorted))
	for _, v := range p.sorted {
		if v.gone || v.group.Name != c.Group {
			continue
		}
		all = append(all, p.replica(v, c))
	}
	return all
}

// Held returns a on the backend servers that hold something of it, sorted by
// name. It is Snapshot without the cold ones, at a cost that does not grow with
// the zone.
func (p *Placement) Held(a id.Artifact) []Replica {
	c, ok := p.artifact(a)
	if !ok || len(p.holders[a]) == 0 {
		return nil
	}
	all := make([]Replica, 0, len(p.holders[a]))
	for _, v := range p.holders[a] {
		if !v.gone && v.group.Name == c.Group {
			all = append(all, p.replica(v, c))
		}
	}
	return all
}

func (p *Placement) replica(v *view, c config.Artifact) Replica {
	return Replica{
		Backend:     v.name,
		Address:     v.address,
		State:       v.held[c.Name].State,
		Running:     v.report.Running,
		Reported:    v.heardAt,
		Concurrency: v.group.Concurrency,
		Free:        v.free,
		Cached:      v.level(c.Name),
		Leaving:     v.leaving,
		Down:        v.down || v.dropped,
		ReadyIn:     p.readyIn(v, c),
	}
}

func (v *view) level(a id.Artifact) message.CacheLevel {
	if l, ok := v.cached[a]; ok {
		return l
	}
	return message.CacheRemote
}

// broadcast tells the zone about o, when something changed and now and then.
func (p *Placement) broadcast(o *owned, now clock.Time, out *event.Outbox) {
	// Before the first report nothing is known, and an empty word would make
	// loaded replicas look cold.
	if (!o.known && !o.down) || (!o.changed && now.Before(o.stateAt)) {
		return
	}
	o.changed, o.stateAt = false, now.Add(p.set.StateEvery)
	o.seq++
	m := message.BackendState{
		Backend: o.name, Fencing: o.row.Fencing, Seq: o.seq,
		Report: p.shown(o), FreeBytes: o.free(), Down: o.down, RowVersion: o.version,
	}
	p.state(now, p.set.Instance, m)
	whole := o.seq%rowEvery == 0
	if whole || o.toldRow != o.version {
		row := o.row
		m.Row, o.toldRow = &row, o.version
		p.viewRow(p.viewOf(o.name), row, o.version)
	}
	if !whole && slices.Equal(o.toldCached, m.Report.Cached) {
		m.Report.Cached, m.CachedUnchanged = nil, true
	} else {
		o.toldCached = m.Report.Cached
	}
	for _, i := range p.members.InZone(p.set.Zone) {
		if i != p.set.Instance {
			out.Send(i, m)
		}
	}
}

// rowEvery is how many states go without the row and the cached checkpoints
// while they stay the same; an instance that missed them learns them then.
const rowEvery = 10

// shown is the report with what was ordered since: a replica whose unload is
// decided must not look loaded, or requests go on being sent to it.
func (p *Placement) shown(o *owned) message.Report {
	r := o.report
	r.Held = slices.Clone(r.Held)
	for i, h := range r.Held {
		r.Held[i].State = p.runnable(o, h)
		if w := o.works[h.Artifact]; w != nil && w.withdrawn {
			r.Held[i].State = message.Unloading
		}
	}
	for _, a := range o.sortedWorks() {
		if w := o.works[a]; !w.withdrawn && o.held[a].State == Cold && w.sent {
			r.Held = append(r.Held, message.HeldArtifact{Artifact: a, State: message.Loading, Bytes: w.bytes})
		}
	}
	return r
}
