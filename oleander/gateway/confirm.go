package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// signOfLifeTimeout bounds the question to a server whose response ended with its connection.
	signOfLifeTimeout = 500 * time.Millisecond
	// takeUpTimeout is how long a stream whose end is not confirmed waits for a server that takes it up. Its caller
	// has all events that there may be.
	takeUpTimeout = time.Second
)

// unconfirmedEnd is the end of a stream that nothing but its connection told.
type unconfirmedEnd struct {
	target      target
	response    *http.Response // its head
	relayed     bool
	takeUpUntil clock.Time // end of the wait for another server
}

// mayTakeUp reports whether another server may be asked for what follows the last event. Half of the retries are kept
// for streams that are known to be broken off.
func (x *exchange) mayTakeUp() bool {
	if !x.mayFailOver() || x.lastEventID == "" || x.sends >= maxSends || boottime.Now().Reached(x.deadline) {
		return false
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget.HalfLeft(boottime.Now(), x.group, g.members.Count())
}

// streamUnconfirmed goes on with a stream that nothing but the end of its connection ended: another server is asked for
// the rest, or else this one for a sign of life.
func (x *exchange) streamUnconfirmed(t target, c *rawhttp.Conn, resp *http.Response) attemptResult {
	x.unconfirmed = &unconfirmedEnd{target: t, response: resp, relayed: c.Indirect, takeUpUntil: boottime.Now().Add(takeUpTimeout)}
	if x.mayTakeUp() {
		x.releaseConn(c, resp)
		x.attemptAnswered(t, resp.StatusCode)
		return resultUnconfirmed
	}
	if x.settleEnd() == ending.BrokenOff {
		x.unconfirmed = nil
		return x.attemptFailed(t, c, errServerEnded)
	}
	x.releaseConn(c, resp)
	x.attemptAnswered(t, resp.StatusCode)
	x.endStream(resp)
	return resultDone
}

// settleEnd decides on the unconfirmed end of a stream by whether its server lives.
func (x *exchange) settleEnd() ending.Verdict {
	u := x.unconfirmed
	state := x.askForLife(u.target, u.relayed)
	x.responseEnd.verdict = ending.Settle(state, true)
	x.g.log.Info().Str("request", x.call.ID).Str("server", u.target.id).Stringer("state", state).Str("after_event", x.lastEventID).
		Stringer("end", x.responseEnd.verdict).Msg("front: stream ended with its connection, its server was asked for a sign of life")
	return x.responseEnd.verdict
}

// notTakenUp ends a stream with an unconfirmed end that no other server took up.
func (x *exchange) notTakenUp() {
	if x.settleEnd() == ending.BrokenOff {
		x.fail(refusal{status: http.StatusBadGateway, reason: reasonBroken})
		return
	}
	x.endStream(x.unconfirmed.response)
}

// endStream ends the caller's stream as its server ended it.
func (x *exchange) endStream(resp *http.Response) {
	x.limitWriteTime()
	if !x.responseStarted {
		x.writeResponseHead(resp)
	}
	x.unframed.End()
	x.finish(resp.StatusCode, reasonAnswered)
}

// bodyBrokenOff judges a response that is no stream and was read to its end. One that only its connection ended is
// broken off if its server has ended.
func (x *exchange) bodyBrokenOff(t target) bool {
	if x.responseEnd.judge(nil) == ending.Unconfirmed {
		x.responseEnd.verdict = ending.Settle(x.askForLife(t, x.responseEnd.relayed), false)
	}
	return x.responseEnd.verdict == ending.BrokenOff
}

// errServerEnded is the error of a response that ended with its connection as its server did.
var errServerEnded = errors.New("response without length or chunks, whose server gave no sign of life")

// askForLife asks the server of a response that ended with its connection for a sign of life, over another instance
// if the response came so.
func (x *exchange) askForLife(t target, relayed bool) ending.ServerState {
	g := x.g
	g.mu.Lock()
	s := g.servers.Get(t.id)
	restarted := s != nil && s.Incarnation != t.incarnation
	path, known := g.pingPath(x.group)
	g.mu.Unlock()
	state := ending.Unasked
	switch {
	case restarted:
		state = ending.Ended
	case known:
		to := ports.Route{Address: t.address, Server: t.id}
		if relayed {
			to = g.relayedRoute(to, maxRelays)
		}
		state = g.pingState(x.r.Context(), to, path)
	}
	g.metrics.unconfirmedEnd(state)
	return state
}

// pingState pings a server.
func (g *Gateway) pingState(ctx context.Context, to ports.Route, path string) ending.ServerState {
	ctx, cancel := context.WithTimeout(ctx, signOfLifeTimeout)
	defer cancel()
	switch err := g.engines.Ping(ctx, to, path); {
	case err == nil:
		return ending.Lives
	case errors.Is(err, ports.ErrServerEnded):
		return ending.Ended
	}
	return ending.Silent
}
