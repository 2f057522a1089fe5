// Package poison detects requests that crash every backend server that runs them. The
// caller of such a request retries it; without detection, each instance would forward it
// and all backend servers would crash in turn.
//
// A request whose connection broke while it ran is a suspect, identified by its digest.
// So are the other requests that ran on that server. What tells the guilty one from its
// neighbors is that its runs crash servers more often than they complete. A suspect is
// refused once poisonThreshold servers crashed under it and fewer runs of it completed
// since the first crash, or none since the last poisonThreshold crashes. From time to time
// one run of it is admitted as a trial, since nothing else could clear a request that is
// refused by mistake.
//
// A connection also breaks for other reasons, such as a link that fails. A server that
// answers a request sent right after the break did not crash.
package poison

import (
	"slices"
	"strconv"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// poisonThreshold is the number of crashes after which a request is refused. Sound requests
	// meet two by chance.
	poisonThreshold = 3
	// crashWindow is the time within which the crashes must lie, and how long a suspect
	// that is not refused is remembered.
	crashWindow = 60 * time.Second
	// sameCrashWindow is the time within which breaks at one server are one crash.
	sameCrashWindow = time.Second
	// completionReportInterval is the time between two reports of the completed runs of a
	// suspect that is not refused.
	completionReportInterval = time.Second
	// restartTime is the least time that a server needs to start again after a crash.
	restartTime = 300 * time.Millisecond
	// breakMemory is the time after a break at a server in which a response that only ended with
	// its connection may have been broken off, too.
	breakMemory = 200 * time.Millisecond
	// completionValidity is how long after a completed run a request is not refused: a
	// popular request that is sound completes more often than this.
	completionValidity = 2 * time.Second
	// A refused request is admitted for a trial after trialDelay, or soundTrialDelay if it
	// completed within soundMemory before the crashes, and then after trialFactor times as
	// long each.
	trialDelay      = 30 * time.Second
	soundTrialDelay = time.Second
	trialFactor     = 4
	maxTrialDelay   = 10 * time.Minute
	soundMemory     = 10 * time.Second
	// refusalMemory is how long a refused request is remembered after its last crash or
	// trial.
	refusalMemory = 2 * maxTrialDelay
	// refusalTold is the time after the last crash of poisonThreshold in which all instances hear
	// of it. A later crash is that of a trial, whoever sent it.
	refusalTold = 2 * time.Second
	// maxSuspects bounds the memory; the suspects with the oldest crashes are dropped.
	maxSuspects = 4096
	// maxCrashes bounds the crashes remembered for one suspect.
	maxCrashes = 8
)

// Digest identifies a request and its retries. A request may have several digests, which
// cover more or less of it; it is refused if one of them is. Each is a suspect of its own.
type Digest uint64

// String returns the digest as it stands in logs.
func (d Digest) String() string { return strconv.FormatUint(uint64(d), 16) }

// Server is a hash of a backend server's ID.
type Server uint64

// crash is the crash of a server while a request ran there.
type crash struct {
	server Server
	at     clock.Time // of the first break known
}

type suspect struct {
	crashes []crash // ascending by time
	// completedBefore is the last completed run known before the crashes that count. completions and peerCompletions count the runs since, at this instance and at
	// the others.
	completedBefore lastSeen
	completions     int
	peerCompletions map[string]int
	keptCompletions int        // at all instances, as the store says
	completed       lastSeen   // last completed run
	changedAt       clock.Time // last observation at this instance; 0: none
	trial           lastSeen   // start of the last trial
	trials          int        // since the request is refused
}

// Decision says whether a request may be sent to a backend server.
type Decision struct {
	Refused bool
	// Trial is set if a refused request may be sent once. The caller must report the
	// send with BeginTrial.
	Trial bool
	// NextTrial is the time until the next trial of a refused request.
	NextTrial time.Duration
	// Blamed is what the request shares with others that is blamed, and Crashes the number of
	// crashes. Empty: the request itself is refused.
	Blamed  []Digest
	Crashes int
}

