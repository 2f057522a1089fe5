// Package callermem keeps the account of all that an instance holds for its callers: connections with what the
// kernel received on them, heads, bodies, and responses that are buffered or not read. What is held is charged before
// it is read. If it does not fit, the callers that are furthest behind their pace are closed, and what fits even then
// is refused.
package callermem

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/gateway/membudget"
)

const (
	// receiveBuffer is how many bytes the kernel receives ahead on a connection.
	receiveBuffer = 8 << 10
	// largeReceiveBuffer is the same while a large body arrives.
	largeReceiveBuffer = 64 << 10
	// sendBuffer limits what the kernel holds of a response for one caller, which it
	// would raise to several megabytes. It also bounds how late a caller that stopped
	// reading is noticed.
	sendBuffer = 128 << 10
	// connectionBytes is what an open connection takes: its buffers in the process and the kernel,
	// its goroutine and its state.
	connectionBytes = receiveBuffer + 12<<10
	// requestBytes is what a request takes beside its body: a usual head, and the state of the request.
	requestBytes = 16 << 10
	// What a head takes: its bytes, as read and as parsed, and more for each header and each item of a list.
	headFactor  = 2
	headerBytes = 256
	itemBytes   = 64
	// freeHeadBytes is how much of that is part of requestBytes.
	freeHeadBytes = 12 << 10
	// headStep is by how many bytes the charge of a head grows.
	headStep = 16 << 10
	// callerCheckInterval is how often the connection of a caller with an unread body is
	// checked. net/http notices a closed connection only when the body was read.
	callerCheckInterval = 50 * time.Millisecond
	// evictGrace is how long a caller that makes way may take to get its refusal.
	evictGrace = 500 * time.Millisecond
)

// Shares of a machine's memory. The rest is for the program, for garbage, and for buffers of sending.
const (
	bodyShare       = 0.35
	connectionShare = 0.15
)

// Settings of an Account.
type Settings struct {
	BodyBytes       int64 // most bytes of bodies and responses
	ConnectionBytes int64 // most bytes of connections and heads
	MaxConnections  int   // 0: no bound
	// OnEviction is told of each connection closed to make room; nil: nobody is. It must not call the account.
	OnEviction func(phase eviction.Phase)
	Log        zerolog.Logger
}

// SettingsFor returns the settings for a machine with so many bytes of memory.
func SettingsFor(memory int64, maxConnections int) Settings {
	return Settings{
		BodyBytes: int64(bodyShare * float64(memory)), ConnectionBytes: int64(connectionShare * float64(memory)),
		MaxConnections: maxConnections,
	}
}

// Account is the account of one instance.
type Account struct {
	settings Settings

	mu          sync.Mutex
	budget      *membudget.Budget
	connections *membudget.Connections
	waiting     map[membudget.ID]chan struct{} // closed by the decision
	conns       map[*Conn]struct{}             // all that are open
	evicting    int                            // of conns, those that were told to end
	evictions   evictionLog
	lookedAt    clock.Time // when somebody that waits last looked for callers that make way
}

// New returns an Account.
func New(s Settings) *Account {
	return &Account{
		settings: s, budget: membudget.New(s.BodyBytes), connections: membudget.NewConnections(s.ConnectionBytes),
		waiting: make(map[membudget.ID]chan struct{}), conns: make(map[*Conn]struct{}),
	}
}

// Status describes what is held.
type Status struct {
	membudget.Status
	ConnectionBytes int64
	Connections     int
}

// Status returns what is held.
func (a *Account) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Status{a.budget.Status(), a.connections.Held(), len(a.conns)}
}

// Connections returns the number of open connections.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.conns) - a.evicting
}

// MaxBody returns the size of the largest body that can be held.
func (a *Account) MaxBody() int64 { return a.budget.MaxBody() }

