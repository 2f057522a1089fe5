// Package invariant checks invariants of the decision logic at run time.
//
// In tests a violation panics, so that the run stops where it is detected. In
// production it is reported and the caller takes its safe branch: refuse, do not
// load, do not send.
package invariant

import "fmt"

// Violation describes a violated invariant.
type Violation struct {
	Name   string // constant, also the label of the metric
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return "invariant " + v.Name + " violated: " + v.Detail }

// Checker checks invariants. The zero value and nil panic on a violation.
type Checker struct {
	report func(Violation)
}

// Reporting returns a Checker that calls report instead of panicking.
func Reporting(report func(Violation)) *Checker { return &Checker{report: report} }

// Hold reports a violation if cond is false. It returns cond, so that the caller
// can take its safe branch:
//
//	if !c.Hold(used <= size, "memory", "%d of %d bytes", used, size) { return }
func (c *Checker) Hold(cond bool, name, format string, args ...any) bool {
	if cond {
		return true
	}
	v := Violation{Name: name, Detail: fmt.Sprintf(format, args...)}
	if c == nil || c.report == nil {
		panic(v)
	}
	c.report(v)
	return false
}
