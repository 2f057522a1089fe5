// Package suspect tracks requests that may crash the backend servers they run on.
//
// The requests in flight on a server that crashes become suspects. A suspect
// runs alone on a server. If that server crashes too, the request and its
// repeats are refused for some time. A suspect that completes is cleared.
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

// Default settings.
const (
	DefaultSuspectTTL       = 10 * time.Minute
	DefaultRefusalPeriod    = 10 * time.Minute
	DefaultMaxRefusalPeriod = 4 * time.Hour
	DefaultMaxRecords       = 4096
	DefaultResendInterval   = time.Second
)

// sendCount is how often an observation is sent to each instance. An instance
// that never received it would run the request beside others and cause a further
// crash.
const sendCount = 3

// Settings configure a Registry. Fields that are 0 get their defaults.
type Settings struct {
	// SuspectTTL is how long a request stays a suspect after its last crash or,
	// if it was refused, after the end of the refusal.
	SuspectTTL time.Duration
	// RefusalPeriod is how long a request is refused after a crash while it ran
	// alone. It doubles with each further such crash, up to MaxRefusalPeriod.
	RefusalPeriod    time.Duration
	MaxRefusalPeriod time.Duration
	// MaxRecords limits the number of suspects, and that of remembered
	// observations.
	MaxRecords int
	// ResendInterval is the time between two sends of the same observation.
	ResendInterval time.Duration
}

// Mode tells how a request may run.
type Mode int

// The modes.
const (
	Unrestricted Mode = iota // like any other request
	Alone                    // only on a server without other requests
	Refuse                   // not at present
)

// Decision is the result of Check.
type Decision struct {
	Mode       Mode
	RetryAfter time.Duration // set for Refuse
}

// InFlight is a request that was running on a server when the server crashed.
type InFlight struct {
	Digest id.Digest
	Alone  bool // no other request was running there
}

// RequestDigest returns the digest that identifies a request and its repeats. It
// covers the client account and the body.
func RequestDigest(account id.Account, body id.Digest) id.Digest {
	h := sha256.New()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(body))
	return id.Digest(hex.EncodeToString(h.Sum(nil)))
}

// record is the state of a suspect.
type record struct {
	crashesAlone int        // crashes while it ran alone
	refusedUntil clock.Time // 0 if never refused
}

// observation identifies one request that was running during one crash. The crash
// is named by the attempt that saw it.
type observation struct {
	crash  id.Attempt
	digest id.Digest
}

// resend is an own observation that must be sent again.
type resend struct {
	at        clock.Time
	remaining int
	message   message.SuspectSeen
}

// Registry holds the suspects known to one instance.
type Registry struct {
	settings         Settings
	members          process.Members
	check            *invariant.Checker
	records          map[id.Digest]*record
	expirations      due.Timers[id.Digest]
	seenObservations map[observation]struct{} // observations already counted; duplicates are ignored
	observationOrder []observation            // keys of seenObservations, the oldest first
	resends          []resend                 // pending resends in the order of their times

	hooks testHooks
}

// testHooks disable safeguards, so that tests can show that an invariant detects
// the fault.
type testHooks struct {
	ignoreAlone  bool // treat a crash while alone like any other
	skipEviction bool // don't evict records when there are too many
}

// New returns an empty Registry.
func New(settings Settings, members process.Members, check *invariant.Checker) *Registry {
	if settings.SuspectTTL == 0 {
		settings.SuspectTTL = DefaultSuspectTTL
	}
	if settings.RefusalPeriod == 0 {
		settings.RefusalPeriod = DefaultRefusalPeriod
	}
	if settings.MaxRefusalPeriod == 0 {
		settings.MaxRefusalPeriod = DefaultMaxRefusalPeriod
	}
	if settings.MaxRecords == 0 {
		settings.MaxRecords = DefaultMaxRecords
	}
	if settings.ResendInterval == 0 {
		settings.ResendInterval = DefaultResendInterval
	}
	return &Registry{
		settings: settings, members: members, check: check,
		records:          make(map[id.Digest]*record),
		seenObservations: make(map[observation]struct{}),
	}
}

// Check returns how a request may run at now. Call it on arrival and again right
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

// RecordCrash records the requests that were running when attempt saw its server
// crash, and sends them to all instances.
func (r *Registry) RecordCrash(now clock.Time, attempt id.Attempt, b id.Backend, running []InFlight, out *event.Outbox) {
	r.Tick(now, out)
	for _, f := range running {
		if !r.recordObservation(now, observation{attempt, f.Digest}, f.Alone) {
			continue
		}
		r.sendObservation(now, resend{remaining: sendCount, message: message.SuspectSeen{
			Digest: f.Digest, Crash: attempt, Backend: b, Alone: f.Alone,
		}}, out)
	}
}

// RecordCompletion records that a request completed. If it was a suspect, it is
// cleared at all instances.
func (r *Registry) RecordCompletion(now clock.Time, d id.Digest, out *event.Outbox) {
	r.Tick(now, out)
	if _, ok := r.records[d]; !ok {
		return
	}
	r.clear(now, d)
	r.broadcast(message.SuspectCleared{Digest: d}, out)
}

