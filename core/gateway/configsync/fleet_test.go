package configsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// fleet simulates 195 instances in five zones, in virtual time: heartbeats every 1.6 s,
// announcements of watchers, fetches over links of 20 to 200 Mbit/s that all transfers
// from a source share, and a store that answers within 10 ms.
type fleet struct {
	random     *rand.Rand
	now        clock.Time
	version    uint64  // in the store
	size       float64 // of a version, in bytes
	nodes      []*node
	zones      map[string][]*node
	inTransit  []message
	maxFetches int // largest number of concurrent fetches from one source
}

type node struct {
	name, zone     string
	strength       int // bandwidth in Mbit/s; also the preference as a watcher
	sync           *Sync
	version        uint64
	versionAt      clock.Time // when it got its version
	down           bool       // killed or frozen
	storeHangs     bool       // calls to the store are never answered
	nextHeartbeat  clock.Time
	watching       bool       // a call waits for changes at the store
	calledAt       clock.Time // start of that call
	waitUntil      clock.Time // end of a Wait step
	watchCheckedAt clock.Time // last check whether to watch the store
	transfer       *transfer
	lastHeard      map[string]clock.Time
}

type transfer struct {
	from      *node
	version   uint64
	bytesLeft float64
	startedAt clock.Time
}

type message struct {
	at           clock.Time
	to           *node
	from         *node
	version      uint64
	announcement bool
}

const (
	tick              = 10 * time.Millisecond
	heartbeatInterval = 1600 * time.Millisecond
	watchTimeout      = 4 * time.Second
	fetchTimeout      = time.Second
	// watchCheckInterval is the time between two checks whether to watch the store.
	watchCheckInterval = 200 * time.Millisecond
)

func newFleet(seed uint64, size float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), version: 1, size: size, now: clock.Time(time.Minute),
		zones: make(map[string][]*node),
	}
	for i := range 195 {
		n := &node{
			name: fmt.Sprintf("%c-%02d", 'a'+i/39, i%39), zone: string(rune('a' + i/39)), strength: 20 + f.random.IntN(180),
			version: 1, lastHeard: make(map[string]clock.Time),
		}
		n.sync = New(f.now, n.name, n.zone)
		n.sync.SetApplied(1)
		n.nextHeartbeat = f.now.Add(time.Duration(f.random.Int64N(int64(heartbeatInterval))))
		f.nodes = append(f.nodes, n)
		f.zones[n.zone] = append(f.zones[n.zone], n)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.deliver()
		for _, n := range f.nodes {
			if !n.down {
				f.tickNode(n)
			}
		}
		f.transferTick()
	}
}

func (f *fleet) deliver() {
	var later []message
	for _, m := range f.inTransit {
		if f.now.Before(m.at) {
			later = append(later, m)
			continue
		}
		if m.to.down {
			continue
		}
		m.to.lastHeard[m.from.name] = f.now
		if m.announcement {
			m.to.sync.HandleAnnouncement(f.now, m.from.name, m.from.zone, m.version)
		} else {
			m.to.sync.ObserveVersion(f.now, m.from.name, m.from.zone, m.version)
		}
	}
	f.inTransit = later
}

func (f *fleet) send(n *node, announcement bool) {
	for _, o := range f.nodes {
		if o != n && (!announcement || o.zone == n.zone) && f.random.IntN(50) > 0 {
			f.inTransit = append(f.inTransit, message{at: f.now.Add(tick), to: o, from: n, version: n.version, announcement: announcement})
		}
	}
}

func (f *fleet) peers(n *node) []Peer {
	var peers []Peer
	for _, o := range f.zones[n.zone] {
		if at, ok := n.lastHeard[o.name]; o != n && ok && f.now.Sub(at) <= 2*heartbeatInterval+tick {
			peers = append(peers, Peer{
				Name: o.name, ReachesStore: true,
				Preferred: o.strength > n.strength || o.strength == n.strength && o.name < n.name,
			})
		}
	}
	return peers
}

func (f *fleet) tickNode(n *node) {
	f.watch(n)
	if n.sync.AnnouncementDue(f.now, watchTimeout+600*time.Millisecond) && n.watching {
		f.send(n, true)
	}
	if f.now.Reached(n.nextHeartbeat) {
		f.send(n, false)
		n.nextHeartbeat = f.now.Add(heartbeatInterval)
	}
	if !n.sync.Behind() || n.transfer != nil || f.now.Before(n.waitUntil) {
		return
	}
	switch s := n.sync.Next(f.now); s.Kind {
	case Wait:
		n.waitUntil = s.Until
	case ReadStore:
		if !n.storeHangs {
			f.apply(n, f.version)
		}
	case Fetch:
		n.transfer = &transfer{from: f.node(s.From), bytesLeft: f.size, startedAt: f.now}
		n.transfer.version = n.transfer.from.version
	}
}

// watch simulates the call of a watcher that waits for changes at the store.
func (f *fleet) watch(n *node) {
	if f.now.Sub(n.watchCheckedAt) >= watchCheckInterval {
		n.watchCheckedAt = f.now
		watches := n.sync.ShouldWatch(f.now, f.peers(n))
		if watches && !n.watching {
			n.calledAt = f.now
		}
		n.watching = watches
	}
	if !n.watching {
		return
	}
	if n.storeHangs {
		return
	}
	if f.version > n.version {
		f.apply(n, f.version)
		f.send(n, true)
	}
	if n.calledAt == f.now || f.now.Sub(n.calledAt) >= watchTimeout {
		n.sync.RecordStoreResponse(f.now)
		n.calledAt = f.now.Add(-tick)
	}
}

