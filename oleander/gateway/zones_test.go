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

// twoZones is a fleet in two zones with an engine in each; both hold the model warm.
func startTwoZones(t *testing.T, reach func(ports.Store) ports.Store) (f *fixture, urls []string, engines []string) {
	f = newFixture(t, config(1))
	f.zones = []string{"y", "z"}
	if reach != nil {
		f.wrapStore = reach
	}
	for i, id := range []string{"ey", "ez"} {
		f.backend(id, "llm", twoEvents, "warm")
		f.moveServer(id, f.zones[i])
		engines = append(engines, f.store.Server(id).Address)
	}
	urls = append(urls, f.start())
	testutil.WaitFor(t, func() bool { return f.planScope(0) == placer.Fleet })
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

// scope is what an instance plans for.
func (f *fixture) planScope(i int) placer.Scope {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.planScope
}

// orders reports whether an instance may give the orders of its zone.
func (f *fixture) mayOrder(i int) bool {
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.zoneLease.MayOrder(boottime.Now())
}

// An engine that checks no fencing numbers obeys whoever orders. All its orders come from
// the holder of its zone's lease, whoever planned them.
func TestOrdersComeFromTheZone(t *testing.T) {
	f, urls, engines := startTwoZones(t, nil)
	for _, model := range []string{"cold", "warm", "cold", "warm"} {
		for _, url := range urls {
			if a := f.ask(http.MethodPost, url+"/stream/", testModel, model); a.status != http.StatusOK {
				t.Fatalf("status %d for the model %s", a.status, model)
			}
		}
	}
	// Both engines get orders if the models are wanted in both zones at once.
	f.store.Evacuate("y", true)
	testutil.WaitFor(t, func() bool {
		return f.ask(http.MethodPost, urls[0]+"/stream/", testModel, "cold").status == http.StatusOK && len(f.engines.Holders(engines[1])) > 0
	})
	for i, want := range []string{"g0", "g1"} {
		if by := f.engines.Holders(engines[i]); slices.ContainsFunc(by, func(h string) bool { return h != want }) {
			t.Errorf("orders to the engine in %s by %v, want %s alone", f.zones[i], by, want)
		}
	}
}

// fleetLeaseTaken is a store that takes no write of the fleet's lease while it is closed.
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

// A zone is cut off from the holder of the fleet's lease. Its own holder goes on loading
// what is asked for there, and nothing elsewhere; nobody gave orders there until the cut
// was over. When a holder for all is heard, it plans no more.
func TestZoneThatIsCutOffLoadsModels(t *testing.T) {
	var closed atomic.Bool
	f, urls, engines := startTwoZones(t, func(s ports.Store) ports.Store { return fleetLeaseBlocker{s, &closed} })
	closed.Store(true)
	f.gateways[0].peers.close() // nothing is heard of it, nor does it hear
	testutil.WaitFor(t, func() bool { return f.planScope(1) == placer.Zone })
	began := time.Now()
	a := f.ask(http.MethodPost, urls[1]+"/stream/", testModel, "cold")
	if took := time.Since(began); a.status != http.StatusOK || took > 1500*time.Millisecond {
		t.Errorf("status %d after %v", a.status, took)
	}
	if by := f.engines.Holders(engines[0]); slices.Contains(by, "g1") {
		t.Errorf("orders to the other zone's engine by %v", by)
	}
	testutil.WaitFor(t, func() bool {
		claim := &announcementMsg{Fencing: 1 << 20, Sequence: 1, RemainingMS: 1000}
		f.gateways[1].handlePacket(packet{Heartbeat: &heartbeatMsg{Name: "h", Zone: "x", Address: "127.0.0.1:9", Announcement: claim}})
		return f.planScope(1) == placer.Nothing
	})
}

// A request that could run in a zone of which nothing is heard waits for the time-out of a
// connection; another server is tried first.
func TestServersOfASilentZoneComeLast(t *testing.T) {
	g := newStoppedGateway(t, "a", "z")
	now := boottime.Now()
	for i, zone := range []string{"y", "z"} {
		g.servers.Put(now, directory.Entry{ID: zone, Group: "plain", Zone: zone, Born: 1, Slots: 4})
		for range 3 * i {
			g.servers.Started(now, zone, "")
		}
	}
	pick := func() string { return g.servers.Pick(now, directory.Need{Group: "plain", Zone: "y"}).Server.ID }
	if got := pick(); got != "y" {
		t.Fatalf("picked %s", got)
	}
	g.servers.SetSilent(map[string]bool{"y": true})
	if got := pick(); got != "z" {
		t.Errorf("picked %s, whose zone is silent", got)
	}
}

// The right of the fleet's holder lapses for a moment under a slow store. It does not turn
// to its own zone at once, and still knows the engines of the others when the right is
// back; once another instance plans, it forgets them.
func TestLapseOfAMomentCostsNoEngines(t *testing.T) {
	f, _, _ := startTwoZones(t, nil)
	g := f.gateways[0]
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.plan(now, placer.Fleet)
	g.planScope = placer.Fleet
	lease := g.fleetLease
	g.fleetLease = leader.New(leader.Settings{Self: "g0", Term: leaseTerm}, 1, now) // holds nothing
	g.fleetHolder.heardAt = now
	known := func() bool {
		_, _, ok := g.placer.Holdings(now, "ez")
		return ok
	}
	if !known() {
		t.Fatal("the test shows nothing: the other zone's engine is not known")
	}
	if scope := g.updateScope(now.Add(holderTimeout / 2)); scope != placer.Nothing || !known() {
		t.Errorf("scope %v, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = lease
	if scope := g.updateScope(boottime.Now()); scope != placer.Fleet || !known() {
		t.Errorf("scope %v with the right again, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = leader.New(leader.Settings{Self: "g0", Term: leaseTerm}, 1, now)
	g.fleetHolder = fleetHolder{name: "h", fencing: 1 << 20, heardAt: now}
	if scope := g.updateScope(now); scope != placer.Nothing || known() {
		t.Errorf("scope %v beside another planner, the other zone's engine known %v", scope, known())
	}
	g.fleetLease = lease
}

// The fleet's holder does not hold the lease of its own zone. The orders that it plans for
// its zone's engines are given by the one that does; they were given by nobody.
func TestFleetHolderWithoutItsZone(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("e", "llm", twoEvents, "warm")
	f.startHolder()
	f.start()
	testutil.WaitFor(t, func() bool { return f.mayOrder(0) })
	g := f.gateways[0]
	g.mu.Lock()
	g.zoneLease.Rest()
	g.mu.Unlock()
	testutil.WaitFor(t, func() bool { return f.mayOrder(1) })
	if f.planScope(0) != placer.Fleet {
		t.Fatal("the test shows nothing: the first one does not plan for all")
	}
	url := "http://" + g.settings.CallerAddress
	testutil.WaitFor(t, func() bool {
		return f.ask(http.MethodPost, url+"/stream/", testModel, "cold").status == http.StatusOK
	})
	by := f.engines.Holders(f.store.Server("e").Address)
	if len(by) == 0 || by[len(by)-1] != "g1" {
		t.Errorf("orders by %v, want g1", by)
	}
}
