// Package version distributes configuration versions and decides which one is
// active at an instance.
//
// The configuration is a log of accepted changes. Each change is one row of the
// table service, and a further row, the head, names the newest version. In each
// availability zone a few instances read the head. All others learn of new
// versions from heartbeats and fetch them from one another, so that a zone that
// can't reach the table service still gets every version that some reachable
// instance has. An instance never goes back to a lower version.
//
// The package reads no clock and does no I/O: see Follower.
package version

import (
	"fmt"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// SnapshotInterval is the number of versions between two snapshots.
const SnapshotInterval = 50

// HasSnapshot reports whether the row of version v names a snapshot: an object
// with the whole configuration.
func HasSnapshot(v id.ConfigVersion) bool { return v == 1 || (v > 0 && v%SnapshotInterval == 0) }

// LatestSnapshot returns the newest version up to v that has a snapshot, or 0
// if v is 0.
func LatestSnapshot(v id.ConfigVersion) id.ConfigVersion {
	if s := v - v%SnapshotInterval; s > 0 {
		return s
	}
	return min(v, 1)
}

// HeadKey returns the key of the head row.
func HeadKey() table.Key { return table.Key{Kind: table.KindHead, ID: table.HeadID} }

// RowKey returns the key of the row of version v.
func RowKey(v id.ConfigVersion) table.Key {
	return table.Key{Kind: table.KindVersion, ID: fmt.Sprintf("%020d", uint64(v))}
}

// RowKeys returns the keys of the rows of versions first to last, inclusive.
func RowKeys(first, last id.ConfigVersion) []table.Key {
	var keys []table.Key
	for v := first; v <= last; v++ {
		keys = append(keys, RowKey(v))
	}
	return keys
}
