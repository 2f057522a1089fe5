package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// startTwoZones starts a fleet with an instance and an engine in each of two zones.
// Both engines have the model warm.
func startTwoZones(t *testing.T, wrapStore func(ports.Store) ports.Store) (f *fixture, urls []string, engines []string) {
	f = newFixture(t, config(1))
	f.zones = []string{"y", "z"}
	if wrapStore != nil {
		f.wrapStore = wrapStore
	}
	for i, id := range []string{"ey", "ez"} {
		f.backend(id, "llm", twoEvents, "warm")
		f.moveServer(id, f.zones[i])
		engines = append(engines, f.store.Server(id).Address)
	}
	urls = append(urls, f.start())
	testutil.WaitFor(t, func() bool { return f.planScope(0) == placer.ScopeFleet })
	urls = append(urls, f.start())
	for i := range f.gateways {
		testutil.WaitFor(t, func() bool { return f.mayOrder(i) })
	}
	testutil.WaitFor(t, func() bool {
		g := f.gateways[0]
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.zoneHolderMember(boottime.Now(), "z") != nil
	})
	return f, urls, engines
}

// planScope returns the scope that an instance plans for.
func (f *fixture) planScope(i int) placer.Scope {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.planScope
}

// mayOrder reports whether an instance may send the orders of its zone.
func (f *fixture) mayOrder(i int) bool {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zoneLease.MayOrder(boottime.Now())
}

// An engine that checks no fencing numbers executes all orders. So all its orders
// must come from the holder of its zone's lease, whoever planned them.
func TestOrdersAreSentByZoneHolder(t *testing.T) {
	f, urls, engines := startTwoZones(t, nil)
	for _, model := range []string{"cold", "warm", "cold", "warm"} {
		for _, url := range urls {
			if a := f.ask(http.MethodPost, url+"/stream/", testModel, model); a.status != http.StatusOK {
				t.Fatalf("status %d for the model %s", a.status, model)
			}
		}
	}
	// Evacuating zone y makes the engine in z get orders, too.
	f.store.SetEvacuation("y", true)
	testutil.WaitFor(t, func() bool {
		return f.ask(http.MethodPost, urls[0]+"/stream/", testModel, "cold").status == http.StatusOK && len(f.engines.OrderSenders(engines[1])) > 0
	})
	for i, want := range []string{"g0", "g1"} {
		if senders := f.engines.OrderSenders(engines[i]); slices.ContainsFunc(senders, func(h string) bool { return h != want }) {
			t.Errorf("orders to the engine in %s by %v, want %s alone", f.zones[i], senders, want)
		}
	}
}

// fleetLeaseBlocker is a store that rejects writes of the fleet lease while closed.
type fleetLeaseBlocker struct {
	ports.Store
	closed *atomic.Bool
}

func (s fleetLeaseBlocker) WriteLease(ctx context.Context, name ports.LeaseName, r leader.Record, expect revision.Revision) (leader.Result, revision.Revision) {
	if name == "" && s.closed.Load() {
		return leader.Unknown, revision.Revision{}
	}
	return s.Store.WriteLease(ctx, name, r, expect)
}

// A zone is cut off from the holder of the fleet lease. Its zone holder continues to
// load models for requests in the zone, and only there; before, nobody sent orders
// there until the cut ended. It stops planning when a fleet holder is heard again.
func TestCutOffZoneLoadsModels(t *testing.T) {
	var closed atomic.Bool
	f, urls, engines := startTwoZones(t, func(s ports.Store) ports.Store { return fleetLeaseBlocker{s, &closed} })
	closed.Store(true)
	f.gateways[0].peers.close() // it neither sends nor receives heartbeats
	testutil.WaitFor(t, func() bool { return f.planScope(1) == placer.ScopeZone })
	began := time.Now()
	a := f.ask(http.MethodPost, urls[1]+"/stream/", testModel, "cold")
	if took := time.Since(began); a.status != http.StatusOK || took > 1500*time.Millisecond {
		t.Errorf("status %d after %v", a.status, took)
	}
	if senders := f.engines.OrderSenders(engines[0]); slices.Contains(senders, "g1") {
		t.Errorf("orders to the other zone's engine by %v", senders)
	}
	testutil.WaitFor(t, func() bool {
		announcement := &announcementMsg{Fencing: 1 << 20, Sequence: 1, RemainingMS: 1000}
		f.gateways[1].handlePacket(packet{Heartbeat: &heartbeatMsg{Name: "h", Zone: "x", Address: "127.0.0.1:9", Announcement: announcement}})
		return f.planScope(1) == placer.ScopeNone
	})
}

