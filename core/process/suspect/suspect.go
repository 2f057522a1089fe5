// Package suspect keeps which requests may be what crashes backend servers.
//
// The requests in flight on a server that crashes become suspects. A suspect
// runs alone; if the server crashes again while it is alone there, it and its
// repeats are refused for a time. A suspect that runs to its end is cleared.
//
// docs/design/crash-suspects.md states how many crashes one request can cause.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/request/due"
)

// The defaults of Settings.
const (
	DefaultSuspectFor = 10 * time.Minute
	DefaultRefuseFor  = 10 * time.Minute
	DefaultMaxRefuse  = 4 * time.Hour
	DefaultMaxKept    = 4096
	DefaultSayAgain   = time.Second
)

// sayings is how often a sign is sent to each instance. A lost one would let
// that instance run the request beside others and have one more server crash.
const sayings = 3

// Settings of a Register; a zero field takes its default.
type Settings struct {
	// SuspectFor is how long a request stays a suspect without another sign.
	SuspectFor time.Duration
	// RefuseFor is how long it is refused after a crash while alone. It
	// doubles with each further crash while alone, up to MaxRefuse.
	RefuseFor time.Duration
	MaxRefuse time.Duration
	// MaxKept bounds the records, and the crashes remembered.
	MaxKept int
	// SayAgain is the time between two sendings of the same sign.
	SayAgain time.Duration
}

// Kind says how a request may run.
type Kind int

// How a request may run.
const (
	Clear  Kind = iota // as any other
	Alone              // only on a server with nothing else
	Refuse             // not now
)

// Verdict is the answer of Check.
type Verdict struct {
	Kind       Kind
	RetryAfter time.Duration // for Refuse
}

// InFlight is a request that was running on a server when it crashed.
type InFlight struct {
	Digest id.Digest
	Alone  bool // nothing else was running there
}

// Digest is what a request is recognised by: its client account and its body.
func Digest(account id.Account, body id.Digest) id.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(body))
	return id.Digest(hex.EncodeToString(h.Sum(nil)))
}

type record struct {
	strikes      int        // crashes while alone
	refusedUntil clock.Time // 0: only a suspect
}

type sign struct {
	crash  id.Attempt
	digest id.Digest
}

// saying is a sign that is to be sent again.
type saying struct {
	at   clock.Time
	left int
	seen message.SuspectSeen
}

// Register is one instance's list of suspects.
type Register struct {
	set     Settings
	members process.Members
	check   *invariant.Checker
	records map[id.Digest]*record
	expiry  due.Timers[id.Digest]
	seen    map[sign]struct{} // signs counted, so that a doubled one isn't
	order   []sign            // of seen, the oldest first
	unsaid  []saying          // own signs to be sent again, the earliest first

	hooks hooks
}

// hooks switch one safeguard off each, to show in tests that a check fires.
type hooks struct {
	ignoreAlone bool // treat each crash as the first one
	keepAll     bool // drop no record for lack of room
}

// New returns an empty Register.
func New(set Settings, members process.Members, check *invariant.Checker) *Register {
	if set.SuspectFor == 0 {
		set.SuspectFor = DefaultSuspectFor
	}
	if set.RefuseFor == 0 {
		set.RefuseFor = DefaultRefuseFor
	}
	if set.MaxRefuse == 0 {
		set.MaxRefuse = DefaultMaxRefuse
	}
	if set.MaxKept == 0 {
		set.MaxKept = DefaultMaxKept
	}
	if set.SayAgain == 0 {
		set.SayAgain = DefaultSayAgain
	}
	return &Register{
		set: set, members: members, check: check,
		records: make(map[id.Digest]*record),
		seen:    make(map[sign]struct{}),
	}
}

// Check says how a request may run at now. Ask it on arrival, and again right
// before each dispatch.
func (r *Register) Check(now clock.Time, d id.Digest) Verdict {
	rec, ok := r.records[d]
	switch {
	case !ok:
		return Verdict{Kind: Clear}
	case now.Before(rec.refusedUntil):
		return Verdict{Kind: Refuse, RetryAfter: rec.refusedUntil.Sub(now)}
	default:
		return Verdict{Kind: Alone}
	}
}

// Crashed notes that attempt saw its server crash, and tells all instances.
func (r *Register) Crashed(now clock.Time, attempt id.Attempt, b id.Backend, running []InFlight, out *event.Outbox) {
	r.Tick(now, out)
	for _, f := range running {
		if !r.note(now, sign{attempt, f.Digest}, f.Alone) {
			continue
		}
		r.say(now, saying{left: sayings, seen: message.SuspectSeen{
			Digest: f.Digest, Crash: attempt, Backend: b, Alone: f.Alone,
		}}, out)
	}
}

