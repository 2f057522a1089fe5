package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/serverlimit"
)

const maxMessageDelay = 20 * time.Millisecond

// asRead returns what a receiver makes of what it is told of a server: ages and a remaining time,
// counted from the receipt.
func asRead(sentAt clock.Time, f Feedback) func(now clock.Time, d *Directory) {
	return func(now clock.Time, d *Directory) {
		delay := now.Sub(sentAt)
		if f.Limit != nil {
			said := *f.Limit
			said.At = said.At.Add(delay)
			d.HearLimit("s0", 1, said)
		}
		if f.Brittle != nil {
			said := *f.Brittle
			said.At = said.At.Add(delay)
			d.HearBrittle("g", said)
		}
		if f.Rest > 0 {
			d.RecordRestOfAny(now, "s0", f.Rest)
		}
	}
}

// tellingFleet is instances of which those that heard a server repeat it to all others.
type tellingFleet struct {
	random      *rand.Rand
	directories []*Directory
	heardAt     map[int]clock.Time
	inTransit   []told
}

func newTellingFleet(instances int) *tellingFleet {
	f := &tellingFleet{random: rand.New(rand.NewPCG(2, 66)), heardAt: make(map[int]clock.Time)}
	for range instances {
		f.directories = append(f.directories, newDirectory(1))
	}
	return f
}

// respond lets a server answer an instance, with or without a limit.
func (f *tellingFleet) respond(now clock.Time, to int, limited bool) {
	changed := f.directories[to].RecordLimit("s0", 1, serverlimit.Statement{Limited: limited, At: now})
	if limited || changed {
		f.heardAt[to] = now
	}
	if changed {
		f.tell(now, to)
	}
}

func (f *tellingFleet) tell(now clock.Time, from int) {
	read := asRead(now, f.directories[from].OwnFeedback(now, f.directories[from].Get("s0")))
	for to := range f.directories {
		if to != from {
			delay := time.Millisecond + time.Duration(f.random.Int64N(int64(maxMessageDelay)))
			f.inTransit = append(f.inTransit, told{now.Add(delay), to, read})
		}
	}
}

func (f *tellingFleet) run(from, until clock.Time) {
	for now := from; now < until; now = now.Add(5 * time.Millisecond) {
		kept := f.inTransit[:0]
		for _, m := range f.inTransit {
			if m.at > now {
				kept = append(kept, m)
			} else {
				m.record(now, f.directories[m.to])
			}
		}
		f.inTransit = kept
		for i := range f.directories {
			if at, ok := f.heardAt[i]; ok && now.Sub(at) <= 2500*time.Millisecond && f.random.IntN(40) == 0 {
				f.tell(now, i)
			}
		}
	}
}

func (f *tellingFleet) limited(now clock.Time) (n int) {
	for _, d := range f.directories {
		if d.Get("s0").RateLimited(now) {
			n++
		}
	}
	return n
}

// Guards against a limit that instances keep since others told its last naming on as a younger one.
func TestLiftedLimitIsLearnt(t *testing.T) {
	for _, instances := range []int{3, 9, 36} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			f := newTellingFleet(instances)
			for i := range instances {
				f.respond(start, i, true)
			}
			lifted := start.Add(1100 * time.Millisecond)
			f.run(start, lifted)
			if n := f.limited(lifted); n != instances {
				t.Fatalf("%d of %d know the limit", n, instances)
			}
			f.respond(lifted, 0, false)
			learnt := lifted.Add(2 * maxMessageDelay)
			f.run(lifted, learnt)
			if n := f.limited(learnt); n != 0 {
				t.Errorf("%d of %d keep the limit after all were told that it ended", n, instances)
			}
			end := lifted.Add(5 * time.Second)
			f.run(learnt, end)
			if n := f.limited(end); n != 0 {
				t.Errorf("%d of %d take the limit for named again", n, instances)
			}
		})
	}
}

// Guards against a dispatcher that begins, or was cut off, and learns a limit from nobody, since
// those that it hears were told of it themselves.
func TestLaterDispatcherLearnsLimit(t *testing.T) {
	ended := func(d *Directory) {
		d.RecordLimit("s0", 1, serverlimit.Statement{Limited: true, At: start.Add(-time.Minute)})
		d.RecordLimit("s0", 1, serverlimit.Statement{At: start.Add(-30 * time.Second)})
	}
	for name, before := range map[string]func(d *Directory){"knows nothing": func(*Directory) {}, "knows an earlier end": ended} {
		t.Run(name, func(t *testing.T) {
			first, teller, dispatcher := newDirectory(1), newDirectory(1), newDirectory(1)
			before(dispatcher)
			first.RecordLimit("s0", 1, serverlimit.Statement{Limited: true, PerSecond: 2, At: start})
			asRead(start, first.OwnFeedback(start, first.Get("s0")))(start.Add(maxMessageDelay), teller)
			later := start.Add(5 * time.Second)
			if f := teller.OwnFeedback(later, teller.Get("s0")); f != (Feedback{}) {
				t.Errorf("tells what others heard as its own: %+v", f)
			}
			asRead(later, teller.KnownFeedback(later, teller.Get("s0")))(later.Add(maxMessageDelay), dispatcher)
			known := dispatcher.KnownFeedback(later, dispatcher.Get("s0")).Limit
			if known == nil || !known.Limited || known.PerSecond != 2 || !teller.Get("s0").PacedBy(*known) {
				t.Errorf("knows %+v", known)
			}
		})
	}
}

// Guards against feedback that lasts longer, or is lost, the more instances in a row tell it on.
func TestFeedbackEndsWhereItIsToldOn(t *testing.T) {
	const rest = 3 * time.Second
	first := newDirectory(1)
	first.RecordRest(start, "s0", rest)
	first.RecordRestOfAny(start, "s0", rest)
	first.RecordLimit("s0", 1, serverlimit.Statement{Limited: true, PerSecond: 2, At: start})
	first.RecordBrittle("g", brittle.Statement{Brittle: true, Survived: 8, At: start})
	now, teller := start, first
	for hop := range 6 {
		read, told := asRead(now, teller.KnownFeedback(now, teller.Get("s0"))), newDirectory(1)
		now = now.Add(maxMessageDelay)
		read(now, told)
		earliest := time.Duration(hop) * secondHandAge
		between := func(what string, late time.Duration) {
			if late > maxMessageDelay || late < -earliest {
				t.Errorf("hop %d: %s %v later than it was, want %v to %v", hop, what, late, -earliest, maxMessageDelay)
			}
		}
		s := told.Get("s0")
		between("rest ends", s.RestRemaining(now)-rest+now.Sub(start))
		limit, _ := s.LimitStatement()
		between("limit named", limit.At.Sub(start))
		survived, _ := told.BrittleStatement(now, "g")
		between("rejections named", survived.At.Sub(start))
		if !limit.Limited || limit.PerSecond != 2 || survived.Survived != 8 {
			t.Errorf("hop %d: limit %+v, rejections %+v", hop, limit, survived)
		}
		teller = told
	}
}
