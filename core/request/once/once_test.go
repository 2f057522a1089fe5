package once

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/table"
)

type peers struct {
	process.Members
	live []id.Instance
}

func (p *peers) Self() id.Instance   { return "self" }
func (p *peers) Live() []id.Instance { return p.live }

// script drives one instance, answering its table operations by hand, and
// notes what comes out of each step: decisions first, then effects.
type script struct {
	o    *Calls
	live *peers
	now  clock.Time
	out  event.Outbox
	op   event.Op
	log  []string
}

func newScript() *script {
	s := &script{live: &peers{live: []id.Instance{"self", "other"}}, now: clock.Time(time.Hour)}
	s.o = New(Settings{MaxBody: 10}, s.live, &invariant.Checker{})
	return s
}

func (s *script) note() {
	for _, d := range s.o.Decisions() {
		switch d.Kind {
		case Send:
			s.log = append(s.log, "SEND")
		case AskStatus:
			s.log = append(s.log, "STATUS")
		case Answer:
			s.log = append(s.log, fmt.Sprintf("ANSWER:%s:%t", d.Row.Body, d.Replay))
		case Refuse:
			s.log = append(s.log, fmt.Sprintf("REFUSE:%s:%s", d.Refusal.Reason, d.Refusal.Execution))
		}
	}
	for _, e := range s.out.Take() {
		switch e := e.(type) {
		case event.TableRead:
			s.op = e.Op
			s.log = append(s.log, "read")
		case event.TableCommit:
			s.op = e.Op
			s.log = append(s.log, fmt.Sprintf("%s@%d", e.Writes[0].Body.(table.Once).State, e.Writes[0].Expect))
		case event.SendPeer:
			if m, ok := e.Message.(message.OnceReply); ok {
				s.log = append(s.log, fmt.Sprintf("told:%t:%s", m.Known, m.State))
			}
		}
	}
}

func (s *script) begin(change ...func(*Call)) {
	c := Call{Request: "r", Account: "a", Key: "k", Digest: "d", Attempt: "t", Deadline: s.now.Add(5 * time.Second)}
	for _, f := range change {
		f(&c)
	}
	s.o.Begin(s.now, c, &s.out)
	s.note()
}

func (s *script) table(o table.Outcome, rows ...table.Row) {
	s.o.Table(s.now, event.TableResult{Op: s.op, Outcome: o, Rows: rows}, &s.out)
	s.note()
}

func (s *script) end(r event.AttemptResult, body string) {
	s.o.Ended(s.now, event.AttemptEnded{Request: "r", Result: r, Status: 200, Body: []byte(body)}, &s.out)
	s.note()
}

func (s *script) pass(d time.Duration) {
	for end := s.now.Add(d); ; {
		if s.o.Next() > end {
			s.now = end
			return
		}
		s.now = max(s.o.Next(), s.now)
		s.o.Tick(s.now, &s.out)
		s.note()
	}
}

func (s *script) hear(m message.Message) {
	s.o.Peer(s.now, "other", m, &s.out)
	s.note()
}

func status(c *Call) { c.StatusCall = true }

// others is a row of another instance's attempt.
func others(state table.OnceState, digest id.Digest, version uint64) table.Row {
	return table.Row{Version: version, Body: table.Once{
		Account: "a", Key: "k", Digest: digest, Holder: "other", Attempt: "t2", State: state, Body: []byte("done"),
	}}
}

func ours(version uint64) table.Row {
	return table.Row{Version: version, Body: table.Once{
		Account: "a", Key: "k", Digest: "d", Holder: "self", Attempt: "t", State: table.OnceRunning,
	}}
}

