package processes

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Something else has the address of an instance, which can't start. That is what
// is reported, at once and with what it logged, and not a timeout or refused calls.
func TestInstanceThatCannotStartIsReported(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	c := &Cluster{Dir: dir, urls: map[string]string{"table": "http://127.0.0.1:1", "objects": "http://127.0.0.1:1", "list": "http://127.0.0.1:1"}}
	defer c.Close()
	if err := c.claimNetwork(); err != nil {
		t.Fatal(err)
	}
	taken := c.claim.Addr().String()
	e := &Instance{Name: "zone-a-1", Zone: "zone-a", CallerAddress: c.network + ".11:8080", AdminAddress: taken, PeerAddress: c.network + ".11:8082"}
	if err := c.StartInstance(e); err != nil {
		t.Fatal(err)
	}
	err := e.AwaitReady(ctx)
	if err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("got %v", err)
	}
}
