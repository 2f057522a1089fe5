package dispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/fleetshare"
	"oleanderdale.org/core/gateway/serverlimit"
)

// Time constants of the simulated instances.
const (
	shareInterval = 50 * time.Millisecond  // between two updates of the shares
	queueInterval = 3 * time.Millisecond   // between two runs of ServeQueues
	queryTimeout  = 60 * time.Millisecond  // then an instance chooses by itself
	serverLatency = 40 * time.Millisecond  // from a request to its response
	limitWindow   = 4 * time.Second        // in which a server's requests are counted
	settleTime    = 3 * time.Second        // after the first statement; then the limit is checked
	maxRequestAge = 900 * time.Millisecond // an older request is given up
)

// feedbackFleet simulates instances, and servers that name rate limits or ask for rest in
// their responses. Messages are late or lost, dispatchers stop, and networks are cut.
type feedbackFleet struct {
	random    *rand.Rand
	now       clock.Time
	nodes     []*feedbackNode
	servers   []*feedbackServer
	inTransit []delivery
	perSecond float64
	hot       float64 // share of the requests that the first instance gets
	lossOneIn int
	// group of instances that hear each other; a change cuts the network.
	side func(n *feedbackNode) int
	// deaf disables the safeguard: nobody tells others what a server said.
	deaf bool

	arrived, served, refused int
	rejected                 int // by servers
	slowestRefusal           time.Duration
}

type feedbackNode struct {
	fleet *feedbackFleet
	index int
	// incarnation counts its starts.
	incarnation uint64
	dir         *directory.Directory
	client      *Client
	dispatcher  *Dispatcher
	down        bool
	open        map[uint64]clock.Time // start of each open query
	heardAt     map[string]clock.Time // last statement of a server in a response
	nextBeat    clock.Time
}

type feedbackServer struct {
	id       string
	limit    func(now clock.Time) (perSecond float64, limited bool)
	rejects  func(n *feedbackNode) bool // nil: nobody
	named    clock.Time                 // first response with a limit
	arrivals []clock.Time
}

func newFeedbackFleet(seed uint64, instances, servers int, perSecond float64) *feedbackFleet {
	f := &feedbackFleet{
		random: rand.New(rand.NewPCG(seed, 9)), now: clock.Time(time.Hour), perSecond: perSecond,
		lossOneIn: 50, side: func(*feedbackNode) int { return 0 },
	}
	for s := range servers {
		f.servers = append(f.servers, &feedbackServer{id: fmt.Sprint("s", s), limit: func(clock.Time) (float64, bool) { return 0, false }})
	}
	for i := range instances {
		n := &feedbackNode{fleet: f, index: i}
		n.restart()
		f.nodes = append(f.nodes, n)
	}
	return f
}

// restart makes an instance forget everything.
func (n *feedbackNode) restart() {
	n.dir, n.client, n.incarnation = directory.New(), NewClient(), n.incarnation+1
	n.dispatcher = New(n.name(), n.dir)
	n.open, n.heardAt = make(map[uint64]clock.Time), make(map[string]clock.Time)
	for _, s := range n.fleet.servers {
		n.dir.Put(n.fleet.now, directory.Entry{ID: s.id, Zone: "z", Group: "g", Incarnation: 1, Slots: 16})
	}
}

// always returns a limit that a server names in all responses.
func always(perSecond float64) func(clock.Time) (float64, bool) {
	return func(clock.Time) (float64, bool) { return perSecond, true }
}

func (n *feedbackNode) name() string { return fmt.Sprintf("n%03d", n.index) }

// dispatcherOf returns the instance that n takes for the dispatcher: the first that it
// hears.
func (f *feedbackFleet) dispatcherOf(n *feedbackNode) *feedbackNode {
	for _, o := range f.nodes {
		if !o.down && f.side(o) == f.side(n) {
			return o
		}
	}
	return n
}

func (f *feedbackFleet) send(from, to *feedbackNode, handle func()) {
	if f.random.IntN(f.lossOneIn) == 0 {
		return
	}
	delay := time.Duration(1+f.random.IntN(8)) * time.Millisecond
	f.inTransit = append(f.inTransit, delivery{at: f.now.Add(delay), handle: func() {
		if !to.down && !from.down && f.side(from) == f.side(to) {
			handle()
		}
	}})
}

