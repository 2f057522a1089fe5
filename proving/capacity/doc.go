// Package capacity measures how the cost of an instance grows with the size of a
// deployment. docs/CAPACITY.md derives from these figures what each role needs in
// the largest planned deployment. It holds benchmarks, and a test that they
// measure the intended paths. To run it:
//
//	go test -run XXX -bench . -benchtime 1x ./proving/capacity
package capacity
