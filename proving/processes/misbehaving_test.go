package processes

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"oleanderdale.org/oleander/standin/badcallers"
)

// The crowd, the limits of an instance, and the bounds that follow from these.
const (
	crowdMemoryMB       = 96
	crowdMaxConnections = 900
	crowdBodyBytes      = 1 << 20
	crowdBodies         = 400
	crowdConnections    = 1200
	crowdStay           = 4 * time.Second
	// otherDescriptors are for servers, other instances, the platform and files.
	otherDescriptors = 300
	// answerWait is how long an ordinary caller tries to get an answer.
	answerWait = 20 * time.Second

	// Of an instance with default settings.
	defaultMemoryMB    = 512
	defaultBodyBytes   = 4 << 20
	defaultDescriptors = 4096 + otherDescriptors
	defaultBodies      = 300
)

// Guards against callers that take an instance beyond its memory or descriptors, or that keep others out.
func TestMisbehavingCallers(t *testing.T) {
	t.Setenv("OLEANDERD_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
	t.Setenv("OLEANDERD_MAX_BODY", fmt.Sprint(crowdBodyBytes))
	t.Setenv("OLEANDERD_MAX_CONNECTIONS", fmt.Sprint(crowdMaxConnections))
	c := startClusterOf(t, 1)
	for _, k := range badcallers.Kinds(crowdBodies, crowdConnections, "") {
		bounds := badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdMaxConnections + otherDescriptors}
		t.Run(k.Name, func(t *testing.T) { testCrowd(t, c, crowdRequest(c, crowdBodyBytes), k, bounds) })
	}
	r := crowdRequest(c, crowdBodyBytes)
	r.Header = "Authorization: Bearer odk_another\r\n"
	completions := crowdRequest(c, crowdBodyBytes)
	completions.Path = "/v1/chat/completions"
	t.Run("many messages", func(t *testing.T) {
		send := badcallers.ManyValues(`{"model":"summary","max_tokens":1,"messages":[`, "]}")
		testCrowd(t, c, completions, badcallers.Kind{Name: "many messages", Callers: crowdBodies, Send: send, Reads: true}, badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdMaxConnections + otherDescriptors})
	})
	t.Run("wrong key", func(t *testing.T) {
		testCrowd(t, c, r, badcallers.Kinds(crowdBodies, crowdConnections, "")[0], badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdMaxConnections + otherDescriptors})
	})
}

// Guards against a port that is not for callers and that a crowd fills the instance through.
func TestMisbehavingCallersAtOtherPorts(t *testing.T) {
	t.Setenv("OLEANDERD_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
	c := startClusterOf(t, 1)
	for name, port := range map[string]func(*Instance) string{
		"admin": func(inst *Instance) string { return inst.AdminAddress },
		"peer":  func(inst *Instance) string { return inst.PeerAddress },
	} {
		for _, k := range badcallers.Kinds(crowdBodies, crowdConnections, "") {
			if !slices.Contains([]string{"length, a byte short", "24 MB in chunks", "heads of 60 KB without end", "heads beyond the limit", "idle connections"}, k.Name) {
				continue
			}
			bounds := badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdConnections + otherDescriptors}
			t.Run(name+", "+k.Name, func(t *testing.T) {
				testCrowdAt(t, c, port, crowdRequest(c, crowdBodyBytes), k, bounds)
			})
		}
	}
}

// Guards against connections to ports that are not for callers, which take all descriptors.
func TestMisbehavingCallersTakeNoDescriptorsAtOtherPorts(t *testing.T) {
	t.Setenv("OLEANDERD_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
	t.Setenv("OLEANDERD_MAX_CONNECTIONS", fmt.Sprint(crowdMaxConnections))
	c := startClusterOf(t, 1)
	bounds := badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdMaxConnections + otherDescriptors}
	idle := badcallers.Kind{Name: "idle connections", Callers: bounds.Descriptors + otherDescriptors, Send: sendNothing, Reads: true}
	t.Run("admin", func(t *testing.T) {
		testCrowdAt(t, c, func(inst *Instance) string { return inst.AdminAddress }, crowdRequest(c, crowdBodyBytes), idle, bounds)
	})
	t.Run("peer", func(t *testing.T) {
		testCrowdAt(t, c, func(inst *Instance) string { return inst.PeerAddress }, crowdRequest(c, crowdBodyBytes), idle, bounds)
	})
}

// sendNothing leaves a connection idle.
func sendNothing(io.Writer, badcallers.Request, string) error { return nil }

// Shares of the time in which an instance stands still, as on a machine with little processor time.
const (
	standsStillFor = 80 * time.Millisecond
	runsFor        = 20 * time.Millisecond
)

