package processes

import (
	"context"
	"strings"
	"testing"
	"time"
)

// An instance can't start because its admin address is in use. AwaitReady must
// report its exit at once with the end of its log, not run into the timeout.
func TestAwaitReadyReportsExit(t *testing.T) {
	dir := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	if err := Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	c := &Cluster{Dir: dir, urls: map[string]string{"table": "http://127.0.0.1:1", "objects": "http://127.0.0.1:1", "list": "http://127.0.0.1:1"}}
	defer c.Close()
	if err := c.reserveNetwork(); err != nil {
		t.Fatal(err)
	}
	usedAddress := c.networkReservation.Addr().String()
	inst := &Instance{Name: "zone-a-1", Zone: "zone-a", CallerAddress: c.network + ".11:8080", AdminAddress: usedAddress, PeerAddress: c.network + ".11:8082"}
	if err := c.StartInstance(inst); err != nil {
		t.Fatal(err)
	}
	err := inst.AwaitReady(ctx)
	if err == nil || !strings.Contains(err.Error(), "exited unexpectedly") {
		t.Errorf("AwaitReady: got %v, want an error about the exit", err)
	}
}
