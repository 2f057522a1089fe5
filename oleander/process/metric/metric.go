// Package metric names the metrics of an instance. They are served at
// /metrics in the text form that Prometheus reads.
package metric

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Messages between instances.
var (
	PeerSent          = metrics.NewCounter(`oleanderd_peer_messages_sent_total`)
	PeerSentBytes     = metrics.NewCounter(`oleanderd_peer_bytes_sent_total`)
	PeerReceived      = metrics.NewCounter(`oleanderd_peer_messages_received_total`)
	PeerReceivedBytes = metrics.NewCounter(`oleanderd_peer_bytes_received_total`)
	PeerDropped       = metrics.NewCounter(`oleanderd_peer_messages_dropped_total`)
	PeerMisdirected   = metrics.NewCounter(`oleanderd_peer_messages_misdirected_total`)
	PeerDamaged       = metrics.NewCounter(`oleanderd_peer_messages_damaged_total`)
)

// The event loop.
var (
	Events       = metrics.NewCounter(`oleanderd_events_total`)
	HandleTime   = metrics.NewHistogram(`oleanderd_handle_seconds`)
	LoopOverflow = metrics.NewCounter(`oleanderd_events_overflow_total`)
)

// Violation counts broken invariants by name; any value above zero is a fault
// of the program.
func Violation(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_invariant_violations_total{name=%q}`, name))
}

// TableOperation counts operations on the table service by kind and outcome.
func TableOperation(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_table_operations_total{kind=%q,outcome=%q}`, kind, outcome))
}

// Refused counts refusals by reason.
func Refused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_refused_total{reason=%q}`, reason))
}

// Orders counts load and unload orders by kind and result.
func Orders(kind, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_orders_total{kind=%q,result=%q}`, kind, result))
}

// The callers' interface.
var (
	FrontOverflow = metrics.NewCounter(`oleanderd_front_commands_lost_total`)
	FrontOverdue  = metrics.NewCounter(`oleanderd_front_overdue_total`)
)
