package gateway

import (
	"net/http"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// zoneState returns the evacuation state of a zone as known to an instance.
func (g *Gateway) zoneState(zone string) evacuation.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evacuations.State(boottime.Now(), zone)
}

// moveServer moves a backend's entry to another zone.
func (f *fixture) moveServer(id, zone string) {
	e := f.store.Server(id)
	e.Zone = zone
	f.store.PutServer(e)
}

// A zone is evacuated while one instance does not reach the store. It learns of the
// evacuation and its end from the others; otherwise it would send requests to the
// zone for the whole outage.
func TestEvacuationIsAppliedWithoutTheStore(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	backendInY := f.backend("b", "plain", ok)
	f.moveServer("b", "y")
	f.startHolder()
	url := f.start()
	f.store.SetFault(1, portstest.NoResponse)
	f.store.SetEvacuation("y", true)
	g := f.gateways[1]
	testutil.WaitFor(t, func() bool { return g.zoneState("y") == evacuation.Closed })
	before := backendInY.requests()
	for range 20 {
		if a := f.ask(http.MethodGet, url+"/read/x"); a.status != http.StatusOK {
			t.Fatalf("status %d with a server in another zone", a.status)
		}
	}
	if n := backendInY.requests() - before; n > 0 {
		t.Errorf("%d requests to the evacuated zone", n)
	}
	f.store.SetEvacuation("y", false)
	testutil.WaitFor(t, func() bool { return g.zoneState("y") == evacuation.Open })
}

// When all zones are evacuated, a request is refused at once and not held until its
// deadline.
func TestAllZonesEvacuated(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	url := f.start()
	f.store.SetEvacuation("z", true)
	testutil.WaitFor(t, func() bool { return f.gateways[0].zoneState("z") == evacuation.Closed })
	began := time.Now()
	a := f.ask(http.MethodGet, url+"/read/x")
	if took := time.Since(began); a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || took > time.Second {
		t.Errorf("status %d, Retry-After %q after %v", a.status, a.header.Get("Retry-After"), took)
	}
}

// An engine in an evacuated zone gets no orders and is not asked for reports.
func TestNoOrdersToAnEvacuatedZone(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("e", "llm", ok, "warm")
	f.startHolder()
	g := f.gateways[0]
	f.store.SetEvacuation("z", true)
	testutil.WaitFor(t, func() bool { return g.zoneState("z") == evacuation.Closed })
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.localDemand[placer.Key{Group: "llm", Model: "cold"}] = placer.Demand{Requests: 1, Since: now}
	orders, reports := g.plan(now.Add(time.Minute), placer.ScopeFleet)
	if len(orders)+len(reports) > 0 {
		t.Errorf("orders %v, report requests %v", orders, reports)
	}
}

// Servers may restart while their zone is evacuated, and their entries show it late.
// So they count as cold when the evacuation ends.
func TestReopenedZoneCountsAsCold(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.start()
	g := f.gateways[0]
	f.store.SetEvacuation("z", true)
	testutil.WaitFor(t, func() bool { return g.zoneState("z") == evacuation.Closed })
	f.store.SetEvacuation("z", false)
	testutil.WaitFor(t, func() bool { return g.zoneState("z") == evacuation.Open })
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.servers.Get("a").Cold(boottime.Now()) {
		t.Error("the server counts as warm")
	}
}

// An instance that does not read the servers' entries learns from the lease holder
// that a server is cold, also when it becomes cold again without a restart.
func TestColdServerIsPublished(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	cold := func() bool {
		g := f.gateways[1]
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.servers.Get("a")
		return s != nil && s.Cold(boottime.Now())
	}
	testutil.WaitFor(t, func() bool { return f.gateways[1].reliesOnHolder() })
	for range 2 {
		testutil.WaitFor(t, func() bool { return !cold() })
		e := f.store.Server("a")
		e.ColdFor = time.Second
		f.store.PutServer(e)
		testutil.WaitFor(t, cold)
		e.ColdFor = 0
		f.store.PutServer(e)
	}
}

// The store is restored from a copy that still lists a removed server and lacks a new
// one. The removed server gets no requests, and the new one stays.
func TestServersAfterStoreRestore(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.backend("left", "plain", ok)
	f.startHolder()
	g := f.gateways[0]
	testutil.WaitFor(t, func() bool { return g.knowsServer("left") })
	f.store.TakeSnapshot()
	f.store.RemoveServer("left")
	f.backend("new", "plain", ok)
	testutil.WaitFor(t, func() bool { return !g.knowsServer("left") && g.knowsServer("new") })
	f.store.RestoreSnapshot()
	testutil.WaitFor(t, func() bool { return g.currentEra() == 1 })
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.knowsServer("left") {
			t.Fatal("a removed server is back")
		}
		if !g.knowsServer("new") {
			t.Fatal("a live server that is missing in the copy is gone")
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.servers.Get("left") != nil {
		t.Error("a removed server is back")
	}
	g.putServer(boottime.Now(), directory.Entry{ID: "left", Group: "plain", Incarnation: 2})
	if g.servers.Get("left") == nil {
		t.Error("the next incarnation of the server is ignored")
	}
}

func (g *Gateway) currentEra() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.storeEra.current
}

// The store is restored from a copy without the last version of the configuration,
// the evacuation and the rows of the instances. The instances keep the newer state.
// What the operator then writes comes into force although its revision number was
// used before, and the rows are written again.
func TestStoreRestored(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.store.TakeSnapshot()
	f.startHolder()
	f.start()
	f.store.SetManifest(config(2))
	f.store.SetEvacuation("y", true)
	onAll := func(holds func(g *Gateway) bool) func() bool {
		return func() bool {
			for _, g := range f.gateways {
				if !holds(g) {
					return false
				}
			}
			return true
		}
	}
	testutil.WaitFor(t, onAll(func(g *Gateway) bool {
		return g.manifest.Load().Version == 2 && g.zoneState("y") == evacuation.Closed
	}))
	holder := f.gateways[0]
	holder.mu.Lock()
	fencing := holder.fleetLease.Fencing()
	holder.mu.Unlock()
	f.store.RestoreSnapshot()
	testutil.WaitFor(t, onAll(func(g *Gateway) bool { return g.currentEra() == 1 }))
	for _, g := range f.gateways {
		if v := g.manifest.Load().Version; v != 2 {
			t.Errorf("version %d replaced version 2", v)
		}
		if s := g.zoneState("y"); s != evacuation.Closed {
			t.Errorf("the zone is %v, want evacuated until the operator changes it", s)
		}
	}
	f.store.SetManifest(config(3))
	f.store.SetEvacuation("x", true)
	testutil.WaitFor(t, onAll(func(g *Gateway) bool {
		return g.manifest.Load().Version == 3 && g.zoneState("x") == evacuation.Closed
	}))
	testutil.WaitFor(t, func() bool {
		peers, err := f.store.Store(9).Peers(t.Context())
		return err == nil && len(peers) == 2
	})
	testutil.WaitFor(t, func() bool {
		holder.mu.Lock()
		defer holder.mu.Unlock()
		return holder.fleetLease.MayOrder(boottime.Now()) && holder.fleetLease.Fencing() > fencing
	})
}
