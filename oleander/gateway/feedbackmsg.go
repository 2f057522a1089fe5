package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/serverlimit"
)

// feedbackMsg tells other instances what servers said about themselves. Unlike other
// messages it is a map, so that later versions can add fields.
type feedbackMsg struct {
	Servers []serverFeedbackMsg `cbor:"1,keyasint"`
}

// serverFeedbackMsg is what an instance knows a server to have said.
type serverFeedbackMsg struct {
	Server      string    `cbor:"1,keyasint"`
	Incarnation int64     `cbor:"2,keyasint"`
	Limit       *limitMsg `cbor:"3,keyasint,omitempty"` // nil: the sender knows of no limit, now or before
	Leaving     bool      `cbor:"4,keyasint,omitempty"`
	RestMS      int64     `cbor:"5,keyasint,omitempty"` // remaining rest that it asked some instance for
	// Brittle is the newest statement of the servers of its group; nil if there is none.
	Brittle *brittleMsg `cbor:"6,keyasint,omitempty"`
}

// brittleMsg says how many rejections in a second the servers of a group survive.
type brittleMsg struct {
	Group    string `cbor:"1,keyasint"`
	AgeMS    int64  `cbor:"2,keyasint"` // since the response
	Survived int    `cbor:"3,keyasint,omitempty"`
}

// limitMsg is the newest statement of a server about its rate limit.
type limitMsg struct {
	AgeMS     int64   `cbor:"1,keyasint"` // since the response
	Limited   bool    `cbor:"2,keyasint,omitempty"`
	PerSecond float64 `cbor:"3,keyasint,omitempty"` // if Limited
}

// statement decodes a limitMsg; nil is no limit.
func (m *limitMsg) statement(now clock.Time) serverlimit.Statement {
	if m == nil {
		return serverlimit.Statement{}
	}
	return serverlimit.Statement{Limited: m.Limited, PerSecond: m.PerSecond, At: now.Add(-time.Duration(m.AgeMS) * time.Millisecond)}
}

// valid reports whether the fields are in their ranges: an instance of another version may
// have sent them.
func (m *limitMsg) valid() bool {
	return m.AgeMS >= 0 && m.AgeMS < maxFeedbackMS && (!m.Limited || m.PerSecond >= 0)
}

const (
	// feedbackRepeatPeriod is how long a statement that an instance heard itself is
	// repeated with its heartbeats, for lost messages and new dispatchers: at least one
	// heartbeat in a fleet of three hundred.
	feedbackRepeatPeriod = 2500 * time.Millisecond
	// maxFeedbackMS bounds the times in messages, in milliseconds: a day.
	maxFeedbackMS = 24 * 3600 * 1000
	// maxRepeatedFeedback bounds one datagram to a few kilobytes.
	maxRepeatedFeedback = 50
)

// encodeServerFeedback returns what a server said; nil if it said nothing. The caller holds mu.
func (g *Gateway) encodeServerFeedback(now clock.Time, s *directory.Server, said directory.Feedback) *serverFeedbackMsg {
	leaving := g.servers.SaidLeaving(s)
	if !leaving && said == (directory.Feedback{}) {
		return nil
	}
	f := &serverFeedbackMsg{Server: s.ID, Incarnation: s.Incarnation, Leaving: leaving, RestMS: said.Rest.Milliseconds()}
	if b := said.Brittle; b != nil {
		f.Brittle = &brittleMsg{Group: s.Group, AgeMS: now.Sub(b.At).Milliseconds(), Survived: b.Survived}
	}
	if l := said.Limit; l != nil {
		f.Limit = &limitMsg{AgeMS: now.Sub(l.At).Milliseconds(), Limited: l.Limited, PerSecond: l.PerSecond}
	}
	return f
}

// ownFeedback returns what a server said to this instance, for all others; nil if it said
// nothing. The caller holds mu.
func (g *Gateway) ownFeedback(now clock.Time, s *directory.Server) *serverFeedbackMsg {
	return g.encodeServerFeedback(now, s, g.servers.OwnFeedback(now, s))
}

// knownFeedback returns what a server said to any instance, for one that chose it or is to use
// it; nil if it said nothing. The caller holds mu.
func (g *Gateway) knownFeedback(now clock.Time, s *directory.Server) *serverFeedbackMsg {
	return g.encodeServerFeedback(now, s, g.servers.KnownFeedback(now, s))
}

