package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// startCut starts an instance without own links to servers, and others that connect for it.
func (f *fixture) startCut(relays int, mode cutMode) (url string, own *cutLinks) {
	url = f.start()
	for range relays {
		f.start()
	}
	g := f.gateways[0]
	testutil.WaitFor(f.t, func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		live := 0
		for _, m := range g.members.All(boottime.Now()) {
			if m.Name != g.settings.Name && m.Live(boottime.Now()) {
				live++
			}
		}
		return live == relays
	})
	own = &cutLinks{}
	own.install(g)
	own.set(mode)
	return url, own
}

// Guards against an order that runs twice, or ran and is refused, since a second copy of an earlier answer is believed on a connection
// through another instance.
func TestSecondCopyThroughAnotherInstanceIsNotBelieved(t *testing.T) {
	const requests = 20
	notRun := fmt.Sprintf("%s: %%s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testID, testNotRun)
	for name, head := range map[string]string{
		"503":   "HTTP/1.1 503 Service Unavailable\r\n" + notRun,
		"421":   "HTTP/1.1 421 Misdirected Request\r\n" + notRun,
		"429":   "HTTP/1.1 429 Too Many Requests\r\n" + notRun,
		"no ID": "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\nIgnored: %s\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			var servers []*secondCopies
			for i := range 2 {
				s := &secondCopies{copies: make(map[string]string), runs: make(map[string]int), head: head}
				servers = append(servers, s)
				f.backend(fmt.Sprint("s", i), "plain", s.ServeHTTP)
			}
			url, _ := f.startCut(1, cutRefuses)
			ran := 0
			for n := range requests {
				id := fmt.Sprint("r", n)
				got := f.ask(http.MethodPost, url+"/order/x", testID, id)
				runs := servers[0].runs[id] + servers[1].runs[id]
				ran += runs
				if runs > 1 || runs > 0 && claimsNotRun(got.status) {
					t.Errorf("%s ran %d times, status %d", id, runs, got.status)
				}
			}
			if ran == 0 || f.gateways[1].metrics.relayed.Get() == 0 {
				t.Errorf("%d runs through %d relayed connections, so the test proves nothing", ran, f.gateways[1].metrics.relayed.Get())
			}
		})
	}
}

// playOwnRejections sends orders through another instance to servers that reject some, and to entries of servers that are gone and had
// the address of the last one.
func playOwnRejections(t *testing.T, count, gone int) {
	const requests, together = 40, 2
	f := newFixture(t, config(1))
	var servers []*rejectsFirst
	address := ""
	for i := range count {
		s := newRejectsFirst(fmt.Sprint("s", i), gone == 0)
		address = f.backend(s.id, "plain", s.ServeHTTP).address
		servers = append(servers, s)
	}
	for n := range gone {
		f.store.PutServer(directory.Entry{ID: fmt.Sprint("gone", n), Address: address, Zone: "z", Group: "plain", Incarnation: 1, Slots: 4})
	}
	url, _ := f.startCut(2, cutRefuses)
	status := make([]int, requests)
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() { status[n] = f.ask(http.MethodPost, url+"/order/x", testID, fmt.Sprint("r", n)).status })
		if n%together == together-1 {
			callers.Wait()
		}
	}
	callers.Wait()
	for n := range requests {
		id, runs := fmt.Sprint("r", n), 0
		for _, s := range servers {
			runs += s.runs[id]
		}
		if runs > 1 || runs > 0 && claimsNotRun(status[n]) {
			t.Errorf("%s ran %d times, status %d", id, runs, status[n])
		}
	}
}

// Guards against an order that runs twice, or ran and is refused, since a second copy of its own rejection is believed on a connection
// through another instance.
func TestSecondCopyOfOwnRejectionThroughAnotherInstanceIsNotBelieved(t *testing.T) {
	for name, tc := range map[string][2]int{"three servers": {3, 0}, "address of servers gone": {1, 6}, "address of one of three": {3, 6}} {
		t.Run(name, func(t *testing.T) {
			playOwnRejections(t, tc[0], tc[1])
		})
	}
}

// Guards against an order that ran and is refused, since the copy of its own rejection is believed that comes after the answer to
// another request on a connection through another instance.
func TestLateCopyOfOwnRejectionThroughAnotherInstanceIsNotBelieved(t *testing.T) {
	f := playLateCopy(t, func(f *fixture) string {
		url, _ := f.startCut(1, cutRefuses)
		return url
	})
	if n := f.gateways[1].metrics.relayed.Get(); n == 0 {
		t.Error("nothing went through another instance, so the test proves nothing")
	}
}

var errTestRelay = errors.New("the relay ended")

// relayFault is what a relay does to the requests that it took.
type relayFault struct {
	forwardAfter time.Duration // nothing is forwarded before
	share        float64       // of the request that is forwarded
	ends         bool          // the relay ends then
	answerBytes  int           // of the server's answer that are passed on, before the relay ends; 0: all
}

// faultyConn is a relay's connection to a server.
type faultyConn struct {
	*net.TCPConn
	fault *relayFault
	read  int
}

