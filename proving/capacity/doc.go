// Package capacity measures how the cost of an instance grows with the size of a
// deployment. docs/CAPACITY.md derives from these figures what each role needs in
// the largest planned deployment. The package holds benchmarks, and one test of
// them. To run it:
//
//	go test -run XXX -bench . -benchtime 1x ./proving/capacity
package capacity
