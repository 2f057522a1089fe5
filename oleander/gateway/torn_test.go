package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/membudget"
)

// framing writes whole responses to a request with an ID.
type framing struct {
	write func(id, body string) string
	// untilEnd says that the response ends with its connection.
	untilEnd bool
}

// headLines returns the lines of a head that each response has.
func headLines(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 1\r\n", testID, id, testSigned)
}

// inChunks returns a body in chunks of a size, without the last one.
func inChunks(body string, size int, extension string) string {
	var b strings.Builder
	for part := range slices.Chunk([]byte(body), size) {
		fmt.Fprintf(&b, "%03x%s\r\n%s\r\n", len(part), extension, part)
	}
	return b.String()
}

func withLength(id, body string) string {
	return headLines(id) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

const chunkedLine = "Transfer-Encoding: chunked\r\n"

// framings are all ways in which a server may say where its response ends.
var framings = map[string]framing{
	"length": {write: withLength},
	"one chunk": {write: func(id, body string) string {
		return headLines(id) + chunkedLine + "\r\n" + inChunks(body, len(body)+1, "") + "0\r\n\r\n"
	}},
	"chunks": {write: func(id, body string) string {
		return headLines(id) + chunkedLine + "\r\n" + inChunks(body, 18, `;name="v"`) + "000\r\n\r\n"
	}},
	"trailers": {write: func(id, body string) string {
		return headLines(id) + chunkedLine + "Trailer: Sum\r\n\r\n" + inChunks(body, 18, "") + "0\r\nSum: 1\r\nMore: 2\r\n\r\n"
	}},
	"neither":     {untilEnd: true, write: func(id, body string) string { return headLines(id) + "Connection: close\r\n\r\n" + body }},
	"old version": {untilEnd: true, write: func(id, body string) string { return strings.Replace(headLines(id), "1.1", "1.0", 1) + "\r\n" + body }},
	"bare LF":     {write: bareLF},
	"continuation": {write: func(id, body string) string {
		return headLines(id) + "Name: value\r\n more\r\n\tand more\r\n" + strings.TrimPrefix(withLength(id, body), headLines(id))
	}},
	"informational": {write: func(id, body string) string {
		return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n" + testID + ": " + id + "\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + withLength(id, body)
	}},
}

// bareLF returns a response whose head has line ends without a carriage return.
func bareLF(id, body string) string {
	head, _, _ := strings.Cut(withLength(id, body), "\r\n\r\n")
	return strings.ReplaceAll(head, "\r\n", "\n") + "\n\n" + body
}

// tornPlay is one request and how the answers to it are cut.
type tornPlay struct {
	framing framing
	body    func(after int) string // what follows an event; 0: all
	cut     int                    // bytes of an answer that are sent
	reset   bool
	once    bool // only the first answer is cut

	relayed  bool // the answers go through a relay
	framed   bool // it sends frames
	relayCut int  // bytes that the relay sends

	mu    sync.Mutex
	runs  int
	whole bool // an answer was sent whole
	ended bool // an answer ended plainly, with its connection
}

// serve answers one run.
func (p *tornPlay) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(testLast))
	body := p.body(after)
	full := p.framing.write(r.Header.Get(testID), body)
	p.mu.Lock()
	p.runs++
	cut, reset := min(p.cut, len(full)), p.reset
	if p.once && p.runs > 1 {
		cut, reset = len(full), false
	}
	if !p.relayed {
		p.whole, p.ended = p.whole || cut == len(full), p.ended || !reset
	}
	p.mu.Unlock()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(c, full[:cut])
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

func (p *tornPlay) ran() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs > 0
}

// tornKind is a kind of request.
type tornKind struct {
	path    string
	stream  bool
	maxRuns int
}

var tornKinds = map[string]tornKind{
	"read": {"/read/", false, 2}, "order": {"/order/", false, 1},
	"stream": {"/stream/", true, 1}, "resumable": {"/resume/", true, 2},
}

const (
	tornEvents = 3
	tornText   = "the whole answer, of fifty bytes that are all needed"
)

