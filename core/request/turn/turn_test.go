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

// zones maps availability zones to their instances.
type zones struct {
	process.Members
	in    map[id.Zone][]id.Instance
	order []id.Zone
}

func (z *zones) InZone(n id.Zone) []id.Instance { return z.in[n] }
func (z *zones) Zones(queue.Target) []id.Zone   { return z.order }

// script drives one Entry and notes what it sends and decides. Owners are
// noted by their rank in the zone: z/0 is the first.
type script struct {
	t   *Entry
	z   *zones
	now clock.Time
	out event.Outbox
	log []string
	ask message.TurnRequest // the last one sent
	to  id.Instance         // to whom
}

func newScript() *script {
	z := &zones{order: []id.Zone{"z", "y"}, in: map[id.Zone][]id.Instance{"z": {"a", "b"}, "y": {"c"}}}
	return &script{z: z, t: New(Settings{}, z, z, &invariant.Checker{}), now: clock.Time(time.Hour)}
}

func (s *script) rank(i id.Instance) string {
	for _, z := range s.z.order {
		ranked := rendezvous.Rank(queue.Target{Artifact: "m"}.Key(z), s.z.in[z], 9)
		if at := slices.Index(ranked, i); at >= 0 {
			return fmt.Sprintf("%s/%d", z, at)
		}
	}
	return "gone"
}

func (s *script) note() {
	for _, e := range s.out.Take() {
		p := e.(event.SendPeer)
		switch m := p.Message.(type) {
		case message.TurnRequest:
			s.ask, s.to = m, p.To
			verb := "ask:"
			if m.Spillover {
				verb = "spill:"
			}
			s.log = append(s.log, verb+s.rank(p.To))
		case message.TurnRelease:
			s.log = append(s.log, fmt.Sprintf("done:%s:%d", s.rank(p.To), m.Turn))
		}
	}
	for _, d := range s.t.Decisions() {
		if d.Granted != nil {
			s.log = append(s.log, "GRANTED:"+string(d.Granted.Backend))
			continue
		}
		s.log = append(s.log, fmt.Sprintf("REFUSED:%s:%s", d.Refused.Reason, d.Refused.Execution))
	}
}

func (s *script) request(change ...func(*Ask)) {
	a := Ask{Call: event.Call{Request: "r", Artifact: "m", Deadline: s.now.Add(10 * time.Second)}, Account: "x"}
	for _, f := range change {
		f(&a)
	}
	s.t.Request(s.now, a, &s.out)
	s.note()
}

func (s *script) pass(d time.Duration) {
	for end := s.now.Add(d); ; {
		if s.t.Next() > end {
			s.now = end
			return
		}
		s.now = max(s.t.Next(), s.now)
		s.t.Tick(s.now, &s.out)
		s.note()
	}
}

func (s *script) peer(from id.Instance, m message.Message) {
	s.t.Peer(s.now, from, m, &s.out)
	s.note()
}

func (s *script) granted(from id.Instance, turn uint64) {
	s.peer(from, message.TurnGranted{Request: "r", Backend: "b1", Turn: turn})
}

func (s *script) refused(r queue.Reason) {
	s.peer(s.to, message.TurnRefused{Request: "r", Reason: string(r), Turn: s.ask.Turn})
}

