package gateway

import (
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// A server begins to leave, and what it holds changes a moment later, before the
// others were told. They have to be told of both: an instance that does not hear
// that a server leaves goes on sending to it.
func TestBothChangesOfAServerAreTold(t *testing.T) {
	g, err := New(Settings{Name: "g", Zone: "z"}, nil, nil, fakeDialect{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	m := config(1)
	now := boottime.Now()
	e := directory.Entry{ID: "a", Address: "10.0.0.1:1", Zone: "z", Group: "llm", Born: 1, Slots: 4}
	holds := func(sequence int64, model string) {
		g.placer.Sync(now, g.dir.All("llm"), m.Groups)
		g.placer.HandleReport(now, "a", 1, now, placer.Report{Sequence: sequence, LoadedModels: []directory.Holding{{Model: model}}})
	}
	g.dir.Put(now, e)
	holds(1, "warm")
	g.publish(now) // everything
	e.Draining = true
	g.dir.Put(now, e)
	g.publish(now.Add(flushEvery / 4))
	holds(2, "cold")
	g.publish(now.Add(flushEvery / 2))
	out := g.publish(now.Add(flushEvery))
	if len(out) != 1 {
		t.Fatalf("%d messages, want one", len(out))
	}
	var p packet
	if err := cbor.Unmarshal(out[0].body, &p); err != nil {
		t.Fatal(err)
	}
	s := p.State.Servers[0]
	if s.Info == nil || !s.Info.Leaving || len(s.Models) != 1 || s.Models[0].Model != "cold" {
		t.Errorf("told %+v, info %+v", s, s.Info)
	}
}

// The message that a server is gone is lost on its way to one instance, which rests
// while it is told of the servers. The next messages say it again, though nothing else
// changed; otherwise it would go on sending there for two seconds.
func TestGoneIsToldAgain(t *testing.T) {
	g := lone(t, "a", "z")
	now := boottime.Now()
	g.dir.Put(now, directory.Entry{ID: "s", Group: "plain", Born: 1, Slots: 4})
	g.members.Heard(now, members.Member{Name: "b", Address: "127.0.0.1:9", Zone: "z"})
	g.publisher.repeats.at, g.publisher.flushed = now, now
	g.drop(now, "s", g.serversAt)
	told := 0
	for at := now; at.Sub(now) < leftAgain; at = at.Add(flushEvery) {
		for _, m := range g.publish(at) {
			if p := decoded(t, m.message); p.State != nil && slices.ContainsFunc(p.State.Gone, func(m goneMsg) bool { return m.Server == "s" }) {
				told++
			}
		}
	}
	if told < 3 {
		t.Errorf("told %d times", told)
	}
	if out := g.publish(now.Add(leftAgain + flushEvery)); len(out) > 0 {
		t.Errorf("%d messages though nothing changed of late", len(out))
	}
}

// A server says that it leaves, and the datagram with that is lost. The next messages say
// it again; they named the server without that it leaves, and it got requests for two
// seconds more.
func TestLeavingIsToldAgain(t *testing.T) {
	g := lone(t, "a", "z")
	now := boottime.Now()
	e := directory.Entry{ID: "s", Group: "plain", Born: 1, Slots: 4}
	g.dir.Put(now, e)
	g.members.Heard(now, members.Member{Name: "b", Address: "127.0.0.1:9", Zone: "z"})
	g.publish(now)
	e.Draining = true
	g.dir.Put(now, e)
	told := 0
	for at := now.Add(flushEvery); at.Sub(now) < leftAgain; at = at.Add(flushEvery) {
		for _, m := range g.publish(at) {
			p := decoded(t, m.message)
			if p.State != nil && slices.ContainsFunc(p.State.Servers, func(m serverMsg) bool { return m.Info != nil && m.Info.Leaving }) {
				told++
			}
		}
	}
	if told < 3 {
		t.Errorf("told %d times", told)
	}
}

// The dispatcher names a server that this instance has not heard of yet. It is used as
// it is described.
func TestServerIsDescribedWithTheChoice(t *testing.T) {
	g := lone(t, "a", "z")
	now := boottime.Now()
	number := g.client.Begin()
	a := &asked{answered: make(chan dispatched, answersKept)}
	g.asks[number] = a
	g.takeChoiceMsg(now, &choiceMsg{
		From: "b", Incarnation: g.incarnation, Number: number, Verdict: dispatch.Granted,
		Server: &serverMsg{Server: "new", Born: 3, Info: &infoMsg{Address: "10.0.0.9:1", Group: "plain", Slots: 4}},
	})
	d := <-a.answered
	if d.target.address != "10.0.0.9:1" || g.dir.Get("new").Running() != 1 {
		t.Errorf("%+v", d)
	}
}