// Detector tracks the suspects. It is not safe for concurrent use.
type Detector struct {
	suspects  map[Digest]*suspect
	completed recentRuns
	breaks    map[Server]clock.Time // last break at a server that may have crashed
	ownBreaks map[Server]clock.Time // of them, those of this instance's connections
	// peerBreaks are the last breaks that others observed.
	peerBreaks map[Server]clock.Time
	alive      map[Server]clock.Time // when the last request was sent whose answer showed that a break was no crash
	ownAlive   map[Server]clock.Time // of them, those that this instance observed
	aliveAt    map[Server]clock.Time // when it observed them
	reported   clock.Time            // last report that included all refused requests
	shared     *sharedCrashes
	ends       *ends
	changes    Changes
}

// New returns a Detector without suspects.
func New() *Detector {
	return &Detector{
		suspects: make(map[Digest]*suspect), breaks: make(map[Server]clock.Time), ownBreaks: make(map[Server]clock.Time),
		peerBreaks: make(map[Server]clock.Time),
		alive:      make(map[Server]clock.Time), ownAlive: make(map[Server]clock.Time), aliveAt: make(map[Server]clock.Time), shared: newSharedCrashes(), ends: newEnds(),
	}
}

// RecordCrash records that the connection to a server broke during a run of a request at
// this instance. It reports whether the other instances should be told at once: another
// server crashed under the request before.
func (d *Detector) RecordCrash(now clock.Time, digests []Digest, server Server) (urgent bool) {
	d.ownBreaks[server] = now
	for _, digest := range digests {
		s := d.getOrCreate(now, digest)
		s.changedAt = now
		if d.addCrash(s, crash{server, now}) && len(s.recent()) > 1 {
			urgent = true
		}
	}
	d.countGivenUp(now, crash{server, now})
	return urgent
}

// RecordCompletion records that a run of a request completed at this instance. It reports
// whether the other instances should be told at once: they may refuse the request.
func (d *Detector) RecordCompletion(now clock.Time, digests []Digest) (urgent bool) {
	for _, digest := range digests {
		d.completed.observe(now, digest)
		if d.clear(now, digest) {
			urgent = true
		}
	}
	return urgent
}

// clear records that a run of a suspect completed, and reports whether it is refused.
func (d *Detector) clear(now clock.Time, digest Digest) (refused bool) {
	s, ok := d.suspects[digest]
	if !ok {
		return false
	}
	refused = s.refused(now)
	if refused {
		d.changes.Urgent++
	}
	d.changes.Minor++
	if refused || s.completions == 0 || now.Sub(s.changedAt) > completionReportInterval {
		s.changedAt = now
	}
	s.completions++
	s.completed.observe(now)
	s.endTrials(now)
	return refused
}

// endTrials forgets the trials of a request that is no longer refused.
func (s *suspect) endTrials(now clock.Time) {
	if !s.refused(now) {
		s.trials, s.trial = 0, lastSeen{}
	}
}

// RecordAnswer records that a server answered a request that this instance sent at sentAt.
// Breaks right before that were no crashes of the server. It reports whether the other instances
// should be told, with UntoldCrashes.
func (d *Detector) RecordAnswer(now clock.Time, server Server, sentAt clock.Time) (tell bool) {
	d.confirmEnds(now, server, sentAt)
	tell = d.shared.recordUp(now, server, sentAt, true)
	brokeAt, ok := d.breaks[server]
	if !ok || sentAt <= brokeAt || sentAt.Sub(brokeAt) > restartTime {
		return tell
	}
	d.observeAlive(now, server, sentAt)
	return true
}

// MayHaveCrashed reports whether a connection to a server broke a moment ago, so that the end of
// another one is no sign that its run completed.
func (d *Detector) MayHaveCrashed(now clock.Time, server Server) bool {
	brokeAt, ok := d.breaks[server]
	return ok && now.Sub(brokeAt) <= breakMemory
}

// RecordLinkFailure records that this instance has had no path to any server since a time.
// Its connections that broke since then say nothing about the servers, but for those where
// connections of other instances broke, too. It returns at how many servers.
func (d *Detector) RecordLinkFailure(now, since clock.Time) (servers int) {
	for server, at := range d.ownBreaks {
		peerAt, both := d.peerBreaks[server]
		if at >= since && !(both && at.Sub(peerAt).Abs() <= sameCrashWindow) {
			d.observeAlive(now, server, at.Add(1))
			servers++
		}
	}
	return servers
}

