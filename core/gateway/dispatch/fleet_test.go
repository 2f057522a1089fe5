package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

const (
	instances = 195
	engines   = 12
	slots     = 12
	runs      = 300 * time.Millisecond // of a request
	lateAfter = 100 * time.Millisecond // of waiting at the engine
	tick      = time.Millisecond
	hop       = 3 * time.Millisecond // of a message
	beat      = 1600 * time.Millisecond
	lookEvery = 50 * time.Millisecond
	objective = 300 * time.Millisecond
)

// fleet plays instances before engines that all hold one model, in virtual time.
// With a dispatcher the first instance is asked for each request, and told of each
// end; without, all choose by the heartbeats.
type fleet struct {
	random     *rand.Rand
	now        clock.Time
	dispatched bool
	lossy      int // one message in so many is lost; 0: none
	nodes      []*node
	engines    map[string]*engine
	wire       []delivery
	byName     map[string]*node
	rate       float64
	within     time.Duration // for which a request can wait for room; 0: for ever
	next       float64       // arrivals due

	asked, served, late, refused int
	onTime, sentAway             int // let go in time; refused by the dispatcher
	worst                        int // error of the dispatcher's count at a choice
	errors                       int // sum of the errors of what was believed at a choice
}

type node struct {
	name     string
	dir      *directory.Directory
	client   *Client
	dispatch *Dispatcher
	nextBeat clock.Time
	nextLook clock.Time
	askAgain clock.Time
	asks     map[uint64]clock.Time // open, since
}

type engine struct {
	id      string
	running []clock.Time // ends
	owners  []*node
	waiting []queued
}

type queued struct {
	at    clock.Time
	owner *node
}

type delivery struct {
	at clock.Time
	do func()
}

func newFleet(seed uint64, dispatched bool, load float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 2)), now: clock.Time(time.Minute), dispatched: dispatched,
		engines: make(map[string]*engine), byName: make(map[string]*node), rate: load * engines * slots / runs.Seconds(),
	}
	for i := range instances {
		n := &node{name: fmt.Sprintf("n%03d", i), dir: directory.New(), client: NewClient(), asks: make(map[uint64]clock.Time)}
		for e := range engines {
			n.dir.Put(f.now, directory.Entry{
				ID: fmt.Sprintf("e%02d", e), Zone: "z", Group: "g", Incarnation: 1, Slots: slots,
				LoadedModels: []directory.LoadedModel{{Model: "busy"}},
			})
		}
		n.dispatch = New(n.name, n.dir)
		n.nextBeat = f.now.Add(time.Duration(f.random.Int64N(int64(beat))))
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
	}
	for e := range engines {
		id := fmt.Sprintf("e%02d", e)
		f.engines[id] = &engine{id: id}
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.deliver()
		f.finish()
		for f.next += f.rate * tick.Seconds(); f.next > 0; f.next -= f.random.ExpFloat64() {
			f.arrive(f.nodes[f.random.IntN(instances)])
		}
		for _, n := range f.nodes {
			f.housekeep(n)
		}
	}
}

func (f *fleet) send(do func()) {
	if f.lossy == 0 || f.random.IntN(f.lossy) > 0 {
		f.wire = append(f.wire, delivery{at: f.now.Add(hop), do: do})
	}
}

func (f *fleet) deliver() {
	due := f.wire
	f.wire = nil
	for _, m := range due {
		if f.now.Before(m.at) {
			f.wire = append(f.wire, m)
		} else {
			m.do()
		}
	}
}

