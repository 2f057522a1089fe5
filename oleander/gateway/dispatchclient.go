package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// roomPart of what is left of its objective is what a request waits for room;
	// the rest is for its first token.
	slotWaitFraction = 0.6
	// leastRoomWait is what it waits in any case: a slot is free some milliseconds
	// later as a rule.
	minSlotWait = 40 * time.Millisecond
)

// answersKept bounds the replies that wait to be read: words that the request is
// queued, and one that ends the ask.
const maxBufferedReplies = 4

// asked is a request of this instance that asked the dispatcher.
type pendingAsk struct {
	model, adapter string
	dispatcher     string
	replies        chan dispatchReply // queued, and then what was decided
}

// dispatched is what became of an ask.
type dispatchReply struct {
	verdict dispatch.Verdict
	target  target
	choice  directory.Choice
}

// dispatchTo asks the dispatcher for a server, and returns nil if nobody is to be
// asked now. The caller holds mu.
func (x *exchange) beginAsk(now clock.Time) (uint64, *pendingAsk) {
	g := x.g
	name := g.dispatcherName(now)
	if name == g.settings.Name && g.members.Count() == 1 || !g.dispatchClient.MayAsk(now, name) {
		return 0, nil
	}
	number := g.dispatchClient.Begin()
	a := &pendingAsk{model: x.call.Model, adapter: x.call.Adapter, dispatcher: name, replies: make(chan dispatchReply, maxBufferedReplies)}
	g.pendingAsks[number] = a
	return number, a
}

// askServer tells the dispatcher what the request needs. It returns the messages to
// send. The caller holds mu.
func (x *exchange) askMessages(now clock.Time, number uint64, a *pendingAsk) []outgoing {
	ask := &dispatch.Ask{Number: number, Need: x.need(), Priority: x.priority(), Within: x.maxSlotWait(now)}
	return x.g.dispatcherMessages(now, a.dispatcher, dispatch.Message{Ask: ask})
}

// roomWithin is how long the request can wait for room and still be on time; 0: for
// as long as its caller waits.
func (x *exchange) maxSlotWait(now clock.Time) time.Duration {
	if x.sends > 0 || x.route.Objective == 0 {
		return 0 // after a server broke off, late is better than not at all
	}
	left := x.arrived.Add(x.route.Objective).Sub(now)
	return max(minSlotWait, time.Duration(slotWaitFraction*float64(left)))
}

// tellDispatcher tells the dispatcher what this instance has under way, with an ask
// or an end that m has. The caller holds mu.
func (g *Gateway) dispatcherMessages(now clock.Time, name string, m dispatch.Message) []outgoing {
	m.From, m.Incarnation, m.Running = g.settings.Name, g.incarnation, g.servers.OwnRunning()
	m.Sequence, m.Open = g.dispatchClient.Stamp()
	if name == g.settings.Name {
		return g.handleDispatch(now, m)
	}
	to := g.members.Get(name)
	if to == nil {
		return nil
	}
	return []outgoing{{message: g.encode(packet{Dispatch: g.encodeDispatch(m)}), recipients: []recipient{g.recipient(to)}}}
}

// takeChoice takes a reply of the dispatcher. A request that was let go is counted
// in the same moment, so that the next message to the dispatcher has it. The caller
// holds mu.
func (g *Gateway) handleChoice(now clock.Time, from string, number uint64, v dispatch.Verdict, c directory.Choice) {
	g.dispatchClient.Answered(from)
	a := g.pendingAsks[number]
	if a == nil {
		return // it was given up, and the next message says so
	}
	d := dispatchReply{verdict: v, choice: c}
	if v == dispatch.Granted {
		d.target = target{id: c.Server.ID, address: c.Server.Address}
		g.servers.Started(now, c.Server.ID, a.model)
		g.placer.AdapterUsed(now, c.Server.ID, a.model, a.adapter)
	}
	if v != dispatch.Queued {
		g.endAsk(number)
	}
	if v != dispatch.Queued || len(a.replies) < maxBufferedReplies-1 {
		a.replies <- d
	}
}

// endAsk closes an ask. The caller holds mu.
func (g *Gateway) endAsk(number uint64) {
	g.dispatchClient.End(number)
	delete(g.pendingAsks, number)
}

// tellLoad tells the dispatcher that what this instance has under way changed
// without a question. The caller holds mu.
func (g *Gateway) loadMessages(now clock.Time) []outgoing {
	return g.reportToDispatcher(now, dispatch.Message{})
}

// tellEnd tells it how a request ended at a server. The caller holds mu.
func (g *Gateway) endMessages(now clock.Time, server string, o directory.Outcome) []outgoing {
	return g.reportToDispatcher(now, dispatch.Message{Ended: g.endOf(server, o)})
}

