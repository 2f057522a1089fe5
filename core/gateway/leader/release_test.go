package leader

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

// The store is restored from a snapshot while the holder is gone. Orders resume after a
// term and the quiet period if all instances release the holder, and otherwise only after
// the longest lease of an earlier holder.
func TestWaitAfterRestore(t *testing.T) {
	const (
		shortest = testTerm + testQuietPeriod
		longest  = testTerm + testMaxExtension + testQuietPeriod
		slack    = 3 * time.Second // holder timeout, promises and messages
	)
	restartHolder := func(s *simulation) { s.start(s.nodes[0]) }
	for _, c := range []struct {
		name    string
		minWait time.Duration
		change  func(s *simulation)
	}{
		{"holder restarts", shortest, restartHolder},
		{"holder stops as planned", shortest, func(s *simulation) { s.nodes[0].lease.Stop(); s.run(300*time.Millisecond, 0) }},
		{"holder is suspended", longest, func(s *simulation) { s.nodes[0].frozenUntil = clock.Never }},
		{"another instance is suspended", longest, func(s *simulation) { restartHolder(s); s.nodes[2].frozenUntil = clock.Never }},
		{"new process of the holder is not heard", longest, func(s *simulation) { restartHolder(s); s.nodes[0].isolatedUntil = clock.Never }},
		{"an instance sends no releases", longest, func(s *simulation) { restartHolder(s); s.nodes[2].oldVersion = true }},
		{"all processes restart", testTerm + testMaxExtension, func(s *simulation) { // they have heard the others for long enough after this time
			for _, n := range s.nodes {
				s.start(n)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, 3, 3)
			s.reliable = true
			s.run(20*time.Second, 0)
			s.store.takeSnapshot()
			c.change(s)
			s.store.restoreSnapshot()
			restored, orders := s.now, s.orders
			for s.orders == orders && s.now.Sub(restored) < time.Minute {
				s.run(10*time.Millisecond, 0)
			}
			if wait := s.now.Sub(restored); wait < c.minWait || wait > c.minWait+slack {
				t.Errorf("orders %v after the restore, want %v to %v", wait, c.minWait, c.minWait+slack)
			}
		})
	}
}

// The store is restored again during the wait. The wait begins anew with the second era,
// and releases for the first one don't count.
func TestSecondRestoreBeginsWaitAnew(t *testing.T) {
	s := newSimulation(t, 3, 3)
	s.reliable = true
	s.run(20*time.Second, 0)
	s.store.takeSnapshot()
	s.start(s.nodes[0])
	s.store.restoreSnapshot()
	s.run(2*time.Second, 0)
	s.store.restoreSnapshot()
	restored, orders := s.now, s.orders
	for s.orders == orders && s.now.Sub(restored) < time.Minute {
		s.run(10*time.Millisecond, 0)
	}
	if wait := s.now.Sub(restored); wait < testTerm+testQuietPeriod || wait > testTerm+testMaxExtension {
		t.Errorf("orders %v after the second restore", wait)
	}
}

// A voter releases the holder of an earlier era whose announcement is still in transit. If
// it acknowledged it, the holder would continue beside a candidate that has the release and
// does not know the holder. The same holds for the next process on the voter's machine.
func TestNoAckAfterRelease(t *testing.T) {
	const now = clock.Time(time.Hour)
	announcement := Announcement{Fencing: firstFencing(4), Sequence: 7, Version: 3}
	readRow := func(l *Lease, now clock.Time, era int64) {
		row := Row{Earlier: true}
		row.At.Era = era
		l.HandleRead(now, row, true)
	}
	l := New(testSettings("v"), 1, now)
	readRow(l, now, 4)
	l.ObserveEra(now, 5)
	l.HandleAnnouncement(now, announcement)
	if _, ok := l.Ack(); !ok {
		t.Fatal("no acknowledgment of the holder of the previous era before the release")
	}
	if _, ok := l.Release(now.Add(testPromise)); ok {
		t.Error("release although the last acknowledgment may still extend the lease")
	}
	released := now.Add(testPromise + time.Second)
	if era, ok := l.Release(released); !ok || era != 5 {
		t.Fatalf("release for era %d, %v", era, ok)
	}
	announcement.Sequence++
	l.HandleAnnouncement(released, announcement)
	if ack, _ := l.Ack(); ack.Sequence == announcement.Sequence {
		t.Error("acknowledgment after the release")
	}
	next := New(testSettings("v"), 2, released)
	if _, ok := next.Release(released); ok {
		t.Error("release by a process that has just started")
	}
	readRow(next, released, 5)
	next.HandleAnnouncement(released, announcement)
	if _, ok := next.Ack(); ok {
		t.Error("the next process acknowledges the released holder")
	}
	announcement.Fencing = firstFencing(5)
	next.HandleAnnouncement(released, announcement)
	if _, ok := next.Ack(); !ok {
		t.Error("no acknowledgment of the holder of the current era")
	}
}

