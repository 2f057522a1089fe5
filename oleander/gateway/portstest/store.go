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

// StoreHarness gives the contract tests a store and control over it. Callers are numbered
// from 0.
type StoreHarness interface {
	// Store returns the adapter under test for a caller.
	Store(caller int) ports.Store
	// SetFault makes the calls of one caller fail from now on.
	SetFault(caller int, f Fault)
	// SetEmptyManifest stores an empty manifest of a version.
	SetEmptyManifest(version uint64)
	// PutServer writes the entry of a backend server.
	PutServer(e directory.Entry)
	// RemoveServer removes the entry of a backend server.
	RemoveServer(id string)
	// PutInvalidRows writes rows of servers and instances that the adapter can't use.
	PutInvalidRows()
	// DropHistory drops the history of changes up to now.
	DropHistory()
	// SetEvacuation writes or removes the request to evacuate a zone.
	SetEvacuation(zone string, active bool)
	// TakeSnapshot records the content of the store.
	TakeSnapshot()
	// RestoreSnapshot restores the last snapshot in a new era.
	RestoreSnapshot()
}

// TestStore tests the contract of ports.Store. open returns a new harness for each case.
func TestStore(t *testing.T, open func(t *testing.T) StoreHarness) {
	cases := []struct {
		name string
		run  func(t *testing.T, h StoreHarness)
	}{
		{"empty", testEmpty},
		{"manifest", testManifest},
		{"evacuations", testEvacuations},
		{"restored snapshot", testRestoredSnapshot},
		{"lease in a new era", testLeaseInNewEra},
		{"servers", testServers},
		{"peers", testPeers},
		{"lease", testLease},
		{"leases", testLeases},
		{"crash records", testCrashRecords},
		{"crash record with a lost response", testCrashRecordLostResponse},
		{"crash records of a restored snapshot", testCrashRecordsRestored},
		{"write with a lost response", testLostResponse},
		{"late write", testLateWrite},
		{"late write after another", testLateWriteAfterAnother},
		{"dropped history", testHistoryGone},
		{"unavailable for one caller", testUnavailableForOne},
		{"slow", testSlow},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, open(t)) })
	}
	for name, call := range calls {
		for _, f := range []Fault{Unavailable, ResponseLost, NoResponse, LateWrite} {
			t.Run(fmt.Sprintf("%s under fault %d", name, f), func(t *testing.T) { testFault(t, open(t), call, f) })
		}
	}
}

// calls are all calls that return an error.
var calls = map[string]func(s ports.Store, ctx context.Context) error{
	"operator": func(s ports.Store, ctx context.Context) error { _, _, err := s.OperatorState(ctx); return err },
	"watch operator": func(s ports.Store, ctx context.Context) error {
		_, _, err := s.WatchOperatorState(ctx, revision.Revision{}, 0)
		return err
	},
	"servers": func(s ports.Store, ctx context.Context) error { _, _, err := AllServers(ctx, s); return err },
	"watch servers": func(s ports.Store, ctx context.Context) error {
		_, _, err := s.WatchServers(ctx, revision.Revision{}, 0)
		return err
	},
	"peers":         func(s ports.Store, ctx context.Context) error { _, err := s.Peers(ctx); return err },
	"lease":         func(s ports.Store, ctx context.Context) error { _, err := s.Lease(ctx, ""); return err },
	"register peer": func(s ports.Store, ctx context.Context) error { return s.RegisterPeer(ctx, ports.Peer{Name: "x"}) },
	"crash records": func(s ports.Store, ctx context.Context) error { _, _, err := s.CrashRecords(ctx); return err },
}

// AllServers reads all pages of the entries of backend servers, and returns them with the
// revision of the first page.
func AllServers(ctx context.Context, s ports.Store) (entries []directory.Entry, at revision.Revision, err error) {
	for first, from := true, ""; first || from != ""; first = false {
		p, err := s.ServersPage(ctx, from)
		if err != nil {
			return nil, at, err
		}
		if first {
			at = p.At
		}
		entries, from = append(entries, p.Entries...), p.Next
	}
	return entries, at, nil
}

// soon returns a context for a call that gets a response.
func soon(t *testing.T) context.Context { return within(t, 2*time.Second) }

// brief returns a context for a call that gets no response, or a late one.
func brief(t *testing.T) context.Context { return within(t, SlowDelay/2) }

