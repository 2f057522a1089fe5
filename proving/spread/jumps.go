package spread

// MaxRange returns the max-range base-k jumps below n: the distances on a ring
// of n nodes at which a node has its fingers, for the smallest diameter over
// the largest ring.
//
// Chiola, Cordasco, Gargano, Negro, Scarano: Optimizing the finger tables in
// Chord-like DHTs, Concurrency and Computation: Practice and Experience 2008,
// definition 3.2.
func MaxRangeJumps(k, n int) []int {
	jumps := []int{1}
	reach := 1 // R(l): nodes within l hops
	for jumps[len(jumps)-1] < n {
		last := jumps[len(jumps)-1]
		for i := 1; i < k; i++ {
			jumps = append(jumps, last+i*reach)
		}
		reach = last + k*reach
	}
	for jumps[len(jumps)-1] >= n {
		jumps = jumps[:len(jumps)-1]
	}
	return jumps
}

// Powers returns the base-k jumps below n that Chord's fingers have for k=2.
func PowerJumps(k, n int) []int {
	var jumps []int
	for p := 1; p < n; p *= k {
		for i := 1; i < k && i*p < n; i++ {
			jumps = append(jumps, i*p)
		}
	}
	return jumps
}
