package spread

// MaxRangeJumps returns the max-range base-k jumps below n: the distances of a
// node's fingers on a ring of n nodes. They make the ring that can be covered
// within a given number of hops as large as possible.
//
// Chiola, Cordasco, Gargano, Negro, Scarano: Optimizing the finger tables in
// Chord-like DHTs, Concurrency and Computation: Practice and Experience 2008,
// definition 3.2.
func MaxRangeJumps(k, n int) []int {
	jumps := []int{1}
	reach := 1 // R(l) of the paper: number of nodes within l hops
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

// PowerJumps returns the multiples i*k^e below n with 0 < i < k. For k=2 they are
// the finger distances of Chord.
func PowerJumps(k, n int) []int {
	var jumps []int
	for p := 1; p < n; p *= k {
		for i := 1; i < k && i*p < n; i++ {
			jumps = append(jumps, i*p)
		}
	}
	return jumps
}
