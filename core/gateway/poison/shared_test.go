package poison

import (
	"cmp"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// Digests of what the requests of these tests share.
const (
	deadly     Digest = 1000
	firstPart  Digest = 1002
	secondPart Digest = 1004
	otherFirst Digest = 1006
	model             = 1008 | broadBit
	otherModel        = 1010 | broadBit
)

// sharedRefused reports whether requests that share this may not be sent once all crashes up to now
// are confirmed, not even as a trial.
func sharedRefused(d *Detector, now clock.Time, shared ...Digest) bool {
	c := d.CheckShared(now.Add(crashConfirmation), shared)
	return c.Refused && !c.Trial
}

// sharedCrashes3 records crashes of three servers half a second apart, up to now, each under
// another request that shares this.
func sharedCrashes3(d *Detector, now clock.Time, shared ...Digest) {
	for i := range 3 {
		at := now.Add(time.Duration(i-2) * time.Second / 2)
		d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(10 + i)}, Shared: shared, SentAt: at.Add(-100 * time.Millisecond)}, Server(100+i), 0)
	}
}

// Guards against requests that are alike in one part only, each of which is a new suspect.
func TestSharedPartIsRefused(t *testing.T) {
	d := New()
	sharedCrashes3(d, start, firstPart, deadly, model)
	d.RecordSurvival(seconds(-0.2), []Digest{firstPart, model}) // between the second and the third
	if !sharedRefused(d, start, otherFirst, deadly, otherModel) {
		t.Error("the part is not refused beside other parts")
	}
	if sharedRefused(d, start, firstPart, model) || sharedRefused(d, start, firstPart, secondPart, model) {
		t.Error("sound requests with the same first part are refused")
	}
}

// Guards against the refusal of a sound part that always met the crashes, too.
func TestPartsThatCannotBeToldApartAreRefusedTogether(t *testing.T) {
	d := New()
	sharedCrashes3(d, start, firstPart, deadly, model)
	if !sharedRefused(d, start, firstPart, deadly, model) {
		t.Error("requests that have all of it are not refused")
	}
	if sharedRefused(d, start, firstPart, model) || sharedRefused(d, start, deadly, model) {
		t.Error("requests that have some of it are refused")
	}
	at := seconds(1)
	d.RecordSharedCrash(at, Run{Digests: []Digest{20}, Shared: []Digest{otherFirst, deadly, otherModel}, SentAt: at.Add(-time.Millisecond)}, 110, 0)
	if !sharedRefused(d, at, secondPart, deadly, model) || sharedRefused(d, at, firstPart, model) {
		t.Error("a crash beside other parts does not tell them apart")
	}
}

// Guards against a verdict on parts that no single request has: two requests with the part ran at
// each crash.
func TestPartIsBlamedWhereSeveralRequestsRanIt(t *testing.T) {
	d := New()
	for i := range 3 {
		at := seconds(float64(i))
		for j, other := range []Digest{firstPart, secondPart} {
			d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(10 + 2*i + j)}, Shared: []Digest{other, deadly}, SentAt: at.Add(-time.Millisecond)}, Server(i), 0)
		}
	}
	if !sharedRefused(d, seconds(3), otherFirst, deadly) || sharedRefused(d, seconds(3), firstPart) {
		t.Error("the part that stands in all crashes is not the one that is refused")
	}
}

// Guards against popular parts that are blamed since many servers crash at once, or since one request
// goes from server to server.
func TestCrashesThatBlameNothingShared(t *testing.T) {
	at := func(s float64, digest Digest, sent float64, server Server) func(*Detector) {
		return func(d *Detector) {
			run := Run{Digests: []Digest{digest}, Shared: []Digest{firstPart, model}, SentAt: seconds(sent)}
			d.RecordSharedCrash(seconds(s), run, server, 0)
		}
	}
	tests := map[string][]func(*Detector){
		"at once":         {at(0, 1, -0.5, 1), at(0.01, 2, -0.5, 2), at(0.02, 3, -0.4, 3), at(0.03, 4, -0.1, 4), at(0.04, 5, -0.2, 5)},
		"one request":     {at(0, 1, -0.5, 1), at(1, 1, 0.5, 2), at(2, 1, 1.5, 3)},
		"server was down": {at(0, 1, -0.5, 1), at(0.5, 2, 0.495, 1), at(1.5, 3, 1.49, 1), at(3, 4, 2.99, 1), at(5, 5, 4.99, 1)},
	}
	for name, crashes := range tests {
		d := New()
		for _, record := range crashes {
			record(d)
		}
		if sharedRefused(d, seconds(5), firstPart, model) {
			t.Errorf("%s: what the requests share is refused", name)
		}
	}
}