// A request to a server in a silent zone may wait for a connection timeout, so
// servers of other zones are tried first.
func TestServersInSilentZoneComeLast(t *testing.T) {
	g := newStoppedGateway(t, "a", "z")
	now := boottime.Now()
	for i, zone := range []string{"y", "z"} {
		g.servers.Put(now, directory.Entry{ID: zone, Group: "plain", Zone: zone, Incarnation: 1, Slots: 4})
		for range 3 * i {
			g.servers.RequestStarted(now, zone, "")
		}
	}
	pick := func() string { return g.servers.Pick(now, directory.Requirements{Group: "plain", Zone: "y"}).Server.ID }
	if got := pick(); got != "y" {
		t.Fatalf("picked %s", got)
	}
	g.servers.SetSilentZones(map[string]bool{"y": true})
	if got := pick(); got != "z" {
		t.Errorf("picked %s in the silent zone", got)
	}
}

// The fleet lease expires briefly because the store is slow. The holder does not
// switch to its own zone at once, and still knows the engines of other zones when it
// regains the lease. It forgets them once another instance plans.
func TestBriefLeaseExpiryKeepsEngines(t *testing.T) {
	f, _, _ := startTwoZones(t, nil)
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.plan(now, placer.ScopeFleet)
	g.planScope = placer.ScopeFleet
	lease := g.fleetLease
	g.fleetLease = leader.New(leader.Settings{Self: "g0", Term: leaseTerm}, 1, now) // not held
	g.fleetHolder.heardAt = now
	known := func() bool {
		_, _, ok := g.placer.UsableModels(now, "ez")
		return ok
	}
	if !known() {
		t.Fatal("test setup: the other zone's engine is not known")
	}
	if scope := g.updateScope(now.Add(holderTimeout / 2)); scope != placer.ScopeNone || !known() {
		t.Errorf("scope %v, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = lease
	if scope := g.updateScope(boottime.Now()); scope != placer.ScopeFleet || !known() {
		t.Errorf("scope %v with the lease again, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = leader.New(leader.Settings{Self: "g0", Term: leaseTerm}, 1, now)
	g.fleetHolder = fleetHolder{name: "h", fencing: 1 << 20, heardAt: now}
	if scope := g.updateScope(now); scope != placer.ScopeNone || known() {
		t.Errorf("scope %v beside another planner, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = lease
}

// The fleet holder does not hold the lease of its own zone. The orders that it plans
// for this zone are sent by the zone's holder; before, nobody sent them.
func TestFleetHolderWithoutZoneLease(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("e", "llm", twoEvents, "warm")
	f.startHolder()
	f.start()
	testutil.WaitFor(t, func() bool { return f.mayOrder(0) })
	g := f.gateways[0]
	g.mu.Lock()
	g.zoneLease.Stop()
	g.mu.Unlock()
	testutil.WaitFor(t, func() bool { return f.mayOrder(1) })
	if f.planScope(0) != placer.ScopeFleet {
		t.Fatal("test setup: the first instance does not plan for the fleet")
	}
	url := "http://" + g.settings.CallerAddress
	testutil.WaitFor(t, func() bool {
		return f.ask(http.MethodPost, url+"/stream/", testModel, "cold").status == http.StatusOK
	})
	senders := f.engines.OrderSenders(f.store.Server("e").Address)
	if len(senders) == 0 || senders[len(senders)-1] != "g1" {
		t.Errorf("orders by %v, want g1", senders)
	}
}