// within returns a context that ends after d.
func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func testEmpty(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	if o, _, err := s.OperatorState(soon(t)); o.Manifest != nil || len(o.Evacuations) > 0 || err != nil {
		t.Errorf("operator %+v, %v", o, err)
	}
	if all, _, err := AllServers(soon(t), s); len(all) != 0 || err != nil {
		t.Errorf("servers %v, %v", all, err)
	}
	if all, err := s.Peers(soon(t)); len(all) != 0 || err != nil {
		t.Errorf("peers %v, %v", all, err)
	}
	if r, err := s.Lease(soon(t), ""); r.At.Version != 0 || r.Earlier || err != nil {
		t.Errorf("lease %+v, %v", r, err)
	}
}

// The latest manifest is read. A watch returns a newer one as soon as it is written,
// and nothing if none is written in time.
func testManifest(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	h.SetEmptyManifest(7)
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
	time.AfterFunc(50*time.Millisecond, func() { h.SetEmptyManifest(9) })
	o, next, err := s.WatchOperatorState(soon(t), at, time.Second)
	if c, decodeErr := s.DecodeManifest(o.Manifest); err != nil || decodeErr != nil || c.Version != 9 || !at.Before(next) {
		t.Errorf("after a change: %+v at %d after %d, %v, %v", o, next, at, err, decodeErr)
	}
	if _, err := s.DecodeManifest([]byte("\x00")); err == nil {
		t.Error("invalid bytes were decoded")
	}
}

// Requests to evacuate zones are read, and a watch returns those that were added and
// removed. Invalid rows evacuate no zone.
func testEvacuations(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	h.PutInvalidRows()
	h.SetEvacuation("x", true)
	h.SetEvacuation("y", true)
	h.SetEvacuation("x", false)
	o, at, err := s.OperatorState(soon(t))
	if err != nil || len(o.Evacuations) != 1 || o.Evacuations[0].Zone != "y" || o.Evacuations[0].Removed {
		t.Fatalf("evacuations %+v, %v", o.Evacuations, err)
	}
	h.SetEvacuation("y", false)
	h.SetEvacuation("z", true)
	o, _, err = s.WatchOperatorState(soon(t), at, time.Second)
	changed := make(map[string]bool)
	for _, r := range o.Evacuations {
		if r.Version <= at.Version {
			t.Errorf("version %d of a change after %d", r.Version, at.Version)
		}
		changed[r.Zone] = r.Removed
	}
	if err != nil || !reflect.DeepEqual(changed, map[string]bool{"y": true, "z": false}) || o.Manifest != nil {
		t.Errorf("changes %+v, %v", o, err)
	}
}

// After a restore, later writes are gone and version numbers are used again. A watch
// that began before ends with ErrHistoryGone, even if the store has reached a higher
// version since.
func testRestoredSnapshot(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	h.PutServer(entry("s0"))
	_, before, err := AllServers(soon(t), s)
	if err != nil {
		t.Fatal(err)
	}
	h.TakeSnapshot()
	h.PutServer(entry("s1"))
	_, later, err := AllServers(soon(t), s)
	if err != nil {
		t.Fatal(err)
	}
	h.RestoreSnapshot()
	for range 5 {
		h.PutServer(entry("s2"))
	}
	for _, after := range []revision.Revision{before, later} {
		if _, _, err := s.WatchServers(soon(t), after, 20*time.Millisecond); !errors.Is(err, ports.ErrHistoryGone) {
			t.Errorf("watch of servers that began at %+v: %v", after, err)
		}
		if _, _, err := s.WatchOperatorState(soon(t), after, 20*time.Millisecond); !errors.Is(err, ports.ErrHistoryGone) {
			t.Errorf("watch of the operator that began at %+v: %v", after, err)
		}
	}
	all, at, err := AllServers(soon(t), s)
	if err != nil || !reflect.DeepEqual(withoutRevisions(all), []directory.Entry{entry("s0"), entry("s2")}) {
		t.Errorf("servers %+v, %v", all, err)
	}
	if !later.Before(at) || s.Era() != at.Era {
		t.Errorf("revision %+v after %+v, era %d", at, later, s.Era())
	}
}

// In a new era the lease has no holder. A write that expects a revision of the old era
// does not take effect, even if a row has that version number again.
func testLeaseInNewEra(t *testing.T, h StoreHarness) {
	s, other := h.Store(0), h.Store(1)
	h.SetEmptyManifest(1)
	h.TakeSnapshot()
	_, old := s.WriteLease(soon(t), "", record(1), revision.Revision{})
	h.RestoreSnapshot()
	r, err := other.Lease(soon(t), "")
	if r.At.Version != 0 || r.At.Era == old.Era || err != nil {
		t.Fatalf("lease %+v, %v", r, err)
	}
	result, at := other.WriteLease(soon(t), "", record(2), r.At)
	if result != leader.Done {
		t.Fatalf("first write of the era: %v", result)
	}
	if result, _ := s.WriteLease(soon(t), "", record(3), old); result == leader.Done {
		t.Errorf("a write of the old era took effect")
	}
	if r, err := s.Lease(soon(t), ""); r.Record != record(2) || r.At != at || err != nil {
		t.Errorf("lease %+v, %v", r, err)
	}
}

