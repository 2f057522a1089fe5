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

// After a key is withdrawn, requests with it are refused, and an older version that
// arrives late does not restore it.
func TestKeyWithdrawn(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	url := f.start()
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	withoutKey := manifest.New(3, manifest.Limits{})
	withoutKey.Accounts["account"] = &manifest.Account{Name: "account"}
	withoutKey.AddRoute(&manifest.Route{Host: testHost, Prefix: "/order/", Timeout: time.Second, Targets: []manifest.Target{{Group: "plain", Weight: 1}}})
	f.store.SetManifest(withoutKey)
	testutil.WaitFor(t, func() bool { return f.ask(http.MethodPost, url+"/order/").status == http.StatusUnauthorized })
	f.store.SetManifest(config(2))
	time.Sleep(200 * time.Millisecond)
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusUnauthorized {
		t.Errorf("status %d after an older version arrived", got.status)
	}
}

// An instance that cannot reach the store gets a new version from another instance.
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
	f.store.SetFault(1, portstest.NoResponse)
	f.store.SetManifest(config(2))
	testutil.WaitFor(t, func() bool { return g.manifest.Load().Version == 2 })
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
}

// maxConfigDelay is the maximum time until a version must be in force.
const maxConfigDelay = 2 * time.Second

// The store becomes silent while all instances watch it, and the operator writes a
// new version. The watches are never answered, even after the store is back. The
// instances restart them, so that the version is in force soon after.
func TestConfigAfterSilentStore(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() })
	for i := range f.gateways {
		f.store.SetFault(i, portstest.NoResponse)
	}
	f.store.SetManifest(config(2))
	time.Sleep(leaseTerm)
	for i := range f.gateways {
		f.store.SetFault(i, portstest.NoFault)
	}
	for end := time.Now().Add(maxConfigDelay); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.gateways[0].manifest.Load().Version == 2 && f.gateways[1].manifest.Load().Version == 2 {
			return
		}
	}
	t.Error("the version is not in force")
}

// A draining server gets no further requests, and an outdated entry does not bring it
// back.
func TestDrainingServerGetsNoRequests(t *testing.T) {
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
		t.Errorf("the draining server got %d requests", a.requests()-before)
	}
}

// The store is silent only to the lease holder. The holder keeps the lease through
// another instance. The others notice that it does not see the servers and watch
// these themselves.
func TestHolderWithoutStoreKeepsLease(t *testing.T) {
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
	f.store.SetFault(0, portstest.NoResponse)
	for end := time.Now().Add(3 * leaseTerm); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !holds(holder) {
			t.Fatal("the lease was lost")
		}
	}
	if f.gateways[1].reliesOnHolder() {
		t.Error("the other instance relies on a holder that does not see the servers")
	}
}

// The store rejects only the lease holder. One server drains and another is removed,
// which only the other instance sees. It informs the holder, which would otherwise
// count the models of these servers as loaded.
func TestHolderLearnsOfDepartures(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "llm", ok, "warm")
	f.backend("b", "llm", ok, "warm")
	f.startHolder()
	f.start()
	holder := f.gateways[0]
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() })
	f.store.SetFault(0, portstest.Unavailable)
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

// The store rejects the lease holder for a while. A server that is removed just
// afterwards is known to be gone everywhere in time: its missing entry does not count
// as expired during an outage, since the store was never unavailable to all.
func TestServerRemovedAfterHolderOutage(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("b", "plain", ok)
	f.startHolder()
	f.start()
	holder, other := f.gateways[0], f.gateways[1]
	testutil.WaitFor(t, other.reliesOnHolder)
	f.store.SetFault(0, portstest.Unavailable)
	testutil.WaitFor(t, holder.hasStaleServers)
	time.Sleep(holderOutage)
	f.store.SetFault(0, portstest.NoFault)
	testutil.WaitFor(t, func() bool { return !holder.hasStaleServers() && other.reliesOnHolder() })
	calls := other.storeCalls("servers")
	f.store.PutServer(f.store.Server("a")) // ends the pending watch of the other instance, which then relies on the holder
	testutil.WaitFor(t, func() bool { return other.storeCalls("servers") > calls })
	f.store.RemoveServer("b")
	removed := time.Now()
	testutil.WaitFor(t, func() bool { return !holder.knowsServer("b") && !other.knowsServer("b") })
	if delay := time.Since(removed); delay > holder.settings.MaxDrainDelay {
		t.Errorf("the removal was known after %v, want at most %v", delay, holder.settings.MaxDrainDelay)
	}
}

