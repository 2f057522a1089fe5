package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// slotWaitFraction is the part of the remaining time to its objective that a
	// request waits for a free slot. The rest is for the first token.
	slotWaitFraction = 0.6
	// minSlotWait is the minimum wait for a free slot; one usually becomes free
	// within a few milliseconds.
	minSlotWait = 40 * time.Millisecond
)

// maxBufferedReplies bounds the unread replies to a dispatch request: notices that it
// is queued, and the final reply.
const maxBufferedReplies = 4

// pendingQuery is a dispatch request of this instance that has no final reply yet.
type pendingQuery struct {
	model, adapter string
	prompt         directory.Prompt
	pauseObjective time.Duration
	dispatcher     string             // or localDispatcher
	replies        chan dispatchReply // queued notices, then the final reply
}

// dispatchReply is a reply of the dispatcher to a pendingQuery.
type dispatchReply struct {
	decision dispatch.Decision
	target   target
	choice   directory.Choice
	// retryAfter is when a refused request can be served; 0 if unknown.
	retryAfter time.Duration
	noSlot     bool // retryAfter is when a slot is expected
	returned   reservation.Status
	moved      bool // with NoCandidate: the request must ask the dispatcher, which answers again
}

// beginQuery begins a dispatch request. With load scheduling, the request asks the instance's
// own queues if no dispatcher answers, except while only rate limits of servers delay it: only
// a dispatcher knows their use by the fleet. It returns nil if the request must choose a server
// by itself. The caller holds mu.
func (x *exchange) beginQuery(now clock.Time, c directory.Choice) (uint64, *pendingQuery) {
	g := x.g
	name := g.dispatcherName(now)
	if g.alone(name) || !g.dispatchClient.ShouldQuery(now, name) {
		if !g.loadScheduling || c.RateLimited {
			return 0, nil
		}
		name = localDispatcher
		if x.slotDue == 0 && x.route.LatencyObjective > 0 {
			x.slotDue = now.Add(x.slotWaitFor(now))
		}
		g.metrics.ownDecisions.Inc()
	}
	number := g.dispatchClient.BeginQuery()
	q := &pendingQuery{model: x.call.Model, adapter: x.call.Adapter, prompt: x.requirements(now).Prompt(), pauseObjective: x.route.PauseObjective, dispatcher: name, replies: make(chan dispatchReply, maxBufferedReplies)}
	g.pendingQueries[number] = q
	return number, q
}

// queryMessages returns the messages that ask the dispatcher for a server. The
// caller holds mu.
func (x *exchange) queryMessages(now clock.Time, number uint64, q *pendingQuery) []outgoing {
	return x.g.dispatcherMessages(now, q.dispatcher, dispatch.Message{Query: x.newQuery(now, number)})
}

// newQuery describes the request to a dispatcher. The caller holds mu.
func (x *exchange) newQuery(now clock.Time, number uint64) *dispatch.Query {
	query := &dispatch.Query{Number: number, Requirements: x.requirements(now), Priority: x.priority(), MaxWait: x.maxSlotWait(now)}
	if x.g.loadScheduling {
		query.Detail = x.queryDetail(now)
	}
	if x.slotDue != 0 { // a query keeps its due time when it goes to another dispatcher
		left := max(minSlotWait, x.slotDue.Sub(now))
		if query.MaxWait > 0 {
			query.MaxWait = left
		} else {
			query.Turn = left
		}
	}
	return query
}

// queryDetail describes the request for load scheduling.
func (x *exchange) queryDetail(now clock.Time) *dispatch.QueryDetail {
	return &dispatch.QueryDetail{
		Account: x.accountName(), Due: x.arrived.Add(x.route.LatencyObjective).Sub(now),
		PromptTokens: x.call.PromptTokens, TotalTokens: x.call.TotalTokens, Digest: x.returnDigest,
	}
}

// maxSlotWait returns how long the request can wait for a free slot and still meet
// its objective; 0 means as long as its caller waits.
func (x *exchange) maxSlotWait(now clock.Time) time.Duration {
	if x.sends > 0 || x.route.LatencyObjective == 0 {
		return 0 // after a failed attempt, a late answer is better than none
	}
	return x.slotWaitFor(now)
}

// slotWaitFor returns the part of the time to the objective for which a request waits for a
// slot.
func (x *exchange) slotWaitFor(now clock.Time) time.Duration {
	remaining := x.arrived.Add(x.route.LatencyObjective).Sub(now)
	return max(minSlotWait, time.Duration(slotWaitFraction*float64(remaining)))
}