// HandleMessage handles SuspectSeen and SuspectCleared. If a SuspectSeen is lost,
// this instance runs the request beside others until it sees a crash itself. A
// duplicate has no effect, and a late SuspectCleared does not end a refusal.
func (r *Registry) HandleMessage(now clock.Time, _ id.Instance, m message.Message) {
	r.expire(now)
	switch m := m.(type) {
	case message.SuspectSeen:
		r.recordObservation(now, observation{m.Crash, m.Digest}, m.Alone)
	case message.SuspectCleared:
		r.clear(now, m.Digest)
	}
}

// Tick removes expired suspects and sends the observations that are due again.
func (r *Registry) Tick(now clock.Time, out *event.Outbox) {
	r.expire(now)
	for len(r.resends) > 0 && now.Reached(r.resends[0].at) {
		s := r.resends[0]
		r.resends = r.resends[1:]
		r.sendObservation(now, s, out)
	}
}

// Next implements process.Machine.
func (r *Registry) Next() clock.Time {
	if len(r.resends) > 0 {
		return min(r.expirations.Next(), r.resends[0].at)
	}
	return r.expirations.Next()
}

// sendObservation broadcasts an observation and schedules the next send.
func (r *Registry) sendObservation(now clock.Time, s resend, out *event.Outbox) {
	r.broadcast(s.message, out)
	s.remaining--
	if s.remaining > 0 && len(r.resends) < r.settings.MaxRecords {
		s.at = now.Add(r.settings.ResendInterval)
		r.resends = append(r.resends, s)
	}
}

// Len returns the number of suspects, including refused requests.
func (r *Registry) Len() int { return len(r.records) }

// expire removes the suspects whose time has passed.
func (r *Registry) expire(now clock.Time) {
	for {
		d, ok := r.expirations.Pop(now)
		if !ok {
			return
		}
		delete(r.records, d)
	}
}

// recordObservation records that a request was running during a crash. It reports
// whether the observation is new.
func (r *Registry) recordObservation(now clock.Time, o observation, alone bool) bool {
	if _, ok := r.seenObservations[o]; ok {
		return false
	}
	r.rememberObservation(o)
	rec := r.records[o.digest]
	if rec == nil {
		rec = &record{}
		r.evictForSpace()
		r.records[o.digest] = rec
	}
	until := now.Add(r.settings.SuspectTTL)
	if alone && !r.hooks.ignoreAlone {
		rec.crashesAlone++
		rec.refusedUntil = now.Add(r.refusalPeriod(rec.crashesAlone))
	}
	// The request stays a suspect after a refusal ends, so that it runs alone and
	// another crash affects no other request.
	until = max(until, rec.refusedUntil.Add(r.settings.SuspectTTL))
	r.expirations.Set(o.digest, until)
	r.check.Hold(len(r.records) <= r.settings.MaxRecords, "suspect-memory", "%d records", len(r.records))
	r.check.Hold(!alone || r.Check(now, o.digest).Mode == Refuse, "suspect-second-crash",
		"%s crashed a server while alone and is not refused", o.digest)
	return true
}

// refusalPeriod returns the time to refuse a request after the given number of
// crashes while it ran alone.
func (r *Registry) refusalPeriod(crashes int) time.Duration {
	d := r.settings.RefusalPeriod
	for i := 1; i < crashes && d < r.settings.MaxRefusalPeriod; i++ {
		d *= 2
	}
	return min(d, r.settings.MaxRefusalPeriod)
}

// clear removes a suspect unless it is refused: the run that completed may
// have begun before the crash that led to the refusal.
func (r *Registry) clear(now clock.Time, d id.Digest) {
	rec := r.records[d]
	if rec == nil || now.Before(rec.refusedUntil) {
		return
	}
	delete(r.records, d)
	r.expirations.Delete(d)
}

// rememberObservation adds an observation, dropping the oldest if there are too
// many.
func (r *Registry) rememberObservation(o observation) {
	if len(r.observationOrder) >= r.settings.MaxRecords {
		delete(r.seenObservations, r.observationOrder[0])
		r.observationOrder = r.observationOrder[1:]
	}
	r.seenObservations[o] = struct{}{}
	r.observationOrder = append(r.observationOrder, o)
}

// evictForSpace removes the suspect that would expire first if there are too
// many.
func (r *Registry) evictForSpace() {
	if len(r.records) < r.settings.MaxRecords || r.hooks.skipEviction {
		return
	}
	if d, ok := r.expirations.Pop(r.expirations.Next()); ok {
		delete(r.records, d)
	}
}

// broadcast sends a message to all other live instances.
func (r *Registry) broadcast(m message.Message, out *event.Outbox) {
	self := r.members.Self()
	for _, i := range r.members.Live() {
		if i != self {
			out.Send(i, m)
		}
	}
}
