package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/serverlimit"
	"oleanderdale.org/core/gateway/warmup"
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

// limitFleet simulates instances and servers that name rate limits in their responses.
// Messages are late or lost, dispatchers stop, and networks are cut.
type limitFleet struct {
	random    *rand.Rand
	now       clock.Time
	nodes     []*limitNode
	servers   []*limitServer
	inTransit []delivery
	perSecond float64
	hot       float64 // share of the requests that the first instance gets
	lossOneIn int
	// group of instances that hear each other; a change cuts the network.
	side func(n *limitNode) int
	// deaf disables the safeguard: nobody tells others what a server said.
	deaf bool

	arrived, served, refused int
	rejected                 int // by servers
	slowestRefusal           time.Duration
}

type limitNode struct {
	fleet      *limitFleet
	index      int
	dir        *directory.Directory
	client     *Client
	dispatcher *Dispatcher
	down       bool
	open       map[uint64]clock.Time // start of each open query
	heardAt    map[string]clock.Time // last statement of a server in a response
	nextBeat   clock.Time
}

type limitServer struct {
	id       string
	limit    func(now clock.Time) (perSecond float64, limited bool)
	rejects  func(n *limitNode) bool // nil: nobody
	named    clock.Time              // first response with a limit
	arrivals []clock.Time
}

func newLimitFleet(seed uint64, instances, servers int, perSecond float64) *limitFleet {
	f := &limitFleet{
		random: rand.New(rand.NewPCG(seed, 9)), now: clock.Time(time.Hour), perSecond: perSecond,
		lossOneIn: 50, side: func(*limitNode) int { return 0 },
	}
	for i := range instances {
		n := &limitNode{
			fleet: f, index: i, dir: directory.New(), client: NewClient(),
			open: make(map[uint64]clock.Time), heardAt: make(map[string]clock.Time),
		}
		n.dispatcher = New(n.name(), n.dir)
		for s := range servers {
			n.dir.Put(f.now, directory.Entry{ID: fmt.Sprint("s", s), Zone: "z", Group: "g", Incarnation: 1, Slots: 16})
		}
		f.nodes = append(f.nodes, n)
	}
	for s := range servers {
		f.servers = append(f.servers, &limitServer{id: fmt.Sprint("s", s), limit: func(clock.Time) (float64, bool) { return 0, false }})
	}
	return f
}

// always returns a limit that a server names in all responses.
func always(perSecond float64) func(clock.Time) (float64, bool) {
	return func(clock.Time) (float64, bool) { return perSecond, true }
}

func (n *limitNode) name() string { return fmt.Sprintf("n%03d", n.index) }

// dispatcherOf returns the instance that n takes for the dispatcher: the first that it
// hears.
func (f *limitFleet) dispatcherOf(n *limitNode) *limitNode {
	for _, o := range f.nodes {
		if !o.down && f.side(o) == f.side(n) {
			return o
		}
	}
	return n
}

