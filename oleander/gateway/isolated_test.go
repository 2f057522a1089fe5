package gateway

import (
	"net/http"
	"testing"

	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// An instance hears no other zone any more, and the store is silent for it. The
// balancer is told to send new callers elsewhere; those that still come are served,
// and their connections end. When the store is reached again, so is the instance.
func TestCutOffInstanceIsNotReady(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	url := f.start()
	g := f.gateways[0]
	ready := "http://" + g.set.Ready + "/any"
	g.mu.Lock()
	g.isolation.Heard(boottime.Now(), "other")
	g.mu.Unlock()
	f.store.Fail(0, portstest.Silent)
	testutil.WaitFor(t, func() bool { return f.status(ready) == http.StatusServiceUnavailable })
	if got := f.ask(http.MethodPost, url+"/order/"); got.status != http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	f.store.Fail(0, portstest.None)
	testutil.WaitFor(t, func() bool { return f.status(ready) == http.StatusOK })
}

// All other instances are dead while the store is away. Their machines refuse a
// connection, so this one is not cut off, and goes on serving.
func TestLastInstanceServesOn(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.start()
	f.start()
	g := f.gateways[0]
	testutil.WaitFor(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		m := g.members.Get("g1")
		return m != nil && m.Heard != 0
	})
	close(f.stops[1])
	<-f.ended[1]
	g.mu.Lock()
	m := *g.members.Get("g1")
	m.Zone = "other"
	g.members.Heard(boottime.Now(), m)
	g.isolation.Heard(boottime.Now(), "other")
	g.mu.Unlock()
	f.store.Fail(0, portstest.Silent)
	looked := boottime.Now()
	testutil.WaitFor(t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.isolation.LastReached() > looked
	})
	if got := f.status("http://" + g.set.Ready + "/any"); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}
