package poison

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// Requests that differ may have in common what crashes their servers, such as a part of their
// prompts. Each crash has many suspects then: everything that the requests shared that ran on
// the server. The one that explains most crashes is blamed, and the crashes that it explains
// speak against nothing else. What can't be told apart from it, since it stood beside it in
// all these crashes, is blamed only together with it: a request is refused if it has all of it.

const (
	// soundThreshold is the number of crashes after which something shared is blamed that
	// runs survived before, or that many requests share.
	soundThreshold = 5
	// sharedSoundTrialDelay is trialDelay for these.
	sharedSoundTrialDelay = 2 * time.Second
	// startedRunTime is how long a run lasts at least at a server that is up. A server that
	// is down may accept connections and end them at once.
	startedRunTime = 20 * time.Millisecond
	// crashConfirmation is how long signs of life of a server may arrive until a break there
	// counts as its crash: a server that breaks off one response goes on with the others.
	crashConfirmation = 200 * time.Millisecond
	// lifeMargin is how long after a break something must be read from a server to be sent after
	// it, by an instance that is not late.
	lifeMargin = 50 * time.Millisecond
	// maxSharedCrashes bounds the crashes remembered, maxCrashRuns the runs of each.
	maxSharedCrashes = 64
	maxCrashRuns     = 128
	// maxShared bounds what a run shares with others.
	maxShared = 16
)

// The lowest bit of the digest of something shared says whether it is broad, such as a model. To
// refuse it wrongly costs many requests.
const broadBit Digest = 1

// Narrow returns the digest of something that few requests share.
func Narrow(hash uint64) Digest { return Digest(hash) &^ broadBit }

// Broad returns the digest of something that many requests share.
func Broad(hash uint64) Digest { return Digest(hash) | broadBit }

func (d Digest) broad() bool { return d&broadBit != 0 }

// Run is one run of a request at a backend server.
type Run struct {
	Digests []Digest // of the request
	Shared  []Digest // of what it has in common with other requests
	SentAt  clock.Time
}

// has reports whether the run is one of a request with this digest, or shares it.
func (r Run) has(d Digest) bool { return slices.Contains(r.Digests, d) || slices.Contains(r.Shared, d) }

func (r Run) hasAll(digests []Digest) bool {
	return !slices.ContainsFunc(digests, func(d Digest) bool { return !r.has(d) })
}

// sharedCrash is a crash of a server with the requests that ran there.
type sharedCrash struct {
	crash
	runs   []crashRun
	ownAt  clock.Time // last run observed at this instance; 0: none
	silent bool       // no connection broke; the time is that of the last sign of life
}

type crashRun struct {
	Run
	own  bool // observed at this instance
	told bool // to the other instances
}

// runsWith returns the union of what the runs with a digest have.
func (c *sharedCrash) runsWith(d Digest) (union []Digest) {
	for _, r := range c.runs {
		if r.has(d) {
			union = append(append(union, r.Digests...), r.Shared...)
		}
	}
	return union
}

// ranAll reports whether one of the runs has all of these digests.
func (c *sharedCrash) ranAll(digests []Digest) bool {
	return slices.ContainsFunc(c.runs, func(r crashRun) bool { return r.hasAll(digests) })
}

// implication is what is known of something that a run shared that met a crash.
type implication struct {
	crashedAt clock.Time
	survived  lastSeen   // last run with it that a server survived
	changedAt clock.Time // last crash, or first survival after it, since when that is told; 0: nothing to tell
}

type unconfirmedEnd struct {
	run Run
	at  clock.Time
}

// sharedCrashes finds what requests share that crashes servers.
type sharedCrashes struct {
	crashes     []*sharedCrash // ascending by time
	implicated  map[Digest]*implication
	survived    recentRuns // of all that requests share
	counts      runCounts  // of those that servers survived
	present     runCounts  // of those that servers work on, from time to time
	trials      map[Digest]sharedTrial
	upAt        map[Server]clock.Time       // a request sent then was answered, the first after a crash
	ownUpAt     map[Server]clock.Time       // when this instance observed it
	unconfirmed map[Server][]unconfirmedEnd // responses that only ended with their connections
	verdicts    []verdict
	outdated    bool       // the verdicts
	confirmedAt clock.Time // when the next crash will count; 0: none is due
}

func newSharedCrashes() *sharedCrashes {
	return &sharedCrashes{
		implicated: make(map[Digest]*implication), trials: make(map[Digest]sharedTrial), unconfirmed: make(map[Server][]unconfirmedEnd),
		upAt: make(map[Server]clock.Time), ownUpAt: make(map[Server]clock.Time),
	}
}

