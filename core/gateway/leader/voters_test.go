package leader

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/revision"
)

// The store is away for all, for longer than the term. The holder goes on as
// long as all others say that they hear it. When one is cut off, which may
// reach the store again first and take over, the holder stops before that one's
// promise is over; when it is back, the holder goes on.
func TestHolderGoesOnWhileTheStoreIsAway(t *testing.T) {
	p := newPlay(t, 2, 3)
	p.calm = true
	p.run(5*time.Second, 0)
	holder := p.nodes[0]
	orders := func(d time.Duration) int {
		before := p.orders
		p.run(d, 0)
		return p.orders - before
	}
	p.down = p.now.Add(7 * time.Second)
	p.run(testTerm, 0)
	if n := orders(time.Second); n < 10 {
		t.Fatalf("%d orders in a second without the store", n)
	}
	p.nodes[2].alone = p.now.Add(3 * time.Second)
	p.run(testPromise, 0)
	if holder.lease.MayOrder(p.local(holder)) {
		t.Error("orders while a voter does not hear the holder")
	}
	p.run(3*time.Second-testPromise, 0)
	p.run(300*time.Millisecond, 0)
	if n := orders(time.Second); n < 10 {
		t.Errorf("%d orders in a second when the voter is back", n)
	}
	p.run(2*time.Second, 0)
	if !holder.lease.MayOrder(p.local(holder)) || len(p.holders) != 1 {
		t.Error("the holder did not go on when the store was back")
	}
}

// The store is away for longer than a holder ever goes on without it. The
// holder stops; when the store is back and nobody took over, it goes on at once.
func TestHolderReturnsWithTheStore(t *testing.T) {
	p := newPlay(t, 2, 3)
	p.run(5*time.Second, 0)
	p.down = p.now.Add(testTerm + testBeyond + 2*time.Second)
	p.run(testTerm+testBeyond+time.Second, 0)
	if p.nodes[0].lease.MayOrder(p.local(p.nodes[0])) {
		t.Fatal("orders without the store for longer than allowed")
	}
	p.run(3*time.Second, 0)
	if !p.nodes[0].lease.MayOrder(p.local(p.nodes[0])) {
		t.Error("no orders two seconds after the store's return")
	}
}

// A row names voters as they were when it was written. A write that names others
// has no answer, and may be carried out seconds later. Until that is ruled out,
// the word of both sets is needed.
func TestBothSetsOfVotersCount(t *testing.T) {
	const now = clock.Time(time.Hour)
	l := New(settings("h"), 1, now)
	l.SetVoters([]string{"a"})
	l.HandleRead(now, Row{}, true)
	step := l.Next(now, 0)
	l.HandleWrite(now, step, Done, version(7))
	l.SetVoters([]string{"a", "b"})
	later := now.Add(testTerm / 2)
	step = l.Next(later, 0)
	if step.Action != Write {
		t.Fatalf("step %+v, want a renewal", step)
	}
	l.HandleWrite(later, step, Unknown, version(0))
	c, _ := l.Announce(later)
	l.HandleAck("a", Ack{Fencing: c.Fencing, Sequence: c.Sequence})
	past := now.Add(testTerm + 100*time.Millisecond)
	if l.Holds(past) {
		t.Error("holds without the word of b, which the row may name")
	}
	l.HandleAck("b", Ack{Fencing: c.Fencing, Sequence: c.Sequence})
	if !l.Holds(past) {
		t.Error("does not hold with the word of all")
	}
	l.HandleRead(past, Row{Record: Record{Holder: "h", Incarnation: 1, Fencing: 1, Voters: VotersOf([]string{"a"})}, At: version(7)}, true)
	l.votes.acked[voterOf("b")] = 0
	if l.Holds(past) {
		t.Error("holds without the word of b, and the write may still be carried out")
	}
}

// An instance that may have taken over gives the old holder no word, until it
// has read that its write can't be carried out any more.
func TestTakerGivesNoWord(t *testing.T) {
	const now = clock.Time(time.Hour)
	l := New(settings("c"), 1, now)
	row := Record{Holder: "h", Incarnation: 9, Fencing: 3, Voters: VotersOf([]string{"c"})}
	l.HandleAnnouncement(now, Announcement{Fencing: 3, Sequence: 1, Version: 4})
	if _, ok := l.Ack(); ok {
		t.Error("a word before the row was read: the process before may have taken over")
	}
	if l.Next(now, 0).Action != Read {
		t.Fatal("the row is not read at the start")
	}
	l.HandleRead(now, Row{Record: row, At: version(4)}, true)
	l.HandleAnnouncement(now, Announcement{Fencing: 3, Sequence: 1, Version: 5})
	if _, ok := l.Ack(); !ok {
		t.Fatal("no word to a holder that is heard")
	}
	if l.Next(now.Add(testPromise/2), 0).Action != None {
		t.Fatal("the row is read while the holder is heard")
	}
	at := now.Add(2 * testTerm)
	if l.Next(at, 0).Action != Read {
		t.Fatal("the row is not read")
	}
	l.HandleRead(at, Row{Record: row, At: version(5)}, true)
	at = at.Add(testTerm)
	step := l.Next(at, 0)
	if step.Action != Write {
		t.Fatalf("step %+v, want to take over", step)
	}
	l.HandleWrite(at, step, Unknown, version(0))
	l.HandleAnnouncement(at, Announcement{Fencing: 3, Sequence: 2, Version: 5})
	if _, ok := l.Ack(); ok {
		t.Error("a word to the old holder, and the write may be carried out")
	}
	at = at.Add(time.Second)
	if l.Next(at, 0).Action != Read {
		t.Fatal("the row is not read to find out")
	}
	l.HandleRead(at, Row{Record: row, At: version(6)}, true)
	l.HandleAnnouncement(at, Announcement{Fencing: 3, Sequence: 3, Version: 6})
	if _, ok := l.Ack(); !ok {
		t.Error("no word to the holder, though the write can't be carried out")
	}
}

func version(v int64) revision.Revision { return revision.Revision{Version: v} }
