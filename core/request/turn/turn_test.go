package turn

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/process/rendezvous"
	"oleanderdale.org/core/request/queue"
)

// fakeZones maps availability fakeZones to their instances.
type fakeZones struct {
	process.Members
	instances map[id.Zone][]id.Instance
	order     []id.Zone
}

func (z *fakeZones) InZone(n id.Zone) []id.Instance { return z.instances[n] }
func (z *fakeZones) Zones(queue.Target) []id.Zone   { return z.order }

// harness drives one Entry and notes what it sends and decides. Owners are
// noted by their rank in the zone: z/0 is the first.
type harness struct {
	client    *Client
	zones     *fakeZones
	now       clock.Time
	out       event.Outbox
	log       []string
	lastAsk   message.TurnAsk // the last one sent
	lastOwner id.Instance     // to whom
}

func newHarness() *harness {
	z := &fakeZones{order: []id.Zone{"z", "y"}, instances: map[id.Zone][]id.Instance{"z": {"a", "b"}, "y": {"c"}}}
	return &harness{zones: z, client: New(Settings{}, z, z, &invariant.Checker{}), now: clock.Time(time.Hour)}
}

func (s *harness) rankOf(i id.Instance) string {
	for _, z := range s.zones.order {
		ranked := rendezvous.Rank(queue.Target{Artifact: "m"}.Key(z), s.zones.instances[z], 9)
		if at := slices.Index(ranked, i); at >= 0 {
			return fmt.Sprintf("%s/%d", z, at)
		}
	}
	return "gone"
}

func (s *harness) recordOutput() {
	for _, e := range s.out.Take() {
		p := e.(event.SendPeer)
		switch m := p.Message.(type) {
		case message.TurnAsk:
			s.lastAsk, s.lastOwner = m, p.To
			verb := "ask:"
			if m.Spill {
				verb = "spill:"
			}
			s.log = append(s.log, verb+s.rankOf(p.To))
		case message.TurnDone:
			s.log = append(s.log, fmt.Sprintf("done:%s:%d", s.rankOf(p.To), m.Turn))
		}
	}
	for _, d := range s.client.Decisions() {
		if d.Grant != nil {
			s.log = append(s.log, "GRANTED:"+string(d.Grant.Backend))
			continue
		}
		s.log = append(s.log, fmt.Sprintf("REFUSED:%s:%s", d.Refusal.Reason, d.Refusal.Ran))
	}
}

func (s *harness) acquire(change ...func(*Request)) {
	a := Request{Call: event.Call{Request: "r", Artifact: "m", Deadline: s.now.Add(10 * time.Second)}, Account: "x"}
	for _, f := range change {
		f(&a)
	}
	s.client.Acquire(s.now, a, &s.out)
	s.recordOutput()
}

func (s *harness) advance(d time.Duration) {
	for end := s.now.Add(d); ; {
		if s.client.Next() > end {
			s.now = end
			return
		}
		s.now = max(s.client.Next(), s.now)
		s.client.Tick(s.now, &s.out)
		s.recordOutput()
	}
}

func (s *harness) receive(from id.Instance, m message.Message) {
	s.client.HandleMessage(s.now, from, m, &s.out)
	s.recordOutput()
}

func (s *harness) granted(from id.Instance, turn uint64) {
	s.receive(from, message.TurnGranted{Request: "r", Backend: "b1", Turn: turn})
}

func (s *harness) refused(r queue.Reason) {
	s.receive(s.lastOwner, message.TurnRefused{Request: "r", Reason: string(r), Turn: s.lastAsk.Turn})
}

