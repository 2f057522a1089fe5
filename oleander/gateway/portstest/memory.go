// Package portstest contains tests of the contract of package ports, to run against
// every adapter, and in-memory implementations of it. It is an ordinary package, not
// test files, because the tests of several packages use it.
package portstest

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
)

// Fault is a way in which the calls of one caller fail.
type Fault int

// Faults of a store.
const (
	NoFault      Fault = iota
	Unavailable        // fails at once, without effect
	Slow               // responds after SlowDelay
	ResponseLost       // takes effect, but the response is lost
	NoResponse         // no effect and no response
	LateWrite          // no response; a write takes effect after LateWriteDelay if its condition holds then
)

const (
	// SlowDelay is the response time under Slow.
	SlowDelay = 80 * time.Millisecond
	// LateWriteDelay is the time until a write takes effect under LateWrite.
	LateWriteDelay = 200 * time.Millisecond
)

// MemoryStore implements StoreHarness with a store in memory.
type MemoryStore struct {
	mu           sync.Mutex
	manifests    map[string]*manifest.Manifest // by their stored form
	state        state
	snapshot     state
	era          int64
	historyStart int64         // the history up to this version is gone
	faults       map[int]Fault // by caller
	changed      chan struct{} // closed at the next change
	pageSize     int           // maximum number of servers in a page; 0: unlimited
	pagesRead    int
}

// state is the content of the store, which RestoreSnapshot replaces.
type state struct {
	manifest        []byte
	manifestVersion int64 // version of its last change
	servers         map[string]directory.Entry
	removalVersions map[string]int64 // version of a server's removal
	serverVersions  map[string]int64 // version of a server's last change
	evacuations     map[string]evacuation.Row
	peers           map[string]ports.Peer
	leases          map[leaseKey]leader.Row
	crashRecords    map[string]crashRecord // by zone
	version         int64
}

type crashRecord struct {
	value     []byte
	version   int64
	writtenAt time.Time
}

// leaseKey identifies the row of a lease: each era has its own.
type leaseKey struct {
	name ports.LeaseName
	era  int64
}

func newState() state {
	return state{
		servers: make(map[string]directory.Entry), removalVersions: make(map[string]int64), serverVersions: make(map[string]int64),
		evacuations: make(map[string]evacuation.Row), peers: make(map[string]ports.Peer), leases: make(map[leaseKey]leader.Row),
		crashRecords: make(map[string]crashRecord),
	}
}

// clone returns a copy that shares no maps.
func (s state) clone() state {
	s.servers, s.removalVersions, s.serverVersions = maps.Clone(s.servers), maps.Clone(s.removalVersions), maps.Clone(s.serverVersions)
	s.evacuations, s.peers, s.leases = maps.Clone(s.evacuations), maps.Clone(s.peers), maps.Clone(s.leases)
	s.crashRecords = maps.Clone(s.crashRecords)
	return s
}

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		manifests: make(map[string]*manifest.Manifest), state: newState(), snapshot: newState(),
		faults: make(map[int]Fault), changed: make(chan struct{}),
	}
}

// TakeSnapshot implements StoreHarness.
func (m *MemoryStore) TakeSnapshot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.snapshot = m.state.clone()
}

// RestoreSnapshot implements StoreHarness.
func (m *MemoryStore) RestoreSnapshot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = m.snapshot.clone()
	m.era++
	m.notifyWatchers()
}

// SetEvacuation implements StoreHarness.
func (m *MemoryStore) SetEvacuation(zone string, active bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.evacuations[zone] = evacuation.Row{Zone: zone, Version: m.nextVersion(), Removed: !active}
}

// Store implements StoreHarness.
func (m *MemoryStore) Store(caller int) ports.Store { return &callerView{store: m, caller: caller} }

// SetFault implements StoreHarness.
func (m *MemoryStore) SetFault(caller int, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[caller] = f
	m.notifyWatchers()
}

// nextVersion advances the version for a change and wakes the watches. The caller
// holds mu.
func (m *MemoryStore) nextVersion() int64 {
	m.state.version++
	m.notifyWatchers()
	return m.state.version
}

// notifyWatchers wakes all waiting watches. The caller holds mu.
func (m *MemoryStore) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetManifest stores a manifest.
func (m *MemoryStore) SetManifest(c *manifest.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw := strconv.FormatUint(c.Version, 10)
	m.manifests[raw], m.state.manifest = c, []byte(raw)
	m.state.manifestVersion = m.nextVersion()
}

// SetEmptyManifest implements StoreHarness.
func (m *MemoryStore) SetEmptyManifest(version uint64) {
	m.SetManifest(manifest.New(version, manifest.Limits{}))
}

