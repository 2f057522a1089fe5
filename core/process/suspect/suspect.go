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
	DefaultSuspectTTL       = 10 * time.Minute
	DefaultRefusalPeriod    = 10 * time.Minute
	DefaultMaxRefusalPeriod = 4 * time.Hour
	DefaultMaxRecords       = 4096
	DefaultResendInterval   = time.Second
)

// sayings is how often a sign is sent to each instance. A lost one would let
// that instance run the request beside others and have one more server crash.
const sayings = 3

// Settings of a Register; a zero field takes its default.
type Settings struct {
	// SuspectTTL is how long a request stays a suspect without another sign.
	SuspectTTL time.Duration
	// RefusalPeriod is how long it is refused after a crash while alone. It
	// doubles with each further crash while alone, up to MaxRefuse.
	RefusalPeriod    time.Duration
	MaxRefusalPeriod time.Duration
	// MaxRecords bounds the records, and the crashes remembered.
	MaxRecords int
	// ResendInterval is the time between two sendings of the same sign.
	ResendInterval time.Duration
}

// Mode says how a request may run.
type Mode int

// How a request may run.
const (
	Unrestricted Mode = iota // as any other
	Alone                    // only on a server with nothing else
	Refuse                   // not now
)

// Decision is the answer of Check.
type Decision struct {
	Mode       Mode
	RetryAfter time.Duration // for Refuse
}

// InFlight is a request that was running on a server when it crashed.
type InFlight struct {
	Digest id.Digest
	Alone  bool // nothing else was running there
}

