package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// cutMode is what a cut does to the connections of an instance to the servers.
type cutMode int32

const (
	notCut     cutMode = iota
	cutHangs           // open connections and new ones hang
	cutResets          // open connections break, new ones hang
	cutRefuses         // open connections live on, new ones are refused
)

// cutLinks are the links of one instance to all servers.
type cutLinks struct {
	mode  atomic.Int32
	mu    sync.Mutex
	conns []*cutConn
}

func (l *cutLinks) is(m cutMode) bool { return cutMode(l.mode.Load()) == m }

// set starts or ends a cut.
func (l *cutLinks) set(m cutMode) {
	l.mode.Store(int32(m))
	if m != cutResets {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.TCPConn.Close()
	}
}

// install puts the links between a gateway and its servers.
func (l *cutLinks) install(g *Gateway) {
	dial := g.pool.Dial
	g.pool.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		switch cutMode(l.mode.Load()) {
		case cutRefuses:
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		case cutHangs, cutResets:
			select {
			case <-time.After(dialTimeout):
				return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		cut := &cutConn{TCPConn: c.(*net.TCPConn), links: l}
		l.mu.Lock()
		l.conns = append(l.conns, cut)
		l.mu.Unlock()
		return cut, nil
	}
}

// cutConn is a connection that may hang.
type cutConn struct {
	*net.TCPConn
	links    *cutLinks
	deadline atomic.Int64
	closed   atomic.Bool
}

func (c *cutConn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.TCPConn.SetWriteDeadline(t)
}

func (c *cutConn) SetReadDeadline(t time.Time) error {
	at := int64(0)
	if !t.IsZero() {
		at = t.UnixNano()
	}
	c.deadline.Store(at)
	return c.TCPConn.SetReadDeadline(t)
}

func (c *cutConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	for c.links.is(cutHangs) {
		if at := c.deadline.Load(); at != 0 && time.Now().UnixNano() > at {
			return 0, os.ErrDeadlineExceeded
		}
		if c.closed.Load() {
			return 0, net.ErrClosed
		}
		time.Sleep(5 * time.Millisecond)
	}
	return n, err
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.links.is(cutHangs) {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// tally counts the first tries at an instance.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) String() string { return fmt.Sprintf("%d of %d", t.served.Load(), t.sent.Load()) }

const (
	cutDuration = 5 * time.Second
	// cutKnownAfter is when a cut must no longer show.
	cutKnownAfter = time.Second
)

// playCut cuts the first instances of three off from all servers, and returns the first tries
// of requests to a path at these and at the others, from cutKnownAfter on.
func playCut(t *testing.T, instances int, mode cutMode, method, path, model string) (cut, others *tally) {
	f := newFixture(t, config(1))
	f.zones = []string{"y", "z", "x"}
	slowOK := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(15 * time.Millisecond)
		ok(w, r)
	}
	stream := func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 5) }
	for i := range 2 {
		f.backend(fmt.Sprint("p", i), "plain", slowOK)
	}
	for i := range 3 {
		f.backend(fmt.Sprint("e", i), "llm", stream, "warm")
	}
	var urls []string
	for range 3 {
		urls = append(urls, f.start())
	}
	links := make([]*cutLinks, instances)
	for i := range links {
		links[i] = &cutLinks{}
		links[i].install(f.gateways[i])
	}
	testutil.WaitFor(t, func() bool {
		return f.ask(method, urls[0]+path, testModel, model).status == http.StatusOK && f.ask(method, urls[2]+path, testModel, model).status == http.StatusOK
	})
	cut, others = &tally{}, &tally{}
	var began atomic.Int64
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 9 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				at := began.Load()
				counts := at != 0 && time.Now().UnixNano() > at+int64(cutKnownAfter)
				got := f.ask(method, fmt.Sprintf("%s%s%d-%d", urls[i%3], path, i, n), testID, fmt.Sprintf("c%d-%d", i, n), testModel, model, testWait, "1000")
				of := others
				if i%3 < instances {
					of = cut
				}
				if counts {
					of.sent.Add(1)
				}
				if counts && got.status == http.StatusOK && got.err == nil {
					of.served.Add(1)
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	for _, l := range links {
		l.set(mode)
	}
	began.Store(time.Now().UnixNano())
	time.Sleep(cutDuration)
	close(stop)
	callers.Wait()
	for _, l := range links {
		l.set(notCut)
	}
	return cut, others
}

// Guards against instances without a path to any server that serve nothing, though others have one.
func TestInstanceCutOffFromServersServes(t *testing.T) {
	kinds := map[string][3]string{
		"read": {http.MethodGet, "/read/"}, "post": {http.MethodPost, "/read/"}, "order": {http.MethodPost, "/order/"},
		"stream": {http.MethodPost, "/resume/", "warm"},
	}
	modes := map[string]cutMode{"hangs": cutHangs, "resets": cutResets, "refuses": cutRefuses}
	for modeName, mode := range modes {
		for kindName, kind := range kinds {
			for instances := 1; instances <= 2; instances++ {
				t.Run(fmt.Sprintf("%d %s %s", instances, modeName, kindName), func(t *testing.T) {
					t.Parallel()
					cut, others := playCut(t, instances, mode, kind[0], kind[1], kind[2])
					t.Logf("first tries served: cut %v, others %v", cut, others)
					wantShare := 0.95 * float64(others.served.Load()) / float64(others.sent.Load())
					if float64(cut.served.Load()) < wantShare*float64(cut.sent.Load()) {
						t.Errorf("cut instances served %v, the others %v; want 95%% of their share", cut, others)
					}
					if others.served.Load()*100 < others.sent.Load()*95 {
						t.Errorf("the others served %v", others)
					}
				})
			}
		}
	}
}

// Guards against a holder of a zone's lease that keeps it though its orders reach no engine.
func TestCutHolderLeavesOrdersToAnother(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("p0", "plain", ok)
	f.backend("p1", "plain", ok)
	urls := []string{f.start(), f.start()}
	mayOrder := func(i int) bool {
		g := f.gateways[i]
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.zoneLease.MayOrder(boottime.Now())
	}
	testutil.WaitFor(t, func() bool { return mayOrder(0) || mayOrder(1) })
	holder, other := 0, 1
	if mayOrder(1) {
		holder, other = 1, 0
	}
	links := &cutLinks{}
	links.install(f.gateways[holder])
	links.set(cutHangs)
	testutil.WaitFor(t, func() bool {
		f.ask(http.MethodGet, urls[holder]+"/read/x", testWait, "400")
		return mayOrder(other)
	})
	if mayOrder(holder) {
		t.Error("the cut holder still sends orders")
	}
	links.set(notCut)
	testutil.WaitFor(t, func() bool {
		f.ask(http.MethodGet, urls[holder]+"/read/x", testWait, "400")
		return !f.gateways[holder].links.cut()
	})
	if mayOrder(holder) || !mayOrder(other) {
		t.Error("the lease changed hands when the cut ended")
	}
}