// entry returns the entry of a server.
func entry(id string) directory.Entry {
	return directory.Entry{
		ID: id, Address: "10.0.0.1:80", Zone: "z", Group: "g", Incarnation: 5, Slots: 4, Software: "v1.2",
		LoadedModels: []directory.LoadedModel{{Model: "m", Version: 1, Adapters: []string{"a1"}}},
		InMemory:     []string{"n"}, OnDisk: []string{"o"},
	}
}

// withoutRevisions returns copies of entries without what no store repeats: revisions and ages.
func withoutRevisions(all []directory.Entry) []directory.Entry {
	var plain []directory.Entry
	for _, e := range all {
		e.Revision, e.Age = revision.Revision{}, 0
		plain = append(plain, e)
	}
	return plain
}

// Entries are read as written, a watch returns changed and removed ones, and invalid
// rows don't hide the valid ones.
func testServers(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	h.PutServer(entry("s0"))
	h.PutInvalidRows()
	h.PutServer(entry("s1"))
	all, at, err := AllServers(soon(t), s)
	if err != nil || !reflect.DeepEqual(withoutRevisions(all), []directory.Entry{entry("s0"), entry("s1")}) {
		t.Fatalf("servers %+v, %v", all, err)
	}
	if !all[0].Revision.Before(all[1].Revision) || at.Before(all[1].Revision) {
		t.Errorf("entries written at %+v and %+v, read at %+v", all[0].Revision, all[1].Revision, at)
	}
	draining := entry("s1")
	draining.Draining, draining.RemainingLifetime = true, 1500*time.Millisecond
	h.RemoveServer("s0")
	h.PutServer(draining)
	changes, next, err := s.WatchServers(soon(t), at, time.Second)
	if err != nil || !at.Before(next) || len(changes) != 2 {
		t.Fatalf("changes %+v at %d after %d, %v", changes, next, at, err)
	}
	for _, c := range changes {
		if !at.Before(c.Entry.Revision) || next.Before(c.Entry.Revision) {
			t.Errorf("change at %+v, watched from %+v to %+v", c.Entry.Revision, at, next)
		}
		c.Entry.Revision, c.Entry.Age = revision.Revision{}, 0
		switch {
		case c.Entry.ID == "s0" && c.Removed:
		case !c.Removed && reflect.DeepEqual(c.Entry, draining):
		default:
			t.Errorf("change %+v", c)
		}
	}
	if changes, _, err := s.WatchServers(soon(t), next, 20*time.Millisecond); len(changes) != 0 || err != nil {
		t.Errorf("without a change: %+v, %v", changes, err)
	}
}

// The rows of instances are read as last written.
func testPeers(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	first := ports.Peer{Name: "a", Address: "10.0.0.1:1", Zone: "z"}
	moved := ports.Peer{Name: "a", Address: "10.0.0.2:1", Zone: "y", Strength: 7}
	other := ports.Peer{Name: "b", Address: "10.0.0.3:1", Zone: "z"}
	for _, p := range []ports.Peer{first, other, moved} {
		if err := s.RegisterPeer(soon(t), p); err != nil {
			t.Fatal(err)
		}
	}
	h.PutInvalidRows()
	all, err := h.Store(1).Peers(soon(t))
	if err != nil || !reflect.DeepEqual(all, []ports.Peer{moved, other}) {
		t.Errorf("peers %+v, %v", all, err)
	}
}

// record returns a record of a lease.
func record(fencing int64) leader.Record {
	return leader.Record{Holder: "a", Incarnation: 1 << 62, Fencing: fencing, Settled: true, Voters: leader.VotersOf([]string{"b", "c"})}
}

