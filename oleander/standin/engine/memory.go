package engine

import (
	"context"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// heldArtifact is an artifact in the engine's memory, loaded or not yet.
type heldArtifact struct {
	artifact  id.Artifact
	order     id.Order // last accepted order to load or unload it
	bytes     int64
	state     message.LoadState
	running   int                // calls that run or wait for a slot
	uses      uint64             // calls since the load
	loadedAt  time.Time          // zero until loaded
	idleSince time.Time          // zero unless loaded and running is 0
	cancel    context.CancelFunc // ends the load
}

// usedBytes returns the memory taken by artifacts. It must be called with the lock
// held.
func (e *Engine) usedBytes() int64 {
	var n int64
	for _, h := range e.held {
		n += h.bytes
	}
	return n
}

// remove frees the memory of an artifact. If it was loaded, its checkpoint is cached
// in host memory. It must be called with the lock held.
func (e *Engine) remove(h *heldArtifact) {
	h.cancel()
	delete(e.held, h.artifact)
	e.recorder.endLoaded(h, time.Now())
	if !h.loadedAt.IsZero() {
		e.memory.add(h.artifact, h.bytes)
	}
}

// requestCounts holds the numbers of running requests at one time. A report may
// show older ones, see Faults.RequestCountLag.
type requestCounts struct {
	takenAt time.Time
	total   int
	running map[id.Artifact]int
}

// countRequests returns the current numbers of running requests. It must be called
// with the lock held.
func (e *Engine) countRequests(now time.Time) requestCounts {
	s := requestCounts{takenAt: now, running: make(map[id.Artifact]int, len(e.held))}
	for a, h := range e.held {
		s.running[a] = h.running
		s.total += h.running
	}
	return s
}

// reportHeld returns the artifacts in memory for the report, sorted by name. It must
// be called with the lock held.
func (e *Engine) reportHeld(now time.Time) []message.HeldArtifact {
	out := make([]message.HeldArtifact, 0, len(e.held))
	for _, h := range e.held {
		m := message.HeldArtifact{
			Artifact: h.artifact, State: h.state, Order: h.order, Bytes: h.bytes,
			Running: e.requestCounts.running[h.artifact], Uses: h.uses,
		}
		if !h.idleSince.IsZero() {
			m.Idle = now.Sub(h.idleSince)
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b message.HeldArtifact) int {
		return strings.Compare(string(a.Artifact), string(b.Artifact))
	})
	return out
}

// reportCached returns the cached checkpoints for the report, sorted by name, each
// with its fastest cache. It must be called with the lock held.
func (e *Engine) reportCached() []message.CachedArtifact {
	out := []message.CachedArtifact{}
	for _, c := range e.memory.entries {
		out = append(out, message.CachedArtifact{Artifact: c.artifact, Level: message.CacheMemory})
	}
	for _, c := range e.disk.entries {
		if !e.memory.has(c.artifact) {
			out = append(out, message.CachedArtifact{Artifact: c.artifact, Level: message.CacheDisk})
		}
	}
	slices.SortFunc(out, func(a, b message.CachedArtifact) int {
		return strings.Compare(string(a.Artifact), string(b.Artifact))
	})
	return out
}

// cacheLevel returns from where a load would take the checkpoint of a. It must be
// called with the lock held.
func (e *Engine) cacheLevel(a id.Artifact) message.CacheLevel {
	switch {
	case e.memory.has(a):
		return message.CacheMemory
	case e.disk.has(a):
		return message.CacheDisk
	}
	return message.CacheRemote
}

// cache holds checkpoints up to a total size and evicts the least recently added
// ones.
type cache struct {
	limit   int64        // bytes
	used    int64        // bytes
	entries []cacheEntry // oldest first
}

type cacheEntry struct {
	artifact id.Artifact
	bytes    int64
}

func newCache(limit int64) *cache { return &cache{limit: limit} }

func (c *cache) has(a id.Artifact) bool {
	return slices.ContainsFunc(c.entries, func(e cacheEntry) bool { return e.artifact == a })
}

func (c *cache) add(a id.Artifact, bytes int64) {
	c.remove(a)
	if bytes > c.limit {
		return
	}
	for c.used+bytes > c.limit {
		c.remove(c.entries[0].artifact)
	}
	c.entries = append(c.entries, cacheEntry{artifact: a, bytes: bytes})
	c.used += bytes
}

func (c *cache) remove(a id.Artifact) {
	c.entries = slices.DeleteFunc(c.entries, func(e cacheEntry) bool {
		if e.artifact != a {
			return false
		}
		c.used -= e.bytes
		return true
	})
}
