package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// probeAnswerTimeout is how long the instance that decides on probes is given to answer,
	// and probeAskers how many are asked in turn. If none answers, this one is cut off and decides itself.
	probeAnswerTimeout = 60 * time.Millisecond
	probeAskers        = 3
	// probeRetryInterval is how often a copy that waits asks again, and maxProbeWait how long it
	// waits: some time later its caller may have been served elsewhere.
	probeRetryInterval = 50 * time.Millisecond
	maxProbeWait       = time.Second
	// waitedTogether is how long a request has waited that others may have waited with, and
	// maxDoubtWait how long it then waits for a copy of which nothing is known.
	waitedTogether = 100 * time.Millisecond
	maxDoubtWait   = maxProbeWait - 4*probeRetryInterval
)

// probeMsg asks whether a copy of a request on probation may run, reports the end of one, or
// answers.
type probeMsg struct {
	From    string             `cbor:"1,keyasint,omitempty"`
	Address string             `cbor:"2,keyasint,omitempty"`
	Zone    string             `cbor:"3,keyasint,omitempty"`
	Number  uint64             `cbor:"4,keyasint,omitempty"` // of the question
	Digest  uint64             `cbor:"5,keyasint,omitempty"`
	AgeMS   int64              `cbor:"6,keyasint,omitempty"` // a run that completed since then speaks for the copy
	Ended   bool               `cbor:"7,keyasint,omitempty"` // reports an end
	Done    bool               `cbor:"8,keyasint,omitempty"` // with Ended: the copy completed
	Reply   bool               `cbor:"9,keyasint,omitempty"` // answers
	Answer  poison.ProbeAnswer `cbor:"10,keyasint,omitempty"`
}

// grantedProbe is the probe that the current attempt of an exchange was granted.
type grantedProbe struct {
	held         bool
	digest       poison.Digest
	by           string     // the instance that decided
	waitingSince clock.Time // 0: not since the last one
}

// awaitProbe waits before the request asks again for a probe, which it may have right before it is
// sent only: all copies that were granted one while they waited for a server would go to it
// together. A request that waits for too long is refused; it has not run.
func (x *exchange) awaitProbe() *refusal {
	now := boottime.Now()
	if x.probe.waitingSince == 0 {
		x.probe.waitingSince = now
	}
	if now.Sub(x.probe.waitingSince) >= maxProbeWait || now.Reached(x.deadline.Add(-refusalLead)) {
		return unavailable(reasonCrashesServers, spreadRetry(maxProbeWait))
	}
	select {
	case <-time.After(probeRetryInterval):
		return nil
	case <-x.r.Context().Done():
		return x.contextRefusal()
	case <-x.stopSignal():
		return unavailable(reasonStopping, retryDelay)
	}
}

// probeSubject is of what only one copy may run at a time.
type probeSubject struct {
	digest poison.Digest
	since  clock.Time // a run that completed since then speaks for all copies
}

// probeSubject returns of what only one copy may run now: of a request on probation, or of all that have
// what is blamed for crashes, while a trial of it is due. Where nobody can know of crashes, that holds
// also for copies of a request that waited, for a server, a model or the store, until all go on at
// once. The caller holds mu.
func (x *exchange) probeSubject(now clock.Time) (s probeSubject, ok bool) {
	g := x.g
	if since, ok := g.poison.Probation(now, x.digests); ok {
		return probeSubject{digest: x.digests[0], since: since}, true
	}
	if d := g.poison.CheckShared(now, x.shared); d.Trial {
		return probeSubject{digest: slices.Min(d.Blamed), since: now}, true
	}
	waited := x.probe.waitingSince != 0 && now.Sub(x.probe.waitingSince) >= maxDoubtWait
	doubtful := g.crashRecords.inDoubt(now, g.started) && now.Sub(x.arrived) >= waitedTogether && !waited
	return probeSubject{digest: x.digests[0], since: g.started}, doubtful
}

