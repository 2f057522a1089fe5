package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/lapse"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// A key is withdrawn. Requests with it are refused as soon as the version is in
// force, and an older version that comes late does not bring it back.
func TestKeyWithdrawn(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	url := f.start()
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	without := manifest.New(3, manifest.Limits{})
	without.Accounts["account"] = &manifest.Account{Name: "account"}
	without.AddRoute(&manifest.Route{Host: testHost, Prefix: "/order/", Timeout: time.Second, Targets: []manifest.Target{{Group: "plain", Weight: 1}}})
	f.store.SetManifest(without)
	testutil.WaitFor(t, func() bool { return f.ask(http.MethodPost, url+"/order/").status == http.StatusUnauthorized })
	f.store.SetManifest(config(2))
	time.Sleep(200 * time.Millisecond)
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusUnauthorized {
		t.Errorf("status %d after an older version came", got.status)
	}
}

// An instance can't reach the store when the configuration changes. It takes
// the version from another instance.
func TestConfigFromAnotherInstance(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.start()
	url := f.start()
	g := f.gateways[1]
	testutil.WaitFor(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		m := g.members.Get("g0")
		return m != nil && m.Incarnation != 0
	})
	f.store.Fail(1, portstest.Silent)
	f.store.SetManifest(config(2))
	testutil.WaitFor(t, func() bool { return g.manifest.Load().Version == 2 })
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}

// inForceWithin is when a version must be in force at the latest.
const maxConfigDelay = 2 * time.Second

// The store goes silent for all while they wait for changes, and the operator
// writes a new version. The calls that were held are never answered, though the
// store is back. They are made anew, and the version is in force soon after.
func TestConfigAfterASilentStore(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() })
	for i := range f.gateways {
		f.store.Fail(i, portstest.Silent)
	}
	f.store.SetManifest(config(2))
	time.Sleep(leaseTerm)
	for i := range f.gateways {
		f.store.Fail(i, portstest.None)
	}
	for end := time.Now().Add(maxConfigDelay); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.gateways[0].manifest.Load().Version == 2 && f.gateways[1].manifest.Load().Version == 2 {
			return
		}
	}
	t.Error("the version is not in force")
}

// A server leaves: the next request goes elsewhere, and an entry from before
// does not bring it back.
func TestLeavingServerGetsNothing(t *testing.T) {
	f := newFixture(t, config(1))
	a, b := f.backend("a", "plain", ok), f.backend("b", "plain", ok)
	url := f.start()
	e := f.store.Server("a")
	e.Draining = true
	f.store.PutServer(e)
	g := f.gateways[0]
	testutil.WaitFor(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.servers.Get("a")
		return s != nil && s.Draining
	})
	before := a.requests()
	e.Draining = false
	f.store.PutServer(e)
	for range 6 {
		f.ask(http.MethodPost, url+"/order/")
	}
	if a.requests() != before || b.requests() < 6 {
		t.Errorf("the leaving server got %d requests", a.requests()-before)
	}
}

// The store is silent to the instance that gives orders, and serves the others.
// It keeps the lease through one of them; the others notice that it does not see
// the servers, and follow these themselves.
func TestHolderCutFromTheStoreKeepsTheLease(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	holder := f.gateways[0]
	holds := func(g *Gateway) bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.fleetLease.Holds(boottime.Now())
	}
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() && holds(holder) })
	f.store.Fail(0, portstest.Silent)
	for end := time.Now().Add(3 * leaseTerm); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !holds(holder) {
			t.Fatal("the lease was lost")
		}
	}
	if f.gateways[1].reliesOnHolder() {
		t.Error("the other instance relies on one that does not see the servers")
	}
}

// The store turns the holder of the lease away. One server leaves and another is
// gone, which only the other instance sees. It tells the holder, which would else
// go on taking what these hold for loaded.
func TestHolderIsToldWhoLeft(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", ok, "warm")
	f.backend("b", "llm", ok, "warm")
	f.startHolder()
	f.start()
	holder := f.gateways[0]
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() })
	f.store.Fail(0, portstest.Unavailable)
	testutil.WaitFor(t, func() bool {
		holder.mu.Lock()
		defer holder.mu.Unlock()
		return holder.storeUnreachable(boottime.Now())
	})
	e := f.store.Server("a")
	e.Draining = true
	f.store.PutServer(e)
	f.store.RemoveServer("b")
	testutil.WaitFor(t, func() bool {
		holder.mu.Lock()
		defer holder.mu.Unlock()
		a, b := holder.servers.Get("a"), holder.servers.Get("b")
		return a != nil && a.Draining && b == nil
	})
}

