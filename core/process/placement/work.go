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

// Timeouts and delays of orders.
const (
	// orderSendTimeout is how long an order may wait to be sent.
	orderSendTimeout = 2 * time.Second
	// orderRetryDelay is the pause before an answered order without a visible
	// effect is repeated.
	orderRetryDelay = time.Second
	// refusedLoadDelay is the pause before a load that the engine refused is
	// tried again.
	refusedLoadDelay = 10 * time.Second
	// defaultMaxOrderTime applies to groups without a MaxOrderTime.
	defaultMaxOrderTime = 30 * time.Second
)

// managedReplica is the state of a reservation that is carried out, or of a
// pre-authorised artifact that is loaded without one.
type managedReplica struct {
	artifact       id.Artifact
	bytes          int64
	inPool         bool // pre-authorised: has no reservation of its own
	withdrawn      bool
	maxLoadFencing id.Fencing // largest fencing number of any order to load it

	lastOrder    id.Order           // last order sent
	lastFencing  id.Fencing         // fencing number of lastOrder
	loadOrder    id.Order           // id of the load order; that of the reservation at first
	loadSent     bool               // a load order may have been sent
	orderPending bool               // lastOrder has not been answered
	loadRefused  bool               // the engine refused it, or the reservation is too small
	cacheLevel   message.CacheLevel // where the checkpoint was at the time of the decision
	loadSentAt   clock.Time         // when the first load order was sent; 0: unknown, or the load time is recorded
	acceptedAt   clock.Time         // when lastOrder was accepted; 0: not yet
	retryAt      clock.Time         // no order before this time
	// quietAt is the time after which no order to load it can arrive any more.
	quietAt  clock.Time
	loadedAt clock.Time // when a report first showed it as loaded; 0: not loaded
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

// syncReplicas updates the replicas from the row's reservations. If another
// instance wrote the row, orders for new reservations may already be under way.
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

// canSendOrders reports whether orders may be sent to o now. They may not while
// the row is being released or the ownership is uncertain.
func (p *Placement) canSendOrders(o *ownedBackend, now clock.Time) bool {
	releasing := o.pendingWrite != nil && o.pendingWrite.row.Owner != p.settings.Instance
	return !o.ownershipUncertain && !releasing && (p.rights.Valid(now) || p.disabled.leaseCheck)
}

// sendDueOrders sends the orders that are due.
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

// sendLoad orders a load that the report does not show yet. A repeated order
// keeps its id, so that the engine can recognise it.
func (p *Placement) sendLoad(o *ownedBackend, replica *managedReplica, now clock.Time, out *event.Outbox) {
	if o.held[replica.artifact].State != Cold || replica.loadRefused || o.leaving {
		return
	}
	if artifact, _ := p.configuredArtifact(replica.artifact); artifact.Bytes > replica.bytes {
		replica.loadRefused = true // the artifact has grown: the reservation does not cover it
		return
	}
	if replica.loadOrder == "" {
		replica.loadOrder = o.newOrderID()
	}
	replica.lastOrder = replica.loadOrder
	if replica.loadSent && replica.acceptedAt != 0 && o.reportAskedAt.Reached(replica.quietAt) {
		// The order was accepted, but the artifact is gone: it was lost in a
		// restart of the engine. The engine might ignore a repeat of the same
		// order.
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

// sendUnload orders an unload while the report shows the artifact, or while an
// engine that checks fencing numbers has not seen one that makes it refuse
// older load orders.
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

// maxEarlierFencing is the largest number that orders of an earlier owner can
// carry. An unclaimed row still has the previous owner's number.
func (o *ownedBackend) maxEarlierFencing() id.Fencing {
	if o.unclaimed {
		return o.row.Fencing
	}
	return o.row.Fencing - 1
}

// retryUnloads makes unload orders due at once, so that they are sent with the
// new fencing number.
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

// sendOrder sends an order if the lease is valid and, for a load, if it is
// permitted.
func (p *Placement) sendOrder(o *ownedBackend, replica *managedReplica, kind event.OrderKind, now clock.Time, out *event.Outbox) bool {
	v := p.views[o.name]
	if v == nil || !p.checker.Hold(p.rights.Valid(now), "order-without-lease", "%s order for %s on %s", kind, replica.artifact, o.name) {
		return false
	}
	if kind == event.OrderLoad && !p.checker.Hold(p.loadPermitted(o, replica), "order-without-reservation", "%s on %s", replica.artifact, o.name) {
		return false
	}
	notAfter := min(p.rights.NotAfter(now), now.Add(orderSendTimeout))
	out.Add(event.OrderBackend{
		Backend: o.name, Address: v.address, Order: replica.lastOrder, Kind: kind,
		Artifact: replica.artifact, Fencing: o.row.Fencing, NotAfter: notAfter,
	})
	// If no answer arrives, the order may still be carried out until retryAt.
	replica.lastFencing = o.row.Fencing
	replica.orderPending, replica.retryAt = true, notAfter.Add(p.maxOrderTime(o.name))
	return true
}

// loadAuthorized reports whether a committed reservation or the standby right
// covers a load of the replica.
func (p *Placement) loadPermitted(o *ownedBackend, replica *managedReplica) bool {
	if replica.inPool {
		return o.canLoadStandby(replica.artifact)
	}
	r, ok := findReservation(o.row, replica.artifact)
	return ok && r.State == table.Decided
}

// sendFence makes an engine that checks fencing numbers refuse the orders of
// earlier owners.
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

// HandleOrderResult handles the answer to an order. An order without an answer
// is repeated once the earlier one can no longer arrive.
func (p *Placement) HandleOrderResult(now clock.Time, r event.OrderAnswered, out *event.Outbox) {
	p.now = now
	o := p.owned[r.Backend]
	if o == nil {
		return
	}
	o.nextReportAt = now
	// If an order with the row's current number is refused as too old, another
	// instance holds a larger one. An order with a smaller number was merely
	// overtaken by one of this instance's own.
	oldFencing := r.Result == event.OrderStaleFencing
	for _, a := range o.sortedArtifacts() {
		if replica := o.replicas[a]; replica.orderPending && replica.lastOrder == r.Order {
			p.recordOrderResult(o, replica, r, now)
			oldFencing = oldFencing && replica.lastFencing == o.row.Fencing
		}
	}
	o.ownershipUncertain = o.ownershipUncertain || oldFencing
	p.advance(o, now, out)
}

// recordOrderResult records the answer. Whatever the answer, a copy of the
// order may still arrive within the maximum order time.
func (p *Placement) recordOrderResult(o *ownedBackend, replica *managedReplica, r event.OrderAnswered, now clock.Time) {
	replica.orderPending, replica.retryAt = false, now.Add(orderRetryDelay)
	replica.quietAt = min(replica.quietAt, now.Add(p.maxOrderTime(o.name)))
	switch {
	case r.Result == event.OrderAccepted:
		replica.acceptedAt = now
	case r.Result == event.OrderStaleFencing:
		replica.retryAt = now
	case r.Result == event.OrderRefused && !replica.withdrawn:
		replica.loadRefused = true
		o.refusedUntil[replica.artifact] = now.Add(refusedLoadDelay)
	}
}

// provenAbsent reports whether the engine's report proves that the artifact is
// not there and that no order can load it any more. Either the report was
// requested after the last moment at which a load order could arrive, or the
// engine had seen a fencing number that makes it refuse all of them. An empty
// report alone proves nothing: an order under way would load the artifact into
// memory that has been reassigned.
func (p *Placement) provenAbsent(o *ownedBackend, replica *managedReplica) bool {
	if !o.reportKnown || o.held[replica.artifact].State != Cold {
		return false
	}
	fenced := p.checksFencing(o.name) && o.report.Fencing > replica.maxLoadFencing
	return fenced || o.reportAskedAt.Reached(replica.quietAt) || p.disabled.quietPeriod
}

// usesWeightStore reports whether the replica is being loaded from the weight
// store.
func (o *ownedBackend) usesWeightStore(replica *managedReplica) bool {
	return replica.cacheLevel == message.CacheRemote && !replica.withdrawn && o.held[replica.artifact].State != message.Loaded
}

func (p *Placement) cacheLevelAt(b id.Backend, a id.Artifact) message.CacheLevel {
	if v := p.views[b]; v != nil {
		return v.cacheLevel(a)
	}
	return message.CacheRemote
}
