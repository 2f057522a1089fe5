package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// startCluster builds and starts a deployment with three entry instances in
// each of three availability zones.
func startCluster(t *testing.T) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	dir := t.TempDir()
	if err := Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, dir, "testdata/deployment.yaml", 3)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs(15))
		}
		c.Close()
	})
	return c
}

// TestEveryInstanceServes: nine entry instances run as processes of their own.
// A caller sends a streamed call, an adapter call and an order through each of
// them and gets the whole answer every time.
func TestEveryInstanceServes(t *testing.T) {
	c := startCluster(t)
	ctx := context.Background()
	caller := NewCaller(c.APIKey, callLimit)
	for _, e := range c.Instances {
		for _, model := range []string{"summary", "summary:doors"} {
			if r := caller.Stream(ctx, e.CallerAddress, model, 5, "door 7"); r.Interrupted() || r.Status != http.StatusOK || r.Tokens != 5 {
				t.Errorf("%s, %s: %+v", e.Name, model, r)
			}
		}
		if r := caller.PlaceOrder(ctx, e.CallerAddress, "order-at-"+e.Name); r.Interrupted() || r.Status != http.StatusOK {
			t.Errorf("%s, order: %+v", e.Name, r)
		}
	}
	t.Run("the same order through every instance runs once", func(t *testing.T) {
		for _, e := range c.Instances {
			if r := caller.PlaceOrder(ctx, e.CallerAddress, "order-everywhere"); r.Interrupted() || r.Status != http.StatusOK {
				t.Errorf("%s: %+v", e.Name, r)
			}
		}
		checkRuns(t, c)
	})
	t.Run("an apply is confirmed by every zone", func(t *testing.T) { applyChange(t, c) })
	t.Run("planned stops of all instances cut nothing", func(t *testing.T) { replaceAll(t, c) })
	t.Run("a killed instance leaves no call without an end", func(t *testing.T) { killOne(t, c) })
	t.Run("a frozen instance does nothing twice when it resumes", func(t *testing.T) { freezeOne(t, c) })
	checkBackends(t, c)
}

// applyChange: an operator changes a rate in a file and applies it while all runs.
// The command waits until each availability zone has the new version, and says so.
func applyChange(t *testing.T, c *Cluster) {
	path := c.configPath()
	changed := strings.Replace(readFile(path), "rate: 200000", "rate: 210000", 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := c.Apply(context.Background())
	if err != nil || !strings.Contains(out, "applied as version 2") || !strings.Contains(out, "in force in every availability zone") {
		t.Errorf("apply printed %q, %v", out, err)
	}
	if out, err := c.Apply(context.Background()); err != nil || !strings.Contains(out, "nothing to change") {
		t.Errorf("the same apply again printed %q, %v", out, err)
	}
}

// replaceAll: each instance gets SIGTERM under load and is started again. The
// callers see no cut call and no refusal: the balancer sees the instance leave
// before it stops taking calls, and its calls run to their end.
func replaceAll(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := underLoad(c)
	defer stop()
	for _, e := range c.Instances {
		if err := e.Terminate(); err != nil {
			t.Errorf("%s: planned stop ended with %v", e.Name, err)
		}
		if err := c.StartInstance(e); err != nil {
			t.Fatal(err)
		}
		if err := e.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	report(t, l)
	for _, cut := range l.Interruptions() {
		t.Error("cut:", cut)
	}
	if n := l.Refused.Load(); n > 0 {
		t.Errorf("%d calls refused, want none: %v", n, l.RefusalCounts())
	}
	checkRuns(t, c)
}

// killOne: one instance gets SIGKILL under load. Only the calls that it held
// itself may break; all others, also those that waited in queues that it
// owned, are answered or refused, and an order sent again runs once.
func killOne(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := underLoad(c)
	defer stop()
	time.Sleep(time.Second)
	victim := c.Instances[4]
	if err := victim.Kill(); err != nil {
		t.Error(err)
	}
	time.Sleep(10 * time.Second)
	if err := c.StartInstance(victim); err != nil {
		t.Fatal(err)
	}
	if err := victim.AwaitReady(ctx); err != nil {
		t.Error(err)
	}
	stop()
	checkOnlyCutAt(t, c, l, victim)
}

// checkOnlyCutAt: only calls that the victim held itself may have been cut.
func checkOnlyCutAt(t *testing.T, c *Cluster, l *Load, victim *Instance) {
	t.Helper()
	report(t, l)
	for _, cut := range l.Interruptions() {
		if !strings.HasPrefix(cut, victim.Name+" ") {
			t.Error("cut:", cut)
		}
	}
	checkRuns(t, c)
}

// underLoad starts callers through a balancer. stop ends them and waits for
// their last calls; it may be called twice.
func underLoad(c *Cluster) (l *Load, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	b := NewBalancer(context.Background(), c.Instances)
	l = &Load{Concurrency: 12}
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx, b, c.APIKey)
	}()
	return l, sync.OnceFunc(func() {
		cancel()
		<-done
		b.Close()
	})
}

