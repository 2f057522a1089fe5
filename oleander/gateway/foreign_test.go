package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// secondCopies is a server that answers the first request on a connection, and sends a second copy of that answer where the
// next one is expected, while it runs the next request.
type secondCopies struct {
	mu     sync.Mutex
	copies map[string]string // by connection
	runs   map[string]int
	head   string // of the first answer, %s is the request's ID
}

func (s *secondCopies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(testID)
	s.mu.Lock()
	known, later := s.copies[r.RemoteAddr]
	if !later {
		s.copies[r.RemoteAddr] = fmt.Sprintf(s.head, id)
	} else {
		s.runs[id]++
	}
	answer := s.copies[r.RemoteAddr]
	s.mu.Unlock()
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	if !later {
		_, _ = io.WriteString(c, answer)
		next, err := http.ReadRequest(b.Reader)
		if err != nil {
			_ = c.Close()
			return
		}
		known, id = answer, next.Header.Get(testID)
		s.mu.Lock()
		s.runs[id]++
		s.mu.Unlock()
	}
	_, _ = io.WriteString(c, known)
	time.Sleep(30 * time.Millisecond)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nok", testID, id, testSigned)
	_ = c.Close()
}

// Guards against an order that runs twice, or ran and is refused, since a second copy of an earlier answer is believed.
func TestSecondCopyIsNoAnswerToTheNextRequest(t *testing.T) {
	const line = "%%s\r\n%s: 1\r\nContent-Length: 0\r\n"
	notRun := fmt.Sprintf("%s: "+line, testID, testNotRun)
	for name, head := range map[string]string{
		"503":            "HTTP/1.1 503 Service Unavailable\r\n" + notRun + "\r\n",
		"421":            "HTTP/1.1 421 Misdirected Request\r\n" + notRun + "\r\n",
		"429 with rest":  "HTTP/1.1 429 Too Many Requests\r\n" + notRun + "Retry-After: 30\r\n\r\n",
		"no ID":          "HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\nIgnored: %s\r\n\r\n",
		"served":         "HTTP/1.1 200 OK\r\n" + fmt.Sprintf("%s: "+line, testID, testSigned) + "\r\n",
		"failed":         "HTTP/1.1 500 Internal Server Error\r\n" + fmt.Sprintf("%s: "+line, testID, testSigned) + "\r\n",
		"informational":  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + notRun + "\r\n",
		"client's fault": "HTTP/1.1 400 Bad Request\r\n" + notRun + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			servers := []*secondCopies{}
			for i := range 2 {
				s := &secondCopies{copies: make(map[string]string), runs: make(map[string]int), head: head}
				servers = append(servers, s)
				f.backend(fmt.Sprint("s", i), "plain", s.ServeHTTP)
			}
			url := f.start()
			refused := make(map[string]int)
			for n := range 12 {
				id := fmt.Sprint("r", n)
				if got := f.ask(http.MethodPost, url+"/order/x", testID, id); got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout {
					refused[id] = got.status
				} else if got.status == http.StatusOK && name != "served" && got.body != "ok" {
					t.Errorf("%s: body %q", id, got.body)
				}
			}
			second := 0
			for n := range 12 {
				id := fmt.Sprint("r", n)
				runs := servers[0].runs[id] + servers[1].runs[id]
				second += runs
				if runs > 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
				if refused[id] != 0 && runs > 0 {
					t.Errorf("%s was refused with %d and ran", id, refused[id])
				}
			}
			if second == 0 {
				t.Error("no connection was used again, so the test proves nothing")
			}
		})
	}
}

// streamCopies is a model server that sends a second copy of the earlier stream on a connection before the next one.
type streamCopies struct {
	mu     sync.Mutex
	runs   map[string]int
	copies int
}

// testStreamEvents is the number of events of a stream of streamCopies.
const testStreamEvents = 3

// ownEvents returns the events of a request's stream after the last one that its caller has.
func ownEvents(id string, last int) string {
	var b strings.Builder
	for i := last + 1; i <= testStreamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", i, id)
	}
	return b.String()
}

