// Package portstest holds the contract of package ports as tests, which run
// against every adapter, and a store in memory that keeps it. It is a package of
// its own, and not test files, since the tests of several packages use it.
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

// Fault says how the calls of one caller fail.
type Fault int

// The faults.
const (
	NoFault      Fault = iota
	Unavailable        // an error at once; nothing was done
	Slow               // answers, after SlowBy
	ResponseLost       // done, and the answer lost
	NoResponse         // not done, no answer
	LateWrite          // no answer; a write is done after LateBy, if its condition still holds
)

const (
	// SlowDelay is how long a slow store takes.
	SlowDelay = 80 * time.Millisecond
	// LateWriteDelay is when a late write is carried out.
	LateWriteDelay = 200 * time.Millisecond
)

// MemoryStore is a store in memory.
type MemoryStore struct {
	mu      sync.Mutex
	configs map[string]*manifest.Manifest // by what is stored
	state   state
	copied  state
	era     int64
	forgot  int64 // version up to which history is gone
	faults  map[int]Fault
	changed chan struct{}
}

// state is what the store keeps, and loses when it returns from a copy.
type state struct {
	config      []byte
	configAt    int64 // its version
	servers     map[string]directory.Entry
	removed     map[string]int64
	written     map[string]int64 // version of a server's last change
	evacuations map[string]evacuation.Row
	peers       map[string]ports.Peer
	leases      map[leaseKey]leader.Row
	version     int64
}

type leaseKey struct {
	name ports.LeaseName
	era  int64
}

func newState() state {
	return state{
		servers: make(map[string]directory.Entry), removed: make(map[string]int64), written: make(map[string]int64),
		evacuations: make(map[string]evacuation.Row), peers: make(map[string]ports.Peer), leases: make(map[leaseKey]leader.Row),
	}
}

func (s state) clone() state {
	s.servers, s.removed, s.written = maps.Clone(s.servers), maps.Clone(s.removed), maps.Clone(s.written)
	s.evacuations, s.peers, s.leases = maps.Clone(s.evacuations), maps.Clone(s.peers), maps.Clone(s.leases)
	return s
}

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore {
	return &MemoryStore{
		configs: make(map[string]*manifest.Manifest), state: newState(), copied: newState(),
		faults: make(map[int]Fault), changed: make(chan struct{}),
	}
}

// TakeSnapshot keeps a copy of the store as it is.
func (m *MemoryStore) TakeSnapshot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.copied = m.state.clone()
}

// RestoreSnapshot brings the copy back, in a new era.
func (m *MemoryStore) RestoreSnapshot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = m.copied.clone()
	m.era++
	m.wake()
}

// SetEvacuation asks for a zone to be evacuated, or takes that back.
func (m *MemoryStore) SetEvacuation(zone string, active bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.evacuations[zone] = evacuation.Row{Zone: zone, Version: m.change(), Removed: !active}
}

// Store returns the store as one caller reaches it.
func (m *MemoryStore) Store(caller int) ports.Store { return &view{memory: m, caller: caller} }

// SetFault makes the calls of one caller fail from now on.
func (m *MemoryStore) SetFault(caller int, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[caller] = f
	m.wake()
}

// change makes a change under the next version. The caller holds mu.
func (m *MemoryStore) change() int64 {
	m.state.version++
	m.wake()
	return m.state.version
}

func (m *MemoryStore) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetManifest stores a manifest.
func (m *MemoryStore) SetManifest(c *manifest.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw := strconv.FormatUint(c.Version, 10)
	m.configs[raw], m.state.config = c, []byte(raw)
	m.state.configAt = m.change()
}

// SetConfig stores an empty manifest of a version.
func (m *MemoryStore) SetConfig(version uint64) {
	m.SetManifest(manifest.New(version, manifest.Limits{}))
}

// PutServer writes the entry of a backend server.
func (m *MemoryStore) PutServer(e directory.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.state.removed, e.ID)
	m.state.servers[e.ID], m.state.written[e.ID] = e, m.change()
}

// Server returns the entry of a backend server.
func (m *MemoryStore) Server(id string) directory.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.servers[id]
}

// RemoveServer drops an entry.
func (m *MemoryStore) RemoveServer(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.state.servers, id)
	m.state.removed[id] = m.change()
}

// PutInvalidRows does nothing: there are no bytes here that could be unreadable.
func (m *MemoryStore) PutInvalidRows() {}

// DropHistory drops the history up to now.
func (m *MemoryStore) DropHistory() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgot = m.change()
}

// view is the store as one caller reaches it.
type view struct {
	memory *MemoryStore
	caller int
}

var errAway = errors.Wrap(ports.ErrUnavailable, "memory")

// do carries a call out under the caller's fault.
func (v *view) do(ctx context.Context, f func()) error {
	m := v.memory
	m.mu.Lock()
	fault := m.faults[v.caller]
	m.mu.Unlock()
	switch fault {
	case Unavailable:
		return errAway
	case NoResponse:
		<-ctx.Done()
		return errAway
	case LateWrite:
		time.AfterFunc(LateWriteDelay, func() { v.apply(f) })
		<-ctx.Done()
		return errAway
	case Slow:
		select {
		case <-time.After(SlowDelay):
		case <-ctx.Done():
			return errAway
		}
	}
	v.apply(f)
	if fault == ResponseLost {
		return errAway
	}
	return nil
}

