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

// startCluster builds and starts a deployment with three instances in each of
// three availability zones.
func startCluster(t *testing.T) *Cluster {
	t.Helper()
	return startClusterOf(t, 3)
}

// startClusterOf is startCluster with another number of instances in each zone.
func startClusterOf(t *testing.T, perZone int) *Cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	dir := t.TempDir()
	if err := Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, dir, "testdata/deployment.yaml", perZone)
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

// Nine instances run as separate processes. Each must answer a streamed call of a
// model, one of an adapter, and an order completely. The subtests then change the
// configuration and stop, kill and pause instances under load.
func TestEveryInstanceServes(t *testing.T) {
	c := startCluster(t)
	ctx := context.Background()
	caller := NewCaller(c.APIKey, callTimeout)
	for _, inst := range c.Instances {
		for _, model := range []string{"summary", "summary:doors"} {
			if r := caller.Stream(ctx, inst.CallerAddress, model, 5, "door 7"); r.Interrupted() || r.Status != http.StatusOK || r.Tokens != 5 {
				t.Errorf("%s, %s: %+v", inst.Name, model, r)
			}
		}
		if r := caller.PlaceOrder(ctx, inst.CallerAddress, "order-at-"+inst.Name); r.Interrupted() || r.Status != http.StatusOK {
			t.Errorf("%s, order: %+v", inst.Name, r)
		}
	}
	t.Run("an order sent to every instance runs once", func(t *testing.T) {
		for _, inst := range c.Instances {
			if r := caller.PlaceOrder(ctx, inst.CallerAddress, "order-everywhere"); r.Interrupted() || r.Status != http.StatusOK {
				t.Errorf("%s: %+v", inst.Name, r)
			}
		}
		checkAtMostOnce(t, c)
	})
	t.Run("apply waits for every availability zone", func(t *testing.T) { testApply(t, c) })
	t.Run("a rolling restart interrupts no call", func(t *testing.T) { testRollingRestart(t, c) })
	t.Run("a killed instance interrupts only its own calls", func(t *testing.T) { testKill(t, c) })
	t.Run("a paused instance runs nothing twice after it resumes", func(t *testing.T) { testPauseResume(t, c) })
	checkViolations(t, c)
}