// The caller's request is decided once, by its deadline, whatever becomes of
// the owners. Each case gives what happens in what order; its name says what
// the entry makes of it.
func TestClient(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(s *harness)
		want  string
	}{
		{"granted and given back once", func(s *harness) {
			s.acquire()
			s.granted(s.lastOwner, 1)
			s.granted(s.lastOwner, 1)
			s.client.Release(s.now, message.TurnDone{Request: "r", Backend: "b1"}, &s.out)
			s.recordOutput()
			s.granted(s.lastOwner, 1)
		}, "ask:z/0 GRANTED:b1 done:z/0:1 done:z/0:1"},
		{"a silent owner is followed by the next in rank; its late grant is given back", func(s *harness) {
			s.acquire()
			first := s.lastOwner
			s.advance(1200 * time.Millisecond)
			s.granted(first, 1)
			s.granted(s.lastOwner, 2)
		}, "ask:z/0 ask:z/0 ask:z/0 done:z/0:1 ask:z/1 done:z/0:1 GRANTED:b1"},
		{"an owner that answers is asked on", func(s *harness) {
			s.acquire()
			for range 3 {
				s.advance(time.Second)
				s.receive(s.lastOwner, message.TurnWaiting{Request: "r", Turn: 1})
			}
		}, "ask:z/0" + strings.Repeat(" ask:z/0", 7)},
		{"an owner that stops passes the request on at once", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonMoved)
		}, "ask:z/0 ask:z/1"},
		{"owners that all stop are not asked in a circle", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonMoved)
			s.refused(queue.ReasonMoved)
			s.refused(queue.ReasonMoved)
			s.advance(400 * time.Millisecond)
		}, "ask:z/0 ask:z/1 ask:y/0 ask:z/0"},
		{"a zone that can't serve it is followed by the next", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonDeadline)
			s.refused(queue.ReasonNoServer)
		}, "ask:z/0 spill:y/0 REFUSED:deadline:not-run"},
		{"no time in one zone, silence from the next: refused soon, not at the deadline", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonDeadline)
			s.advance(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 done:y/0:2 REFUSED:deadline:not-run"},
		{"no time in one zone, taken in by the next", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonDeadline)
			s.receive(s.lastOwner, message.TurnWaiting{Request: "r", Turn: 2})
			s.advance(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 ask:y/0"},
		{"a full queue refuses at once", func(s *harness) {
			s.acquire()
			s.refused(queue.ReasonFull)
		}, "ask:z/0 REFUSED:queue-full:not-run"},
		{"no zone has a server, or an instance", func(s *harness) {
			s.zones.order = nil
			s.acquire()
		}, "REFUSED:no-backend:not-run"},
		{"nobody answers: refused at the deadline; a rerun is not called not-run", func(s *harness) {
			s.acquire(func(a *Request) { a.MayHaveRun, a.Call.Deadline = true, s.now.Add(300*time.Millisecond) })
			s.advance(300 * time.Millisecond)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:unknown"},
		{"a grant that comes at the deadline is given back", func(s *harness) {
			s.acquire()
			s.now = s.now.Add(10 * time.Second)
			s.granted(s.lastOwner, 1)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:not-run"},
		{"the queue goes to an instance that came up", func(s *harness) {
			s.zones.order, s.zones.instances["z"] = []id.Zone{"z"}, []id.Instance{"b"}
			s.acquire()
			for i := 'c'; s.rankOf("b") == "z/0"; i++ {
				s.zones.instances["z"] = append(s.zones.instances["z"], id.Instance(i))
			}
			s.advance(400 * time.Millisecond)
			s.log = s.log[:2]
		}, "ask:z/0 done:z/1:1"},
		{"a second turn of a request voids the first", func(s *harness) {
			s.acquire()
			s.granted(s.lastOwner, 1)
			s.acquire()
			s.granted(s.lastOwner, 1)
			s.granted(s.lastOwner, 2)
			s.client.Cancel(s.now, "r", &s.out)
			s.recordOutput()
		}, "ask:z/0 GRANTED:b1 done:z/0:1 ask:z/0 done:z/0:1 GRANTED:b1 done:z/0:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness()
			c.steps(s)
			if got := strings.Join(s.log, " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if s.client.Next() < s.now {
				t.Errorf("wanted at %d, now is %d", s.client.Next(), s.now)
			}
		})
	}
}

// A grant is used after the caller was due its refusal, as the deadline is not
// looked at: the check must fire.
func TestGrantAfterDeadlineIsDetected(t *testing.T) {
	defer func() {
		if v, ok := recover().(invariant.Violation); !ok || v.Name != "turn-deadline" {
			t.Errorf("got %v, want a violation of turn-deadline", v)
		}
	}()
	s := newHarness()
	s.client.hooks.ignoreDeadline = true
	s.acquire()
	s.now = s.now.Add(10 * time.Second)
	s.granted(s.lastOwner, 1)
}

// An owner's late grant is kept instead of given back: the turn stays taken,
// which a run with the safeguard on does not show.
func TestKeptLateGrantIsDetected(t *testing.T) {
	for _, keep := range []bool{false, true} {
		s := newHarness()
		s.client.hooks.keepLateGrants = keep
		s.granted("a", 7)
		if gaveBack := len(s.log) == 1; gaveBack == keep {
			t.Errorf("safeguard off %t: %v", keep, s.log)
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	s := newHarness()
	a := Request{Call: event.Call{Request: "r", Artifact: "m", Deadline: s.now.Add(time.Second)}, Account: "x"}
	b.ReportAllocs()
	for i := range b.N {
		s.client.Acquire(s.now, a, &s.out)
		to := s.out.Take()[0].(event.SendPeer).To
		s.client.HandleMessage(s.now, to, message.TurnGranted{Request: "r", Backend: "b1", Turn: uint64(i + 1)}, &s.out)
		s.client.Decisions()
		s.client.Release(s.now, message.TurnDone{Request: "r", Backend: "b1"}, &s.out)
		s.out.Take()
	}
}
