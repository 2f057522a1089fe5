package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// slowReaderTimeout is how long a caller may take to read a part of a response. A
	// backend server cuts off a response that remains unread for some seconds.
	slowReaderTimeout = 2 * time.Second
	// callerSendBuffer limits what the kernel holds of a response for one caller, which it
	// would raise to several megabytes. It also bounds how late a caller that stopped
	// reading is noticed.
	callerSendBuffer = 128 << 10
	// callerCheckInterval is how often the connection of a caller with an unread body is
	// checked. net/http notices a closed connection only when the body was read.
	callerCheckInterval = 50 * time.Millisecond
	// drainTimeout is how long the body of a refused request is read and dropped, so that
	// a caller that reads the response only after sending its body gets it.
	drainTimeout = 2 * time.Second
	// firstBodyBuffer is the first buffer for a body of unknown length.
	firstBodyBuffer = membudget.SmallBody
	// maxEventBytes bounds the part of an event that is held until the event is complete.
	maxEventBytes = 1 << 20
)

var (
	errNoMemory    = errors.New("no memory for the response")
	errEventTooBig = invalidf("event larger than %d bytes", maxEventBytes)
)

// memory bounds the bytes held for callers. A nil memory is without bound. Its mutex is
// not held together with Gateway.mu.
type memory struct {
	mu        sync.Mutex
	budget    *membudget.Budget
	servers   *membudget.Servers
	charges   map[membudget.ID]chan struct{} // of waiting charges, closed by the decision
	transfers map[membudget.ID]chan struct{} // of waiting transfers, closed by their start
}

func newMemory(bound int64) *memory {
	if bound <= 0 {
		return nil
	}
	return &memory{
		budget: membudget.New(bound), servers: membudget.NewServers(membudget.MaxServerBytes),
		charges: make(map[membudget.ID]chan struct{}), transfers: make(map[membudget.ID]chan struct{}),
	}
}