func (s *streamCopies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	for earlier := ""; ; {
		id := r.Header.Get(testID)
		last, _ := strconv.Atoi(r.Header.Get(testLast))
		s.mu.Lock()
		s.runs[id]++
		if earlier != "" {
			s.copies++
		}
		s.mu.Unlock()
		body := ownEvents(id, last)
		own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", testID, id, testSigned, len(body), body)
		_, _ = io.WriteString(c, earlier+own)
		earlier = own
		if r, err = http.ReadRequest(b.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// Guards against events of another caller's stream, and against a stream that runs twice, since a second copy of an earlier one is
// believed.
func TestSecondCopyOfAStreamIsNotTheNextStream(t *testing.T) {
	const requests = 20
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, config(1))
			s := &streamCopies{runs: make(map[string]int)}
			for i := range 2 {
				f.backend(fmt.Sprint("s", i), "llm", s.ServeHTTP, "warm")
			}
			url := f.start()
			for n := range requests {
				id := fmt.Sprint("r", n)
				got := f.ask(http.MethodPost, url+path, testID, id, testModel, "warm")
				switch {
				case got.status == http.StatusOK && got.body != ownEvents(id, 0):
					t.Errorf("%s: body %q", id, got.body)
				case got.status == http.StatusServiceUnavailable && s.runs[id] > 0:
					t.Errorf("%s was refused and ran", id)
				case path == "/stream/x" && s.runs[id] > 1:
					t.Errorf("%s ran %d times", id, s.runs[id])
				}
			}
			if s.copies == 0 {
				t.Error("no connection was used again, so the test proves nothing")
			}
		})
	}
}

// Guards against a result that belongs to another order, or a server that counts as granted twice, since an instance's reply came
// twice, or comes for an earlier start of this instance.
func TestSecondCopyIsNoReplyOfAnotherInstance(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	next := make(chan placer.OrderResult, 1)
	g.forwardedOrders.open[2] = next
	for _, m := range []orderResultMsg{
		{Incarnation: g.incarnation, Number: 1, Result: placer.Accepted},
		{Incarnation: g.incarnation - 1, Number: 2, Result: placer.Accepted},
	} {
		g.handleOrderResult(&m)
	}
	if len(next) != 0 {
		t.Errorf("order 2 has result %v, which is not its own", <-next)
	}
	now := boottime.Now()
	q := &pendingQuery{replies: make(chan dispatchReply, maxBufferedReplies)}
	number := g.dispatchClient.BeginQuery()
	g.pendingQueries[number] = q
	before := g.servers.Get("a").Running()
	grant := dispatch.Reply{Incarnation: g.incarnation, Number: number, Decision: dispatch.Granted, Choice: directory.Choice{Server: g.servers.Get("a")}}
	earlier := grant
	earlier.Incarnation--
	for _, r := range []dispatch.Reply{earlier, grant, grant} {
		g.handleChoiceMsg(now, g.encodeChoice(now, r), g.encodeChoiceDetail(now, r))
	}
	if n := g.servers.Get("a").Running() - before; n != 1 || len(q.replies) != 1 {
		t.Errorf("one grant counts as %d, with %d replies", n, len(q.replies))
	}
}

// rejectsFirst is a server that rejects each request once. It sends a second copy of the rejection before the answer to the next
// request on the connection, which it runs.
type rejectsFirst struct {
	mu       sync.Mutex
	id       string // requests for another server are rejected as misdirected
	all      bool   // the others are rejected, too
	rejected map[string]bool
	runs     map[string]int
}

func newRejectsFirst(id string, all bool) *rejectsFirst {
	return &rejectsFirst{id: id, all: all, rejected: make(map[string]bool), runs: make(map[string]int)}
}

// rejection returns the rejection of a request, or "" if it runs. again reports whether it comes on a connection on which an
// earlier one was rejected.
func (s *rejectsFirst) rejection(r *http.Request, again bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, status := r.Header.Get(testID), 0
	switch {
	case r.Header.Get(testServer) != s.id:
		status = http.StatusMisdirectedRequest
	case s.all && !again && !s.rejected[id]:
		status = http.StatusServiceUnavailable
	default:
		s.runs[id]++
		return ""
	}
	s.rejected[id] = true
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), testID, id, testServer, s.id, testNotRun)
}

