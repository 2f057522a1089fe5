package poison

import (
	"cmp"
	"slices"

	"oleanderdale.org/core/clock"
)

// maxVerdicts bounds what is blamed at a time.
const maxVerdicts = 16

// verdict blames what stands in all of its crashes.
type verdict struct {
	blamed  []Digest
	crashes []*sharedCrash // explained by it
	request bool           // blames a single request, which the digests of requests are for
	sound   bool           // all of it is broad, or runs survived it right before the crashes
	others  []Digest       // that may be guilty instead
}

type sharedTrial struct {
	count int
	begun lastSeen
}

// CheckShared decides whether a request may be sent now, by what it shares with others.
func (d *Detector) CheckShared(now clock.Time, shared []Digest) Decision {
	var decision Decision
	next := clock.Time(0)
	run := Run{Shared: shared}
	for _, v := range d.shared.judge(d, now) {
		if v.request || !run.hasAll(v.blamed) {
			continue
		}
		decision.Refused, decision.Blamed, decision.Crashes = true, v.blamed, len(v.crashes)
		next = max(next, d.shared.nextTrial(v, run))
	}
	decision.Trial, decision.NextTrial = decision.Refused && now.Reached(next), max(0, next.Sub(now))
	return decision
}

// BeginSharedTrial records that this instance sends a request as a trial that is refused for what
// it shares. The other instances must be told at once.
func (d *Detector) BeginSharedTrial(now clock.Time, shared []Digest) {
	l := d.shared
	run := Run{Shared: shared}
	for _, v := range l.judge(d, now) {
		if v.request || !run.hasAll(v.blamed) {
			continue
		}
		for _, blamed := range v.blamed {
			t := l.trials[blamed]
			t.count++
			t.begun.observe(now)
			l.trials[blamed] = t
			d.changes.Urgent++
		}
	}
}

// nextTrial returns when a request with all that a verdict blames may be sent again. One without
// the others that may be guilty tells them apart.
func (l *sharedCrashes) nextTrial(v verdict, run Run) clock.Time {
	last, trials := v.crashes[len(v.crashes)-1].at, 0
	for _, blamed := range v.blamed {
		if t, ok := l.trials[blamed]; ok && t.begun.at > v.crashes[0].at {
			last, trials = max(last, t.begun.at), max(trials, t.count)
		}
	}
	trials = max(trials, v.lateCrashes())
	delay := trialDelay
	if v.sound || len(v.others) > 0 && !slices.ContainsFunc(v.others, run.has) {
		delay = sharedSoundTrialDelay
	}
	for range trials {
		delay = min(trialFactor*delay, maxTrialDelay)
	}
	return last.Add(delay)
}

// lateCrashes returns the number of crashes after requests were refused at all instances.
func (v verdict) lateCrashes() int {
	late := 0
	for i, c := range v.crashes {
		if i >= soundThreshold && c.at.Sub(v.crashes[soundThreshold-1].at) > refusalTold {
			late++
		}
	}
	return late
}

// Blamed returns how many things that requests share are blamed for crashes, for the metrics.
func (d *Detector) Blamed(now clock.Time) int {
	n := 0
	for _, v := range d.shared.judge(d, now) {
		if !v.request {
			n++
		}
	}
	return n
}

// judge returns the verdicts on all crashes that are confirmed.
func (l *sharedCrashes) judge(d *Detector, now clock.Time) []verdict {
	if !l.outdated && (l.confirmedAt == 0 || now.Before(l.confirmedAt)) {
		return l.verdicts
	}
	l.outdated, l.verdicts, l.confirmedAt = false, nil, 0
	var open []*sharedCrash
	for _, c := range l.crashes {
		if due := c.at.Add(crashConfirmation); now.Reached(due) {
			open = append(open, c)
		} else if l.confirmedAt == 0 || due < l.confirmedAt {
			l.confirmedAt = due
		}
	}
	for len(l.verdicts) < maxVerdicts {
		suspects := l.suspects(d, open)
		if len(suspects) == 0 {
			break
		}
		v := l.blame(d, suspects[0].digest, open)
		v.others = l.others(v, suspects)
		l.verdicts = append(l.verdicts, v)
		open = slices.DeleteFunc(open, func(c *sharedCrash) bool { return slices.Contains(v.crashes, c) })
	}
	return l.verdicts
}

// evidence is what speaks against a suspect.
type evidence struct {
	digest  Digest
	crashes int // each under a run that was sent after the one before, or all of what is rare
	all     int
	margin  int // of crashes above the threshold
	last    clock.Time
}