// feedbackToAll returns the messages that tell all instances what a server said to this one.
// The dispatcher gets its own, since only it sends requests to a server with a limit. The
// caller holds mu.
func (g *Gateway) feedbackToAll(now clock.Time, s *directory.Server) []outgoing {
	f := g.ownFeedback(now, s)
	if f == nil {
		return nil
	}
	out := g.feedbackTo(g.dispatcherName(now), f)
	return append(out, g.broadcast(now, g.encode(packet{Feedback: &feedbackMsg{Servers: []serverFeedbackMsg{*f}}}), g.members.All(now), true)...)
}

// feedbackTo returns the message that tells one instance what a server said. The caller
// holds mu.
func (g *Gateway) feedbackTo(name string, f *serverFeedbackMsg) []outgoing {
	to := g.members.Get(name)
	if to == nil || f == nil {
		return nil
	}
	m := g.encode(packet{Feedback: &feedbackMsg{Servers: []serverFeedbackMsg{*f}}})
	return []outgoing{{message: m, recipients: []recipient{g.recipient(to)}}}
}

// repeatedFeedback returns the messages that repeat what servers said to this instance a
// short time ago. The caller holds mu.
func (g *Gateway) repeatedFeedback(now clock.Time, all []*members.Member) []outgoing {
	var m feedbackMsg
	for _, id := range sortedNames(g.feedbackHeardAt) {
		if now.Sub(g.feedbackHeardAt[id]) > feedbackRepeatPeriod {
			delete(g.feedbackHeardAt, id)
			continue
		}
		if s := g.servers.Get(id); s != nil && len(m.Servers) < maxRepeatedFeedback {
			if f := g.ownFeedback(now, s); f != nil {
				m.Servers = append(m.Servers, *f)
			}
		}
	}
	if len(m.Servers) == 0 {
		return nil
	}
	return g.broadcast(now, g.encode(packet{Feedback: &m}), all, false)
}

// handleFeedbackMsg handles what other instances heard of servers. The caller holds mu.
func (g *Gateway) handleFeedbackMsg(now clock.Time, m *feedbackMsg) {
	for i := range m.Servers {
		g.handleServerFeedback(now, &m.Servers[i])
	}
}

// handleServerFeedback records what another instance knows a server to have said; nil is
// nothing. The caller holds mu.
func (g *Gateway) handleServerFeedback(now clock.Time, f *serverFeedbackMsg) {
	if f == nil {
		return
	}
	if f.Limit != nil && f.Limit.valid() {
		g.servers.HearLimit(f.Server, f.Incarnation, f.Limit.statement(now))
	}
	if b := f.Brittle; b != nil && b.AgeMS >= 0 && b.AgeMS < maxFeedbackMS && b.Survived >= 0 {
		g.servers.HearBrittle(b.Group, brittle.Statement{Brittle: true, Survived: b.Survived, At: now.Add(-millis(b.AgeMS))})
	}
	if f.RestMS > 0 && f.RestMS < maxFeedbackMS {
		g.servers.RecordRestOfAny(now, f.Server, time.Duration(f.RestMS)*time.Millisecond)
	}
	if f.Leaving && g.servers.MarkLeaving(now, f.Server, f.Incarnation) {
		g.wakeWaiting()
	}
}

// informed reports whether a dispatcher that chose a server knew what this instance knows
// of it: a rate limit, or that it leaves. One that has just begun, lost the message, or runs
// an older version does not. known is what it sent with its choice. The caller holds mu.
func (g *Gateway) informed(now clock.Time, s *directory.Server, known *serverFeedbackMsg) bool {
	return !g.servers.SaidLeaving(s) && s.PacedBy(known.limit(now))
}

// limit returns what the sender knows of a server's rate limit; nil knows of none.
func (f *serverFeedbackMsg) limit(now clock.Time) serverlimit.Statement {
	if f == nil {
		return serverlimit.Statement{}
	}
	return f.Limit.statement(now)
}

// limitedServerCount returns the number of servers with a rate limit. The caller holds mu.
func (g *Gateway) limitedServerCount() int {
	n := 0
	for _, id := range g.servers.IDs() {
		if said, ok := g.servers.Get(id).LimitStatement(); ok && said.Limited {
			n++
		}
	}
	return n
}