// freezeOne: one instance is frozen under load for longer than its lease lasts,
// while others of its zone take over what it owned. Its own callers wait. When
// it resumes it must not act on what it owned: no order runs twice, no server is
// ordered into memory that is taken. Having lost its session it may end by
// itself, as a planned stop; the platform starts it again.
func freezeOne(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := underLoad(c)
	defer stop()
	time.Sleep(time.Second)
	victim := c.Instances[7]
	if err := victim.Pause(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(frozenFor)
	if err := victim.Resume(); err != nil {
		t.Fatal(err)
	}
	// For a moment it may still say that it takes calls: it learns from the
	// table that its session has ended.
	for end := time.Now().Add(settleFor); !victim.Exited() && time.Now().Before(end); {
		time.Sleep(pollEvery)
	}
	if victim.Exited() {
		t.Log("the instance had lost its session and ended by itself")
		if err := c.StartInstance(victim); err != nil {
			t.Fatal(err)
		}
	}
	if err := victim.AwaitReady(ctx); err != nil {
		t.Error(err)
	}
	stop()
	checkOnlyCutAt(t, c, l, victim)
}

// frozenFor is longer than the lease and the margin that a taker waits.
const frozenFor = 12 * time.Second

// settleFor is enough for a resumed instance to learn that it lost its session,
// and to end its calls.
const settleFor = 15 * time.Second

func report(t *testing.T, l *Load) {
	t.Helper()
	t.Logf("%d streams, %d orders, %d refused %v, %d cut", l.Streams.Load(), l.Orders.Load(), l.Refused.Load(), l.RefusalCounts(), len(l.Interruptions()))
}

// run is one run as a plain service counted it.
type run struct {
	Key string `json:"idempotency_key"`
}

// checkRuns asks the plain services how often each order ran: never twice.
func checkRuns(t *testing.T, c *Cluster) {
	t.Helper()
	counts := make(map[string]int)
	for name, address := range c.BackendAddresses() {
		if !strings.Contains(name, "service") {
			continue
		}
		var runs []run
		get(t, address, "/control/runs", &runs)
		for _, r := range runs {
			counts[r.Key]++
		}
	}
	if len(counts) == 0 {
		t.Error("the services counted no runs")
	}
	for key, n := range counts {
		if n != 1 {
			t.Errorf("order %q ran %d times", key, n)
		}
	}
}

// checkBackends asks every backend server what it saw that must not be.
func checkBackends(t *testing.T, c *Cluster) {
	t.Helper()
	for name, address := range c.BackendAddresses() {
		if name == "ready" {
			continue
		}
		violations := make(map[string]any)
		get(t, address, "/control/violations", &violations)
		for what, n := range violations {
			if fmt.Sprint(n) != "0" && fmt.Sprint(n) != "<nil>" && fmt.Sprint(n) != "[]" {
				t.Errorf("%s: %s: %v", name, what, n)
			}
		}
	}
	for _, e := range c.Instances {
		page, err := e.Metrics(context.Background())
		if err != nil {
			t.Error(err)
		}
		for _, line := range strings.Split(page, "\n") {
			if strings.HasPrefix(line, "oleanderd_invariant_violations_total") {
				t.Errorf("%s: %s", e.Name, line)
			}
		}
	}
}

func get(t *testing.T, address, path string, to any) {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(to); err != nil {
		t.Errorf("%s%s: %v", address, path, err)
	}
}
