package gateway

import (
	"context"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// leaseTimeout bounds a call for the lease; a later answer is of no use.
	leaseTimeout = 450 * time.Millisecond
	// orderTimeout bounds an order and a question to an engine.
	orderTimeout = 300 * time.Millisecond
)

// question asks an engine what it holds.
type question struct {
	server, address string
	born            int64
}

// plan asks the placer what to do for the engines of a scope. The caller holds mu.
func (g *Gateway) plan(now clock.Time, scope placer.Scope) ([]placer.Order, []question) {
	m := g.manifest.Load()
	if m == nil {
		return nil, nil
	}
	g.planned = now
	g.placer.SetDemand(g.wants(now))
	g.placer.Sync(now, g.enginesIn(scope), m.Groups)
	orders := g.placer.Plan(now)
	var asks []question
	for _, id := range g.placer.DueQueries(now) {
		if s := g.dir.Get(id); s != nil {
			asks = append(asks, question{server: id, address: s.Address, born: s.Born})
		}
	}
	return orders, asks
}

// order has one order given by the holder of the engine's zone, and takes the answer.
func (g *Gateway) order(o placer.Order) {
	g.mu.Lock()
	zone := g.set.Zone
	if s := g.dir.Get(o.Server); s != nil {
		zone = s.Zone
	}
	own := zone == g.set.Zone && g.zoneLease.MayOrder(boottime.Now())
	g.mu.Unlock()
	var answer placer.OrderResult
	if own {
		answer = g.giveOrder(o)
	} else {
		answer = g.passOrder(zone, o)
	}
	g.mu.Lock()
	g.placer.HandleResult(boottime.Now(), o, answer)
	g.mu.Unlock()
	g.poke()
}

// giveOrder gives one order to an engine of the own zone, if the right to do so is still
// there.
func (g *Gateway) giveOrder(o placer.Order) placer.OrderResult {
	g.mu.Lock()
	may, fencing := g.zoneLease.MayOrder(boottime.Now()), g.zoneLease.Fencing()
	s := g.dir.Get(o.Server)
	may = may && s != nil && s.Born == o.Incarnation && s.Zone == g.set.Zone && !s.Closed()
	g.mu.Unlock()
	answer := placer.NoResponse
	if may {
		ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
		answer = g.engines.Order(ctx, o, g.set.Name, fencing)
		cancel()
	}
	g.metrics.order(string(o.Kind), answer)
	g.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("model", o.Model).Str("adapter", o.Adapter).
		Int64("precondition", o.Precondition).Int64("fencing", fencing).Bool("sent", may).Stringer("answer", answer).Msg("placer: order")
	return answer
}

func (g *Gateway) ask(q question) {
	asked := boottime.Now()
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	r, err := g.engines.Report(ctx, q.address, q.server)
	g.metrics.report(err == nil)
	if err != nil {
		g.log.Warn().Err(err).Str("server", q.server).Msg("placer: engine did not tell what it holds")
		return
	}
	g.mu.Lock()
	g.placer.HandleReport(boottime.Now(), q.server, q.born, asked, r)
	g.mu.Unlock()
	g.poke()
}

// leaseStep carries out an action on the row of a lease.
func (g *Gateway) leaseStep(name ports.LeaseName, l *leader.Lease, step leader.Step) {
	if step.Action == leader.None {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, leaseTimeout)
		defer cancel()
		a := g.callLease(ctx, leaseCall{Name: name, Write: step.Action == leader.Write, Record: step.Record, Expect: step.Expect})
		g.leaseAnswered(l, step, a)
		g.poke()
	}()
}

func (g *Gateway) leaseAnswered(l *leader.Lease, step leader.Step, a leaseAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.eraIs(now, a.Era)
	if step.Action == leader.Read {
		l.Seen(now, a.Row, a.OK)
		return
	}
	held := l.Holds(now)
	fencing := l.Fencing()
	l.Written(now, step, a.Result, a.At)
	g.tellClaim = g.tellClaim || l.Holds(now)
	if l.Holds(now) && (!held || l.Fencing() != fencing) {
		g.leaseTaken(now, l)
	}
}

// leaseTaken notes that this instance holds a lease now. The caller holds mu.
func (g *Gateway) leaseTaken(now clock.Time, l *leader.Lease) {
	if l == g.zoneLease {
		g.zoneHolder[g.set.Zone] = zoneHolder{name: g.set.Name, fencing: l.Fencing(), heard: now, from: l.OrdersFrom()}
		g.log.Info().Int64("fencing", l.Fencing()).Str("zone", g.set.Zone).Msg("lease: taken, this instance gives the orders of its zone")
		return
	}
	g.holder = holder{name: g.set.Name, fencing: l.Fencing(), heard: now}
	g.metrics.leaseTaken.Inc()
	g.log.Info().Int64("fencing", l.Fencing()).Msg("lease: taken, this instance plans for all")
}
