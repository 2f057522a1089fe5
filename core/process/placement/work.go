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
	orderSendTimeout = 2 * time.Second
	// orderRetry is the pause before an order that shows no effect goes again.
	orderRetryDelay = time.Second
	// refusedPause is how long a load is not tried again that the engine refused.
	refusedLoadDelay = 10 * time.Second
	// defaultOrderTime is used for a group that names no MaxOrderTime.
	defaultMaxOrderTime = 30 * time.Second
)

// work is what this instance knows of carrying out one reservation, or one
// load of a pre-authorised artifact.
type managedReplica struct {
	artifact       id.Artifact
	bytes          int64
	inPool         bool // pre-authorised: no reservation of its own
	withdrawn      bool
	maxLoadFencing id.Fencing // no order to load it carried a larger number

	lastOrder    id.Order           // the last one sent
	lastFencing  id.Fencing         // that it carried
	loadOrder    id.Order           // the one of the reservation
	loadSent     bool               // a load order may have gone out
	orderPending bool               // order has no answer yet
	loadRefused  bool               // the engine refused to load it
	cacheLevel   message.CacheLevel // where the checkpoint was when it was decided
	loadSentAt   clock.Time
	acceptedAt   clock.Time
	retryAt      clock.Time
	// quietAt is when no order to load it can be under way any more.
	quietAt  clock.Time
	loadedAt clock.Time
}

func (p *Placement) maxOrderTime(b id.Backend) time.Duration {
	if v := p.views[b]; v != nil && v.group.MaxOrderTime > 0 {
		return v.group.MaxOrderTime
	}
	return defaultMaxOrderTime
}

func (p *Placement) checksFencing(b id.Backend) bool {
	v := p.views[b]
	return v != nil && v.group.ChecksFencing
}

// matchWorks makes the works follow the row's reservations. New ones of a row
// that another instance wrote may have orders under way.
func (p *Placement) syncReplicas(o *ownedBackend, now clock.Time, writtenByOther bool) {
	for _, r := range o.row.Reservations {
		replica := o.replicas[r.Artifact]
		if replica == nil {
			replica = &managedReplica{artifact: r.Artifact, loadOrder: r.Order}
			if writtenByOther {
				replica.loadSent, replica.maxLoadFencing = true, o.maxEarlierFencing()
				replica.quietAt = now.Add(p.maxOrderTime(o.name))
			}
			replica.cacheLevel = p.cacheLevelAt(o.name, r.Artifact)
			o.replicas[r.Artifact] = replica
		}
		replica.bytes, replica.inPool = r.Bytes, false
		if r.State == table.Withdrawn && !replica.withdrawn {
			replica.withdrawn, replica.retryAt = true, now
		}
	}
	for a, replica := range o.replicas {
		if _, reserved := findReservation(o.row, a); !reserved && !replica.inPool {
			delete(o.replicas, a)
		}
	}
}

// mayOrder reports whether orders may be sent to o now. While a release or a
// doubt about the ownership is open, they may not.
func (p *Placement) canSendOrders(o *ownedBackend, now clock.Time) bool {
	releasing := o.pendingWrite != nil && o.pendingWrite.row.Owner != p.settings.Instance
	return !o.ownershipUncertain && !releasing && (p.rights.Valid(now) || p.disabled.leaseCheck)
}

// carryOut sends the orders that are due.
func (p *Placement) sendDueOrders(o *ownedBackend, now clock.Time, out *event.Outbox) {
	if !p.canSendOrders(o, now) {
		return
	}
	for _, a := range o.sortedArtifacts() {
		replica := o.replicas[a]
		if now.Before(replica.retryAt) {
			continue
		}
		if replica.withdrawn {
			p.sendUnload(o, replica, now, out)
		} else {
			p.sendLoad(o, replica, now, out)
		}
	}
}

