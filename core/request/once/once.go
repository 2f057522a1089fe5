// Package once runs calls that must not be repeated at most once for each
// (client account, idempotency key).
//
// One row of the table service stands for one key. It is inserted before the
// first byte of the call is sent, and holds the outcome afterwards. Whoever
// finds another's row never sends: it answers with the outcome, waits for the
// holder, or says that nobody knows. docs/design/once-only.md weighs the cases.
//
// A refusal that says not-run speaks of the call that it answers. An earlier
// call with the same key may have run; a caller that repeats must repeat the
// key too.
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

// The defaults of Settings.
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

// maxTries bounds how often an insert, or the reading back of one, is tried
// before the call is refused.
const maxTries = 2

// ContentTypeTooLong stands in the row for the media type of an outcome that is too
// long to be kept.
const ContentTypeTooLong = "x-oleanderdale/too-long"

// Settings of Calls; a zero field takes its default.
type Settings struct {
	HolderQueryInterval time.Duration // between two asks of a holder
	RowReadInterval     time.Duration // between two readings of the row of a running call
	// HolderTimeout is how long a holder that is not live must be silent before
	// its call is taken as unknown.
	HolderTimeout time.Duration
	// MaxStoreDelay is how long an answer is held back for its outcome to be
	// stored.
	MaxStoreDelay      time.Duration
	StoreRetryInterval time.Duration // between two tries to store
	StoreGiveUpAfter   time.Duration // after which an outcome that can't be stored is given up
	TableTimeout       time.Duration // after which a table operation counts as unknown
	StatusTimeout      time.Duration // for the answer to a status call
	// DeadlineGrace is how long after its deadline a call that was sent may still
	// wait for its end, or for the outcome to be stored or asked for.
	DeadlineGrace   time.Duration
	MaxBodySize     int // bytes of an outcome that are kept
	MaxOpenAttempts int // calls held, those that wait to be stored among them
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

// Call is a call that must not be repeated.
type Call struct {
	Request  id.Request
	Account  id.Account
	Key      string    // of the caller, not empty
	Digest   id.Digest // of method, path and body
	Attempt  id.Attempt
	Deadline clock.Time
	// CanQueryStatus says that the service can be asked for the outcome.
	CanQueryStatus bool
}

// Action says what is to be done with a call.
type Action int

// What is to be done with a call.
const (
	// Send it once, if MaySend still says so right before the first byte.
	Send Action = iota
	// Answer the caller with the outcome in Row.
	Answer
	// Refuse it with Refusal.
	Refuse
	// QueryStatus asks the service for the outcome; StatusTold hands it in.
	QueryStatus
)

// Decision is what is to be done with a call.
type Decision struct {
	Request id.Request
	Action  Action
	Row     table.Once
	Replay  bool // the outcome is that of an earlier call
	Refusal event.Refusal
}

type phase int

const (
	inserting phase = iota // our row is being written
	reading                // the row is being read back
	running                // our row stands; the call may be sent
	storing                // ended; the caller waits for the outcome to be stored
	waiting                // another attempt holds the row
	marking                // its holder is gone: the row is being marked unknown
	asking                 // the service is being asked for the outcome
)

// call is a caller that waits for a decision.
type call struct {
	Call
	phase phase
	held  *held // our attempt; nil while another's row is looked at
	tries int

	// Of another's row:
	row      table.Row
	seen     bool       // the row stood before: an earlier call may have run
	heard    clock.Time // when its holder last said that it runs
	asked    clock.Time
	read     clock.Time // when it was last read
	busy     bool       // a table operation is under way
	disowned bool       // its holder holds nothing of it

	decided bool // Send was decided
}

func (c *call) key() table.Key { return rowKey(c.Account, c.Key) }

func rowKey(a id.Account, key string) table.Key {
	return table.Key{Kind: table.KindOrder, ID: string(a) + "/" + key}
}

// Tracker holds the calls of this instance that must not be repeated.
type Tracker struct {
	set     Settings
	members process.Members
	check   *invariant.Checker

	calls     map[id.Request]*call
	times     due.Timers[id.Request]
	held      map[id.Attempt]*held
	heldTimes due.Timers[id.Attempt]
	late      map[id.Attempt]lateCall
	lateTimes due.Timers[id.Attempt]
	ops       map[uint64]op
	opTimes   due.Timers[uint64]
	nextOp    uint64
	decisions []Decision

	hooks hooks
}

// hooks switch one safeguard off each, to show in tests that a check fires.
type hooks struct {
	sendUnread  bool // send after an insert whose answer was lost
	sendUnknown bool // send again when the holder is gone
	forgetSent  bool // call a broken call not-run
}

// New returns Calls without a call.
func New(set Settings, members process.Members, check *invariant.Checker) *Tracker {
	return &Tracker{
		set: set.withDefaults(), members: members, check: check,
		calls: make(map[id.Request]*call),
		held:  make(map[id.Attempt]*held),
		late:  make(map[id.Attempt]lateCall),
		ops:   make(map[uint64]op),
	}
}

// Begin takes a call in and inserts its row. Nothing may be sent before the
// decision Send. A request that is known already is ignored.
func (o *Tracker) Begin(now clock.Time, c Call, out *event.Outbox) {
	if o.calls[c.Request] != nil {
		return
	}
	k := &call{Call: c}
	o.calls[c.Request] = k
	switch {
	case now.Reached(c.Deadline):
		o.refuse(now, k, event.ReasonDeadline, event.NotRun, out)
	case len(o.held) >= o.set.MaxOpenAttempts:
		o.refuse(now, k, event.ReasonTable, event.NotRun, out)
	default:
		o.insert(now, k, 0, out)
	}
}

// Decisions returns the decisions made since the last call, in order.
func (o *Tracker) Decisions() []Decision {
	d := o.decisions
	o.decisions = nil
	return d
}

// CanSend reports whether the call may be sent. It must be asked right before
// the first byte; an attempt that surely was not sent may be tried again, at
// any server, while this holds.
func (o *Tracker) CanSend(r id.Request) bool {
	c := o.calls[r]
	return c != nil && c.phase == running && c.held.row.State == table.OnceRunning
}

// Len returns the number of calls that wait for a decision or an end.
func (o *Tracker) Len() int { return len(o.calls) }

// OpenAttempts returns the number of calls that this instance answers for, those whose
// outcome is not stored yet among them.
func (o *Tracker) OpenAttempts() int { return len(o.held) }

// Next implements process.Machine.
func (o *Tracker) Next() clock.Time {
	return clock.Earliest(o.times.Next(), o.heldTimes.Next(), o.opTimes.Next(), o.lateTimes.Next())
}

// Tick implements process.Machine.
func (o *Tracker) Tick(now clock.Time, out *event.Outbox) {
	o.expireLate(now)
	for {
		n, ok := o.opTimes.Pop(now)
		if !ok {
			break
		}
		o.finish(now, n, table.Unknown, nil, out)
	}
	for {
		a, ok := o.heldTimes.Pop(now)
		if !ok {
			break
		}
		o.storeDue(now, o.held[a], out)
	}
	for {
		r, ok := o.times.Pop(now)
		if !ok {
			return
		}
		o.due(now, o.calls[r], out)
	}
}

// due does what the time of a call asks for.
func (o *Tracker) due(now clock.Time, c *call, out *event.Outbox) {
	switch c.phase {
	case inserting, reading:
		o.giveUpInsert(now, c, event.ReasonTable, out)
	case running:
		// The attempt should have ended at the deadline; nobody knows of it.
		o.expectLate(now, c)
		o.outcomeUnknown(now, c, out)
	case storing:
		o.answer(c, c.held.row, false)
	case waiting, marking:
		o.wait(now, c, out)
	case asking:
		o.statusUnknown(now, c, out)
	}
}

// latest returns when c must be decided. Only a call that was sent from here
// gets the grace: its attempt ends at the deadline at the latest.
func (o *Tracker) latest(c *call) clock.Time {
	if c.decided {
		return c.Deadline.Add(o.set.DeadlineGrace)
	}
	return c.Deadline
}

func (o *Tracker) decide(d Decision) { o.decisions = append(o.decisions, d) }

func (o *Tracker) send(now clock.Time, c *call, out *event.Outbox) {
	if now.Reached(c.Deadline) {
		o.giveUpInsert(now, c, event.ReasonDeadline, out)
		return
	}
	ours := c.held != nil && c.held.version > 0 && c.held.row.State == table.OnceRunning
	if !o.check.Hold(ours && !c.decided, "once-send",
		"%s: row confirmed %t, sent before %t", c.Request, ours, c.decided) {
		o.keepBack(now, c, out)
		return
	}
	c.phase, c.decided = running, true
	o.times.Set(c.Request, o.latest(c))
	o.decide(Decision{Request: c.Request, Action: Send, Row: c.held.row})
}

// keepBack is the safe branch of send: what may have been sent is unknown, the
// rest was not run.
func (o *Tracker) keepBack(now clock.Time, c *call, out *event.Outbox) {
	if c.decided {
		o.outcomeUnknown(now, c, out)
		return
	}
	o.giveUpInsert(now, c, event.ReasonTable, out)
}

func (o *Tracker) answer(c *call, row table.Once, replay bool) {
	if row.Type == ContentTypeTooLong && replay {
		o.forget(c)
		o.decide(Decision{Request: c.Request, Action: Refuse, Refusal: event.Refusal{
			Reason: event.ReasonOutcome, Ran: event.RanUnknown,
			Detail: "The call ran before; its answer is too long to be given again.",
		}})
		return
	}
	o.forget(c)
	o.decide(Decision{Request: c.Request, Action: Answer, Row: row, Replay: replay})
}

func (o *Tracker) refuse(now clock.Time, c *call, r event.Reason, ran event.Ran, out *event.Outbox) {
	if !o.check.Hold(ran != event.NotRun || !c.decided, "once-not-run",
		"%s may have been sent and is called not-run", c.Request) {
		ran = event.RanUnknown
	}
	o.forget(c)
	f := event.Refusal{Reason: r, Ran: ran, Detail: details[r]}
	if r == event.ReasonTable || r == event.ReasonRunning {
		f.RetryAfter = o.set.RowReadInterval
	}
	o.decide(Decision{Request: c.Request, Action: Refuse, Refusal: f})
}

var details = map[event.Reason]string{
	event.ReasonDeadline:  "The call can't be sent by its deadline.",
	event.ReasonTable:     "The call can't be recorded now, so it was not sent.",
	event.ReasonKeyReuse:  "The idempotency key was used for another call.",
	event.ReasonRunning:   "A call with this idempotency key is under way.",
	event.ReasonOutcome:   "A call with this idempotency key was sent, and its outcome is not known.",
	event.ReasonNoBackend: "The backend server did not take the call.",
}

func (o *Tracker) forget(c *call) {
	delete(o.calls, c.Request)
	o.times.Delete(c.Request)
}