// RequestDigest is what a request is recognised by: its client account and its body.
func RequestDigest(account id.Account, body id.Digest) id.Digest {
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

// Registry is one instance's list of suspects.
type Registry struct {
	set     Settings
	members process.Members
	check   *invariant.Checker
	records map[id.Digest]*record
	expiry  due.Times[id.Digest]
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
func New(set Settings, members process.Members, check *invariant.Checker) *Registry {
	if set.SuspectTTL == 0 {
		set.SuspectTTL = DefaultSuspectTTL
	}
	if set.RefusalPeriod == 0 {
		set.RefusalPeriod = DefaultRefusalPeriod
	}
	if set.MaxRefusalPeriod == 0 {
		set.MaxRefusalPeriod = DefaultMaxRefusalPeriod
	}
	if set.MaxRecords == 0 {
		set.MaxRecords = DefaultMaxRecords
	}
	if set.ResendInterval == 0 {
		set.ResendInterval = DefaultResendInterval
	}
	return &Registry{
		set: set, members: members, check: check,
		records: make(map[id.Digest]*record),
		seen:    make(map[sign]struct{}),
	}
}

// Check says how a request may run at now. Ask it on arrival, and again right
// before each dispatch.
func (r *Registry) Check(now clock.Time, d id.Digest) Decision {
	rec, ok := r.records[d]
	switch {
	case !ok:
		return Decision{Mode: Unrestricted}
	case now.Before(rec.refusedUntil):
		return Decision{Mode: Refuse, RetryAfter: rec.refusedUntil.Sub(now)}
	default:
		return Decision{Mode: Alone}
	}
}

// RecordCrash notes that attempt saw its server crash, and tells all instances.
func (r *Registry) RecordCrash(now clock.Time, attempt id.Attempt, b id.Backend, running []InFlight, out *event.Outbox) {
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

// RecordCompletion notes that a suspect ran to its end, and tells all instances.
func (r *Registry) RecordCompletion(now clock.Time, d id.Digest, out *event.Outbox) {
	r.Tick(now, out)
	if _, ok := r.records[d]; !ok {
		return
	}
	r.clear(now, d)
	r.spread(message.SuspectCleared{Digest: d}, out)
}

// HandleMessage takes SuspectSeen and SuspectCleared. A lost SuspectSeen lets this
// instance run the request beside others until it sees a crash itself; a
// doubled one changes nothing; a late SuspectCleared does not lift a refusal.
func (r *Registry) HandleMessage(now clock.Time, _ id.Instance, m message.Message) {
	r.expire(now)
	switch m := m.(type) {
	case message.SuspectSeen:
		r.note(now, sign{m.Crash, m.Digest}, m.Alone)
	case message.SuspectCleared:
		r.clear(now, m.Digest)
	}
}

// Tick forgets what has expired, and sends the latest signs again.
func (r *Registry) Tick(now clock.Time, out *event.Outbox) {
	r.expire(now)
	for len(r.unsaid) > 0 && now.Reached(r.unsaid[0].at) {
		s := r.unsaid[0]
		r.unsaid = r.unsaid[1:]
		r.say(now, s, out)
	}
}

// Next implements process.Machine.
func (r *Registry) Next() clock.Time {
	if len(r.unsaid) > 0 {
		return min(r.expiry.Next(), r.unsaid[0].at)
	}
	return r.expiry.Next()
}

func (r *Registry) say(now clock.Time, s saying, out *event.Outbox) {
	r.spread(s.seen, out)
	s.left--
	if s.left > 0 && len(r.unsaid) < r.set.MaxRecords {
		s.at = now.Add(r.set.ResendInterval)
		r.unsaid = append(r.unsaid, s)
	}
}

// Len returns the number of suspects and refused requests.
func (r *Registry) Len() int { return len(r.records) }

func (r *Registry) expire(now clock.Time) {
	for {
		d, ok := r.expiry.Pop(now)
		if !ok {
			return
		}
		delete(r.records, d)
	}
}

// note counts one sign against a request and reports whether it is new.
func (r *Registry) note(now clock.Time, s sign, alone bool) bool {
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
	until := now.Add(r.set.SuspectTTL)
	if alone && !r.hooks.ignoreAlone {
		rec.strikes++
		rec.refusedUntil = now.Add(r.refuseFor(rec.strikes))
	}
	// After a refusal has ended the request is still a suspect, so that its
	// next run is alone again and another crash takes nobody else down.
	until = max(until, rec.refusedUntil.Add(r.set.SuspectTTL))
	r.expiry.Set(s.digest, until)
	r.check.Hold(len(r.records) <= r.set.MaxRecords, "suspect-memory", "%d records", len(r.records))
	r.check.Hold(!alone || r.Check(now, s.digest).Mode == Refuse, "suspect-second-crash",
		"%s crashed a server while alone and is not refused", s.digest)
	return true
}

func (r *Registry) refuseFor(strikes int) time.Duration {
	d := r.set.RefusalPeriod
	for i := 1; i < strikes && d < r.set.MaxRefusalPeriod; i++ {
		d *= 2
	}
	return min(d, r.set.MaxRefusalPeriod)
}

// clear lifts a suspicion, but no refusal: the run that cleared it may have
// begun before the crash that led to the refusal.
func (r *Registry) clear(now clock.Time, d id.Digest) {
	rec := r.records[d]
	if rec == nil || now.Before(rec.refusedUntil) {
		return
	}
	delete(r.records, d)
	r.expiry.Drop(d)
}

func (r *Registry) remember(s sign) {
	if len(r.order) >= r.set.MaxRecords {
		delete(r.seen, r.order[0])
		r.order = r.order[1:]
	}
	r.seen[s] = struct{}{}
	r.order = append(r.order, s)
}

// makeRoom drops the record that would expire first if there is no room.
func (r *Registry) makeRoom() {
	if len(r.records) < r.set.MaxRecords || r.hooks.keepAll {
		return
	}
	if d, ok := r.expiry.Pop(r.expiry.Next()); ok {
		delete(r.records, d)
	}
}

func (r *Registry) spread(m message.Message, out *event.Outbox) {
	self := r.members.Self()
	for _, i := range r.members.Live() {
		if i != self {
			out.Send(i, m)
		}
	}
}
