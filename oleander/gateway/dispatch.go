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
	roomPart = 0.6
	// leastRoomWait is what it waits in any case: a slot is free some milliseconds
	// later as a rule.
	leastRoomWait = 40 * time.Millisecond
)

// answersKept bounds the replies that wait to be read: words that the request is
// queued, and one that ends the ask.
const answersKept = 4

// asked is a request of this instance that asked the dispatcher.
type asked struct {
	model, adapter string
	dispatcher     string
	answered       chan dispatched // queued, and then what was decided
}

// dispatched is what became of an ask.
type dispatched struct {
	verdict dispatch.Decision
	target  target
	choice  directory.Choice
}

// dispatchTo asks the dispatcher for a server, and returns nil if nobody is to be
// asked now. The caller holds mu.
func (x *exchange) dispatchTo(now clock.Time) (uint64, *asked) {
	g := x.g
	name := g.dispatcher(now)
	if name == g.set.Name && g.members.Count() == 1 || !g.client.ShouldQuery(now, name) {
		return 0, nil
	}
	number := g.client.BeginQuery()
	a := &asked{model: x.call.Model, adapter: x.call.Adapter, dispatcher: name, answered: make(chan dispatched, answersKept)}
	g.asks[number] = a
	return number, a
}

// askServer tells the dispatcher what the request needs. It returns the messages to
// send. The caller holds mu.
func (x *exchange) askServer(now clock.Time, number uint64, a *asked) []outgoing {
	ask := &dispatch.Query{Number: number, Requirements: x.need(), Priority: x.urgency(), MaxWait: x.roomWithin(now)}
	return x.g.tellDispatcher(now, a.dispatcher, dispatch.Message{Query: ask})
}

// roomWithin is how long the request can wait for room and still be on time; 0: for
// as long as its caller waits.
func (x *exchange) roomWithin(now clock.Time) time.Duration {
	if x.sends > 0 || x.route.LatencyObjective == 0 {
		return 0 // after a server broke off, late is better than not at all
	}
	left := x.arrived.Add(x.route.LatencyObjective).Sub(now)
	return max(leastRoomWait, time.Duration(roomPart*float64(left)))
}

// tellDispatcher tells the dispatcher what this instance has under way, with an ask
// or an end that m has. The caller holds mu.
func (g *Gateway) tellDispatcher(now clock.Time, name string, m dispatch.Message) []outgoing {
	m.From, m.Incarnation, m.Running = g.set.Name, g.incarnation, g.dir.LocalLoadByModel()
	m.Sequence, m.OpenQueries = g.client.NextSequence()
	if name == g.set.Name {
		return g.takeDispatch(now, m)
	}
	to := g.members.Get(name)
	if to == nil {
		return nil
	}
	return []outgoing{{message: g.encode(packet{Dispatch: g.dispatchOf(m)}), to: []recipient{g.recipient(to)}}}
}

// takeChoice takes a reply of the dispatcher. A request that was let go is counted
// in the same moment, so that the next message to the dispatcher has it. The caller
// holds mu.
func (g *Gateway) takeChoice(now clock.Time, from string, number uint64, v dispatch.Decision, c directory.Choice) {
	g.client.MarkResponsive(from)
	a := g.asks[number]
	if a == nil {
		return // it was given up, and the next message says so
	}
	d := dispatched{verdict: v, choice: c}
	if v == dispatch.Granted {
		d.target = target{id: c.Server.ID, address: c.Server.Address}
		g.dir.RequestStarted(now, c.Server.ID, a.model)
		g.placer.AdapterUsed(now, c.Server.ID, a.model, a.adapter)
	}
	if v != dispatch.Queued {
		g.endAsk(number)
	}
	if v != dispatch.Queued || len(a.answered) < answersKept-1 {
		a.answered <- d
	}
}

// endAsk closes an ask. The caller holds mu.
func (g *Gateway) endAsk(number uint64) {
	g.client.EndQuery(number)
	delete(g.asks, number)
}

// tellLoad tells the dispatcher that what this instance has under way changed
// without a question. The caller holds mu.
func (g *Gateway) tellLoad(now clock.Time) []outgoing {
	return g.tellLoadOf(now, dispatch.Message{})
}

// tellEnd tells it how a request ended at a server. The caller holds mu.
func (g *Gateway) tellEnd(now clock.Time, server string, o directory.Outcome) []outgoing {
	return g.tellLoadOf(now, dispatch.Message{Ended: g.endAt(server, o)})
}

