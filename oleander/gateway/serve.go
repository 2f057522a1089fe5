package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/grace"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/callermem"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	headerTimeout = 3 * time.Second
	// idleTimeout bounds an idle connection of a caller.
	idleTimeout    = 16 * time.Second
	maxHeaderBytes = 64 << 10
	// maxToolHeaderBytes bounds the heads of probes and of other instances, which are short.
	maxToolHeaderBytes = 8 << 10
	// lagBeforeStop is how long before its stop signal is noticed an instance that was late may have missed it.
	lagBeforeStop = time.Second
	// endWriteTime is how long the responses may take that say so.
	endWriteTime = 150 * time.Millisecond
	// finalAnswerWait is the time between the last order and the end of the process;
	// an order is answered within a few milliseconds.
	finalAnswerWait = 50 * time.Millisecond
)

// RemoveHopByHopHeaders removes the headers that concern one connection only,
// including those named by Connection.
func RemoveHopByHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// Run serves until stop is closed and the shutdown is complete, or until ctx is done.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	defer g.cancel()
	var err error
	if g.peers, err = newPeerTransport(g.settings.PeerAddress, g.countPeerBytes); err != nil {
		return err
	}
	defer g.peers.close()
	callerServer := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: nil, ConnContext: callerconn.With,
		ConnState: g.countCallerConn, BaseContext: func(net.Listener) context.Context { return g.serving },
	}
	listenCallers := func(address string) (net.Listener, error) { return listenForCallers(address, g.admit) }
	servers := []struct {
		address string
		listen  func(address string) (net.Listener, error)
		server  *http.Server
	}{
		{g.settings.CallerAddress, listenCallers, callerServer},
		{g.settings.ReadinessAddress, callermem.Listen, &http.Server{
			Handler: http.HandlerFunc(g.serveReadiness), ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxToolHeaderBytes,
		}},
		{g.settings.PeerAddress, callermem.Listen, &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxToolHeaderBytes}},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		l, err := s.listen(s.address)
		if err != nil {
			return errors.Wrapf(err, "gateway: listen on %s", s.address)
		}
		defer func() { _ = s.server.Close() }()
		go func() { failed <- s.server.Serve(l) }()
	}
	g.log.Info().Str("front", g.settings.CallerAddress).Str("zone", g.settings.Zone).Uint64("incarnation", g.incarnation).Msg("gateway: started")
	g.startLoops()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Wrap(err, "gateway: serve")
	case <-stop:
	}
	g.shutdown(ctx, callerServer)
	return nil
}

// startLoops starts the goroutines that run until the gateway ends.
func (g *Gateway) startLoops() {
	for _, f := range []func(){g.syncOperatorState, g.syncServers, g.syncPeers, g.keepCrashes, g.housekeep, g.receive, g.measureLag} {
		go f()
	}
}

func (g *Gateway) countCallerConn(c net.Conn, s http.ConnState) {
	callermem.ConnState(c, s)
	switch s {
	case http.StateNew:
		g.callerConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		g.callerConns.Add(-1)
	}
}

func (g *Gateway) receive() {
	g.peers.receive(g.handlePacket, func(err error) {
		g.metrics.damagedMessages.Inc()
		g.log.Warn().Err(err).Msg("peers: message dropped")
	})
}

// shutdown ends the process without interrupting requests: readiness probes fail,
// open connections are served, and requests that still wait near the end are refused
// so that they are served elsewhere. A lease holder sends orders until the end.
func (g *Gateway) shutdown(ctx context.Context, server *http.Server) {
	p := g.beginGrace()
	g.log.Info().Int64("active", g.activeRequests.Load()).Int64("noticed_late_ms", p.Late().Milliseconds()).Msg("gateway: stopping")
	g.stopping.Store(true)
	g.stopLeaseCandidacy()
	g.withQuota(g.limiter.Leave)
	refuseTimer := time.AfterFunc(boottime.Until(p.QueueEnd()), func() { close(g.refuseQueued) })
	defer refuseTimer.Stop()
	select {
	case <-time.After(boottime.Until(p.ListenEnd())):
	case <-ctx.Done():
		return
	}
	drain, cancel := context.WithDeadline(ctx, wallTime(p.End()))
	defer cancel()
	if err := server.Shutdown(drain); err != nil {
		g.log.Warn().Err(err).Int64("active", g.activeRequests.Load()).Msg("gateway: requests aborted at the end of the grace period")
		g.endRequests(ctx, server)
	}
	g.awaitRelayed(drain)
	g.releaseLeases()
	g.log.Info().Msg("gateway: stopped")
}

