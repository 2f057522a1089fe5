package leader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

const (
	testTerm  = 1500 * time.Millisecond
	testQuiet = 3 * time.Second
	// testPromise is shorter than the term, or a holder's death would be found
	// out later than without promises.
	testPromise = 1200 * time.Millisecond
	testBeyond  = 9 * time.Second
)

func settings(name string) Settings {
	return Settings{
		Self: name, Term: testTerm, RenewInterval: 500 * time.Millisecond, DriftMargin: 300 * time.Millisecond,
		QuietPeriod: testQuiet, HolderTimeout: 700 * time.Millisecond, PromiseDuration: testPromise, MaxExtension: testBeyond,
	}
}

// table is the row of the lease with its faults.
type table struct {
	rows    map[int64]Row // by era
	version int64         // of the store
	era     int64
	late    []lateWrite
	copied  []Row // of the eras so far, as of a moment ago
	copyAt  int64
	shared  bool // the safeguard is out: all eras have one row
}

func (t *table) key(era int64) int64 {
	if t.shared {
		return 0
	}
	return era
}

func (t *table) read() Row {
	r := t.rows[t.key(t.era)]
	r.At.Era = t.era
	r.Earlier = !t.shared && t.era > 0 && (len(t.rows) > 1 || r.At.Version == 0 && len(t.rows) > 0)
	return r
}

// keep copies the rows as they are.
func (t *table) keep() {
	t.copied, t.copyAt = nil, t.version
	for era := range t.era + 1 {
		t.copied = append(t.copied, t.rows[era])
	}
}

// restore brings the copy back.
func (t *table) restore() {
	if t.copyAt == 0 {
		return
	}
	t.rows = make(map[int64]Row)
	for era, r := range t.copied {
		if r.At.Version != 0 {
			t.rows[int64(era)] = r
		}
	}
	t.version, t.era = t.copyAt, t.era+1
	t.keep()
}

type lateWrite struct {
	at   clock.Time
	step Step
}

func (t *table) write(s Step) (Result, revision.Revision) {
	era := t.key(s.Expect.Era)
	if s.Expect.Version != t.rows[era].At.Version {
		return Conflict, revision.Revision{}
	}
	t.version++
	at := revision.Revision{Era: t.era, Version: t.version}
	if t.rows == nil {
		t.rows = make(map[int64]Row)
	}
	t.rows[era] = Row{Record: s.Record, At: at}
	if !t.shared && s.Expect.Era != t.era {
		return Conflict, revision.Revision{}
	}
	return Done, at
}

// node is one instance of a play.
type node struct {
	name    string
	lease   *Lease
	offset  clock.Time // its clock against the play's
	frozen  clock.Time // until
	cut     clock.Time // from the store, until
	alone   clock.Time // from the other nodes, until
	restart int
	told    int64 // version of the row that it told last
	flight  []answer
}

// answer reaches a node later.
type answer struct {
	at      clock.Time
	deliver func(now clock.Time)
}

// play is a fleet of candidates over one row.
type play struct {
	t         *testing.T
	rng       *rand.Rand
	now       clock.Time
	table     table
	nodes     []*node
	down      clock.Time // the store, until
	lastOrder map[string]clock.Time
	orders    int
	holders   map[string]bool
	calm      bool // nothing is lost or carried out late, and messages arrive at once
	eras      bool // the store comes back from older copies
	fences    map[int64]string
	fence     int64 // the highest that an order had
	expected  bool  // breaches are, since a safeguard is out
	breaches  int
}

func (p *play) local(n *node) clock.Time { return p.now + n.offset }

func (p *play) start(n *node) {
	n.restart++
	n.lease = New(settings(n.name), uint64(p.rng.Int64()), p.local(n))
	n.flight = nil
}

// step lets one node act once, as the shell does.
func (p *play) step(n *node, rank int) {
	if p.now < n.frozen {
		return
	}
	var later []answer
	for _, a := range n.flight {
		if p.now >= a.at {
			a.deliver(p.local(n))
		} else {
			later = append(later, a)
		}
	}
	n.flight = later
	n.lease.CheckExpiry(p.local(n))
	p.act(n, n.lease.Next(p.local(n), rank))
	if n.lease.MayOrder(p.local(n)) && p.rng.IntN(4) == 0 {
		p.order(n)
	}
}

