package leader

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// The store is unavailable to all instances for longer than the term. The holder
// continues as long as all voters acknowledge it. When one voter is isolated, which
// might reach the store first and take over, the holder stops before that voter's
// promise expires. It continues when the voter is reachable again.
func TestHolderContinuesDuringStoreOutage(t *testing.T) {
	s := newSimulation(t, 2, 3)
	s.reliable = true
	s.run(5*time.Second, 0)
	holder := s.nodes[0]
	orders := func(d time.Duration) int {
		before := s.orders
		s.run(d, 0)
		return s.orders - before
	}
	s.storeDownUntil = s.now.Add(7 * time.Second)
	s.run(testTerm, 0)
	if n := orders(time.Second); n < 10 {
		t.Fatalf("%d orders in a second without the store", n)
	}
	s.nodes[2].isolatedUntil = s.now.Add(3 * time.Second)
	s.run(testPromise, 0)
	if holder.lease.MayOrder(s.localTime(holder)) {
		t.Error("orders although a voter does not acknowledge the holder")
	}
	s.run(3*time.Second-testPromise, 0)
	s.run(300*time.Millisecond, 0)
	if n := orders(time.Second); n < 10 {
		t.Errorf("%d orders in a second after the voter is reachable again", n)
	}
	s.run(2*time.Second, 0)
	if !holder.lease.MayOrder(s.localTime(holder)) || len(s.holders) != 1 {
		t.Error("the holder did not continue after the outage of the store")
	}
}

// The store is unavailable for longer than a holder may continue without it, so the
// holder stops. No other instance takes over, and when the store is available again,
// the holder continues at once.
func TestHolderResumesAfterLongStoreOutage(t *testing.T) {
	s := newSimulation(t, 2, 3)
	s.run(5*time.Second, 0)
	s.storeDownUntil = s.now.Add(testTerm + testMaxExtension + 2*time.Second)
	s.run(testTerm+testMaxExtension+time.Second, 0)
	if s.nodes[0].lease.MayOrder(s.localTime(s.nodes[0])) {
		t.Fatal("the holder may send orders after the maximum extension")
	}
	s.run(3*time.Second, 0)
	if !s.nodes[0].lease.MayOrder(s.localTime(s.nodes[0])) {
		t.Error("no orders two seconds after the outage of the store")
	}
}

// A renewal that names other voters than the row gets no response and may be applied
// seconds later. Until that is ruled out, the acknowledgments of both sets of voters
// are required.
func TestAcksOfBothVoterSetsRequired(t *testing.T) {
	const now = clock.Time(time.Hour)
	l := New(testSettings("h"), 1, now)
	l.SetVoters([]string{"a"})
	l.HandleRead(now, Row{}, true)
	step := l.Next(now, 0)
	l.HandleWrite(now, step, Done, version(7))
	l.SetVoters([]string{"a", "b"})
	renewAt := now.Add(testTerm / 2)
	step = l.Next(renewAt, 0)
	if step.Action != Write {
		t.Fatalf("step %+v, want a renewal", step)
	}
	l.HandleWrite(renewAt, step, Unknown, version(0))
	announcement, _ := l.Announce(renewAt)
	l.HandleAck("a", Ack{Fencing: announcement.Fencing, Sequence: announcement.Sequence})
	afterTerm := now.Add(testTerm + 100*time.Millisecond)
	if l.Holds(afterTerm) {
		t.Error("holds the lease without an acknowledgment of b, which the row may name")
	}
	l.HandleAck("b", Ack{Fencing: announcement.Fencing, Sequence: announcement.Sequence})
	if !l.Holds(afterTerm) {
		t.Error("does not hold the lease with the acknowledgments of all voters")
	}
	l.HandleRead(afterTerm, Row{Record: Record{Holder: "h", Incarnation: 1, Fencing: 1, Voters: VotersOf([]string{"a"})}, At: version(7)}, true)
	l.acks.ackedAt[voterID("b")] = 0
	if l.Holds(afterTerm) {
		t.Error("holds the lease without an acknowledgment of b, although the write may still be applied")
	}
}

// An instance that may have taken over does not acknowledge the previous holder until
// it has read from the row that its write can no longer be applied.
func TestNoAckDuringTakeover(t *testing.T) {
	const now = clock.Time(time.Hour)
	l := New(testSettings("c"), 1, now)
	row := Record{Holder: "h", Incarnation: 9, Fencing: 3, Voters: VotersOf([]string{"c"})}
	l.HandleAnnouncement(now, Announcement{Fencing: 3, Sequence: 1, Version: 4})
	if _, ok := l.Ack(); ok {
		t.Error("acknowledgment before the row was read: the previous process may have taken over")
	}
	if l.Next(now, 0).Action != Read {
		t.Fatal("the row is not read at the start")
	}
	l.HandleRead(now, Row{Record: row, At: version(4)}, true)
	l.HandleAnnouncement(now, Announcement{Fencing: 3, Sequence: 1, Version: 5})
	if _, ok := l.Ack(); !ok {
		t.Fatal("no acknowledgment of the holder's announcement")
	}
	if l.Next(now.Add(testPromise/2), 0).Action != None {
		t.Fatal("the row is read although the holder's announcements arrive")
	}
	at := now.Add(2 * testTerm)
	if l.Next(at, 0).Action != Read {
		t.Fatal("the row is not read")
	}
	l.HandleRead(at, Row{Record: row, At: version(5)}, true)
	at = at.Add(testTerm)
	step := l.Next(at, 0)
	if step.Action != Write {
		t.Fatalf("step %+v, want a takeover", step)
	}
	l.HandleWrite(at, step, Unknown, version(0))
	l.HandleAnnouncement(at, Announcement{Fencing: 3, Sequence: 2, Version: 5})
	if _, ok := l.Ack(); ok {
		t.Error("acknowledgment of the previous holder although the takeover may still be applied")
	}
	at = at.Add(time.Second)
	if l.Next(at, 0).Action != Read {
		t.Fatal("the row is not read after a write with an unknown result")
	}
	l.HandleRead(at, Row{Record: row, At: version(6)}, true)
	l.HandleAnnouncement(at, Announcement{Fencing: 3, Sequence: 3, Version: 6})
	if _, ok := l.Ack(); !ok {
		t.Error("no acknowledgment of the holder although the takeover can no longer be applied")
	}
}

func version(v int64) revision.Revision { return revision.Revision{Version: v} }
