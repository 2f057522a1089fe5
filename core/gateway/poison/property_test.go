package poison

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

const (
	stepTime     = 100 * time.Millisecond
	soundRunTime = 600 * time.Millisecond
	givenUpAfter = 1200 * time.Millisecond
)

// frozenServers are servers that stand still for a while and then go on, under instances that know nothing of it.
type frozenServers struct {
	now         clock.Time
	detectors   []*Detector
	silentUntil []clock.Time // by server
	open        []*frozenRun
	suspected   int // ends that were confirmed
}

type frozenRun struct {
	*OpenRun
	detector, server int
	left             time.Duration // until it ends, at a server that works
	settled          bool
}

func (f *frozenServers) server(i int) endingServer { return serverN(i) }

func (f *frozenServers) silent(server int) bool { return f.now < f.silentUntil[server] }

func (f *frozenServers) tell(from int, r Report) {
	for to, d := range f.detectors {
		if to != from {
			d.Merge(f.now, fmt.Sprint("peer", from), r)
		}
	}
}

func (f *frozenServers) send(detector, server int, digest Digest, shared []Digest) {
	s := f.server(server)
	o := f.detectors[detector].BeginRun(s.server, s.start, Run{Digests: []Digest{digest}, Shared: shared, SentAt: f.now}, f.now.Add(runTimeout))
	f.open = append(f.open, &frozenRun{OpenRun: o, detector: detector, server: server, left: soundRunTime})
}

// step lets the servers work, the instances read what they send, look for silent ones and tell each other.
func (f *frozenServers) step() {
	f.now = f.now.Add(stepTime)
	for _, r := range f.open {
		d := f.detectors[r.detector]
		if f.silent(r.server) {
			if f.now.Sub(r.SentAt) >= givenUpAfter {
				d.GiveUp(f.now, r.OpenRun)
			}
			continue
		}
		if d.RecordHeard(f.now, f.server(r.server).start, f.now) {
			f.tell(r.detector, d.UntoldCrashes(f.now))
		}
		if r.left -= stepTime; r.left <= 0 {
			d.Settle(r.OpenRun)
			d.RecordSurvival(f.now, r.Shared)
			r.settled = true
		}
	}
	f.dropSettled()
	for i, d := range f.detectors {
		for _, s := range d.CheckSilence(f.now, answerTime) {
			if server := int(s.Server) - 100; !f.silent(server) {
				d.RecordHeard(f.now, s.Start, f.now)
			} else if d.ConfirmEnd(f.now, s.Start) > 0 {
				f.suspected++
			}
		}
		f.tell(i, d.UntoldCrashes(f.now))
		f.tell(i, d.Report(f.now))
	}
}

func (f *frozenServers) dropSettled() {
	kept := f.open[:0]
	for _, r := range f.open {
		if !r.settled {
			kept = append(kept, r)
		}
	}
	f.open = kept
}

// Guards against sound requests and parts that stay refused since their servers stood still and went on.
func TestServersThatGoOnMakeNothingSuspect(t *testing.T) {
	suspected := 0
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 6).Draw(t, "servers")
		f := &frozenServers{now: start, silentUntil: make([]clock.Time, servers)}
		for range rapid.IntRange(1, 3).Draw(t, "instances") {
			f.detectors = append(f.detectors, New())
		}
		parts := []Digest{firstPart, secondPart, otherFirst}
		digests := []Digest{50, 52, 54}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "sends") {
				f.send(rapid.IntRange(0, len(f.detectors)-1).Draw(t, "instance"), rapid.IntRange(0, servers-1).Draw(t, "server"),
					rapid.SampledFrom(digests).Draw(t, "request"), []Digest{rapid.SampledFrom(parts).Draw(t, "part"), model})
			}
			if rapid.IntRange(0, 9).Draw(t, "stands still") == 0 {
				server := rapid.IntRange(0, servers-1).Draw(t, "which")
				f.silentUntil[server] = f.now.Add(time.Duration(rapid.IntRange(3, 45).Draw(t, "tenths of a second")) * 100 * time.Millisecond)
			}
			f.step()
		}
		for range int(8 * time.Second / stepTime) { // all go on, and what waits there is heard of
			f.step()
		}
		suspected += f.suspected
		for i, d := range f.detectors {
			for _, part := range parts {
				if c := d.CheckShared(f.now, []Digest{part, model}); c.Refused {
					t.Errorf("instance %d refuses part %d", i, part)
				}
			}
			for _, digest := range digests {
				if c := d.Check(f.now, []Digest{digest}); c.Refused {
					n, _ := d.Suspicion(digest)
					t.Errorf("instance %d refuses request %d, after %d crashes", i, digest, n)
				}
			}
		}
	})
	if suspected == 0 {
		t.Error("no server was taken for ended, so the test proves nothing")
	}
	t.Logf("%d times a server was taken for ended", suspected)
}