// PutServer implements StoreHarness.
func (m *MemoryStore) PutServer(e directory.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.state.removalVersions, e.ID)
	m.state.servers[e.ID], m.state.serverVersions[e.ID] = e, m.nextVersion()
}

// Server returns the entry of a backend server.
func (m *MemoryStore) Server(id string) directory.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.servers[id]
}

// RemoveServer implements StoreHarness.
func (m *MemoryStore) RemoveServer(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.state.servers, id)
	m.state.removalVersions[id] = m.nextVersion()
}

// PutInvalidRows does nothing: the store holds decoded values only.
func (m *MemoryStore) PutInvalidRows() {}

// SetPageSize bounds the number of servers in a page; 0: unlimited.
func (m *MemoryStore) SetPageSize(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pageSize = n
}

// PagesRead returns how many pages of servers were read.
func (m *MemoryStore) PagesRead() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pagesRead
}

// DropHistory implements StoreHarness.
func (m *MemoryStore) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.historyStart = m.nextVersion()
}

// callerView implements ports.Store for one caller.
type callerView struct {
	store  *MemoryStore
	caller int
}

var errUnavailable = errors.Wrap(ports.ErrUnavailable, "memory")

// call runs f, which carries a call out, under the caller's fault.
func (v *callerView) call(ctx context.Context, f func()) error {
	m := v.store
	m.mu.Lock()
	fault := m.faults[v.caller]
	m.mu.Unlock()
	switch fault {
	case Unavailable:
		return errUnavailable
	case NoResponse:
		<-ctx.Done()
		return errUnavailable
	case LateWrite:
		time.AfterFunc(LateWriteDelay, func() { v.apply(f) })
		<-ctx.Done()
		return errUnavailable
	case Slow:
		select {
		case <-time.After(SlowDelay):
		case <-ctx.Done():
			return errUnavailable
		}
	}
	v.apply(f)
	if fault == ResponseLost {
		return errUnavailable
	}
	return nil
}

// apply runs f with mu held.
func (v *callerView) apply(f func()) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	f()
}

// Era implements ports.Store.
func (v *callerView) Era() int64 {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	return v.store.era
}

// revision returns the revision of the store. The caller holds mu.
func (m *MemoryStore) revision() revision.Revision {
	return revision.Revision{Era: m.era, Version: m.state.version}
}

// OperatorState implements ports.Store.
func (v *callerView) OperatorState(ctx context.Context) (o ports.OperatorState, at revision.Revision, err error) {
	m := v.store
	err = v.call(ctx, func() {
		o.Manifest, at = m.state.manifest, m.revision()
		for _, zone := range slices.Sorted(maps.Keys(m.state.evacuations)) {
			if r := m.state.evacuations[zone]; !r.Removed {
				o.Evacuations = append(o.Evacuations, r)
			}
		}
	})
	return o, at, err
}

