package poison

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	answerTime = 300 * time.Millisecond
	runTimeout = 8 * time.Second
)

// endingServer is a server at which one run after the other waits.
type endingServer struct {
	server Server
	start  Start
}

func serverN(i int) endingServer { return endingServer{Server(100 + i), Start(1000 + i)} }

// sendTo sends a run to a server that was heard of right before.
func sendTo(d *Detector, s endingServer, at clock.Time, digest Digest, shared ...Digest) *OpenRun {
	d.RecordHeard(at, s.start, at.Add(-100*time.Millisecond))
	return d.BeginRun(s.server, s.start, Run{Digests: []Digest{digest}, Shared: shared, SentAt: at}, at.Add(runTimeout))
}

// silentFor looks for silent servers each 200 ms, and takes each for ended.
func silentFor(d *Detector, from clock.Time, period time.Duration) (now clock.Time, ended int) {
	for now = from; now < from.Add(period); now = now.Add(200 * time.Millisecond) {
		for _, s := range d.CheckSilence(now, answerTime) {
			if d.ConfirmEnd(now, s.Start) > 0 {
				ended++
			}
		}
	}
	return now, ended
}

// Guards against a request, and a part, whose servers fall silent one after the other.
func TestSilentEndsAreCounted(t *testing.T) {
	d := New()
	now := start
	for i := range 3 {
		d.GiveUp(now.Add(1200*time.Millisecond), sendTo(d, serverN(i), now, Digest(50+2*i), deadly, Digest(2000+2*i)))
		now, _ = silentFor(d, now.Add(1200*time.Millisecond), time.Second)
	}
	if c := d.CheckShared(now, []Digest{deadly, firstPart}); !c.Refused {
		t.Error("the part is not refused")
	}
	d = New()
	now = start
	for i := range 3 {
		d.GiveUp(now.Add(1200*time.Millisecond), sendTo(d, serverN(i), now, 7))
		now, _ = silentFor(d, now.Add(1200*time.Millisecond), time.Second)
	}
	if c := d.Check(now, []Digest{7}); !c.Refused {
		t.Error("the request is not refused")
	}
}

// Guards against runs that were given up before their server crashed under them.
func TestGivenUpRunsMeetTheCrash(t *testing.T) {
	for _, tc := range []struct {
		name    string
		after   time.Duration // of the crash, after the run was sent
		counted int
	}{
		{"while the server works on it", 3 * time.Second, 1},
		{"after its deadline", runTimeout + time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			s := serverN(0)
			d.GiveUp(seconds(1.2), sendTo(d, s, start, 7, deadly))
			d.RecordCrash(start.Add(tc.after), []Digest{8}, s.server)
			if n, _ := d.Suspicion(7); n != tc.counted {
				t.Errorf("%d crashes under the run, want %d", n, tc.counted)
			}
		})
	}
}

// Guards against a server that another instance hears of, or that is heard again, and counts as ended.
func TestServerThatIsHeardHasNotEnded(t *testing.T) {
	d := New()
	s := serverN(0)
	d.GiveUp(seconds(1.2), sendTo(d, s, start, 7, deadly))
	d.CheckSilence(seconds(1.2), answerTime)
	d.Merge(seconds(1.4), "peer", Report{Heard: []StartAge{{s.start, 100 * time.Millisecond}}})
	if _, ended := silentFor(d, seconds(1.4), 800*time.Millisecond); ended != 0 {
		t.Error("a server that a peer hears of counts as ended")
	}
	now, ended := silentFor(d, seconds(2.2), 3*time.Second)
	if n, _ := d.Suspicion(7); ended != 1 || n != 1 {
		t.Fatalf("%d ends, %d crashes, want 1", ended, n)
	}
	if !d.RecordHeard(now, s.start, now) {
		t.Error("the crash is not taken back")
	}
	if n, _ := d.Suspicion(7); n != 0 {
		t.Errorf("%d crashes of a server that lives", n)
	}
	if n := d.RecordRestart(now.Add(time.Second), s.start); n != 1 {
		t.Errorf("%d runs met the end that a restart shows later, want 1", n)
	}
}

