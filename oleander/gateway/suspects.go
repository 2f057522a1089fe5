package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/oleander/process/boottime"
)

// suspectsMsg tells other instances of requests that may crash servers. It and its parts
// are maps, so that later versions can add fields.
type suspectsMsg struct {
	Name     string         `cbor:"3,keyasint"` // of the sender
	Suspects []suspectMsg   `cbor:"1,keyasint,omitempty"`
	Alive    []serverAgeMsg `cbor:"2,keyasint,omitempty"` // servers that survived the break of a connection
	// Crashes, Survivals and Trials are about what requests have in common.
	Crashes   []crashMsg       `cbor:"4,keyasint,omitempty"`
	Survivals []digestAgeMsg   `cbor:"5,keyasint,omitempty"`
	Trials    []sharedTrialMsg `cbor:"6,keyasint,omitempty"`
	Up        []serverAgeMsg   `cbor:"7,keyasint,omitempty"` // servers that answered again after a crash
	Asked     []uint64         `cbor:"8,keyasint,omitempty"` // starts of servers that are silent at the sender
	Heard     []serverAgeMsg   `cbor:"9,keyasint,omitempty"` // when the sender heard of starts that others ask for
}

// suspectMsg is what an instance knows of one suspect.
type suspectMsg struct {
	Digest      uint64         `cbor:"1,keyasint"`
	Crashes     []serverAgeMsg `cbor:"2,keyasint,omitempty"`
	CompletedMS *int64         `cbor:"3,keyasint,omitempty"` // since the last completed run; nil: none is known
	Trials      int            `cbor:"4,keyasint,omitempty"`
	TrialMS     int64          `cbor:"5,keyasint,omitempty"` // since the last trial began
	Completions int            `cbor:"6,keyasint,omitempty"` // at the sender
	RanBeforeMS *int64         `cbor:"7,keyasint,omitempty"` // since the last completed run before the crashes
	// These are set in the store if the sender had read it there.
	CompletedAgain bool `cbor:"8,keyasint,omitempty"`
	TrialAgain     bool `cbor:"9,keyasint,omitempty"`
	RanBeforeAgain bool `cbor:"10,keyasint,omitempty"`
}