// tellUnreachable tells it that a server could not be connected to. The caller
// holds mu.
func (g *Gateway) unreachableMessages(now clock.Time, server string) []outgoing {
	e := g.endOf(server, directory.Neutral)
	if e != nil {
		e.Unreachable = true
	}
	return g.reportToDispatcher(now, dispatch.Message{Ended: e})
}

func (g *Gateway) endOf(server string, o directory.Outcome) *dispatch.End {
	s := g.servers.Get(server)
	if s == nil {
		return nil
	}
	return &dispatch.End{Server: server, Born: s.Born, Outcome: o}
}

func (g *Gateway) reportToDispatcher(now clock.Time, m dispatch.Message) []outgoing {
	name := g.dispatcherName(now)
	if name == g.settings.Name {
		return nil // it counts its own itself
	}
	return g.dispatcherMessages(now, name, m)
}

// await waits for what the dispatcher says. If it says nothing, or is replaced
// meanwhile, the target is empty, and the request looks again.
func (x *exchange) awaitDispatcher(v selection, p outlook.Patience) (target, *refusal) {
	w := dispatchWait{exchange: x, selection: v, patience: p, startedAt: boottime.Now()}
	defer w.recordWait()
	for {
		t := time.NewTimer(w.timeout())
		select {
		case d := <-v.ask.replies:
			t.Stop()
			switch d.verdict {
			case dispatch.Granted:
				x.timing.choice = d.choice
				return d.target, nil
			case dispatch.Missing:
				x.chooseLocally = true
				return target{}, nil
			case dispatch.Refused:
				return target{}, unavailable(reasonNoRoom, loadRetryDelay)
			}
			w.queued, w.unansweredAsks = true, 0
		case <-t.C:
			if goesOn, ref := w.onTimeout(); !goesOn {
				return target{}, ref
			}
		case <-x.r.Context().Done():
			x.abandonAsk(v, false)
			return target{}, unavailable(reasonCallerGone, 0)
		case <-x.g.refuseQueued:
			x.abandonAsk(v, false)
			return target{}, unavailable(reasonStopping, retryDelay)
		}
	}
}

// dispatchWait is the wait for the dispatcher's answer to one ask.
type dispatchWait struct {
	exchange       *exchange
	selection      selection
	patience       outlook.Patience
	startedAt      clock.Time
	queued         bool // the dispatcher has it
	unansweredAsks int  // again, without an answer
}

// next is how long to wait for a word of the dispatcher.
func (w *dispatchWait) timeout() time.Duration {
	if !w.queued {
		return dispatch.AnswerWithin
	}
	return min(dispatch.AskAgain, max(0, boottime.Until(w.patience.Leaves)))
}

// again goes on after a silence. It returns false if the wait is over.
func (w *dispatchWait) onTimeout() (bool, *refusal) {
	x, v := w.exchange, w.selection
	switch {
	case boottime.Now().Reached(w.patience.Leaves):
		x.abandonAsk(v, false)
		return false, unavailable(reasonNoRoom, retryDelay)
	case w.unansweredAsks >= dispatch.AsksMost:
		x.abandonAsk(v, true)
		x.chooseLocally = true
		return false, nil
	case !x.repeatAsk(v):
		x.abandonAsk(v, false)
		return false, nil
	}
	w.unansweredAsks++
	return true, nil
}

// account adds the wait to where the request's time went.
func (w *dispatchWait) recordWait() {
	if w.queued {
		w.exchange.timing.addWait(boottime.Now().Sub(w.startedAt), true)
	}
}

// askAgain repeats an ask. It returns false if another instance is the dispatcher
// now.
func (x *exchange) repeatAsk(v selection) bool {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	same := g.dispatcherName(now) == v.ask.dispatcher
	var out []outgoing
	if same && g.pendingAsks[v.number] != nil {
		out = x.askMessages(now, v.number, v.ask)
	}
	g.mu.Unlock()
	g.sendAll(out)
	return same
}

// abandon gives an ask up. If the dispatcher let the request go in the same
// moment, its count is taken back.
func (x *exchange) abandonAsk(v selection, silent bool) {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	if silent {
		g.dispatchClient.Silent(now, v.ask.dispatcher)
		g.metrics.dispatcherTimeouts.Inc()
	}
	g.endAsk(v.number)
	for len(v.ask.replies) > 0 {
		if d := <-v.ask.replies; d.verdict == dispatch.Granted {
			g.servers.Ended(now, d.target.id, x.call.Model, directory.Neutral)
		}
	}
	out := g.loadMessages(now)
	g.mu.Unlock()
	g.sendAll(out)
}
