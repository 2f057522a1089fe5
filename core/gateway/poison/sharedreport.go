package poison

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// maxReportedSurvivals bounds one report.
	maxReportedSurvivals = 100
	// maxRepeatedRuns bounds the runs that one report repeats, those of the newest crashes: each is some
	// 60 bytes of a datagram.
	maxRepeatedRuns = 256
	// maxVerdictCrashes is how many crashes of a verdict are repeated to the other instances:
	// enough for them to come to it, also if runs survived before.
	maxVerdictCrashes = soundThreshold + 1
)

// CrashReport is a crash of a server with requests that ran there.
type CrashReport struct {
	Server Server
	Age    time.Duration
	Runs   []RunReport
	Silent bool // no connection broke; Age is that of the last sign of life
}

// RunReport is a run that met a crash.
type RunReport struct {
	Digests []Digest
	Shared  []Digest
	SentAge time.Duration
}

// DigestAge says how long ago something happened to what requests share.
type DigestAge struct {
	Digest Digest
	Age    time.Duration
	Again  bool // in what the store keeps: its writer had read it there
}

// TrialReport is the last trial of something that is blamed.
type TrialReport struct {
	Digest Digest
	Trials int
	Age    time.Duration
	Again  bool // as in DigestAge
}

// UntoldCrashes returns the crashes with the runs of this instance that were not told yet.
func (d *Detector) UntoldCrashes(now clock.Time) Report {
	var r Report
	for _, c := range d.shared.crashes {
		reported := CrashReport{Server: c.server, Age: now.Sub(c.at), Silent: c.silent}
		for i := range c.runs {
			if run := &c.runs[i]; run.own && !run.told {
				run.told = true
				reported.Runs = append(reported.Runs, run.report(now))
			}
		}
		if len(reported.Runs) > 0 {
			r.Crashes = append(r.Crashes, reported)
		}
	}
	r.Up, r.Alive = d.shared.reportUp(now), d.reportAlive(now)
	return r
}

func (l *sharedCrashes) reportUp(now clock.Time) []ServerAge {
	var up []ServerAge
	for server, at := range l.ownUpAt {
		if now.Sub(at) <= reportPeriod {
			up = append(up, ServerAge{server, now.Sub(l.upAt[server])})
		}
	}
	slices.SortFunc(up, func(a, b ServerAge) int { return cmp.Compare(a.Server, b.Server) })
	return up
}

func (r crashRun) report(now clock.Time) RunReport {
	return RunReport{Digests: r.Digests, Shared: r.Shared, SentAge: now.Sub(r.SentAt)}
}

// reportShared adds what this instance observed lately and, if all is set, what the verdicts
// rest on.
func (d *Detector) reportShared(now clock.Time, r *Report, all bool) {
	l := d.shared
	room := maxRepeatedRuns
	for _, c := range slices.Backward(l.crashes) {
		if c.ownAt == 0 || now.Sub(c.ownAt) > reportPeriod || room == 0 {
			continue
		}
		reported := CrashReport{Server: c.server, Age: now.Sub(c.at), Silent: c.silent}
		for _, run := range c.runs {
			if run.own && room > 0 {
				reported.Runs = append(reported.Runs, run.report(now))
				room--
			}
		}
		r.Crashes = append(r.Crashes, reported)
	}
	r.Up = l.reportUp(now)
	survivals := make(map[Digest]bool)
	for digest, known := range l.implicated {
		if known.changedAt != 0 && now.Sub(known.changedAt) <= reportPeriod {
			survivals[digest] = true
		}
	}
	if all {
		l.reportVerdicts(d, now, r, survivals)
	}
	r.Survivals = l.reportSurvivals(now, survivals, false)
	r.SharedTrials = d.SharedTrials(now)
}

// SharedTrials returns the trials of what is blamed that this instance began.
func (d *Detector) SharedTrials(now clock.Time) []TrialReport {
	return d.shared.reportTrials(now, false)
}

// reportTrials returns the trials that this instance began or, to keep them in the store, all.
func (l *sharedCrashes) reportTrials(now clock.Time, keep bool) []TrialReport {
	var trials []TrialReport
	for digest, t := range l.trials {
		if at, again := t.begun.toTell(keep); at != 0 {
			trials = append(trials, TrialReport{Digest: digest, Trials: t.count, Age: now.Sub(at), Again: again})
		}
	}
	slices.SortFunc(trials, func(a, b TrialReport) int { return cmp.Compare(a.Digest, b.Digest) })
	return trials
}

// reportVerdicts adds the newest crashes of each verdict, each with one run that has all that is
// blamed, and the survivals of what these runs share.
func (l *sharedCrashes) reportVerdicts(d *Detector, now clock.Time, r *Report, survivals map[Digest]bool) {
	for _, v := range l.judge(d, now) {
		if v.request {
			continue
		}
		for _, c := range v.crashes[max(0, len(v.crashes)-maxVerdictCrashes):] {
			i := slices.IndexFunc(c.runs, func(r crashRun) bool { return r.hasAll(v.blamed) })
			r.Crashes = append(r.Crashes, CrashReport{Server: c.server, Age: now.Sub(c.at), Silent: c.silent, Runs: []RunReport{c.runs[i].report(now)}})
			for _, shared := range c.runs[i].Shared {
				survivals[shared] = survivals[shared] || l.implicated[shared].survived.at != 0
			}
		}
	}
}

// reportSurvivals returns the newest survivals that this instance observed or, to keep them in the
// store, of all.
func (l *sharedCrashes) reportSurvivals(now clock.Time, of map[Digest]bool, keep bool) []DigestAge {
	var ages []DigestAge
	for digest, known := range of {
		if !known {
			continue
		}
		if at, again := l.implicated[digest].survived.toTell(keep); at != 0 {
			ages = append(ages, DigestAge{Digest: digest, Age: now.Sub(at), Again: again})
		}
	}
	slices.SortFunc(ages, func(a, b DigestAge) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Digest, b.Digest)) })
	return ages[:min(len(ages), maxReportedSurvivals)]
}

// mergeShared adds what another instance reports, or the store keeps.
func (d *Detector) mergeShared(now clock.Time, r Report, stored bool) {
	l := d.shared
	for _, c := range r.Crashes {
		for _, run := range c.Runs {
			if len(run.Digests) == 0 || len(run.Shared) == 0 {
				continue // from a version that tells less
			}
			at := crash{c.Server, now.Add(-c.Age)}
			if d.addSharedRun(at, Run{Digests: run.Digests, Shared: run.Shared, SentAt: now.Add(-run.SentAge)}, false, c.Silent, 0) {
				d.recordPeerBreak(at.server, at.at)
				d.countGivenUp(now, at)
			}
		}
	}
	for _, up := range r.Up {
		l.recordUp(now, up.Server, now.Add(-up.Age), false)
	}
	for _, s := range r.Survivals {
		at, last := now.Add(-s.Age), l.survived.get(s.Digest)
		if last.merge(at, stored, s.Again) {
			l.survived.set(s.Digest, last)
		}
		if known := l.implicated[s.Digest]; known != nil && known.survived.merge(at, stored, s.Again) {
			l.outdated = true
		}
	}
	for _, t := range r.SharedTrials {
		known := l.trials[t.Digest]
		if t.Trials > 0 && known.begun.merge(now.Add(-t.Age), stored, t.Again) {
			known.count = max(known.count, t.Trials)
			l.trials[t.Digest] = known
		}
	}
}