func (f *fleet) housekeep(n *node) {
	if n == f.nodes[0] {
		f.replies(n.dispatch.ServeQueues(f.now))
	}
	if f.now.Reached(n.nextLook) {
		n.nextLook = f.now.Add(lookEvery)
		n.dir.ExpirePeerLoad(f.now)
	}
	for number := range n.asks {
		if f.now.Reached(n.askAgain) {
			f.repeat(n, number)
		}
	}
	if f.now.Reached(n.askAgain) {
		n.askAgain = f.now.Add(QueuedRetryInterval)
	}
	if !f.now.Reached(n.nextBeat) {
		return
	}
	n.nextBeat = f.now.Add(beat)
	for _, o := range f.nodes {
		if o == n {
			continue
		}
		totals := n.dir.LocalLoad()
		f.send(func() {
			if o.dispatch.HasDirectReport(f.now, n.name) {
				o.dir.RefreshPeerLoad(f.now, n.name)
				return
			}
			o.dir.SetPeerLoad(f.now, n.name, totals)
		})
	}
}

var need = directory.Requirements{Group: "g", Model: "busy", Zone: "z"}

func (f *fleet) arrive(n *node) {
	f.asked++
	if f.dispatched {
		f.ask(n, n.client.BeginQuery())
		return
	}
	c := n.dir.Pick(f.now, need)
	if c.Server == nil {
		f.refused++
		return
	}
	f.start(n, n.dir, c.Server.ID)
}

func (f *fleet) ask(n *node, number uint64) {
	n.asks[number] = f.now
	f.repeat(n, number)
}

func (f *fleet) repeat(n *node, number uint64) {
	f.tell(n, &Query{Number: number, Requirements: need, MaxWait: f.within})
}

func (f *fleet) tell(n *node, ask *Query) {
	sequence, open := n.client.NextSequence()
	m := Message{From: n.name, Incarnation: 1, Sequence: sequence, Running: n.dir.LocalLoadByModel(), OpenQueries: open, Query: ask}
	f.send(func() {
		if r, ok := f.nodes[0].dispatch.HandleMessage(f.now, m); ok {
			f.replies([]Reply{r})
		}
	})
}

func (f *fleet) replies(all []Reply) {
	for _, r := range all {
		f.send(func() { f.takeReply(r) })
	}
}

func (f *fleet) takeReply(r Reply) {
	n := f.byName[r.To]
	since, open := n.asks[r.Number]
	if !open || r.Decision == Queued {
		return
	}
	delete(n.asks, r.Number)
	n.client.EndQuery(r.Number)
	if r.Decision != Granted {
		f.sentAway++
		return
	}
	if f.now.Sub(since) <= objective {
		f.onTime++
	}
	f.start(n, f.nodes[0].dir, r.Choice.Server.ID)
}

// start sends a request; believed is what the choice was made by.
func (f *fleet) start(n *node, believed *directory.Directory, id string) {
	e := f.engines[id]
	off := believed.Get(id).Running() - len(e.running) - len(e.waiting)
	if f.dispatched {
		off-- // this request is counted already
	}
	f.errors += max(off, -off)
	f.worst = max(f.worst, off, -off)
	n.dir.RequestStarted(f.now, id, "busy")
	if len(e.waiting) > slots/2 {
		f.refused++ // the engine is full
		f.end(n, id)
		return
	}
	e.waiting = append(e.waiting, queued{at: f.now, owner: n})
	f.fill(e)
}

func (f *fleet) fill(e *engine) {
	for len(e.waiting) > 0 && len(e.running) < slots {
		w := e.waiting[0]
		e.waiting = e.waiting[1:]
		f.served++
		if f.now.Sub(w.at) > lateAfter {
			f.late++
		}
		took := time.Duration((0.5 + f.random.Float64()) * float64(runs))
		e.running, e.owners = append(e.running, f.now.Add(took)), append(e.owners, w.owner)
	}
}

func (f *fleet) finish() {
	for _, e := range f.engines {
		for i := 0; i < len(e.running); i++ {
			if !f.now.Reached(e.running[i]) {
				continue
			}
			owner := e.owners[i]
			e.running = append(e.running[:i], e.running[i+1:]...)
			e.owners = append(e.owners[:i], e.owners[i+1:]...)
			f.end(owner, e.id)
			i--
		}
		f.fill(e)
	}
}