// carryLoad orders a load that the report does not show yet. The order keeps
// its id, by which the engine knows a repeat.
func (p *Placement) sendLoad(o *ownedBackend, replica *managedReplica, now clock.Time, out *event.Outbox) {
	if o.held[replica.artifact].State != Cold || replica.loadRefused || o.leaving {
		return
	}
	if artifact, _ := p.configuredArtifact(replica.artifact); artifact.Bytes > replica.bytes {
		replica.loadRefused = true // it grew since: the reservation does not cover it
		return
	}
	if replica.loadOrder == "" {
		replica.loadOrder = o.newOrderID()
	}
	replica.lastOrder = replica.loadOrder
	if replica.loadSent && replica.acceptedAt != 0 && o.reportAskedAt.Reached(replica.quietAt) {
		// Accepted, and nothing of it is there any more: it was lost with a
		// restart of the engine. A repeat of the same order might be ignored.
		replica.loadOrder = o.newOrderID()
		replica.lastOrder = replica.loadOrder
	}
	if !p.sendOrder(o, replica, event.OrderLoad, now, out) {
		return
	}
	if !replica.loadSent {
		replica.loadSent, replica.loadSentAt, o.stateChanged = true, now, true
	}
	replica.acceptedAt = 0
	replica.quietAt, replica.maxLoadFencing = replica.retryAt, o.row.Fencing
}

// carryUnload orders an unload while the report shows something, or while a
// checking engine has not seen the number that shuts out older load orders.
func (p *Placement) sendUnload(o *ownedBackend, replica *managedReplica, now clock.Time, out *event.Outbox) {
	fencingUnseen := p.checksFencing(o.name) && o.report.Fencing <= replica.maxLoadFencing && replica.maxLoadFencing < o.row.Fencing
	h := o.held[replica.artifact]
	unloading := h.State == Cold || h.State == message.Unloading
	if !o.reportKnown || h.Running > 0 || (unloading && !fencingUnseen) {
		return
	}
	replica.lastOrder = o.newOrderID()
	p.sendOrder(o, replica, event.OrderUnload, now, out)
}

// earlierFence is the largest number that an earlier owner's orders can carry. A
// row that was handed over and is not claimed yet still has the giver's.
func (o *ownedBackend) maxEarlierFencing() id.Fencing {
	if o.unclaimed {
		return o.row.Fencing
	}
	return o.row.Fencing - 1
}

// unloadAgain lets unload orders go again at once, with a larger number.
func (o *ownedBackend) retryUnloads(now clock.Time) {
	for _, replica := range o.replicas {
		if replica.withdrawn {
			replica.retryAt = now
		}
	}
}

func (o *ownedBackend) newOrderID() id.Order {
	o.orderCount++
	return id.Order(fmt.Sprintf("%s/%d/%d", o.name, o.row.Fencing, o.orderCount))
}

// send emits an order, if this instance has the right and the artifact its
// place.
func (p *Placement) sendOrder(o *ownedBackend, replica *managedReplica, kind event.OrderKind, now clock.Time, out *event.Outbox) bool {
	v := p.views[o.name]
	if v == nil || !p.checker.Hold(p.rights.Valid(now), "order-without-lease", "%s of %s at %s", kind, replica.artifact, o.name) {
		return false
	}
	if kind == event.OrderLoad && !p.checker.Hold(p.loadAuthorized(o, replica), "order-without-reservation", "%s at %s", replica.artifact, o.name) {
		return false
	}
	notAfter := min(p.rights.NotAfter(now), now.Add(orderSendTimeout))
	out.Add(event.OrderBackend{
		Backend: o.name, Address: v.address, Order: replica.lastOrder, Kind: kind,
		Artifact: replica.artifact, Fencing: o.row.Fencing, NotAfter: notAfter,
	})
	// Without an answer, the order can be carried out until then.
	replica.lastFencing = o.row.Fencing
	replica.orderPending, replica.retryAt = true, notAfter.Add(p.maxOrderTime(o.name))
	return true
}