// A holder continues by the acknowledgments of its voters until it stops as planned. The
// quiet period counts from its stop.
func TestQuietPeriodAfterPlannedStop(t *testing.T) {
	const start = clock.Time(time.Hour)
	l := New(testSettings("c"), 1, start)
	l.ObserveEra(start, 4)
	l.ObserveEra(start, 5)
	now := start.Add(testTerm + testMaxExtension + time.Second)
	row := Row{Earlier: true}
	row.At.Era = 5
	l.HandleRead(now, row, true)
	l.SetPeers(now, []string{"h", "v"}, 5)
	l.HandlePeerStatus(now, "v", 1, PeerStatus{Released: true, Era: 5})
	stopped := now.Add(2 * testTerm)
	if end, ok := l.releasedEnd(stopped); ok {
		t.Fatalf("the lease of an instance that is not heard ends at %v", end)
	}
	l.HandlePeerStatus(stopped, "h", 1, PeerStatus{Stopped: true})
	l.HandlePeerStatus(stopped.Add(time.Second), "h", 1, PeerStatus{Stopped: true})
	if end, ok := l.releasedEnd(stopped.Add(time.Second)); !ok || end != stopped {
		t.Errorf("the earlier leases end at %v, %v, want %v", end, ok, stopped)
	}
}

// Another process of an instance starts after a release. The release does not count for the
// new process, which may run a version that is not bound by it, until it sends its own.
func TestReleaseOfPreviousProcessDoesNotCount(t *testing.T) {
	const start = clock.Time(time.Hour)
	l := New(testSettings("c"), 1, start)
	l.ObserveEra(start, 4)
	l.ObserveEra(start, 5)
	row := Row{Earlier: true}
	row.At.Era = 5
	l.HandleRead(start, row, true)
	now := start.Add(testTerm + testMaxExtension + time.Second)
	l.versionSeenAt = now.Add(-testTerm)
	l.SetPeers(now, []string{"v"}, 5)
	l.HandlePeerStatus(now, "v", 1, PeerStatus{Released: true, Era: 5})
	if _, ok := l.releasedEnd(now); !ok {
		t.Fatal("the releases of all instances don't count")
	}
	l.HandlePeerStatus(now, "v", 2, PeerStatus{})
	if _, ok := l.releasedEnd(now); ok {
		t.Error("the release of the previous process counts")
	}
	l.HandlePeerStatus(now, "v", 2, PeerStatus{Released: true, Era: 5})
	l.SetPeers(now, []string{"v", "w"}, 5)
	if _, ok := l.releasedEnd(now); ok {
		t.Error("the release of an instance that the store lists is not required")
	}
}

// Guards against two machines that send orders when holders leave the lease to others, and take
// part again, under all other faults.
func TestSingleHolderWhileHoldersYield(t *testing.T) {
	changed := 0 // seeds in which several nodes sent orders
	for seed := range uint64(200) {
		s := newSimulation(t, seed, 3)
		for range 60 {
			for _, n := range s.nodes {
				n.lease.SetYielding(s.rng.IntN(4) == 0)
			}
			s.run(time.Second, 40)
		}
		if len(s.holders) > 1 {
			changed++
		}
	}
	if changed < 50 {
		t.Errorf("orders of several holders in %d of 200 seeds: the simulation proves nothing", changed)
	}
}