// mayProbe reports whether the request may run now. It asks the instance that decides on its probes
// if only one copy of it may.
func (x *exchange) mayProbe() bool {
	g := x.g
	for tried := 0; ; tried++ {
		g.mu.Lock()
		now := boottime.Now()
		subject, ok := x.probeSubject(now)
		if !ok || x.probe.held {
			g.mu.Unlock()
			return true
		}
		decider := g.probeDecider(now, subject.digest, tried)
		if decider == g.settings.Name || tried >= probeAskers {
			answer := g.probes.Ask(now, subject.digest, subject.since)
			g.mu.Unlock()
			return x.probeAnswered(g.settings.Name, subject.digest, answer)
		}
		number, answered, out := g.askProbe(now, decider, subject)
		g.mu.Unlock()
		g.sendAll(out)
		answer, ok := g.awaitProbeAnswer(x.r.Context(), number, answered)
		if ok || x.r.Context().Err() != nil {
			return x.probeAnswered(decider, subject.digest, answer)
		}
	}
}

func (x *exchange) probeAnswered(by string, d poison.Digest, a poison.ProbeAnswer) bool {
	if a == poison.ProbeGranted {
		x.probe = grantedProbe{held: true, digest: d, by: by}
	}
	return a != poison.ProbeDenied
}

// endProbe reports the end of the attempt of a copy on probation.
func (x *exchange) endProbe(completed bool) {
	if !x.probe.held {
		return
	}
	g, by, digest := x.g, x.probe.by, x.probe.digest
	x.probe = grantedProbe{}
	g.mu.Lock()
	var out []outgoing
	if m := g.members.Get(by); by == g.settings.Name {
		g.probes.End(boottime.Now(), digest, completed)
	} else if m != nil {
		message := g.encode(packet{Probe: &probeMsg{From: g.settings.Name, Digest: uint64(digest), Ended: true, Done: completed}})
		out = []outgoing{{message: message, recipients: []recipient{g.recipient(m)}}}
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// probeDecider returns the instance that decides on the probes of a request: the first one, in
// rendezvous order, after as many that did not answer. The caller holds mu.
func (g *Gateway) probeDecider(now clock.Time, d poison.Digest, silent int) string {
	candidates := []id.Instance{id.Instance(g.settings.Name)}
	for _, m := range g.members.All(now) {
		if m.Live(now) && !m.Leaving {
			candidates = append(candidates, id.Instance(m.Name))
		}
	}
	key := strconv.FormatUint(uint64(d), 16)
	for range silent {
		if len(candidates) == 1 {
			break
		}
		first := rendezvous.Owner(key, candidates)
		candidates = slices.DeleteFunc(candidates, func(i id.Instance) bool { return i == first })
	}
	return string(rendezvous.Owner(key, candidates))
}

// askProbe returns the message that asks an instance, and where its answer arrives. The caller holds mu.
func (g *Gateway) askProbe(now clock.Time, decider string, s probeSubject) (uint64, chan poison.ProbeAnswer, []outgoing) {
	g.probeNumber++
	answered := make(chan poison.ProbeAnswer, 1)
	g.probeWaits[g.probeNumber] = answered
	m := &probeMsg{
		From: g.settings.Name, Address: g.settings.PeerAddress, Zone: g.settings.Zone, Number: g.probeNumber,
		Digest: uint64(s.digest), AgeMS: now.Sub(s.since).Milliseconds(),
	}
	return g.probeNumber, answered, []outgoing{{message: g.encode(packet{Probe: m}), recipients: []recipient{g.recipient(g.members.Get(decider))}}}
}

func (g *Gateway) awaitProbeAnswer(ctx context.Context, number uint64, answered chan poison.ProbeAnswer) (a poison.ProbeAnswer, ok bool) {
	end := time.NewTimer(probeAnswerTimeout)
	defer end.Stop()
	select {
	case a = <-answered:
		ok = true
	case <-end.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	delete(g.probeWaits, number)
	g.mu.Unlock()
	return a, ok
}

// handleProbe handles a message about probes. The caller holds mu.
func (g *Gateway) handleProbe(now clock.Time, m *probeMsg) []outgoing {
	switch {
	case m.Reply:
		if w := g.probeWaits[m.Number]; w != nil {
			delete(g.probeWaits, m.Number)
			w <- m.Answer
		}
		return nil
	case m.Ended:
		g.probes.End(now, poison.Digest(m.Digest), m.Done)
		return nil
	}
	answer := g.probes.Ask(now, poison.Digest(m.Digest), now.Add(-millis(m.AgeMS)))
	reply := g.encode(packet{Probe: &probeMsg{From: g.settings.Name, Number: m.Number, Reply: true, Answer: answer}})
	return []outgoing{{message: reply, recipients: []recipient{{address: m.Address, otherZone: m.Zone != g.settings.Zone}}}}
}
