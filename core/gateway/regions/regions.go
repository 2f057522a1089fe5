// Package regions provides sets of allowed regions: those in which the requests of a route
// or a client account may run.
package regions

import (
	"slices"
	"strings"
)

// Set is a set of allowed regions in a comparable form, so that it can be part of a map
// key. The empty Set allows all regions.
type Set string

const separator = ","

// Of returns the set of the named regions.
func Of(names []string) Set {
	sorted := slices.Compact(slices.Sorted(slices.Values(names)))
	return Set(strings.Join(sorted, separator))
}

// Names returns the names of the regions, nil if the Set allows all regions.
func (s Set) Names() []string {
	if s == "" {
		return nil
	}
	return strings.Split(string(s), separator)
}

// Allows reports whether a request restricted to s may run in a region.
func (s Set) Allows(region string) bool { return s == "" || slices.Contains(s.Names(), region) }

// Intersect returns the regions that both sets allow. ok is false if there are none.
func Intersect(a, b Set) (shared Set, ok bool) {
	if a == "" || b == "" {
		return a + b, true
	}
	names := slices.DeleteFunc(a.Names(), func(r string) bool { return !b.Allows(r) })
	return Of(names), len(names) > 0
}
