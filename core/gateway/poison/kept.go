package poison

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// What instances know of crashes is kept in the platform's store, since all of them may end at
// once. One of each zone writes what all have told it; each instance reads it when it starts.

const (
	// maxKeptSuspects and maxKeptRuns bound what is kept to some 30 KB.
	maxKeptSuspects = 200
	maxKeptRuns     = 120
	// fromStore is the reporter of what is read from the store.
	fromStore = ""
)

// Changes counts the changes of what is kept, since the start.
type Changes struct {
	Urgent uint64 // crashes, trials, and the end of refusals
	Minor  uint64 // completed runs of suspects
}

// Changes returns how often what Kept returns has changed.
func (d *Detector) Changes() Changes { return d.changes }

// Kept returns all that this instance knows, of all instances: at most limit suspects and runs that
// met crashes, the most suspicious and the newest. A limit of 0 is the greatest.
func (d *Detector) Kept(now clock.Time, limit int) Report {
	d.expire(now)
	suspects, runs := maxKeptSuspects, maxKeptRuns
	if limit > 0 {
		suspects, runs = min(limit, suspects), min(limit, runs)
	}
	var r Report
	for _, digest := range d.mostSuspicious(now, suspects) {
		report := d.reportOf(now, digest, true)
		report.Completions = d.suspects[digest].allCompletions()
		r.Suspects = append(r.Suspects, report)
	}
	d.keptShared(now, &r, runs)
	return r
}

// mostSuspicious returns the digests of the suspects with the most crashes, the newest first.
func (d *Detector) mostSuspicious(now clock.Time, n int) []Digest {
	var digests []Digest
	for digest, s := range d.suspects {
		if len(s.episode()) > 0 {
			digests = append(digests, digest)
		}
	}
	slices.SortFunc(digests, func(a, b Digest) int {
		x, y := d.suspects[a], d.suspects[b]
		if x.refused(now) != y.refused(now) {
			if x.refused(now) {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(y.episode()), len(x.episode())), cmp.Compare(y.lastCrash(), x.lastCrash()), cmp.Compare(a, b))
	})
	return digests[:min(n, len(digests))]
}

// keptShared adds what requests shared that met crashes: what the verdicts rest on, and then the
// runs of the newest crashes.
func (d *Detector) keptShared(now clock.Time, r *Report, maxRuns int) {
	l := d.shared
	survivals := make(map[Digest]bool)
	l.reportVerdicts(d, now, r, survivals)
	for _, c := range slices.Backward(l.crashes) {
		if l.explained(c) {
			continue
		}
		reported := CrashReport{Server: c.server, Age: now.Sub(c.at), Silent: c.silent}
		for _, run := range c.runs[:min(maxRuns, len(c.runs))] {
			reported.Runs = append(reported.Runs, run.report(now))
			for _, shared := range run.Shared {
				known := l.implicated[shared]
				survivals[shared] = known != nil && known.survived.at != 0
			}
		}
		maxRuns -= len(reported.Runs)
		if len(reported.Runs) > 0 {
			r.Crashes = append(r.Crashes, reported)
		}
	}
	slices.SortStableFunc(r.Crashes, func(a, b CrashReport) int { return cmp.Compare(b.Age, a.Age) })
	r.Survivals, r.SharedTrials = l.reportSurvivals(now, survivals, true), l.reportTrials(now, true)
	for server, at := range l.upAt {
		r.Up = append(r.Up, ServerAge{server, now.Sub(at)})
	}
	slices.SortFunc(r.Up, func(a, b ServerAge) int { return cmp.Compare(a.Server, b.Server) })
}

// Refused returns how many requests are refused, for the metrics. One with a query has two digests.
func (d *Detector) Refused(now clock.Time) int {
	n := 0
	for _, s := range d.suspects {
		if s.refused(now) {
			n++
		}
	}
	return n
}

// MergeKept adds what an instance wrote to the store.
func (d *Detector) MergeKept(now clock.Time, r Report) { d.Merge(now, fromStore, r) }

// Aged returns the report as it is read some time after it was made.
func (r Report) Aged(by time.Duration) Report {
	var aged Report
	for _, s := range r.Suspects {
		s.Crashes = agedServers(s.Crashes, by)
		s.CompletedAge, s.TrialAge, s.RanBeforeAge = s.CompletedAge+by, s.TrialAge+by, s.RanBeforeAge+by
		aged.Suspects = append(aged.Suspects, s)
	}
	for _, c := range r.Crashes {
		runs := slices.Clone(c.Runs)
		for i := range runs {
			runs[i].SentAge += by
		}
		aged.Crashes = append(aged.Crashes, CrashReport{Server: c.Server, Age: c.Age + by, Silent: c.Silent, Runs: runs})
	}
	for _, s := range r.Survivals {
		s.Age += by
		aged.Survivals = append(aged.Survivals, s)
	}
	for _, t := range r.SharedTrials {
		t.Age += by
		aged.SharedTrials = append(aged.SharedTrials, t)
	}
	aged.Alive, aged.Up = agedServers(r.Alive, by), agedServers(r.Up, by)
	return aged
}

func agedServers(ages []ServerAge, by time.Duration) []ServerAge {
	var aged []ServerAge
	for _, a := range ages {
		aged = append(aged, ServerAge{a.Server, a.Age + by})
	}
	return aged
}