// RecordSharedCrash records that the connection to a server broke during a run at this instance, which
// reads what has arrived late by late at most. It reports whether the other instances should be told, with UntoldCrashes.
func (d *Detector) RecordSharedCrash(now clock.Time, run Run, server Server, late time.Duration) (tell bool) {
	if len(run.Shared) == 0 {
		return false
	}
	for _, e := range d.shared.unconfirmed[server] {
		tell = d.addSharedCrash(crash{server, e.at}, e.run, true, late) || tell
	}
	delete(d.shared.unconfirmed, server)
	return d.addSharedCrash(crash{server, now}, run, true, late) || tell
}

// RecordLife records that a server has sent on other connections after a break, so that it has not
// crashed. This instance read it at heardAt, and reads what has arrived late by late at most. It
// reports whether the crash was in doubt; then the other instances should be told, with
// UntoldCrashes.
func (d *Detector) RecordLife(now clock.Time, server Server, heardAt clock.Time, late time.Duration) (tell bool) {
	if heardAt <= d.ownBreaks[server] {
		return false // these connections broke, too
	}
	for _, c := range slices.Clone(d.shared.crashes) {
		if c.server == server && heardAt.Sub(c.at)-late >= lifeMargin && heardAt.Sub(c.at) <= restartTime {
			d.observeAlive(now, server, c.at.Add(1))
			tell = true
		}
	}
	return tell
}

// Doubtful reports whether a crash is not confirmed yet.
func (d *Detector) Doubtful(now clock.Time) bool {
	return len(d.shared.crashes) > 0 && now.Sub(d.shared.crashes[len(d.shared.crashes)-1].at) < crashConfirmation
}

// RecordUnconfirmedEnd records that a response of a run ended with its connection, so that the
// server may have crashed. It reports whether the other instances should be told.
func (d *Detector) RecordUnconfirmedEnd(now clock.Time, run Run, server Server) (tell bool) {
	if len(run.Shared) == 0 {
		return false
	}
	if d.MayHaveCrashed(now, server) {
		return d.addSharedCrash(crash{server, now}, run, true, 0)
	}
	ends := slices.DeleteFunc(d.shared.unconfirmed[server], func(e unconfirmedEnd) bool { return now.Sub(e.at) > restartTime })
	if len(ends) < maxCrashRuns {
		ends = append(ends, unconfirmedEnd{run, now})
	}
	d.shared.unconfirmed[server] = ends
	return false
}

// confirmEnds records the survivals that the answer to a request shows that was sent after
// responses ended with their connections.
func (d *Detector) confirmEnds(now clock.Time, server Server, sentAt clock.Time) {
	l := d.shared
	ends := l.unconfirmed[server]
	if len(ends) == 0 {
		return
	}
	l.unconfirmed[server] = slices.DeleteFunc(ends, func(e unconfirmedEnd) bool {
		if sentAt <= e.at {
			return false
		}
		if sentAt.Sub(e.at) <= restartTime {
			d.RecordSurvival(now, e.run.Shared)
		}
		return true
	})
	if len(l.unconfirmed[server]) == 0 {
		delete(l.unconfirmed, server)
	}
}

// addSharedCrash adds a run to a crash that was observed late by late at most. It reports whether it
// was new.
func (d *Detector) addSharedCrash(at crash, run Run, own bool, late time.Duration) bool {
	return d.addSharedRun(at, run, own, false, late)
}

// addSharedRun is addSharedCrash, also for a server that ended silently.
func (d *Detector) addSharedRun(at crash, run Run, own, silent bool, late time.Duration) bool {
	if d.survived(at) {
		return false
	}
	l := d.shared
	run.Shared = run.Shared[:min(len(run.Shared), maxShared)]
	var c *sharedCrash
	if silent {
		c = l.silentCrashAt(at, run.SentAt)
	} else {
		c = l.crashAt(at, run.SentAt, late)
	}
	if c == nil {
		return false
	}
	c.silent = silent && (c.silent || len(c.runs) == 0)
	c.at = min(c.at, at.at)
	d.breaks[at.server] = max(d.breaks[at.server], at.at)
	if own {
		c.ownAt = at.at
	}
	for i := range c.runs {
		if known := &c.runs[i]; slices.Equal(known.Digests, run.Digests) {
			known.SentAt = min(known.SentAt, run.SentAt) // a report arrives late, never early
			return false
		}
	}
	if len(c.runs) >= maxCrashRuns {
		return false
	}
	c.runs = append(c.runs, crashRun{Run: run, own: own})
	d.changes.Urgent++
	for _, shared := range run.Shared {
		l.implicate(shared, c.at)
	}
	l.outdated = true
	return true
}