// Cleared notes that a suspect ran to its end, and tells all instances.
func (r *Register) Cleared(now clock.Time, d id.Digest, out *event.Outbox) {
	r.Tick(now, out)
	if _, ok := r.records[d]; !ok {
		return
	}
	r.clear(now, d)
	r.spread(message.SuspectCleared{Digest: d}, out)
}

// Peer takes SuspectSeen and SuspectCleared. A lost SuspectSeen lets this
// instance run the request beside others until it sees a crash itself; a
// doubled one changes nothing; a late SuspectCleared does not lift a refusal.
func (r *Register) Peer(now clock.Time, _ id.Instance, m message.Message) {
	r.expire(now)
	switch m := m.(type) {
	case message.SuspectSeen:
		r.note(now, sign{m.Crash, m.Digest}, m.Alone)
	case message.SuspectCleared:
		r.clear(now, m.Digest)
	}
}

// Tick forgets what has expired, and sends the latest signs again.
func (r *Register) Tick(now clock.Time, out *event.Outbox) {
	r.expire(now)
	for len(r.unsaid) > 0 && now.Reached(r.unsaid[0].at) {
		s := r.unsaid[0]
		r.unsaid = r.unsaid[1:]
		r.say(now, s, out)
	}
}

// Next implements process.Machine.
func (r *Register) Next() clock.Time {
	if len(r.unsaid) > 0 {
		return min(r.expiry.Next(), r.unsaid[0].at)
	}
	return r.expiry.Next()
}

func (r *Register) say(now clock.Time, s saying, out *event.Outbox) {
	r.spread(s.seen, out)
	s.left--
	if s.left > 0 && len(r.unsaid) < r.set.MaxKept {
		s.at = now.Add(r.set.SayAgain)
		r.unsaid = append(r.unsaid, s)
	}
}

// Len returns the number of suspects and refused requests.
func (r *Register) Len() int { return len(r.records) }

func (r *Register) expire(now clock.Time) {
	for {
		d, ok := r.expiry.Pop(now)
		if !ok {
			return
		}
		delete(r.records, d)
	}
}

// note counts one sign against a request and reports whether it is new.
func (r *Register) note(now clock.Time, s sign, alone bool) bool {
	if _, ok := r.seen[s]; ok {
		return false
	}
	r.remember(s)
	rec := r.records[s.digest]
	if rec == nil {
		rec = &record{}
		r.makeRoom()
		r.records[s.digest] = rec
	}
	until := now.Add(r.set.SuspectFor)
	if alone && !r.hooks.ignoreAlone {
		rec.strikes++
		rec.refusedUntil = now.Add(r.refuseFor(rec.strikes))
	}
	// After a refusal has ended the request is still a suspect, so that its
	// next run is alone again and another crash takes nobody else down.
	until = max(until, rec.refusedUntil.Add(r.set.SuspectFor))
	r.expiry.Set(s.digest, until)
	r.check.Hold(len(r.records) <= r.set.MaxKept, "suspect-memory", "%d records", len(r.records))
	r.check.Hold(!alone || r.Check(now, s.digest).Kind == Refuse, "suspect-second-crash",
		"%s crashed a server while alone and is not refused", s.digest)
	return true
}

func (r *Register) refuseFor(strikes int) time.Duration {
	d := r.set.RefuseFor
	for i := 1; i < strikes && d < r.set.MaxRefuse; i++ {
		d *= 2
	}
	return min(d, r.set.MaxRefuse)
}

// clear lifts a suspicion, but no refusal: the run that cleared it may have
// begun before the crash that led to the refusal.
func (r *Register) clear(now clock.Time, d id.Digest) {
	rec := r.records[d]
	if rec == nil || now.Before(rec.refusedUntil) {
		return
	}
	delete(r.records, d)
	r.expiry.Delete(d)
}

func (r *Register) remember(s sign) {
	if len(r.order) >= r.set.MaxKept {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
	r.seen[s] = struct{}{}
	r.order = append(r.order, s)
}

// makeRoom drops the record that would expire first if there is no room.
func (r *Register) makeRoom() {
	if len(r.records) < r.set.MaxKept || r.hooks.keepAll {
		return
	}
	if d, ok := r.expiry.Pop(r.expiry.Next()); ok {
		delete(r.records, d)
	}
}

func (r *Register) spread(m message.Message, out *event.Outbox) {
	self := r.members.Self()
	for _, i := range r.members.Live() {
		if i != self {
			out.Send(i, m)
		}
	}
}
