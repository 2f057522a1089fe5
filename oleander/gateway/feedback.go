package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/serverlimit"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// handleFeedback handles what a server says about itself in a response.
func (g *Gateway) handleFeedback(t target, head ports.ResponseInfo) {
	g.mu.Lock()
	now := boottime.Now()
	g.logFeedback(now, t, head)
	changed := g.recordLimit(now, t, head)
	changed = g.recordBrittle(now, t, head) || changed
	changed = g.recordLeaving(now, t, head) || changed
	changed = g.recordRest(now, t, head) || changed
	var out []outgoing
	if s := g.servers.Get(t.id); changed && s != nil && s.Incarnation == t.incarnation {
		out = g.feedbackToAll(now, s)
	}
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

// saysNoMore reports whether a response ends earlier statements that it does not repeat: a
// server wrote it, as its answer to a request, and all of it was understood.
func saysNoMore(head ports.ResponseInfo) bool {
	return head.Invalid == "" && (head.Signed || head.NotExecuted)
}

// recordLimit records what a response says about the rate limit of its server. It reports
// whether the limit was named, changed or ended. The caller holds mu.
func (g *Gateway) recordLimit(now clock.Time, t target, head ports.ResponseInfo) bool {
	limit := head.RateLimit
	if !limit.Named && !saysNoMore(head) {
		return false
	}
	changed := g.servers.RecordLimit(t.id, t.incarnation, serverlimit.Statement{Limited: limit.Named, PerSecond: limit.PerSecond, At: now})
	if limit.Named || changed {
		g.feedbackHeardAt[t.id] = now
	}
	return changed
}

// recordBrittle records what a response says about the rejections that the servers of its
// group survive. It reports whether others should be told. The caller holds mu.
func (g *Gateway) recordBrittle(now clock.Time, t target, head ports.ResponseInfo) bool {
	s := g.servers.Get(t.id)
	if s == nil || !head.Brittle.Named && !saysNoMore(head) {
		return false
	}
	changed := g.servers.RecordBrittle(s.Group, brittle.Statement{Brittle: head.Brittle.Named, Survived: head.Brittle.Survived, At: now})
	if head.Brittle.Named || changed {
		g.feedbackHeardAt[t.id] = now
	}
	if changed {
		g.log.Info().Str("server", t.id).Str("group", s.Group).Bool("brittle", head.Brittle.Named).Int("survived", head.Brittle.Survived).
			Msg("feedback: servers say how many rejections they survive")
	}
	return changed
}

// recordLeaving records that a response says that its server leaves. It reports whether
// that is new. A server that said so is not believed to stay again before it restarts. The
// caller holds mu.
func (g *Gateway) recordLeaving(now clock.Time, t target, head ports.ResponseInfo) bool {
	if !head.Leaving {
		return false
	}
	g.feedbackHeardAt[t.id] = now
	if !g.servers.MarkLeaving(now, t.id, t.incarnation) {
		return false
	}
	g.wakeWaiting()
	g.triggerHousekeeping()
	return true
}

// recordRest records that a server rejected a request and wants no other for a time. It
// reports whether others should be told. The caller holds mu.
func (g *Gateway) recordRest(now clock.Time, t target, head ports.ResponseInfo) bool {
	if head.Rest <= 0 {
		return false
	}
	g.servers.RecordRest(now, t.id, head.Rest)
	return g.servers.RecordRestOfAny(now, t.id, head.Rest)
}

// feedbackLog holds what was last logged of each server's feedback.
type feedbackLog map[string]loggedFeedback

type loggedFeedback struct {
	incarnation int64
	feedback    ports.Feedback
	limitAt     clock.Time // last line about a limit
	restAt      clock.Time // last line about a rest
}

// minLimitLogInterval bounds the log lines about a limit that changes with each response.
const minLimitLogInterval = time.Second

// logFeedback logs changes of what a server says about itself. The caller holds mu.
func (g *Gateway) logFeedback(now clock.Time, t target, head ports.ResponseInfo) {
	server, said := t.id, head.Feedback
	last := g.feedbackLog[server]
	if last.incarnation != t.incarnation {
		last = loggedFeedback{incarnation: t.incarnation}
	}
	if said == last.feedback || said == (ports.Feedback{}) && !saysNoMore(head) {
		return
	}
	logged := last
	if said.Invalid != "" && said.Invalid != last.feedback.Invalid {
		logged.feedback.Invalid = said.Invalid
		g.log.Warn().Str("server", server).Str("value", said.Invalid).Msg("feedback: not understood")
	}
	if said.Leaving && !last.feedback.Leaving {
		logged.feedback.Leaving = true
		g.log.Info().Str("server", server).Msg("feedback: server says that it leaves")
	}
	if said.Rest > 0 && now.Sub(last.restAt) >= last.feedback.Rest {
		logged.feedback.Rest, logged.restAt = said.Rest, now
		g.log.Info().Str("server", server).Dur("rest", said.Rest).Msg("feedback: server asks for rest")
	}
	limit, before := said.RateLimit, last.feedback.RateLimit
	switch {
	case limit == before, limit.Named && before.Named && now.Sub(last.limitAt) < minLimitLogInterval:
	case limit.Named:
		logged.feedback.RateLimit, logged.limitAt = limit, now
		g.log.Info().Str("server", server).Float64("per_second", limit.PerSecond).Msg("feedback: server names a rate limit")
	case saysNoMore(head):
		logged.feedback.RateLimit, logged.limitAt = limit, now
		g.log.Info().Str("server", server).Float64("was_per_second", before.PerSecond).Msg("feedback: server names no rate limit any more")
	}
	g.feedbackLog[server] = logged
}