func (f *feedbackFleet) later(d time.Duration, handle func()) {
	f.inTransit = append(f.inTransit, delivery{at: f.now.Add(d), handle: handle})
}

func (f *feedbackFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.deliver()
		for due := f.perSecond / 1000; due > f.random.Float64(); due-- {
			f.arrive()
		}
		for _, n := range f.nodes {
			n.tick()
		}
	}
}

func (f *feedbackFleet) deliver() {
	due := f.inTransit
	f.inTransit = nil
	for _, m := range due {
		if f.now.Before(m.at) {
			f.inTransit = append(f.inTransit, m)
		} else {
			m.handle()
		}
	}
}

func (f *feedbackFleet) arrive() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	if f.random.Float64() < f.hot {
		n = f.nodes[len(f.nodes)-1]
	}
	if n.down {
		return
	}
	f.arrived++
	number := n.client.BeginQuery()
	n.open[number] = f.now
	n.ask(number)
}

func (n *feedbackNode) tick() {
	f := n.fleet
	if n.down {
		return
	}
	sinceStart := f.now.Sub(clock.Time(time.Hour))
	if sinceStart%shareInterval == 0 {
		live := 0
		for _, o := range f.nodes {
			if !o.down && f.side(o) == f.side(n) {
				live++
			}
		}
		n.dir.SetShare(f.now, fleetshare.Share{Dispatcher: f.dispatcherOf(n) == n, Live: live, Known: len(f.nodes)})
		n.dir.ExpirePeerLoad(f.now)
	}
	if sinceStart%queueInterval == 0 {
		n.reply(n.dispatcher.ServeQueues(f.now))
	}
	if f.now.Reached(n.nextBeat) {
		n.nextBeat = f.now.Add(max(200, time.Duration(8*len(f.nodes))) * time.Millisecond)
		n.repeatFeedback()
	}
}

// requirements returns what a request of the instance requires now.
func (n *feedbackNode) requirements() directory.Requirements {
	return directory.Requirements{Group: "g", Zone: "z", Exclude: n.dir.ExcludeResting(n.fleet.now, "g", nil)}
}

// ask queries the dispatcher; without an answer in time the instance chooses by itself.
func (n *feedbackNode) ask(number uint64) {
	f := n.fleet
	d := f.dispatcherOf(n)
	m := n.message(&Query{Number: number, Requirements: n.requirements(), MaxWait: 150 * time.Millisecond})
	handle := func() {
		if r, ok := d.dispatcher.HandleMessage(f.now, m); ok {
			d.reply([]Reply{r})
		}
	}
	if d == n {
		handle()
	} else {
		f.send(n, d, handle)
	}
	f.later(queryTimeout, func() { n.giveUp(number) })
}

func (n *feedbackNode) message(q *Query) Message {
	sequence, open := n.client.NextSequence()
	return Message{From: n.name(), Incarnation: n.incarnation, Sequence: sequence, Running: n.dir.LocalLoadByModel(), OpenQueries: open, Query: q}
}

// giveUp makes an unanswered request choose locally, and again until it is too old.
func (n *feedbackNode) giveUp(number uint64) {
	since, open := n.open[number]
	if !open || n.down {
		return
	}
	c := n.dir.Pick(n.fleet.now, n.requirements())
	switch {
	case c.Server != nil:
		n.start(number, c.Server.ID)
	case n.fleet.now.Sub(since) > maxRequestAge:
		n.end(number)
		n.fleet.refused++
	default:
		n.ask(number)
	}
}

func (n *feedbackNode) end(number uint64) {
	delete(n.open, number)
	n.client.EndQuery(number)
}

// reply sends the replies of a dispatcher, with what it knows of the chosen server.
func (n *feedbackNode) reply(replies []Reply) {
	f := n.fleet
	for _, r := range replies {
		to := f.nodes[0]
		for _, o := range f.nodes {
			if o.name() == r.To {
				to = o
			}
		}
		var known serverlimit.Statement
		if r.Choice.Server != nil {
			if limit := n.dir.KnownFeedback(f.now, r.Choice.Server).Limit; limit != nil {
				known = *limit
			}
		}
		if to == n {
			n.handleReply(n, r, known)
		} else {
			f.send(n, to, func() { to.handleReply(n, r, known) })
		}
	}
}