// update calls do with mu held, and wakes those whose wait it ended.
func (m *memory) update(do func(now clock.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do(boottime.Now())
	wake(m.charges, m.budget.Decided())
	wake(m.transfers, m.servers.Decided())
}

func wake(waiting map[membudget.ID]chan struct{}, decided []membudget.ID) {
	for _, id := range decided {
		close(waiting[id])
		delete(waiting, id)
	}
}

func (m *memory) status() membudget.Status {
	if m == nil {
		return membudget.Status{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Status()
}

func (m *memory) release(id membudget.ID, n int64) {
	m.update(func(now clock.Time) { m.budget.Release(now, id, n) })
}

// held is what a request holds of the memory, and what was decided on it.
type held struct {
	body, response membudget.ID // 0: none
	server         string       // that the body is in flight to
	serverBytes    int64
	decision       membudget.Status // when the body was first charged
	waited         time.Duration    // for memory and for servers with too many bytes in flight
	unread         bool             // the body was not read to its end
	serverFull     bool             // a server had too many bytes in flight
}

// log adds the decision on the request's memory to a log line.
func (h *held) log(e *zerolog.Event) *zerolog.Event {
	if h.decision.Bound == 0 {
		return e
	}
	return e.Int64("memory_held_kb", h.decision.Held>>10).Int64("memory_bound_kb", h.decision.Bound>>10).Int64("memory_waited_ms", h.waited.Milliseconds())
}

// callTimeout returns the time that the caller or the route gives the request.
func (x *exchange) callTimeout() time.Duration {
	if x.call.Timeout > 0 {
		return min(x.route.Timeout, x.call.Timeout)
	}
	return x.route.Timeout
}

// memoryWait returns how long the request may wait for memory.
func (x *exchange) memoryWait() time.Duration {
	return membudget.MaxWait(x.route.LatencyObjective, x.callTimeout())
}

// readBoundedBody reads the body and charges its memory before.
func (x *exchange) readBoundedBody(limit int64) *refusal {
	length := x.r.ContentLength
	if length == 0 || x.r.Body == http.NoBody {
		return nil
	}
	x.held.unread = true
	if length > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	// A caller that stops sending must not hold memory for longer than its timeout.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(wallTime(x.arrived.Add(x.callTimeout())))
	var ref *refusal
	if length > 0 {
		ref = x.readKnownBody(length)
	} else {
		ref = x.readUnknownBody(limit)
	}
	if ref == nil {
		x.held.unread = false
		_ = control.SetReadDeadline(time.Time{})
	}
	return ref
}

// readKnownBody reads a body of known length.
func (x *exchange) readKnownBody(length int64) *refusal {
	if ref := x.chargeBody(length); ref != nil {
		return ref
	}
	x.body = make([]byte, length)
	if _, err := io.ReadFull(x.r.Body, x.body); err != nil {
		return bodyRefusal(err)
	}
	// net/http watches the connection for a caller that leaves after the end of the body
	// was read.
	var end [1]byte
	_, _ = x.r.Body.Read(end[:])
	return nil
}

// readUnknownBody reads a body of unknown length into a buffer that is doubled when it is
// full.
func (x *exchange) readUnknownBody(limit int64) *refusal {
	if ref := x.chargeBody(firstBodyBuffer); ref != nil {
		return ref
	}
	m := x.g.memory
	// While a buffer is replaced by one of twice the size, both are held.
	m.update(func(clock.Time) { m.budget.Grows(x.held.body, limit+limit/2) })
	b := make([]byte, 0, min(firstBodyBuffer, limit))
	var next [1]byte // what follows a full buffer, which may be nothing
	for {
		full := len(b) == cap(b)
		to := b[len(b):cap(b)]
		if full {
			to = next[:]
		}
		n, err := x.r.Body.Read(to)
		switch {
		case full && n > 0 && int64(len(b)) == limit:
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
		case full && n > 0:
			old := int64(cap(b))
			size := min(2*old, limit)
			if ref := x.chargeBody(size); ref != nil {
				return ref
			}
			b = append(append(make([]byte, 0, size), b...), next[0])
			m.release(x.held.body, old)
		default:
			b = b[:len(b)+n]
		}
		if err == io.EOF {
			x.body = b
			m.update(func(now clock.Time) { m.budget.Complete(now, x.held.body) })
			return nil
		}
		if err != nil {
			return bodyRefusal(err)
		}
	}
}

// chargeBody charges n more bytes to the body and waits for them.
func (x *exchange) chargeBody(n int64) *refusal {
	m, h := x.g.memory, &x.held
	var verdict membudget.Verdict
	var waitEnd clock.Time
	var decided chan struct{}
	m.update(func(now clock.Time) {
		if h.body == 0 {
			h.body = m.budget.Open(membudget.Body, x.memoryWait())
			h.decision = m.budget.Status()
		}
		verdict = m.budget.Charge(now, h.body, n)
		if verdict == membudget.Waiting {
			waitEnd, decided = m.budget.WaitEnd(h.body), make(chan struct{})
			m.charges[h.body] = decided
		}
	})
	switch verdict {
	case membudget.Granted:
		return nil
	case membudget.Refused:
		return x.outOfMemory(n)
	}
	began := boottime.Now()
	ref := x.awaitCharge(decided, waitEnd)
	h.waited += boottime.Now().Sub(began)
	if ref == nil {
		return nil
	}
	granted := false
	m.update(func(now clock.Time) {
		granted = m.budget.GiveUp(now, h.body)
		delete(m.charges, h.body)
	})
	if ref.reason != reasonMemory {
		return ref
	}
	if granted {
		return nil
	}
	return x.outOfMemory(n)
}

// awaitCharge waits until the charge of a body that was not read is decided. It returns a
// refusal if the wait ends before.
func (x *exchange) awaitCharge(decided <-chan struct{}, until clock.Time) *refusal {
	end := time.NewTimer(boottime.Until(until))
	defer end.Stop()
	check := time.NewTicker(callerCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-decided:
			return nil
		case <-end.C:
			return unavailable(reasonMemory, 0)
		case <-x.g.refuseQueued:
			return unavailable(reasonStopping, retryDelay)
		case <-x.r.Context().Done():
			return x.contextRefusal()
		case <-check.C:
			if callerLeft(x.r.Context()) {
				return x.contextRefusal()
			}
		}
	}
}

// outOfMemory refuses a request whose next n bytes got no memory. There is no Retry-After
// if the instance could never hold them.
func (x *exchange) outOfMemory(n int64) *refusal {
	m := x.g.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	x.g.metrics.memoryRefused.Inc()
	if size := max(n, x.r.ContentLength); m.budget.CanHold(size) {
		return unavailable(reasonMemory, m.budget.RetryAfter(boottime.Now(), size))
	}
	return unavailable(reasonMemory, 0)
}

// releaseBody releases the body of a request that will not be sent again.
func (x *exchange) releaseBody() {
	if x.held.body == 0 {
		return
	}
	x.body = nil
	m := x.g.memory
	m.update(func(now clock.Time) { m.budget.Close(now, x.held.body) })
	x.held.body = 0
}

// releaseBodyBeforeResponse releases the body if a failure of the response that begins
// would end the request.
func (x *exchange) releaseBodyBeforeResponse() {
	if !x.route.Retryable() || x.possibleRuns+1 >= x.route.MaxAttempts {
		x.releaseBody()
	}
}

// releaseMemory releases all that the request holds.
func (x *exchange) releaseMemory() {
	if x.g.memory == nil {
		return
	}
	x.endTransfer()
	x.releaseBody()
	x.releaseResponse()
}

// startTransfer counts the body as in flight to a server. It waits while too many bytes
// are, and returns false if they remain so.
func (x *exchange) startTransfer(name string) bool {
	m, h, n := x.g.memory, &x.held, int64(len(x.body))
	if m == nil || n == 0 {
		return true
	}
	id := h.body
	var started chan struct{}
	m.update(func(clock.Time) {
		if !m.servers.Start(name, id, n) {
			started = make(chan struct{})
			m.transfers[id] = started
		}
	})
	ok := true
	if started != nil {
		began := boottime.Now()
		end := time.NewTimer(min(x.memoryWait(), x.deadline.Sub(began)))
		defer end.Stop()
		select {
		case <-started:
		case <-end.C:
			ok = false
		case <-x.r.Context().Done():
			ok = false
		case <-x.stopSignal():
			ok = false
		}
		h.waited += boottime.Now().Sub(began)
	}
	if !ok {
		m.update(func(clock.Time) {
			ok = m.servers.GiveUp(name, id)
			delete(m.transfers, id)
		})
	}
	if ok {
		h.server, h.serverBytes = name, n
	} else {
		h.serverFull = true
	}
	return ok
}

// endTransfer says that the server is done with the body.
func (x *exchange) endTransfer() {
	h := &x.held
	if h.server == "" {
		return
	}
	m := x.g.memory
	m.update(func(clock.Time) { m.servers.End(h.server, h.serverBytes) })
	h.server = ""
}

// readBoundedResponse reads a response in chunks, each of them charged before. While there
// is no memory, the rest of the response stays in the sockets, and the connection's
// deadline is moved by the time of the pause.
func (x *exchange) readBoundedResponse(c *rawhttp.Conn, resp *http.Response) ([][]byte, error) {
	m := x.g.memory
	m.update(func(clock.Time) { x.held.response = m.budget.Open(membudget.Response, 0) })
	var parts [][]byte
	size := 0
	for {
		n := membudget.Chunk
		if resp.ContentLength >= 0 {
			n = min(n, int(resp.ContentLength)-size)
		}
		if n <= 0 {
			break
		}
		if err := x.chargeResponse(c, int64(n)); err != nil {
			return nil, err
		}
		part, err := readPart(resp.Body, make([]byte, n))
		if len(part) > 0 {
			parts = append(parts, part)
		}
		if size += len(part); size > maxResponseBytes {
			return nil, invalidf("response larger than %d bytes", maxResponseBytes)
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	m.update(func(now clock.Time) { m.budget.Complete(now, x.held.response) })
	return parts, nil
}

// readPart reads until the buffer is full or there is an error. Unlike io.ReadFull it
// returns the reader's own error, which distinguishes the end from a truncated response.
func readPart(r io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		k, err := r.Read(buffer[n:])
		n += k
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}

// chargeResponse charges n more bytes to the response and waits for them.
func (x *exchange) chargeResponse(c *rawhttp.Conn, n int64) error {
	m, id := x.g.memory, x.held.response
	var verdict membudget.Verdict
	var decided chan struct{}
	m.update(func(now clock.Time) {
		if verdict = m.budget.Charge(now, id, n); verdict == membudget.Waiting {
			decided = make(chan struct{})
			m.charges[id] = decided
		}
	})
	if verdict == membudget.Waiting {
		began := boottime.Now()
		remaining := max(responseGrace, x.deadline.Add(responseGrace).Sub(began))
		select {
		case <-decided:
		case <-x.r.Context().Done():
			m.update(func(now clock.Time) {
				m.budget.Close(now, id)
				delete(m.charges, id)
			})
			x.held.response = 0
			return errors.Wrap(x.r.Context().Err(), "front: wait for memory")
		}
		now := boottime.Now()
		x.held.waited += now.Sub(began)
		c.SetDeadline(wallTime(now.Add(remaining)))
		m.update(func(clock.Time) {
			if m.budget.WasRefused(id) {
				verdict = membudget.Refused
			}
		})
	}
	if verdict == membudget.Refused {
		return errNoMemory
	}
	return nil
}

func (x *exchange) releaseResponse() {
	if x.held.response == 0 {
		return
	}
	m := x.g.memory
	m.update(func(now clock.Time) { m.budget.Close(now, x.held.response) })
	x.held.response = 0
}

// writeBoundedResponse writes a buffered response, and releases each part that the caller
// has read or that is in the socket.
func (x *exchange) writeBoundedResponse(parts [][]byte) error {
	for i, part := range parts {
		x.limitWriteTime()
		if _, err := x.w.Write(part); err != nil {
			return errors.Wrap(err, "front: write response")
		}
		parts[i] = nil
		x.g.memory.release(x.held.response, int64(cap(part)))
	}
	x.limitWriteTime()
	return errors.Wrap(http.NewResponseController(x.w).Flush(), "front: flush response")
}

// limitWriteTime limits the time of the next write to the caller. net/http removes the
// limit after the end of the request.
func (x *exchange) limitWriteTime() {
	if x.g.memory != nil {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(slowReaderTimeout))
	}
}

// writeFailed ends a request whose response could not be written.
func (x *exchange) writeFailed(status int, err error) attemptResult {
	if x.g.memory == nil || !isTimeout(err) {
		return x.callerGone()
	}
	x.g.metrics.slowReaders.Inc()
	if c, ok := callerconn.Of(x.r.Context()).(*net.TCPConn); ok {
		_ = c.SetLinger(0) // the kernel discards what the caller has not read
	}
	x.finish(status, reasonSlowReader)
	return resultSlowReader
}

// dropBody reads and drops what the caller still sends of the body of a refused request,
// for a limited time. The connection is closed afterwards.
func (x *exchange) dropBody() {
	control := http.NewResponseController(x.w)
	if control.Flush() != nil || x.r.Header.Get("Expect") != "" {
		return // a caller that expects 100 Continue sends nothing
	}
	if control.SetReadDeadline(time.Now().Add(drainTimeout)) == nil {
		_, _ = io.Copy(io.Discard, x.r.Body)
	}
}

// withCallerConn keeps the connection in the context of its requests. With a bound on the
// memory it limits the send buffer.
func (g *Gateway) withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*net.TCPConn); ok && g.memory != nil {
		_ = t.SetWriteBuffer(callerSendBuffer)
	}
	return callerconn.With(ctx, c)
}

// callerLeft reports whether the caller closed its connection, also when sent data is
// still unread.
func callerLeft(ctx context.Context) bool {
	c, ok := callerconn.Of(ctx).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || left
}
