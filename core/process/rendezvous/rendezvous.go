// Package rendezvous chooses the same instance for a key everywhere without
// asking anybody: highest random weight over the instances that are seen.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/id"
)

// Owner returns the candidate that key belongs to, "" if there is none. When a
// candidate leaves, only its own keys move.
func Owner(key string, candidates []id.Instance) id.Instance {
	var best id.Instance
	var most uint64
	for _, c := range candidates {
		w := weight(key, c)
		if best == "" || w > most || (w == most && c < best) {
			best, most = c, w
		}
	}
	return best
}

// Rank returns the n candidates of highest weight for key, the highest first.
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
