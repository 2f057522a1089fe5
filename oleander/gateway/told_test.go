package gateway

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// calls returns how many calls of a kind an instance made to the store.
func (g *Gateway) storeCalls(what string) uint64 {
	return g.metrics.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_store_calls_total{call=%q,ok="true"}`, what)).Get()
}

// An instance that starts beside a holder of the lease reads the servers once: from
// then on the holder tells it which there are.
func TestServersAreReadOnce(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	f.start()
	g := f.gateways[1]
	testutil.WaitFor(t, g.holderPublishesServers)
	time.Sleep(2 * storeCheckPeriod)
	if n := g.storeCalls("servers"); n != 1 {
		t.Errorf("%d calls for the servers", n)
	}
}

// serversSeen is some looks of an instance whether it has to read the store.
const storeCheckPeriod = 500 * time.Millisecond

// toldOfServers reports whether the holder told which servers there are.
func (g *Gateway) holderPublishesServers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holderPublishes(boottime.Now())
}

// A server leaves while nobody holds the lease, and an instance does not reach the
// store. The next holder names all servers, and the instance drops the one that is
// not among them; it does not drop one that it has just read itself.
func TestServerThatTheHolderDoesNotName(t *testing.T) {
	f, g := single(t)
	f.store.Fail(0, portstest.Silent)
	g.mu.Lock()
	now := boottime.Now()
	old := directory.Entry{ID: "gone", Group: "plain", Born: 1, Slots: 4}
	g.servers.Put(now.Add(-time.Minute), old)
	g.servers.Put(now, directory.Entry{ID: "new", Group: "plain", Born: 2, Slots: 4})
	g.fleetHolder = fleetHolder{name: "other", fencing: 9, heardAt: now}
	g.handleState(now, &stateMsg{Name: "other", Fencing: 9, ServerIDs: []string{"a"}})
	defer g.mu.Unlock()
	if g.servers.Get("gone") != nil || g.servers.Get("new") == nil {
		t.Errorf("servers %v", g.servers.IDs())
	}
	if !g.holderPublishes(now) {
		t.Error("not told, though the holder named all")
	}
	g.applyServer(now, serverMsg{Server: "gone", Incarnation: 1, Info: &infoMsg{Group: "plain", Slots: 4}})
	if g.servers.Get("gone") == nil {
		t.Error("a server that came back is not taken")
	}
}

// A call of the holder of the lease to the store is lost, for the lease and not for
// the servers. It still sees who comes and leaves, and nobody else asks the store.
func TestHolderThatSeesServersIsNotBlind(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.startHolder()
	g := f.gateways[0]
	failed := boottime.Now()
	g.mu.Lock()
	g.storeFailedAt, g.serversReadAt = failed, failed.Add(-time.Millisecond)
	blind := g.serversStale(failed)
	g.mu.Unlock()
	if !blind {
		t.Error("not blind though no call for the servers was answered since")
	}
	g.recordServersRead(g.holderFencing())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serversStale(boottime.Now()) {
		t.Error("blind though the servers were read since")
	}
}

// The holder did not reach the store when it died. Its last word must not keep the
// others from reading the servers themselves: one may have left meanwhile.
func TestBlindHolderThatDied(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	now := boottime.Now()
	g.watchingStore.Store(false)
	g.fleetHolder = fleetHolder{name: "dead", fencing: 9, heardAt: now.Add(-time.Minute), serversStale: true}
	g.holderPublishedAt = now.Add(-time.Minute)
	g.mu.Unlock()
	if g.reliesOnHolder() {
		t.Error("rests though nobody tells")
	}
}