func (d *Detector) recordPeerBreak(server Server, at clock.Time) {
	d.peerBreaks[server] = max(d.peerBreaks[server], at)
}

// observeAlive is markAlive for what this instance observed itself.
func (d *Detector) observeAlive(now clock.Time, server Server, sentAt clock.Time) {
	d.ownAlive[server], d.aliveAt[server] = max(d.ownAlive[server], sentAt), now
	d.markAlive(server, sentAt)
}

// markAlive drops the crashes of a server that it survived.
func (d *Detector) markAlive(server Server, sentAt clock.Time) {
	delete(d.breaks, server)
	delete(d.ownBreaks, server)
	delete(d.peerBreaks, server)
	d.alive[server] = max(d.alive[server], sentAt)
	for _, s := range d.suspects {
		kept := s.crashes[:0]
		for _, c := range s.crashes {
			if c.server != server || !d.survived(c) {
				kept = append(kept, c)
			}
		}
		s.crashes = kept
	}
	d.shared.dropSurvived(d, server)
}

// survived reports whether the server is known to have answered right after the break.
func (d *Detector) survived(c crash) bool {
	sentAt, ok := d.alive[c.server]
	return ok && sentAt > c.at && sentAt.Sub(c.at) <= restartTime
}

// Check decides whether a request may be sent now.
func (d *Detector) Check(now clock.Time, digests []Digest) Decision {
	refused, next := false, clock.Time(0)
	for _, digest := range digests {
		if s, ok := d.suspects[digest]; ok && s.refused(now) && d.unexplained(now, s) >= poisonThreshold {
			refused, next = true, max(next, s.nextTrial())
		}
	}
	return Decision{Refused: refused, Trial: refused && now.Reached(next), NextTrial: max(0, next.Sub(now))}
}

// unexplained returns the number of crashes of a request that nothing is blamed for that requests
// share.
func (d *Detector) unexplained(now clock.Time, s *suspect) int {
	n := 0
	for _, c := range s.episode() {
		if !d.shared.explains(d, now, c) {
			n++
		}
	}
	return n
}

// BeginTrial records that this instance sends a refused request as a trial. The other
// instances must be told at once.
func (d *Detector) BeginTrial(now clock.Time, digests []Digest) {
	for _, digest := range digests {
		if s, ok := d.suspects[digest]; ok && s.refused(now) {
			s.trial.observe(now)
			s.changedAt = now
			s.trials++
			d.changes.Urgent++
		}
	}
}

// Suspicion returns how many crashes of a request are known that count, at all instances,
// and how many completed runs since the first of them.
func (d *Detector) Suspicion(digest Digest) (crashes, completions int) {
	s, ok := d.suspects[digest]
	if !ok {
		return 0, 0
	}
	return len(s.recent()), s.allCompletions()
}

// recent returns the crashes that count: those within crashWindow of the last one.
func (s *suspect) recent() []crash { return s.crashesAfter(s.lastCrash().Add(-crashWindow)) }

func (s *suspect) crashesAfter(from clock.Time) []crash { return crashesAfter(s.crashes, from) }

// crashesAfter returns the crashes after a time, of crashes that are ascending by time.
func crashesAfter(crashes []crash, from clock.Time) []crash {
	for i, c := range crashes {
		if c.at > from {
			return crashes[i:]
		}
	}
	return nil
}

// episode returns the recent crashes and, if they were trials of a refused request, also those for
// which it was refused: trials are further apart than crashWindow.
func (s *suspect) episode() []crash { return s.crashes[episodeStart(s.crashes):] }

func episodeStart(crashes []crash) int {
	if len(crashes) == 0 {
		return 0
	}
	last := crashes[len(crashes)-1].at
	start := len(crashes) - len(crashesAfter(crashes, last.Add(-crashWindow)))
	if start == 0 {
		return 0
	}
	mayLack := start == poisonThreshold // dropExcess drops those that followed
	if !mayLack && crashes[start].at.Sub(crashes[start-1].at) > refusalMemory {
		return start
	}
	if before := episodeStart(crashes[:start]); start-before >= poisonThreshold {
		return before
	}
	return start
}

