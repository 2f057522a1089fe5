// Package spread compares ways to spread one update over all instances of the
// size to design for: what each costs in messages and time, and how many
// instances it reaches while some are dead. It is a calculation over graphs
// with fixed seeds; nothing of an instance runs in it. The outcome and the
// choice are in docs/design/spreading.md:
//
//	go test -run XXX -bench . -benchtime 1x ./proving/spread
package spread
