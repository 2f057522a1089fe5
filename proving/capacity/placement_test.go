package capacity

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// idleLimit is how long an adapter may stay loaded unused in the benchmark.
const idleLimit = time.Hour

// BenchmarkPlacement counts the rows that are written as one adapter wakes up
// and falls idle again: those of the transactions with its own row. It says
// how long the adapter stayed.
func BenchmarkPlacement(b *testing.B) {
	adapter := id.Adapter(model, "a00001")
	for range b.N {
		d := newDriver(scene{engines: 1, adapters: 60, noStandby: true})
		d.warm(b)
		d.watch = table.Key{Kind: table.KindReplica, ID: string(ownZone) + "/" + string(adapter)}
		d.handle(d.call(1, bigAccount, event.Call{Artifact: adapter}))
		for n := 0; len(d.dispatched) == 0; n++ {
			if d.run(100 * time.Millisecond); n == 600 {
				b.Fatalf("the adapter did not get loaded: %d refusals, rows %v", d.refusals, d.rowKinds())
			}
		}
		d.endAll()
		b.ReportMetric(float64(d.watched), "load-rows-written")
		began := d.now
		d.watched = 0
		for d.decided(adapter) && d.now.Sub(began) < idleLimit {
			d.run(time.Second)
		}
		d.run(warmUp)
		b.ReportMetric(float64(d.watched), "unload-rows-written")
		b.ReportMetric((d.now.Sub(began) - warmUp).Seconds(), "idle-s")
	}
	b.ReportMetric(0, "ns/op")
}

// decided reports whether the table has a decision for an artifact on record.
func (d *driver) decided(a id.Artifact) bool {
	for _, r := range d.rows {
		if row, ok := r.Body.(table.Replica); ok && row.Artifact == a && len(row.Decided) > 0 {
			return true
		}
	}
	return false
}