func (f *fleet) apply(n *node, version uint64) {
	if version > n.version {
		n.version, n.versionAt = version, f.now
		n.sync.SetApplied(version)
	}
}

// transferTick advances the transfers. Those from one source share its link.
func (f *fleet) transferTick() {
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
		f.maxFetches = max(f.maxFetches, load[t.from])
		if !t.from.down {
			t.bytesLeft -= float64(t.from.strength) * 125e3 * tick.Seconds() / float64(load[t.from])
		}
		switch {
		case t.bytesLeft <= 0:
			f.apply(n, t.version)
			n.transfer = nil
		case f.now.Sub(t.startedAt) > fetchTimeout:
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

// watchers returns the live instances that watch the store.
func (f *fleet) watchers() (all []*node) {
	for _, n := range f.nodes {
		if n.watching && !n.down {
			all = append(all, n)
		}
	}
	return all
}

// publish creates a new version and returns how long the slowest live instance took to get
// it.
func (f *fleet) publish(t *testing.T, allowed time.Duration) time.Duration {
	t.Helper()
	f.version++
	at := f.now
	f.run(allowed)
	slowest := time.Duration(0)
	for _, n := range f.nodes {
		if n.down {
			continue
		}
		if n.version != f.version {
			t.Errorf("%s has version %d of %d after %v", n.name, n.version, f.version, allowed)
			return allowed
		}
		slowest = max(slowest, n.versionAt.Sub(at))
	}
	return slowest
}

// A version reaches all instances in time, both at 60 KB, its compressed size between
// instances, and at 500 KB. The instances must not all fetch from the same source.
func TestVersionReachesAll(t *testing.T) {
	for _, size := range []float64{60e3, 500e3} {
		f := newFleet(1, size)
		f.run(5 * time.Second)
		if n := len(f.watchers()); n != 5*WatchersPerZone {
			t.Errorf("%d instances watch the store", n)
		}
		slowest := f.publish(t, 3*time.Second)
		t.Logf("%.0f KB: slowest %v, at most %d fetches from one source", size/1e3, slowest, f.maxFetches)
		if f.maxFetches > 39 {
			t.Errorf("%d fetches at once from one source", f.maxFetches)
		}
	}
}

// The watchers of all zones fail at the moment at which a version is accepted: they are
// killed, or the store does not answer their calls. All other instances must use the
// version within the guaranteed four seconds.
func TestVersionReachesAllWithoutWatchers(t *testing.T) {
	for seed := range uint64(4) {
		for _, how := range []string{"killed", "hanging"} {
			f := newFleet(seed, 60e3)
			f.run(5 * time.Second)
			for _, n := range f.watchers() {
				n.down, n.storeHangs = how == "killed", how == "hanging"
			}
			allowed := 4 * time.Second
			if how == "hanging" {
				allowed += watchTimeout // until the call counts as lost
			}
			slowest := f.publish(t, allowed)
			t.Logf("%s, seed %d: slowest %v", how, seed, slowest)
		}
	}
}

// Only the watchers of one zone fail. The zone learns of the version from other zones and
// gets it before the watchers are replaced.
func TestVersionReachesZoneWithoutWatchers(t *testing.T) {
	f := newFleet(3, 60e3)
	f.run(5 * time.Second)
	for _, n := range f.watchers() {
		n.down = n.zone == "c"
	}
	if slowest := f.publish(t, 3*time.Second); slowest > 2*time.Second {
		t.Errorf("slowest %v", slowest)
	}
}

// After failed watchers were replaced, a zone has two watchers again and not all candidates.
func TestLostWatchersAreReplaced(t *testing.T) {
	f := newFleet(4, 60e3)
	f.run(5 * time.Second)
	for _, n := range f.watchers() {
		n.down = true
	}
	f.run(8 * time.Second)
	if n := len(f.watchers()); n != 5*WatchersPerZone {
		t.Errorf("%d instances watch the store", n)
	}
}

// A failed source is not retried: the next fetch goes to another source, then to the store.
func TestFailedSourceIsNotRetried(t *testing.T) {
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

// watchersOf returns which of n instances of a zone watch the store while it rejects the
// calls of some of them. Lower indexes are preferred.
func watchersOf(n int, rejected ...int) []int {
	var watching []int
	for self := range n {
		var peers []Peer
		for o := range n {
			if o != self {
				peers = append(peers, Peer{Name: fmt.Sprint(o), Preferred: o < self, ReachesStore: !slices.Contains(rejected, o)})
			}
		}
		if New(0, fmt.Sprint(self), "a").ShouldWatch(clock.Time(time.Second), peers) {
			watching = append(watching, self)
		}
	}
	return watching
}

// Two instances of a zone watch the store; others replace them while the store rejects
// their calls. In a small zone all instances watch.
func TestWatchersWhileStoreRejectsSome(t *testing.T) {
	if got := watchersOf(21); !slices.Equal(got, []int{0, 1}) {
		t.Errorf("watching %v", got)
	}
	if got := watchersOf(21, 0, 1); !slices.Equal(got, []int{0, 1, 2, 3}) {
		t.Errorf("watching %v while two are rejected", got)
	}
	if got := watchersOf(3); len(got) != 3 {
		t.Errorf("watching %v in a zone of three", got)
	}
}
