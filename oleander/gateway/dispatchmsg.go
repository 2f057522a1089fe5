package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/regions"
)

// dispatchMsg tells the dispatcher what the sender has under way.
type dispatchMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Sequence    uint64
	Running     map[string]map[string]int // by backend server and model
	Open        []uint64                  // asks without an answer
	Ask         *askServerMsg             // nil: nothing is asked
	Ended       *endMsg                   // nil: no request ended
	Model       string                    // that was asked for last
	Arrived     uint64                    // requests for it since the start
}

// askServerMsg asks for a backend server.
type askServerMsg struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Group    string
	Model    string
	Adapter  string
	Affinity uint64
	Zone     string
	Exclude  []string
	Priority int
	WithinMS int64
	Homes    regions.Set
}

// endMsg tells how a request ended at a backend server.
type endMsg struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Born        int64
	Outcome     directory.Outcome
	Unreachable bool
}

// choiceMsg answers an askServerMsg.
type choiceMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64 // of the asker
	Number      uint64
	Verdict     dispatch.Decision
	Server      *serverMsg // what it is, so that it can be used where it is not known yet
	Candidates  int
	By          directory.Reason
	Load        float64
	Next        float64
}

// dispatchOf puts a message to the dispatcher into its wire form. The caller holds
// mu.
func (g *Gateway) dispatchOf(m dispatch.Message) *dispatchMsg {
	w := &dispatchMsg{From: m.From, Incarnation: m.Incarnation, Sequence: m.Sequence, Running: m.Running, Open: m.OpenQueries}
	if a := m.Query; a != nil {
		n := a.Requirements
		w.Ask = &askServerMsg{
			Number: a.Number, Group: n.Group, Model: n.Model, Adapter: n.Adapter, Affinity: n.Affinity, Zone: n.Zone,
			Exclude: sortedNames(n.Exclude), Priority: a.Priority, WithinMS: a.MaxWait.Milliseconds(), Homes: n.AllowedRegions,
		}
		w.Model, w.Arrived = n.Model, g.arrived[n.Model].count
	}
	if e := m.Ended; e != nil {
		w.Ended = &endMsg{Server: e.Server, Born: e.Incarnation, Outcome: e.Outcome, Unreachable: e.Unreachable}
	}
	return w
}

// message is the reverse of dispatchOf.
func (w *dispatchMsg) message() dispatch.Message {
	m := dispatch.Message{From: w.From, Incarnation: w.Incarnation, Sequence: w.Sequence, Running: w.Running, OpenQueries: w.Open}
	if a := w.Ask; a != nil {
		need := directory.Requirements{
			Group: a.Group, Model: a.Model, Adapter: a.Adapter, Affinity: a.Affinity, Zone: a.Zone, AllowedRegions: a.Homes,
			Exclude: make(map[string]bool, len(a.Exclude)),
		}
		for _, id := range a.Exclude {
			need.Exclude[id] = true
		}
		m.Query = &dispatch.Query{
			Number: a.Number, Requirements: need, Priority: a.Priority, MaxWait: time.Duration(a.WithinMS) * time.Millisecond,
		}
	}
	if e := w.Ended; e != nil {
		m.Ended = &dispatch.EndedRequest{Server: e.Server, Incarnation: e.Born, Outcome: e.Outcome, Unreachable: e.Unreachable}
	}
	return m
}

// choiceOf puts a reply of the dispatcher into its wire form.
func (g *Gateway) choiceOf(now clock.Time, r dispatch.Reply) *choiceMsg {
	c := &choiceMsg{
		From: g.set.Name, Incarnation: r.Incarnation, Number: r.Number, Verdict: r.Decision,
		Candidates: r.Choice.Candidates, By: r.Choice.Reason, Load: r.Choice.Load, Next: r.Choice.NextLoad,
	}
	if s := r.Choice.Server; s != nil {
		c.Server = &serverMsg{Server: s.ID, Born: s.Incarnation, Info: infoOf(now, s)}
	}
	return c
}

// takeDispatchMsg takes a message to the dispatcher. The caller holds mu.
func (g *Gateway) takeDispatchMsg(now clock.Time, w *dispatchMsg) []outgoing {
	if w.Model != "" {
		g.countModel(now, g.seenOf(w.From, w.Incarnation), w.Model, w.Arrived)
	}
	return g.takeDispatch(now, w.message())
}

// takeChoiceMsg takes a reply of the dispatcher. One that names a server which has
// left, or leaves, by what this instance knows itself is as good as none: the request
// chooses itself. The caller holds mu.
func (g *Gateway) takeChoiceMsg(now clock.Time, w *choiceMsg) {
	if w.Incarnation != g.incarnation {
		return
	}
	c := directory.Choice{Candidates: w.Candidates, Reason: w.By, Load: w.Load, NextLoad: w.Next}
	verdict := w.Verdict
	if verdict == dispatch.Granted && w.Server != nil {
		g.takeServer(now, *w.Server)
		c.Server = g.dir.Get(w.Server.Server)
	}
	if s := c.Server; verdict == dispatch.Granted && (s == nil || s.Incarnation != w.Server.Born || !s.Usable(now)) {
		verdict = dispatch.NoCandidate
	}
	g.takeChoice(now, w.From, w.Number, verdict, c)
}