// suspects returns what may have caused some of the crashes, the strongest first.
func (l *sharedCrashes) suspects(d *Detector, crashes []*sharedCrash) []evidence {
	found := make(map[Digest]evidence)
	for _, c := range crashes {
		sent := make(map[Digest]clock.Time) // when the last run with it was sent
		for _, r := range c.runs {
			for _, digest := range r.Digests {
				sent[digest] = max(sent[digest], r.SentAt)
			}
			for _, digest := range r.Shared {
				sent[digest] = max(sent[digest], r.SentAt)
			}
		}
		for digest, sentAt := range sent {
			e := found[digest]
			if c.at <= l.lastSurvival(d, digest) {
				continue
			}
			e.digest = digest
			e.all++
			if e.crashes == 0 || sentAt > e.last {
				e.crashes, e.last = e.crashes+1, c.at
			}
			found[digest] = e
		}
	}
	var suspects []evidence
	rarity := l.rarity(crashes)
	for digest, e := range found {
		if l.mayBeRare(digest) && e.all > e.crashes && e.all >= l.threshold(d, digest) && rarity.explains(digest, l.crashesAfter(crashes, l.lastSurvival(d, digest))) {
			e.crashes = e.all
		}
		if e.margin = e.crashes - l.threshold(d, digest); e.margin >= 0 {
			suspects = append(suspects, e)
		}
	}
	slices.SortFunc(suspects, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(b.margin, a.margin), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.digest, b.digest))
	})
	return suspects
}

// mayBeRare reports whether a digest is of something shared that is not broad.
func (l *sharedCrashes) mayBeRare(digest Digest) bool {
	return l.implicated[digest] != nil && !digest.broad()
}

// crashesAfter returns the crashes after a time, of crashes that are ascending by time.
func (l *sharedCrashes) crashesAfter(crashes []*sharedCrash, from clock.Time) []*sharedCrash {
	i := slices.IndexFunc(crashes, func(c *sharedCrash) bool { return c.at > from })
	if i < 0 {
		return nil
	}
	return crashes[i:]
}

// others returns what requests share that the evidence speaks against about as much as against
// the first of the suspects, which a verdict blames.
func (l *sharedCrashes) others(v verdict, suspects []evidence) []Digest {
	var others []Digest
	for _, e := range suspects {
		_, shared := l.implicated[e.digest]
		if shared && e.crashes >= suspects[0].crashes-1 && !slices.Contains(v.blamed, e.digest) {
			others = append(others, e.digest)
		}
	}
	return others
}

func (l *sharedCrashes) threshold(d *Detector, digest Digest) int {
	_, shared := l.implicated[digest]
	if shared && (digest.broad() || l.lastSurvival(d, digest) != 0) {
		return soundThreshold
	}
	return poisonThreshold
}

func (l *sharedCrashes) lastSurvival(d *Detector, digest Digest) clock.Time {
	if known := l.implicated[digest]; known != nil {
		return known.survived.at
	}
	return d.completed.get(digest).at // of a request
}

// blame returns the verdict on a suspect and all that can't be told apart from it.
func (l *sharedCrashes) blame(d *Detector, suspect Digest, open []*sharedCrash) verdict {
	var blamed []Digest
	var first clock.Time
	for _, c := range open {
		union := c.runsWith(suspect)
		if c.at <= l.lastSurvival(d, suspect) || len(union) == 0 {
			continue
		}
		if blamed == nil {
			slices.Sort(union)
			blamed, first = slices.Compact(union), c.at
		}
		blamed = slices.DeleteFunc(blamed, func(digest Digest) bool { return !slices.Contains(union, digest) })
	}
	blamed = slices.DeleteFunc(blamed, func(digest Digest) bool { return l.lastSurvival(d, digest) >= first })
	if !slices.ContainsFunc(open, func(c *sharedCrash) bool { return c.ranAll(blamed) }) {
		blamed = []Digest{suspect} // the rest stood in several runs
	}
	v := verdict{blamed: blamed, sound: true}
	for _, digest := range blamed {
		_, shared := l.implicated[digest]
		v.request = v.request || !shared
		before := l.lastSurvival(d, digest)
		v.sound = v.sound && (digest.broad() || before != 0 && first.Sub(before) <= soundMemory)
	}
	for _, c := range open {
		if c.ranAll(blamed) {
			v.crashes = append(v.crashes, c)
		}
	}
	return v
}

// explained reports whether the last verdicts blame something shared for a crash.
func (l *sharedCrashes) explained(c *sharedCrash) bool {
	return slices.ContainsFunc(l.verdicts, func(v verdict) bool { return !v.request && slices.Contains(v.crashes, c) })
}

// explains reports whether something shared is blamed for a crash under a request.
func (l *sharedCrashes) explains(d *Detector, now clock.Time, at crash) bool {
	for _, v := range l.judge(d, now) {
		if v.request {
			continue
		}
		for _, c := range v.crashes {
			if c.server == at.server && at.at.Sub(c.at).Abs() <= sameCrashWindow {
				return true
			}
		}
	}
	return false
}