// holderOutage is several renewals of the lease.
const holderOutage = 1500 * time.Millisecond

// hasStaleServers reports whether an instance does not see servers come and go.
func (g *Gateway) hasStaleServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serversStale(boottime.Now())
}

// knowsServer reports whether an instance has a server in its directory.
func (g *Gateway) knowsServer(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers.Get(id) != nil
}

// A server is removed while the lease holder is cut off from the store and still
// publishes it. Instances that know of the removal do not bring it back; a new
// incarnation that they read from the store counts.
func TestRemovedServerIsNotRestored(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("b", "plain", ok)
	f.start()
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	info := &infoMsg{Address: "127.0.0.1:1", Zone: "z", Group: "plain", Slots: 4}
	state := &stateMsg{Name: "other", Fencing: 99, Servers: []serverMsg{{Server: "a", Incarnation: 1, Info: info}}}
	g.removeServer(now, "a", g.serversRevision)
	g.handleState(now, state)
	if g.servers.Get("a") != nil {
		t.Error("a removed server is back")
	}
	g.putServer(now, directory.Entry{ID: "a", Group: "plain", Incarnation: 2})
	g.handleState(now, state)
	if s := g.servers.Get("a"); s == nil || s.Incarnation != 2 {
		t.Errorf("the new incarnation: %+v", s)
	}
	g.storeFailedAt = now
	if m := g.serverMessage(now, g.servers.Get("b")); m.Info != nil {
		t.Error("an instance without the store publishes a server")
	}
}

// In a long outage all entries expire, and all instances remove the servers. The
// entries return, and the holder publishes them. Other instances used to ignore this
// for a minute, since they had seen the servers leave, and the holder's earlier
// removals deleted servers at instances that had read them from the store again. Now
// the newer store revision wins.
func TestReturnedServerIsUsed(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	entry := g.servers.Get("a").Entry
	info := infoMsg{Address: entry.Address, Zone: "z", Group: "plain", Slots: 4, Version: entry.Revision.Version}
	published := func(version int64) *stateMsg {
		i := info
		i.Version = version
		return &stateMsg{Name: "other", Fencing: 99, Servers: []serverMsg{{Server: "a", Incarnation: entry.Incarnation, Info: &i}}}
	}
	gone := &stateMsg{Name: "other", Fencing: 99, Gone: []goneMsg{{Server: "a", Version: entry.Revision.Version + 10}}}
	g.handleState(now, gone)
	g.handleState(now, published(entry.Revision.Version+9))
	if g.servers.Get("a") != nil {
		t.Fatal("an update older than the removal brought the server back")
	}
	g.handleState(now, published(entry.Revision.Version+11))
	if g.servers.Get("a") == nil {
		t.Fatal("a server that returned is ignored")
	}
	g.handleState(now, gone)
	if g.servers.Get("a") == nil {
		t.Fatal("a removal older than the return removed the server")
	}
	leaving := published(entry.Revision.Version + 11)
	leaving.Servers[0].Info.Leaving = true
	g.handleState(now, leaving)
	if !g.servers.Get("a").Draining {
		t.Error("the drain is ignored")
	}
	g.removeServer(now, "a", g.servers.Get("a").Revision)
	if len(g.publisher.gone) != 1 {
		t.Fatal("test setup: the removal is not published")
	}
	entry.Revision.Version += 12
	g.putServer(now, entry)
	if len(g.publisher.gone) != 0 {
		t.Error("published as gone after its return")
	}
}