func (k tornKind) body(after int) string {
	if k.stream {
		return eventsText(after+1, tornEvents)
	}
	return tornText
}

// tornServers plays requests against servers whose answers are cut.
type tornServers struct {
	t       *testing.T
	f       *fixture
	url     string
	plays   sync.Map // by path
	count   atomic.Int64
	asked   atomic.Int64
	refused atomic.Int64 // 503 and the like: nothing ran
	whole   atomic.Int64 // answers that claim to be complete
	failed  atomic.Int64
}

const tornServerCount = 8

func newTornServers(t *testing.T, memory int64) *tornServers {
	m := config(1)
	m.Groups["llm"].Engine = nil // many breaks of one model would be blamed on it
	s := &tornServers{t: t, f: newFixture(t, m)}
	s.f.memory, s.f.slots = memory, 1000
	serve := func(w http.ResponseWriter, r *http.Request) {
		p, found := s.plays.Load(r.URL.Path)
		if !found {
			ok(w, r)
			return
		}
		p.(*tornPlay).serve(w, r)
	}
	for i := range tornServerCount {
		s.f.backend(fmt.Sprint("p", i), "plain", serve)
		s.f.backend(fmt.Sprint("e", i), "llm", serve)
	}
	return s
}

// maxTornWait is how long a request that was refused is made again: longer than the only relay is left alone that failed.
const maxTornWait = 15 * time.Second