// Guards against an entry that lapses since its server is cut off from the store only.
func TestLapsedEntries(t *testing.T) {
	for _, tc := range []struct {
		name  string
		heard time.Duration // before the entry lapsed
		ended int
	}{{"silent", 3 * time.Second, 1}, {"goes on", 200 * time.Millisecond, 0}} {
		t.Run(tc.name, func(t *testing.T) {
			d := New()
			s := serverN(0)
			sendTo(d, s, seconds(0), 7, deadly)
			d.RecordHeard(seconds(4), s.start, seconds(4).Add(-tc.heard))
			if n := d.RecordLapse(seconds(4), s.start); n != tc.ended {
				t.Errorf("%d runs met the end, want %d", n, tc.ended)
			}
			if d.RecordReturn(seconds(5), s.start); len(d.shared.crashes) != 0 {
				t.Error("the crash stays though the server is back with the same start")
			}
		})
	}
}

// Guards against an end that is missed since nothing was heard of the server for long before.
func TestRestartShowsTheEnd(t *testing.T) {
	d := New()
	s := serverN(0)
	o := d.BeginRun(s.server, s.start, Run{Digests: []Digest{7}, Shared: []Digest{deadly}, SentAt: start}, seconds(1))
	d.GiveUp(seconds(1), o)
	if _, ended := silentFor(d, seconds(1), 3*time.Second); ended != 0 {
		t.Error("silence alone shows nothing of a server that was silent before")
	}
	if n := d.RecordRestart(seconds(5), s.start); n != 1 {
		t.Errorf("%d runs met the end, want 1", n)
	}
}

// Guards against one silent end that two instances count as two.
func TestSilentEndIsOneCrash(t *testing.T) {
	d, peer := New(), New()
	s := serverN(0)
	sendTo(peer, s, seconds(1.5), 8, deadly)
	peer.RecordRestart(seconds(5), s.start)
	d.Merge(seconds(5), "peer", peer.UntoldCrashes(seconds(5)))
	sendTo(d, s, seconds(0), 7, deadly)
	d.RecordRestart(seconds(5.1), s.start)
	if n := len(d.shared.crashes); n != 1 {
		t.Errorf("%d crashes, want 1", n)
	}
}

// Guards against memory that grows with runs that are given up.
func TestOpenRunsAreForgotten(t *testing.T) {
	d := New()
	for i := range 2 * maxGivenUp {
		o := d.BeginRun(Server(i%7), Start(i%7), Run{Digests: []Digest{Digest(i)}, SentAt: start}, seconds(1))
		if i%2 == 0 {
			d.Settle(o)
			continue
		}
		d.GiveUp(seconds(1), o)
	}
	if d.ends.givenUp != maxGivenUp {
		t.Errorf("%d runs, want %d", d.ends.givenUp, maxGivenUp)
	}
	d.Report(seconds(20))
	if d.ends.givenUp != 0 || len(d.ends.starts) != 0 {
		t.Errorf("%d runs at %d starts are left", d.ends.givenUp, len(d.ends.starts))
	}
}

// Guards against silent ends of which each instance has seen one only.
func TestSilentEndsSeenByDifferentInstances(t *testing.T) {
	instances := []*Detector{New(), New(), New()}
	now := start
	for i, d := range instances {
		sendTo(d, serverN(i), now, Digest(50+2*i), deadly, Digest(2000+2*i))
		now, _ = silentFor(d, now.Add(time.Second), time.Second)
		report := d.UntoldCrashes(now)
		for j, peer := range instances {
			if j != i {
				peer.Merge(now, "peer", report)
			}
		}
	}
	for i, d := range instances {
		if c := d.CheckShared(now, []Digest{deadly, firstPart}); !c.Refused {
			t.Errorf("instance %d does not refuse the part", i)
		}
	}
}
