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
const firstUse = 5 * time.Second

// planWithdraw withdraws what is refused, not configured any more, or idle for
// longer than it is worth keeping.
func (p *Placement) planWithdraw(o *owned, d *draft, now clock.Time, out *event.Outbox) {
	if now.Before(o.idleAt) {
		return
	}
	o.idleAt = now.Add(time.Second)
	for _, a := range o.sortedWorks() {
		if w := o.works[a]; !w.withdrawn && p.dispensable(o, w, now) {
			p.withdraw(o, d, w, now)
		}
	}
}

// withdraw decides an unload. A pre-authorised replica needs no write. The
// larger fencing number lets a checking engine refuse load orders that are
// still under way once it has seen the unload order.
func (p *Placement) withdraw(o *owned, d *draft, w *work, now clock.Time) {
	if w.pool {
		w.withdrawn, w.retryAt, o.changed = true, now, true
		return
	}
	for i := range d.row.Reservations {
		if d.row.Reservations[i].Artifact == w.artifact {
			d.row.Reservations[i].State = table.Withdrawn
		}
	}
	if !d.changed {
		d.row.Fencing++
	}
	d.changed = true
}

// dispensable reports whether w should go without anybody needing its memory.
func (p *Placement) dispensable(o *owned, w *work, now clock.Time) bool {
	if _, configured := p.artifact(w.artifact); !configured || w.refused {
		return true
	}
	if o.wants[w.artifact] != nil {
		return false
	}
	if p.baseLost(o, w, now) {
		return true
	}
	if o.known && o.held[w.artifact].State == Cold && w.answered != 0 && o.asked.Reached(w.quietAt) {
		return true // lost with a restart of the engine, and nobody waits for it
	}
	if !p.evictable(o, w, now) || len(o.dependents(w.artifact)) > 0 {
		return false
	}
	it := p.item(o, w, now)
	return it.IdleTime >= p.policy.KeepTime(it)
}

// evictable reports whether w is loaded and unused.
func (p *Placement) evictable(o *owned, w *work, now clock.Time) bool {
	h := o.held[w.artifact]
	switch {
	case h.State != message.Loaded || h.Running > 0 || w.withdrawn || o.wants[w.artifact] != nil:
		return false
	case h.Uses == 0 && now.Before(w.loadedAt.Add(firstUse)):
		return false
	}
	return true
}

// item describes w to the policy.
func (p *Placement) item(o *owned, w *work, now clock.Time) keepalive.IdleArtifact {
	c, _ := p.artifact(w.artifact)
	h := o.held[w.artifact]
	idle := h.Idle + now.Sub(o.asked)
	if h.Uses == 0 {
		idle = now.Sub(w.loadedAt)
	}
	size := float64(max(o.row.Bytes, 1))
	return keepalive.IdleArtifact{
		Artifact:       w.artifact,
		Bytes:          w.bytes,
		MemoryShare:    float64(w.bytes) / size,
		LoadTime:       p.loadTime(c, p.levelAt(o.name, w.artifact)),
		IdleTime:       idle,
		MemoryPressure: float64(reservedBytes(o.row)) / size,
	}
}

// batchPatience is how long batch requests wait before a replica that others
// use is unloaded for them.
const batchPatience = 2 * time.Minute

// spared reports whether w stays though its memory is wanted. Batch requests
// that come in numbers unloaded what technicians use as soon as it stood idle
// for a moment; each technician then waited for a load, behind the batch.
func (p *Placement) spared(w *work, wanted *want, now clock.Time) bool {
	return wanted.class == config.Batch && p.wantedBy(w.artifact) != config.Batch &&
		now.Sub(wanted.waitingAt) < batchPatience
}

// yields reports whether w goes though requests run on it: those of a batch, for
// a caller who waits. The engine ends what runs and takes nothing new; without
// that, a stream of batch requests keeps its memory for as long as it lasts.
func (p *Placement) yields(o *owned, w *work, wanted *want) bool {
	return wanted.class != config.Batch && p.wantedBy(w.artifact) == config.Batch &&
		o.held[w.artifact].State == message.Loaded && !w.withdrawn && o.wants[w.artifact] == nil
}

// wantedBy returns the class for which an artifact was last loaded.
func (p *Placement) wantedBy(a id.Artifact) config.Class {
	if c, ok := p.wanted[a]; ok {
		return c
	}
	return config.Interactive
}

// makeRoom withdraws the replicas with the least expected loss until c fits,
// counting what is on its way out already. It reports false, and unloads
// nothing, if it can't fit.
func (p *Placement) makeRoom(o *owned, d *draft, wanted *want, c config.Artifact, now clock.Time) bool {
	lack := reservedBytes(d.row) + c.Bytes - d.row.Bytes
	chosen, ok := p.victims(o, wanted, lack, false, now)
	for _, w := range chosen {
		p.withdraw(o, d, w, now)
	}
	return ok
}

// breakLoss puts replicas that run something behind all that are idle.
const breakLoss = 1e6

// victim is a replica that may be unloaded, with the adapters that can't run
// without it.
type victim struct {
	works []*work
	loss  float64
}

// victim reports false if something of it is in use.
func (p *Placement) victim(o *owned, w *work, wanted *want, now clock.Time) (victim, bool) {
	v := victim{works: append(o.dependents(w.artifact), w)}
	for _, one := range v.works {
		free := p.evictable(o, one, now)
		if one.pool != w.pool || p.spared(one, wanted, now) || (!free && !p.yields(o, one, wanted)) {
			return v, false
		}
		if !free {
			v.loss += breakLoss
		}
		v.loss += p.policy.EvictionCost(p.item(o, one, now))
	}
	return v, true
}

// victims returns what must be withdrawn, beside what is on its way out, to
// free lack bytes. It reports false if that can't be had.
func (p *Placement) victims(o *owned, wanted *want, lack int64, pool bool, now clock.Time) ([]*work, bool) {
	var all []victim
	for _, a := range o.sortedWorks() {
		w := o.works[a]
		switch {
		case w.pool != pool:
		case w.withdrawn:
			lack -= w.bytes
		default:
			if v, ok := p.victim(o, w, wanted, now); ok {
				all = append(all, v)
			}
		}
	}
	slices.SortStableFunc(all, func(x, y victim) int { return cmp.Compare(x.loss, y.loss) })
	var chosen []*work
	for _, v := range all {
		if lack <= 0 {
			break
		}
		for _, w := range v.works {
			if !slices.Contains(chosen, w) {
				chosen = append(chosen, w)
				lack -= w.bytes
			}
		}
	}
	if lack > 0 {
		return nil, false
	}
	return chosen, true
}