// Guards against links that fail: the breaks that they cause count as crashes of sound servers.
func TestBreaksAtLiveServersBlameNothingShared(t *testing.T) {
	d := New()
	for i := range 4 {
		at := seconds(float64(i))
		d.RecordCrash(at, []Digest{Digest(i)}, Server(i))
		d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(i)}, Shared: []Digest{firstPart}, SentAt: at.Add(-time.Millisecond)}, Server(i), 0)
		d.RecordAnswer(at.Add(200*time.Millisecond), Server(i), at.Add(100*time.Millisecond))
	}
	if sharedRefused(d, seconds(4), firstPart) {
		t.Error("refused although the servers live")
	}
}

// Guards against sound requests that are refused since they met crashes which a part explains.
func TestExplainedCrashesDoNotCountAgainstNeighbors(t *testing.T) {
	d := New()
	for i := range 3 {
		at := seconds(float64(i))
		d.RecordCrash(at, []Digest{1}, Server(i))
		d.RecordSharedCrash(at, Run{Digests: []Digest{1}, Shared: []Digest{firstPart}, SentAt: at.Add(-time.Millisecond)}, Server(i), 0)
	}
	if !refused(d, seconds(2), 1) {
		t.Fatal("not refused, so the test proves nothing")
	}
	for i := range 4 {
		at := seconds(float64(i))
		d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(20 + i)}, Shared: []Digest{deadly}, SentAt: at.Add(-time.Millisecond)}, Server(i), 0)
	}
	if refused(d, seconds(3.2), 1) {
		t.Error("refused although a part explains the crashes")
	}
	if _, onProbation := d.Probation(seconds(3.2), []Digest{1}); onProbation {
		t.Error("runs one at a time although a part explains the crashes")
	}
}

// Guards against a verdict that never ends, and against trials that crash a server every time.
func TestTrialsOfSharedPart(t *testing.T) {
	d, other := New(), New()
	sharedCrashes3(d, start, deadly)
	trials := 0
	for now := seconds(0.2); now < seconds(200); now = now.Add(200 * time.Millisecond) {
		if c := d.CheckShared(now, []Digest{deadly}); c.Trial {
			trials++
			d.BeginSharedTrial(now, []Digest{deadly})
			d.RecordSharedCrash(now, Run{Digests: []Digest{Digest(50 + trials)}, Shared: []Digest{deadly}, SentAt: now}, Server(200+trials), 0)
		}
		other.Merge(now, "peer", d.Report(now))
		if c := other.CheckShared(now, []Digest{deadly}); !c.Refused || c.Trial {
			t.Fatalf("another instance may try at the same time, %v after the crashes", now.Sub(start))
		}
	}
	if trials != 2 {
		t.Errorf("%d trials in 200 s, want 2", trials)
	}
	d.RecordSurvival(seconds(200), []Digest{deadly})
	if d.CheckShared(seconds(200), []Digest{deadly}).Refused {
		t.Error("refused after a trial that a server survived")
	}
}

// Guards against an instance that starts after the crashes and sends such requests again.
func TestStartedInstanceLearnsOfSharedPart(t *testing.T) {
	old, started := New(), New()
	old.RecordSurvival(seconds(-1), []Digest{firstPart})
	sharedCrashes3(old, start, firstPart, deadly)
	old.Report(seconds(24.5))
	started.Merge(seconds(26.6), "peer", old.Report(seconds(26.6)))
	if !sharedRefused(started, seconds(26.6), secondPart, deadly) || sharedRefused(started, seconds(26.6), firstPart) {
		t.Error("an instance that started 26 s after the crashes does not know the part")
	}
	for now := seconds(27); now < start.Add(refusalMemory+time.Minute); now = now.Add(time.Second) {
		old.Merge(now, "peer", started.Report(now))
		started.Merge(now, "peer", old.Report(now))
	}
	if len(old.shared.crashes)+len(started.shared.crashes) > 0 {
		t.Error("the instances tell each other of it for ever")
	}
}