// lateCrashes returns the number of crashes after the request was refused at all instances.
func (s *suspect) lateCrashes() int {
	episode := s.episode()
	if len(episode) < poisonThreshold {
		return 0
	}
	return len(crashesAfter(episode, episode[poisonThreshold-1].at.Add(refusalTold)))
}

func (s *suspect) lastCrash() clock.Time {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].at
}

func (s *suspect) allCompletions() int {
	all := s.completions
	for _, n := range s.peerCompletions {
		all += n
	}
	return max(all, s.keptCompletions)
}

func (s *suspect) refused(now clock.Time) bool {
	episode := s.episode()
	if len(episode) < poisonThreshold || s.expired(now) {
		return false
	}
	crashes := len(s.recent())
	if crashes >= poisonThreshold && crashes > s.allCompletions() && !protects(s.completedBefore.at, now) {
		return true
	}
	return len(crashesAfter(episode, s.completed.at)) >= poisonThreshold && !protects(s.completed.at, now)
}

// protects reports whether a completed run was so recent that the request counts as sound.
func protects(completedAt, now clock.Time) bool {
	return completedAt != 0 && now.Sub(completedAt) <= completionValidity
}

func (s *suspect) expired(now clock.Time) bool {
	if len(s.episode()) >= poisonThreshold {
		return now.Sub(max(s.lastCrash(), s.trial.at)) > refusalMemory
	}
	return now.Sub(max(s.lastCrash(), s.changedAt)) > crashWindow
}

// nextTrial returns when a refused request may be sent again. One that completed before the
// crashes may at once if it completed since the last of them, too: it is sound, most likely.
// A request that servers survive only now and then must not have more trials for that.
func (s *suspect) nextTrial() clock.Time {
	last := max(s.lastCrash(), s.trial.at)
	delay := trialDelay
	if s.ranBeforeCrashes() {
		if s.completed.at > last {
			return s.completed.at
		}
		delay = soundTrialDelay
	}
	for range max(s.trials, s.lateCrashes()) {
		delay = min(trialFactor*delay, maxTrialDelay)
	}
	return last.Add(delay)
}

// ranBeforeCrashes reports whether a run completed shortly before the crashes.
func (s *suspect) ranBeforeCrashes() bool {
	before := s.episode()[0].at.Sub(s.completedBefore.at)
	return s.completedBefore.at != 0 && before >= 0 && before <= soundMemory
}

// addCrash adds a crash unless it is known or was none. It reports whether it was added.
func (d *Detector) addCrash(s *suspect, c crash) bool {
	if d.survived(c) {
		return false
	}
	d.breaks[c.server] = max(d.breaks[c.server], c.at)
	for i, known := range s.crashes {
		if known.server == c.server && c.at.Sub(known.at).Abs() <= sameCrashWindow {
			s.crashes[i].at = min(known.at, c.at)
			s.sortCrashes()
			return false
		}
	}
	if c.at.Sub(s.lastCrash()) > crashWindow {
		s.completedBefore, s.completions, s.peerCompletions, s.keptCompletions = s.completed, 0, nil, 0
	}
	s.crashes = append(s.crashes, c)
	s.sortCrashes()
	s.dropExcess()
	d.changes.Urgent++
	return true
}

// dropExcess drops the oldest crash beyond maxCrashes, but for those for which the request is refused.
func (s *suspect) dropExcess() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	drop := 0
	if episodeStart(s.crashes) == 0 {
		drop = poisonThreshold
	}
	s.crashes = slices.Delete(s.crashes, drop, drop+1)
}

func (d *Detector) getOrCreate(now clock.Time, digest Digest) *suspect {
	s, ok := d.suspects[digest]
	if !ok {
		d.makeRoom(now)
		s = &suspect{completed: d.completed.get(digest)}
		s.completedBefore = s.completed
		d.suspects[digest] = s
	}
	return s
}

func (d *Detector) makeRoom(now clock.Time) {
	if len(d.suspects) < maxSuspects {
		return
	}
	var oldestDigest Digest
	oldestCrash := clock.Never
	for digest, s := range d.suspects {
		if s.expired(now) {
			delete(d.suspects, digest)
		} else if s.lastCrash() < oldestCrash {
			oldestDigest, oldestCrash = digest, s.lastCrash()
		}
	}
	if len(d.suspects) >= maxSuspects {
		delete(d.suspects, oldestDigest)
	}
}
