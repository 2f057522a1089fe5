package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/callermem"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// slowReaderTimeout is how long a caller may take to read a part of a response. A
	// backend server cuts off a response that remains unread for some seconds.
	slowReaderTimeout = 2 * time.Second
	// firstBodyBuffer is the first buffer for a body of unknown length.
	firstBodyBuffer = membudget.SmallBody
	// maxEventBytes bounds the part of an event that is held until the event is complete.
	maxEventBytes = 1 << 20
)

var (
	errNoMemory    = errors.New("no memory for the response")
	errEventTooBig = invalidf("event larger than %d bytes", maxEventBytes)
)

// memory bounds what is held for callers. A nil memory is without bound. Its mutex is
// not held together with Gateway.mu.
type memory struct {
	*callermem.Account
	mu        sync.Mutex
	servers   *membudget.Servers             // nil: bodies in flight to one server have no bound
	transfers map[membudget.ID]chan struct{} // of waiting transfers, closed by their start
}

func newMemory(s Settings, onEviction func(eviction.Phase), log zerolog.Logger) *memory {
	if s.MemoryBound <= 0 {
		return nil
	}
	m := &memory{
		Account: callermem.New(callermem.Settings{
			BodyBytes: s.MemoryBound, ConnectionBytes: s.ConnectionMemory, MaxConnections: s.MaxCallerConnections, OnEviction: onEviction, Log: log,
		}),
		transfers: make(map[membudget.ID]chan struct{}),
	}
	if s.ServersFailOnLoad {
		m.servers = membudget.NewServers(membudget.MaxServerBytes)
	}
	return m
}

// update calls do with mu held, and wakes the transfers that it started.
func (m *memory) update(do func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	do()
	for _, id := range m.servers.Decided() {
		close(m.transfers[id])
		delete(m.transfers, id)
	}
}

func (m *memory) status() callermem.Status {
	if m == nil {
		return callermem.Status{}
	}
	return m.Status()
}

// held is what a request holds of the memory, and what was decided on it.
type held struct {
	body, response *callermem.Holding // nil: none
	server         string             // that the body is in flight to
	serverBytes    int64
	decision       membudget.Status // when the body was first charged
	logged         bool             // the decision is worth a line: others wait, or servers have little memory
	waited         time.Duration    // for memory and for servers with too many bytes in flight
	unread         bool             // the body was not read to its end
	serverFull     bool             // a server had too many bytes in flight
}

// log adds the decision on the request's memory to a log line.
func (h *held) log(e *zerolog.Event) *zerolog.Event {
	if h.decision.Bound == 0 || !h.logged {
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
	if x.r.ContentLength == 0 || x.r.Body == http.NoBody {
		return nil
	}
	x.held.unread = true
	// A caller that stops sending must not hold memory for longer than its timeout.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(wallTime(x.arrived.Add(x.callTimeout())))
	h := x.g.memory.OpenBody(x.r.Context(), x.memoryWait(), x.g.refuseQueued)
	x.held.body, x.held.decision = h, h.AtBegin
	parts, err := h.ReadBody(x.r, limit)
	x.held.waited += h.Waited
	x.held.logged = x.g.settings.ServersFailOnLoad || h.Waited > 0 || err != nil
	if err != nil {
		return x.unreadRefusal(err)
	}
	x.body, x.held.unread = parts, false
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// unreadRefusal returns the answer to a request whose body was not read to its end.
func (x *exchange) unreadRefusal(err error) *refusal {
	var none *callermem.NoMemoryError
	switch {
	case errors.As(err, &none):
		x.g.metrics.memoryRefused.Inc()
		return unavailable(reasonMemory, none.RetryAfter)
	case errors.Is(err, callermem.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	case errors.Is(err, callermem.ErrStopped):
		return unavailable(reasonStopping, retryDelay)
	case callermem.Of(x.r.Context()).Evicted():
		return unavailable(reasonMadeWay, membudget.MinRetryAfter)
	case errors.Is(err, callermem.ErrCallerLeft), x.r.Context().Err() != nil && errors.Is(err, context.Cause(x.r.Context())):
		return x.contextRefusal()
	}
	return bodyRefusal(err)
}

// releaseBody releases the body of a request that will not be sent again.
func (x *exchange) releaseBody() {
	x.body = nil
	x.held.body.Close()
	x.held.body = nil
}

// releaseBodyBeforeResponse releases the body if a failure of the response that begins
// would end the request, or if it leaves no room for responses.
func (x *exchange) releaseBodyBeforeResponse() {
	if x.held.body == nil {
		return
	}
	if !x.held.body.KeepsForRetry(bodySize(x.body)) {
		x.bodyGone = true
		x.releaseBody()
	} else if !x.route.Retryable() || x.possibleRuns+1 >= x.route.MaxAttempts {
		x.releaseBody()
	}
}

// bodySize returns the bytes of a body.
func bodySize(parts [][]byte) int64 {
	n := int64(0)
	for _, p := range parts {
		n += int64(len(p))
	}
	return n
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
	m, h, n := x.g.memory, &x.held, bodySize(x.body)
	if m == nil || m.servers == nil || n == 0 {
		return true
	}
	id := h.body.ID()
	var started chan struct{}
	m.update(func() {
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
		m.update(func() {
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
	m.update(func() { m.servers.End(h.server, h.serverBytes) })
	h.server = ""
}

// readBoundedResponse reads a response in chunks, each of them charged before. While there
// is no memory, the rest of the response stays in the sockets, and the connection's
// deadline is moved by the time of the pause.
func (x *exchange) readBoundedResponse(c *rawhttp.Conn, resp *http.Response) ([][]byte, error) {
	x.held.response = x.g.memory.OpenResponse(x.r.Context())
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
	x.held.response.Complete()
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
	h := x.held.response
	began, waited := boottime.Now(), h.Waited
	err := h.Charge(x.r.Context(), n)
	if paused := h.Waited - waited; paused > 0 {
		x.held.waited += paused
		remaining := max(responseGrace, x.deadline.Add(responseGrace).Sub(began))
		c.SetDeadline(wallTime(boottime.Now().Add(remaining)))
	}
	var none *callermem.NoMemoryError
	if errors.As(err, &none) {
		return errNoMemory
	}
	return errors.Wrap(err, "front: wait for memory")
}

func (x *exchange) releaseResponse() {
	x.held.response.Close()
	x.held.response = nil
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
		x.held.response.Release(int64(cap(part)))
	}
	x.limitWriteTime()
	return errors.Wrap(http.NewResponseController(x.w).Flush(), "front: flush response")
}

// limitWriteTime limits the time of the next write to the caller. net/http removes the
// limit after the end of the request.
func (x *exchange) limitWriteTime() {
	if x.g.settings.CutSlowReaders {
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(slowReaderTimeout))
	}
}

// writeFailed ends a request whose response could not be written.
func (x *exchange) writeFailed(status int, err error) attemptResult {
	slow := x.g.settings.CutSlowReaders && isTimeout(err) || callermem.Of(x.r.Context()).Evicted()
	if !slow {
		return x.callerGone()
	}
	x.g.metrics.slowReaders.Inc()
	if c, ok := callerconn.Of(x.r.Context()).(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // the kernel discards what the caller has not read
	}
	x.finish(status, reasonSlowReader)
	return resultSlowReader
}
