// Package rendezvous assigns keys to instances by rendezvous hashing (highest
// random weight). Instances that know the same candidates choose the same owner
// without communication.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/id"
)

// Owner returns the candidate that owns key, or "" if there are no candidates.
// When a candidate is removed, only the keys that it owned move.
func Owner(key string, candidates []id.Instance) id.Instance {
	var best id.Instance
	var highest uint64
	for _, c := range candidates {
		w := weight(key, c)
		if best == "" || w > highest || (w == highest && c < best) {
			best, highest = c, w
		}
	}
	return best
}

// Rank returns the n candidates with the highest weights for key, the highest
// first; the first is the owner.
func Rank(key string, candidates []id.Instance, n int) []id.Instance {
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b id.Instance) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}

func weight(key string, c id.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(c))
	return d.Sum64()
}