// crashAt returns the crash that the break of a run belongs to, or nil if the run was sent to a
// server that was down already.
func (l *sharedCrashes) crashAt(at crash, sentAt clock.Time, late time.Duration) *sharedCrash {
	last := l.lastCrash(at.server)
	switch {
	case last == nil:
	case sentAt <= last.at:
		for _, c := range l.crashes {
			if c.server == at.server && (at.at.Sub(c.at).Abs() <= sameCrashWindow || sentAt <= c.at && c.at <= at.at) {
				return c
			}
		}
	case l.upAt[at.server] <= last.at && at.at.Sub(sentAt)-late < startedRunTime:
		return nil
	}
	return l.newCrash(at)
}

func (l *sharedCrashes) newCrash(at crash) *sharedCrash {
	c := &sharedCrash{crash: at}
	l.crashes = append(l.crashes, c)
	slices.SortFunc(l.crashes, func(a, b *sharedCrash) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	if len(l.crashes) > maxSharedCrashes {
		l.dropOldest()
	}
	return c
}

// lastCrash returns the last crash known of a server, nil if none.
func (l *sharedCrashes) lastCrash(server Server) *sharedCrash {
	for _, c := range slices.Backward(l.crashes) {
		if c.server == server {
			return c
		}
	}
	return nil
}

// recordUp records that a server answered a request sent after its last crash, and reports whether
// that is new.
func (l *sharedCrashes) recordUp(now clock.Time, server Server, sentAt clock.Time, own bool) bool {
	last := l.lastCrash(server)
	if last == nil || sentAt <= last.at || l.upAt[server] > last.at {
		return false
	}
	l.upAt[server] = sentAt
	if own {
		l.ownUpAt[server] = now
	}
	return true
}

// dropOldest drops the oldest crash that nothing explains, or the oldest of all.
func (l *sharedCrashes) dropOldest() {
	drop := l.crashes[0]
	for _, c := range l.crashes {
		if !l.explained(c) {
			drop = c
			break
		}
	}
	l.crashes = slices.DeleteFunc(l.crashes, func(c *sharedCrash) bool { return c == drop })
	l.forgetImplications()
}

func (l *sharedCrashes) implicate(shared Digest, at clock.Time) {
	known := l.implicated[shared]
	if known == nil {
		known = &implication{survived: l.survived.get(shared)}
		l.implicated[shared] = known
	}
	known.crashedAt = max(known.crashedAt, at)
	if known.survived.own != 0 {
		known.changedAt = max(known.changedAt, at)
	}
}

// RecordSurvival records that a server survived a run at this instance that shares something
// with others: the run completed, or has written for long.
func (d *Detector) RecordSurvival(now clock.Time, shared []Digest) {
	l := d.shared
	l.counts.add(now, shared)
	for _, s := range shared {
		l.survived.observe(now, s)
		known := l.implicated[s]
		if known == nil {
			continue
		}
		if known.survived.at <= known.crashedAt { // later ones tell nothing new
			known.changedAt, l.outdated = now, true
			d.changes.Minor++
		}
		known.survived.observe(now)
	}
}

// dropSurvived drops the crashes of a server that it survived.
func (l *sharedCrashes) dropSurvived(d *Detector, server Server) {
	before := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *sharedCrash) bool { return c.server == server && d.survived(c.crash) })
	l.outdated = l.outdated || len(l.crashes) != before
}

// expire drops what no longer matters.
func (l *sharedCrashes) expire(d *Detector, now clock.Time) {
	l.judge(d, now)
	before := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c *sharedCrash) bool {
		if l.explained(c) {
			return now.Sub(c.at) > refusalMemory
		}
		return now.Sub(c.at) > crashWindow
	})
	if len(l.crashes) != before {
		l.outdated = true
		l.forgetImplications()
	}
	for digest, t := range l.trials {
		if now.Sub(t.begun.at) > refusalMemory {
			delete(l.trials, digest)
		}
	}
	for server, at := range l.upAt {
		if now.Sub(at) > crashWindow {
			delete(l.upAt, server)
			delete(l.ownUpAt, server)
		}
	}
	for server, ends := range l.unconfirmed {
		if now.Sub(ends[len(ends)-1].at) > sameCrashWindow {
			delete(l.unconfirmed, server)
		}
	}
}

// forgetImplications forgets what met none of the crashes that are still known.
func (l *sharedCrashes) forgetImplications() {
	kept := make(map[Digest]*implication)
	for _, c := range l.crashes {
		for _, r := range c.runs {
			for _, shared := range r.Shared {
				if known := l.implicated[shared]; known != nil {
					kept[shared] = known
				}
			}
		}
	}
	l.implicated = kept
}