// A write takes effect only if the row has the expected version.
func testLease(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	result, at := s.WriteLease(soon(t), "", record(1), revision.Revision{})
	if result != leader.Done || at.Version == 0 {
		t.Fatalf("first write: %v at %d", result, at)
	}
	if result, _ := h.Store(1).WriteLease(soon(t), "", record(2), revision.Revision{}); result != leader.Conflict {
		t.Errorf("write that expects no row: %v", result)
	}
	result, next := h.Store(1).WriteLease(soon(t), "", record(2), at)
	if result != leader.Done || !at.Before(next) {
		t.Errorf("write on version %d: %v at %d", at, result, next)
	}
	if r, err := s.Lease(soon(t), ""); r.Record != record(2) || r.At != next || err != nil {
		t.Errorf("read %+v after %d, %v", r, next, err)
	}
}

// Leases of different names are independent.
func testLeases(t *testing.T, h StoreHarness) {
	s := h.Store(0)
	for i, name := range []ports.LeaseName{"", "a", "b"} {
		if result, _ := s.WriteLease(soon(t), name, record(int64(i+1)), revision.Revision{}); result != leader.Done {
			t.Fatalf("lease %q: %v", name, result)
		}
	}
	for i, name := range []ports.LeaseName{"", "a", "b"} {
		if r, err := s.Lease(soon(t), name); r.Record != record(int64(i+1)) || r.Earlier || err != nil {
			t.Errorf("lease %q: %+v, %v", name, r, err)
		}
	}
}

