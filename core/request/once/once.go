// Package once executes non-idempotent calls at most once for each pair of
// client account and idempotency key.
//
// Each key has one row in the table service. The row is inserted before the
// first byte of the call is sent, and stores the outcome afterwards. An instance
// that finds the row of another attempt does not send the call: it answers with
// the stored outcome, waits for the instance that holds the attempt, or reports
// that the outcome is unknown. docs/design/once-only.md discusses the cases.
//
// A refusal with the value not-run refers only to the call that it answers. An
// earlier call with the same key may have run, so a caller that retries must use
// the same key again.
package once

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/request/due"
	"oleanderdale.org/core/table"
)

// Default values of Settings.
const (
	DefaultHolderQueryInterval = 400 * time.Millisecond
	DefaultRowReadInterval     = time.Second
	DefaultHolderTimeout       = 2 * time.Second
	DefaultMaxStoreDelay       = 2 * time.Second
	DefaultStoreRetryInterval  = 500 * time.Millisecond
	DefaultStoreGiveUpAfter    = 15 * time.Minute
	DefaultTableTimeout        = 3 * time.Second
	DefaultStatusTimeout       = 5 * time.Second
	DefaultDeadlineGrace       = time.Second
	DefaultMaxBodySize         = 256 << 10
	DefaultMaxOpenAttempts     = 4096
)

// maxInsertTries limits the attempts to insert a row and to read it back. After
// that the call is refused.
const maxInsertTries = 2

// ContentTypeTooLong replaces the media type in the row of an outcome that is
// too long to be stored.
const ContentTypeTooLong = "x-oleanderdale/too-long"

// Settings configures a Tracker. A zero field takes its default.
type Settings struct {
	HolderQueryInterval time.Duration // time between two queries to the holder of an attempt
	RowReadInterval     time.Duration // time between two reads of the row of a running call
	// HolderTimeout is the time without a message after which a holder that is
	// also not in the list of live instances is taken to be gone, and the outcome
	// of its attempt to be unknown.
	HolderTimeout time.Duration
	// MaxStoreDelay is how long an answer is held back until its outcome is
	// stored.
	MaxStoreDelay      time.Duration
	StoreRetryInterval time.Duration // time between two attempts to store an outcome
	StoreGiveUpAfter   time.Duration // time after which an outcome that can't be stored is dropped
	TableTimeout       time.Duration // time after which the result of a table operation counts as unknown
	StatusTimeout      time.Duration // time to wait for the answer to a status query
	// DeadlineGrace is how long after its deadline a call that was sent may still
	// wait for the attempt to end, for the outcome to be stored, or for the answer
	// to a status query.
	DeadlineGrace   time.Duration
	MaxBodySize     int // largest response body that is stored, in bytes
	MaxOpenAttempts int // largest number of open attempts, including those whose outcome is being stored
}

func (s Settings) withDefaults() Settings {
	s.HolderQueryInterval = cmp.Or(s.HolderQueryInterval, DefaultHolderQueryInterval)
	s.RowReadInterval = cmp.Or(s.RowReadInterval, DefaultRowReadInterval)
	s.HolderTimeout = cmp.Or(s.HolderTimeout, DefaultHolderTimeout)
	s.MaxStoreDelay = cmp.Or(s.MaxStoreDelay, DefaultMaxStoreDelay)
	s.StoreRetryInterval = cmp.Or(s.StoreRetryInterval, DefaultStoreRetryInterval)
	s.StoreGiveUpAfter = cmp.Or(s.StoreGiveUpAfter, DefaultStoreGiveUpAfter)
	s.TableTimeout = cmp.Or(s.TableTimeout, DefaultTableTimeout)
	s.StatusTimeout = cmp.Or(s.StatusTimeout, DefaultStatusTimeout)
	s.DeadlineGrace = cmp.Or(s.DeadlineGrace, DefaultDeadlineGrace)
	s.MaxBodySize = cmp.Or(s.MaxBodySize, DefaultMaxBodySize)
	s.MaxOpenAttempts = cmp.Or(s.MaxOpenAttempts, DefaultMaxOpenAttempts)
	return s
}

// Call is a non-idempotent call.
type Call struct {
	Request  id.Request
	Account  id.Account
	Key      string    // idempotency key of the caller, not empty
	Digest   id.Digest // of method, path and body
	Attempt  id.Attempt
	Deadline clock.Time
	// CanQueryStatus is set if the service can be asked for the outcome.
	CanQueryStatus bool
}

// Action is what the caller of this package has to do with a call.
type Action int

// The actions.
const (
	// Send the call once, if CanSend still returns true right before the first byte.
	Send Action = iota
	// Answer the caller with the outcome in Row.
	Answer
	// Refuse the call with Refusal.
	Refuse
	// QueryStatus asks the service for the outcome; HandleStatus takes the answer.
	QueryStatus
)

// Decision says what has to be done with a call.
type Decision struct {
	Request id.Request
	Action  Action
	Row     table.Once
	Replay  bool // the outcome is that of an earlier call
	Refusal event.Refusal
}