// The caller of an order sees its outcome, a refusal that says it was not run,
// or that nobody knows. Each case gives what happens in what order, and its
// name the reason for what the instance does.
func TestCalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(s *script)
		want  string
	}{
		{"sent after the row stands, answered after the outcome is stored", func(s *script) {
			s.begin()
			s.table(table.Done)
			s.end(event.AttemptCompleted, "yes")
			s.table(table.Done)
		}, "running@0 SEND done@1 ANSWER:yes:false"},
		{"a lost insert is read back and found ours", func(s *script) {
			s.begin()
			s.table(table.Unknown)
			s.table(table.Done, ours(1))
		}, "running@0 read SEND"},
		{"a lost insert that can't be read back is not sent, and its row is closed", func(s *script) {
			s.begin()
			s.table(table.Unknown)
			s.table(table.NotExecuted)
			s.table(table.NotExecuted)
			s.table(table.Done, ours(1))
		}, "running@0 read read REFUSE:table-unavailable:not-run read not-run@1"},
		{"a lost insert that is not there yet can't land after the refusal", func(s *script) {
			s.begin()
			s.table(table.Unknown)
			s.table(table.Done)
			s.table(table.Unknown)
			s.table(table.Done)
			s.table(table.Done)
		}, "running@0 read running@0 read REFUSE:table-unavailable:not-run read not-run@0"},
		{"the table is down", func(s *script) {
			s.begin()
			s.table(table.NotExecuted)
		}, "running@0 REFUSE:table-unavailable:not-run"},
		{"the same key with another body", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceDone, "d2", 2))
		}, "running@0 read REFUSE:idempotency-key-reuse:not-run"},
		{"a repeat after the end gets the same answer", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceDone, "d", 2))
		}, "running@0 read ANSWER:done:true"},
		{"a repeat while it runs waits, until its deadline", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			for range 25 {
				s.pass(200 * time.Millisecond)
				s.hear(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceRunning})
			}
		}, "running@0 read read read REFUSE:running-elsewhere:unknown"},
		{"a repeat while it runs hears the end from the holder", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.hear(message.OnceReply{Account: "a", Key: "k", Attempt: "older", Known: true, State: table.OnceNotRun})
			s.hear(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceDone, Body: []byte("yes")})
		}, "running@0 read ANSWER:yes:true"},
		{"the holder is gone without an outcome: unknown, and never sent again", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.live.live = []id.Instance{"self"}
			s.pass(1500 * time.Millisecond)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.pass(600 * time.Millisecond)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.table(table.Done)
		}, "running@0 read read read unknown@1 REFUSE:outcome-unknown:unknown"},
		{"the holder lives and has lost it: unknown, unless the row says more", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.hear(message.OnceReply{Account: "a", Key: "k", Attempt: "t2"})
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceDone, "d", 2))
		}, "running@0 read read unknown@1 read ANSWER:done:true"},
		{"the holder promises not to send: the key is free", func(s *script) {
			s.begin()
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceRunning, "d", 1))
			s.hear(message.OnceReply{Account: "a", Key: "k", Attempt: "t2", Known: true, State: table.OnceNotRun})
			s.table(table.Done)
		}, "running@0 read running@1 SEND"},
		{"the outcome can't be stored: the caller gets it, and storing goes on", func(s *script) {
			s.begin()
			s.table(table.Done)
			s.end(event.AttemptCompleted, "yes")
			s.table(table.NotExecuted)
			s.pass(2 * time.Second)
			s.hear(message.OnceQuery{Account: "a", Key: "k", Attempt: "t"})
			s.table(table.Done, ours(1))
			s.table(table.Done)
			s.hear(message.OnceQuery{Account: "a", Key: "k", Attempt: "t"})
		}, "running@0 SEND done@1 read ANSWER:yes:false told:true:done done@1 told:false:"},
		{"an answer too long for the row reaches its caller", func(s *script) {
			s.begin()
			s.table(table.Done)
			s.end(event.AttemptCompleted, "much too long")
		}, "running@0 SEND ANSWER:much too long:false done@1"},
		{"it broke after sending: unknown", func(s *script) {
			s.begin()
			s.table(table.Done)
			s.end(event.AttemptBroken, "")
		}, "running@0 SEND REFUSE:outcome-unknown:unknown unknown@1"},
		{"it broke after sending, and the service knows the outcome", func(s *script) {
			s.begin(status)
			s.table(table.Done)
			s.end(event.AttemptCrashed, "")
			s.o.StatusTold(s.now, "r", Status{Known: true, Status: 200, Body: []byte("yes")}, &s.out)
			s.note()
			s.table(table.Done)
		}, "running@0 SEND STATUS done@1 ANSWER:yes:false"},
		{"the service never heard of it: it may still be on its way", func(s *script) {
			s.begin(status)
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceUnknown, "d", 2))
			s.o.StatusTold(s.now, "r", Status{}, &s.out)
			s.note()
		}, "running@0 read STATUS REFUSE:outcome-unknown:unknown"},
		{"not sent at all: not-run, and a repeat may run", func(s *script) {
			s.begin()
			s.table(table.Done)
			s.end(event.AttemptNotSent, "")
			s.table(table.Done)
			s.begin(func(c *Call) { c.Attempt = "t3" })
			s.table(table.Conflict)
			s.table(table.Done, others(table.OnceNotRun, "d", 2))
			s.table(table.Done)
		}, "running@0 SEND REFUSE:no-backend:not-run not-run@1 running@0 read running@2 SEND"},
		{"begun anew with another attempt: the first one's insert says nothing of it", func(s *script) {
			s.begin()
			first := s.op
			s.o.Abandon(s.now, "r", &s.out)
			s.note()
			s.begin(func(c *Call) { c.Attempt = "t3" })
			s.op = first
			s.table(table.Done)
		}, "running@0 read running@0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			c.steps(s)
			if got := strings.Join(s.log, " "); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
		})
	}
}

