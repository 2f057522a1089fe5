package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// leaseTimeout bounds a call for a lease row; a later answer is useless.
	leaseTimeout = 450 * time.Millisecond
	// orderTimeout bounds a call to an engine.
	orderTimeout = 300 * time.Millisecond
)

// reportRequest is a request for an engine's report of its loaded models.
type reportRequest struct {
	server, address string
	incarnation     int64
}

// plan returns the placer's orders for the engines of a scope and the requests for
// reports to send now. The caller holds mu.
func (g *Gateway) plan(now clock.Time, scope placer.Scope) ([]placer.Order, []reportRequest) {
	m := g.manifest.Load()
	if m == nil {
		return nil, nil
	}
	g.plannedAt = now
	g.placer.SetDemand(g.fleetDemand(now))
	g.placer.Sync(now, g.enginesInScope(scope), m.Groups)
	for _, h := range g.placer.NewlyHeld(now) {
		g.log.Info().Str("server", h.Server).Dur("for", h.For).Bool("by_report", h.ByReport).
			Msg("placer: engine started again, room is kept until orders of other planners can't arrive")
	}
	orders := g.placer.Plan(now)
	for _, id := range g.placer.DueQueries(now) {
		if s := g.servers.Get(id); s != nil {
			g.reports.add(reportRequest{server: id, address: s.Address, incarnation: s.Incarnation})
		}
	}
	return orders, g.reports.take()
}

// executeOrder has the holder of the engine's zone lease send an order, and passes
// the answer to the placer.
func (g *Gateway) executeOrder(o placer.Order) {
	g.mu.Lock()
	zone := g.settings.Zone
	if s := g.servers.Get(o.Server); s != nil {
		zone = s.Zone
	}
	sendHere := zone == g.settings.Zone && g.zoneLease.MayOrder(boottime.Now())
	g.mu.Unlock()
	var result placer.OrderResult
	if sendHere {
		result = g.sendOrder(o)
	} else {
		result = g.forwardOrder(zone, o)
	}
	g.mu.Lock()
	g.placer.HandleResult(boottime.Now(), o, result)
	g.mu.Unlock()
	g.triggerHousekeeping()
}

// sendOrder sends an order to an engine of this zone if this instance still may.
func (g *Gateway) sendOrder(o placer.Order) placer.OrderResult {
	g.mu.Lock()
	allowed, fencing := g.zoneLease.MayOrder(boottime.Now()), g.zoneLease.Fencing()
	s := g.servers.Get(o.Server)
	allowed = allowed && s != nil && s.Incarnation == o.Incarnation && s.Zone == g.settings.Zone && !s.ZoneClosed()
	g.mu.Unlock()
	result := placer.NoResponse
	if allowed {
		ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
		var feedback ports.Feedback
		result, feedback = g.engines.SendOrder(ctx, o, g.settings.Name, fencing)
		cancel()
		g.handleEngineFeedback(target{id: o.Server, incarnation: o.Incarnation}, feedback)
	}
	g.metrics.order(string(o.Kind), result)
	g.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("model", o.Model).Str("adapter", o.Adapter).
		Int64("precondition", o.Precondition).Int64("fencing", fencing).Bool("sent", allowed).Stringer("answer", result).Msg("placer: order")
	return result
}

func (g *Gateway) fetchReport(request reportRequest) {
	to := ports.Route{Address: request.address, Server: request.server}
	requestedAt := boottime.Now()
	report, feedback, err := g.fetchReportOver(to)
	if direct := err; g.mayBeOwnLink(direct) {
		if report, feedback, err = g.fetchReportOver(g.relayedRoute(to, reportRelays)); err != nil {
			err = errors.Wrap(direct, err.Error())
		}
	}
	g.handleEngineFeedback(target{id: request.server, incarnation: request.incarnation}, feedback)
	g.metrics.report(err == nil)
	g.mu.Lock()
	g.reports.ended()
	if err != nil {
		g.mu.Unlock()
		g.log.Warn().Err(err).Str("server", request.server).Msg("placer: engine report failed")
		return
	}
	g.placer.HandleReport(boottime.Now(), request.server, request.incarnation, requestedAt, report)
	g.mu.Unlock()
	g.triggerHousekeeping()
}

// reportRelays is how many instances are tried for a report; the next one may come through another.
const reportRelays = 1

// mayBeOwnLink reports whether a call failed for want of a connection that another instance may have. A server
// that refuses connections has ended, unless this instance is cut off from all.
func (g *Gateway) mayBeOwnLink(err error) bool {
	return errors.Is(err, rawhttp.ErrNotSent) && (g.links.cut() || !errors.Is(err, syscall.ECONNREFUSED))
}

// fetchReportOver fetches an engine's report over a route.
func (g *Gateway) fetchReportOver(to ports.Route) (placer.Report, ports.Feedback, error) {
	ctx, cancel := context.WithTimeout(g.ctx, orderTimeout)
	defer cancel()
	return g.engines.FetchReport(ctx, to)
}

// runLeaseStep starts a call for a lease row.
func (g *Gateway) runLeaseStep(name ports.LeaseName, l *leader.Lease, step leader.Step) {
	if step.Action == leader.None {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.ctx, leaseTimeout)
		defer cancel()
		a := g.callLease(ctx, leaseCall{Name: name, Write: step.Action == leader.Write, Record: step.Record, Expect: step.Expect})
		g.handleLeaseAnswer(l, step, a)
		g.triggerHousekeeping()
	}()
}

func (g *Gateway) handleLeaseAnswer(l *leader.Lease, step leader.Step, a leaseAnswer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.observeEra(now, a.Era)
	if step.Action == leader.Read {
		l.HandleRead(now, a.Row, a.OK)
		return
	}
	held := l.Holds(now)
	fencing := l.Fencing()
	l.HandleWrite(now, step, a.Result, a.At)
	g.heartbeatDue = g.heartbeatDue || l.Holds(now)
	if l.Holds(now) && (!held || l.Fencing() != fencing) {
		g.recordLeaseTaken(now, l)
	}
}

// recordLeaseTaken records that this instance has taken a lease. The caller holds mu.
func (g *Gateway) recordLeaseTaken(now clock.Time, l *leader.Lease) {
	if l.TakenEarly() {
		g.metrics.leaseTakenEarly.Inc()
	}
	if l == g.zoneLease {
		g.zoneHolders[g.settings.Zone] = zoneHolder{name: g.settings.Name, fencing: l.Fencing(), heardAt: now, quietUntil: l.QuietUntil()}
		g.log.Info().Int64("fencing", l.Fencing()).Str("zone", g.settings.Zone).Bool("early", l.TakenEarly()).Msg("lease: taken, this instance sends the orders of its zone")
		return
	}
	g.fleetHolder = fleetHolder{name: g.settings.Name, fencing: l.Fencing(), heardAt: now}
	g.metrics.leaseTaken.Inc()
	g.log.Info().Int64("fencing", l.Fencing()).Bool("early", l.TakenEarly()).Msg("lease: taken, this instance plans for the fleet")
}