// tellUnreachable tells it that a server could not be connected to. The caller
// holds mu.
func (g *Gateway) tellUnreachable(now clock.Time, server string) []outgoing {
	e := g.endAt(server, directory.Neutral)
	if e != nil {
		e.Unreachable = true
	}
	return g.tellLoadOf(now, dispatch.Message{Ended: e})
}

func (g *Gateway) endAt(server string, o directory.Outcome) *dispatch.EndedRequest {
	s := g.dir.Get(server)
	if s == nil {
		return nil
	}
	return &dispatch.EndedRequest{Server: server, Incarnation: s.Incarnation, Outcome: o}
}

func (g *Gateway) tellLoadOf(now clock.Time, m dispatch.Message) []outgoing {
	name := g.dispatcher(now)
	if name == g.set.Name {
		return nil // it counts its own itself
	}
	return g.tellDispatcher(now, name, m)
}

// await waits for what the dispatcher says. If it says nothing, or is replaced
// meanwhile, the target is empty, and the request looks again.
func (x *exchange) await(v lookResult, p outlook.Patience) (target, *refusal) {
	w := dispatchWait{x: x, look: v, patience: p, began: boottime.Now()}
	defer w.account()
	for {
		t := time.NewTimer(w.next())
		select {
		case d := <-v.ask.answered:
			t.Stop()
			switch d.verdict {
			case dispatch.Granted:
				x.timing.choice = d.choice
				return d.target, nil
			case dispatch.NoCandidate:
				x.alone = true
				return target{}, nil
			case dispatch.Refused:
				return target{}, refusalOf(reasonNoRoom, comeBackLoad)
			}
			w.queued, w.asks = true, 0
		case <-t.C:
			if goesOn, ref := w.again(); !goesOn {
				return target{}, ref
			}
		case <-x.r.Context().Done():
			x.abandon(v, false)
			return target{}, refusalOf(reasonCallerGone, 0)
		case <-x.g.refuseWaiting:
			x.abandon(v, false)
			return target{}, refusalOf(reasonStopping, comeBack)
		}
	}
}

// dispatchWait is the wait for the dispatcher's answer to one ask.
type dispatchWait struct {
	x        *exchange
	look     lookResult
	patience outlook.Patience
	began    clock.Time
	queued   bool // the dispatcher has it
	asks     int  // again, without an answer
}

// next is how long to wait for a word of the dispatcher.
func (w *dispatchWait) next() time.Duration {
	if !w.queued {
		return dispatch.ReplyTimeout
	}
	return min(dispatch.QueuedRetryInterval, max(0, boottime.Until(w.patience.Leaves)))
}

// again goes on after a silence. It returns false if the wait is over.
func (w *dispatchWait) again() (bool, *refusal) {
	x, v := w.x, w.look
	switch {
	case boottime.Now().Reached(w.patience.Leaves):
		x.abandon(v, false)
		return false, refusalOf(reasonNoRoom, comeBack)
	case w.asks >= dispatch.MaxRetries:
		x.abandon(v, true)
		x.alone = true
		return false, nil
	case !x.askAgain(v):
		x.abandon(v, false)
		return false, nil
	}
	w.asks++
	return true, nil
}

// account adds the wait to where the request's time went.
func (w *dispatchWait) account() {
	if w.queued {
		w.x.timing.waited(boottime.Now().Sub(w.began), true)
	}
}

// askAgain repeats an ask. It returns false if another instance is the dispatcher
// now.
func (x *exchange) askAgain(v lookResult) bool {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	same := g.dispatcher(now) == v.ask.dispatcher
	var out []outgoing
	if same && g.asks[v.number] != nil {
		out = x.askServer(now, v.number, v.ask)
	}
	g.mu.Unlock()
	g.sendAll(out)
	return same
}

// abandon gives an ask up. If the dispatcher let the request go in the same
// moment, its count is taken back.
func (x *exchange) abandon(v lookResult, silent bool) {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	if silent {
		g.client.MarkUnresponsive(now, v.ask.dispatcher)
		g.metrics.dispatchSilent.Inc()
	}
	g.endAsk(v.number)
	for len(v.ask.answered) > 0 {
		if d := <-v.ask.answered; d.verdict == dispatch.Granted {
			g.dir.RequestEnded(now, d.target.id, x.call.Model, directory.Neutral)
		}
	}
	out := g.tellLoad(now)
	g.mu.Unlock()
	g.sendAll(out)
}