// The caller's request is decided once, by its deadline, whatever becomes of
// the owners. Each case gives what happens in what order; its name says what
// the entry makes of it.
func TestEntry(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(s *script)
		want  string
	}{
		{"granted and given back once", func(s *script) {
			s.request()
			s.granted(s.to, 1)
			s.granted(s.to, 1)
			s.t.Done(s.now, message.TurnRelease{Request: "r", Backend: "b1"}, &s.out)
			s.note()
			s.granted(s.to, 1)
		}, "ask:z/0 GRANTED:b1 done:z/0:1 done:z/0:1"},
		{"a silent owner is followed by the next in rank; its late grant is given back", func(s *script) {
			s.request()
			first := s.to
			s.pass(1200 * time.Millisecond)
			s.granted(first, 1)
			s.granted(s.to, 2)
		}, "ask:z/0 ask:z/0 ask:z/0 done:z/0:1 ask:z/1 done:z/0:1 GRANTED:b1"},
		{"an owner that answers is asked on", func(s *script) {
			s.request()
			for range 3 {
				s.pass(time.Second)
				s.peer(s.to, message.TurnQueued{Request: "r", Turn: 1})
			}
		}, "ask:z/0" + strings.Repeat(" ask:z/0", 7)},
		{"an owner that stops passes the request on at once", func(s *script) {
			s.request()
			s.refused(queue.ReasonMoved)
		}, "ask:z/0 ask:z/1"},
		{"owners that all stop are not asked in a circle", func(s *script) {
			s.request()
			s.refused(queue.ReasonMoved)
			s.refused(queue.ReasonMoved)
			s.refused(queue.ReasonMoved)
			s.pass(400 * time.Millisecond)
		}, "ask:z/0 ask:z/1 ask:y/0 ask:z/0"},
		{"a zone that can't serve it is followed by the next", func(s *script) {
			s.request()
			s.refused(queue.ReasonDeadline)
			s.refused(queue.ReasonNoServer)
		}, "ask:z/0 spill:y/0 REFUSED:deadline:not-run"},
		{"no time in one zone, silence from the next: refused soon, not at the deadline", func(s *script) {
			s.request()
			s.refused(queue.ReasonDeadline)
			s.pass(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 done:y/0:2 REFUSED:deadline:not-run"},
		{"no time in one zone, taken in by the next", func(s *script) {
			s.request()
			s.refused(queue.ReasonDeadline)
			s.peer(s.to, message.TurnQueued{Request: "r", Turn: 2})
			s.pass(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 ask:y/0"},
		{"a full queue refuses at once", func(s *script) {
			s.request()
			s.refused(queue.ReasonFull)
		}, "ask:z/0 REFUSED:queue-full:not-run"},
		{"no zone has a server, or an instance", func(s *script) {
			s.z.order = nil
			s.request()
		}, "REFUSED:no-backend:not-run"},
		{"nobody answers: refused at the deadline; a rerun is not called not-run", func(s *script) {
			s.request(func(a *Ask) { a.Ran, a.Call.Deadline = true, s.now.Add(300*time.Millisecond) })
			s.pass(300 * time.Millisecond)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:unknown"},
		{"a grant that comes at the deadline is given back", func(s *script) {
			s.request()
			s.now = s.now.Add(10 * time.Second)
			s.granted(s.to, 1)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:not-run"},
		{"the queue goes to an instance that came up", func(s *script) {
			s.z.order, s.z.in["z"] = []id.Zone{"z"}, []id.Instance{"b"}
			s.request()
			for i := 'c'; s.rank("b") == "z/0"; i++ {
				s.z.in["z"] = append(s.z.in["z"], id.Instance(i))
			}
			s.pass(400 * time.Millisecond)
			s.log = s.log[:2]
		}, "ask:z/0 done:z/1:1"},
		{"a second turn of a request voids the first", func(s *script) {
			s.request()
			s.granted(s.to, 1)
			s.request()
			s.granted(s.to, 1)
			s.granted(s.to, 2)
			s.t.Cancel(s.now, "r", &s.out)
			s.note()
		}, "ask:z/0 GRANTED:b1 done:z/0:1 ask:z/0 done:z/0:1 GRANTED:b1 done:z/0:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			c.steps(s)
			if got := strings.Join(s.log, " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if s.t.Next() < s.now {
				t.Errorf("wanted at %d, now is %d", s.t.Next(), s.now)
			}
		})
	}
}

// A grant is used after the caller was due its refusal, as the deadline is not
// looked at: the check must fire.
func TestDeadlineCheckFires(t *testing.T) {
	defer func() {
		if v, ok := recover().(invariant.Violation); !ok || v.Name != "turn-deadline" {
			t.Errorf("got %v, want a violation of turn-deadline", v)
		}
	}()
	s := newScript()
	s.t.hooks.ignoreDeadline = true
	s.request()
	s.now = s.now.Add(10 * time.Second)
	s.granted(s.to, 1)
}

// An owner's late grant is kept instead of given back: the turn stays taken,
// which a run with the safeguard on does not show.
func TestKeptGrantShows(t *testing.T) {
	for _, keep := range []bool{false, true} {
		s := newScript()
		s.t.hooks.keepLateGrants = keep
		s.granted("a", 7)
		if gaveBack := len(s.log) == 1; gaveBack == keep {
			t.Errorf("safeguard off %t: %v", keep, s.log)
		}
	}
}

func BenchmarkRequestGrantDone(b *testing.B) {
	s := newScript()
	a := Ask{Call: event.Call{Request: "r", Artifact: "m", Deadline: s.now.Add(time.Second)}, Account: "x"}
	b.ReportAllocs()
	for i := range b.N {
		s.t.Request(s.now, a, &s.out)
		to := s.out.Take()[0].(event.SendPeer).To
		s.t.Peer(s.now, to, message.TurnGranted{Request: "r", Backend: "b1", Turn: uint64(i + 1)}, &s.out)
		s.t.Decisions()
		s.t.Done(s.now, message.TurnRelease{Request: "r", Backend: "b1"}, &s.out)
		s.out.Take()
	}
}
