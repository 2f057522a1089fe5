package placement

import (
	"fmt"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Periods of orders.
const (
	// orderPatience is how long an order may wait to be sent.
	orderPatience = 2 * time.Second
	// orderRetry is the pause before an order that shows no effect goes again.
	orderRetry = time.Second
	// refusedPause is how long a load is not tried again that the engine refused.
	refusedPause = 10 * time.Second
	// defaultOrderTime is used for a group that names no MaxOrderTime.
	defaultOrderTime = 30 * time.Second
)

// work is what this instance knows of carrying out one reservation, or one
// load of a pre-authorised artifact.
type work struct {
	artifact  id.Artifact
	bytes     int64
	pool      bool // pre-authorised: no reservation of its own
	withdrawn bool
	loadFence id.Fencing // no order to load it carried a larger number

	order    id.Order           // the last one sent
	fencing  id.Fencing         // that it carried
	first    id.Order           // the one of the reservation
	sent     bool               // a load order may have gone out
	pending  bool               // order has no answer yet
	refused  bool               // the engine refused to load it
	level    message.CacheLevel // where the checkpoint was when it was decided
	sentAt   clock.Time
	answered clock.Time
	retryAt  clock.Time
	// quietAt is when no order to load it can be under way any more.
	quietAt  clock.Time
	loadedAt clock.Time
}

func (p *Placement) maxOrderTime(b id.Backend) time.Duration {
	if v := p.views[b]; v != nil && v.group.MaxOrderTime > 0 {
		return v.group.MaxOrderTime
	}
	return defaultOrderTime
}

func (p *Placement) checksFencing(b id.Backend) bool {
	v := p.views[b]
	return v != nil && v.group.ChecksFencing
}

// matchWorks makes the works follow the row's reservations. New ones of a row
// that another instance wrote may have orders under way.
func (p *Placement) matchWorks(o *owned, now clock.Time, foreign bool) {
	for _, r := range o.row.Reservations {
		w := o.works[r.Artifact]
		if w == nil {
			w = &work{artifact: r.Artifact, first: r.Order}
			if foreign {
				w.sent, w.loadFence = true, o.earlierFence()
				w.quietAt = now.Add(p.maxOrderTime(o.name))
			}
			w.level = p.levelAt(o.name, r.Artifact)
			o.works[r.Artifact] = w
		}
		w.bytes, w.pool = r.Bytes, false
		if r.State == table.Withdrawn && !w.withdrawn {
			w.withdrawn, w.retryAt = true, now
		}
	}
	for a, w := range o.works {
		if _, reserved := reservation(o.row, a); !reserved && !w.pool {
			delete(o.works, a)
		}
	}
}

// mayOrder reports whether orders may be sent to o now. While a release or a
// doubt about the ownership is open, they may not.
func (p *Placement) mayOrder(o *owned, now clock.Time) bool {
	releasing := o.writing != nil && o.writing.row.Owner != p.set.Instance
	return !o.doubted && !releasing && (p.rights.Valid(now) || p.unsafe.noValid)
}

// carryOut sends the orders that are due.
func (p *Placement) carryOut(o *owned, now clock.Time, out *event.Outbox) {
	if !p.mayOrder(o, now) {
		return
	}
	for _, a := range o.sortedWorks() {
		w := o.works[a]
		if now.Before(w.retryAt) {
			continue
		}
		if w.withdrawn {
			p.carryUnload(o, w, now, out)
		} else {
			p.carryLoad(o, w, now, out)
		}
	}
}

// carryLoad orders a load that the report does not show yet. The order keeps
// its id, by which the engine knows a repeat.
func (p *Placement) carryLoad(o *owned, w *work, now clock.Time, out *event.Outbox) {
	if o.held[w.artifact].State != Cold || w.refused || o.leaving {
		return
	}
	if c, _ := p.artifact(w.artifact); c.Bytes > w.bytes {
		w.refused = true // it grew since: the reservation does not cover it
		return
	}
	if w.first == "" {
		w.first = o.newOrder()
	}
	w.order = w.first
	if w.sent && w.answered != 0 && o.asked.Reached(w.quietAt) {
		// Accepted, and nothing of it is there any more: it was lost with a
		// restart of the engine. A repeat of the same order might be ignored.
		w.first = o.newOrder()
		w.order = w.first
	}
	if !p.send(o, w, event.OrderLoad, now, out) {
		return
	}
	if !w.sent {
		w.sent, w.sentAt, o.changed = true, now, true
	}
	w.answered = 0
	w.quietAt, w.loadFence = w.retryAt, o.row.Fencing
}

// carryUnload orders an unload while the report shows something, or while a
// checking engine has not seen the number that shuts out older load orders.
func (p *Placement) carryUnload(o *owned, w *work, now clock.Time, out *event.Outbox) {
	unseen := p.checksFencing(o.name) && o.report.Fencing <= w.loadFence && w.loadFence < o.row.Fencing
	h := o.held[w.artifact]
	going := h.State == Cold || h.State == message.Unloading
	if !o.known || h.Running > 0 || (going && !unseen) {
		return
	}
	w.order = o.newOrder()
	p.send(o, w, event.OrderUnload, now, out)
}

// earlierFence is the largest number that an earlier owner's orders can carry. A
// row that was handed over and is not claimed yet still has the giver's.
func (o *owned) earlierFence() id.Fencing {
	if o.claim {
		return o.row.Fencing
	}
	return o.row.Fencing - 1
}

// unloadAgain lets unload orders go again at once, with a larger number.
func (o *owned) unloadAgain(now clock.Time) {
	for _, w := range o.works {
		if w.withdrawn {
			w.retryAt = now
		}
	}
}

func (o *owned) newOrder() id.Order {
	o.counter++
	return id.Order(fmt.Sprintf("%s/%d/%d", o.name, o.row.Fencing, o.counter))
}

// send emits an order, if this instance has the right and the artifact its
// place.
func (p *Placement) send(o *owned, w *work, kind event.OrderKind, now clock.Time, out *event.Outbox) bool {
	v := p.views[o.name]
	if v == nil || !p.check.Hold(p.rights.Valid(now), "order-without-lease", "%s of %s at %s", kind, w.artifact, o.name) {
		return false
	}
	if kind == event.OrderLoad && !p.check.Hold(p.placed(o, w), "order-without-reservation", "%s at %s", w.artifact, o.name) {
		return false
	}
	until := min(p.rights.NotAfter(now), now.Add(orderPatience))
	out.Add(event.OrderBackend{
		Backend: o.name, Address: v.address, Order: w.order, Kind: kind,
		Artifact: w.artifact, Fencing: o.row.Fencing, NotAfter: until,
	})
	// Without an answer, the order can be carried out until then.
	w.fencing = o.row.Fencing
	w.pending, w.retryAt = true, until.Add(p.maxOrderTime(o.name))
	return true
}

// placed reports whether a committed reservation, or the standby right, covers
// a load of w.
func (p *Placement) placed(o *owned, w *work) bool {
	if w.pool {
		return o.mayStandby(w.artifact)
	}
	r, ok := reservation(o.row, w.artifact)
	return ok && r.State == table.Decided
}

// fence shuts out the orders of earlier owners at an engine that checks.
func (p *Placement) fence(o *owned, now clock.Time, out *event.Outbox) {
	v := p.views[o.name]
	if v == nil || !v.group.ChecksFencing || !p.mayOrder(o, now) {
		return
	}
	out.Add(event.OrderBackend{
		Backend: o.name, Address: v.address, Order: o.newOrder(), Kind: event.OrderFence,
		Fencing: o.row.Fencing, NotAfter: min(p.rights.NotAfter(now), now.Add(orderPatience)),
	})
	o.fenceAt = now.Add(orderRetry)
}

// Ordered handles the answer to an order. An order without one goes again
// after the longest time that it can be under way.
func (p *Placement) Ordered(now clock.Time, r event.OrderAnswered, out *event.Outbox) {
	p.now = now
	o := p.owned[r.Backend]
	if o == nil {
		return
	}
	o.askAt = now
	// A refusal for the number that the row has now means that somebody holds
	// a larger one. An order with a smaller number was overtaken by our own.
	old := r.Result == event.OrderStaleFencing
	for _, a := range o.sortedWorks() {
		if w := o.works[a]; w.pending && w.order == r.Order {
			p.answered(o, w, r, now)
			old = old && w.fencing == o.row.Fencing
		}
	}
	o.doubted = o.doubted || old
	p.advance(o, now, out)
}

// answered notes the answer. Whatever it says, a copy of the order may still be
// on its way, for as long as an order can be.
func (p *Placement) answered(o *owned, w *work, r event.OrderAnswered, now clock.Time) {
	w.pending, w.retryAt = false, now.Add(orderRetry)
	w.quietAt = min(w.quietAt, now.Add(p.maxOrderTime(o.name)))
	switch {
	case r.Result == event.OrderAccepted:
		w.answered = now
	case r.Result == event.OrderStaleFencing:
		w.retryAt = now
	case r.Result == event.OrderRefused && !w.withdrawn:
		w.refused = true
		o.refused[w.artifact] = now.Add(refusedPause)
	}
}

// gone reports whether the engine's report proves that nothing of w is there
// and nothing can come: it was asked for after the last moment at which a load
// order could be carried out, or the engine had seen a number that shuts out
// all of them. A report that is merely empty proves nothing: an order that is
// under way would load the artifact into memory that was given away.
func (p *Placement) gone(o *owned, w *work) bool {
	if !o.known || o.held[w.artifact].State != Cold {
		return false
	}
	fenced := p.checksFencing(o.name) && o.report.Fencing > w.loadFence
	return fenced || o.asked.Reached(w.quietAt) || p.unsafe.noQuiet
}

// loading reports whether w draws on the weight store now.
func (o *owned) loading(w *work) bool {
	return w.level == message.CacheRemote && !w.withdrawn && o.held[w.artifact].State != message.Loaded
}

func (p *Placement) levelAt(b id.Backend, a id.Artifact) message.CacheLevel {
	if v := p.views[b]; v != nil {
		return v.level(a)
	}
	return message.CacheRemote
}
