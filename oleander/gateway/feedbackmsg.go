package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/serverlimit"
)

// feedbackMsg tells other instances what servers said about themselves. Unlike other
// messages it is a map, so that later versions can add fields.
type feedbackMsg struct {
	Servers []serverFeedbackMsg `cbor:"1,keyasint"`
}

// serverFeedbackMsg is the newest statement of a server.
type serverFeedbackMsg struct {
	Server      string  `cbor:"1,keyasint"`
	Incarnation int64   `cbor:"2,keyasint"`
	AgeMS       int64   `cbor:"3,keyasint"` // since the response
	Limited     bool    `cbor:"4,keyasint,omitempty"`
	PerSecond   float64 `cbor:"5,keyasint,omitempty"` // if Limited
}

const (
	// feedbackRepeatPeriod is how long a statement that an instance heard itself is
	// repeated with its heartbeats, for lost messages and new dispatchers: at least one
	// heartbeat of the largest fleet.
	feedbackRepeatPeriod = 2500 * time.Millisecond
	// maxRepeatedFeedback bounds one datagram to a few kilobytes.
	maxRepeatedFeedback = 50
)

// encodeServerFeedback returns what a server said last; nil if it said nothing.
func encodeServerFeedback(now clock.Time, s *directory.Server) *serverFeedbackMsg {
	said, ok := s.LimitStatement()
	if !ok {
		return nil
	}
	return &serverFeedbackMsg{
		Server: s.ID, Incarnation: s.Incarnation, AgeMS: now.Sub(said.At).Milliseconds(), Limited: said.Limited, PerSecond: said.PerSecond,
	}
}

// feedbackToAll returns the messages that tell all instances what a server said. The
// dispatcher gets its own, since only it sends requests to a server with a limit. The
// caller holds mu.
func (g *Gateway) feedbackToAll(now clock.Time, s *directory.Server) []outgoing {
	f := encodeServerFeedback(now, s)
	if f == nil {
		return nil
	}
	out := g.feedbackTo(now, g.dispatcherName(now), s)
	return append(out, g.broadcast(now, g.encode(packet{Feedback: &feedbackMsg{Servers: []serverFeedbackMsg{*f}}}), g.members.All(now), true)...)
}

// feedbackTo returns the message that tells one instance what a server said. The caller
// holds mu.
func (g *Gateway) feedbackTo(now clock.Time, name string, s *directory.Server) []outgoing {
	to, f := g.members.Get(name), encodeServerFeedback(now, s)
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
			if f := encodeServerFeedback(now, s); f != nil {
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

// limitStatement returns what the sender knew the server to have said; nil is nothing.
func (f *serverFeedbackMsg) limitStatement(now clock.Time) serverlimit.Statement {
	if f == nil {
		return serverlimit.Statement{}
	}
	return serverlimit.Statement{Limited: f.Limited, PerSecond: f.PerSecond, At: now.Add(-time.Duration(f.AgeMS) * time.Millisecond)}
}

// handleServerFeedback records what another instance heard of a server; nil is nothing.
// Every field is checked: an instance of another version may have sent it. The caller
// holds mu.
func (g *Gateway) handleServerFeedback(now clock.Time, f *serverFeedbackMsg) {
	if f == nil || f.AgeMS < 0 || f.Limited && !(f.PerSecond >= 0) {
		return
	}
	g.servers.RecordLimit(f.Server, f.Incarnation, f.limitStatement(now))
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