// errStopped ends the requests that are open as the process ends.
var errStopped = errors.New("gateway: stopped")

// endRequests ends all requests, and waits until those that have no response are told so.
func (g *Gateway) endRequests(ctx context.Context, server *http.Server) {
	g.endServing(errStopped)
	ctx, cancel := context.WithTimeout(ctx, endWriteTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		g.log.Warn().Err(err).Int64("active", g.activeRequests.Load()).Msg("gateway: requests left without a response")
	}
}

// awaitRelayed waits for the requests of other instances on relayed connections.
func (g *Gateway) awaitRelayed(ctx context.Context) {
	for g.relayedConns() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(housekeepInterval):
		}
	}
}

// beginGrace begins the grace period. The signal may have been sent since this instance was last known not to be late.
func (g *Gateway) beginGrace() *grace.Period {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	p := grace.Begin(now, g.lag.Processor(now, now.Add(-lagBeforeStop)), g.settings.GracePeriod)
	g.grace.Store(&p)
	return &p
}

// tooLateToAccept reports whether a request that may take so long might not end
// before a stopping process is killed.
func (g *Gateway) tooLateToAccept(now clock.Time, duration time.Duration) bool {
	return g.stopping.Load() && !g.grace.Load().Accepts(now, duration)
}

// stopLeaseCandidacy keeps a stopping instance from taking a lease.
func (g *Gateway) stopLeaseCandidacy() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for _, l := range []*leader.Lease{g.fleetLease, g.zoneLease} {
		if !l.Holds(now) {
			l.Stop()
		}
	}
}

// releaseLeases ends the leases and announces it before the process ends. It waits
// for the answers to orders in progress: the next process on this machine would take
// an order without an answer for one that may still arrive.
func (g *Gateway) releaseLeases() {
	g.mu.Lock()
	g.fleetLease.Stop()
	g.zoneLease.Stop()
	g.mu.Unlock()
	g.sendHeartbeat(audienceAllDirect)
	g.sleep(finalAnswerWait)
}

// serveReadiness answers the load balancer's probe.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.manifest.Load() == nil || !g.fleetKnown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// partialCatalogDelay is how long after the start an instance waits for the entries of all
// servers before it serves with those it has.
const partialCatalogDelay = 4 * time.Second

// fleetKnown reports whether the backend servers and the other instances were read.
// Without the instances, quota owners are unknown. Some of the servers suffice if each
// group has one: a read of many servers may take long.
func (g *Gateway) fleetKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.peersRead || g.servers.Len() == 0 {
		return false
	}
	now := boottime.Now()
	return g.serversComplete || now.Sub(g.started) >= partialCatalogDelay || g.allGroupsUsable(now)
}

// Paths served to other instances.
const (
	pathManifest = "/manifest"
	pathMetrics  = "/metrics"
	pathLease    = "/lease"
	pathServers  = "/servers"
	pathConnect  = "/connect"
)

// peerHandler serves other instances and the metrics.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathManifest, g.serveManifest)
	mux.HandleFunc(pathLease, g.serveLease)
	mux.HandleFunc(pathServers, g.serveServers)
	mux.HandleFunc(pathConnect, g.serveConnect)
	mux.HandleFunc(pathMetrics, func(w http.ResponseWriter, _ *http.Request) { g.metrics.write(w, g) })
	return mux
}
