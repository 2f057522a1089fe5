package brittle

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

func after(ms int) clock.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fakeServer runs and queues requests, in steps of a millisecond.
type fakeServer struct {
	slots, room int   // room: requests that run or wait
	running     []int // remaining milliseconds
	waiting     int
	served      int
	rejections  []int // times in milliseconds
}

const fakeWorkMS = 15

func (f *fakeServer) step() {
	kept := f.running[:0]
	for _, left := range f.running {
		if left > 1 {
			kept = append(kept, left-1)
		} else {
			f.served++
		}
	}
	f.running = kept
	for f.waiting > 0 && len(f.running) < f.slots {
		f.waiting--
		f.running = append(f.running, fakeWorkMS)
	}
}

// arrive reports whether the server accepts a request.
func (f *fakeServer) arrive(ms int) bool {
	if len(f.running)+f.waiting >= f.room {
		f.rejections = append(f.rejections, ms)
		return false
	}
	f.waiting++
	return true
}

// worstSecond returns the most rejections within a second.
func (f *fakeServer) worstSecond() int {
	worst, first := 0, 0
	for i, at := range f.rejections {
		for at-f.rejections[first] >= 1000 {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// Guards against a brittle server that has to reject more requests in a second than it survives,
// while more requests wait than it can take.
func TestOverloadCausesFewRejections(t *testing.T) {
	const playedMS, transitMS = 20_000, 2
	for _, survived := range []int{1, 3, 8} {
		for room := 6; room <= 9; room++ {
			f := &fakeServer{slots: 6, room: room}
			b, s := &Bound{}, Statement{Brittle: true, Survived: survived}
			var onTheWay []int // times of arrival
			for ms := range playedMS {
				f.step()
				for len(onTheWay) > 0 && onTheWay[0] == ms {
					onTheWay = onTheWay[1:]
					if !f.arrive(ms) {
						b.RecordRejection(after(ms), f.slots)
					}
				}
				for b.Allows(after(ms), s, f.slots, len(f.running)+f.waiting+len(onTheWay)) {
					onTheWay = append(onTheWay, ms+transitMS)
				}
			}
			if worst := f.worstSecond(); worst > survived {
				t.Errorf("room for %d: %d rejections in a second, %d survived", room, worst, survived)
			}
			if possible := playedMS * f.slots / fakeWorkMS; f.served < possible*8/10 {
				t.Errorf("room for %d, %d survived: served %d of %d", room, survived, f.served, possible)
			}
		}
	}
}

// Guards against a statement that is ended by an answer of the same moment, and one that never ends.
func TestStatementEnds(t *testing.T) {
	var g Group
	if _, ok := g.Last(start); ok {
		t.Error("brittle without a statement")
	}
	if !g.Record(Statement{Brittle: true, Survived: 3, At: start}) {
		t.Error("a first statement changed nothing")
	}
	if g.Record(Statement{At: after(100)}) {
		t.Error("an answer of the same moment ended the statement")
	}
	if s, ok := g.Last(after(9000)); !ok || s.Survived != 3 {
		t.Errorf("statement %+v, %t", s, ok)
	}
	if _, ok := g.Last(after(10_001)); ok {
		t.Error("holds for ever")
	}
	if !g.Record(Statement{At: after(1001)}) {
		t.Error("a later answer did not end the statement")
	}
	if _, ok := g.Last(after(1001)); ok {
		t.Error("still brittle")
	}
}
