package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// fleet plays 195 instances in five zones in virtual time: heartbeats 1.6 s
// apart, words of watchers, fetches over links of 20 to 200 Mbit/s that all
// transfers of a source share, and a store that answers within 10 ms.
type fleet struct {
	random  *rand.Rand
	now     clock.Time
	version uint64 // of the store
	size    float64
	nodes   []*node
	zones   map[string][]*node
	wire    []message
	most    int // fetches from one source at once
}

type node struct {
	name, zone string
	strength   int
	sync       *Sync
	have       uint64
	haveAt     clock.Time
	down       bool // killed or frozen
	held       bool // its calls to the store are never answered
	nextBeat   clock.Time
	watching   bool // a call waits at the store
	calledAt   clock.Time
	until      clock.Time // of the step under way
	looked     clock.Time // whether to wait at the store
	transfer   *transfer
	heard      map[string]clock.Time
}

type transfer struct {
	from    *node
	version uint64
	left    float64
	began   clock.Time
}

type message struct {
	at      clock.Time
	to      *node
	from    *node
	version uint64
	word    bool
}

const (
	step       = 10 * time.Millisecond
	beat       = 1600 * time.Millisecond
	watchWait  = 4 * time.Second
	fetchLimit = time.Second
	// watcherPause is the time between two looks whether to wait at the store.
	watcherPause = 200 * time.Millisecond
)

func newFleet(seed uint64, size float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), version: 1, size: size, now: clock.Time(time.Minute),
		zones: make(map[string][]*node),
	}
	for i := range 195 {
		n := &node{
			name: fmt.Sprintf("%c-%02d", 'a'+i/39, i%39), zone: string(rune('a' + i/39)), strength: 20 + f.random.IntN(180),
			have: 1, heard: make(map[string]clock.Time),
		}
		n.sync = New(f.now, n.name, n.zone)
		n.sync.SetApplied(1)
		n.nextBeat = f.now.Add(time.Duration(f.random.Int64N(int64(beat))))
		f.nodes = append(f.nodes, n)
		f.zones[n.zone] = append(f.zones[n.zone], n)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		for _, n := range f.nodes {
			if !n.down {
				f.act(n)
			}
		}
		f.move()
	}
}

func (f *fleet) deliver() {
	var later []message
	for _, m := range f.wire {
		if f.now.Before(m.at) {
			later = append(later, m)
			continue
		}
		if m.to.down {
			continue
		}
		m.to.heard[m.from.name] = f.now
		if m.word {
			m.to.sync.HandleAnnouncement(f.now, m.from.name, m.from.zone, m.version)
		} else {
			m.to.sync.ObserveVersion(f.now, m.from.name, m.from.zone, m.version)
		}
	}
	f.wire = later
}

func (f *fleet) tell(n *node, word bool) {
	for _, o := range f.nodes {
		if o != n && (!word || o.zone == n.zone) && f.random.IntN(50) > 0 {
			f.wire = append(f.wire, message{at: f.now.Add(step), to: o, from: n, version: n.have, word: word})
		}
	}
}

func (f *fleet) peers(n *node) []Peer {
	var peers []Peer
	for _, o := range f.zones[n.zone] {
		if at, ok := n.heard[o.name]; o != n && ok && f.now.Sub(at) <= 2*beat+step {
			peers = append(peers, Peer{
				Name: o.name, ReachesStore: true,
				Preferred: o.strength > n.strength || o.strength == n.strength && o.name < n.name,
			})
		}
	}
	return peers
}

func (f *fleet) act(n *node) {
	f.watch(n)
	if n.sync.AnnouncementDue(f.now, watchWait+600*time.Millisecond) && n.watching {
		f.tell(n, true)
	}
	if f.now.Reached(n.nextBeat) {
		f.tell(n, false)
		n.nextBeat = f.now.Add(beat)
	}
	if !n.sync.Behind() || n.transfer != nil || f.now.Before(n.until) {
		return
	}
	switch s := n.sync.Next(f.now); s.Kind {
	case Wait:
		n.until = s.Until
	case ReadStore:
		if !n.held {
			f.adopt(n, f.version)
		}
	case Fetch:
		n.transfer = &transfer{from: f.node(s.From), left: f.size, began: f.now}
		n.transfer.version = n.transfer.from.have
	}
}

// watch is the call of a watcher that waits at the store.
func (f *fleet) watch(n *node) {
	if f.now.Sub(n.looked) >= watcherPause {
		n.looked = f.now
		watches := n.sync.ShouldWatch(f.now, f.peers(n))
		if watches && !n.watching {
			n.calledAt = f.now
		}
		n.watching = watches
	}
	if !n.watching {
		return
	}
	if n.held {
		return
	}
	if f.version > n.have {
		f.adopt(n, f.version)
		f.tell(n, true)
	}
	if n.calledAt == f.now || f.now.Sub(n.calledAt) >= watchWait {
		n.sync.RecordStoreResponse(f.now)
		n.calledAt = f.now.Add(-step)
	}
}

func (f *fleet) adopt(n *node, version uint64) {
	if version > n.have {
		n.have, n.haveAt = version, f.now
		n.sync.SetApplied(version)
	}
}

// move goes on with the transfers: those from one source share its link.
func (f *fleet) move() {
	load := make(map[*node]int)
	for _, n := range f.nodes {
		if n.transfer != nil && !n.down {
			load[n.transfer.from]++
		}
	}
	for _, n := range f.nodes {
		t := n.transfer
		if t == nil || n.down {
			continue
		}
		f.most = max(f.most, load[t.from])
		if !t.from.down {
			t.left -= float64(t.from.strength) * 125e3 * step.Seconds() / float64(load[t.from])
		}
		switch {
		case t.left <= 0:
			f.adopt(n, t.version)
			n.transfer = nil
		case f.now.Sub(t.began) > fetchLimit:
			n.sync.FetchFailed()
			n.transfer = nil
		}
	}
}

