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

// fakeZones maps availability zones to their instances.
type fakeZones struct {
	process.Members
	instances map[id.Zone][]id.Instance
	order     []id.Zone // zones in the order in which they are asked
}

func (z *fakeZones) InZone(n id.Zone) []id.Instance { return z.instances[n] }
func (z *fakeZones) Zones(queue.Target) []id.Zone   { return z.order }

// harness drives one Client and records what it sends and decides. An owner is
// recorded by its rank in the zone: z/0 is the first.
type harness struct {
	client    *Client
	zones     *fakeZones
	now       clock.Time
	out       event.Outbox
	log       []string
	lastAsk   message.TurnRequest // last request that was sent
	lastOwner id.Instance         // owner that it was sent to
}

func newHarness() *harness {
	z := &fakeZones{order: []id.Zone{"z", "y"}, instances: map[id.Zone][]id.Instance{"z": {"a", "b"}, "y": {"c"}}}
	return &harness{zones: z, client: New(Settings{}, z, z, &invariant.Checker{}), now: clock.Time(time.Hour)}
}

// rankOf returns the zone and rank of an instance.
func (h *harness) rankOf(i id.Instance) string {
	for _, z := range h.zones.order {
		ranked := rendezvous.Rank(queue.Target{Artifact: "m"}.Key(z), h.zones.instances[z], 9)
		if at := slices.Index(ranked, i); at >= 0 {
			return fmt.Sprintf("%s/%d", z, at)
		}
	}
	return "gone"
}

// recordOutput appends the messages and decisions since the last call to log.
func (h *harness) recordOutput() {
	for _, e := range h.out.Take() {
		p := e.(event.SendPeer)
		switch m := p.Message.(type) {
		case message.TurnRequest:
			h.lastAsk, h.lastOwner = m, p.To
			verb := "ask:"
			if m.Spillover {
				verb = "spill:"
			}
			h.log = append(h.log, verb+h.rankOf(p.To))
		case message.TurnRelease:
			h.log = append(h.log, fmt.Sprintf("done:%s:%d", h.rankOf(p.To), m.Turn))
		}
	}
	for _, d := range h.client.Decisions() {
		if d.Grant != nil {
			h.log = append(h.log, "GRANTED:"+string(d.Grant.Backend))
			continue
		}
		h.log = append(h.log, fmt.Sprintf("REFUSED:%s:%s", d.Refusal.Reason, d.Refusal.Execution))
	}
}

func (h *harness) acquire(change ...func(*Request)) {
	req := Request{Call: event.Call{Request: "r", Artifact: "m", Deadline: h.now.Add(10 * time.Second)}, Account: "x"}
	for _, f := range change {
		f(&req)
	}
	h.client.Acquire(h.now, req, &h.out)
	h.recordOutput()
}

// advance moves the time forward by d and calls Tick when it is due.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); ; {
		if h.client.Next() > end {
			h.now = end
			return
		}
		h.now = max(h.client.Next(), h.now)
		h.client.Tick(h.now, &h.out)
		h.recordOutput()
	}
}

func (h *harness) receive(from id.Instance, m message.Message) {
	h.client.HandleMessage(h.now, from, m, &h.out)
	h.recordOutput()
}

func (h *harness) granted(from id.Instance, turn uint64) {
	h.receive(from, message.TurnGranted{Request: "r", Backend: "b1", Turn: turn})
}

func (h *harness) refused(r queue.Reason) {
	h.receive(h.lastOwner, message.TurnRefused{Request: "r", Reason: string(r), Turn: h.lastAsk.Turn})
}

