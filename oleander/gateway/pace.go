package gateway

import (
	"math"
	"net/http"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/pace"
)

const (
	// minPaceInterval is the least time between two messages about paces.
	minPaceInterval = 500 * time.Millisecond
	// slowFactor is the pace factor from which a server counts as slow in the metrics.
	slowFactor = 1.5
)

// pacesMsg tells other instances the paces of servers. It and paceMsg are maps, so that
// later versions can add fields.
type pacesMsg struct {
	Servers []paceMsg `cbor:"1,keyasint"`
}

// paceMsg is the pace of a server.
type paceMsg struct {
	Server      string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	Thousandths int64  `cbor:"3,keyasint"` // factor
	Evidence    int64  `cbor:"4,keyasint"` // weight, in requests
}

// runTiming returns how long the server took for the last attempt, which was answered with
// a status. It is nil if load scheduling is off, or if the duration tells little of the
// server's pace: that of an error response, or of a completion that is no stream, which
// depends on its length. The caller holds mu.
func (x *exchange) runTiming(now clock.Time, status int) *dispatch.RunTiming {
	if !x.g.loadScheduling || status >= http.StatusMultipleChoices || len(x.timing.attempts) == 0 {
		return nil
	}
	a := x.timing.attempts[len(x.timing.attempts)-1]
	if x.call.Model != "" && a.firstEvent == 0 {
		return nil
	}
	return &dispatch.RunTiming{
		PromptTokens: max(0, x.call.PromptTokens-x.timing.choice.CachedTokens), FirstEvent: a.firstEvent, Run: now.Sub(a.sent), Work: x.timing.choice.Work,
		LongestPause: a.serverPause,
	}
}

// endPrefill records that the server has read the prompt of the current attempt, or that
// the attempt has ended.
func (x *exchange) endPrefill() {
	if x.prefill == (directory.Prefill{}) {
		return
	}
	x.g.mu.Lock()
	x.g.servers.EndPrefill(x.prefill)
	x.g.mu.Unlock()
	x.prefill = directory.Prefill{}
}

// paceMessages returns the messages that tell the other instances the paces that changed,
// if this instance dispatches. The caller holds mu.
func (g *Gateway) paceMessages(now clock.Time) []outgoing {
	if !g.loadScheduling || now.Sub(g.pacesToldAt) < minPaceInterval || g.members.Count() == 1 || g.dispatcherName(now) != g.settings.Name {
		return nil
	}
	g.pacesToldAt = now
	var m pacesMsg
	for _, t := range g.servers.PaceChanges(now) {
		m.Servers = append(m.Servers, paceMsg{
			Server: t.Server, Incarnation: t.Incarnation, Thousandths: int64(math.Round(1000 * t.Factor)), Evidence: int64(math.Round(t.Evidence)),
		})
	}
	if len(m.Servers) == 0 {
		return nil
	}
	return g.broadcast(now, g.encode(packet{Paces: &m}), g.members.All(now), false)
}

// handlePaces takes over the paces that the dispatcher told. A dispatcher has its own from
// the requests of all instances. The caller holds mu.
func (g *Gateway) handlePaces(now clock.Time, m *pacesMsg) {
	if !g.loadScheduling || g.dispatcherName(now) == g.settings.Name {
		return
	}
	for _, p := range m.Servers {
		g.servers.LearnPace(now, pace.Told{
			Server: p.Server, Incarnation: p.Incarnation, Factor: float64(p.Thousandths) / 1000, Evidence: float64(p.Evidence),
		})
	}
}

// slowServerCount returns the number of servers with a pace factor of at least slowFactor.
// The caller holds mu.
func (g *Gateway) slowServerCount(now clock.Time) int {
	n := 0
	for _, id := range g.servers.IDs() {
		if g.servers.PaceFactor(now, g.servers.Get(id)) >= slowFactor {
			n++
		}
	}
	return n
}