// One instance watches the servers and publishes them; the others do not call the
// store. Each call costs money, and when nine instances followed every model swap,
// that was two thirds of all calls.
func TestOnlyHolderWatchesServers(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	relying := func() int {
		n := 0
		for _, g := range f.gateways {
			if g.reliesOnHolder() {
				n++
			}
		}
		return n
	}
	testutil.WaitFor(t, func() bool { return relying() == 1 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if relying() != 1 {
			t.Fatalf("%d of two instances rely on the holder, want 1", relying())
		}
	}
}

// A server is removed, and the holder that saw it dies before it publishes that. Its
// next incarnation takes the lease before anybody noticed and never knew the server.
// The others rely on the holder, so they must read the servers once under each
// fencing number; otherwise they would keep sending to the removed server.
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
	go func() { // plays the holder
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
	time.Sleep(2 * maxWatchPause) // the last watch has ended
	f.store.RemoveServer("b")
	time.Sleep(maxWatchPause)
	if !g.knowsServer("b") {
		t.Fatal("test setup: the instance watches the store although it hears a holder")
	}
	fencing.Store(2)
	testutil.WaitFor(t, func() bool { return !g.knowsServer("b") })
	if !g.knowsServer("a") {
		t.Error("the other server was removed, too")
	}
}

// storeOutage is longer than an entry takes to expire.
const storeOutage = 4 * time.Second

// Entries that are missing right after a store outage may return, so their servers
// stay for a while. Otherwise a missing entry means that the server is gone.
func TestMissingEntries(t *testing.T) {
	f, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	down := boottime.Now().Add(time.Hour)
	g.lapse.RecordFailure(down)
	now := down.Add(storeOutage)
	g.lapse.RecordAnswer(now)
	g.handleMissingEntry(now, "a", g.serversRevision)
	if g.servers.Get("a") == nil {
		t.Fatal("removed at once, after a store outage")
	}
	if !strings.Contains(f.log.String(), "servers: entry missing after a store outage, kept for now") {
		t.Error("no log line says that the server is kept")
	}
	g.putServer(now, directory.Entry{ID: "a", Group: "plain", Incarnation: 1})
	g.removeLapsed(now.Add(2 * lapse.GracePeriod))
	if g.servers.Get("a") == nil {
		t.Fatal("removed although its entry returned")
	}
	g.handleMissingEntry(now, "a", g.serversRevision)
	g.removeLapsed(now.Add(2 * lapse.GracePeriod))
	if g.servers.Get("a") != nil {
		t.Error("still known after the grace period")
	}
}

// An entry that disappears within the grace period after a store outage may return.
// The server of an entry that disappears later is gone.
func TestEntryRemovedAfterTheStoreIsBack(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	down := boottime.Now().Add(time.Hour)
	back := down.Add(storeOutage)
	g.lapse.RecordFailure(down)
	g.lapse.RecordAnswer(back)
	g.handleMissingEntry(back.Add(lapse.GracePeriod-300*time.Millisecond), "a", g.serversRevision)
	if g.servers.Get("a") == nil {
		t.Fatal("removed at once, shortly after a store outage")
	}
	g.handleMissingEntry(back.Add(lapse.GracePeriod+200*time.Millisecond), "a", g.serversRevision)
	if g.servers.Get("a") != nil {
		t.Error("still known, removed after the grace period")
	}
}

// One call to the store fails and the next succeeds. A server whose entry is removed
// at once or 2.5 s later is gone; its entry did not expire in an outage.
func TestEntryRemovedAfterOneLostCall(t *testing.T) {
	for _, later := range []time.Duration{0, 2500 * time.Millisecond} {
		_, g := single(t)
		g.mu.Lock()
		down := boottime.Now().Add(time.Hour)
		back := down.Add(300 * time.Millisecond)
		g.lapse.RecordFailure(down)
		g.lapse.RecordAnswer(back)
		g.handleMissingEntry(back.Add(later), "a", g.serversRevision)
		if g.servers.Get("a") != nil {
			t.Errorf("still known, removed %v after the store's answer", later)
		}
		g.mu.Unlock()
	}
}