func (f *limitFleet) send(from, to *limitNode, handle func()) {
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

func (f *limitFleet) later(d time.Duration, handle func()) {
	f.inTransit = append(f.inTransit, delivery{at: f.now.Add(d), handle: handle})
}

func (f *limitFleet) run(d time.Duration) {
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

func (f *limitFleet) deliver() {
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

func (f *limitFleet) arrive() {
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

func (n *limitNode) tick() {
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
		n.dir.SetShare(f.now, warmup.Share{Dispatcher: f.dispatcherOf(n) == n, Live: live, Known: len(f.nodes)})
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
func (n *limitNode) requirements() directory.Requirements {
	return directory.Requirements{Group: "g", Zone: "z", Exclude: n.dir.ExcludeResting(n.fleet.now, "g", nil)}
}

// ask queries the dispatcher; without an answer in time the instance chooses by itself.
func (n *limitNode) ask(number uint64) {
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

func (n *limitNode) message(q *Query) Message {
	sequence, open := n.client.NextSequence()
	return Message{From: n.name(), Incarnation: 1, Sequence: sequence, Running: n.dir.LocalLoadByModel(), OpenQueries: open, Query: q}
}

// giveUp makes an unanswered request choose locally, and again until it is too old.
func (n *limitNode) giveUp(number uint64) {
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

func (n *limitNode) end(number uint64) {
	delete(n.open, number)
	n.client.EndQuery(number)
}

// reply sends the replies of a dispatcher, with what it knows of the chosen server.
func (n *limitNode) reply(replies []Reply) {
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
			known, _ = r.Choice.Server.LimitStatement()
		}
		if to == n {
			n.handleReply(n, r, known)
		} else {
			f.send(n, to, func() { to.handleReply(n, r, known) })
		}
	}
}

func (n *limitNode) handleReply(from *limitNode, r Reply, known serverlimit.Statement) {
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
		n.dir.RecordLimit(s.ID, 1, known)
	}
	if !s.PacedBy(known) && !f.deaf {
		n.tell(from, s.ID)
		return
	}
	n.start(r.Number, s.ID)
}

// start sends a request to a server.
func (n *limitNode) start(number uint64, id string) {
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

func (n *limitNode) handleResponse(s *limitServer) {
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
			n.tell(o, s.id)
		}
	}
}

// restPeriod is for how long servers that reject requests want to be left alone.
const restPeriod = 3 * time.Second

// handleRejection handles a rejection with a wish for rest, and sends the request again.
func (n *limitNode) handleRejection(s *limitServer) {
	f := n.fleet
	f.rejected++
	n.dir.RequestEnded(f.now, s.id, "", directory.Neutral)
	n.dir.RecordRest(f.now, s.id, 1, restPeriod)
	if n.dir.RecordRestOfAny(f.now, s.id, 1, restPeriod) && !f.deaf {
		for _, o := range f.nodes {
			if o != n {
				f.send(n, o, func() { o.dir.RecordRestOfAny(f.now, s.id, 1, restPeriod) })
			}
		}
	}
	number := n.client.BeginQuery()
	n.open[number] = f.now
	n.ask(number)
}

// tell tells another instance what a server said.
func (n *limitNode) tell(to *limitNode, id string) {
	f := n.fleet
	said, ok := n.dir.Get(id).LimitStatement()
	if to == n || !ok || f.deaf {
		return
	}
	f.send(n, to, func() { to.dir.RecordLimit(id, 1, said) })
}

func (n *limitNode) repeatFeedback() {
	for id, at := range n.heardAt {
		if n.fleet.now.Sub(at) > 2500*time.Millisecond {
			delete(n.heardAt, id)
			continue
		}
		for _, o := range n.fleet.nodes {
			n.tell(o, id)
		}
	}
}

// most returns the largest number of requests that a server got in any limitWindow, from
// settleTime after its first statement on.
func (s *limitServer) most() int {
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
func (s *limitServer) within(from clock.Time, d time.Duration) int {
	n := 0
	for _, at := range s.arrivals {
		if at.Reached(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}

// allowedIn returns the bound on the requests in limitWindow: one and a half times the
// limit, and five.
func allowedIn(perSecond float64) int { return int(1.5*perSecond*limitWindow.Seconds()) + 5 }

// The requests of all instances together stay within the rate that a server names,
// whatever happens to the instances. Where it is calm, the server gets close to its limit.
func TestServerLimitHoldsOverAllInstances(t *testing.T) {
	cut := func(f *limitFleet) {
		f.side = func(n *limitNode) int { return n.index % 3 }
	}
	heal := func(f *limitFleet) { f.side = func(*limitNode) int { return 0 } }
	tests := []struct {
		name  string
		calm  bool
		setUp func(f *limitFleet)
		event func(f *limitFleet, second int)
	}{
		{name: "calm", calm: true},
		{name: "burst", event: func(f *limitFleet, second int) {
			f.perSecond = 60
			if second%5 == 4 {
				f.perSecond = 600
			}
		}},
		{name: "one hot instance", calm: true, setUp: func(f *limitFleet) { f.hot = 0.9 }},
		{name: "cut into three", event: func(f *limitFleet, second int) {
			if second == 6 {
				cut(f)
			} else if second == 12 {
				heal(f)
			}
		}},
		{name: "cut every second", event: func(f *limitFleet, second int) {
			if second%2 == 0 {
				cut(f)
			} else {
				heal(f)
			}
		}},
		{name: "dispatchers killed", event: func(f *limitFleet, second int) {
			if second >= 5 && second%4 == 1 && second/4 < len(f.nodes) {
				f.nodes[second/4-1].down = true
			}
		}},
		{name: "one message in five lost", setUp: func(f *limitFleet) { f.lossOneIn = 5 }},
	}
	for _, instances := range []int{3, 9, 77} {
		for _, perSecond := range []float64{0.2, 3.1, 20} {
			for _, tc := range tests {
				t.Run(fmt.Sprintf("%s, %d instances, %g a second", tc.name, instances, perSecond), func(t *testing.T) {
					f := newLimitFleet(5, instances, 3, 90)
					f.servers[0].limit = always(perSecond)
					if tc.setUp != nil {
						tc.setUp(f)
					}
					for second := range 20 {
						if tc.event != nil {
							tc.event(f, second)
						}
						f.run(time.Second)
					}
					s := f.servers[0]
					if most := s.most(); most > allowedIn(perSecond) {
						t.Errorf("%d requests in %v, allowed are %d", most, limitWindow, allowedIn(perSecond))
					}
					got, want := s.within(s.named.Add(settleTime), 12*time.Second), 12*max(minProbes, perSecond)
					if tc.calm && float64(got) < 0.8*want-2 {
						t.Errorf("%d requests in 12 s, close to %.0f wanted", got, want)
					}
					if tc.calm && f.refused > f.arrived/100 {
						t.Errorf("%d of %d refused, although other servers have room", f.refused, f.arrived)
					}
				})
			}
		}
	}
}

// minProbes is the rate, in requests per second, that a server gets whatever it names.
const minProbes = 0.5

// Without telling others what a server said, the dispatcher does not know what the only
// instance with traffic hears: the check must detect that.
func TestServerLimitWithoutTellingIsDetected(t *testing.T) {
	f := newLimitFleet(5, 9, 3, 90)
	f.deaf, f.hot = true, 1
	f.servers[0].limit = always(3.1)
	f.run(12 * time.Second)
	if most := f.servers[0].most(); most <= allowedIn(3.1) {
		t.Errorf("%d requests, the bound of %d holds without the safeguard", most, allowedIn(3.1))
	}
}

// All servers of a group name limits. They get close to what they ask together, and a
// request for which there is no room is refused at once.
func TestAllServersLimited(t *testing.T) {
	f := newLimitFleet(6, 9, 3, 40)
	for _, s := range f.servers {
		s.limit = always(4)
	}
	f.run(5 * time.Second)
	before := f.served
	f.slowestRefusal = 0
	f.run(20 * time.Second)
	if got := float64(f.served-before) / 20; got < 0.85*12 || got > 12.5 {
		t.Errorf("%.1f served a second, the servers take 12", got)
	}
	if f.slowestRefusal > 250*time.Millisecond {
		t.Errorf("a request was refused after %v", f.slowestRefusal)
	}
	for _, s := range f.servers {
		if most := s.most(); most > allowedIn(4) {
			t.Errorf("%s: %d requests in %v, allowed are %d", s.id, most, limitWindow, allowedIn(4))
		}
	}
}

// A limit that ends gives the server its part of the load back within two seconds, also
// after a limit of none; limits that change every second hold.
func TestServerLimitEndsAndChanges(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 5} {
		f := newLimitFleet(7, 9, 3, 90)
		end := f.now.Add(8 * time.Second)
		f.servers[0].limit = func(now clock.Time) (float64, bool) { return perSecond, now.Before(end) }
		f.run(8 * time.Second)
		f.run(6 * time.Second)
		if n := f.servers[0].within(end.Add(2*time.Second+serverLatency), 2*time.Second); n < 40 {
			t.Errorf("%g a second: %d requests in 2 s after the end, want about 60", perSecond, n)
		}
	}
	f := newLimitFleet(8, 9, 3, 90)
	began := f.now
	f.servers[0].limit = func(now clock.Time) (float64, bool) {
		return float64(1 + int(now.Sub(began)/time.Second)*7%5), true
	}
	f.run(20 * time.Second)
	const mean = 3.0
	if most := f.servers[0].most(); most > allowedIn(mean) {
		t.Errorf("%d requests in %v, allowed are %d", most, limitWindow, allowedIn(mean))
	}
}

// One of three servers rejects all requests. In a fleet in which each instance has few
// requests, the others must not find that out one by one; and a server that rejects only
// some instances goes on serving the others when the rest is full.
func TestRejectingServerIsLeftAlone(t *testing.T) {
	run := func(instances int, deaf bool, perSecond float64, rejects func(n *limitNode) bool) *limitFleet {
		f := newLimitFleet(9, instances, 3, perSecond)
		f.deaf = deaf
		f.servers[0].rejects = rejects
		f.run(12 * time.Second)
		return f
	}
	all := func(*limitNode) bool { return true }
	for _, instances := range []int{9, 77, 195} {
		told, alone := run(instances, false, 300, all), run(instances, true, 300, all)
		t.Logf("%d instances: %d rejections of %d requests, %d if nobody is told", instances, told.rejected, told.arrived, alone.rejected)
		if told.rejected > told.arrived/100 || told.rejected > alone.rejected {
			t.Errorf("%d instances: %d rejections of %d requests, %d if nobody is told", instances, told.rejected, told.arrived, alone.rejected)
		}
		if told.refused > told.arrived/100 {
			t.Errorf("%d instances: %d of %d refused, although other servers have room", instances, told.refused, told.arrived)
		}
	}
	half := run(9, false, 1500, func(n *limitNode) bool { return n.index%2 == 0 })
	served := len(half.servers[0].arrivals) - half.rejected
	t.Logf("half of the instances rejected, under overload: %d served by that server, %d rejected", served, half.rejected)
	if served < 2000 {
		t.Errorf("%d requests served by the server that rejects half of the instances", served)
	}
}
