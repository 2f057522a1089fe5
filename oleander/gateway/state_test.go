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

// A server begins to drain, and its models change shortly afterwards, before the
// first change was sent. Both changes must be sent: an instance that does not know of
// the drain keeps sending requests to the server.
func TestBothChangesArePublished(t *testing.T) {
	g, err := New(Settings{Name: "g", Zone: "z"}, nil, nil, fakeDialect{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	m := config(1)
	now := boottime.Now()
	e := directory.Entry{ID: "a", Address: "10.0.0.1:1", Zone: "z", Group: "llm", Incarnation: 1, Slots: 4}
	holds := func(sequence int64, model string) {
		g.placer.Sync(now, g.servers.InGroup("llm"), m.Groups)
		g.placer.HandleReport(now, "a", 1, now, placer.Report{Sequence: sequence, LoadedModels: []directory.LoadedModel{{Model: model}}})
	}
	g.servers.Put(now, e)
	holds(1, "warm")
	g.publishServers(now) // publishes everything
	e.Draining = true
	g.servers.Put(now, e)
	g.publishServers(now.Add(publishInterval / 4))
	holds(2, "cold")
	g.publishServers(now.Add(publishInterval / 2))
	out := g.publishServers(now.Add(publishInterval))
	if len(out) != 1 {
		t.Fatalf("%d messages, want one", len(out))
	}
	var p packet
	if err := cbor.Unmarshal(out[0].body, &p); err != nil {
		t.Fatal(err)
	}
	s := p.State.Servers[0]
	if s.Info == nil || !s.Info.Leaving || len(s.Models) != 1 || s.Models[0].Model != "cold" {
		t.Errorf("published %+v, info %+v", s, s.Info)
	}
}

// The message that a server is gone does not reach an instance that relies on the
// published servers. The following messages repeat it although nothing else changed;
// otherwise the instance would send requests there for another 2 s.
func TestRemovalIsRepeated(t *testing.T) {
	g := newStoppedGateway(t, "a", "z")
	now := boottime.Now()
	g.servers.Put(now, directory.Entry{ID: "s", Group: "plain", Incarnation: 1, Slots: 4})
	g.members.UpdateFromMessage(now, members.Member{Name: "b", Address: "127.0.0.1:9", Zone: "z"})
	g.publisher.republisher.lastAt, g.publisher.flushedAt = now, now
	g.removeServer(now, "s", g.serversRevision)
	count := 0
	for at := now; at.Sub(now) < departureRepeatPeriod; at = at.Add(publishInterval) {
		for _, m := range g.publishServers(at) {
			if p := decode(t, m.message); p.State != nil && slices.ContainsFunc(p.State.Gone, func(m goneMsg) bool { return m.Server == "s" }) {
				count++
			}
		}
	}
	if count < 3 {
		t.Errorf("published %d times, want at least 3", count)
	}
	if out := g.publishServers(now.Add(departureRepeatPeriod + publishInterval)); len(out) > 0 {
		t.Errorf("%d messages although nothing changed recently", len(out))
	}
}

// The datagram that says that a server drains is lost. The following messages must
// repeat it. They used to omit it, and the server got requests for another 2 s.
func TestDrainIsRepeated(t *testing.T) {
	g := newStoppedGateway(t, "a", "z")
	now := boottime.Now()
	e := directory.Entry{ID: "s", Group: "plain", Incarnation: 1, Slots: 4}
	g.servers.Put(now, e)
	g.members.UpdateFromMessage(now, members.Member{Name: "b", Address: "127.0.0.1:9", Zone: "z"})
	g.publishServers(now)
	e.Draining = true
	g.servers.Put(now, e)
	count := 0
	for at := now.Add(publishInterval); at.Sub(now) < departureRepeatPeriod; at = at.Add(publishInterval) {
		for _, m := range g.publishServers(at) {
			p := decode(t, m.message)
			if p.State != nil && slices.ContainsFunc(p.State.Servers, func(m serverMsg) bool { return m.Info != nil && m.Info.Leaving }) {
				count++
			}
		}
	}
	if count < 3 {
		t.Errorf("published %d times, want at least 3", count)
	}
}

// The dispatcher chooses a server that this instance does not know yet. The reply
// describes the server, so that it can be used.
func TestChoiceDescribesServer(t *testing.T) {
	g := newStoppedGateway(t, "a", "z")
	now := boottime.Now()
	number := g.dispatchClient.BeginQuery()
	q := &pendingQuery{replies: make(chan dispatchReply, maxBufferedReplies)}
	g.pendingQueries[number] = q
	g.handleChoiceMsg(now, &choiceMsg{
		From: "b", Incarnation: g.incarnation, Number: number, Decision: dispatch.Granted,
		Server: &serverMsg{Server: "new", Incarnation: 3, Info: &infoMsg{Address: "10.0.0.9:1", Group: "plain", Slots: 4}},
	}, nil)
	d := <-q.replies
	if d.target.address != "10.0.0.9:1" || g.servers.Get("new").Running() != 1 {
		t.Errorf("%+v", d)
	}
}