// Guards against crashed runs that pass for complete ones, or complete ones that count for nothing,
// since their responses only end with their connections.
func TestUnconfirmedEnds(t *testing.T) {
	end := func(d *Detector, i int, shared ...Digest) {
		at := seconds(float64(i))
		d.RecordUnconfirmedEnd(at, Run{Digests: []Digest{Digest(i)}, Shared: shared, SentAt: at.Add(-50 * time.Millisecond)}, Server(i))
	}
	d := New()
	for i := range 3 {
		at := seconds(float64(i))
		end(d, i, deadly)
		d.RecordCrash(at.Add(5*time.Millisecond), []Digest{Digest(40 + i)}, Server(i))
		d.RecordSharedCrash(at.Add(5*time.Millisecond), Run{Digests: []Digest{Digest(40 + i)}, Shared: []Digest{Digest(60 + i)}, SentAt: at}, Server(i), 0)
	}
	if !sharedRefused(d, seconds(2.1), deadly) {
		t.Error("a run whose response ended right before its server broke others does not count as crashed")
	}
	end(d, 5, deadly)
	if !sharedRefused(d, seconds(5), deadly) {
		t.Error("an end of a connection counts as survived")
	}
	d.RecordAnswer(seconds(5.1), 5, seconds(5.05))
	if sharedRefused(d, seconds(5.1), deadly) {
		t.Error("not survived although the server answered right after")
	}
}

// Guards against servers that break off single responses, whose requests' model or part is blamed.
func TestBreaksBesideOtherResponsesAreNoCrashes(t *testing.T) {
	late := New()
	late.RecordSharedCrash(start, Run{Digests: []Digest{1}, Shared: []Digest{model}, SentAt: start.Add(-time.Second)}, 1, 0)
	late.RecordCrash(seconds(0.08), []Digest{2}, 1)
	if late.RecordLife(seconds(0.1), 1, seconds(0.07), 0) {
		t.Error("what was read late counts as a sign of life, though its connection broke after it")
	}
	d, other := New(), New()
	for i := range 5 {
		at := seconds(float64(i))
		d.RecordCrash(at, []Digest{Digest(i)}, Server(i))
		d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(i)}, Shared: []Digest{model}, SentAt: at.Add(-time.Second)}, Server(i), 0)
		other.Merge(at, "peer", d.UntoldCrashes(at))
		if other.RecordLife(at.Add(60*time.Millisecond), Server(i), at.Add(10*time.Millisecond), 0) {
			t.Error("what may have been sent before the crash counts as a sign of life")
		}
		if !other.RecordLife(at.Add(120*time.Millisecond), Server(i), at.Add(110*time.Millisecond), 0) {
			t.Error("a sign of life is not told")
		}
		d.Merge(at.Add(130*time.Millisecond), "other", other.UntoldCrashes(at.Add(130*time.Millisecond)))
	}
	if sharedRefused(d, seconds(5), model) || sharedRefused(other, seconds(5), model) {
		t.Error("refused although the servers sent on")
	}
}

// Guards against crashes that all forget since one instance reads late what servers sent before.
func TestLateInstanceTakesNoCrashBack(t *testing.T) {
	d := New()
	sharedCrashes3(d, seconds(10), deadly)
	for i := range 3 {
		at := seconds(10).Add(time.Duration(i-2) * time.Second / 2)
		if d.RecordLife(seconds(10.2), Server(100+i), at.Add(150*time.Millisecond), 120*time.Millisecond) {
			t.Errorf("crash %d is taken back by an instance that reads 120 ms late", i)
		}
	}
	if !sharedRefused(d, seconds(10), deadly) {
		t.Error("the part is not refused")
	}
	if !d.RecordLife(seconds(10.2), 102, seconds(10.18), 120*time.Millisecond) {
		t.Error("what was sent after the break, though read late, is no sign of life")
	}
}

// Guards against a model that is refused for long since its servers crashed for other reasons.
func TestModelIsTriedSoon(t *testing.T) {
	d := New()
	for i := range soundThreshold {
		at := seconds(float64(i))
		if sharedRefused(d, at, model) {
			t.Errorf("refused after %d crashes", i)
		}
		d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(10 + 2*i)}, Shared: []Digest{model, Digest(200 + 2*i)}, SentAt: at.Add(-time.Millisecond)}, Server(i), 0)
	}
	last := seconds(soundThreshold - 1)
	if !sharedRefused(d, last, model) {
		t.Error("a model that crashes every server is not refused")
	}
	if c := d.CheckShared(last.Add(sharedSoundTrialDelay), []Digest{model}); !c.Trial {
		t.Error("no trial")
	}
}