// waitForChange waits until the store has a revision after the given one.
func (v *callerView) waitForChange(ctx context.Context, after revision.Revision, wait time.Duration) {
	timeout := time.After(wait)
	for {
		v.store.mu.Lock()
		newer, changed := after.Before(v.store.revision()), v.store.changed
		v.store.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// WatchOperatorState implements ports.Store.
func (v *callerView) WatchOperatorState(ctx context.Context, after revision.Revision, wait time.Duration) (o ports.OperatorState, at revision.Revision, err error) {
	m := v.store
	v.waitForChange(ctx, after, wait)
	err = v.call(ctx, func() {
		at = m.revision()
		if m.state.manifestVersion > after.Version {
			o.Manifest = m.state.manifest
		}
		for _, zone := range slices.Sorted(maps.Keys(m.state.evacuations)) {
			if r := m.state.evacuations[zone]; r.Version > after.Version {
				o.Evacuations = append(o.Evacuations, r)
			}
		}
	})
	if err == nil && at.Era != after.Era {
		return ports.OperatorState{}, at, ports.ErrHistoryGone
	}
	return o, at, err
}

// DecodeManifest implements ports.Store.
func (v *callerView) DecodeManifest(raw []byte) (*manifest.Manifest, error) {
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	c := v.store.manifests[string(raw)]
	if c == nil {
		return nil, errors.Errorf("memory: no manifest is stored as %q", raw)
	}
	return c, nil
}

// entry returns the entry of a server with its revision. The caller holds mu.
func (m *MemoryStore) entry(id string) directory.Entry {
	e := m.state.servers[id]
	e.Revision = revision.Revision{Era: m.era, Version: m.state.serverVersions[id]}
	return e
}

// ServersPage implements ports.Store.
func (v *callerView) ServersPage(ctx context.Context, from string) (p ports.ServersPage, err error) {
	m := v.store
	err = v.call(ctx, func() {
		p.At = m.revision()
		m.pagesRead++
		for _, id := range slices.Sorted(maps.Keys(m.state.servers)) {
			if id < from {
				continue
			}
			if m.pageSize > 0 && len(p.Entries) == m.pageSize {
				p.Next = id
				break
			}
			p.Entries = append(p.Entries, m.entry(id))
		}
	})
	return p, err
}

// WatchServers implements ports.Store.
func (v *callerView) WatchServers(ctx context.Context, after revision.Revision, wait time.Duration) (changes []ports.ServerChange, at revision.Revision, err error) {
	m := v.store
	v.waitForChange(ctx, after, wait)
	historyGone := false
	err = v.call(ctx, func() {
		if historyGone = after.Era != m.era || after.Version < m.historyStart; historyGone {
			return
		}
		at = m.revision()
		for _, id := range slices.Sorted(maps.Keys(m.state.servers)) {
			if m.state.serverVersions[id] > after.Version {
				changes = append(changes, ports.ServerChange{Entry: m.entry(id)})
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.state.removalVersions)) {
			if m.state.removalVersions[id] > after.Version {
				changes = append(changes, ports.ServerChange{
					Entry: directory.Entry{ID: id, Revision: revision.Revision{Era: m.era, Version: m.state.removalVersions[id]}}, Removed: true,
				})
			}
		}
	})
	if historyGone {
		return nil, at, ports.ErrHistoryGone
	}
	return changes, at, err
}

// Peers implements ports.Store.
func (v *callerView) Peers(ctx context.Context) (all []ports.Peer, err error) {
	m := v.store
	err = v.call(ctx, func() {
		for _, name := range slices.Sorted(maps.Keys(m.state.peers)) {
			all = append(all, m.state.peers[name])
		}
	})
	return all, err
}

// RegisterPeer implements ports.Store.
func (v *callerView) RegisterPeer(ctx context.Context, p ports.Peer) error {
	return v.call(ctx, func() { v.store.state.peers[p.Name] = p; v.store.nextVersion() })
}

// Lease implements ports.Store.
func (v *callerView) Lease(ctx context.Context, name ports.LeaseName) (r leader.Row, err error) {
	m := v.store
	err = v.call(ctx, func() {
		r = m.state.leases[leaseKey{name, m.era}]
		r.At.Era = m.era
		for k := range m.state.leases {
			r.Earlier = r.Earlier || k.name == name && k.era != m.era
		}
	})
	return r, err
}

// WriteLease implements ports.Store.
func (v *callerView) WriteLease(ctx context.Context, name ports.LeaseName, r leader.Record, expect revision.Revision) (leader.Result, revision.Revision) {
	m := v.store
	var result leader.Result
	var at revision.Revision
	err := v.call(ctx, func() {
		result = leader.Conflict
		k := leaseKey{name, expect.Era}
		if expect.Version != m.state.leases[k].At.Version {
			return
		}
		m.nextVersion()
		m.state.leases[k] = leader.Row{Record: r, At: m.revision()}
		if expect.Era == m.era {
			result, at = leader.Done, m.revision()
		}
	})
	if err != nil {
		return leader.Unknown, revision.Revision{}
	}
	return result, at
}

// CrashRecords implements ports.Store.
func (v *callerView) CrashRecords(ctx context.Context) (records []ports.CrashRecord, at revision.Revision, err error) {
	m := v.store
	err = v.call(ctx, func() {
		at = m.revision()
		for _, zone := range slices.Sorted(maps.Keys(m.state.crashRecords)) {
			r := m.state.crashRecords[zone]
			records = append(records, ports.CrashRecord{
				Zone: zone, Value: r.value, At: revision.Revision{Era: m.era, Version: r.version}, Age: time.Since(r.writtenAt),
			})
		}
	})
	return records, at, err
}

// WriteCrashRecord implements ports.Store.
func (v *callerView) WriteCrashRecord(ctx context.Context, zone string, value []byte, expect revision.Revision) (leader.Result, revision.Revision) {
	m := v.store
	var result leader.Result
	var at revision.Revision
	err := v.call(ctx, func() {
		result = leader.Conflict
		if expect != (revision.Revision{Era: m.era, Version: m.state.crashRecords[zone].version}) {
			return
		}
		m.state.crashRecords[zone] = crashRecord{value: value, version: m.nextVersion(), writtenAt: time.Now()}
		result, at = leader.Done, m.revision()
	})
	if err != nil {
		return leader.Unknown, revision.Revision{}
	}
	return result, at
}
