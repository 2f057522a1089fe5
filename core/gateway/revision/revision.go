// Package revision orders the states of the platform's store.
//
// The store counts its transactions, and a later state has a higher version. When it
// comes back from an older copy, versions go back and are given out again for other
// states; its era rises with each such return. So two states are told apart and ordered
// by era and version together, never by the version alone.
package revision

import "cmp"

// Revision is a state of the store.
type Revision struct {
	Era     int64 // returns from an older copy so far
	Version int64 // transactions, as this copy counts them
}

// Compare orders revisions: negative if a is older than b.
func Compare(a, b Revision) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Version, b.Version))
}

// Before reports whether a is older than b.
func (a Revision) Before(b Revision) bool { return Compare(a, b) < 0 }