func (s *rejectsFirst) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	earlier := ""
	for {
		own := s.rejection(r, earlier != "")
		_, _ = io.WriteString(c, earlier)
		if own == "" {
			break
		}
		_, _ = io.WriteString(c, own)
		earlier = own
		if r, err = http.ReadRequest(b.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", testID, r.Header.Get(testID), testSigned)
}

// Guards against an order that runs twice, or ran and is refused, since a second copy of its own rejection is believed where it was
// sent again: to the same server, or to the one that has the address of a server that is gone.
func TestSecondCopyOfOwnRejectionIsNotBelieved(t *testing.T) {
	const requests = 20
	for name, tc := range map[string]struct {
		servers int
		gone    int // entries of servers that are gone name the address of the last one
		all     bool
	}{
		"one server":                    {1, 0, true},
		"three servers":                 {3, 0, true},
		"address of servers gone":       {1, 6, false},
		"address of servers gone, full": {1, 6, true},
		"address of one of three":       {3, 6, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			var servers []*rejectsFirst
			address := ""
			for i := range tc.servers {
				s := newRejectsFirst(fmt.Sprint("s", i), tc.all)
				b := f.backend(s.id, "plain", s.ServeHTTP)
				servers = append(servers, s)
				address = b.address
			}
			for n := range tc.gone {
				f.store.PutServer(directory.Entry{ID: fmt.Sprint("gone", n), Address: address, Zone: "z", Group: "plain", Incarnation: 1, Slots: 4})
			}
			url := f.start()
			var callers sync.WaitGroup
			status := make([]int, requests)
			for n := range requests {
				callers.Go(func() { status[n] = f.ask(http.MethodPost, url+"/order/x", testID, fmt.Sprint("r", n)).status })
				if n%2 == 1 {
					callers.Wait()
				}
			}
			callers.Wait()
			for n := range requests {
				id, runs := fmt.Sprint("r", n), 0
				for _, s := range servers {
					runs += s.runs[id]
				}
				if runs > 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
				if runs > 0 && status[n] == http.StatusServiceUnavailable {
					t.Errorf("%s was refused and ran", id)
				}
			}
		})
	}
}

// lateCopy is a server that follows another one at its address. It sends a second copy of its rejection of a request as that request
// is back on the connection.
type lateCopy struct {
	mu     sync.Mutex
	id     string
	runs   map[string]int
	held   chan struct{} // closed: requests with IDs that begin with "held" are answered
	copies int           // after the answer to another request
	shared int           // answers to others on a connection on which a request was rejected
}

