package keepalive

// EvictLRU keeps idle artifacts as another policy says, and evicts the one
// that has been idle longest.
//
// Expected loss by known gaps looked better on paper, and was measured to be
// worse: under pressure every artifact's gaps are bent by its own evictions, and
// the least expected one of a burst went first, while its next calls were on
// their way. docs/design/keep-alive.md has the figures.
type EvictLRU struct {
	Policy
	order Fixed
}

// EvictionCost implements Policy: the longer idle, the smaller.
func (e EvictLRU) EvictionCost(it IdleArtifact) float64 { return e.order.EvictionCost(it) }
