// Package invariant asserts what must hold inside the decision logic.
//
// In tests a violation panics, so that the run stops where it shows. In
// production it is reported and the caller takes its safe branch: refuse, do
// not load, do not send.
package invariant

import "fmt"

// Violation describes one broken invariant.
type Violation struct {
	Name   string // fixed name, for the metric
	Detail string
}

// Error implements error.
func (v Violation) Error() string { return "invariant " + v.Name + " violated: " + v.Detail }

// Checker asserts invariants. The zero value panics on a violation.
type Checker struct {
	report func(Violation)
}

// Reporting returns a Checker that calls report instead of panicking.
func Reporting(report func(Violation)) *Checker { return &Checker{report: report} }

// Hold asserts cond and returns it, so that a caller can take the safe branch:
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