// Guards against an instance that stands a crowd only with all the processor time that it asks for.
func TestMisbehavingCallersAtInstanceWithLittleTime(t *testing.T) {
	t.Setenv("OLEANDERD_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
	t.Setenv("OLEANDERD_MAX_BODY", fmt.Sprint(crowdBodyBytes))
	t.Setenv("OLEANDERD_MAX_CONNECTIONS", fmt.Sprint(crowdMaxConnections))
	c := startClusterOf(t, 1)
	bounds := badcallers.Usage{Resident: crowdMemoryMB << 20, Descriptors: crowdMaxConnections + otherDescriptors}
	for _, k := range badcallers.Kinds(crowdBodies, crowdConnections, "") {
		if !slices.Contains([]string{"length, a byte short", "chunks of a byte, short", "24 MB in chunks", "six whole bodies each, answers not read", "bodies of 100 bytes, a byte short"}, k.Name) {
			continue
		}
		t.Run(k.Name, func(t *testing.T) {
			restartCrowded(t, c)
			process := c.Instances[0].process.cmd.Process
			go func() {
				for t.Context().Err() == nil {
					_ = process.Signal(syscall.SIGSTOP)
					time.Sleep(standsStillFor)
					_ = process.Signal(syscall.SIGCONT)
					time.Sleep(runsFor)
				}
			}()
			sendCrowd(t, c, c.Instances[0].CallerAddress, crowdRequest(c, crowdBodyBytes), k, bounds)
		})
	}
}

// Guards against an instance without a bound on its memory unless a setting names one.
func TestMisbehavingCallersMeetDefaultSettings(t *testing.T) {
	c := startClusterOf(t, 1)
	for _, k := range badcallers.Kinds(defaultBodies, crowdConnections, "")[:3] {
		bounds := badcallers.Usage{Resident: defaultMemoryMB << 20, Descriptors: defaultDescriptors}
		t.Run(k.Name, func(t *testing.T) { testCrowd(t, c, crowdRequest(c, defaultBodyBytes), k, bounds) })
	}
}

// crowdRequest is what the crowd asks of an instance.
func crowdRequest(c *Cluster, bodyBytes int) badcallers.Request {
	return badcallers.Request{Host: "oleander.example", Path: "/services/orders/new", Header: "Authorization: Bearer " + c.APIKey + "\r\n", BodyBytes: bodyBytes,
		IDHeader: "Idempotency-Key", ListHeader: "Accept"}
}

// testCrowd lets a crowd come to the callers' port of a new process of one instance.
func testCrowd(t *testing.T, c *Cluster, r badcallers.Request, k badcallers.Kind, bounds badcallers.Usage) {
	t.Helper()
	testCrowdAt(t, c, func(inst *Instance) string { return inst.CallerAddress }, r, k, bounds)
}

// testCrowdAt does the same at another port.
func testCrowdAt(t *testing.T, c *Cluster, port func(*Instance) string, r badcallers.Request, k badcallers.Kind, bounds badcallers.Usage) {
	t.Helper()
	restartCrowded(t, c)
	sendCrowd(t, c, port(c.Instances[0]), r, k, bounds)
}

// restartCrowded restarts the instance that crowds come to.
func restartCrowded(t *testing.T, c *Cluster) {
	t.Helper()
	inst := c.Instances[0]
	if err := inst.Kill(); err != nil && !inst.Exited() {
		t.Fatal(err)
	}
	if err := c.StartInstance(inst); err != nil {
		t.Fatal(err)
	}
	if err := inst.AwaitReady(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// sendCrowd lets a crowd come to an address of the first instance, go, and checks what the instance does meanwhile.
func sendCrowd(t *testing.T, c *Cluster, address string, r badcallers.Request, k badcallers.Kind, bounds badcallers.Usage) {
	t.Helper()
	inst := c.Instances[0]
	awaitAnswer(t, c, inst, "before")
	watch := badcallers.StartWatch(inst.process.cmd.Process.Pid, address)
	callers := badcallers.Start(address, r, k)
	time.Sleep(crowdStay)
	awaitAnswer(t, c, inst, "beside the crowd")
	callers.Stop()
	awaitAnswer(t, c, inst, "after the crowd")
	peak, err := watch.Stop()
	opened, closed := callers.Opened()
	t.Logf("%v; %d connections opened, %d of them closed", peak, opened, closed)
	switch {
	case err != nil:
		t.Errorf("the process has ended: %v", err)
	case peak.Memory() >= bounds.Resident:
		t.Errorf("%v; the bound is %d MB", peak, bounds.Resident>>20)
	case peak.Descriptors > bounds.Descriptors:
		t.Errorf("%d descriptors; the bound is %d", peak.Descriptors, bounds.Descriptors)
	}
}

// awaitAnswer sends ordinary orders until one of them is answered.
func awaitAnswer(t *testing.T, c *Cluster, inst *Instance, when string) {
	t.Helper()
	caller := NewCaller(c.APIKey, 3*time.Second)
	caller.Client.Transport = &http.Transport{DisableKeepAlives: true}
	var last Result
	for end := time.Now().Add(answerWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		last = caller.PlaceOrder(context.Background(), inst.CallerAddress, fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
		if !last.Interrupted() && last.Status == http.StatusOK {
			return
		}
	}
	t.Errorf("no ordinary order is answered %s: %+v", when, last)
}
