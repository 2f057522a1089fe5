// Package regions holds sets of regions: where a route's or a client account's requests may
// run.
package regions

import (
	"slices"
	"strings"
)

// Set is a set of regions, in a form that can be compared and be a part of a key. The
// empty Set bounds nothing.
type Set string

const separator = ","

// Of returns the set of regions with names.
func Of(names []string) Set {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	return Set(strings.Join(sorted, separator))
}

// Names returns the regions, nil if the Set bounds nothing.
func (s Set) Names() []string {
	if s == "" {
		return nil
	}
	return strings.Split(string(s), separator)
}

// Allows reports whether a request that s binds may run in a region.
func (s Set) Allows(region string) bool { return s == "" || slices.Contains(s.Names(), region) }

// Intersect returns the set of what two sets allow. ok is false if no region is in both.
func Intersect(a, b Set) (both Set, ok bool) {
	if a == "" || b == "" {
		return a + b, true
	}
	names := slices.DeleteFunc(a.Names(), func(r string) bool { return !b.Allows(r) })
	return Of(names), len(names) > 0
}