func (f *fleet) end(n *node, id string) {
	n.dir.RequestEnded(f.now, id, "busy", directory.Answered)
	if f.dispatched {
		f.tell(n, nil)
	}
}

func (f *fleet) String() string {
	return fmt.Sprintf("asked %d, late %d, refused %d, believed load off by %.2f in the mean, %d at most",
		f.asked, f.late, f.refused, float64(f.errors)/float64(max(1, f.served+f.refused)), f.worst)
}

// 195 instances, twelve engines of one model at 70% load. By heartbeats one in
// three callers waits at a full engine or is turned away, while others have room.
// Asked, the dispatcher knows each engine's load within a request on the mean; at
// most a quarter as many are late.
func TestLoadIsKnown(t *testing.T) {
	believed, asked := newFleet(1, false, 0.7), newFleet(1, true, 0.7)
	believed.run(20 * time.Second)
	asked.run(20 * time.Second)
	t.Logf("by heartbeats: %v", believed)
	t.Logf("dispatched:    %v", asked)
	if mean := float64(asked.errors) / float64(asked.served); mean > 1 {
		t.Errorf("the dispatcher is off by %.2f", mean)
	}
	if 4*(asked.late+asked.refused) > believed.late+believed.refused {
		t.Errorf("%d late or refused, %d by heartbeats", asked.late+asked.refused, believed.late+believed.refused)
	}
}

// One message in fifty is lost, asks, replies and ends alike. Counts do not drift,
// and nobody waits for ever.
func TestLostMessagesAreMended(t *testing.T) {
	f := newFleet(2, true, 0.7)
	f.lossy = 50
	f.run(20 * time.Second)
	t.Logf("%v", f)
	f.rate = 0
	f.run(4 * time.Second)
	for id, e := range f.engines {
		if n := f.nodes[0].dir.Get(id).Running(); n != len(e.running) {
			t.Errorf("%s: %d counted, %d running", id, n, len(e.running))
		}
	}
	for _, n := range f.nodes {
		if len(n.asks) > 0 {
			t.Errorf("%s: %d asks open", n.name, len(n.asks))
		}
	}
	if w := f.nodes[0].dispatch.QueueLength(); w > 0 {
		t.Errorf("%d wait", w)
	}
}

// More than the engines can run arrives for a while. What waits is let go in order,
// and none is sent to an engine that turns it away.
func TestOverloadWaitsInOneQueue(t *testing.T) {
	f := newFleet(3, true, 1.2)
	f.run(5 * time.Second)
	t.Logf("%v", f)
	if f.refused > 0 {
		t.Errorf("%d turned away by full engines", f.refused)
	}
	f.rate = 0
	f.run(10 * time.Second)
	if f.served != f.asked {
		t.Errorf("%d of %d served", f.served, f.asked)
	}
}

// Half as much again arrives as the engines can run. In the order of arrival all wait
// until they are late. With a bound on the wait most of what the engines can run is on
// time, and the others are told so at once.
func TestOverloadServesSomeOnTime(t *testing.T) {
	const load = 1.5
	inOrder, bounded := newFleet(4, true, load), newFleet(4, true, load)
	bounded.within = objective * 6 / 10
	for _, f := range []*fleet{inOrder, bounded} {
		f.run(10 * time.Second)
	}
	t.Logf("on time: %d of %d in order, %d of %d with a bound, %d sent away",
		inOrder.onTime, inOrder.asked, bounded.onTime, bounded.asked, bounded.sentAway)
	if most := float64(bounded.asked) / load; float64(bounded.onTime) < 0.8*most || bounded.onTime < 3*inOrder.onTime {
		t.Errorf("%d on time, %d in order; the engines can run %.0f", bounded.onTime, inOrder.onTime, most)
	}
	if bounded.onTime+bounded.sentAway < bounded.asked*95/100 {
		t.Errorf("%d on time and %d sent away of %d", bounded.onTime, bounded.sentAway, bounded.asked)
	}
}
