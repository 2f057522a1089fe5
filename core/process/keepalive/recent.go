package keepalive

// EvictLRU takes keep times from another policy, but evicts the least recently
// used artifact.
//
// Eviction by the expected cost from known gaps was measured to be worse. Under
// memory pressure an artifact's own evictions distort its gaps, and of the
// artifacts in a burst the least expected one was evicted, shortly before its
// next calls. docs/design/keep-alive.md has the figures.
type EvictLRU struct {
	Policy
	lru Fixed
}

// EvictionCost implements Policy. It decreases with the idle time.
func (e EvictLRU) EvictionCost(it IdleArtifact) float64 { return e.lru.EvictionCost(it) }
