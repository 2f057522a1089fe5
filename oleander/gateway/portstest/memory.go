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
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/gateway/ports"
)

// Fault says how the calls of one caller fail.
type Fault int

// The faults.
const (
	None        Fault = iota
	Unavailable       // an error at once; nothing was done
	Slow              // answers, after SlowBy
	Lost              // done, and the answer lost
	Silent            // not done, no answer
	Late              // no answer; a write is done after LateBy, if its condition still holds
)

const (
	// SlowBy is how long a slow store takes.
	SlowBy = 80 * time.Millisecond
	// LateBy is when a late write is carried out.
	LateBy = 200 * time.Millisecond
)

// Memory is a store in memory.
type Memory struct {
	mu      sync.Mutex
	configs map[string]*manifest.Manifest // by what is stored
	config  []byte
	servers map[string]directory.Entry
	removed map[string]int64
	written map[string]int64 // version of a server's last change
	peers   map[string]ports.Peer
	record  leader.Record
	lease   int64 // version of the record
	version int64 // of the store
	forgot  int64 // version up to which history is gone
	faults  map[int]Fault
	changed chan struct{}
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		configs: make(map[string]*manifest.Manifest), servers: make(map[string]directory.Entry),
		removed: make(map[string]int64), written: make(map[string]int64), peers: make(map[string]ports.Peer),
		faults: make(map[int]Fault), changed: make(chan struct{}),
	}
}

// Store returns the store as one caller reaches it.
func (m *Memory) Store(caller int) ports.Store { return &view{memory: m, caller: caller} }

// Fail makes the calls of one caller fail from now on.
func (m *Memory) Fail(caller int, f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[caller] = f
	m.wake()
}

// change makes a change under the next version. The caller holds mu.
func (m *Memory) change() int64 {
	m.version++
	m.wake()
	return m.version
}

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// SetManifest stores a manifest.
func (m *Memory) SetManifest(c *manifest.Manifest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	raw := strconv.FormatUint(c.Version, 10)
	m.configs[raw], m.config = c, []byte(raw)
	m.change()
}

// SetConfig stores an empty manifest of a version.
func (m *Memory) SetConfig(version uint64) {
	m.SetManifest(manifest.New(version, manifest.Limits{}))
}

// PutServer writes the entry of a backend server.
func (m *Memory) PutServer(e directory.Entry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.removed, e.ID)
	m.servers[e.ID], m.written[e.ID] = e, m.change()
}

// Server returns the entry of a backend server.
func (m *Memory) Server(id string) directory.Entry {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.servers[id]
}

// RemoveServer drops an entry.
func (m *Memory) RemoveServer(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.servers, id)
	m.removed[id] = m.change()
}

// PutForeign does nothing: there are no bytes here that could be unreadable.
func (m *Memory) PutForeign() {}

// Forget drops the history up to now.
func (m *Memory) Forget() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgot = m.change()
}

// view is the store as one caller reaches it.
type view struct {
	memory *Memory
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
	case Silent:
		<-ctx.Done()
		return errAway
	case Late:
		time.AfterFunc(LateBy, func() { v.apply(f) })
		<-ctx.Done()
		return errAway
	case Slow:
		select {
		case <-time.After(SlowBy):
		case <-ctx.Done():
			return errAway
		}
	}
	v.apply(f)
	if fault == Lost {
		return errAway
	}
	return nil
}

func (v *view) apply(f func()) {
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	f()
}

// Manifest implements ports.Store.
func (v *view) Manifest(ctx context.Context) (raw []byte, at int64, err error) {
	err = v.do(ctx, func() { raw, at = v.memory.config, v.memory.version })
	return raw, at, err
}

// await waits for a version after one.
func (v *view) await(ctx context.Context, after int64, wait time.Duration) {
	end := time.After(wait)
	for {
		v.memory.mu.Lock()
		reached, changed := v.memory.version > after, v.memory.changed
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

// WatchManifest implements ports.Store.
func (v *view) WatchManifest(ctx context.Context, after int64, wait time.Duration) ([]byte, int64, error) {
	v.await(ctx, after, wait)
	raw, at, err := v.Manifest(ctx)
	if at <= after {
		raw = nil
	}
	return raw, at, err
}

// Decode implements ports.Store.
func (v *view) Decode(raw []byte) (*manifest.Manifest, error) {
	v.memory.mu.Lock()
	defer v.memory.mu.Unlock()
	c := v.memory.configs[string(raw)]
	if c == nil {
		return nil, errors.Errorf("memory: no manifest %q", raw)
	}
	return c, nil
}

// Servers implements ports.Store.
func (v *view) Servers(ctx context.Context) (entries []directory.Entry, at int64, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		at = m.version
		for _, id := range slices.Sorted(maps.Keys(m.servers)) {
			entries = append(entries, m.servers[id])
		}
	})
	return entries, at, err
}

// WatchServers implements ports.Store.
func (v *view) WatchServers(ctx context.Context, after int64, wait time.Duration) (changes []ports.ServerChange, at int64, err error) {
	m := v.memory
	v.await(ctx, after, wait)
	gone := false
	err = v.do(ctx, func() {
		if gone = after < m.forgot; gone {
			return
		}
		at = m.version
		for _, id := range slices.Sorted(maps.Keys(m.servers)) {
			if m.written[id] > after {
				changes = append(changes, ports.ServerChange{Entry: m.servers[id]})
			}
		}
		for _, id := range slices.Sorted(maps.Keys(m.removed)) {
			if m.removed[id] > after {
				changes = append(changes, ports.ServerChange{Entry: directory.Entry{ID: id}, Removed: true})
			}
		}
	})
	if gone {
		return nil, 0, ports.ErrHistory
	}
	return changes, at, err
}

// Peers implements ports.Store.
func (v *view) Peers(ctx context.Context) (all []ports.Peer, err error) {
	m := v.memory
	err = v.do(ctx, func() {
		for _, name := range slices.Sorted(maps.Keys(m.peers)) {
			all = append(all, m.peers[name])
		}
	})
	return all, err
}

// Join implements ports.Store.
func (v *view) Join(ctx context.Context, p ports.Peer) error {
	return v.do(ctx, func() { v.memory.peers[p.Name] = p; v.memory.change() })
}

// Lease implements ports.Store.
func (v *view) Lease(ctx context.Context) (r leader.Record, version int64, err error) {
	err = v.do(ctx, func() { r, version = v.memory.record, v.memory.lease })
	return r, version, err
}

// WriteLease implements ports.Store.
func (v *view) WriteLease(ctx context.Context, r leader.Record, expect int64) (leader.Result, int64) {
	m := v.memory
	var result leader.Result
	var version int64
	err := v.do(ctx, func() {
		result = leader.Conflict
		if expect == m.lease {
			m.record, m.lease = r, m.change()
			result, version = leader.Done, m.lease
		}
	})
	if err != nil {
		return leader.Unknown, 0
	}
	return result, version
}
