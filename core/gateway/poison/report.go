package poison

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// reportPeriod is how long an observation is repeated to the other instances.
	reportPeriod = 5 * time.Second
	// refusedReportInterval is the time between two reports of all refused requests, with
	// what other instances observed, for instances that have just started or were cut off.
	refusedReportInterval = 2 * time.Second
	// maxReportedSuspects bounds one report to a few kilobytes.
	maxReportedSuspects = 100
)

// Report is what an instance tells the others. Ages are counted back from its receipt.
type Report struct {
	Suspects []SuspectReport
	Alive    []ServerAge // when a request was sent that a server answered right after a break
	// Crashes, Survivals and SharedTrials are about what requests have in common. Up is when a
	// request was sent that a server answered after it had crashed.
	Crashes      []CrashReport
	Up           []ServerAge
	Survivals    []DigestAge
	SharedTrials []TrialReport
	// Asked are the servers that are silent at the reporting instance. Heard is when it last heard of
	// those that others ask for.
	Asked []Start
	Heard []StartAge
}

// ServerAge names a server and how long ago something happened there.
type ServerAge struct {
	Server Server
	Age    time.Duration
}

// SuspectReport is what an instance knows of one suspect.
type SuspectReport struct {
	Digest       Digest
	Crashes      []ServerAge
	Completed    bool // a run completed at some instance, CompletedAge ago
	CompletedAge time.Duration
	Completions  int // at the reporting instance, since the first of the crashes
	Trials       int // the last one began TrialAge ago
	TrialAge     time.Duration
	// RanBefore: a run completed before the crashes, RanBeforeAge ago.
	RanBefore    bool
	RanBeforeAge time.Duration
	// CompletedAgain, TrialAgain and RanBeforeAgain are set in what the store keeps if its writer had read it there.
	CompletedAgain, TrialAgain, RanBeforeAgain bool
}

// Report returns what this instance observed lately and, from time to time, all refused
// requests. The observations of others are not repeated otherwise: each message would
// carry those of all instances.
func (d *Detector) Report(now clock.Time) Report {
	d.expire(now)
	d.sampleOpenRuns(now)
	all := now.Sub(d.reported) >= refusedReportInterval
	if all {
		d.reported = now
	}
	var digests []Digest
	for digest, s := range d.suspects {
		own := s.changedAt != 0 && now.Sub(s.changedAt) <= reportPeriod
		if own || all && s.refused(now) {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		x, y := d.suspects[a], d.suspects[b]
		return cmp.Or(cmp.Compare(len(y.recent()), len(x.recent())), cmp.Compare(y.changedAt, x.changedAt), cmp.Compare(a, b))
	})
	var r Report
	for _, digest := range digests[:min(len(digests), maxReportedSuspects)] {
		r.Suspects = append(r.Suspects, d.reportOf(now, digest, false))
	}
	r.Alive = d.reportAlive(now)
	d.reportShared(now, &r, all)
	d.reportEnds(now, &r)
	return r
}

// ReportAllNext makes the next report include all refused requests: an instance has started.
func (d *Detector) ReportAllNext() { d.reported = 0 }

// reportAlive returns the servers that survived breaks, as this instance observed lately.
func (d *Detector) reportAlive(now clock.Time) []ServerAge {
	var alive []ServerAge
	for server, at := range d.aliveAt {
		if now.Sub(at) <= reportPeriod {
			alive = append(alive, ServerAge{server, now.Sub(d.ownAlive[server])})
		}
	}
	slices.SortFunc(alive, func(a, b ServerAge) int { return cmp.Compare(a.Server, b.Server) })
	return alive
}

// ReportOf returns what is known of one request.
func (d *Detector) ReportOf(now clock.Time, digests []Digest) []SuspectReport {
	var reports []SuspectReport
	for _, digest := range digests {
		reports = append(reports, d.reportOf(now, digest, false))
	}
	return reports
}

// reportOf returns the crashes of a suspect, and what this instance observed of it or, to keep it in
// the store, all that is known.
func (d *Detector) reportOf(now clock.Time, digest Digest, keep bool) SuspectReport {
	r := SuspectReport{Digest: digest}
	s, ok := d.suspects[digest]
	if !ok {
		return r
	}
	r.Completions = s.completions
	for _, c := range s.episode() {
		r.Crashes = append(r.Crashes, ServerAge{c.server, now.Sub(c.at)})
	}
	if at, again := s.completed.toTell(keep); at != 0 {
		r.Completed, r.CompletedAge, r.CompletedAgain = true, now.Sub(at), again
	}
	if at, again := s.trial.toTell(keep); at != 0 {
		r.Trials, r.TrialAge, r.TrialAgain = s.trials, now.Sub(at), again
	}
	if at, again := s.completedBefore.toTell(keep); at != 0 {
		r.RanBefore, r.RanBeforeAge, r.RanBeforeAgain = true, now.Sub(at), again
	}
	return r
}

// Merge adds what another instance reports.
func (d *Detector) Merge(now clock.Time, peer string, r Report) {
	for _, a := range r.Alive {
		d.markAlive(a.Server, now.Add(-a.Age))
	}
	for _, reported := range r.Suspects {
		d.mergeSuspect(now, peer, reported)
	}
	d.mergeShared(now, r, peer == fromStore)
	d.mergeEnds(now, r)
}

func (d *Detector) mergeSuspect(now clock.Time, peer string, r SuspectReport) {
	s := d.getOrCreate(now, r.Digest)
	for _, c := range r.Crashes {
		if at := now.Add(-c.Age); d.addCrash(s, crash{c.Server, at}) {
			d.recordPeerBreak(c.Server, at)
			d.countGivenUp(now, crash{c.Server, at})
		}
	}
	switch {
	case peer == fromStore:
		s.keptCompletions = max(s.keptCompletions, r.Completions)
	case r.Completions > 0:
		if s.peerCompletions == nil {
			s.peerCompletions = make(map[string]int)
		}
		s.peerCompletions[peer] = r.Completions
	}
	stored := peer == fromStore
	if at := now.Add(-r.RanBeforeAge); r.RanBefore && len(s.crashes) > 0 && at <= s.crashes[0].at {
		s.completedBefore.merge(at, stored, r.RanBeforeAgain)
	}
	if r.Completed {
		s.completed.merge(now.Add(-r.CompletedAge), stored, r.CompletedAgain)
	}
	s.endTrials(now)
	if r.Trials > 0 && s.refused(now) && s.trial.merge(now.Add(-r.TrialAge), stored, r.TrialAgain) {
		if r.Trials > s.trials {
			d.changes.Urgent++
		}
		s.trials = max(s.trials, r.Trials)
	}
}

// expire drops what no longer matters.
func (d *Detector) expire(now clock.Time) {
	d.shared.expire(d, now)
	d.ends.expire(now)
	for digest, s := range d.suspects {
		if s.expired(now) {
			delete(d.suspects, digest)
		}
	}
	for server, at := range d.breaks {
		if now.Sub(at) > crashWindow {
			delete(d.breaks, server)
			delete(d.ownBreaks, server)
			delete(d.peerBreaks, server)
		}
	}
	for server, at := range d.alive {
		if now.Sub(at) > crashWindow {
			delete(d.alive, server)
			delete(d.ownAlive, server)
			delete(d.aliveAt, server)
		}
	}
}

func (s *suspect) sortCrashes() {
	slices.SortFunc(s.crashes, func(a, b crash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
}