// dispatcherMessages returns the messages that send m to the dispatcher, together
// with the running requests of this instance. The caller holds mu.
func (g *Gateway) dispatcherMessages(now clock.Time, name string, m dispatch.Message) []outgoing {
	if name == localDispatcher {
		return g.reportToOwnQueues(now, m)
	}
	m.From, m.Incarnation, m.Running = g.settings.Name, g.incarnation, g.servers.LocalLoadByModel()
	m.Sequence, m.OpenQueries = g.dispatchClient.NextSequence()
	if name == g.settings.Name {
		return g.handleDispatch(now, m)
	}
	to := g.members.Get(name)
	if to == nil {
		return nil
	}
	p := packet{Dispatch: g.encodeDispatch(m), DispatchDetail: newDispatchDetail(m)}
	if m.Query != nil {
		p.QueryOrigin = softwareRequired(m.Query.Requirements.Origin)
	}
	return []outgoing{{message: g.encode(p), recipients: []recipient{g.recipient(to)}}}
}

// handleChoice handles a reply of the dispatcher. A granted request is counted at
// once, so that the next message to the dispatcher includes it. The caller holds mu.
func (g *Gateway) handleChoice(now clock.Time, from string, r dispatch.Reply) {
	g.dispatchClient.MarkResponsive(from)
	number, v, c := r.Number, r.Decision, r.Choice
	q := g.pendingQueries[number]
	if q == nil {
		return // abandoned, as the next message tells the dispatcher
	}
	if v == dispatch.Granted && c.Server.Resting(now) {
		v = dispatch.NoCandidate // it began to rest after the query
	}
	if v == dispatch.Granted && c.PaceFactor == 0 && g.loadScheduling {
		// The dispatcher repeats a grant, or runs a version or a configuration without
		// load scheduling.
		c.PaceFactor, c.Work = g.servers.PaceFactor(now, c.Server), c.Server.Work(now)
	}
	reply := dispatchReply{decision: v, choice: c, retryAfter: r.RetryAfter, noSlot: r.NoSlot, returned: r.Returned}
	if v == dispatch.Granted {
		reply.target = newTarget(c.Server)
		g.servers.RequestStarted(now, c.Server.ID, q.model)
		reply.target.prefill = g.servers.StartPrefill(now, c.Server.ID, g.servers.SendPrompt(c.Server.ID, q.prompt), q.pauseObjective)
		g.placer.RecordAdapterUse(now, c.Server.ID, q.model, q.adapter)
	}
	if v != dispatch.Queued {
		g.endQuery(number)
	}
	if v == dispatch.Granted {
		g.reportToOwnQueues(now, dispatch.Message{})
	}
	if v != dispatch.Queued || len(q.replies) < maxBufferedReplies-1 {
		q.replies <- reply
	}
}

// endQuery removes a dispatch request. The caller holds mu.
func (g *Gateway) endQuery(number uint64) {
	g.dispatchClient.EndQuery(number)
	delete(g.pendingQueries, number)
}

// loadMessages reports the running requests to the dispatcher. The caller holds mu.
func (g *Gateway) loadMessages(now clock.Time) []outgoing {
	return g.reportToDispatcher(now, dispatch.Message{})
}

// endedMessages reports to the dispatcher how a request ended at a server; timing is nil if
// it is not known. The caller holds mu.
func (g *Gateway) endedMessages(now clock.Time, server string, o directory.Outcome, timing *dispatch.RunTiming) []outgoing {
	e := g.newEndedRequest(server, o)
	if e != nil {
		e.Timing = timing
	}
	return g.reportToDispatcher(now, dispatch.Message{Ended: e})
}

// unreachableMessages reports to the dispatcher that connecting to a server failed.
// The caller holds mu.
func (g *Gateway) unreachableMessages(now clock.Time, server string) []outgoing {
	e := g.newEndedRequest(server, directory.Neutral)
	if e != nil {
		e.Unreachable = true
	}
	return g.reportToDispatcher(now, dispatch.Message{Ended: e})
}

// notRunMessages reports that a server was full and turned a request away. The caller
// holds mu.
func (g *Gateway) notRunMessages(now clock.Time, server string) []outgoing {
	return g.reportToDispatcher(now, dispatch.Message{NotRun: server})
}

func (g *Gateway) newEndedRequest(server string, o directory.Outcome) *dispatch.EndedRequest {
	s := g.servers.Get(server)
	if s == nil {
		return nil
	}
	return &dispatch.EndedRequest{Server: server, Incarnation: s.Incarnation, Outcome: o}
}

func (g *Gateway) reportToDispatcher(now clock.Time, m dispatch.Message) []outgoing {
	g.reportToOwnQueues(now, dispatch.Message{NotRun: m.NotRun, Ended: m.Ended})
	name := g.dispatcherName(now)
	if name == g.settings.Name {
		return nil // the local directory has the same counts
	}
	return g.dispatcherMessages(now, name, m)
}

