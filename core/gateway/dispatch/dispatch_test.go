package dispatch

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

const start = clock.Time(time.Minute)

// two returns a dispatcher before two servers of two slots.
func newDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
	dir := directory.New()
	for _, id := range []string{"a", "b"} {
		dir.Put(start, directory.Entry{ID: id, Zone: "z", Group: "g", Incarnation: 1, Slots: 2, LoadedModels: []directory.LoadedModel{{Model: "busy"}}})
	}
	return New("self", dir)
}

func queryMessage(number uint64, priority int, open ...uint64) Message {
	return Message{From: "n", Incarnation: 1, Sequence: number, OpenQueries: open, Query: &Query{Number: number, Requirements: need, Priority: priority}}
}

// fill lets four requests go, two to each server: more wait.
func fill(t *testing.T, d *Dispatcher) {
	t.Helper()
	var open []uint64
	for n := uint64(1); n <= 4; n++ {
		open = append(open, n)
		if r, ok := d.HandleMessage(start, queryMessage(n, 5, open...)); !ok || r.Decision != Granted {
			t.Fatalf("ask %d: %v", n, r.Decision)
		}
	}
}

// All servers are full. An urgent request that comes last is let go first.
func TestHigherPriorityIsGrantedFirst(t *testing.T) {
	d := newDispatcher(t)
	fill(t, d)
	m := queryMessage(7, 5, 1, 2, 3, 4, 5, 6, 7)
	if r, _ := d.HandleMessage(start, m); r.Decision != Queued {
		t.Fatalf("verdict %v", r.Decision)
	}
	if r, _ := d.HandleMessage(start, queryMessage(8, 0, 1, 2, 3, 4, 5, 6, 7, 8)); r.Decision != Queued {
		t.Fatalf("verdict %v", r.Decision)
	}
	if got := d.ServeQueues(start); len(got) != 0 {
		t.Fatalf("let go: %+v", got)
	}
	d.HandleMessage(start, Message{From: "n", Incarnation: 1, Sequence: 9, OpenQueries: []uint64{2, 3, 4, 5, 6, 7, 8}}) // 1 has ended
	got := d.ServeQueues(start)
	if len(got) != 1 || got[0].Number != 8 {
		t.Errorf("let go: %+v", got)
	}
}

// A reply is lost, and the request asks again. It gets the same server, and counts
// once.
func TestRepeatedQueryCountsOnce(t *testing.T) {
	d := newDispatcher(t)
	first, _ := d.HandleMessage(start, queryMessage(1, 5, 1))
	again := queryMessage(1, 5, 1)
	again.Sequence = 2
	second, _ := d.HandleMessage(start, again)
	if first.Choice.Server != second.Choice.Server {
		t.Errorf("%s, then %s", first.Choice.Server.ID, second.Choice.Server.ID)
	}
	if n := first.Choice.Server.Running(); n != 1 {
		t.Errorf("counted %d times", n)
	}
}

// The caller of a queued request left; nothing says so but the next message of its
// instance. It is not let go.
func TestAbandonedQueryIsNotGranted(t *testing.T) {
	d := newDispatcher(t)
	fill(t, d)
	d.HandleMessage(start, queryMessage(7, 5, 1, 2, 3, 4, 5, 6, 7))
	d.HandleMessage(start, Message{From: "n", Incarnation: 1, Sequence: 8, OpenQueries: []uint64{2, 3, 4, 5, 6}})
	if got := d.ServeQueues(start); len(got) != 0 || d.QueueLength() != 0 {
		t.Errorf("let go: %+v, %d wait", got, d.QueueLength())
	}
}

// A message that was overtaken by a newer one does not bring ended requests back.
func TestStaleMessageIsIgnored(t *testing.T) {
	d := newDispatcher(t)
	d.HandleMessage(start, Message{From: "n", Incarnation: 1, Sequence: 5})
	d.HandleMessage(start, Message{From: "n", Incarnation: 1, Sequence: 4, Running: map[string]map[string]int{"a": {"busy": 2}}})
	if n := d.dir.Get("a").Running(); n != 0 {
		t.Errorf("%d counted", n)
	}
}

// An instance is started again: its numbers begin anew, and what the old process
// had under way counts no more.
func TestRestartedInstance(t *testing.T) {
	d := newDispatcher(t)
	fill(t, d)
	m := queryMessage(1, 5, 1)
	m.Incarnation = 2
	if r, _ := d.HandleMessage(start, m); r.Decision != Granted {
		t.Errorf("verdict %v", r.Decision)
	}
	if n := d.dir.Get("a").Running() + d.dir.Get("b").Running(); n != 1 {
		t.Errorf("%d counted", n)
	}
}

// No server holds the model any more while requests wait for room. They are told,
// so that they wait for the model instead.
func TestModelUnloadedWhileQueued(t *testing.T) {
	d := newDispatcher(t)
	fill(t, d)
	d.HandleMessage(start, queryMessage(7, 5, 1, 2, 3, 4, 5, 6, 7))
	for _, id := range []string{"a", "b"} {
		d.dir.SetLoadedModels(start, id, 1, nil)
	}
	got := d.ServeQueues(start)
	if len(got) != 1 || got[0].Decision != NoCandidate {
		t.Errorf("replies %+v", got)
	}
}

// A dispatcher is silent. One request in half a second finds out whether it is
// back; the others are not delayed.
func TestUnresponsiveDispatcherIsProbed(t *testing.T) {
	c := NewClient()
	if !c.ShouldQuery(start, "d") {
		t.Fatal("not asked at first")
	}
	c.MarkUnresponsive(start, "d")
	if c.ShouldQuery(start.Add(probeInterval/2), "d") {
		t.Error("asked while doubted")
	}
	later := start.Add(probeInterval)
	if !c.ShouldQuery(later, "d") || c.ShouldQuery(later, "d") {
		t.Error("not asked by exactly one")
	}
	if c.MarkResponsive("d"); !c.ShouldQuery(later, "d") {
		t.Error("not asked though it answers")
	}
}

// A server fails all that it is sent. Two hundred instances have one or two requests
// on it each, too few to tell; together they have it set aside after a few.
func TestFailuresAddUpOverInstances(t *testing.T) {
	d := newDispatcher(t)
	for i := range 6 {
		m := Message{From: string(rune('n' + i)), Incarnation: 1, Sequence: 1, Ended: &EndedRequest{Server: "a", Born: 1, Outcome: directory.Failed}}
		d.HandleMessage(start, m)
	}
	for n := uint64(1); n <= 2; n++ {
		if r, _ := d.HandleMessage(start, queryMessage(n, 5, n)); r.Choice.Server == nil || r.Choice.Server.ID != "b" {
			t.Errorf("ask %d: %+v", n, r)
		}
	}
}
