package gateway

import (
	"context"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/placer"
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

// plan asks the placer what to do. The caller holds mu.
func (g *Gateway) plan(now clock.Time) ([]placer.Order, []question) {
	m := g.manifest.Load()
	if m == nil {
		return nil, nil
	}
	g.placer.SetWants(g.wants(now))
	g.placer.Sync(now, g.enginesOf(), m.Groups)
	var orders []placer.Order
	if g.lease.MayOrder(now) {
		orders = g.placer.Plan(now)
	}
	var asks []question
	for _, id := range g.placer.Asks(now) {
		if s := g.dir.Get(id); s != nil {
			asks = append(asks, question{server: id, address: s.Address, born: s.Born})
		}
	}
	return orders, asks
}

// order gives one order, if the right to do so is still there.
func (g *Gateway) order(o placer.Order) {
	g.mu.Lock()
	may, fencing := g.lease.MayOrder(boottime.Now()), g.lease.Fencing()
	g.mu.Unlock()
	answer := placer.Silent
	if may {
		ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
		answer = g.engines.Order(ctx, o, g.set.Name, fencing)
		cancel()
	}
	g.metrics.order(string(o.Kind), answer)
	g.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("model", o.Model).Str("adapter", o.Adapter).
		Int64("precondition", o.Precondition).Int64("fencing", fencing).Bool("sent", may).Stringer("answer", answer).Msg("placer: order")
	g.mu.Lock()
	g.placer.Answered(boottime.Now(), o, answer)
	g.mu.Unlock()
	g.poke()
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
	g.placer.Reported(boottime.Now(), q.server, q.born, asked, r)
	g.mu.Unlock()
	g.poke()
}

// leaseStep carries out an action on the row of the lease.
func (g *Gateway) leaseStep(step leader.Step) {
	if step.Action == leader.None {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, leaseTimeout)
		defer cancel()
		a := g.callLease(ctx, leaseCall{Write: step.Action == leader.Write, Record: step.Record, Expect: step.Expect})
		g.leaseAnswered(step, a)
		g.poke()
	}()
}

func (g *Gateway) leaseAnswered(step leader.Step, a leaseAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.eraIs(now, a.Era)
	if step.Action == leader.Read {
		g.lease.Seen(now, a.Row, a.OK)
		return
	}
	held := g.lease.Holds(now)
	fencing := g.lease.Fencing()
	g.lease.Written(now, step, a.Result, a.At)
	g.tellClaim = g.tellClaim || g.lease.Holds(now)
	if g.lease.Holds(now) && (!held || g.lease.Fencing() != fencing) {
		g.holder = holder{name: g.set.Name, fencing: g.lease.Fencing(), heard: now}
		g.metrics.leaseTaken.Inc()
		g.log.Info().Int64("fencing", g.lease.Fencing()).Msg("lease: taken, this instance gives orders")
	}
}
