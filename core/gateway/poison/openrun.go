package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// A server may end without breaking a connection, or after its instance has given up the run that it
// ends under. So each run is remembered until its outcome is known, or the fate of its server.
//
// That a server has ended is known from the end of another run there, from its entry, which comes
// back with a later start or lapses, or from silence: no instance has heard of it for silenceTime
// though runs wait there, and it answers no question.

const (
	// silenceTime is how long a server with open runs is silent until this instance asks the others
	// whether they have heard of it.
	silenceTime = time.Second
	// heardBefore is how long before the first run that it does not answer a server was heard of, if
	// silence alone shows that it ended. One that was silent before may have done so for another reason.
	heardBefore = time.Second
	// endSlack is how much later than its last sign of life a server may have ended.
	endSlack = 500 * time.Millisecond
	// lapseSilence is how long a server is silent at least that ended, if its entry lapses. One that is
	// only cut off from the store goes on answering.
	lapseSilence = 2 * time.Second
	// openRunMemory is how long a run that was given up is remembered after its server should have
	// stopped working on it: within this time its entry lapses, or it starts again.
	openRunMemory = 15 * time.Second
	// watchMemory is how long after another instance asked for a server it is told what is heard of it.
	watchMemory = 5 * time.Second
	// maxGivenUp bounds the runs that were given up and are remembered.
	maxGivenUp = 4096
	// sameEndWindow is the time between two estimates of when a server ended silently.
	sameEndWindow = 10 * time.Second
)

// Start identifies one start of a backend server: a hash of its ID and its incarnation.
type Start uint64

// OpenRun is a run at this instance whose outcome is not known: it is under way, or was given up.
type OpenRun struct {
	Run
	server  Server
	start   Start
	until   clock.Time // when the server stops working on it
	givenUp bool
	counted bool // as met by the end of its server
}

// openRuns are the runs of this instance at one start of a server.
type openRuns struct {
	server  Server
	runs    []*OpenRun
	askedAt clock.Time // when the other instances were first asked; 0: not since the last sign of life
	probed  bool       // since then
	endedAt clock.Time // as estimated, if it ended without a sign; 0: not known
}

// ends finds the servers that ended without a break of a connection.
type ends struct {
	starts  map[Start]*openRuns
	givenUp int
	heard   map[Start]clock.Time // at any instance; of starts with open runs or watched ones
	ownRead map[Start]clock.Time // at this instance
	watched map[Start]clock.Time // when another instance last asked
}

func newEnds() *ends {
	return &ends{
		starts: make(map[Start]*openRuns), heard: make(map[Start]clock.Time), ownRead: make(map[Start]clock.Time), watched: make(map[Start]clock.Time),
	}
}

// BeginRun records that a run is sent to a server, which works on it until a time. Settle or GiveUp
// must follow.
func (d *Detector) BeginRun(server Server, start Start, run Run, until clock.Time) *OpenRun {
	s := d.ends.starts[start]
	if s == nil {
		s = &openRuns{server: server}
		d.ends.starts[start] = s
	}
	o := &OpenRun{Run: run, server: server, start: start, until: until}
	s.runs = append(s.runs, o)
	return o
}

// Settle records that the outcome of a run is known.
func (d *Detector) Settle(o *OpenRun) {
	s := d.ends.starts[o.start]
	if s == nil {
		return
	}
	if i := slices.Index(s.runs, o); i >= 0 {
		last := len(s.runs) - 1
		s.runs[i], s.runs[last] = s.runs[last], nil
		s.runs = s.runs[:last]
	}
	if len(s.runs) == 0 {
		delete(d.ends.starts, o.start)
	}
}

// GiveUp records that this instance no longer waits for a run, which may go on at its server.
func (d *Detector) GiveUp(now clock.Time, o *OpenRun) {
	if o.givenUp {
		return
	}
	if d.ends.givenUp++; d.ends.givenUp > maxGivenUp {
		d.ends.givenUp--
		d.Settle(o)
		return
	}
	o.givenUp = true
	o.until = max(o.until, now)
}

// Watched returns the starts of which is to be recorded when they were heard of: those with runs that
// wait here, and those that other instances ask for.
func (d *Detector) Watched(now clock.Time) map[Start]bool {
	watched := make(map[Start]bool)
	for start, at := range d.ends.watched {
		if now.Sub(at) <= watchMemory {
			watched[start] = true
		}
	}
	for start, s := range d.ends.starts {
		if s.waits(now, silenceTime/2) {
			watched[start] = true
		}
	}
	return watched
}