// update calls do with mu held, and wakes those whose wait it ended.
func (a *Account) update(do func(now clock.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	do(now())
	for _, id := range a.budget.Decided() {
		close(a.waiting[id])
		delete(a.waiting, id)
	}
}

// NoMemoryError says that there is no memory for a body or response.
type NoMemoryError struct {
	RetryAfter time.Duration // 0: it can never be held
}

// Error implements error.
func (*NoMemoryError) Error() string { return "callermem: no memory" }

var (
	// ErrStopped ends a wait for memory, since the instance refuses those that wait.
	ErrStopped = errors.New("callermem: stopped")
	// ErrCallerLeft ends a wait for memory of a caller that closed its connection.
	ErrCallerLeft = errors.New("callermem: caller left")
)

// Holding is a body or a response that is held.
type Holding struct {
	account *Account
	conn    *Conn // nil: not known
	id      membudget.ID
	maxWait time.Duration
	stop    <-chan struct{}
	body    bool
	// AtBegin is the account when it was opened, Waited how long it waited for memory.
	AtBegin membudget.Status
	Waited  time.Duration
}

// OpenBody opens a holding for the body of a request. Its charges wait for maxWait in all, and until stop is closed.
func (a *Account) OpenBody(ctx context.Context, maxWait time.Duration, stop <-chan struct{}) *Holding {
	return a.open(ctx, &Holding{maxWait: maxWait, stop: stop, body: true})
}

// OpenResponse opens a holding for a response, whose charges wait as long as the context of its request.
func (a *Account) OpenResponse(ctx context.Context) *Holding { return a.open(ctx, &Holding{}) }

func (a *Account) open(ctx context.Context, h *Holding) *Holding {
	h.account, h.conn = a, Of(ctx)
	kind := membudget.Response
	if h.body {
		kind = membudget.Body
	}
	a.update(func(clock.Time) {
		h.id = a.budget.Open(kind, h.maxWait)
		h.AtBegin = a.budget.Status()
		if h.conn != nil {
			h.conn.holdings = append(h.conn.holdings, h.id)
		}
	})
	return h
}

// ID identifies the holding.
func (h *Holding) ID() membudget.ID { return h.id }

// Grows says that the length of a body is not known, and how many bytes it may have.
func (h *Holding) Grows(most int64) {
	h.account.update(func(clock.Time) { h.account.budget.Grows(h.id, most) })
}

// Complete says that all was read.
func (h *Holding) Complete() {
	h.account.update(func(now clock.Time) { h.account.budget.Complete(now, h.id) })
}

// Release gives n bytes back.
func (h *Holding) Release(n int64) {
	h.account.update(func(now clock.Time) { h.account.budget.Release(now, h.id, n) })
}

// Close gives back all that is held. It does nothing on a nil Holding.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	a := h.account
	a.update(func(now clock.Time) {
		a.budget.Close(now, h.id)
		delete(a.waiting, h.id)
		if h.conn != nil {
			h.conn.forget(h.id)
		}
	})
}

// KeepsForRetry reports whether a body of this size may be held while its request waits for a response.
func (h *Holding) KeepsForRetry(size int64) bool { return h.account.budget.KeepsForRetry(size) }

// Charge takes n more bytes, and waits for them if need be. Its errors are NoMemoryError, ErrStopped, ErrCallerLeft and
// that of the context.
func (h *Holding) Charge(ctx context.Context, n int64) error {
	a := h.account
	var verdict membudget.Verdict
	var until clock.Time
	var decided chan struct{}
	var victims []*Conn
	a.update(func(now clock.Time) {
		verdict = a.budget.Charge(now, h.id, n)
		if verdict == membudget.Granted {
			return
		}
		if verdict == membudget.Waiting {
			until, decided = clock.Never, make(chan struct{})
			if h.body {
				until = a.budget.WaitEnd(h.id)
			}
			a.waiting[h.id] = decided
		}
		victims = a.makeRoom(h.conn, a.budget.Missing(h.id, n))
	})
	refuseAll(victims)
	switch verdict {
	case membudget.Granted:
		return nil
	case membudget.Refused:
		return h.noMemory(n)
	}
	return h.await(ctx, n, decided, until)
}

// await waits for a charge.
func (h *Holding) await(ctx context.Context, n int64, decided <-chan struct{}, until clock.Time) error {
	began := now()
	err := h.awaitDecision(ctx, n, decided, until)
	h.Waited += now().Sub(began)
	a := h.account
	if err == nil {
		refused := false
		a.update(func(clock.Time) { refused = a.budget.WasRefused(h.id) })
		if refused {
			return &NoMemoryError{}
		}
		return nil
	}
	if !h.body {
		return err // its holding is closed
	}
	granted := false
	a.update(func(now clock.Time) {
		granted = a.budget.GiveUp(now, h.id)
		delete(a.waiting, h.id)
	})
	if err != errWaitOver {
		return err
	}
	if granted {
		return nil
	}
	return h.noMemory(n)
}

var errWaitOver = errors.New("callermem: wait is over")

// awaitDecision waits until a charge is decided, or for as long as it may.
func (h *Holding) awaitDecision(ctx context.Context, n int64, decided <-chan struct{}, until clock.Time) error {
	var over <-chan time.Time
	if until != clock.Never {
		end := time.NewTimer(until.Sub(now()))
		defer end.Stop()
		over = end.C
	}
	check := time.NewTicker(callerCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-decided:
			return nil
		case <-over:
			return errWaitOver
		case <-h.stop:
			return ErrStopped
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-check.C:
			if h.body && callerLeft(ctx) {
				return ErrCallerLeft
			}
			h.makeRoom(n)
		}
	}
}

// makeRoom closes callers that have fallen behind since the wait began. Of many that wait, one looks for them at a time.
func (h *Holding) makeRoom(n int64) {
	a := h.account
	var victims []*Conn
	a.update(func(now clock.Time) {
		if a.waiting[h.id] != nil && now.Sub(a.lookedAt) >= callerCheckInterval/2 {
			a.lookedAt = now
			victims = a.makeRoom(h.conn, a.budget.Missing(h.id, n))
		}
	})
	refuseAll(victims)
}

// noMemory refuses n bytes. There is no Retry-After if they could never be held.
func (h *Holding) noMemory(n int64) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	size := a.budget.Size(h.id) + n
	if !a.budget.CanHold(size) {
		return &NoMemoryError{}
	}
	return &NoMemoryError{RetryAfter: a.budget.RetryAfter(now(), size)}
}