func (c *faultyConn) Write(b []byte) (int, error) {
	time.Sleep(c.fault.forwardAfter)
	n, err := c.TCPConn.Write(b[:int(float64(len(b))*c.fault.share)])
	if c.fault.ends {
		return n, errTestRelay
	}
	return n, err
}

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.fault.answerBytes == 0 {
		return c.TCPConn.Read(b)
	}
	if c.read >= c.fault.answerBytes {
		return 0, errTestRelay
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.fault.answerBytes-c.read)])
	c.read += n
	return n, err
}

// Guards against an order that runs twice, or ran and is refused, since the instance that took it on its way to the server ends, stops
// or forwards it late.
func TestFaultyRelayRunsNoOrderTwice(t *testing.T) {
	for name, fault := range map[string]relayFault{
		"ends before forwarding":       {ends: true},
		"ends amid forwarding":         {share: 0.5, ends: true},
		"ends after forwarding":        {share: 1, ends: true},
		"stands still, then ends":      {forwardAfter: 300 * time.Millisecond, ends: true},
		"stands still, then forwards":  {forwardAfter: 300 * time.Millisecond, share: 1},
		"forwards after the deadline":  {forwardAfter: 1500 * time.Millisecond, share: 1},
		"ends amid the answer's head":  {share: 1, answerBytes: 30},
		"ends amid the answer's body":  {share: 1, answerBytes: 120},
		"ends after a byte of answer":  {share: 1, answerBytes: 1},
		"ends after the status line":   {share: 1, answerBytes: len("HTTP/1.1 503 Service Unavailable\r\n")},
		"ends amid the rejection's ID": {share: 1, answerBytes: len("HTTP/1.1 200 OK\r\nId: s")},
	} {
		for path, most := range map[string]int{"/order/x": 1, "/read/x": 2, "/stream/x": 1, "/resume/x": 2} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, config(1))
				runs := newRunCounts()
				for _, id := range []string{"a", "b"} {
					f.backend(id, "plain", func(w http.ResponseWriter, r *http.Request) {
						runs.add(r)
						ok(w, r)
					})
					f.backend("e"+id, "llm", func(w http.ResponseWriter, r *http.Request) {
						runs.add(r)
						events(w, 1, 3)
					}, "warm")
				}
				url, _ := f.startCut(1, cutRefuses)
				dial := f.gateways[1].pool.Dial
				f.gateways[1].pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					c, err := dial(ctx, address)
					if err != nil {
						return nil, err
					}
					return &faultyConn{TCPConn: c.(*net.TCPConn), fault: &fault}, nil
				}
				got := f.ask(http.MethodPost, url+path, testID, subjectID, testModel, map[bool]string{true: "warm"}[path == "/stream/x" || path == "/resume/x"], testWait, "1000")
				time.Sleep(max(0, fault.forwardAfter-time.Second) + 100*time.Millisecond)
				runs.check(t, subjectID, got.status, most)
				if f.gateways[1].metrics.relayed.Get() == 0 {
					t.Error("nothing was relayed, so the test proves nothing")
				}
			})
		}
	}
}

// Guards against an order that runs twice, or ran and is refused, while its instance's own links fail and come back, and instances that
// connect for it end.
func TestOrdersRunOnceWhileLinksFailAndRelaysEnd(t *testing.T) {
	const callers, played = 12, 6 * time.Second
	f := newFixture(t, config(1))
	runs := newRunCounts()
	var arrived atomic.Int64
	for i := range 4 {
		f.backend(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, r *http.Request) {
			if arrived.Add(1)%4 == 0 {
				w.Header().Set(testNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			runs.add(r)
			time.Sleep(15 * time.Millisecond)
			ok(w, r)
		})
	}
	url, own := f.startCut(3, notCut)
	end := time.Now().Add(played)
	type sent struct {
		id     string
		status int
		most   int
	}
	var mu sync.Mutex
	var all []sent
	var calling sync.WaitGroup
	for i := range callers {
		calling.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				s := sent{id: fmt.Sprintf("o%d-%d", i, n), most: 1}
				path := "/order/x"
				if n%3 == 0 {
					path, s.most = "/read/x", 2
				}
				s.status = f.ask(http.MethodPost, url+path, testID, s.id, testWait, "700").status
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(300 * time.Millisecond)
		own.set([]cutMode{cutHangs, notCut, cutResets, notCut, cutRefuses}[n%5])
		if n == 5 || n == 11 {
			f.cancels[1+n/6]()
		}
	}
	own.set(notCut)
	calling.Wait()
	time.Sleep(200 * time.Millisecond)
	statuses := make(map[int]int)
	for _, s := range all {
		statuses[s.status]++
		runs.check(t, s.id, s.status, s.most)
	}
	relayed := f.gateways[1].metrics.relayed.Get() + f.gateways[2].metrics.relayed.Get() + f.gateways[3].metrics.relayed.Get()
	t.Logf("statuses %v, %d relayed connections", statuses, relayed)
	if relayed == 0 || statuses[http.StatusOK] == 0 {
		t.Error("nothing was relayed or served, so the test proves nothing")
	}
}
