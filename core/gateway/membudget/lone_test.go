package membudget

import (
	"testing"
	"time"
)

// Guards against a request inside the limits that is refused although nothing else is held.
func TestLoneBodyUsesTheReserves(t *testing.T) {
	b := New(21 * mb)
	size := 16 * mb
	if b.KeepsForRetry(size) || !b.CanHold(size) || b.CanHold(20*mb) {
		t.Fatal("16 MB of 21 do not fit, or are held while a response is awaited, or 20 MB fit")
	}
	small, _ := b.openBody(start, SmallBody)
	large, v := b.openBody(start, size)
	if v != Granted {
		t.Fatalf("16 MB in calm: %v", v)
	}
	if _, v := b.openBody(start, mb); v != Waiting {
		t.Errorf("another body beside it: %v", v)
	}
	for range 100 {
		if _, v := b.openBody(start, SmallBody); v != Granted {
			t.Fatalf("a small body beside it: %v", v)
		}
	}
	response := b.Open(Response, 0)
	if v := b.Charge(start, response, Chunk); v != Granted {
		t.Errorf("the response to a small request beside it: %v", v)
	}
	b.Close(start, small)
	b.Close(start, large)
	if got := len(b.Decided()); got != 1 {
		t.Errorf("%d granted once it is gone, want the other body", got)
	}
	checkTotals(t, b)
}

// Guards against a large body that is granted beside others, whose responses then have no room.
func TestLargeBodyWaitsForOthers(t *testing.T) {
	b := New(21 * mb)
	other, _ := b.openBody(start, mb)
	large, v := b.openBody(start, 16*mb)
	if v != Waiting {
		t.Fatalf("16 MB beside another body: %v", v)
	}
	b.Close(start.Add(time.Millisecond), other)
	if got := b.Decided(); len(got) != 1 || got[0] != large {
		t.Errorf("granted %v, want %v", got, large)
	}
}

// Guards against a body of unknown length that is refused in calm, and against two that wait for each other.
func TestLoneBodyOfUnknownLength(t *testing.T) {
	b := New(21 * mb)
	id := b.Open(Body, time.Second)
	b.Grows(id, 16*mb)
	for held := int64(0); held < 16*mb; held += Chunk {
		if v := b.Charge(start, id, Chunk); v != Granted {
			t.Fatalf("%v at %d bytes", v, held)
		}
	}
	b.Complete(start, id)
	b.Close(start, id)
	if s := b.Status(); s.Held != 0 {
		t.Errorf("%d held at the end", s.Held)
	}
}

func TestConnections(t *testing.T) {
	c := NewConnections(100)
	if !c.Charge(60) || c.Charge(60) || c.Missing(60) != 20 || c.Held() != 60 {
		t.Fatal("60 of 100 are not taken once")
	}
	if c.Release(60); !c.Charge(100) {
		t.Error("what was given back is gone")
	}
}