// awaitDispatcher waits for the dispatcher's reply. The target is empty if the
// dispatcher is silent or replaced, or finds no server; the request then selects
// again.
func (x *exchange) awaitDispatcher(s selection, window outlook.WaitWindow) (target, *refusal) {
	wait := dispatchWait{exchange: x, selection: s, window: window, startedAt: boottime.Now()}
	defer wait.recordWait()
	for {
		t := time.NewTimer(wait.timeout())
		select {
		case reply := <-s.query.replies:
			t.Stop()
			if reply.moved {
				return target{}, nil
			}
			x.recordReturn(&x.timing.slotReturned, returnAtServers, reply.returned)
			switch reply.decision {
			case dispatch.Granted:
				x.recordChoice(reply.choice)
				return reply.target, nil
			case dispatch.NoCandidate:
				x.chooseLocally = true
				return target{}, nil
			case dispatch.Refused:
				return target{}, reply.refusal()
			}
			wait.queued, wait.unansweredQueries = true, 0
		case <-t.C:
			if waiting, ref := wait.onTimeout(); !waiting {
				return target{}, ref
			}
		case <-x.r.Context().Done():
			x.abandonQuery(s, false)
			return target{}, x.contextRefusal()
		case <-x.stopSignal():
			x.abandonQuery(s, false)
			return target{}, unavailable(reasonStopping, retryDelay)
		}
	}
}

// refusal returns the answer to a request that the dispatcher refused.
func (r dispatchReply) refusal() *refusal {
	switch {
	case r.retryAfter > 0 && r.noSlot:
		return unavailable(reasonNoFreeSlot, r.retryAfter)
	case r.retryAfter > 0:
		return unavailable(reasonServersLimited, r.retryAfter)
	}
	return unavailable(reasonNoFreeSlot, loadRetryDelay)
}

// dispatchWait is the wait for the dispatcher's final reply to one dispatch request.
type dispatchWait struct {
	exchange          *exchange
	selection         selection
	window            outlook.WaitWindow
	startedAt         clock.Time
	queued            bool // the dispatcher has confirmed the request
	unansweredQueries int  // repetitions without a reply
}

// timeout returns how long to wait for the next reply.
func (w *dispatchWait) timeout() time.Duration {
	if !w.queued {
		return dispatch.ReplyTimeout
	}
	return min(dispatch.QueuedRetryInterval, max(0, boottime.Until(w.window.End)))
}

// onTimeout repeats the dispatch request after a timeout. It returns false if the
// wait is over.
func (w *dispatchWait) onTimeout() (bool, *refusal) {
	x, s := w.exchange, w.selection
	switch {
	case boottime.Now().Reached(w.window.End):
		x.abandonQuery(s, false)
		return false, unavailable(reasonNoFreeSlot, retryDelay)
	case w.unansweredQueries >= dispatch.MaxRetries:
		x.abandonQuery(s, true)
		return false, nil
	case !x.repeatQuery(s):
		x.abandonQuery(s, false)
		return false, nil
	}
	w.unansweredQueries++
	return true, nil
}

// recordWait adds a wait in the dispatcher's queue to the request's timing.
func (w *dispatchWait) recordWait() {
	if w.queued {
		w.exchange.timing.addWait(boottime.Now().Sub(w.startedAt), true)
	}
}

// repeatQuery repeats a dispatch request. It returns false if the dispatcher was
// replaced, or if the own queues are no longer in use.
func (x *exchange) repeatQuery(s selection) bool {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	same := g.dispatcherName(now) == s.query.dispatcher
	if s.query.dispatcher == localDispatcher {
		same = g.loadScheduling
	}
	var out []outgoing
	if same && g.pendingQueries[s.number] != nil {
		out = x.queryMessages(now, s.number, s.query)
	}
	g.mu.Unlock()
	g.sendAll(out)
	return same
}

// abandonQuery gives up a dispatch request. If it was granted at the same moment,
// the grant is undone.
func (x *exchange) abandonQuery(s selection, silent bool) {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	if silent {
		g.dispatchClient.MarkUnresponsive(now, s.query.dispatcher)
		g.metrics.dispatcherTimeouts.Inc()
		x.chooseLocally = !g.loadScheduling // otherwise in the instance's own queues
	}
	g.endQuery(s.number)
	for len(s.query.replies) > 0 {
		if reply := <-s.query.replies; reply.decision == dispatch.Granted {
			g.servers.RequestEnded(now, reply.target.id, x.call.Model, directory.Neutral)
			g.servers.EndPrefill(reply.target.prefill)
		}
	}
	out := g.loadMessages(now)
	g.mu.Unlock()
	g.sendAll(out)
}
