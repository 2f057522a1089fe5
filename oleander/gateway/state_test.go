package gateway

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/directory"
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
		g.placer.Reported(now, "a", 1, now, placer.Report{Sequence: sequence, Holdings: []directory.Holding{{Model: model}}})
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