func (s *lateCopy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, b, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer func() { _ = c.Close() }()
	rejections := make(map[string]string) // by ID
	for last := ""; ; {
		id, closes := r.Header.Get(testID), ""
		earlier, rejected := rejections[id]
		switch misdirected := r.Header.Get(testServer) == "gone"; {
		case misdirected:
			rejections[id] = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testID, id, testServer, s.id)
			_, _ = io.WriteString(c, rejections[id])
		default:
			s.mu.Lock()
			s.runs[id]++
			if rejected && last != id {
				s.copies++
			}
			if !rejected && len(rejections) > 0 {
				s.shared++
			}
			s.mu.Unlock()
			_, _ = io.WriteString(c, earlier)
			if strings.HasPrefix(id, "held") {
				<-s.held
				closes = "Connection: close\r\n"
			}
			body := ownEvents(id, 0)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n%sContent-Length: %d\r\n\r\n%s", testID, id, testSigned, closes, len(body), body)
		}
		last = id
		if r, err = http.ReadRequest(b.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// ran returns how often a request was run.
func (s *lateCopy) ran(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Guards against an order that ran and is refused, since the copy of its own rejection is believed that comes after the answer to
// another request on the connection.
func TestLateCopyOfOwnRejectionIsNotBelieved(t *testing.T) {
	playLateCopy(t, func(f *fixture) string { return f.start() })
}

// playLateCopy sends an order to a server that rejects it, and then another request over the same connection, before the order comes back.
func playLateCopy(t *testing.T, start func(f *fixture) (url string)) *fixture {
	f := newFixture(t, config(1))
	f.slots = 1
	s := &lateCopy{id: "live", runs: make(map[string]int), held: make(chan struct{})}
	b := f.backend(s.id, "plain", s.ServeHTTP)
	f.store.PutServer(directory.Entry{
		ID: "engine", Address: b.address, Zone: "z", Group: "llm", Incarnation: 1, Slots: 1, LoadedModels: []directory.LoadedModel{{Model: "warm"}},
	})
	url := start(f)
	var asking sync.WaitGroup
	defer asking.Wait()
	for n := range 2 { // as many as the server takes at once
		asking.Go(func() {
			id := fmt.Sprint("held", n)
			for range 20 { // it may be refused while the links are not known
				if s.ran(id) > 0 {
					return
				}
				if got := f.ask(http.MethodPost, url+"/order/x", testID, id); got.status != http.StatusOK {
					t.Logf("%s: %d %s", id, got.status, got.body)
				}
			}
		})
	}
	testutil.WaitFor(t, func() bool { return s.ran("held0")+s.ran("held1") == 2 })
	f.store.PutServer(directory.Entry{ID: "gone", Address: b.address, Zone: "z", Group: "plain", Incarnation: 1, Slots: 1})
	for _, g := range f.gateways {
		testutil.WaitFor(t, func() bool { return f.knows(g, "gone") })
	}
	var order answer
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		order = f.ask(http.MethodPost, url+"/order/x", testID, "order")
	}()
	testutil.WaitFor(t, func() bool { return strings.Contains(f.log.String(), "server rejected the request") })
	if got := f.ask(http.MethodPost, url+"/stream/x", testID, "between", testModel, "warm"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	close(s.held)
	<-asked
	if n := s.ran("order"); n > 1 || n > 0 && order.status != http.StatusOK && order.status != http.StatusBadGateway {
		t.Errorf("the order ran %d times and was answered with %d", n, order.status)
	}
	if s.shared == 0 {
		t.Error("no other request went over the connection of the rejection, so the test proves nothing")
	}
	t.Logf("status %d, %d copies", order.status, s.copies)
	return f
}

// Guards against an order that ran and is refused, since its server answers with a status that promises the opposite, without saying that
// it did not run.
func TestServersOwnRefusalIsNoPromise(t *testing.T) {
	for _, tc := range []struct {
		path   string
		passed bool // the request may be repeated, so that the answer does no harm
	}{{"/order/x", false}, {"/stream/x", false}, {"/read/x", true}} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			for _, signature := range []string{"", "1"} {
				t.Run(fmt.Sprintf("%s %d signed %q", tc.path, status, signature), func(t *testing.T) {
					f := newFixture(t, config(1))
					ran := func(w http.ResponseWriter, _ *http.Request) {
						if signature != "" {
							w.Header().Set(testSigned, signature)
						}
						w.WriteHeader(status)
					}
					var servers []*backend
					for i := range 2 {
						servers = append(servers, f.backend(fmt.Sprint("plain", i), "plain", ran), f.backend(fmt.Sprint("llm", i), "llm", ran, "warm"))
					}
					model := ""
					if tc.path == "/stream/x" {
						model = "warm"
					}
					got := f.ask(http.MethodPost, f.start()+tc.path, testModel, model)
					want, wantSignature := http.StatusBadGateway, ""
					if tc.passed {
						want, wantSignature = status, signature
					}
					if got.status != want || got.header.Get(testSigned) != wantSignature {
						t.Errorf("status %d with signature %q, want %d with %q", got.status, got.header.Get(testSigned), want, wantSignature)
					}
					runs := 0
					for _, s := range servers {
						runs += s.requests()
					}
					if runs != 1 {
						t.Errorf("ran %d times", runs)
					}
				})
			}
		}
	}
}

func BenchmarkMatchResponse(b *testing.B) {
	x := &exchange{call: ports.Call{ID: "9c41d07be2a35f68"}}
	c := &rawhttp.Conn{Reused: true}
	head := ports.ResponseInfo{RequestID: "9c41d07be2a35f68"}
	b.ReportAllocs()
	for b.Loop() {
		if !x.matches(c, head) {
			b.Fatal("no match")
		}
	}
}