// phase is the state of a call.
type phase int

const (
	inserting        phase = iota // the row of this attempt is being inserted
	readingBack                   // the row is being read back after an insert
	running                       // the row is confirmed; the call may be sent
	storing                       // the attempt ended; the caller waits until the outcome is stored
	waitingForHolder              // the row is of another attempt, which is running
	markingUnknown                // the holder of that attempt is gone; its row is being marked as unknown
	queryingStatus                // the service is being asked for the outcome
)

// call is a call that waits for a decision.
type call struct {
	Call
	phase       phase
	attempt     *openAttempt // attempt of this call; nil while the row of another attempt is examined
	insertTries int

	// The following fields describe the row of another attempt.
	row             table.Row
	rowFound        bool       // the row existed before: an earlier call may have run
	holderHeard     clock.Time // when the holder last answered, or when the wait began
	holderQueried   clock.Time // when the holder was last queried
	rowRead         clock.Time // when the row was last read
	opPending       bool       // a table operation is in progress
	unknownToHolder bool       // the holder said that it does not know the attempt

	sendDecided bool // the decision Send was made
}

// key returns the key of the call's row in the table.
func (c *call) key() table.Key { return rowKey(c.Account, c.Key) }

// rowKey returns the table key of the row for an account and idempotency key.
func rowKey(a id.Account, key string) table.Key {
	return table.Key{Kind: table.KindOnce, ID: string(a) + "/" + key}
}

// Tracker tracks the non-idempotent calls of one instance.
type Tracker struct {
	settings Settings
	members  process.Members
	check    *invariant.Checker

	calls         map[id.Request]*call // calls without a final decision
	callTimers    due.Timers[id.Request]
	attempts      map[id.Attempt]*openAttempt // attempts that this instance holds
	attemptTimers due.Timers[id.Attempt]
	lateAttempts  map[id.Attempt]lateAttempt // attempts that have not ended though their calls are decided
	lateTimers    due.Timers[id.Attempt]
	ops           map[uint64]op // table operations in progress
	opTimers      due.Timers[uint64]
	nextOp        uint64
	decisions     []Decision

	hooks hooks
}

// hooks disable one safeguard each, so that tests can show that its failure is
// detected.
type hooks struct {
	sendAfterLostInsert bool // send after an insert whose result was lost
	resendUnknown       bool // send again when the holder is gone
	reportSentAsNotRun  bool // report a call that was sent and failed as not-run
}

// New returns a Tracker without calls.
func New(settings Settings, members process.Members, check *invariant.Checker) *Tracker {
	return &Tracker{
		settings: settings.withDefaults(), members: members, check: check,
		calls:        make(map[id.Request]*call),
		attempts:     make(map[id.Attempt]*openAttempt),
		lateAttempts: make(map[id.Attempt]lateAttempt),
		ops:          make(map[uint64]op),
	}
}

// Begin accepts a call and inserts its row. Nothing may be sent before the
// decision Send. A request that is already tracked is ignored.
func (t *Tracker) Begin(now clock.Time, c Call, out *event.Outbox) {
	if t.calls[c.Request] != nil {
		return
	}
	tracked := &call{Call: c}
	t.calls[c.Request] = tracked
	switch {
	case now.Reached(c.Deadline):
		t.decideRefusal(now, tracked, event.ReasonDeadline, event.NotRun, out)
	case len(t.attempts) >= t.settings.MaxOpenAttempts:
		t.decideRefusal(now, tracked, event.ReasonTableUnavailable, event.NotRun, out)
	default:
		t.insertRow(now, tracked, 0, out)
	}
}

// Decisions returns the decisions made since the last call, in order.
func (t *Tracker) Decisions() []Decision {
	d := t.decisions
	t.decisions = nil
	return d
}

// CanSend reports whether the call may be sent. It must be called right before
// the first byte. While it returns true, an attempt that was certainly not sent
// may be tried again at any server.
func (t *Tracker) CanSend(r id.Request) bool {
	c := t.calls[r]
	return c != nil && c.phase == running && c.attempt.row.State == table.OnceRunning
}

// Len returns the number of calls that wait for a decision or for the end of
// their attempt.
func (t *Tracker) Len() int { return len(t.calls) }

// OpenAttempts returns the number of attempts that this instance holds,
// including those whose outcome is not stored yet.
func (t *Tracker) OpenAttempts() int { return len(t.attempts) }

// Next implements process.Machine.
func (t *Tracker) Next() clock.Time {
	return clock.Earliest(t.callTimers.Next(), t.attemptTimers.Next(), t.opTimers.Next(), t.lateTimers.Next())
}

// Tick implements process.Machine.
func (t *Tracker) Tick(now clock.Time, out *event.Outbox) {
	t.expireLateAttempts(now)
	for {
		number, ok := t.opTimers.Pop(now)
		if !ok {
			break
		}
		t.finishOp(now, number, table.Unknown, nil, out)
	}
	for {
		a, ok := t.attemptTimers.Pop(now)
		if !ok {
			break
		}
		t.retryStore(now, t.attempts[a], out)
	}
	for {
		r, ok := t.callTimers.Pop(now)
		if !ok {
			return
		}
		t.handleTimer(now, t.calls[r], out)
	}
}

