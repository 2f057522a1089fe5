// Package revision identifies and orders the states of the platform's store.
//
// The store's version counts its transactions. When the store is restored from an older
// copy, the version goes back and its values are reused for other states, and the store's
// era increases. States are therefore compared by era and version together, never by the
// version alone.
package revision

import "cmp"

// Revision identifies a state of the store.
type Revision struct {
	Era     int64 // restores from an older copy so far
	Version int64 // transactions, as counted by this copy
}

// Compare orders revisions: negative if a is older than b.
func Compare(a, b Revision) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Version, b.Version))
}

// Before reports whether a is older than b.
func (a Revision) Before(b Revision) bool { return Compare(a, b) < 0 }

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