// The store turns only the holder of the lease away, and serves it again. A server
// that leaves just then is known to have left everywhere in time: its entry is not
// taken for one that lapsed, since the store never was away.
func TestServerLeavesAfterTheHolderWasCutOff(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("b", "plain", ok)
	f.startHolder()
	f.start()
	holder, other := f.gateways[0], f.gateways[1]
	testutil.WaitFor(t, other.reliesOnHolder)
	f.store.Fail(0, portstest.Unavailable)
	testutil.WaitFor(t, holder.hasStaleServers)
	time.Sleep(holderOutage)
	f.store.Fail(0, portstest.None)
	testutil.WaitFor(t, func() bool { return !holder.hasStaleServers() && other.reliesOnHolder() })
	calls := other.storeCalls("servers")
	f.store.PutServer(f.store.Server("a")) // ends the call for changes of the other, which rests then
	testutil.WaitFor(t, func() bool { return other.storeCalls("servers") > calls })
	f.store.RemoveServer("b")
	removed := time.Now()
	testutil.WaitFor(t, func() bool { return !holder.knowsServer("b") && !other.knowsServer("b") })
	if late := time.Since(removed); late > holder.settings.MaxDrainDelay {
		t.Errorf("known after %v, and within %v is asked", late, holder.settings.MaxDrainDelay)
	}
}

// cutFor is several renewals of the lease.
const holderOutage = 1500 * time.Millisecond

// isBlind reports whether an instance does not see servers come and leave.
func (g *Gateway) hasStaleServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serversStale(boottime.Now())
}

// knowsServer reports whether an instance takes a server for one that is there.
func (g *Gateway) knowsServer(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers.Get(id) != nil
}

// A server leaves while the holder of the lease is cut off from the store and
// still tells of it. It does not come back to those that saw it leave, and gets
// no request; a new life of it, seen in the store, counts.
func TestHolderDoesNotBringAServerBack(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("b", "plain", ok)
	f.start()
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	info := &infoMsg{Address: "127.0.0.1:1", Zone: "z", Group: "plain", Slots: 4}
	told := &stateMsg{Name: "other", Fencing: 99, Servers: []serverMsg{{Server: "a", Incarnation: 1, Info: info}}}
	g.removeServer(now, "a", g.serversRevision)
	g.handleState(now, told)
	if g.servers.Get("a") != nil {
		t.Error("a server that left is back")
	}
	g.putServer(now, directory.Entry{ID: "a", Group: "plain", Born: 2})
	g.handleState(now, told)
	if s := g.servers.Get("a"); s == nil || s.Born != 2 {
		t.Errorf("the new life: %+v", s)
	}
	g.storeFailedAt = now
	if m := g.serverMessage(now, g.servers.Get("b")); m.Info != nil {
		t.Error("an instance without the store tells who is there")
	}
}

// Entries lapse in a long outage, and all take the servers for gone. They come back, and
// the holder reads so: for a minute the others took no word of them, since they had seen
// them leave, and what the holder had said of their leaving took them away from those that
// read the store themselves.
func TestServerThatCameBackIsTaken(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	entry := g.servers.Get("a").Entry
	info := infoMsg{Address: entry.Address, Zone: "z", Group: "plain", Slots: 4, Version: entry.At.Version}
	told := func(version int64) *stateMsg {
		i := info
		i.Version = version
		return &stateMsg{Name: "other", Fencing: 99, Servers: []serverMsg{{Server: "a", Incarnation: entry.Born, Info: &i}}}
	}
	gone := &stateMsg{Name: "other", Fencing: 99, Gone: []goneMsg{{Server: "a", Version: entry.At.Version + 10}}}
	g.handleState(now, gone)
	g.handleState(now, told(entry.At.Version+9))
	if g.servers.Get("a") != nil {
		t.Fatal("there by a word that is older than its leaving")
	}
	g.handleState(now, told(entry.At.Version+11))
	if g.servers.Get("a") == nil {
		t.Fatal("a server that came back is not taken")
	}
	g.handleState(now, gone)
	if g.servers.Get("a") == nil {
		t.Fatal("gone by a word that is older than its return")
	}
	leaving := told(entry.At.Version + 11)
	leaving.Servers[0].Info.Leaving = true
	g.handleState(now, leaving)
	if !g.servers.Get("a").Draining {
		t.Error("its leaving is not taken")
	}
	g.removeServer(now, "a", g.servers.Get("a").At)
	if len(g.publisher.gone) != 1 {
		t.Fatal("the test shows nothing: its leaving is not told")
	}
	entry.At.Version += 12
	g.putServer(now, entry)
	if len(g.publisher.gone) != 0 {
		t.Error("told as gone after its return")
	}
}

