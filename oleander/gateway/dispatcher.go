package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/spread"
	"oleanderdale.org/oleander/process/boottime"
)

// serveEvery is the time between two looks of the dispatcher at what waits, while
// something waits: each costs it some microseconds a model.
const serveEvery = 3 * time.Millisecond

// dispatcher returns the instance that chooses servers for all: the holder of the
// lease, who knows best what each server holds; without one the strongest that is
// heard. The caller holds mu.
func (g *Gateway) dispatcher(now clock.Time) string {
	if g.lease.Holds(now) {
		return g.set.Name
	}
	if g.holder.name != "" && g.holder.name != g.set.Name && now.Sub(g.holder.heard) <= leaseSilence {
		return g.holder.name
	}
	strongest := spread.Strongest(now, g.members.All(now), 1)
	if len(strongest) == 0 || g.strongerThan(strongest[0]) {
		return g.set.Name
	}
	return strongest[0].Name
}

// takeDispatch takes what an instance tells the dispatcher. The caller holds mu.
func (g *Gateway) takeDispatch(now clock.Time, m dispatch.Message) []outgoing {
	var out []outgoing
	if reply, ok := g.dispatch.HandleMessage(now, m); ok {
		out = g.sendReply(now, reply)
	}
	if g.dispatch.QueueLength() > 0 && !g.serving {
		g.serving = true
		time.AfterFunc(serveEvery, g.serveQueues)
	}
	return out
}

// serveQueues lets go what waits at the dispatcher and can run now.
func (g *Gateway) serveQueues() {
	g.mu.Lock()
	var out []outgoing
	now := boottime.Now()
	for replies := g.dispatch.ServeQueues(now); len(replies) > 0; replies = g.dispatch.ServeQueues(now) {
		for _, r := range replies {
			out = append(out, g.sendReply(now, r)...)
		}
	}
	g.serving = g.dispatch.QueueLength() > 0 && g.ctx.Err() == nil
	if g.serving {
		time.AfterFunc(serveEvery, g.serveQueues)
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// sendReply returns the message with a reply, or takes it if it is for this
// instance. The caller holds mu.
func (g *Gateway) sendReply(now clock.Time, r dispatch.Reply) []outgoing {
	if r.To == g.set.Name {
		if r.Incarnation == g.incarnation {
			g.takeChoice(now, g.set.Name, r.Number, r.Decision, r.Choice)
		}
		return nil
	}
	to := g.members.Get(r.To)
	if to == nil {
		return nil
	}
	return []outgoing{{message: g.encode(packet{Choice: g.choiceOf(now, r)}), to: []recipient{g.recipient(to)}}}
}