// waits reports whether a run is open that was sent that long ago.
func (s *openRuns) waits(now clock.Time, ago time.Duration) bool {
	return slices.ContainsFunc(s.runs, func(o *OpenRun) bool { return now.Sub(o.SentAt) >= ago })
}

// RecordHeard records when this instance last read something of a server.
func (d *Detector) RecordHeard(now clock.Time, start Start, at clock.Time) (tell bool) {
	d.ends.ownRead[start] = max(d.ends.ownRead[start], at)
	return d.recordHeard(now, start, at)
}

// recordHeard records when an instance last heard of a server. It reports whether a crash is taken
// back: a server that goes on has not ended.
func (d *Detector) recordHeard(now clock.Time, start Start, at clock.Time) (takenBack bool) {
	l := d.ends
	if at <= l.heard[start] {
		return false
	}
	l.heard[start] = at
	s := l.starts[start]
	if s == nil {
		return false
	}
	s.askedAt, s.probed = 0, false
	if s.endedAt != 0 && at.Sub(s.endedAt) >= lifeMargin {
		takenBack = true
		d.takeBack(now, s)
	}
	s.runs = slices.DeleteFunc(s.runs, func(o *OpenRun) bool {
		survived := o.givenUp && at > o.until
		if survived {
			l.givenUp--
		}
		return survived
	})
	if len(s.runs) == 0 {
		delete(l.starts, start)
	}
	return takenBack
}

// takeBack drops the crash of a server that ended without a sign, as it seemed.
func (d *Detector) takeBack(now clock.Time, s *openRuns) {
	d.observeAlive(now, s.server, s.endedAt.Add(1))
	s.endedAt = 0
	for _, o := range s.runs {
		o.counted = false
	}
}

// lastSign returns when a server with open runs last gave a sign of life, at any instance: it may have
// ended since. A server of which nothing was heard lived when it got the first of them.
func (l *ends) lastSign(start Start, s *openRuns) clock.Time {
	first := clock.Never
	for _, o := range s.runs {
		first = min(first, o.SentAt)
	}
	return max(first, l.heard[start])
}

// SilentServer is a server that ended, as its silence suggests.
type SilentServer struct {
	Server Server
	Start  Start
}

// CheckSilence returns the servers that ended, as it seems: none of the instances, which have had
// answerTime to tell, has heard of them, though runs wait there. ConfirmEnd must follow if they don't
// answer a question either.
func (d *Detector) CheckSilence(now clock.Time, answerTime time.Duration) []SilentServer {
	var silent []SilentServer
	for start, s := range d.ends.starts {
		last := d.ends.lastSign(start, s)
		if s.endedAt != 0 || now.Sub(last) < silenceTime {
			continue
		}
		if s.askedAt == 0 {
			s.askedAt = now
		}
		heard := d.ends.heard[start]
		if s.probed || now.Sub(s.askedAt) < answerTime || heard == 0 || last.Sub(heard) > heardBefore {
			continue
		}
		s.probed = true
		silent = append(silent, SilentServer{s.server, start})
	}
	slices.SortFunc(silent, func(a, b SilentServer) int { return cmp.Compare(a.Start, b.Start) })
	return silent
}

// ConfirmEnd records that a server that CheckSilence returned did not answer. It returns how many runs
// of this instance met its end; the other instances should be told, with UntoldCrashes.
func (d *Detector) ConfirmEnd(now clock.Time, start Start) (runs int) {
	s := d.ends.starts[start]
	if s == nil || s.askedAt == 0 || s.endedAt != 0 {
		return 0 // it has been heard of meanwhile
	}
	return d.countEnd(now, start, s)
}

// RecordLapse records that the entry of a server lapsed which did not leave. It returns what ConfirmEnd
// does.
func (d *Detector) RecordLapse(now clock.Time, start Start) (runs int) {
	s := d.ends.starts[start]
	if s == nil || s.endedAt != 0 || now.Sub(d.ends.lastSign(start, s)) < lapseSilence {
		return 0
	}
	return d.countEnd(now, start, s)
}

// RecordRestart records that a server has started anew, so that this start of it has ended. It returns
// what ConfirmEnd does.
func (d *Detector) RecordRestart(now clock.Time, start Start) (runs int) {
	s := d.ends.starts[start]
	if s == nil || s.endedAt != 0 {
		return 0
	}
	return d.countEnd(now, start, s)
}

