package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// survivalTime is how long a server writes on a response until it counts as having survived it.
	survivalTime = 500 * time.Millisecond
	// crashTellDelay gathers the runs that one crash breaks.
	crashTellDelay = 5 * time.Millisecond
	// lifeCheckDelay is how long after the word of a crash an instance says whether the server
	// goes on sending.
	lifeCheckDelay = 120 * time.Millisecond
	// maxLifeAge is how long ago something may have been read at most that is told as a sign of life.
	maxLifeAge = 500 * time.Millisecond
	// catchUpTime is how long an instance that stood still may read what arrived meanwhile.
	catchUpTime = 100 * time.Millisecond
)

// crashMsg tells of the crash of a server and of requests that ran there.
type crashMsg struct {
	Server uint64   `cbor:"1,keyasint"`
	AgeMS  int64    `cbor:"2,keyasint"`
	Runs   []runMsg `cbor:"3,keyasint,omitempty"`
	Silent bool     `cbor:"4,keyasint,omitempty"` // the server ended silently
}

// runMsg is a run that met a crash.
type runMsg struct {
	Digests []uint64 `cbor:"1,keyasint"`           // of the request
	Shared  []uint64 `cbor:"2,keyasint,omitempty"` // of what it has in common with others
	SentMS  int64    `cbor:"3,keyasint"`           // since it was sent
}

// digestAgeMsg says how long ago a server survived a run.
type digestAgeMsg struct {
	Digest uint64 `cbor:"1,keyasint"`
	AgeMS  int64  `cbor:"2,keyasint"`
	Again  bool   `cbor:"3,keyasint,omitempty"` // in the store: the sender had read it there
}

// sharedTrialMsg tells of the last trial of something that is blamed.
type sharedTrialMsg struct {
	Digest uint64 `cbor:"1,keyasint"`
	Trials int    `cbor:"2,keyasint"`
	AgeMS  int64  `cbor:"3,keyasint"`
	Again  bool   `cbor:"4,keyasint,omitempty"` // as in digestAgeMsg
}

func (m *suspectsMsg) encodeShared(r poison.Report) {
	for _, c := range r.Crashes {
		encoded := crashMsg{Server: uint64(c.Server), AgeMS: c.Age.Milliseconds(), Silent: c.Silent}
		for _, run := range c.Runs {
			encoded.Runs = append(encoded.Runs, runMsg{Digests: numbers(run.Digests), Shared: numbers(run.Shared), SentMS: run.SentAge.Milliseconds()})
		}
		m.Crashes = append(m.Crashes, encoded)
	}
	m.Up = encodeServerAges(r.Up)
	for _, s := range r.Survivals {
		m.Survivals = append(m.Survivals, digestAgeMsg{uint64(s.Digest), s.Age.Milliseconds(), s.Again})
	}
	for _, t := range r.SharedTrials {
		m.Trials = append(m.Trials, sharedTrialMsg{uint64(t.Digest), t.Trials, t.Age.Milliseconds(), t.Again})
	}
}

func (m *suspectsMsg) decodeShared(r *poison.Report) {
	for _, c := range m.Crashes {
		decoded := poison.CrashReport{Server: poison.Server(c.Server), Age: millis(c.AgeMS), Silent: c.Silent}
		for _, run := range c.Runs {
			decoded.Runs = append(decoded.Runs, poison.RunReport{Digests: digestsOf(run.Digests), Shared: digestsOf(run.Shared), SentAge: millis(run.SentMS)})
		}
		r.Crashes = append(r.Crashes, decoded)
	}
	r.Up = decodeServerAges(m.Up)
	for _, s := range m.Survivals {
		r.Survivals = append(r.Survivals, poison.DigestAge{Digest: poison.Digest(s.Digest), Age: millis(s.AgeMS), Again: s.Again})
	}
	for _, t := range m.Trials {
		r.SharedTrials = append(r.SharedTrials, poison.TrialReport{Digest: poison.Digest(t.Digest), Trials: t.Trials, Age: millis(t.AgeMS), Again: t.Again})
	}
}

func numbers(digests []poison.Digest) []uint64 {
	n := make([]uint64, len(digests))
	for i, d := range digests {
		n[i] = uint64(d)
	}
	return n
}

