package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// instruments of one gateway, in a set of their own.
type instruments struct {
	set           *metrics.Set
	connections   *metrics.Counter
	budgetSpent   *metrics.Counter
	leaseTaken    *metrics.Counter
	damaged       *metrics.Counter
	configVersion atomic.Uint64
}

func newMetrics() *instruments {
	s := metrics.NewSet()
	return &instruments{
		set:         s,
		connections: s.NewCounter("oleanderd_server_connections_opened_total"),
		budgetSpent: s.NewCounter("oleanderd_repeats_denied_total"),
		leaseTaken:  s.NewCounter("oleanderd_lease_taken_total"),
		damaged:     s.NewCounter("oleanderd_peer_messages_damaged_total"),
	}
}

func (i *instruments) violation(name string) *metrics.Counter {
	return i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_invariant_violations_total{name=%q}`, name))
}

func (i *instruments) storeCall(what string, ok bool) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_store_calls_total{call=%q,ok="%t"}`, what, ok)).Inc()
}

func (i *instruments) order(kind string, a placer.Answer) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_orders_total{kind=%q,result=%q}`, kind, a)).Inc()
}

func (i *instruments) report(ok bool) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_engine_reports_total{ok="%t"}`, ok)).Inc()
}

func (i *instruments) request(why reason, took time.Duration) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_requests_total{reason=%q}`, why)).Inc()
	i.set.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_request_seconds{reason=%q}`, why)).Update(took.Seconds())
}

// write writes all metrics in text form.
func (i *instruments) write(w io.Writer, g *Gateway) {
	i.set.WritePrometheus(w)
	g.mu.Lock()
	now := boottime.Now()
	holds, waits, members := g.lease.Holds(now), len(g.waits), g.members.Count()
	g.mu.Unlock()
	metrics.WriteGaugeUint64(w, "oleanderd_config_version", i.configVersion.Load())
	metrics.WriteGaugeUint64(w, "oleanderd_requests_active", uint64(g.active.Load()))
	metrics.WriteGaugeUint64(w, "oleanderd_models_waited_for", uint64(waits))
	metrics.WriteGaugeUint64(w, "oleanderd_instances_known", uint64(members))
	lease := uint64(0)
	if holds {
		lease = 1
	}
	metrics.WriteGaugeUint64(w, "oleanderd_lease_held", lease)
	metrics.WriteProcessMetrics(w)
}
