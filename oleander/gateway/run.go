package gateway

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	headerTimeout = 3 * time.Second
	// idleTimeout bounds an idle connection of a caller.
	idleTimeout    = 16 * time.Second
	maxHeaderBytes = 64 << 10
	// stopListening is how long after the signal to stop new connections are
	// still taken: the balancer asks once a second and needs two refusals.
	stopListenDelay = 3500 * time.Millisecond
	// takeFor is how long after the signal to stop every request is still taken, and
	// takePart bounds it where the grace time is short. Later ones, which come over
	// kept connections or from a balancer that has not asked yet, are taken only if
	// they are sure to end before the kill: a chat of 159 events that came 3.3 s after
	// the signal was cut 4.1 s later. A refused one is served elsewhere at once.
	stopAcceptPeriod   = 2800 * time.Millisecond
	stopAcceptFraction = 0.35
	// stopMargin before the kill the last connections are closed.
	stopMargin = 600 * time.Millisecond
	// restFor is the time between the last order and the end of the process: an
	// order is answered within some milliseconds.
	finalAnswerWait = 50 * time.Millisecond
)

// RemoveHopByHopHeaders removes the headers that concern one connection only, and
// those that Connection names.
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

// Run serves until Stop has been carried out or ctx ends.
func (g *Gateway) Run(ctx context.Context, stop <-chan struct{}) error {
	defer g.cancel()
	var err error
	if g.peers, err = newPeers(g.settings.PeerAddress, g.metrics.peerBytes); err != nil {
		return err
	}
	defer g.peers.close()
	front := &http.Server{
		Handler: g, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, ErrorLog: nil,
	}
	servers := []struct {
		address string
		server  *http.Server
	}{
		{g.settings.CallerAddress, front},
		{g.settings.ReadinessAddress, &http.Server{Handler: http.HandlerFunc(g.serveReadiness), ReadHeaderTimeout: headerTimeout}},
		{g.settings.PeerAddress, &http.Server{Handler: g.peerHandler(), ReadHeaderTimeout: headerTimeout}},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
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
	g.shutdown(ctx, front)
	return nil
}

// start starts what runs for the life of the process.
func (g *Gateway) startLoops() {
	for _, f := range []func(){g.syncOperatorState, g.syncServers, g.syncPeers, g.housekeep, g.receive} {
		go f()
	}
}

func (g *Gateway) receive() {
	g.peers.receive(g.handlePacket, func(err error) {
		g.metrics.damagedMessages.Inc()
		g.log.Warn().Err(err).Msg("peers: message dropped")
	})
}

// shutdown ends the process without cutting a request: the balancer is told,
// open connections are served on, and what still waits near the end is sent
// elsewhere. A holder of the lease gives orders until the end.
func (g *Gateway) shutdown(ctx context.Context, front *http.Server) {
	g.log.Info().Int64("active", g.activeRequests.Load()).Msg("gateway: stop began")
	g.stopStartedAt.Store(int64(boottime.Now()))
	g.stopping.Store(true)
	began := time.Now()
	g.stopLeaseCandidacy()
	g.withQuota(g.quota.Leave)
	end := began.Add(g.settings.GracePeriod - stopMargin)
	refuse := time.AfterFunc(g.settings.GracePeriod-stopRefusalLead, func() { close(g.refuseQueued) })
	defer refuse.Stop()
	select {
	case <-time.After(min(stopListenDelay, g.settings.GracePeriod/2)):
	case <-ctx.Done():
		return
	}
	drain, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := front.Shutdown(drain); err != nil {
		g.log.Warn().Err(err).Int64("active", g.activeRequests.Load()).Msg("gateway: requests cut at the end of the grace time")
	}
	g.releaseLeases()
	g.log.Info().Msg("gateway: stopped")
}

// tooLate reports whether a request that may take so long comes too late to a
// stopping instance to end before the kill.
func (g *Gateway) tooLateToAccept(now clock.Time, takes time.Duration) bool {
	if !g.stopping.Load() {
		return false
	}
	since := now.Sub(clock.Time(g.stopStartedAt.Load()))
	return since > min(stopAcceptPeriod, time.Duration(stopAcceptFraction*float64(g.settings.GracePeriod))) && since+takes > g.settings.GracePeriod-stopMargin
}

// restUnlessHolder keeps an instance that stops from taking the lease.
func (g *Gateway) stopLeaseCandidacy() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for _, l := range []*leader.Lease{g.fleetLease, g.zoneLease} {
		if !l.Holds(now) {
			l.Rest()
		}
	}
}

// rest ends the orders and tells the others, before the process ends. An order
// that is under way is answered meanwhile: the process that is started next on
// this machine would take one without an answer for one that is still to come.
func (g *Gateway) releaseLeases() {
	g.mu.Lock()
	g.fleetLease.Rest()
	g.zoneLease.Rest()
	g.mu.Unlock()
	g.sendHeartbeat(audienceAllDirect)
	g.sleep(finalAnswerWait)
}

// readiness answers the balancer.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || g.manifest.Load() == nil || !g.fleetKnown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// knowsFleet reports whether the backend servers and the other instances were
// read: without these, nobody can be asked for tokens.
func (g *Gateway) fleetKnown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peersRead && len(g.servers.IDs()) > 0
}

// Paths between instances.
const (
	pathManifest = "/manifest"
	pathMetrics  = "/metrics"
	pathLease    = "/lease"
)

// internal serves other instances and the metrics.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathManifest, g.serveManifest)
	mux.HandleFunc(pathLease, g.serveLease)
	mux.HandleFunc(pathMetrics, func(w http.ResponseWriter, _ *http.Request) { g.metrics.write(w, g) })
	return mux
}