// act carries an action out, with the faults of the store.
func (p *play) act(n *node, s Step) {
	if s.Action == None {
		return
	}
	after := p.now.Add(time.Duration(5+p.rng.IntN(100)) * time.Millisecond)
	lease := n.lease
	away := p.now < n.cut || p.now < p.down
	if s.Action == Read {
		r := p.table.read()
		n.flight = append(n.flight, answer{after, func(now clock.Time) { lease.HandleRead(now, r, !away) }})
		return
	}
	result, version := Unknown, revision.Revision{}
	switch {
	case away && !p.calm && p.rng.IntN(2) == 0:
		// carried out later, if its condition still holds
		p.table.late = append(p.table.late, lateWrite{p.now.Add(time.Duration(p.rng.IntN(6000)) * time.Millisecond), s})
	case away:
	default:
		result, version = p.table.write(s)
		if !p.calm && p.rng.IntN(8) == 0 {
			result, version = Unknown, revision.Revision{} // done, and the answer lost
		}
	}
	n.flight = append(n.flight, answer{after, func(now clock.Time) { lease.HandleWrite(now, s, result, version) }})
}

// broke records that what must hold did not.
func (p *play) broke(format string, args ...any) {
	p.breaches++
	if !p.expected {
		p.t.Fatalf("at %v "+format, append([]any{time.Duration(p.now)}, args...)...)
	}
}

// order checks that no other machine gave an order within the quiet time. A
// process that was started again on its machine is the same holder to engines.
func (p *play) order(n *node) {
	id := n.name
	for other, at := range p.lastOrder {
		if other != id && p.now.Sub(at) < testQuiet {
			p.broke("%s orders, %v after %s did", id, p.now.Sub(at), other)
		}
	}
	p.lastOrder[id] = p.now
	p.holders[id] = true
	p.orders++
	fence := n.lease.Fencing()
	if by, ok := p.fences[fence]; ok && by != id {
		p.broke("%s orders with number %d, as %s did", id, fence, by)
	}
	if fence < p.fence {
		p.broke("%s orders with number %d after %d", id, fence, p.fence)
	}
	p.fences[fence], p.fence = id, fence
}

func (p *play) lateWrites() {
	var later []lateWrite
	for _, w := range p.table.late {
		if p.now >= w.at {
			p.table.write(w.step)
		} else {
			later = append(later, w)
		}
	}
	p.table.late = later
}

// drill brings the store back from a copy some seconds old, now and then.
func (p *play) drill() {
	switch p.rng.IntN(800) {
	case 0:
		p.table.keep()
	case 1:
		p.table.restore()
	}
}

// restart starts a node that is stopping again, as the platform does.
func (p *play) restart() {
	for _, n := range p.nodes {
		if n.lease.resting && p.rng.IntN(100) == 0 {
			p.start(n)
		}
	}
}

// faults strikes now and then.
func (p *play) faults() {
	n := p.nodes[p.rng.IntN(len(p.nodes))]
	until := p.now.Add(time.Duration(p.rng.IntN(6000)) * time.Millisecond)
	switch p.rng.IntN(6) {
	case 0:
		n.frozen = until
	case 1:
		n.cut = until
	case 2:
		p.down = until
	case 3:
		p.start(n)
	case 4:
		n.lease.Stop()
	case 5:
		n.alone = until
	}
}

func (p *play) run(d time.Duration, every int) {
	const tick = 10 * time.Millisecond
	for range int(d / tick) {
		p.now = p.now.Add(tick)
		p.lateWrites()
		if every > 0 && p.rng.IntN(every) == 0 {
			p.faults()
		}
		if p.eras {
			p.drill()
		}
		for i, n := range p.nodes {
			p.step(n, i)
		}
		p.hear()
		if every > 0 {
			p.restart()
		}
	}
}

// hear passes messages on: of each node some a second, and of a holder one after
// each renewal. A message takes up to 300 ms; one in eight is lost, and all of a
// node that is cut off.
func (p *play) hear() {
	for _, from := range p.nodes {
		if p.now < from.frozen {
			continue
		}
		fresh := from.lease.holding && from.lease.version != from.told
		if !fresh && p.rng.IntN(20) != 0 {
			continue
		}
		from.told = from.lease.version
		claim, holds := from.lease.Announce(p.local(from))
		echo, echoes := from.lease.Ack()
		era := from.lease.era.now
		for _, to := range p.nodes {
			if to == from || p.now < from.alone || p.now < to.alone || !p.calm && p.rng.IntN(8) == 0 {
				continue
			}
			p.deliver(from, to, func(now clock.Time, lease *Lease) {
				lease.ObserveEra(now, era)
				if holds {
					lease.HandleAnnouncement(now, claim)
				}
				if echoes {
					lease.HandleAck(from.name, echo)
				}
			})
		}
		p.setVoters(from)
	}
}

// deliver hands a message in when it arrives. The process may have been started
// again by then.
func (p *play) deliver(_, to *node, take func(now clock.Time, lease *Lease)) {
	after := p.now
	if !p.calm {
		after = after.Add(time.Duration(p.rng.IntN(300)) * time.Millisecond)
	}
	to.flight = append(to.flight, answer{after, func(now clock.Time) { take(now, to.lease) }})
}