func (v *view) apply(f func()) {
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	f()
}

// Era implements ports.Store.
func (v *view) Era() int64 {
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	return v.memory.era
}

// at returns the revision of the store. The caller holds mu.
func (m *MemoryStore) at() revision.Revision {
	return revision.Revision{Era: m.era, Version: m.state.version}
}

// OperatorState implements ports.Store.
func (v *view) OperatorState(ctx context.Context) (o ports.OperatorState, at revision.Revision, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		o.Manifest, at = m.state.config, m.at()
		for _, zone := range slices.Sorted(maps.Keys(m.state.evacuations)) {
			if r := m.state.evacuations[zone]; !r.Removed {
				o.Evacuations = append(o.Evacuations, r)
			}
		}
	})
	return o, at, err
}

// await waits for a revision after one.
func (v *view) await(ctx context.Context, after revision.Revision, wait time.Duration) {
	end := time.After(wait)
	for {
		v.memory.mu.Lock()
		reached, changed := after.Before(v.memory.at()), v.memory.changed
		v.memory.mu.Unlock()
		if reached {
			return
		}
		select {
		case <-changed:
		case <-end:
			return
		case <-ctx.Done():
			return
		}
	}
}

// WatchOperatorState implements ports.Store.
func (v *view) WatchOperatorState(ctx context.Context, after revision.Revision, wait time.Duration) (o ports.OperatorState, at revision.Revision, err error) {
	m := v.memory
	v.await(ctx, after, wait)
	err = v.do(ctx, func() {
		at = m.at()
		if m.state.configAt > after.Version {
			o.Manifest = m.state.config
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
func (v *view) DecodeManifest(raw []byte) (*manifest.Manifest, error) {
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	c := v.memory.configs[string(raw)]
	if c == nil {
		return nil, errors.Errorf("memory: no manifest %q", raw)
	}
	return c, nil
}

// server returns an entry with the revision that wrote it. The caller holds mu.
func (m *MemoryStore) server(id string) directory.Entry {
	e := m.state.servers[id]
	e.Revision = revision.Revision{Era: m.era, Version: m.state.written[id]}
	return e
}

// Servers implements ports.Store.
func (v *view) Servers(ctx context.Context) (entries []directory.Entry, at revision.Revision, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		at = m.at()
		for _, id := range slices.Sorted(maps.Keys(m.state.servers)) {
			entries = append(entries, m.server(id))
		}
	})
	return entries, at, err
}

// WatchServers implements ports.Store.
func (v *view) WatchServers(ctx context.Context, after revision.Revision, wait time.Duration) (changes []ports.ServerChange, at revision.Revision, err error) {
	m := v.memory
	v.await(ctx, after, wait)
	gone := false
	err = v.do(ctx, func() {
		if gone = after.Era != m.era || after.Version < m.forgot; gone {
			return
		}
		at = m.at()
		for _, id := range slices.Sorted(maps.Keys(m.state.servers)) {
			if m.state.written[id] > after.Version {
				changes = append(changes, ports.ServerChange{Entry: m.server(id)})
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.state.removed)) {
			if m.state.removed[id] > after.Version {
				changes = append(changes, ports.ServerChange{
					Entry: directory.Entry{ID: id, Revision: revision.Revision{Era: m.era, Version: m.state.removed[id]}}, Removed: true,
				})
			}
		}
	})
	if gone {
		return nil, at, ports.ErrHistoryGone
	}
	return changes, at, err
}

// Peers implements ports.Store.
func (v *view) Peers(ctx context.Context) (all []ports.Peer, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		for _, name := range slices.Sorted(maps.Keys(m.state.peers)) {
			all = append(all, m.state.peers[name])
		}
	})
	return all, err
}

// RegisterPeer implements ports.Store.
func (v *view) RegisterPeer(ctx context.Context, p ports.Peer) error {
	return v.do(ctx, func() { v.memory.state.peers[p.Name] = p; v.memory.change() })
}

// Lease implements ports.Store.
func (v *view) Lease(ctx context.Context, name ports.LeaseName) (r leader.Row, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		r = m.state.leases[leaseKey{name, m.era}]
		r.At.Era = m.era
		for k := range m.state.leases {
			r.Earlier = r.Earlier || k.name == name && k.era != m.era
		}
	})
	return r, err
}

// WriteLease implements ports.Store.
func (v *view) WriteLease(ctx context.Context, name ports.LeaseName, r leader.Record, expect revision.Revision) (leader.Result, revision.Revision) {
	m := v.memory
	var result leader.Result
	var at revision.Revision
	err := v.do(ctx, func() {
		result = leader.Conflict
		k := leaseKey{name, expect.Era}
		if expect.Version != m.state.leases[k].At.Version {
			return
		}
		m.change()
		m.state.leases[k] = leader.Row{Record: r, At: m.at()}
		if expect.Era == m.era {
			result, at = leader.Done, m.at()
		}
	})
	if err != nil {
		return leader.Unknown, revision.Revision{}
	}
	return result, at
}