// play makes a request until it ran, and checks what its caller got.
func (s *tornServers) play(name string, k tornKind, p *tornPlay) {
	for began := time.Now(); time.Since(began) < maxTornWait; {
		path := k.path + strconv.FormatInt(s.count.Add(1), 10)
		s.plays.Store(path, p)
		got := s.f.ask(http.MethodPost, s.url+path, testWait, "1500")
		s.asked.Add(1)
		if p.ran() {
			s.check(name, k, p, got)
			return
		}
		s.refused.Add(1)
		if got.claimsToBeComplete() {
			s.t.Errorf("%s: status %d, body %q, though nothing ran", name, got.status, got.body)
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Errorf("%s: refused for %v", name, maxTornWait)
}

// check checks what the caller of a request that ran got.
func (s *tornServers) check(name string, k tornKind, p *tornPlay, got answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs > k.maxRuns {
		s.t.Errorf("%s: ran %d times, allowed %d", name, p.runs, k.maxRuns)
	}
	want := p.body(0)
	switch {
	case got.claimsToBeComplete():
		s.whole.Add(1)
		if !p.whole || got.body != want {
			s.failed.Add(1)
			s.t.Errorf("%s: claims to be complete: whole answer sent %v, body %.200q", name, p.whole, got.body)
		}
	case got.status == http.StatusOK && got.err == nil:
		if !p.framing.untilEnd || !p.ended {
			s.t.Errorf("%s: ends plainly, body %.200q", name, got.body)
		}
	case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.status == http.StatusRequestTimeout || got.status == http.StatusMisdirectedRequest:
		s.t.Errorf("%s: status %d after %d runs", name, got.status, p.runs)
	}
	if got.status == http.StatusOK && !strings.HasPrefix(want, got.body) {
		s.t.Errorf("%s: body %.200q is no part of the answer", name, got.body)
	}
	if k.stream && got.status == http.StatusOK && got.err == nil && got.body != "" && !strings.HasSuffix(got.body, "\n\n") {
		s.t.Errorf("%s: ends inside an event: %q", name, got.body)
	}
}

// log logs the counts.
func (s *tornServers) log() {
	s.t.Logf("%d requests, %d refused, %d sent on as whole, %d of them were not", s.asked.Load(), s.refused.Load(), s.whole.Load(), s.failed.Load())
}

// tornCallers is how many requests are made at a time.
const tornCallers = 16

// Guards against a server's answer that ends at any byte, by a close or a reset, and reaches the caller as whole.
func TestTornAnswerIsNotSentOnAsWhole(t *testing.T) {
	for kindName, k := range tornKinds {
		for _, memory := range []int64{0, 64 << 20} {
			t.Run(fmt.Sprintf("%s, memory %d MB", kindName, memory>>20), func(t *testing.T) {
				t.Parallel()
				s := newTornServers(t, memory)
				s.url = s.f.start()
				s.playAll(k)
				s.log()
			})
		}
	}
}

// playAll plays all cuts of all framings for a kind of request.
func (s *tornServers) playAll(k tornKind) {
	s.inParallel(func(jobs chan<- func()) {
		for name, fr := range framings {
			for cut := range len(fr.write("r10000", k.body(0))) + 1 {
				for i, reset := range []bool{false, true} {
					p := &tornPlay{framing: fr, body: k.body, cut: cut, reset: reset, once: k.maxRuns > 1 && (cut+i)%2 == 0}
					jobs <- func() { s.play(fmt.Sprintf("%s cut at %d, reset %v, once %v", name, p.cut, p.reset, p.once), k, p) }
				}
			}
		}
	})
}

// inParallel does what all sends, tornCallers jobs at a time.
func (s *tornServers) inParallel(all func(jobs chan<- func())) {
	jobs := make(chan func())
	var callers sync.WaitGroup
	for range tornCallers {
		callers.Go(func() {
			for job := range jobs {
				job()
			}
		})
	}
	all(jobs)
	close(jobs)
	callers.Wait()
}

// largeSizes are the sizes of bodies that fill the buffers of a response: of a stream, the first one, and chunks, and what is
// more or less by a byte.
var largeSizes = []int{
	4<<10 - 1, 4 << 10, 4<<10 + 1, firstBodyBuffer - 1, firstBodyBuffer, firstBodyBuffer + 1,
	membudget.Chunk - 1, membudget.Chunk, membudget.Chunk + 1, firstBodyBuffer + membudget.Chunk, 2 * membudget.Chunk,
}

// largeBody returns a body of a size, of one event if it is that of a stream.
func largeBody(k tornKind, size int) string {
	if !k.stream {
		return strings.Repeat("x", size)
	}
	const begin, end = "id: 1\ndata: ", "\n\n"
	return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
}

// Guards against an answer that fills a buffer exactly, is cut around it, and reaches the caller as whole.
func TestTornAnswerOfTheSizeOfABufferIsNotSentOnAsWhole(t *testing.T) {
	for kindName, k := range tornKinds {
		for _, memory := range []int64{0, 64 << 20} {
			t.Run(fmt.Sprintf("%s, memory %d MB", kindName, memory>>20), func(t *testing.T) {
				t.Parallel()
				s := newTornServers(t, memory)
				s.url = s.f.start()
				s.inParallel(func(jobs chan<- func()) { s.playLarge(k, jobs) })
				s.log()
			})
		}
	}
}

// playLarge plays cuts near the end of large answers and near the sizes of buffers.
func (s *tornServers) playLarge(k tornKind, jobs chan<- func()) {
	chunked := framing{write: func(id, body string) string {
		return headLines(id) + chunkedLine + "\r\n" + inChunks(body, 4<<10, "") + "0\r\n\r\n"
	}}
	for name, fr := range map[string]framing{"length": framings["length"], "one chunk": framings["one chunk"], "chunks": chunked, "trailers": framings["trailers"], "neither": framings["neither"]} {
		for _, size := range largeSizes {
			whole := largeBody(k, size)
			body := func(after int) string {
				if after > 0 {
					return ""
				}
				return whole
			}
			full := fr.write("r10000", whole)
			head := strings.Index(full, "\r\n\r\n") + 4
			for _, cut := range []int{head, head + size/2, head + size - 1, head + size, len(full) - 7, len(full) - 5, len(full) - 3, len(full) - 2, len(full) - 1, len(full)} {
				for i, reset := range []bool{false, true} {
					p := &tornPlay{framing: fr, body: body, cut: min(cut, len(full)), reset: reset, once: k.maxRuns > 1 && (cut+i)%2 == 0}
					jobs <- func() {
						s.play(fmt.Sprintf("%s of %d bytes cut at %d of %d, reset %v, once %v", name, size, p.cut, len(full), p.reset, p.once), k, p)
					}
				}
			}
		}
	}
}