func (n *feedbackNode) handleReply(from *feedbackNode, r Reply, known serverlimit.Statement) {
	since, open := n.open[r.Number]
	if !open || r.Decision == Queued {
		return
	}
	f := n.fleet
	if r.Decision == Refused {
		n.end(r.Number)
		f.refused++
		f.slowestRefusal = max(f.slowestRefusal, f.now.Sub(since))
		return
	}
	if r.Choice.Server == nil {
		return
	}
	s := n.dir.Get(r.Choice.Server.ID)
	if s.Resting(f.now) {
		return
	}
	if known.Limited {
		n.dir.HearLimit(s.ID, 1, known)
	}
	if !s.PacedBy(known) && !f.deaf {
		n.tell(from, s.ID, n.dir.KnownFeedback(f.now, s))
		return
	}
	n.start(r.Number, s.ID)
}

// start sends a request to a server.
func (n *feedbackNode) start(number uint64, id string) {
	f := n.fleet
	n.end(number)
	n.dir.RequestStarted(f.now, id, "")
	f.later(time.Duration(1+f.random.IntN(3))*time.Millisecond, func() {
		for _, s := range f.servers {
			if s.id == id {
				s.arrivals = append(s.arrivals, f.now)
				if s.rejects != nil && s.rejects(n) {
					f.later(time.Millisecond, func() { n.handleRejection(s) })
					continue
				}
				f.later(serverLatency, func() { n.handleResponse(s) })
			}
		}
	})
}

func (n *feedbackNode) handleResponse(s *feedbackServer) {
	f := n.fleet
	if n.down {
		return
	}
	f.served++
	n.dir.RequestEnded(f.now, s.id, "", directory.Answered)
	perSecond, limited := s.limit(f.now)
	if limited && s.named == 0 {
		s.named = f.now
	}
	changed := n.dir.RecordLimit(s.id, 1, serverlimit.Statement{Limited: limited, PerSecond: perSecond, At: f.now})
	if limited || changed {
		n.heardAt[s.id] = f.now
	}
	if d := f.dispatcherOf(n); d != n {
		m := n.message(nil)
		f.send(n, d, func() { d.dispatcher.HandleMessage(f.now, m) })
	}
	if changed {
		for _, o := range f.nodes {
			n.tellOwn(o, s.id)
		}
	}
}

// restPeriod is for how long servers that reject requests want to be left alone.
const restPeriod = 3 * time.Second

// handleRejection handles a rejection with a wish for rest, and sends the request again.
func (n *feedbackNode) handleRejection(s *feedbackServer) {
	f := n.fleet
	f.rejected++
	n.dir.RequestEnded(f.now, s.id, "", directory.Neutral)
	n.dir.RecordRest(f.now, s.id, restPeriod)
	if n.dir.RecordRestOfAny(f.now, s.id, restPeriod) && !f.deaf {
		for _, o := range f.nodes {
			if o != n {
				f.send(n, o, func() { o.dir.RecordRestOfAny(f.now, s.id, restPeriod) })
			}
		}
	}
	number := n.client.BeginQuery()
	n.open[number] = f.now
	n.ask(number)
}

// tellOwn tells another instance what a server said to this one.
func (n *feedbackNode) tellOwn(to *feedbackNode, id string) {
	n.tell(to, id, n.dir.OwnFeedback(n.fleet.now, n.dir.Get(id)))
}

func (n *feedbackNode) tell(to *feedbackNode, id string, said directory.Feedback) {
	f := n.fleet
	if to == n || said.Limit == nil || f.deaf {
		return
	}
	f.send(n, to, func() { to.dir.HearLimit(id, 1, *said.Limit) })
}

func (n *feedbackNode) repeatFeedback() {
	for id, at := range n.heardAt {
		if n.fleet.now.Sub(at) > 2500*time.Millisecond {
			delete(n.heardAt, id)
			continue
		}
		for _, o := range n.fleet.nodes {
			n.tellOwn(o, id)
		}
	}
}

// most returns the largest number of requests that a server got in any limitWindow, from
// settleTime after its first statement on.
func (s *feedbackServer) most() int {
	most, first := 0, 0
	for i, at := range s.arrivals {
		if s.named == 0 || at.Before(s.named.Add(settleTime)) {
			first = i + 1
			continue
		}
		for at.Sub(s.arrivals[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// within returns how many requests a server got in a time.
func (s *feedbackServer) within(from clock.Time, d time.Duration) int {
	n := 0
	for _, at := range s.arrivals {
		if at.Reached(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}
