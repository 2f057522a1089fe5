package processes

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oleanderdale.org/oleander/connection/rawhttp"
)

// shop is the configuration of two services of a group of their own: calls of "single" run at most once, those of "shelf" may be repeated.
const shop = `
---
kind: group
name: shop
serves: services
owner: shop-team
checks_fencing: false
concurrency: 64
---
kind: service
name: single
group: shop
repeatable: false
tokens: 5
---
kind: service
name: shelf
group: shop
repeatable: true
tokens: 5
---
kind: approval
account: technicians
owner: shop-team
services: [single, shelf]
`

// largeBody is larger than what the kernel holds of an answer for a caller.
var largeBody = bytes.Repeat([]byte("x"), 15<<20)

// slowCall is how long a slow call runs.
const slowCall = 2500 * time.Millisecond

// shopServer is a service that runs each call, and answers as the last part of its path says: with a status, or with a large body that
// has a length or ends with the connection.
type shopServer struct {
	mu   sync.Mutex
	runs map[string]int // by idempotency key
}

func (s *shopServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs[r.Header.Get("Idempotency-Key")]++
	s.mu.Unlock()
	switch kind := path.Base(r.URL.Path); kind {
	case "length":
		w.Header().Set("Content-Length", strconv.Itoa(len(largeBody)))
		_, _ = w.Write(largeBody)
	case "unframed":
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = w.Write(largeBody)
	case "slow":
		time.Sleep(slowCall)
		_, _ = io.WriteString(w, "{}")
	default:
		status, err := strconv.Atoi(kind)
		if err != nil {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
	}
}

func (s *shopServer) ran(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// startShop starts a deployment with an instance in each availability zone, and two servers of the shop, in the first two zones.
func startShop(t *testing.T) (*Cluster, *shopServer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	dir := t.TempDir()
	config := filepath.Join(dir, "with-shop.yaml")
	if err := os.WriteFile(config, []byte(readFile("testdata/deployment.yaml")+shop), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := Build(ctx, dir); err != nil {
		t.Fatal(err)
	}
	c, err := Start(ctx, dir, config, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs(15))
		}
		c.Close()
	})
	s := &shopServer{runs: make(map[string]int)}
	for n, zone := range Zones[:2] {
		server := httptest.NewServer(s)
		t.Cleanup(server.Close)
		body := fmt.Sprintf(`{"address":%q,"zone":%q,"group":"shop"}`, strings.TrimPrefix(server.URL, "http://"), zone)
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("%s/shop-%d", c.urls["list"], n), strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	caller := NewCaller(c.APIKey, callTimeout)
	for _, inst := range c.Instances {
		if err := waitUntil(ctx, "the shop", func() bool { return callShop(ctx, caller, inst, "shelf", "200", "").Status == http.StatusOK }); err != nil {
			t.Fatal(err)
		}
	}
	return c, s
}

// callShop calls a service of the shop.
func callShop(ctx context.Context, c *Caller, inst *Instance, service, kind, key string) Result {
	resp, err := c.post(ctx, inst.CallerAddress, "/services/"+service+"/"+kind, "{}", key)
	if err != nil {
		return Result{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return parseRefusal(resp)
}

// checkRefusedAfterRun fails the test if a call that must run once runs twice, or ran and is answered with a status that promises the
// opposite.
func checkRefusedAfterRun(t *testing.T, status int) {
	t.Helper()
	c, s := startShop(t)
	caller := NewCaller(c.APIKey, callTimeout)
	for _, inst := range c.Instances {
		key := fmt.Sprintf("%s-%d", inst.Name, status)
		got := callShop(context.Background(), caller, inst, "single", strconv.Itoa(status), key)
		again := callShop(context.Background(), caller, inst, "single", strconv.Itoa(status), key)
		t.Logf("%s: %d %s ran %s, then %d %s ran %s; %d runs", inst.Name, got.Status, got.Reason, got.Execution, again.Status, again.Reason, again.Execution, s.ran(key))
		if n := s.ran(key); n != 1 {
			t.Errorf("%s: the call ran %d times", inst.Name, n)
		}
		if got.Status == status || got.Execution == "not-run" {
			t.Errorf("%s: the call ran and was answered with %d, ran %q", inst.Name, got.Status, got.Execution)
		}
	}
}

// Guards against a call that must run once and runs again, since its service answers 503 after the run.
func TestServiceThatAnswers503AfterARun(t *testing.T) {
	checkRefusedAfterRun(t, http.StatusServiceUnavailable)
}

// Guards against a call that ran and whose caller is told the opposite, since its service answers 429 after the run.
func TestServiceThatAnswers429AfterARun(t *testing.T) {
	checkRefusedAfterRun(t, http.StatusTooManyRequests)
}

// Guards against a call that ran and whose caller is told the opposite, since its service answers 408 after the run.
func TestServiceThatAnswers408AfterARun(t *testing.T) {
	checkRefusedAfterRun(t, http.StatusRequestTimeout)
}

// slowReader reads the head of an answer, and the rest after middle. It reports how many bytes it got, whether the answer said where it
// ends, and how it ended.
func slowReader(t *testing.T, c *Cluster, inst *Instance, service, kind string, middle func()) (got int, framed bool, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", inst.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /services/%s/%s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow-%s-%s\r\nContent-Length: 2\r\n\r\n{}",
		service, kind, c.APIKey, service, kind)
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		t.Fatalf("%s: status %d %s", service, resp.StatusCode, b)
	}
	middle()
	n, err := io.Copy(io.Discard, resp.Body)
	return int(n), !rawhttp.EndsWithConnection(resp), err
}

// checkTornByEnd fails the test if an answer that its instance had not written to its end, as it ended, looks whole.
func checkTornByEnd(t *testing.T, kind string, wantFramed bool, end func(inst *Instance)) {
	t.Helper()
	c, _ := startShop(t)
	for n, service := range []string{"shelf", "single"} {
		inst := c.Instances[n] // in the zone of a server of its own
		got, framed, err := slowReader(t, c, inst, service, kind, func() {
			time.Sleep(500 * time.Millisecond)
			end(inst)
		})
		t.Logf("%s: %d of %d bytes, framed %v, %v", service, got, len(largeBody), framed, err)
		if framed != wantFramed {
			t.Errorf("%s: framed %v", service, framed)
		}
		if got >= len(largeBody) {
			t.Errorf("%s: all bytes arrived, so the test proves nothing", service)
		} else if err == nil {
			t.Errorf("%s: %d of %d bytes look whole", service, got, len(largeBody))
		}
	}
}

func kill(inst *Instance) { _ = inst.Kill() }

// stopAtOnce sends SIGTERM and then an interrupt, so that the instance ends without its calls, and waits until its process has exited.
func stopAtOnce(inst *Instance) {
	for _, s := range []os.Signal{syscall.SIGTERM, os.Interrupt} {
		_ = inst.process.cmd.Process.Signal(s)
		time.Sleep(200 * time.Millisecond)
	}
	<-inst.process.done
}

// Guards against the part of an answer with a length that looks whole, since its instance was killed.
func TestAnswerOfAKilledInstanceIsNotWhole(t *testing.T) {
	checkTornByEnd(t, "length", true, kill)
}

// Guards against the part of an answer without a length that looks whole, since its instance was killed.
func TestUnframedAnswerOfAKilledInstanceIsNotWhole(t *testing.T) {
	checkTornByEnd(t, "unframed", false, kill)
}

// Guards against the part of an answer without a length that looks whole, since its instance was told twice to stop.
func TestUnframedAnswerOfAStoppedInstanceIsNotWhole(t *testing.T) {
	checkTornByEnd(t, "unframed", false, stopAtOnce)
}

// Guards against calls that a second SIGTERM cuts.
func TestSecondSIGTERMCutsNoCall(t *testing.T) {
	c, _ := startShop(t)
	caller := NewCaller(c.APIKey, callTimeout)
	for n, service := range []string{"shelf", "single"} {
		inst := c.Instances[n]
		got := make(chan Result, 1)
		go func() { got <- callShop(context.Background(), caller, inst, service, "slow", "slow-"+service) }()
		time.Sleep(300 * time.Millisecond)
		for range 3 {
			_ = inst.process.cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(200 * time.Millisecond)
		}
		if r := <-got; r.Status != http.StatusOK || r.Err != nil {
			t.Errorf("%s: %+v", service, r)
		}
	}
}