func (f *fleet) node(name string) *node {
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// watchers returns the instances whose call waits at the store.
func (f *fleet) watchers() (all []*node) {
	for _, n := range f.nodes {
		if n.watching && !n.down {
			all = append(all, n)
		}
	}
	return all
}

// change makes a new version and returns how long the slowest live instance was
// without it.
func (f *fleet) change(t *testing.T, allowed time.Duration) time.Duration {
	t.Helper()
	f.version++
	at := f.now
	f.run(allowed)
	slowest := time.Duration(0)
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if n.have != f.version {
			t.Errorf("%s has version %d of %d after %v", n.name, n.have, f.version, allowed)
			return allowed
		}
		slowest = max(slowest, n.haveAt.Sub(at))
	}
	return slowest
}

// A version of 60 KB, as it goes compressed between instances, and one of 500 KB.
// No instance waits for a source that all others use too.
func TestVersionReachesAll(t *testing.T) {
	for _, size := range []float64{60e3, 500e3} {
		f := newFleet(1, size)
		f.run(5 * time.Second)
		if n := len(f.watchers()); n != 5*WatchersPerZone {
			t.Errorf("%d instances wait at the store", n)
		}
		slowest := f.change(t, 3*time.Second)
		t.Logf("%.0f KB: slowest %v, at most %d fetches from one source", size/1e3, slowest, f.most)
		if f.most > 39 {
			t.Errorf("%d fetches at once from one source", f.most)
		}
	}
}

// The watchers of all zones are lost in the moment in which a version is
// accepted: killed, frozen, or their calls held by a store that answers others.
// Callers of new routes get an answer from every other instance within the four
// seconds in which a version is promised to be in force.
func TestWatchersAreLost(t *testing.T) {
	for seed := range uint64(4) {
		for _, how := range []string{"killed", "held"} {
			f := newFleet(seed, 60e3)
			f.run(5 * time.Second)
			for _, n := range f.watchers() {
				n.down, n.held = how == "killed", how == "held"
			}
			allowed := 4 * time.Second
			if how == "held" {
				allowed += watchWait // until the silent call is missed
			}
			slowest := f.change(t, allowed)
			t.Logf("%s, seed %d: slowest %v", how, seed, slowest)
		}
	}
}

// Only the watchers of one zone are lost. The zone hears of the version from
// others at once, and has it long before somebody takes their place.
func TestOneZoneWithoutWatchers(t *testing.T) {
	f := newFleet(3, 60e3)
	f.run(5 * time.Second)
	for _, n := range f.watchers() {
		n.down = n.zone == "c"
	}
	if slowest := f.change(t, 3*time.Second); slowest > 2*time.Second {
		t.Errorf("slowest %v", slowest)
	}
}

// After watchers were replaced the zone has two again, not all that took over.
func TestWatchersSettle(t *testing.T) {
	f := newFleet(4, 60e3)
	f.run(5 * time.Second)
	for _, n := range f.watchers() {
		n.down = true
	}
	f.run(8 * time.Second)
	if n := len(f.watchers()); n != 5*WatchersPerZone {
		t.Errorf("%d instances wait at the store", n)
	}
}

// A source that fails is not asked again; the next is another one, then the store.
func TestFailedSourceIsNotAskedAgain(t *testing.T) {
	s := New(0, "self", "a")
	s.SetApplied(1)
	at := clock.Time(time.Second)
	s.ObserveVersion(at, "near", "a", 2)
	s.ObserveVersion(at, "far", "b", 2)
	if got := s.Next(at); got.Kind != Wait || got.Until != at.Add(sameZoneDelay) {
		t.Errorf("first %+v", got)
	}
	at = at.Add(sameZoneDelay)
	if got := s.Next(at); got.From != "near" {
		t.Errorf("then %+v", got)
	}
	s.FetchFailed()
	at = at.Add(otherZoneDelay)
	if got := s.Next(at); got.From != "far" {
		t.Errorf("then %+v", got)
	}
	s.FetchFailed()
	if got := s.Next(at); got.Kind != ReadStore {
		t.Errorf("then %+v", got)
	}
	if got := s.Next(at); got.Kind != Wait || got.Until != at.Add(storeRetryInterval) {
		t.Errorf("then %+v", got)
	}
	s.SetApplied(2)
	if s.Behind() {
		t.Error("still behind")
	}
}

// watchingOf returns which of n instances of a zone, the first the strongest, wait
// at the store while it turns some of them away.
func watchingOf(n int, turnedAway ...int) []int {
	var watching []int
	for self := range n {
		var peers []Peer
		for o := range n {
			if o != self {
				peers = append(peers, Peer{Name: fmt.Sprint(o), Preferred: o < self, ReachesStore: !slices.Contains(turnedAway, o)})
			}
		}
		if New(0, fmt.Sprint(self), "a").ShouldWatch(clock.Time(time.Second), peers) {
			watching = append(watching, self)
		}
	}
	return watching
}

// Two of a zone wait for changes at the store, and others in their place when the
// store turns them away. In a small zone all wait.
func TestWatchers(t *testing.T) {
	if got := watchingOf(21); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("watching %v", got)
	}
	if got := watchingOf(21, 0, 1); !slices.Equal(got, []int{0, 1, 2, 3}) {
		t.Errorf("watching %v while two are turned away", got)
	}
	if got := watchingOf(3); len(got) != 3 {
		t.Errorf("in a small zone only %v watch", got)
	}
}
