// Package intake decides which new connections of callers an instance takes. A connection that is
// closed with its request unread costs little, and its caller turns to another instance at once;
// a request that was read by an instance that can do no more waits there until it fails.
//
// What an instance bears is told from its own lag and link, not from what servers and other
// instances bear: those refuse by themselves what they have no room for.
package intake

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// maxLag is the lag from which an instance takes no new connections. The stages of a request
	// wait for the processor one after the other, each that long.
	maxLag = 40 * time.Millisecond
	// linkShare is the part of the link for requests and responses; retransmissions and
	// packets that are not counted need the rest.
	linkShare = 0.85
	// maxLinkBacklog is how long the link may take for what is under way.
	maxLinkBacklog = 150 * time.Millisecond
	// minTakeInterval is the longest time without a new connection, so that the balancer never
	// finds an instance that is ready and takes none.
	minTakeInterval = 200 * time.Millisecond
	// askToCloseShare is the part of the connections allowed from which callers are asked to close
	// theirs.
	askToCloseShare = 0.75
	// askToCloseTime is how long after connections were closed unread callers are asked to
	// close theirs, which would come back to this instance for ever.
	askToCloseTime = time.Second
)

// Settings describe the machine; a zero means that there is no bound.
type Settings struct {
	RefuseWhenLate     bool    // the lag is this instance's own, so that another one may be better
	LinkBytesPerSecond float64 // in each direction
	MaxConnections     int     // of callers
}

// State is what an instance knows of itself and of the others.
type State struct {
	Lag         time.Duration
	Connections int
	// OthersLate says that most other instances are late, too, so that callers would find no
	// better one.
	OthersLate bool
}

// Verdict says whether a new connection is taken, and why not.
type Verdict string

// Verdicts.
const (
	Take               Verdict = "take"
	TooLate            Verdict = "late"
	LinkFull           Verdict = "link-full"
	TooManyConnections Verdict = "too-many-connections"
	NoMemory           Verdict = "memory" // for one more connection, as its taker found
)

// Gate decides for one instance. It is not safe for concurrent use.
type Gate struct {
	settings  Settings
	backlog   float64 // bytes that the link has not carried yet
	drainedAt clock.Time
	tookAt    clock.Time // last connection taken
	closedAt  clock.Time // last connection closed unread; 0: none
}

// New returns a Gate.
func New(s Settings) *Gate { return &Gate{settings: s} }

// Carried records bytes that pass the link in both directions, such as a request that comes from a
// caller and goes on to a server.
func (g *Gate) Carried(now clock.Time, bytes int) {
	if g.settings.LinkBytesPerSecond > 0 {
		g.drain(now)
		g.backlog += float64(bytes)
	}
}

func (g *Gate) drain(now clock.Time) {
	if now > g.drainedAt {
		g.backlog = max(0, g.backlog-linkShare*g.settings.LinkBytesPerSecond*now.Sub(g.drainedAt).Seconds())
		g.drainedAt = now
	}
}

// Decide decides on a new connection.
func (g *Gate) Decide(now clock.Time, s State) Verdict {
	v := g.verdict(now, s)
	if v == Take {
		g.tookAt = now
	} else {
		g.closedAt = now
	}
	return v
}

func (g *Gate) verdict(now clock.Time, s State) Verdict {
	switch {
	case g.settings.MaxConnections > 0 && s.Connections >= g.settings.MaxConnections:
		return TooManyConnections
	case s.OthersLate || now.Sub(g.tookAt) >= minTakeInterval:
		return Take
	case g.late(s):
		return TooLate
	case g.linkFull(now):
		return LinkFull
	}
	return Take
}

func (g *Gate) linkFull(now clock.Time) bool {
	if g.settings.LinkBytesPerSecond == 0 {
		return false
	}
	g.drain(now)
	return g.backlog > linkShare*g.settings.LinkBytesPerSecond*maxLinkBacklog.Seconds()
}

// Late reports whether the instance does not keep up, which others should know.
func (g *Gate) Late(now clock.Time, s State) bool { return g.late(s) || g.linkFull(now) }

func (g *Gate) late(s State) bool { return g.settings.RefuseWhenLate && s.Lag >= maxLag }

// AskToClose reports whether callers should be asked to close their connections after the response.
func (g *Gate) AskToClose(now clock.Time, connections int) bool {
	if limit := g.settings.MaxConnections; limit > 0 && float64(connections) >= askToCloseShare*float64(limit) {
		return true
	}
	return g.closedAt != 0 && now.Sub(g.closedAt) < askToCloseTime
}
