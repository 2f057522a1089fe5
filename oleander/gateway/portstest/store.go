package portstest

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
)

// StoreHarness is a store behind an adapter, as the platform and its faults act on
// it. Callers are numbered from 0.
type StoreHarness interface {
	Store(caller int) ports.Store
	SetFault(caller int, f Fault)
	SetConfig(version uint64)
	PutServer(e directory.Entry)
	RemoveServer(id string)
	// PutForeign writes rows of another writer, which can't be used, beside the
	// good ones.
	PutInvalidRows()
	DropHistory()
	SetEvacuation(zone string, active bool)
	// Copy keeps a copy of the store, and Restore brings it back in a new era.
	TakeSnapshot()
	RestoreSnapshot()
}

// TestStore runs the contract of ports.Store. open returns a fresh backing for each
// case.
func TestStore(t *testing.T, open func(t *testing.T) StoreHarness) {
	cases := []struct {
		name string
		run  func(t *testing.T, b StoreHarness)
	}{
		{"empty", testEmpty},
		{"configuration", testConfiguration},
		{"evacuations", testEvacuations},
		{"back from a copy", testRestored},
		{"lease in a new era", testLeaseInNewEra},
		{"servers", testServers},
		{"instances", testInstances},
		{"lease", testLease},
		{"leases", testLeases},
		{"write whose answer is lost", testLostWrite},
		{"write carried out late", testLateWrite},
		{"late write after another", testLateWriteAfterAnother},
		{"history gone", testHistoryGone},
		{"down for one caller", testDownForOne},
		{"slow", testSlow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
	for name, read := range reads {
		for _, f := range []Fault{Unavailable, ResponseLost, NoResponse, LateWrite} {
			t.Run(fmt.Sprintf("%s under fault %d", name, f), func(t *testing.T) { testFault(t, open(t), read, f) })
		}
	}
}

// reads are the calls that have an error.
var reads = map[string]func(s ports.Store, ctx context.Context) error{
	"operator": func(s ports.Store, ctx context.Context) error { _, _, err := s.OperatorState(ctx); return err },
	"watch operator": func(s ports.Store, ctx context.Context) error {
		_, _, err := s.WatchOperatorState(ctx, revision.Revision{}, 0)
		return err
	},
	"servers": func(s ports.Store, ctx context.Context) error { _, _, err := s.Servers(ctx); return err },
	"watch servers": func(s ports.Store, ctx context.Context) error {
		_, _, err := s.WatchServers(ctx, revision.Revision{}, 0)
		return err
	},
	"peers": func(s ports.Store, ctx context.Context) error { _, err := s.Peers(ctx); return err },
	"lease": func(s ports.Store, ctx context.Context) error { _, err := s.Lease(ctx, ""); return err },
	"join":  func(s ports.Store, ctx context.Context) error { return s.RegisterPeer(ctx, ports.Peer{Name: "x"}) },
}

// soon bounds a call that should be answered at once.
func soon(t *testing.T) context.Context { return within(t, 2*time.Second) }

// brief bounds a call that has no answer.
func brief(t *testing.T) context.Context { return within(t, SlowDelay/2) }

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func testEmpty(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	if o, _, err := s.OperatorState(soon(t)); o.Manifest != nil || len(o.Evacuations) > 0 || err != nil {
		t.Errorf("operator %+v, %v", o, err)
	}
	if all, _, err := s.Servers(soon(t)); len(all) != 0 || err != nil {
		t.Errorf("servers %v, %v", all, err)
	}
	if all, err := s.Peers(soon(t)); len(all) != 0 || err != nil {
		t.Errorf("instances %v, %v", all, err)
	}
	if r, err := s.Lease(soon(t), ""); r.At.Version != 0 || r.Earlier || err != nil {
		t.Errorf("lease %+v, %v", r, err)
	}
}

// The newest manifest is read whole; a watch returns it as soon as there is a
// newer one, and nothing if there is none in time.
func testConfiguration(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	b.SetConfig(7)
	o, at, err := s.OperatorState(soon(t))
	if err != nil {
		t.Fatal(err)
	}
	if c, err := s.DecodeManifest(o.Manifest); err != nil || c.Version != 7 {
		t.Fatalf("decoded %+v, %v", c, err)
	}
	if o, next, err := s.WatchOperatorState(soon(t), at, 20*time.Millisecond); o.Manifest != nil || next.Before(at) || err != nil {
		t.Errorf("without a change: %+v at %d after %d, %v", o, next, at, err)
	}
	time.AfterFunc(50*time.Millisecond, func() { b.SetConfig(9) })
	o, next, err := s.WatchOperatorState(soon(t), at, time.Second)
	if c, derr := s.DecodeManifest(o.Manifest); err != nil || derr != nil || c.Version != 9 || !at.Before(next) {
		t.Errorf("after a change: %+v at %d after %d, %v, %v", o, next, at, err, derr)
	}
	if _, err := s.DecodeManifest([]byte("\x00")); err == nil {
		t.Error("bytes that are no manifest were decoded")
	}
}

// Requests to evacuate zones are read as they stand, and told as they come and go; rows of
// another shape name no zone.
func testEvacuations(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	b.PutInvalidRows()
	b.SetEvacuation("x", true)
	b.SetEvacuation("y", true)
	b.SetEvacuation("x", false)
	o, at, err := s.OperatorState(soon(t))
	if err != nil || len(o.Evacuations) != 1 || o.Evacuations[0].Zone != "y" || o.Evacuations[0].Removed {
		t.Fatalf("evacuations %+v, %v", o.Evacuations, err)
	}
	b.SetEvacuation("y", false)
	b.SetEvacuation("z", true)
	o, _, err = s.WatchOperatorState(soon(t), at, time.Second)
	told := make(map[string]bool)
	for _, r := range o.Evacuations {
		if r.Version <= at.Version {
			t.Errorf("version %d of a change after %d", r.Version, at.Version)
		}
		told[r.Zone] = r.Removed
	}
	if err != nil || !reflect.DeepEqual(told, map[string]bool{"y": true, "z": false}) || o.Manifest != nil {
		t.Errorf("changes %+v, %v", o, err)
	}
}

// The store comes back from an older copy. What was written since is gone, versions are
// given out again, and a watch of before ends, also when the counter has passed it.
func testRestored(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	b.PutServer(entry("s0"))
	_, before, err := s.Servers(soon(t))
	if err != nil {
		t.Fatal(err)
	}
	b.TakeSnapshot()
	b.PutServer(entry("s1"))
	_, late, err := s.Servers(soon(t))
	if err != nil {
		t.Fatal(err)
	}
	b.RestoreSnapshot()
	for range 5 {
		b.PutServer(entry("s2"))
	}
	for _, after := range []revision.Revision{before, late} {
		if _, _, err := s.WatchServers(soon(t), after, 20*time.Millisecond); !errors.Is(err, ports.ErrHistoryGone) {
			t.Errorf("watch of servers that began at %+v: %v", after, err)
		}
		if _, _, err := s.WatchOperatorState(soon(t), after, 20*time.Millisecond); !errors.Is(err, ports.ErrHistoryGone) {
			t.Errorf("watch of the operator that began at %+v: %v", after, err)
		}
	}
	all, at, err := s.Servers(soon(t))
	if err != nil || !reflect.DeepEqual(withoutRevisions(all), []directory.Entry{entry("s0"), entry("s2")}) {
		t.Errorf("servers %+v, %v", all, err)
	}
	if !late.Before(at) || s.Era() != at.Era {
		t.Errorf("revision %+v after %+v, era %d", at, late, s.Era())
	}
}

// In a new era the lease has no holder, and a write that expects a version of before does
// not take effect, though a row of that number is there.
func testLeaseInNewEra(t *testing.T, b StoreHarness) {
	s, other := b.Store(0), b.Store(1)
	b.SetConfig(1)
	b.TakeSnapshot()
	_, old := s.WriteLease(soon(t), "", record(1), revision.Revision{})
	b.RestoreSnapshot()
	r, err := other.Lease(soon(t), "")
	if r.At.Version != 0 || r.At.Era == old.Era || err != nil {
		t.Fatalf("lease %+v, %v", r, err)
	}
	res, at := other.WriteLease(soon(t), "", record(2), r.At)
	if res != leader.Done {
		t.Fatalf("first write of the era: %v", res)
	}
	if res, _ := s.WriteLease(soon(t), "", record(3), old); res == leader.Done {
		t.Errorf("a write of the old era took effect")
	}
	if r, err := s.Lease(soon(t), ""); r.Record != record(2) || r.At != at || err != nil {
		t.Errorf("lease %+v, %v", r, err)
	}
}

func entry(id string) directory.Entry {
	return directory.Entry{
		ID: id, Address: "10.0.0.1:80", Zone: "z", Group: "g", Incarnation: 5, Slots: 4,
		LoadedModels: []directory.LoadedModel{{Model: "m", Version: 1, Adapters: []string{"a1"}}},
		InMemory:     []string{"n"}, OnDisk: []string{"o"},
	}
}

// withoutRevisions returns entries without when they were written.
func withoutRevisions(all []directory.Entry) []directory.Entry {
	var bare []directory.Entry
	for _, e := range all {
		e.Revision = revision.Revision{}
		bare = append(bare, e)
	}
	return bare
}

// Entries are read as they were written, changes and removals are told in a
// watch, and rows of another writer lose nothing but themselves.
func testServers(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	b.PutServer(entry("s0"))
	b.PutInvalidRows()
	b.PutServer(entry("s1"))
	all, at, err := s.Servers(soon(t))
	if err != nil || !reflect.DeepEqual(withoutRevisions(all), []directory.Entry{entry("s0"), entry("s1")}) {
		t.Fatalf("servers %+v, %v", all, err)
	}
	if !all[0].Revision.Before(all[1].Revision) || at.Before(all[1].Revision) {
		t.Errorf("entries written at %+v and %+v, read at %+v", all[0].Revision, all[1].Revision, at)
	}
	leaving := entry("s1")
	leaving.Draining, leaving.RemainingLifetime = true, 1500*time.Millisecond
	b.RemoveServer("s0")
	b.PutServer(leaving)
	changes, next, err := s.WatchServers(soon(t), at, time.Second)
	if err != nil || !at.Before(next) || len(changes) != 2 {
		t.Fatalf("changes %+v at %d after %d, %v", changes, next, at, err)
	}
	for _, c := range changes {
		if !at.Before(c.Entry.Revision) || next.Before(c.Entry.Revision) {
			t.Errorf("change at %+v, told from %+v to %+v", c.Entry.Revision, at, next)
		}
		c.Entry.Revision = revision.Revision{}
		switch {
		case c.Entry.ID == "s0" && c.Removed:
		case !c.Removed && reflect.DeepEqual(c.Entry, leaving):
		default:
			t.Errorf("change %+v", c)
		}
	}
	if changes, _, err := s.WatchServers(soon(t), next, 20*time.Millisecond); len(changes) != 0 || err != nil {
		t.Errorf("without a change: %+v, %v", changes, err)
	}
}

func testInstances(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	first := ports.Peer{Name: "a", Address: "10.0.0.1:1", Zone: "z"}
	moved := ports.Peer{Name: "a", Address: "10.0.0.2:1", Zone: "y", Strength: 7}
	other := ports.Peer{Name: "b", Address: "10.0.0.3:1", Zone: "z"}
	for _, p := range []ports.Peer{first, other, moved} {
		if err := s.RegisterPeer(soon(t), p); err != nil {
			t.Fatal(err)
		}
	}
	b.PutInvalidRows()
	all, err := b.Store(1).Peers(soon(t))
	if err != nil || !reflect.DeepEqual(all, []ports.Peer{moved, other}) {
		t.Errorf("instances %+v, %v", all, err)
	}
}

func record(fencing int64) leader.Record {
	return leader.Record{Holder: "a", Incarnation: 1 << 62, Fencing: fencing, Settled: true, Voters: leader.VotersOf([]string{"b", "c"})}
}

// A write takes effect only on the version that it expects.
func testLease(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	res, v := s.WriteLease(soon(t), "", record(1), revision.Revision{})
	if res != leader.Done || v.Version == 0 {
		t.Fatalf("first write: %v at %d", res, v)
	}
	if res, _ := b.Store(1).WriteLease(soon(t), "", record(2), revision.Revision{}); res != leader.Conflict {
		t.Errorf("write as if there were no row: %v", res)
	}
	res, next := b.Store(1).WriteLease(soon(t), "", record(2), v)
	if res != leader.Done || !v.Before(next) {
		t.Errorf("write on version %d: %v at %d", v, res, next)
	}
	if r, err := s.Lease(soon(t), ""); r.Record != record(2) || r.At != next || err != nil {
		t.Errorf("read %+v after %d, %v", r, next, err)
	}
}

// Leases of several names don't touch each other.
func testLeases(t *testing.T, b StoreHarness) {
	s := b.Store(0)
	for i, name := range []ports.LeaseName{"", "a", "b"} {
		if res, _ := s.WriteLease(soon(t), name, record(int64(i+1)), revision.Revision{}); res != leader.Done {
			t.Fatalf("lease %q: %v", name, res)
		}
	}
	for i, name := range []ports.LeaseName{"", "a", "b"} {
		if r, err := s.Lease(soon(t), name); r.Record != record(int64(i+1)) || r.Earlier || err != nil {
			t.Errorf("lease %q: %+v, %v", name, r, err)
		}
	}
}

func testLostWrite(t *testing.T, b StoreHarness) {
	b.SetFault(0, ResponseLost)
	if res, _ := b.Store(0).WriteLease(soon(t), "", record(1), revision.Revision{}); res != leader.Unknown {
		t.Errorf("write without an answer: %v", res)
	}
	b.SetFault(0, NoFault)
	if r, err := b.Store(0).Lease(soon(t), ""); r.Record != record(1) || r.At.Version == 0 || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

func testLateWrite(t *testing.T, b StoreHarness) {
	b.SetFault(0, LateWrite)
	if res, _ := b.Store(0).WriteLease(brief(t), "", record(1), revision.Revision{}); res != leader.Unknown {
		t.Errorf("write without an answer: %v", res)
	}
	b.SetFault(0, NoFault)
	if r, err := b.Store(0).Lease(soon(t), ""); r.At.Version != 0 || err != nil {
		t.Errorf("read %+v before it was carried out, %v", r, err)
	}
	time.Sleep(2 * LateWriteDelay)
	if r, err := b.Store(0).Lease(soon(t), ""); r.Record != record(1) || r.At.Version == 0 || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

// A late write meets a version that another caller wrote meanwhile: it must
// not take effect.
func testLateWriteAfterAnother(t *testing.T, b StoreHarness) {
	b.SetFault(0, LateWrite)
	if res, _ := b.Store(0).WriteLease(brief(t), "", record(1), revision.Revision{}); res != leader.Unknown {
		t.Errorf("write without an answer: %v", res)
	}
	if res, _ := b.Store(1).WriteLease(soon(t), "", record(2), revision.Revision{}); res != leader.Done {
		t.Fatalf("another's write: %v", res)
	}
	time.Sleep(2 * LateWriteDelay)
	if r, err := b.Store(1).Lease(soon(t), ""); r.Record != record(2) || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

func testHistoryGone(t *testing.T, b StoreHarness) {
	b.PutServer(entry("s0"))
	b.DropHistory()
	if _, _, err := b.Store(0).WatchServers(soon(t), revision.Revision{}, 0); !errors.Is(err, ports.ErrHistoryGone) {
		t.Errorf("error %v", err)
	}
	if all, _, err := b.Store(0).Servers(soon(t)); len(all) != 1 || err != nil {
		t.Errorf("servers %+v, %v", all, err)
	}
}

// The store turns one caller away and serves the others.
func testDownForOne(t *testing.T, b StoreHarness) {
	b.SetConfig(3)
	b.SetFault(0, Unavailable)
	if _, _, err := b.Store(0).OperatorState(soon(t)); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
	if o, _, err := b.Store(1).OperatorState(soon(t)); o.Manifest == nil || err != nil {
		t.Errorf("another caller: %+v, %v", o, err)
	}
}

// A slow store answers; a call that can't wait for it says that it is away.
func testSlow(t *testing.T, b StoreHarness) {
	b.SetFault(0, Slow)
	if err := b.Store(0).RegisterPeer(soon(t), ports.Peer{Name: "a"}); err != nil {
		t.Errorf("with time: %v", err)
	}
	if err := b.Store(0).RegisterPeer(brief(t), ports.Peer{Name: "b"}); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("without: %v", err)
	}
}

// Whatever a store does, a call says that it is away and ends in time, and works
// when the fault is over.
func testFault(t *testing.T, b StoreHarness, read func(ports.Store, context.Context) error, f Fault) {
	b.SetFault(0, f)
	if err := read(b.Store(0), brief(t)); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
	b.SetFault(0, NoFault)
	if err := read(b.Store(0), soon(t)); err != nil {
		t.Errorf("after the fault: %v", err)
	}
}