// One instance gives orders and tells the others of the backend servers. Those
// rest: each call to the store is paid for, and nine instances that follow every
// swap made two thirds of all calls.
func TestOnlyTheHolderFollowsTheServers(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	rests := func() int {
		n := 0
		for _, g := range f.gateways {
			if g.reliesOnHolder() {
				n++
			}
		}
		return n
	}
	testutil.WaitFor(t, func() bool { return rests() == 1 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if rests() != 1 {
			t.Fatalf("%d of two instances rest", rests())
		}
	}
}

// A server is gone, and the holder that saw it ends before it told the others. The
// next life of the holder, which is back before anybody missed it, never knew the
// server. The others rest, since they hear a holder; they have to read the servers
// once under each holder, or they go on sending to one that has left.
func TestServersAreReadUnderEachHolder(t *testing.T) {
	f := newFixture(t, config(1))
	f.wrapStore = func(s ports.Store) ports.Store { return leaselessStore{s} }
	f.backend("a", "plain", ok)
	f.backend("b", "plain", ok)
	f.start()
	g := f.gateways[0]
	var fencing atomic.Int64
	fencing.Store(1)
	done := make(chan struct{})
	go func() { // the holder, as it is heard
		for {
			g.handlePacket(packet{Heartbeat: &heartbeatMsg{Name: "h", Address: "127.0.0.1:9", Announcement: &announcementMsg{Fencing: fencing.Load(), Sequence: 1, RemainingMS: 1000}}})
			g.handlePacket(packet{State: &stateMsg{Name: "h", Fencing: fencing.Load()}})
			select {
			case <-done:
				return
			case <-time.After(baseHeartbeatInterval):
			}
		}
	}()
	t.Cleanup(func() { close(done) })
	testutil.WaitFor(t, g.reliesOnHolder)
	time.Sleep(2 * maxWatchPause) // the last call for changes has ended
	f.store.RemoveServer("b")
	time.Sleep(maxWatchPause)
	if !g.knowsServer("b") {
		t.Fatal("the test shows nothing: the instance follows the store though it hears a holder")
	}
	fencing.Store(2)
	testutil.WaitFor(t, func() bool { return !g.knowsServer("b") })
	if !g.knowsServer("a") {
		t.Error("the other server is gone too")
	}
}

// outage is longer than an entry takes to lapse.
const storeOutage = 4 * time.Second

// Entries are missing just after the store was away: their servers stay until
// they had time to come back. In quiet times a missing entry is a server gone.
func TestMissingEntries(t *testing.T) {
	f, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	down := boottime.Now().Add(time.Hour)
	g.lapse.Failed(down)
	now := down.Add(storeOutage)
	g.lapse.Answered(now)
	g.handleMissingEntry(now, "a", g.serversRevision)
	if g.servers.Get("a") == nil {
		t.Fatal("dropped at once although the store was away")
	}
	if !strings.Contains(f.log.String(), "servers: entry missing after a store outage, kept for now") {
		t.Error("no line says that the server is kept")
	}
	g.putServer(now, directory.Entry{ID: "a", Group: "plain", Born: 1})
	g.removeLapsed(now.Add(2 * lapse.Grace))
	if g.servers.Get("a") == nil {
		t.Fatal("dropped although its entry came back")
	}
	g.handleMissingEntry(now, "a", g.serversRevision)
	g.removeLapsed(now.Add(2 * lapse.Grace))
	if g.servers.Get("a") != nil {
		t.Error("still there after its time to come back")
	}
}

// The store was away, and is back. An entry that goes within two seconds of its return
// may come back; the server of one that goes later has left, and gets no request more.
func TestEntryRemovedAfterTheStoreIsBack(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	down := boottime.Now().Add(time.Hour)
	back := down.Add(storeOutage)
	g.lapse.Failed(down)
	g.lapse.Answered(back)
	g.handleMissingEntry(back.Add(lapse.Grace-300*time.Millisecond), "a", g.serversRevision)
	if g.servers.Get("a") == nil {
		t.Fatal("dropped at once although the store was away a moment ago")
	}
	g.handleMissingEntry(back.Add(lapse.Grace+200*time.Millisecond), "a", g.serversRevision)
	if g.servers.Get("a") != nil {
		t.Error("still there")
	}
}

// One call to the store is lost, the next one is answered. Neither right after it nor
// two and a half seconds later is a removed entry taken for one that lapsed.
func TestEntryRemovedAfterOneLostCall(t *testing.T) {
	for _, later := range []time.Duration{0, 2500 * time.Millisecond} {
		_, g := single(t)
		g.mu.Lock()
		down := boottime.Now().Add(time.Hour)
		back := down.Add(300 * time.Millisecond)
		g.lapse.Failed(down)
		g.lapse.Answered(back)
		g.handleMissingEntry(back.Add(later), "a", g.serversRevision)
		if g.servers.Get("a") != nil {
			t.Errorf("still there, removed %v after the store's answer", later)
		}
		g.mu.Unlock()
	}
}