// RecordReturn records that an entry that had lapsed is back with the same start: its server has not
// ended. It reports whether the other instances should be told.
func (d *Detector) RecordReturn(now clock.Time, start Start) (tell bool) {
	s := d.ends.starts[start]
	if s == nil || s.endedAt == 0 {
		return false
	}
	d.takeBack(now, s)
	return true
}

// RecordLeft records that a server left as announced: its end says nothing about its runs.
func (d *Detector) RecordLeft(start Start) {
	if s := d.ends.starts[start]; s != nil {
		for _, o := range slices.Clone(s.runs) {
			if o.givenUp {
				d.ends.givenUp--
				d.Settle(o)
			}
		}
	}
}

// countEnd counts a silent end for the runs that it met.
func (d *Detector) countEnd(now clock.Time, start Start, s *openRuns) (runs int) {
	at := d.ends.lastSign(start, s)
	s.endedAt = at
	for _, o := range s.runs {
		if o.counted || o.SentAt.Sub(at) > endSlack || o.until < at {
			continue
		}
		o.counted = true
		runs++
		d.countRun(now, o, crash{o.server, at}, true)
	}
	return runs
}

// countGivenUp counts the crash of a server for the runs that were given up there.
func (d *Detector) countGivenUp(now clock.Time, at crash) {
	for _, s := range d.ends.starts {
		if s.server != at.server {
			continue
		}
		for _, o := range s.runs {
			if o.givenUp && !o.counted && o.SentAt <= at.at && at.at <= o.until {
				o.counted = true
				d.countRun(now, o, at, false)
			}
		}
	}
}

// countRun counts the end of its server for a run of this instance.
func (d *Detector) countRun(now clock.Time, o *OpenRun, at crash, silent bool) {
	for _, digest := range o.Digests {
		s := d.getOrCreate(now, digest)
		s.changedAt = now
		if s.completedBefore.at >= at.at { // it completed elsewhere since
			s.completions++
		}
		d.addCrash(s, at)
	}
	if len(o.Shared) > 0 {
		d.addSharedRun(at, o.Run, true, silent, 0)
	}
}

// silentCrashAt returns the crash that the silent end of a server belongs to, or nil if a run was sent
// only after it.
func (l *sharedCrashes) silentCrashAt(at crash, sentAt clock.Time) *sharedCrash {
	last := l.lastCrash(at.server)
	if last == nil || l.upAt[at.server] > last.at || at.at.Sub(last.at).Abs() > sameEndWindow {
		return l.newCrash(at)
	}
	if sentAt.Sub(last.at) > endSlack {
		return nil
	}
	return last
}

// expire forgets what is too old to matter.
func (l *ends) expire(now clock.Time) {
	for start, s := range l.starts {
		s.runs = slices.DeleteFunc(s.runs, func(o *OpenRun) bool {
			old := o.givenUp && now.Sub(o.until) > openRunMemory
			if old {
				l.givenUp--
			}
			return old
		})
		if len(s.runs) == 0 {
			delete(l.starts, start)
		}
	}
	maps.DeleteFunc(l.watched, func(_ Start, at clock.Time) bool { return now.Sub(at) > watchMemory })
	for _, times := range []map[Start]clock.Time{l.heard, l.ownRead} {
		maps.DeleteFunc(times, func(_ Start, at clock.Time) bool { return now.Sub(at) > crashWindow })
	}
}

// StartAge names a start of a server and how long ago something happened there.
type StartAge struct {
	Start Start
	Age   time.Duration
}

// reportEnds adds which servers this instance asks for, and what it has heard of those that others
// ask for.
func (d *Detector) reportEnds(now clock.Time, r *Report) {
	for start, s := range d.ends.starts {
		if s.askedAt != 0 || s.endedAt != 0 {
			r.Asked = append(r.Asked, start)
		}
	}
	for start, at := range d.ends.watched {
		if heard, ok := d.ends.ownRead[start]; ok && now.Sub(at) <= watchMemory {
			r.Heard = append(r.Heard, StartAge{start, now.Sub(heard)})
		}
	}
	slices.Sort(r.Asked)
	slices.SortFunc(r.Heard, func(a, b StartAge) int { return cmp.Compare(a.Start, b.Start) })
}

func (d *Detector) mergeEnds(now clock.Time, r Report) {
	for _, start := range r.Asked {
		d.ends.watched[start] = now
	}
	for _, h := range r.Heard {
		d.recordHeard(now, h.Start, now.Add(-h.Age))
	}
}
