package placer

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
)

// An order that got no response may be carried out until maxOrderDelay after it was sent, also if its
// engine has started again meanwhile: the engine then counts its orders anew, and the count that the
// order names comes back. So the memory of a new start is planned as if each such order may still be
// carried out, until the count is past it.

// maxOrderDelay is how long an order may be on its way, by the platform's pages, with a margin for the
// clocks.
const maxOrderDelay = 12*time.Second + 500*time.Millisecond

// lateOrder is an order to load that may still be carried out at a later start of its engine.
type lateOrder struct {
	Order
	until clock.Time
}

// recordUnanswered records that a copy of an order that was sent at a time got no response.
func (p *Placer) recordUnanswered(o Order, sentAt clock.Time) {
	if o.Kind != Load {
		return // it takes no memory
	}
	late := p.lateOrders[o.Server]
	for i := range late {
		if late[i].Order == o {
			late[i].until = max(late[i].until, sentAt.Add(maxOrderDelay))
			return
		}
	}
	p.lateOrders[o.Server] = append(late, lateOrder{o, sentAt.Add(maxOrderDelay)})
}

// recordAbandoned records the order that an engine's state is dropped with.
func (p *Placer) recordAbandoned(e *engineState) {
	if e.pending != nil {
		p.recordUnanswered(e.pending.order, e.pending.sentAt)
	}
}

// expireLateOrders drops the orders that can't be carried out any more.
func (p *Placer) expireLateOrders(now clock.Time) {
	for server, late := range p.lateOrders {
		late = slices.DeleteFunc(late, func(o lateOrder) bool { return now.Reached(o.until) })
		p.lateOrders[server] = late
		if len(late) == 0 {
			delete(p.lateOrders, server)
		}
	}
}

// setLateOrders sets which orders to earlier starts may still be carried out.
func (e *engineState) setLateOrders(late []lateOrder) {
	e.late = e.late[:0]
	for _, o := range late {
		if o.Incarnation != e.incarnation {
			e.late = append(e.late, o)
		}
	}
}

// mayCome reports whether an order to an earlier start may still take effect: the count is not past it, and
// what it loads is not held.
func (e *engineState) mayCome(o lateOrder) bool {
	if o.Precondition < e.sequence {
		return false
	}
	m := e.models[o.Model]
	if o.Adapter != "" {
		return m == nil || m.adapters[o.Adapter] == nil
	}
	return m == nil && (e.loading == nil || e.loading.model != o.Model)
}

// lateMB returns the memory that orders to earlier starts may still take.
func (e *engineState) lateMB() float64 {
	total := 0.0
	for _, o := range e.late {
		if e.mayCome(o) {
			total += o.megabytes(e.config)
		}
	}
	return total
}

// lateAdapters returns how many adapters orders to earlier starts may still load.
func (e *engineState) lateAdapters() int {
	n := 0
	for _, o := range e.late {
		if o.Adapter != "" && e.mayCome(o) {
			n++
		}
	}
	return n
}

// megabytes returns the memory that what the order loads takes.
func (o Order) megabytes(config *manifest.Engine) float64 {
	if o.Adapter != "" {
		return config.Models[o.Model].AdapterMB
	}
	return config.Models[o.Model].WeightsMB
}