// placed reports whether a committed reservation, or the standby right, covers
// a load of w.
func (p *Placement) loadAuthorized(o *ownedBackend, replica *managedReplica) bool {
	if replica.inPool {
		return o.canLoadStandby(replica.artifact)
	}
	r, ok := findReservation(o.row, replica.artifact)
	return ok && r.State == table.Decided
}

// fence shuts out the orders of earlier owners at an engine that checks.
func (p *Placement) sendFence(o *ownedBackend, now clock.Time, out *event.Outbox) {
	v := p.views[o.name]
	if v == nil || !v.group.ChecksFencing || !p.canSendOrders(o, now) {
		return
	}
	out.Add(event.OrderBackend{
		Backend: o.name, Address: v.address, Order: o.newOrderID(), Kind: event.OrderFence,
		Fencing: o.row.Fencing, NotAfter: min(p.rights.NotAfter(now), now.Add(orderSendTimeout)),
	})
	o.nextFenceAt = now.Add(orderRetryDelay)
}

// HandleOrderResult handles the answer to an order. An order without one goes again
// after the longest time that it can be under way.
func (p *Placement) HandleOrderResult(now clock.Time, r event.OrderAnswered, out *event.Outbox) {
	p.now = now
	o := p.owned[r.Backend]
	if o == nil {
		return
	}
	o.nextReportAt = now
	// A refusal for the number that the row has now means that somebody holds
	// a larger one. An order with a smaller number was overtaken by our own.
	oldFencing := r.Result == event.OrderOldFencing
	for _, a := range o.sortedArtifacts() {
		if replica := o.replicas[a]; replica.orderPending && replica.lastOrder == r.Order {
			p.recordOrderResult(o, replica, r, now)
			oldFencing = oldFencing && replica.lastFencing == o.row.Fencing
		}
	}
	o.ownershipUncertain = o.ownershipUncertain || oldFencing
	p.advance(o, now, out)
}

// answered notes the answer. Whatever it says, a copy of the order may still be
// on its way, for as long as an order can be.
func (p *Placement) recordOrderResult(o *ownedBackend, replica *managedReplica, r event.OrderAnswered, now clock.Time) {
	replica.orderPending, replica.retryAt = false, now.Add(orderRetryDelay)
	replica.quietAt = min(replica.quietAt, now.Add(p.maxOrderTime(o.name)))
	switch {
	case r.Result == event.OrderAccepted:
		replica.acceptedAt = now
	case r.Result == event.OrderOldFencing:
		replica.retryAt = now
	case r.Result == event.OrderRefused && !replica.withdrawn:
		replica.loadRefused = true
		o.refusedUntil[replica.artifact] = now.Add(refusedLoadDelay)
	}
}

// gone reports whether the engine's report proves that nothing of w is there
// and nothing can come: it was asked for after the last moment at which a load
// order could be carried out, or the engine had seen a number that shuts out
// all of them. A report that is merely empty proves nothing: an order that is
// under way would load the artifact into memory that was given away.
func (p *Placement) provenAbsent(o *ownedBackend, replica *managedReplica) bool {
	if !o.reportKnown || o.held[replica.artifact].State != Cold {
		return false
	}
	fenced := p.checksFencing(o.name) && o.report.Fencing > replica.maxLoadFencing
	return fenced || o.reportAskedAt.Reached(replica.quietAt) || p.disabled.quietPeriod
}

// loading reports whether w draws on the weight store now.
func (o *ownedBackend) usesWeightStore(replica *managedReplica) bool {
	return replica.cacheLevel == message.CacheRemote && !replica.withdrawn && o.held[replica.artifact].State != message.Loaded
}

func (p *Placement) cacheLevelAt(b id.Backend, a id.Artifact) message.CacheLevel {
	if v := p.views[b]; v != nil {
		return v.cacheLevel(a)
	}
	return message.CacheRemote
}