// setVoters tells a node which others it hears.
func (p *play) setVoters(n *node) {
	var names []string
	for _, other := range p.nodes {
		if other != n && p.now >= other.frozen && p.now >= other.alone && p.now >= n.alone {
			names = append(names, other.name)
		}
	}
	n.lease.SetVoters(names)
}

func newPlay(t *testing.T, seed uint64, n int) *play {
	p := &play{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: clock.Time(time.Hour),
		lastOrder: make(map[string]clock.Time), holders: make(map[string]bool), fences: make(map[int64]string),
	}
	for i := range n {
		node := &node{name: fmt.Sprint("n", i), offset: clock.Time(p.rng.Int64N(int64(time.Hour)))}
		p.nodes = append(p.nodes, node)
		p.start(node)
	}
	return p
}

// Engines that don't check fencing numbers obey whoever orders. While instances
// freeze, restart and are cut off, the store goes away, loses answers and
// carries writes out late, no two of them order within the quiet time.
func TestOneHolderUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		p := newPlay(t, seed, 4)
		p.run(4*time.Minute, 150)
		if p.orders == 0 || len(p.holders) < 2 {
			t.Errorf("seed %d: %d orders by %d holders: the play shows nothing", seed, p.orders, len(p.holders))
		}
	}
}

// The store comes back from older copies again and again, beside all the other faults.
// Still no two order within the quiet time, no fencing number is given out twice, and none
// is lower than one before.
func TestOneHolderWhileTheStoreGoesBack(t *testing.T) {
	for seed := range uint64(60) {
		p := newPlay(t, seed, 4)
		p.eras = true
		p.run(4*time.Minute, 250)
		if p.orders == 0 || p.table.era < 3 {
			t.Errorf("seed %d: %d orders in %d eras: the play shows nothing", seed, p.orders, p.table.era)
		}
	}
}

