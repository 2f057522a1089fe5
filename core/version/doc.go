// Package version decides which configuration is in force at an instance.
//
// A configuration is a log of accepted changes. Each is one row of the table
// service, and one row, the head, names the newest. In each availability zone
// a few instances read the head; all others learn of new versions from the
// instances' heartbeats and fetch them from one another, so that an
// availability zone without the table service still gets what any other
// instance has. An instance never goes back to a lower version.
//
// The package reads no clock and does no I/O: see Follower.
package version

import (
	"fmt"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// SnapshotEvery is the number of versions from one snapshot to the next.
const SnapshotInterval = 50

// HasSnapshot reports whether the row of version v names an object with the
// whole configuration.
func HasSnapshot(v id.ConfigVersion) bool { return v == 1 || (v > 0 && v%SnapshotInterval == 0) }

// SnapshotAt returns the newest version up to v that has a snapshot, 0 if v is 0.
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

// RowKeys returns the keys of the rows from first to last.
func RowKeys(first, last id.ConfigVersion) []table.Key {
	var keys []table.Key
	for v := first; v <= last; v++ {
		keys = append(keys, RowKey(v))
	}
	return keys
}