// The result of a write without a response is unknown; here it took effect.
func testLostResponse(t *testing.T, h StoreHarness) {
	h.SetFault(0, ResponseLost)
	if result, _ := h.Store(0).WriteLease(soon(t), "", record(1), revision.Revision{}); result != leader.Unknown {
		t.Errorf("write without a response: %v", result)
	}
	h.SetFault(0, NoFault)
	if r, err := h.Store(0).Lease(soon(t), ""); r.Record != record(1) || r.At.Version == 0 || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

// A write without a response may take effect after a later read.
func testLateWrite(t *testing.T, h StoreHarness) {
	h.SetFault(0, LateWrite)
	if result, _ := h.Store(0).WriteLease(brief(t), "", record(1), revision.Revision{}); result != leader.Unknown {
		t.Errorf("write without a response: %v", result)
	}
	h.SetFault(0, NoFault)
	if r, err := h.Store(0).Lease(soon(t), ""); r.At.Version != 0 || err != nil {
		t.Errorf("read %+v before the write took effect, %v", r, err)
	}
	time.Sleep(2 * LateWriteDelay)
	if r, err := h.Store(0).Lease(soon(t), ""); r.Record != record(1) || r.At.Version == 0 || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

// A late write must not take effect if another caller has written the row in between.
func testLateWriteAfterAnother(t *testing.T, h StoreHarness) {
	h.SetFault(0, LateWrite)
	if result, _ := h.Store(0).WriteLease(brief(t), "", record(1), revision.Revision{}); result != leader.Unknown {
		t.Errorf("write without a response: %v", result)
	}
	if result, _ := h.Store(1).WriteLease(soon(t), "", record(2), revision.Revision{}); result != leader.Done {
		t.Fatalf("write of another caller: %v", result)
	}
	time.Sleep(2 * LateWriteDelay)
	if r, err := h.Store(1).Lease(soon(t), ""); r.Record != record(2) || err != nil {
		t.Errorf("read %+v, %v", r, err)
	}
}

// A watch from dropped history ends with ErrHistoryGone; reads still work.
func testHistoryGone(t *testing.T, h StoreHarness) {
	h.PutServer(entry("s0"))
	h.DropHistory()
	if _, _, err := h.Store(0).WatchServers(soon(t), revision.Revision{}, 0); !errors.Is(err, ports.ErrHistoryGone) {
		t.Errorf("error %v, want ErrHistoryGone", err)
	}
	if all, _, err := AllServers(soon(t), h.Store(0)); len(all) != 1 || err != nil {
		t.Errorf("servers %+v, %v", all, err)
	}
}

// The store is unavailable for one caller and serves another.
func testUnavailableForOne(t *testing.T, h StoreHarness) {
	h.SetEmptyManifest(3)
	h.SetFault(0, Unavailable)
	if _, _, err := h.Store(0).OperatorState(soon(t)); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
	if o, _, err := h.Store(1).OperatorState(soon(t)); o.Manifest == nil || err != nil {
		t.Errorf("another caller: %+v, %v", o, err)
	}
}

// A call to a slow store succeeds, or returns ErrUnavailable if its context ends before.
func testSlow(t *testing.T, h StoreHarness) {
	h.SetFault(0, Slow)
	if err := h.Store(0).RegisterPeer(soon(t), ports.Peer{Name: "a"}); err != nil {
		t.Errorf("with a long timeout: %v", err)
	}
	if err := h.Store(0).RegisterPeer(brief(t), ports.Peer{Name: "b"}); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("with a short timeout: %v", err)
	}
}

// Under each fault a call returns ErrUnavailable no later than its context ends, and it
// succeeds after the fault.
func testFault(t *testing.T, h StoreHarness, call func(ports.Store, context.Context) error, f Fault) {
	h.SetFault(0, f)
	if err := call(h.Store(0), brief(t)); !errors.Is(err, ports.ErrUnavailable) {
		t.Errorf("error %v, want ErrUnavailable", err)
	}
	h.SetFault(0, NoFault)
	if err := call(h.Store(0), soon(t)); err != nil {
		t.Errorf("after the fault: %v", err)
	}
}

// crashRecordsOf reads the crash records by zone.
func crashRecordsOf(t *testing.T, s ports.Store) (map[string]ports.CrashRecord, revision.Revision) {
	t.Helper()
	all, at, err := s.CrashRecords(soon(t))
	if err != nil {
		t.Fatalf("crash records: %v", err)
	}
	records := make(map[string]ports.CrashRecord)
	for _, r := range all {
		records[r.Zone] = r
	}
	return records, at
}

// Each zone has a record, which is replaced only by those who know its revision, and whose age counts
// from its writing, whoever reads it.
func testCrashRecords(t *testing.T, h StoreHarness) {
	a, b := h.Store(0), h.Store(1)
	records, at := crashRecordsOf(t, a)
	if len(records) != 0 {
		t.Fatalf("records of an empty store: %+v", records)
	}
	first, written := a.WriteCrashRecord(soon(t), "y", []byte("1\x00\xff"), revision.Revision{Era: at.Era})
	if first != leader.Done {
		t.Fatalf("first write: %v", first)
	}
	crashRecordsOf(t, b)
	if result, _ := b.WriteCrashRecord(soon(t), "z", []byte("2"), revision.Revision{Era: at.Era}); result != leader.Done {
		t.Errorf("write for another zone: %v", result)
	}
	if result, _ := b.WriteCrashRecord(soon(t), "y", []byte("3"), revision.Revision{Era: at.Era}); result != leader.Conflict {
		t.Errorf("write over an unknown record: %v", result)
	}
	const pause = 60 * time.Millisecond
	time.Sleep(pause)
	records, _ = crashRecordsOf(t, b)
	if y := records["y"]; string(y.Value) != "1\x00\xff" || y.At != written || y.Age < pause/2 || y.Age > time.Minute {
		t.Errorf("record %+v, written at %+v", y, written)
	}
	if result, _ := b.WriteCrashRecord(soon(t), "y", []byte("4"), written); result != leader.Done {
		t.Errorf("write over a known record: %v", result)
	}
	if records, _ = crashRecordsOf(t, a); string(records["y"].Value) != "4" || string(records["z"].Value) != "2" {
		t.Errorf("records %+v", records)
	}
}

func testCrashRecordLostResponse(t *testing.T, h StoreHarness) {
	a := h.Store(0)
	_, at := crashRecordsOf(t, a)
	h.SetFault(0, ResponseLost)
	if result, _ := a.WriteCrashRecord(brief(t), "y", []byte("1"), revision.Revision{Era: at.Era}); result != leader.Unknown {
		t.Errorf("write whose response is lost: %v", result)
	}
	h.SetFault(0, NoFault)
	if records, _ := crashRecordsOf(t, a); string(records["y"].Value) != "1" {
		t.Errorf("records %+v", records)
	}
}

// A restored store has the older record, and refuses a write that expects the lost one.
func testCrashRecordsRestored(t *testing.T, h StoreHarness) {
	a := h.Store(0)
	_, at := crashRecordsOf(t, a)
	_, first := a.WriteCrashRecord(soon(t), "y", []byte("1"), revision.Revision{Era: at.Era})
	h.TakeSnapshot()
	_, second := a.WriteCrashRecord(soon(t), "y", []byte("2"), first)
	h.RestoreSnapshot()
	records, _ := crashRecordsOf(t, a)
	if string(records["y"].Value) != "1" {
		t.Errorf("records %+v", records)
	}
	if result, _ := a.WriteCrashRecord(soon(t), "y", []byte("3"), second); result != leader.Conflict {
		t.Errorf("write that expects a lost record: %v", result)
	}
	if result, _ := a.WriteCrashRecord(soon(t), "y", []byte("3"), records["y"].At); result != leader.Done {
		t.Errorf("write over the restored record: %v", result)
	}
}
