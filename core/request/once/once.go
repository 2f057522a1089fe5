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
	DefaultRepeat       = 400 * time.Millisecond
	DefaultReread       = time.Second
	DefaultHolderSilent = 2 * time.Second
	DefaultStoreWait    = 2 * time.Second
	DefaultStoreRetry   = 500 * time.Millisecond
	DefaultStoreFor     = 15 * time.Minute
	DefaultOpTimeout    = 3 * time.Second
	DefaultStatusWait   = 5 * time.Second
	DefaultEndGrace     = time.Second
	DefaultMaxBody      = 256 << 10
	DefaultMaxHeld      = 4096
)

// maxTries bounds how often an insert, or the reading back of one, is tried
// before the call is refused.
const maxTries = 2

// TypeTooLong stands in the row for the media type of an outcome that is too
// long to be kept.
const TypeTooLong = "x-oleanderdale/too-long"

// Settings of Calls; a zero field takes its default.
type Settings struct {
	Repeat time.Duration // between two asks of a holder
	Reread time.Duration // between two readings of the row of a running call
	// HolderSilent is how long a holder that is not live must be silent before
	// its call is taken as unknown.
	HolderSilent time.Duration
	// StoreWait is how long an answer is held back for its outcome to be
	// stored.
	StoreWait  time.Duration
	StoreRetry time.Duration // between two tries to store
	StoreFor   time.Duration // after which an outcome that can't be stored is given up
	OpTimeout  time.Duration // after which a table operation counts as unknown
	StatusWait time.Duration // for the answer to a status call
	// EndGrace is how long after its deadline a call that was sent may still
	// wait for its end, or for the outcome to be stored or asked for.
	EndGrace time.Duration
	MaxBody  int // bytes of an outcome that are kept
	MaxHeld  int // calls held, those that wait to be stored among them
}

func (s Settings) withDefaults() Settings {
	s.Repeat = cmp.Or(s.Repeat, DefaultRepeat)
	s.Reread = cmp.Or(s.Reread, DefaultReread)
	s.HolderSilent = cmp.Or(s.HolderSilent, DefaultHolderSilent)
	s.StoreWait = cmp.Or(s.StoreWait, DefaultStoreWait)
	s.StoreRetry = cmp.Or(s.StoreRetry, DefaultStoreRetry)
	s.StoreFor = cmp.Or(s.StoreFor, DefaultStoreFor)
	s.OpTimeout = cmp.Or(s.OpTimeout, DefaultOpTimeout)
	s.StatusWait = cmp.Or(s.StatusWait, DefaultStatusWait)
	s.EndGrace = cmp.Or(s.EndGrace, DefaultEndGrace)
	s.MaxBody = cmp.Or(s.MaxBody, DefaultMaxBody)
	s.MaxHeld = cmp.Or(s.MaxHeld, DefaultMaxHeld)
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
	// StatusCall says that the service can be asked for the outcome.
	StatusCall bool
}

// Kind says what is to be done with a call.
type Kind int

// What is to be done with a call.
const (
	// Send it once, if MaySend still says so right before the first byte.
	Send Kind = iota
	// Answer the caller with the outcome in Row.
	Answer
	// Refuse it with Refusal.
	Refuse
	// AskStatus asks the service for the outcome; StatusTold hands it in.
	AskStatus
)

// Decision is what is to be done with a call.
type Decision struct {
	Request id.Request
	Kind    Kind
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
	return table.Key{Kind: table.KindOnce, ID: string(a) + "/" + key}
}

