package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/intake"
	"oleanderdale.org/core/gateway/lag"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// lagPeriod is how long the lag of an instance counts for its intake.
	lagPeriod = 100 * time.Millisecond
	// othersInterval is how often the other instances are counted that are late.
	othersInterval = 250 * time.Millisecond
	// intakeLogInterval is the time between two log lines about connections closed unread.
	intakeLogInterval = time.Second
	// packetOverhead and requestOverhead are bytes on the link beside those of a message, and
	// beside those of a request: handshakes, acknowledgments, and messages to other instances.
	packetOverhead  = 66
	requestOverhead = 700
	// maxBodyCharge is how much of a body counts at once. The rest of a large one shares the link with
	// other requests.
	maxBodyCharge = 64 << 10
)

// callerIntake decides which new connections of callers are taken. Its mutex may be locked while
// Gateway.mu is held, but not the reverse.
type callerIntake struct {
	mu         sync.Mutex
	gate       *intake.Gate
	othersLate bool
	countedAt  clock.Time // when othersLate was determined
	closed     map[intake.Verdict]int
	loggedAt   clock.Time
	ownLag     time.Duration // as of the last tick
	lastTick   clock.Time
}

func newCallerIntake(s Settings) callerIntake {
	return callerIntake{
		gate:   intake.New(intake.Settings{RefuseWhenLate: s.RefuseWhenLate, LinkBytesPerSecond: s.LinkBytesPerSecond, MaxConnections: s.MaxCallerConnections}),
		closed: make(map[intake.Verdict]int),
	}
}

// admit decides on a new connection of a caller. One that stops short makes way for it.
func (g *Gateway) admit(c net.Conn) (net.Conn, bool) {
	if g.memory != nil {
		g.memory.MakeRoomForConnection()
	}
	if !g.takesConnection() {
		return c, false
	}
	if g.memory == nil {
		return c, true
	}
	c, ok := g.memory.Admit(c)
	if !ok {
		g.refusedConnection(intake.NoMemory)
	}
	return c, ok
}

// openConnections returns the number of connections of callers.
func (g *Gateway) openConnections() int {
	if g.memory != nil {
		return g.memory.Connections()
	}
	return int(g.callerConns.Load())
}

// takesConnection decides on a new connection of a caller.
func (g *Gateway) takesConnection() bool {
	now := boottime.Now()
	in := &g.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	v := in.gate.Decide(now, g.intakeState(now))
	if v == intake.Take {
		return true
	}
	g.countClosed(now, v)
	return false
}

// refusedConnection counts a connection that the gate would have taken.
func (g *Gateway) refusedConnection(v intake.Verdict) {
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	g.countClosed(boottime.Now(), v)
}

// countClosed counts a connection closed unread, and logs. The caller holds intake.mu.
func (g *Gateway) countClosed(now clock.Time, v intake.Verdict) {
	in := &g.intake
	g.metrics.closedUnread(v)
	in.closed[v]++
	if now.Sub(in.loggedAt) >= intakeLogInterval {
		e := g.log.Warn().Int64("lag_ms", in.ownLag.Milliseconds()).Int("caller_connections", g.openConnections()).Int64("active", g.activeRequests.Load())
		for why, n := range in.closed {
			e = e.Int(string(why), n)
		}
		e.Msg("intake: connections closed unread")
		in.loggedAt = now
		clear(in.closed)
	}
}

// intakeState returns what the gate decides by. The caller holds intake.mu.
func (g *Gateway) intakeState(now clock.Time) intake.State {
	overdue := time.Duration(0)
	if g.intake.lastTick != 0 {
		overdue = now.Sub(g.intake.lastTick.Add(lag.Interval))
	}
	return intake.State{Lag: max(g.intake.ownLag, overdue), Connections: g.openConnections(), OthersLate: g.intake.othersLate}
}

// updateIntake tells the intake how late this instance and the others are. The caller holds mu.
func (g *Gateway) updateIntake(now clock.Time) {
	late := g.lag.Processor(now, now.Add(-lagPeriod))
	in := &g.intake
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ownLag, in.lastTick = late, now
	if now.Sub(in.countedAt) >= othersInterval {
		in.othersLate, in.countedAt = g.othersLate(now), now
	}
}

// othersLate reports whether at least half of the other instances are late. The caller holds mu.
func (g *Gateway) othersLate(now clock.Time) bool {
	live, late := 0, 0
	for _, m := range g.members.All(now) {
		if m.Name == g.settings.Name || !m.Live(now) || m.Leaving {
			continue
		}
		live++
		if peer := g.peerStates[m.Name]; peer != nil && peer.late {
			late++
		}
	}
	return 2*late >= live
}

// late reports whether this instance does not keep up with what it receives.
func (g *Gateway) late(now clock.Time) bool {
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	return g.intake.gate.Late(now, g.intakeState(now))
}

// asksToClose reports whether callers are asked to close their connections.
func (g *Gateway) asksToClose() bool {
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	return g.intake.gate.AskToClose(boottime.Now(), g.openConnections())
}

// carried records bytes on the machine's link, in both directions.
func (g *Gateway) carried(bytes int) {
	if g.settings.LinkBytesPerSecond == 0 {
		return
	}
	now := boottime.Now()
	g.intake.mu.Lock()
	defer g.intake.mu.Unlock()
	g.intake.gate.Carried(now, bytes)
}

// carriedRequest records a request, which goes on to a server.
func (g *Gateway) carriedRequest(r *http.Request) {
	if g.settings.LinkBytesPerSecond == 0 {
		return
	}
	size := requestOverhead + len(r.Method) + len(r.RequestURI) + len(r.Host) + int(min(max(0, r.ContentLength), maxBodyCharge))
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	g.carried(size)
}

// countPeerBytes counts a message to another instance.
func (g *Gateway) countPeerBytes(kind string, bytes int, otherZone bool) {
	g.metrics.peerBytes(kind, bytes, otherZone)
	g.carried(bytes + packetOverhead)
}

// countedWriter records what callers get.
type countedWriter struct {
	http.ResponseWriter
	g *Gateway
}

// Write implements io.Writer.
func (w countedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.g.carried(n + packetOverhead)
	return n, err
}

// Unwrap returns the writer that http.ResponseController acts on.
func (w countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