// handleTimer handles the timer of a call.
func (t *Tracker) handleTimer(now clock.Time, c *call, out *event.Outbox) {
	switch c.phase {
	case inserting, readingBack:
		t.refuseUnsent(now, c, event.ReasonTableUnavailable, out)
	case running:
		// The attempt should have ended by the deadline; its outcome is not known.
		t.recordLateAttempt(now, c)
		t.handleLostOutcome(now, c, out)
	case storing:
		t.decideAnswer(c, c.attempt.row, false)
	case waitingForHolder, markingUnknown:
		t.checkHolder(now, c, out)
	case queryingStatus:
		t.concludeUnknown(now, c, out)
	}
}

// decisionDeadline returns the time by which c must be decided. Only a call that
// was sent from this instance gets DeadlineGrace, because its attempt may run
// until the deadline.
func (t *Tracker) decisionDeadline(c *call) clock.Time {
	if c.sendDecided {
		return c.Deadline.Add(t.settings.DeadlineGrace)
	}
	return c.Deadline
}

func (t *Tracker) addDecision(d Decision) { t.decisions = append(t.decisions, d) }

// decideSend decides that the call is sent, unless its deadline has passed. The
// row must be confirmed, and the decision made only once for each attempt.
func (t *Tracker) decideSend(now clock.Time, c *call, out *event.Outbox) {
	if now.Reached(c.Deadline) {
		t.refuseUnsent(now, c, event.ReasonDeadline, out)
		return
	}
	rowConfirmed := c.attempt != nil && c.attempt.version > 0 && c.attempt.row.State == table.OnceRunning
	if !t.check.Hold(rowConfirmed && !c.sendDecided, "once-send",
		"%s: row confirmed %t, sent before %t", c.Request, rowConfirmed, c.sendDecided) {
		t.withholdSend(now, c, out)
		return
	}
	c.phase, c.sendDecided = running, true
	t.callTimers.Set(c.Request, t.decisionDeadline(c))
	t.addDecision(Decision{Request: c.Request, Action: Send, Row: c.attempt.row})
}

// withholdSend ends a call that must not be sent because an invariant does not
// hold. If it may have been sent, its outcome is unknown; otherwise it is refused
// as not run.
func (t *Tracker) withholdSend(now clock.Time, c *call, out *event.Outbox) {
	if c.sendDecided {
		t.handleLostOutcome(now, c, out)
		return
	}
	t.refuseUnsent(now, c, event.ReasonTableUnavailable, out)
}

// decideAnswer answers the caller with the outcome in row. replay is set for the
// outcome of an earlier call; one that was too long to be stored can't be
// replayed.
func (t *Tracker) decideAnswer(c *call, row table.Once, replay bool) {
	if row.ContentType == ContentTypeTooLong && replay {
		t.removeCall(c)
		t.addDecision(Decision{Request: c.Request, Action: Refuse, Refusal: event.Refusal{
			Reason: event.ReasonOutcomeUnknown, Execution: event.MayHaveRun,
			Detail: "The call ran before; its response is too long to be repeated.",
		}})
		return
	}
	t.removeCall(c)
	t.addDecision(Decision{Request: c.Request, Action: Answer, Row: row, Replay: replay})
}

// decideRefusal refuses the call. A call that may have been sent is never refused
// as not run.
func (t *Tracker) decideRefusal(now clock.Time, c *call, r event.Reason, ran event.Execution, out *event.Outbox) {
	if !t.check.Hold(ran != event.NotRun || !c.sendDecided, "once-not-run",
		"%s may have been sent but is reported as not-run", c.Request) {
		ran = event.MayHaveRun
	}
	t.removeCall(c)
	refusal := event.Refusal{Reason: r, Execution: ran, Detail: refusalDetails[r]}
	if r == event.ReasonTableUnavailable || r == event.ReasonRunningElsewhere {
		refusal.RetryAfter = t.settings.RowReadInterval
	}
	t.addDecision(Decision{Request: c.Request, Action: Refuse, Refusal: refusal})
}

// refusalDetails are the texts that explain a refusal to the caller.
var refusalDetails = map[event.Reason]string{
	event.ReasonDeadline:         "The call can't be sent by its deadline.",
	event.ReasonTableUnavailable: "The call can't be recorded now, so it was not sent.",
	event.ReasonKeyReuse:         "The idempotency key was used for another call.",
	event.ReasonRunningElsewhere: "A call with this idempotency key is under way.",
	event.ReasonOutcomeUnknown:   "A call with this idempotency key was sent, and its outcome is not known.",
	event.ReasonNoBackend:        "The backend server did not accept the call.",
}

// removeCall stops tracking a call.
func (t *Tracker) removeCall(c *call) {
	delete(t.calls, c.Request)
	t.callTimers.Delete(c.Request)
}