func digestsOf(numbers []uint64) []poison.Digest {
	d := make([]poison.Digest, len(numbers))
	for i, n := range numbers {
		d[i] = poison.Digest(n)
	}
	return d
}

// sharedThing is something that requests have in common.
type sharedThing struct {
	kind, name string
	broad      bool // many requests share it
}

func (s sharedThing) digest() poison.Digest {
	hash := xxhash.Sum64String(s.kind + "\n" + s.name)
	if s.broad {
		return poison.Broad(hash)
	}
	return poison.Narrow(hash)
}

// sharedThings returns what the request may have in common with others that crashes servers: the
// parts of its prompt, its model and its adapter.
func (x *exchange) sharedThings() []sharedThing {
	if x.call.Model == "" {
		return nil
	}
	var things []sharedThing
	for _, p := range x.sharedParts() {
		things = append(things, sharedThing{kind: "part", name: p.ID})
	}
	things = append(things, sharedThing{kind: "model", name: x.call.Model, broad: true})
	if x.call.Adapter != "" {
		things = append(things, sharedThing{kind: "adapter", name: x.call.Model + "/" + x.call.Adapter, broad: true})
	}
	return things
}

func (x *exchange) sharedDigests() []poison.Digest {
	var digests []poison.Digest
	for _, s := range x.sharedThings() {
		digests = append(digests, s.digest())
	}
	return digests
}

// logBlamed adds what the request is refused for.
func (x *exchange) logBlamed(e *zerolog.Event) *zerolog.Event {
	if len(x.blamed) == 0 {
		return e
	}
	var names []string
	for _, s := range x.sharedThings() {
		if slices.Contains(x.blamed, s.digest()) {
			names = append(names, s.kind+" "+s.name)
		}
	}
	return e.Strs("blamed", names).Int("crashes", x.blamedCrashes)
}

// run returns the current attempt.
func (x *exchange) run() poison.Run {
	return poison.Run{Digests: x.digests, Shared: x.shared, SentAt: x.sentAt}
}

// tellCrashesSoon tells the other instances of crashes that they have not heard of. The caller
// holds mu.
func (g *Gateway) tellCrashesSoon() {
	if g.tellingCrashes {
		return
	}
	g.tellingCrashes = true
	time.AfterFunc(crashTellDelay, g.tellCrashes)
}

func (g *Gateway) tellCrashes() {
	g.mu.Lock()
	now := boottime.Now()
	g.tellingCrashes = false
	var out []outgoing
	if m := encodeSuspects(g.settings.Name, g.poison.UntoldCrashes(now)); m != nil {
		out = g.broadcast(now, g.encode(packet{Suspects: m}), g.members.All(now), false)
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// checkLifeSoon checks whether servers go on sending that are said to have crashed. The caller
// holds mu.
func (g *Gateway) checkLifeSoon(now clock.Time) {
	if g.checkingLife || !g.poison.Doubtful(now) {
		return
	}
	g.checkingLife = true
	time.AfterFunc(lifeCheckDelay, g.checkLife)
}

func (g *Gateway) checkLife() {
	heard := g.links.lastHeard(boottime.Now())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkingLife = false
	now := boottime.Now()
	for start, at := range heard {
		if now.Sub(at) > maxLifeAge {
			continue
		}
		server := start.server
		late := g.lag.Since(now, at.Add(-catchUpTime))
		if g.poison.RecordLife(now, serverHash(server), at, late) {
			g.log.Warn().Str("server", server).Int64("heard_ms", now.Sub(at).Milliseconds()).Int64("lag_ms", late.Milliseconds()).Msg("crashes: the server goes on sending, so it did not crash")
			g.tellCrashesSoon()
		}
	}
	g.checkLifeSoon(now)
}

// recordSurvival records once an attempt that the server has written on the response for long.
func (x *exchange) recordSurvival() {
	now := boottime.Now()
	switch {
	case len(x.shared) == 0 || x.survived:
		return
	case x.writingSince == 0:
		x.writingSince = now
		return
	case now.Sub(x.writingSince) < survivalTime:
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if now.Sub(x.writingSince)-x.g.lag.Since(now, x.writingSince) < survivalTime {
		return // what was read late may have been sent at once
	}
	x.survived = true
	x.g.poison.RecordSurvival(now, x.shared)
}