// The store is back from a copy and fails at once for some seconds. The holder, which can't
// write the row of the new era yet, goes on by the word of the others.
func TestHolderGoesOnWhileTheStoreFailsInANewEra(t *testing.T) {
	p := newPlay(t, 2, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	p.table.keep()
	p.run(time.Second, 0)
	p.table.restore()
	for _, n := range p.nodes {
		n.lease.ObserveEra(p.local(n), p.table.era)
	}
	p.down = p.now.Add(4 * time.Second)
	holder := p.nodes[0]
	for range 80 {
		p.run(100*time.Millisecond, 0)
		if !holder.lease.MayOrder(p.local(holder)) {
			t.Fatalf("no orders %v before the store answers", p.down.Sub(p.now))
		}
	}
	if eraOf(holder.lease.Fencing()) != p.table.era {
		t.Error("the row of the new era is not written")
	}
}

// With one row for all eras, two order within the quiet time, or with one number.
func TestOneRowForAllEras(t *testing.T) {
	breaches := 0
	for seed := range uint64(20) {
		p := newPlay(t, seed, 4)
		p.eras, p.expected, p.table.shared = true, true, true
		p.run(4*time.Minute, 250)
		breaches += p.breaches
	}
	if breaches == 0 {
		t.Error("the play does not notice that the safeguard is taken out")
	}
}

// The store comes back from a copy in which the lease is older, with another holder. The
// holder goes on at once, with a higher fencing number.
func TestHolderGoesOnInANewEra(t *testing.T) {
	p := newPlay(t, 2, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	p.table.keep()
	p.nodes[0].frozen = p.now.Add(20 * time.Second)
	p.run(10*time.Second, 0)
	holder := p.nodes[1].lease
	before := holder.Fencing()
	if !holder.MayOrder(p.local(p.nodes[1])) {
		t.Fatal("the play shows nothing: no second holder")
	}
	p.table.restore()
	for range 30 {
		p.run(100*time.Millisecond, 0)
		if !holder.MayOrder(p.local(p.nodes[1])) {
			t.Fatal("the holder gives no orders after the store's return")
		}
	}
	if holder.Fencing() <= before {
		t.Errorf("fencing number %d after %d", holder.Fencing(), before)
	}
	p.run(12*time.Second, 0) // the earlier holder wakes up
	if p.nodes[0].lease.Holds(p.local(p.nodes[0])) {
		t.Error("the holder that the copy names has the right again")
	}
}

// The holder dies. Another instance gives orders after the silence, the term
// and the quiet time, and not much later.
func TestTakeoverTime(t *testing.T) {
	p := newPlay(t, 1, 3)
	p.run(5*time.Second, 0)
	if len(p.holders) != 1 {
		t.Fatalf("%d holders at the start", len(p.holders))
	}
	p.nodes[0].frozen = clock.Never
	died := p.now
	p.run(8*time.Second, 0)
	if len(p.holders) != 2 {
		t.Fatal("nobody took over")
	}
	const most = 6500 * time.Millisecond
	if p.nodes[1].lease.ordersFrom.Sub(died+p.nodes[1].offset) > most {
		t.Errorf("orders again after %v", p.nodes[1].lease.ordersFrom.Sub(died+p.nodes[1].offset))
	}
}

// The holder dies. What it told last bounds its right, so the next one does not
// watch the row for a term of its own: orders begin when the rest of the right
// and the quiet time have passed. A renewal under way at its death may have been
// carried out, and nobody was told of it; then the row has to be watched.
func TestTakeoverByWhatWasTold(t *testing.T) {
	judged := 0
	for seed := range uint64(20) {
		p := newPlay(t, seed, 3)
		p.calm = true
		p.run(5*time.Second, 0)
		p.nodes[0].frozen = clock.Never
		if p.nodes[0].lease.busy {
			continue
		}
		judged++
		died, orders := p.now, p.orders
		for p.orders == orders && p.now.Sub(died) < 10*time.Second {
			p.run(10*time.Millisecond, 0)
		}
		const most = testTerm + testQuiet + 150*time.Millisecond // a step of the play and messages under way
		if took := p.now.Sub(died); took > most {
			t.Errorf("seed %d: orders again after %v, want at most %v", seed, took, most)
		}
	}
	if judged < 10 {
		t.Errorf("%d seeds judged: the test shows little", judged)
	}
}

// The store is away, and the holder dies meanwhile. When the store is back its
// right and the quiet time are long over, so orders begin at once.
func TestHolderDiesWhileTheStoreIsAway(t *testing.T) {
	p := newPlay(t, 5, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	p.down = p.now.Add(6 * time.Second)
	p.run(time.Second, 0)
	p.nodes[0].frozen = clock.Never
	p.run(5*time.Second, 0)
	orders := p.orders
	p.run(time.Second, 0)
	if p.orders == orders {
		t.Error("no orders within a second of the store's return")
	}
}

// All processes are killed and come back. The machine of the last holder goes on
// at once; if its process had died before its quiet time was over, it waits.
func TestAllRestartAtOnce(t *testing.T) {
	p := newPlay(t, 4, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	restartAll := func() {
		for _, n := range p.nodes {
			p.start(n)
		}
	}
	holder := p.nodes[0]
	restartAll()
	p.run(time.Second, 0)
	if !holder.lease.MayOrder(p.local(holder)) {
		t.Error("no orders a second after all were started again")
	}
	holder.frozen = p.now.Add(3 * time.Second)
	p.run(4*time.Second, 0)
	next := p.nodes[1]
	if !next.lease.Holds(p.local(next)) || next.lease.MayOrder(p.local(next)) {
		t.Fatalf("the play shows nothing: the next holder is not in its quiet time: %+v, orders in %v", p.table.read().Record, next.lease.ordersFrom.Sub(p.local(next)))
	}
	restartAll()
	p.run(time.Second, 0)
	if next.lease.MayOrder(p.local(next)) {
		t.Error("orders in the quiet time after the process was started again")
	}
	p.run(8*time.Second, 0)
}

// A planned stop and start of the holder's machine, 0.6 s apart. The process that
// is started gives orders at once: nobody else did meanwhile.
func TestPlannedRestart(t *testing.T) {
	for seed := range uint64(20) {
		p := newPlay(t, seed, 4)
		p.calm = true
		p.run(5*time.Second, 0)
		holder := p.nodes[0]
		holder.lease.Stop()
		for _, n := range p.nodes[1:] {
			n.lease.HandleHolderStopping(p.local(n))
		}
		p.run(600*time.Millisecond, 0)
		p.start(holder)
		p.run(400*time.Millisecond, 0)
		if !holder.lease.MayOrder(p.local(holder)) {
			t.Errorf("seed %d: no orders 0.4 s after the start: row %+v", seed, p.table.read().Record)
		}
	}
}

// A planned stop of the holder's machine for good. The others take over when
// their promise is over, and order after the quiet time.
func TestPlannedStopForGood(t *testing.T) {
	p := newPlay(t, 3, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	p.nodes[0].lease.Stop()
	for _, n := range p.nodes[1:] {
		n.lease.HandleHolderStopping(p.local(n))
	}
	stopped, orders := p.now, p.orders
	for p.orders == orders && p.now.Sub(stopped) < 10*time.Second {
		p.run(10*time.Millisecond, 0)
	}
	const most = testTerm + testQuiet + 200*time.Millisecond
	if took := p.now.Sub(stopped); took < testQuiet || took > most {
		t.Errorf("orders after %v, want the quiet time and at most %v", took, most)
	}
	if l := p.nodes[0].lease; l.Holds(p.local(p.nodes[0])) || l.Next(p.local(p.nodes[0]), 0).Action != None {
		t.Error("the one that stops wants the lease again")
	}
}
