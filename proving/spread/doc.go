// Package spread compares strategies for disseminating one update to all
// instances of the largest planned deployment: the messages and time that each
// takes, and the share of instances that it reaches while nodes or links have
// failed. It simulates packets on graphs with fixed seeds and runs no instance
// code. The results and the choice are in docs/design/spreading.md. To run it:
//
//	go test -run XXX -bench . -benchtime 1x ./proving/spread
package spread
