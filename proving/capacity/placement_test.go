package capacity

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// maxIdleTime limits how long BenchmarkPlacement waits for an unused adapter to
// be unloaded.
const maxIdleTime = time.Hour

// BenchmarkPlacement counts the rows written when one adapter is loaded and when it
// is unloaded again after its last use: those of all transactions that write the
// row of the adapter. It also reports how long the adapter stayed loaded.
func BenchmarkPlacement(b *testing.B) {
	adapter := id.Adapter(model, "a00001")
	for range b.N {
		d := newDriver(environment{engines: 1, adapters: 60, disableStandby: true})
		d.loadModel(b)
		d.watchedRow = table.Key{Kind: table.KindReplica, ID: string(ownZone) + "/" + string(adapter)}
		d.handle(d.newCall(1, unlimitedAccount, event.Call{Artifact: adapter}))
		for n := 0; len(d.dispatched) == 0; n++ {
			if d.advance(100 * time.Millisecond); n == 600 {
				b.Fatalf("the adapter was not loaded: %d refusals, rows %v", d.refusals, d.rowKinds())
			}
		}
		d.completeAttempts()
		b.ReportMetric(float64(d.watchedWrites), "load-rows-written")
		start := d.now
		d.watchedWrites = 0
		for d.hasReplica(adapter) && d.now.Sub(start) < maxIdleTime {
			d.advance(time.Second)
		}
		d.advance(warmUpTime)
		b.ReportMetric(float64(d.watchedWrites), "unload-rows-written")
		b.ReportMetric((d.now.Sub(start) - warmUpTime).Seconds(), "idle-s")
	}
	b.ReportMetric(0, "ns/op")
}

// hasReplica reports whether the table has a backend server decided on for a replica
// of the artifact.
func (d *driver) hasReplica(a id.Artifact) bool {
	for _, r := range d.rows {
		if row, ok := r.Body.(table.Replica); ok && row.Artifact == a && len(row.Decided) > 0 {
			return true
		}
	}
	return false
}
