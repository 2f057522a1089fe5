// Package capacity measures the slopes from which docs/CAPACITY.md works out
// what each role costs at the size to design for. It holds benchmarks only:
//
//	go test -run XXX -bench . -benchtime 1x ./proving/capacity
package capacity