// Calls holds the calls of this instance that must not be repeated.
type Calls struct {
	set     Settings
	members process.Members
	check   *invariant.Checker

	calls     map[id.Request]*call
	times     due.Times[id.Request]
	held      map[id.Attempt]*held
	heldTimes due.Times[id.Attempt]
	late      map[id.Attempt]lateCall
	lateTimes due.Times[id.Attempt]
	ops       map[uint64]op
	opTimes   due.Times[uint64]
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
func New(set Settings, members process.Members, check *invariant.Checker) *Calls {
	return &Calls{
		set: set.withDefaults(), members: members, check: check,
		calls: make(map[id.Request]*call),
		held:  make(map[id.Attempt]*held),
		late:  make(map[id.Attempt]lateCall),
		ops:   make(map[uint64]op),
	}
}

// Begin takes a call in and inserts its row. Nothing may be sent before the
// decision Send. A request that is known already is ignored.
func (o *Calls) Begin(now clock.Time, c Call, out *event.Outbox) {
	if o.calls[c.Request] != nil {
		return
	}
	k := &call{Call: c}
	o.calls[c.Request] = k
	switch {
	case now.Reached(c.Deadline):
		o.refuse(now, k, event.ReasonDeadline, event.NotRun, out)
	case len(o.held) >= o.set.MaxHeld:
		o.refuse(now, k, event.ReasonTableUnavailable, event.NotRun, out)
	default:
		o.insert(now, k, 0, out)
	}
}

// Decisions returns the decisions made since the last call, in order.
func (o *Calls) Decisions() []Decision {
	d := o.decisions
	o.decisions = nil
	return d
}

// MaySend reports whether the call may be sent. It must be asked right before
// the first byte; an attempt that surely was not sent may be tried again, at
// any server, while this holds.
func (o *Calls) MaySend(r id.Request) bool {
	c := o.calls[r]
	return c != nil && c.phase == running && c.held.row.State == table.OnceRunning
}

// Len returns the number of calls that wait for a decision or an end.
func (o *Calls) Len() int { return len(o.calls) }

// Held returns the number of calls that this instance answers for, those whose
// outcome is not stored yet among them.
func (o *Calls) Held() int { return len(o.held) }

// Next implements process.Machine.
func (o *Calls) Next() clock.Time {
	return clock.Earliest(o.times.Next(), o.heldTimes.Next(), o.opTimes.Next(), o.lateTimes.Next())
}

// Tick implements process.Machine.
func (o *Calls) Tick(now clock.Time, out *event.Outbox) {
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
func (o *Calls) due(now clock.Time, c *call, out *event.Outbox) {
	switch c.phase {
	case inserting, reading:
		o.giveUpInsert(now, c, event.ReasonTableUnavailable, out)
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
func (o *Calls) latest(c *call) clock.Time {
	if c.decided {
		return c.Deadline.Add(o.set.EndGrace)
	}
	return c.Deadline
}

func (o *Calls) decide(d Decision) { o.decisions = append(o.decisions, d) }

func (o *Calls) send(now clock.Time, c *call, out *event.Outbox) {
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
	o.decide(Decision{Request: c.Request, Kind: Send, Row: c.held.row})
}

// keepBack is the safe branch of send: what may have been sent is unknown, the
// rest was not run.
func (o *Calls) keepBack(now clock.Time, c *call, out *event.Outbox) {
	if c.decided {
		o.outcomeUnknown(now, c, out)
		return
	}
	o.giveUpInsert(now, c, event.ReasonTableUnavailable, out)
}

func (o *Calls) answer(c *call, row table.Once, replay bool) {
	if row.ContentType == TypeTooLong && replay {
		o.forget(c)
		o.decide(Decision{Request: c.Request, Kind: Refuse, Refusal: event.Refusal{
			Reason: event.ReasonOutcomeUnknown, Execution: event.MayHaveRun,
			Detail: "The call ran before; its answer is too long to be given again.",
		}})
		return
	}
	o.forget(c)
	o.decide(Decision{Request: c.Request, Kind: Answer, Row: row, Replay: replay})
}

func (o *Calls) refuse(now clock.Time, c *call, r event.Reason, ran event.Execution, out *event.Outbox) {
	if !o.check.Hold(ran != event.NotRun || !c.decided, "once-not-run",
		"%s may have been sent and is called not-run", c.Request) {
		ran = event.MayHaveRun
	}
	o.forget(c)
	f := event.Refusal{Reason: r, Execution: ran, Detail: details[r]}
	if r == event.ReasonTableUnavailable || r == event.ReasonRunningElsewhere {
		f.RetryAfter = o.set.Reread
	}
	o.decide(Decision{Request: c.Request, Kind: Refuse, Refusal: f})
}

var details = map[event.Reason]string{
	event.ReasonDeadline:         "The call can't be sent by its deadline.",
	event.ReasonTableUnavailable: "The call can't be recorded now, so it was not sent.",
	event.ReasonKeyReuse:         "The idempotency key was used for another call.",
	event.ReasonRunningElsewhere: "A call with this idempotency key is under way.",
	event.ReasonOutcomeUnknown:   "A call with this idempotency key was sent, and its outcome is not known.",
	event.ReasonNoBackend:        "The backend server did not take the call.",
}

func (o *Calls) forget(c *call) {
	delete(o.calls, c.Request)
	o.times.Drop(c.Request)
}