// Guards against reports that repeat the survivals of popular parts as long as a crash is remembered.
func TestSurvivalsAreToldAfterCrashesOnly(t *testing.T) {
	d := New()
	d.RecordSharedCrash(start, Run{Digests: []Digest{1}, Shared: []Digest{firstPart}, SentAt: start.Add(-time.Second)}, 1, 0)
	if n := len(d.Report(seconds(0.5)).Survivals); n > 0 {
		t.Errorf("%d survivals told, though there is none", n)
	}
	told := 0
	for now := seconds(1); now < seconds(30); now = now.Add(200 * time.Millisecond) {
		d.RecordSurvival(now, []Digest{firstPart})
		told += len(d.Report(now).Survivals)
	}
	if most := int(reportPeriod/(200*time.Millisecond)) + 1; told == 0 || told > most {
		t.Errorf("told %d times, want at most %d", told, most)
	}
}

func TestSharedMemoryIsBounded(t *testing.T) {
	d := New()
	for i := range 3 * maxSharedCrashes {
		at := start.Add(time.Duration(i) * time.Millisecond)
		for j := range 2 * maxCrashRuns {
			shared := make([]Digest, 2*maxShared)
			for k := range shared {
				shared[k] = Digest(1e9 + i*1e6 + j*1e3 + k)
			}
			d.RecordSharedCrash(at, Run{Digests: []Digest{Digest(j)}, Shared: shared, SentAt: at}, Server(i), 0)
		}
	}
	if n := len(d.shared.crashes); n != maxSharedCrashes {
		t.Errorf("%d crashes remembered", n)
	}
	for _, c := range d.shared.crashes {
		if len(c.runs) > maxCrashRuns || len(c.runs[0].Shared) > maxShared {
			t.Fatalf("%d runs with %d shared things remembered of a crash", len(c.runs), len(c.runs[0].Shared))
		}
	}
	if n, most := len(d.shared.implicated), maxSharedCrashes*maxCrashRuns*maxShared; n > most {
		t.Errorf("%d implications, want at most %d", n, most)
	}
	d.Report(start.Add(crashWindow + time.Second))
	if n := len(d.shared.implicated); n > 0 {
		t.Errorf("%d implications are kept for ever", n)
	}
}

// fleetOfSuspects is a fleet in virtual time: instances with their detectors, servers that crash
// under a part, and messages that take time.
type fleetOfSuspects struct {
	rng       *rand.Rand
	now       clock.Time
	detectors []*Detector
	downUntil []clock.Time
	runs      []fleetRun
	messages  []fleetMessage
	nextID    Digest
	crashes   []clock.Time
	sends     []clock.Time  // of requests with the part
	toCrash   int           // a server crashes at most so many milliseconds after a send with the part; 0: 220
	length    time.Duration // of a sound run; 0: 600 ms
	wait      time.Duration // until a request with the part begins to run
	soundLate [2]int        // sound requests after the verdict is due: refused, all
	// soundEarly are those before.
	soundEarly [2]int
}

type fleetRun struct {
	Run
	instance, server int
	deadly           bool
	end              clock.Time
}

type fleetMessage struct {
	at     clock.Time
	to     int
	report Report
}

func (f *fleetOfSuspects) tell(from int, r Report) {
	if len(r.Crashes)+len(r.Up)+len(r.Survivals) == 0 {
		return
	}
	for to := range f.detectors {
		if to != from && f.rng.Float64() > 0.05 {
			f.messages = append(f.messages, fleetMessage{f.now.Add(time.Duration(f.rng.IntN(20)) * time.Millisecond), to, r})
		}
	}
}

func (f *fleetOfSuspects) send(shared []Digest, isDeadly bool) {
	i := f.rng.IntN(len(f.detectors))
	decision := f.detectors[i].CheckShared(f.now, shared)
	refused := decision.Refused && !decision.Trial
	if !isDeadly {
		f.countSound(refused)
	}
	var up []int
	for s, until := range f.downUntil {
		if f.now > until {
			up = append(up, s)
		}
	}
	if refused || len(up) == 0 {
		return
	}
	f.nextID++
	server := up[f.rng.IntN(len(up))]
	length := cmp.Or(f.length, 600*time.Millisecond)
	if isDeadly {
		f.sends = append(f.sends, f.now)
		length = f.wait + time.Duration(20+f.rng.IntN(cmp.Or(f.toCrash, 200)))*time.Millisecond
	}
	f.detectors[i].RecordAnswer(f.now.Add(10*time.Millisecond), Server(server), f.now)
	f.runs = append(f.runs, fleetRun{Run{[]Digest{1<<20 + f.nextID}, shared, f.now}, i, server, isDeadly, f.now.Add(length)})
}

