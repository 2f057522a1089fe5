// Package metric names the metrics of an instance. They are served at
// /metrics in the text form that Prometheus reads.
package metric

import (
	"fmt"
	"time"

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
	Events         = metrics.NewCounter(`oleanderd_events_total`)
	HandleDuration = metrics.NewHistogram(`oleanderd_handle_seconds`)
	LoopOverflow   = metrics.NewCounter(`oleanderd_events_overflow_total`)
)

// Violation counts broken invariants by name; any value above zero is a fault
// of the program.
func Violations(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_invariant_violations_total{name=%q}`, name))
}

// TableOperation counts operations on the table service by kind and outcome.
func TableOperations(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_table_operations_total{kind=%q,outcome=%q}`, kind, outcome))
}

// TableTime records how long an operation on the table service took.
func RecordTableTime(kind string, elapsed time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_table_seconds{kind=%q}`, kind)).Update(elapsed.Seconds())
}

// Request counts a caller's request by outcome and reason, and records how long
// it took.
func RecordRequest(outcome, reason string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_requests_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_request_seconds{outcome=%q}`, outcome)).Update(elapsed.Seconds())
}

// Attempt counts an attempt at a backend server by its result.
func RecordAttempt(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_attempts_total{result=%q}`, result)).Inc()
}

// Waited records how long a request waited before it was sent.
func RecordQueueWait(d time.Duration) { queueWait.Update(d.Seconds()) }

var queueWait = metrics.NewHistogram(`oleanderd_queue_wait_seconds`)

// Refused counts refusals by reason.
func Refusals(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_refused_total{reason=%q}`, reason))
}

// Orders counts load and unload orders by kind and result.
func Orders(kind, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_orders_total{kind=%q,result=%q}`, kind, result))
}

// The callers' interface.
var (
	FrontCommandsLost     = metrics.NewCounter(`oleanderd_front_commands_lost_total`)
	FrontDeadlinesExpired = metrics.NewCounter(`oleanderd_front_overdue_total`)
)