// Each request is decided once, by its deadline, regardless of failures of the owners.
// The log of each case shows the order of events.
func TestClient(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(h *harness)
		want  string
	}{
		{"a turn is granted and given back once", func(h *harness) {
			h.acquire()
			h.granted(h.lastOwner, 1)
			h.granted(h.lastOwner, 1)
			h.client.Release(h.now, message.TurnRelease{Request: "r", Backend: "b1"}, &h.out)
			h.recordOutput()
			h.granted(h.lastOwner, 1)
		}, "ask:z/0 GRANTED:b1 done:z/0:1 done:z/0:1"},
		{"if an owner does not answer, the next in rank is asked; a late grant is given back", func(h *harness) {
			h.acquire()
			first := h.lastOwner
			h.advance(1200 * time.Millisecond)
			h.granted(first, 1)
			h.granted(h.lastOwner, 2)
		}, "ask:z/0 ask:z/0 ask:z/0 done:z/0:1 ask:z/1 done:z/0:1 GRANTED:b1"},
		{"an owner that answers is asked again", func(h *harness) {
			h.acquire()
			for range 3 {
				h.advance(time.Second)
				h.receive(h.lastOwner, message.TurnQueued{Request: "r", Turn: 1})
			}
		}, "ask:z/0" + strings.Repeat(" ask:z/0", 7)},
		{"if an owner is stopping, the next one is asked at once", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonMoved)
		}, "ask:z/0 ask:z/1"},
		{"if all owners are stopping, they are asked again only after RetryInterval", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonMoved)
			h.refused(queue.ReasonMoved)
			h.refused(queue.ReasonMoved)
			h.advance(400 * time.Millisecond)
		}, "ask:z/0 ask:z/1 ask:y/0 ask:z/0"},
		{"if a zone can't serve the request, the next one is asked", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonDeadline)
			h.refused(queue.ReasonNoServer)
		}, "ask:z/0 spill:y/0 REFUSED:deadline:not-run"},
		{"refused by one zone for lack of time, no answer from the next: refused before the deadline", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonDeadline)
			h.advance(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 done:y/0:2 REFUSED:deadline:not-run"},
		{"refused by one zone for lack of time, accepted by the next", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonDeadline)
			h.receive(h.lastOwner, message.TurnQueued{Request: "r", Turn: 2})
			h.advance(400 * time.Millisecond)
		}, "ask:z/0 spill:y/0 ask:y/0"},
		{"a request is refused at once if the queue is full", func(h *harness) {
			h.acquire()
			h.refused(queue.ReasonFull)
		}, "ask:z/0 REFUSED:queue-full:not-run"},
		{"a request is refused if no zone has a server", func(h *harness) {
			h.zones.order = nil
			h.acquire()
		}, "REFUSED:no-backend:not-run"},
		{"no owner answers: refused at the deadline, as unknown if the request may have run", func(h *harness) {
			h.acquire(func(a *Request) { a.MayHaveRun, a.Call.Deadline = true, h.now.Add(300*time.Millisecond) })
			h.advance(300 * time.Millisecond)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:unknown"},
		{"a grant that arrives at the deadline is given back", func(h *harness) {
			h.acquire()
			h.now = h.now.Add(10 * time.Second)
			h.granted(h.lastOwner, 1)
		}, "ask:z/0 done:z/0:1 REFUSED:deadline:not-run"},
		{"the request goes to an instance that started and now owns the queue", func(h *harness) {
			h.zones.order, h.zones.instances["z"] = []id.Zone{"z"}, []id.Instance{"b"}
			h.acquire()
			for i := 'c'; h.rankOf("b") == "z/0"; i++ {
				h.zones.instances["z"] = append(h.zones.instances["z"], id.Instance(i))
			}
			h.advance(400 * time.Millisecond)
			h.log = h.log[:2]
		}, "ask:z/0 done:z/1:1"},
		{"a second turn of a request replaces the first", func(h *harness) {
			h.acquire()
			h.granted(h.lastOwner, 1)
			h.acquire()
			h.granted(h.lastOwner, 1)
			h.granted(h.lastOwner, 2)
			h.client.Cancel(h.now, "r", &h.out)
			h.recordOutput()
		}, "ask:z/0 GRANTED:b1 done:z/0:1 ask:z/0 done:z/0:1 GRANTED:b1 done:z/0:2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness()
			c.steps(h)
			if got := strings.Join(h.log, " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if h.client.Next() < h.now {
				t.Errorf("next timer at %d is before the current time %d", h.client.Next(), h.now)
			}
		})
	}
}

// Without the check of the deadline, a grant would be used after the caller was due
// its refusal. The invariant must be violated.
func TestGrantAfterDeadlineIsDetected(t *testing.T) {
	defer func() {
		if v, ok := recover().(invariant.Violation); !ok || v.Name != "turn-deadline" {
			t.Errorf("got %v, want a violation of turn-deadline", v)
		}
	}()
	h := newHarness()
	h.client.hooks.ignoreDeadline = true
	h.acquire()
	h.now = h.now.Add(10 * time.Second)
	h.granted(h.lastOwner, 1)
}

// If a late grant is kept instead of given back, its turn stays in use. The test must
// distinguish this from the normal behaviour.
func TestKeptLateGrantIsDetected(t *testing.T) {
	for _, keepLate := range []bool{false, true} {
		h := newHarness()
		h.client.hooks.keepLateGrants = keepLate
		h.granted("a", 7)
		if gaveBack := len(h.log) == 1; gaveBack == keepLate {
			t.Errorf("keepLateGrants %t: log %v", keepLate, h.log)
		}
	}
}

func BenchmarkAcquireRelease(b *testing.B) {
	h := newHarness()
	a := Request{Call: event.Call{Request: "r", Artifact: "m", Deadline: h.now.Add(time.Second)}, Account: "x"}
	b.ReportAllocs()
	for i := range b.N {
		h.client.Acquire(h.now, a, &h.out)
		to := h.out.Take()[0].(event.SendPeer).To
		h.client.HandleMessage(h.now, to, message.TurnGranted{Request: "r", Backend: "b1", Turn: uint64(i + 1)}, &h.out)
		h.client.Decisions()
		h.client.Release(h.now, message.TurnRelease{Request: "r", Backend: "b1"}, &h.out)
		h.out.Take()
	}
}
