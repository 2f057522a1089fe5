package placer

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
)

// An order that got no response may be carried out until maxOrderDelay after it was sent, also if its
// engine has started again meanwhile: the engine then counts its orders anew, and the count that the
// order names comes back. So the memory of a new start is planned as if each such order may still be
// carried out, until the count is past it.
//
// A planner does not know such orders of other planners. On an engine that may have started again
// since they were sent it keeps room for one model and some adapters until they can't arrive any more. One
// that arrives makes the engine busy, and the count that the next one names is passed by the next order
// that the engine gets.

// maxOrderDelay is how long an order may be on its way, by the platform's pages, with a margin for the
// clocks.
const maxOrderDelay = 12*time.Second + 500*time.Millisecond

// maxRestartLag is how long after an engine's start orders to the earlier one may still be sent: until all
// instances have read its entry.
const maxRestartLag = 2500 * time.Millisecond

// unknownAdapters is for how many adapters of other planners room is kept; they make no engine busy.
const unknownAdapters = 4

// lateOrder is an order to load that may still be carried out at a later start of its engine.
type lateOrder struct {
	Order
	until     clock.Time
	forwarded bool // of another planner, which knows of it
}

// TakeOver says that this placer alone gives orders from the next call of Sync on.
func (p *Placer) TakeOver() { clear(p.takenOver) }

// updateTakenOver records from when on this placer alone gives orders to the engines of each zone. While a
// zone's engines can't be ordered from here, another planner may do so.
func (p *Placer) updateTakenOver(now clock.Time, servers []*directory.Server) {
	orderable := func(zone string) bool { return p.reachability == nil || p.reachability(zone) == Reachable }
	for zone := range p.takenOver {
		if !orderable(zone) {
			delete(p.takenOver, zone)
		}
	}
	for _, s := range servers {
		if _, known := p.takenOver[s.Zone]; !known && orderable(s.Zone) {
			p.takenOver[s.Zone] = now
		}
	}
}

// keepRoom sets for what room is kept on an engine, and until when.
func (p *Placer) keepRoom(now clock.Time, e *engineState) {
	takenOver, ok := p.takenOver[e.server.Zone]
	if !ok {
		takenOver = now
	}
	e.heldUntil = HeldUntil(max(e.server.RestartedAt(), e.restartedAt), takenOver)
	e.unknownMB, e.unknownAdapters = 0, 0
	if now.Reached(e.heldUntil) {
		return
	}
	for _, m := range e.config.Models {
		e.unknownMB = max(e.unknownMB, m.WeightsMB)
	}
	e.unknownAdapters = min(unknownAdapters, e.config.AdapterSlots/2)
}

// restartedSinceEntry reports whether a report shows that the engine has started again since it wrote its
// entry: it says so, or fewer orders were accepted than it takes to come from the models of the entry to
// those of the report.
func (e *engineState) restartedSinceEntry(r Report) bool {
	if r.Incarnation != 0 {
		return r.Incarnation != cmp.Or(e.reportedIncarnation, e.incarnation)
	}
	return e.restartedAt == 0 && r.Sequence < int64(e.changedModels(r))
}

// changedModels returns how many models either the entry or a report names.
func (e *engineState) changedModels(r Report) int {
	entry := e.server.PublishedEntry()
	n := len(entry.LoadedModels)
	for _, l := range r.LoadedModels {
		if _, ok := entry.LoadedModel(l.Model); ok {
			n--
		} else {
			n++
		}
	}
	return n
}

// recordRestart replaces the state by that of a new start, whose entry is not known yet.
func (e *engineState) recordRestart(now clock.Time, r Report) {
	e.restartedAt, e.reportedIncarnation = now, r.Incarnation
	e.pending, e.loading, e.reservation = nil, nil, reservation{}
	e.sequence, e.changedAt = -1, 0
}

// HeldEngine is an engine on which room is kept for a while, since unknown orders may still arrive.
type HeldEngine struct {
	Server   string
	For      time.Duration
	ByReport bool // its report shows the restart, its entry does not
}

// NewlyHeld returns the engines on which room is kept and was not at the last call.
func (p *Placer) NewlyHeld(now clock.Time) []HeldEngine {
	var held []HeldEngine
	for _, e := range p.sortedEngines {
		if now.Before(e.heldUntil) && e.heldUntil != e.toldHeldUntil {
			held = append(held, HeldEngine{Server: e.id, For: e.heldUntil.Sub(now), ByReport: e.restartedAt > e.server.RestartedAt()})
		}
		e.toldHeldUntil = e.heldUntil
	}
	return held
}

// HeldUntil returns until when unknown orders may arrive at an engine that started again at a time, 0 if it did not,
// for a planner that knows those since takenOver.
func HeldUntil(restartedAt, takenOver clock.Time) clock.Time {
	if restartedAt == 0 {
		return 0
	}
	return min(takenOver, restartedAt.Add(maxRestartLag)).Add(maxOrderDelay)
}

// RecordForwarded records an order of another planner that was sent here and got no response.
func (p *Placer) RecordForwarded(now clock.Time, o Order) {
	p.expireLateOrders(now)
	p.record(lateOrder{Order: o, until: now.Add(maxOrderDelay), forwarded: true})
}

// MayGetOwnOrder reports whether an order of this planner to an earlier start may be carried out after another
// planner's order to an engine, or before it.
func (p *Placer) MayGetOwnOrder(now clock.Time, o Order) bool {
	return slices.ContainsFunc(p.lateOrders[o.Server], func(l lateOrder) bool {
		return !l.forwarded && now.Before(l.until) && l.Incarnation != o.Incarnation && l.Precondition >= o.Precondition
	})
}

// recordUnanswered records that a copy of an order that was sent at a time got no response.
func (p *Placer) recordUnanswered(o Order, sentAt clock.Time) {
	p.record(lateOrder{Order: o, until: sentAt.Add(maxOrderDelay)})
}

func (p *Placer) record(o lateOrder) {
	if o.Kind != Load {
		return // it takes no memory
	}
	late := p.lateOrders[o.Server]
	for i := range late {
		if late[i].Order == o.Order && late[i].forwarded == o.forwarded {
			late[i].until = max(late[i].until, o.until)
			return
		}
	}
	p.lateOrders[o.Server] = append(late, o)
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
		if o.Incarnation != e.incarnation || e.restartedAt != 0 && !e.restartedAt.Add(maxOrderDelay).Before(o.until) {
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