// Each safeguard off: the check that watches it, or the count at the service,
// must show it.
func TestBrokenShows(t *testing.T) {
	for _, c := range []struct {
		want string
		off  func(h *hooks)
	}{
		{"once-send", func(h *hooks) { h.sendUnread = true }},
		{"once-not-run", func(h *hooks) { h.forgetSent = true }},
		{"ran 2 times", func(h *hooks) { h.sendUnknown = true }},
	} {
		t.Run(c.want, func(t *testing.T) {
			for seed := range uint64(50) {
				if strings.Contains(playBroken(seed, c.off), c.want) {
					return
				}
			}
			t.Error("50 runs showed nothing")
		})
	}
}

// Another instance sent a call again though the first one may have run, and
// made the row its own: the holder must notice when it stores the outcome.
func TestRowTakenShows(t *testing.T) {
	defer func() {
		if v, ok := recover().(invariant.Violation); !ok || v.Name != "once-row-kept" {
			t.Errorf("got %v, want a violation of once-row-kept", v)
		}
	}()
	s := newScript()
	s.begin()
	s.table(table.Done)
	s.end(event.AttemptCompleted, "yes")
	s.table(table.Conflict)
	s.table(table.Done, others(table.OnceRunning, "d", 2))
}

// playBroken returns what shows in a run with a safeguard off.
func playBroken(seed uint64, off func(h *hooks)) (shown string) {
	defer func() {
		if v, ok := recover().(invariant.Violation); ok {
			shown = v.Name
		}
	}()
	w := newWorld(faults{lost: 0.2, died: 0.3, delay: 100 * time.Millisecond, kills: 3, seed: seed}, 5)
	for _, n := range w.nodes {
		off(&n.once.hooks)
	}
	w.play(8, false)
	return strings.Join(w.judge(), "\n")
}

func BenchmarkBeginSendEnded(b *testing.B) {
	s := newScript()
	body := []byte("yes")
	b.ReportAllocs()
	for range b.N {
		s.o.Begin(s.now, Call{Request: "r", Account: "a", Key: "k", Attempt: "t", Deadline: s.now.Add(time.Second)}, &s.out)
		op := s.out.Take()[0].(event.TableCommit).Op
		s.o.Table(s.now, event.TableResult{Op: op}, &s.out)
		s.o.Ended(s.now, event.AttemptEnded{Request: "r", Body: body}, &s.out)
		op = s.out.Take()[0].(event.TableCommit).Op
		s.o.Table(s.now, event.TableResult{Op: op}, &s.out)
		s.o.Decisions()
	}
}
