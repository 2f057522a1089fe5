package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/spread"
	"oleanderdale.org/oleander/process/boottime"
)

// serveInterval is the time between two runs of serveQueues while requests are
// queued. Each run takes the dispatcher a few microseconds per model.
const serveInterval = 3 * time.Millisecond

// localDispatcher is the dispatcher of a pendingQuery that waits in this instance's own queues.
const localDispatcher = ""

// servedQueues are the queues of a dispatcher that this instance serves. The caller of the
// methods holds mu.
type servedQueues struct {
	*dispatch.Dispatcher
	scheduled bool // the next run of serveQueues is scheduled
}

// dispatcherName returns the instance that chooses servers for all: the holder of the
// fleet lease, which knows best which models are loaded, or else the strongest instance
// that is heard. The caller holds mu.
func (g *Gateway) dispatcherName(now clock.Time) string {
	if g.fleetLease.Holds(now) {
		return g.settings.Name
	}
	if g.fleetHolder.name != "" && g.fleetHolder.name != g.settings.Name && now.Sub(g.fleetHolder.heardAt) <= holderTimeout {
		return g.fleetHolder.name
	}
	strongest := spread.Strongest(now, g.members.All(now), 1)
	if len(strongest) == 0 || g.ranksBefore(strongest[0]) {
		return g.settings.Name
	}
	return strongest[0].Name
}

// dispatcherAnswers reports whether a dispatcher serves the requests of this instance: it is
// another one that did not leave queries unanswered, or this one that serves others too. The
// caller holds mu.
func (g *Gateway) dispatcherAnswers(now clock.Time) bool {
	name := g.dispatcherName(now)
	return !g.alone(name) && g.dispatchClient.Responsive(name)
}

// alone reports whether the dispatcher is this instance, and there is no other one to serve.
// The caller holds mu.
func (g *Gateway) alone(dispatcher string) bool {
	return dispatcher == g.settings.Name && g.members.Count() == 1
}

// handleDispatch handles a message to this instance as the dispatcher. The caller holds
// mu.
func (g *Gateway) handleDispatch(now clock.Time, m dispatch.Message) []outgoing {
	return g.handleQueued(now, &g.dispatcher, m)
}

// handleQueued handles a message to a dispatcher that this instance serves. The caller holds
// mu.
func (g *Gateway) handleQueued(now clock.Time, d *servedQueues, m dispatch.Message) []outgoing {
	var out []outgoing
	if reply, ok := d.HandleMessage(now, m); ok {
		out = g.replyMessages(now, d, reply)
	}
	g.scheduleServing(d)
	return out
}

// scheduleServing schedules a run of serveQueues if queries wait. The caller holds mu.
func (g *Gateway) scheduleServing(d *servedQueues) {
	if d.QueueLength() > 0 && !d.scheduled && g.ctx.Err() == nil {
		d.scheduled = true
		time.AfterFunc(serveInterval, func() { g.serveQueues(d) })
	}
}

// serveQueues grants the queued requests that can run now. Those in the instance's own queues
// go to the dispatcher as soon as one answers.
func (g *Gateway) serveQueues(d *servedQueues) {
	g.mu.Lock()
	var out []outgoing
	now := boottime.Now()
	if d == &g.ownQueues && g.dispatcherAnswers(now) {
		g.leaveOwnQueues(now)
	}
	for replies := d.ServeQueues(now); len(replies) > 0; replies = d.ServeQueues(now) {
		for _, r := range replies {
			out = append(out, g.replyMessages(now, d, r)...)
		}
	}
	d.scheduled = false
	g.scheduleServing(d)
	g.mu.Unlock()
	g.sendAll(out)
}

// leaveOwnQueues lets all requests that wait in the instance's own queues ask the dispatcher.
// The caller holds mu.
func (g *Gateway) leaveOwnQueues(now clock.Time) {
	for number, q := range g.pendingQueries {
		if q.dispatcher == localDispatcher {
			g.endQuery(number)
			q.replies <- dispatchReply{decision: dispatch.NoCandidate, moved: true}
			g.metrics.ownQueuesLeft.Inc()
		}
	}
	g.reportToOwnQueues(now, dispatch.Message{})
}

// reportToOwnQueues tells the instance's own queues which requests run and wait, also while a
// dispatcher answers: they learn from it how long requests hold slots. The caller holds mu.
func (g *Gateway) reportToOwnQueues(now clock.Time, m dispatch.Message) []outgoing {
	if !g.loadScheduling {
		return nil
	}
	m.From, m.Incarnation, m.Running = g.settings.Name, g.incarnation, g.servers.LocalLoadByModel()
	m.Sequence, m.OpenQueries = g.dispatchClient.NextSequence()
	return g.handleQueued(now, &g.ownQueues, m)
}

// updateOwnShare lets the own queues count on this instance's part of the servers: the other
// instances that are heard use the same ones. The caller holds mu.
func (g *Gateway) updateOwnShare(now clock.Time) {
	g.ownQueues.SetShare(1 / float64(1+g.members.CountLive(now)))
}

// replyMessages returns the messages for a reply of a dispatcher that this instance serves. A
// reply to this instance is handled at once. The caller holds mu.
func (g *Gateway) replyMessages(now clock.Time, d *servedQueues, r dispatch.Reply) []outgoing {
	g.metrics.pauseChoice(r.Choice.Pauses)
	if d == &g.ownQueues {
		g.handleChoice(now, localDispatcher, r)
		return nil
	}
	if r.To == g.settings.Name {
		if r.Incarnation == g.incarnation {
			g.handleChoice(now, g.settings.Name, r)
		}
		return nil
	}
	to := g.members.Get(r.To)
	if to == nil {
		return nil
	}
	reply := packet{Choice: g.encodeChoice(now, r), ChoiceDetail: g.encodeChoiceDetail(now, r)}
	if s := reply.Choice.Server; s != nil {
		reply.ChoiceSoftware = s.software
	}
	return []outgoing{{message: g.encode(reply), recipients: []recipient{g.recipient(to)}}}
}
