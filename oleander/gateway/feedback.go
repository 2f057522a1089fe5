package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/serverlimit"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// isFrom reports whether a response is the answer of the target to this request, and not
// of another server at its address or to another request.
func (x *exchange) isFrom(t target, head ports.ResponseInfo) bool {
	return (head.RequestID == "" || head.RequestID == x.call.ID) && (head.Server == "" || head.Server == t.id)
}

// handleFeedback handles what a server says about itself in a response.
func (g *Gateway) handleFeedback(t target, head ports.ResponseInfo) {
	g.mu.Lock()
	now := boottime.Now()
	out := g.recordLimit(now, t, head)
	g.mu.Unlock()
	g.sendAll(out)
}

// handleEngineFeedback handles what an engine says about itself in its response to an order
// or a query. Such a response is taken at its word only for what it says, not for what it
// leaves out.
func (g *Gateway) handleEngineFeedback(t target, f ports.Feedback) {
	if f != (ports.Feedback{}) {
		g.handleFeedback(t, ports.ResponseInfo{Feedback: f})
	}
}

// recordLimit records what a response says about the rate limit of its server, and
// returns the messages that tell the other instances of a change. A response that names
// no limit ends an earlier one if a server wrote it. The caller holds mu.
func (g *Gateway) recordLimit(now clock.Time, t target, head ports.ResponseInfo) []outgoing {
	limit := head.RateLimit
	if limit.Invalid == "" && !limit.Named && !head.Signed && !head.NotExecuted {
		return nil
	}
	g.logRateLimit(now, t.id, limit)
	if limit.Invalid != "" {
		return nil
	}
	changed := g.servers.RecordLimit(t.id, t.incarnation, serverlimit.Statement{Limited: limit.Named, PerSecond: limit.PerSecond, At: now})
	if limit.Named || changed {
		g.feedbackHeardAt[t.id] = now
	}
	s := g.servers.Get(t.id)
	if !changed || s == nil {
		return nil
	}
	return g.feedbackToAll(now, s)
}

// feedbackLog holds what was last logged of each server's feedback.
type feedbackLog map[string]loggedFeedback

type loggedFeedback struct {
	limit ports.RateLimit
	at    clock.Time
}

// minLimitLogInterval bounds the log lines about a limit that changes with each response.
const minLimitLogInterval = time.Second

// logRateLimit logs changes of the limit that a server names. The caller holds mu.
func (g *Gateway) logRateLimit(now clock.Time, server string, limit ports.RateLimit) {
	last, known := g.feedbackLog[server]
	if limit == last.limit || known && limit.Named == last.limit.Named && now.Sub(last.at) < minLimitLogInterval {
		return
	}
	g.feedbackLog[server] = loggedFeedback{limit: limit, at: now}
	switch {
	case limit.Invalid != "":
		g.log.Warn().Str("server", server).Str("value", limit.Invalid).Msg("feedback: rate limit not understood")
	case limit.Named:
		g.log.Info().Str("server", server).Float64("per_second", limit.PerSecond).Msg("feedback: server names a rate limit")
	default:
		g.log.Info().Str("server", server).Float64("was_per_second", last.limit.PerSecond).Msg("feedback: server names no rate limit any more")
	}
}