// testApply changes a rate in the configuration file and applies it to the
// running deployment. The command must wait until each availability zone has
// applied the new version, and print that; the same apply again changes nothing.
func testApply(t *testing.T, c *Cluster) {
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

// testRollingRestart sends SIGTERM to each instance under load and starts it
// again. No call may be interrupted or refused: the balancer must see that the
// instance is not ready before it stops accepting calls, and the calls that it has
// accepted must run to their end.
func testRollingRestart(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := startLoad(c)
	defer stop()
	for _, inst := range c.Instances {
		if err := inst.Terminate(); err != nil {
			t.Errorf("%s: graceful stop: %v", inst.Name, err)
		}
		if err := c.StartInstance(inst); err != nil {
			t.Fatal(err)
		}
		if err := inst.AwaitReady(ctx); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	logLoad(t, l)
	for _, call := range l.Interruptions() {
		t.Error("interrupted:", call)
	}
	if n := l.Refused.Load(); n > 0 {
		t.Errorf("%d calls refused, want none: %v", n, l.RefusalCounts())
	}
	checkAtMostOnce(t, c)
}

// testKill sends SIGKILL to one instance under load. Only the calls that callers
// sent to this instance may be interrupted. All others, including those that
// waited in queues owned by it, must be answered or refused, and no order may run
// twice.
func testKill(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := startLoad(c)
	defer stop()
	time.Sleep(time.Second)
	killed := c.Instances[4]
	if err := killed.Kill(); err != nil {
		t.Error(err)
	}
	time.Sleep(10 * time.Second)
	if err := c.StartInstance(killed); err != nil {
		t.Fatal(err)
	}
	if err := killed.AwaitReady(ctx); err != nil {
		t.Error(err)
	}
	stop()
	checkInterruptionsOnlyAt(t, c, l, killed)
}

// checkInterruptionsOnlyAt fails the test if a call was interrupted that was not
// sent to the failed instance, or if an order ran twice.
func checkInterruptionsOnlyAt(t *testing.T, c *Cluster, l *Load, failed *Instance) {
	t.Helper()
	logLoad(t, l)
	for _, call := range l.Interruptions() {
		if !strings.HasPrefix(call, failed.Name+" ") {
			t.Error("interrupted:", call)
		}
	}
	checkAtMostOnce(t, c)
}

// startLoad starts callers that send calls through a balancer. stop ends the load
// and waits for the calls in progress; it may be called more than once.
func startLoad(c *Cluster) (l *Load, stop func()) {
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

// testPauseResume pauses one instance under load for longer than its lease lasts.
// Others of its zone take over the queues and backend servers that it owned; its
// own callers wait. After it resumes it must not use that ownership: no order may
// run twice, and no backend server may be ordered to load a model into occupied
// memory. An instance that lost its session may stop gracefully; the test then
// starts it again, as the platform would.
func testPauseResume(t *testing.T, c *Cluster) {
	ctx := context.Background()
	l, stop := startLoad(c)
	defer stop()
	time.Sleep(time.Second)
	paused := c.Instances[7]
	if err := paused.Pause(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(pauseDuration)
	if err := paused.Resume(); err != nil {
		t.Fatal(err)
	}
	// The instance may still report that it is ready until it learns from the table
	// that its session has ended.
	for end := time.Now().Add(sessionLossTimeout); !paused.Exited() && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
	if paused.Exited() {
		t.Log("the instance lost its session and exited")
		if err := c.StartInstance(paused); err != nil {
			t.Fatal(err)
		}
	}
	if err := paused.AwaitReady(ctx); err != nil {
		t.Error(err)
	}
	stop()
	checkInterruptionsOnlyAt(t, c, l, paused)
}

// pauseDuration is longer than the lease term plus the margin that another
// instance waits before it takes over.
const pauseDuration = 12 * time.Second

// sessionLossTimeout is long enough for a resumed instance to learn that it lost
// its session and to end its calls.
const sessionLossTimeout = 15 * time.Second

// logLoad logs the counts of the load.
func logLoad(t *testing.T, l *Load) {
	t.Helper()
	t.Logf("%d streams, %d orders, %d refused %v, %d interrupted", l.Streams.Load(), l.Orders.Load(), l.Refused.Load(), l.RefusalCounts(), len(l.Interruptions()))
}

// executionRecord is one execution of a call as recorded by a plain service.
type executionRecord struct {
	IdempotencyKey string `json:"idempotency_key"`
}

// checkAtMostOnce reads the executions from the plain services and fails the test
// if an order ran more than once, or if none ran.
func checkAtMostOnce(t *testing.T, c *Cluster) {
	t.Helper()
	counts := make(map[string]int)
	for name, address := range c.BackendAddresses() {
		if !strings.Contains(name, "service") {
			continue
		}
		var records []executionRecord
		getJSON(t, address, "/control/runs", &records)
		for _, r := range records {
			counts[r.IdempotencyKey]++
		}
	}
	if len(counts) == 0 {
		t.Error("the services recorded no executions")
	}
	for key, n := range counts {
		if n != 1 {
			t.Errorf("order %q ran %d times", key, n)
		}
	}
}

// checkViolations fails the test if a backend server or an instance counted a
// violation of its invariants.
func checkViolations(t *testing.T, c *Cluster) {
	t.Helper()
	for name, address := range c.BackendAddresses() {
		if name == "ready" {
			continue
		}
		violations := make(map[string]any)
		getJSON(t, address, "/control/violations", &violations)
		for violation, n := range violations {
			if fmt.Sprint(n) != "0" && fmt.Sprint(n) != "<nil>" && fmt.Sprint(n) != "[]" {
				t.Errorf("%s: %s: %v", name, violation, n)
			}
		}
	}
	for _, inst := range c.Instances {
		page, err := inst.Metrics(context.Background())
		if err != nil {
			t.Error(err)
		}
		for _, line := range strings.Split(page, "\n") {
			if strings.HasPrefix(line, "oleanderd_invariant_violations_total") {
				t.Errorf("%s: %s", inst.Name, line)
			}
		}
	}
}

// getJSON decodes the JSON response of a GET request into result.
func getJSON(t *testing.T, address, path string, result any) {
	t.Helper()
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		t.Errorf("%s%s: %v", address, path, err)
	}
}