// serverAgeMsg says how long ago something happened at a server.
type serverAgeMsg struct {
	Server uint64 `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
}

// encodeSuspects returns nil if there is nothing to tell.
func encodeSuspects(sender string, r poison.Report) *suspectsMsg {
	if len(r.Suspects)+len(r.Alive)+len(r.Crashes)+len(r.Up)+len(r.Survivals)+len(r.SharedTrials)+len(r.Asked)+len(r.Heard) == 0 {
		return nil
	}
	m := &suspectsMsg{Name: sender, Alive: encodeServerAges(r.Alive)}
	m.encodeShared(r)
	m.encodeEnds(r)
	for _, s := range r.Suspects {
		encoded := suspectMsg{
			Digest: uint64(s.Digest), Crashes: encodeServerAges(s.Crashes), Trials: s.Trials, TrialMS: s.TrialAge.Milliseconds(), Completions: s.Completions,
			CompletedAgain: s.CompletedAgain, TrialAgain: s.TrialAgain, RanBeforeAgain: s.RanBeforeAgain,
		}
		if s.Completed {
			ms := s.CompletedAge.Milliseconds()
			encoded.CompletedMS = &ms
		}
		if s.RanBefore {
			ms := s.RanBeforeAge.Milliseconds()
			encoded.RanBeforeMS = &ms
		}
		m.Suspects = append(m.Suspects, encoded)
	}
	return m
}

func encodeServerAges(ages []poison.ServerAge) []serverAgeMsg {
	var encoded []serverAgeMsg
	for _, a := range ages {
		encoded = append(encoded, serverAgeMsg{Server: uint64(a.Server), AgeMS: a.Age.Milliseconds()})
	}
	return encoded
}

// report decodes the message.
func (m *suspectsMsg) report() poison.Report {
	r := poison.Report{Alive: decodeServerAges(m.Alive)}
	m.decodeShared(&r)
	m.decodeEnds(&r)
	for _, s := range m.Suspects {
		decoded := poison.SuspectReport{
			Digest: poison.Digest(s.Digest), Crashes: decodeServerAges(s.Crashes), Trials: s.Trials, TrialAge: millis(s.TrialMS), Completions: s.Completions,
			CompletedAgain: s.CompletedAgain, TrialAgain: s.TrialAgain, RanBeforeAgain: s.RanBeforeAgain,
		}
		if s.CompletedMS != nil {
			decoded.Completed, decoded.CompletedAge = true, millis(*s.CompletedMS)
		}
		if s.RanBeforeMS != nil {
			decoded.RanBefore, decoded.RanBeforeAge = true, millis(*s.RanBeforeMS)
		}
		r.Suspects = append(r.Suspects, decoded)
	}
	return r
}

func decodeServerAges(ages []serverAgeMsg) []poison.ServerAge {
	var decoded []poison.ServerAge
	for _, a := range ages {
		decoded = append(decoded, poison.ServerAge{Server: poison.Server(a.Server), Age: millis(a.AgeMS)})
	}
	return decoded
}

// millis converts an age in a message, which an instance of another version may have sent.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxFeedbackMS)) * time.Millisecond
}

// handleSuspects merges what another instance tells of suspects. The caller holds mu.
func (g *Gateway) handleSuspects(now clock.Time, m *suspectsMsg) {
	if m != nil && m.Name != g.settings.Name {
		g.poison.Merge(now, m.Name, m.report())
		g.checkLifeSoon(now)
	}
}

// suspectMessages returns the messages that tell all instances of one request at once. The
// caller holds mu.
func (g *Gateway) suspectMessages(now clock.Time, digests []poison.Digest) []outgoing {
	report := poison.Report{Suspects: g.poison.ReportOf(now, digests), SharedTrials: g.poison.SharedTrials(now)}
	return g.broadcast(now, g.encode(packet{Suspects: encodeSuspects(g.settings.Name, report)}), g.members.All(now), false)
}

// serverHash identifies a backend server in messages about suspects.
func serverHash(id string) poison.Server { return poison.Server(xxhash.Sum64String(id)) }

// recordCrash records that the connection broke while a server ran the request.
func (x *exchange) recordCrash(t target) {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	var out []outgoing
	x.settleRun()
	if g.poison.RecordCrash(now, x.digests, serverHash(t.id)) {
		out = g.suspectMessages(now, x.digests)
	}
	if g.poison.RecordSharedCrash(now, x.run(), serverHash(t.id), g.lag.Since(now, x.sentAt)) {
		g.tellCrashesSoon()
		g.checkLifeSoon(now)
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// recordAnswer records that the server of the current attempt answers.
func (x *exchange) recordAnswer(t target) {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.g.poison.RecordAnswer(boottime.Now(), serverHash(t.id), x.sentAt) {
		x.g.tellCrashesSoon()
	}
}

// beginTrial refuses a request that crashed servers, unless it is due for a trial, which
// then begins.
func (x *exchange) beginTrial() *refusal {
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	d := x.suspicion(now)
	var out []outgoing
	if d.Trial {
		g.poison.BeginTrial(now, x.digests)
		g.poison.BeginSharedTrial(now, x.shared)
		out = g.suspectMessages(now, x.digests)
	}
	g.mu.Unlock()
	g.sendAll(out)
	switch {
	case d.Trial:
		g.metrics.crashTrials.Inc()
		g.log.Warn().Str("request", x.call.ID).Stringer("digest", x.digests[0]).Msg("front: refused request is tried once more")
	case d.Refused:
		return x.refuseSuspect(d)
	}
	return nil
}

// refuseSuspect refuses a request that would crash its server.
func (x *exchange) refuseSuspect(d poison.Decision) *refusal {
	x.blamed, x.blamedCrashes = d.Blamed, d.Crashes
	return unavailable(reasonCrashesServers, d.NextTrial)
}

// suspicion decides whether the request may be sent now. The caller holds mu.
func (x *exchange) suspicion(now clock.Time) poison.Decision {
	whole, shared := x.g.poison.Check(now, x.digests), x.g.poison.CheckShared(now, x.shared)
	return poison.Decision{
		Refused: whole.Refused || shared.Refused, NextTrial: max(whole.NextTrial, shared.NextTrial),
		Trial:  (whole.Trial || shared.Trial) && whole.Refused == whole.Trial && shared.Refused == shared.Trial,
		Blamed: shared.Blamed, Crashes: shared.Crashes,
	}
}