func (f *fleetOfSuspects) countSound(refused bool) {
	count := &f.soundEarly
	if len(f.crashes) >= 5 && f.now.Sub(f.crashes[4]) > 8*time.Second {
		count = &f.soundLate
	}
	count[1]++
	if refused {
		count[0]++
	}
}

func (f *fleetOfSuspects) step() {
	f.now = f.now.Add(5 * time.Millisecond)
	for n := len(f.messages); n > 0; n-- {
		m := f.messages[0]
		f.messages = f.messages[1:]
		if m.at > f.now {
			f.messages = append(f.messages, m)
			continue
		}
		f.detectors[m.to].Merge(f.now, "peer", m.report)
	}
	for s := range f.downUntil {
		for _, r := range f.runs {
			if r.server == s && r.deadly && f.now.Reached(r.end) {
				f.crash(s)
				break
			}
		}
	}
	kept := f.runs[:0]
	for _, r := range f.runs {
		if f.now.Reached(r.end) {
			f.detectors[r.instance].RecordSurvival(f.now, r.Shared)
			continue
		}
		kept = append(kept, r)
	}
	f.runs = kept
	for i, d := range f.detectors {
		f.tell(i, d.UntoldCrashes(f.now))
		if f.rng.IntN(40) == 0 {
			f.tell(i, d.Report(f.now))
		}
	}
}

func (f *fleetOfSuspects) crash(server int) {
	f.crashes = append(f.crashes, f.now)
	f.downUntil[server] = f.now.Add(2 * time.Second)
	kept := f.runs[:0]
	for _, r := range f.runs {
		if r.server == server {
			f.detectors[r.instance].RecordSharedCrash(f.now, r.Run, Server(server), 0)
			continue
		}
		kept = append(kept, r)
	}
	f.runs = kept
}

// Guards against servers that crash on under a part that many instances meet beside many sound parts,
// and against sound parts that are blamed in its place.
func TestFleetFindsTheSharedPart(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 47))
		f := &fleetOfSuspects{rng: rng, now: start, detectors: make([]*Detector, 3+rng.IntN(7)), downUntil: make([]clock.Time, 3+rng.IntN(9))}
		for i := range f.detectors {
			f.detectors[i] = New()
		}
		parts := func(isDeadly bool) []Digest {
			shared := []Digest{firstPart + Digest(2*rng.IntN(3)), 100 + Digest(2*rng.IntN(40))}
			if isDeadly {
				shared[rng.IntN(2)] = deadly
			}
			return append(shared, model)
		}
		for f.now < seconds(25) {
			f.step()
			if f.now > seconds(2) && rng.IntN(40) == 0 {
				f.send(parts(true), true)
			}
			for range 1 + rng.IntN(2) {
				if rng.IntN(5) == 0 {
					f.send(parts(false), false)
				}
			}
		}
		late := 0
		for _, at := range f.sends {
			if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > 4*time.Second {
				late++
			}
		}
		if late > 3 || len(f.crashes) > 12 {
			t.Errorf("seed %d: %d crashes, %d sends with the part later than 4 s after the fifth", seed, len(f.crashes), late)
		}
		if refused, all := f.soundLate[0], f.soundLate[1]; refused*100 > all*2 {
			t.Errorf("seed %d: %d of %d sound requests refused later than 8 s after the fifth crash", seed, refused, all)
		}
	}
}

// Guards against a sound part that is blamed since late instances take breaks at a server that is down for its next crash.
func TestLateBreakAtDownServerIsNoCrash(t *testing.T) {
	d := New()
	run := func(n int, sentAt clock.Time, shared ...Digest) Run {
		return Run{Digests: []Digest{Digest(n)}, Shared: shared, SentAt: sentAt}
	}
	for i := range 2 {
		at := seconds(float64(1 + i))
		d.RecordSharedCrash(at, run(i, at.Add(-100*time.Millisecond), deadly, secondPart), Server(i), 0)
	}
	sentAt := seconds(2.5)
	d.RecordSharedCrash(sentAt.Add(21*time.Millisecond), run(10, sentAt, secondPart), 1, 15*time.Millisecond)
	if sharedRefused(d, seconds(3), secondPart) {
		t.Error("a sound part is refused since a server was down")
	}
	d.RecordSharedCrash(seconds(4), run(11, seconds(3.9), deadly, secondPart), 2, 0)
	if !sharedRefused(d, seconds(4), deadly, secondPart) || sharedRefused(d, seconds(4), secondPart) {
		t.Error("the part that crashes servers is not told from the sound one")
	}
}
