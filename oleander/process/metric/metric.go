// Package metric declares the metrics of an instance, which are served at /metrics
// in the Prometheus text format.
package metric

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Messages between instances. Misdirected ones are addressed to another instance;
// damaged ones can't be decoded.
var (
	PeerSent          = metrics.NewCounter(`oleanderd_peer_messages_sent_total`)
	PeerSentBytes     = metrics.NewCounter(`oleanderd_peer_bytes_sent_total`)
	PeerReceived      = metrics.NewCounter(`oleanderd_peer_messages_received_total`)
	PeerReceivedBytes = metrics.NewCounter(`oleanderd_peer_bytes_received_total`)
	PeerDropped       = metrics.NewCounter(`oleanderd_peer_messages_dropped_total`)
	PeerMisdirected   = metrics.NewCounter(`oleanderd_peer_messages_misdirected_total`)
	PeerDamaged       = metrics.NewCounter(`oleanderd_peer_messages_damaged_total`)
)

// Event loop.
var (
	Events         = metrics.NewCounter(`oleanderd_events_total`)
	HandleDuration = metrics.NewHistogram(`oleanderd_handle_seconds`)
	LoopOverflow   = metrics.NewCounter(`oleanderd_events_overflow_total`)
)

// Violations counts invariant violations by name. Any value above zero is a bug in
// the program.
func Violations(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_invariant_violations_total{name=%q}`, name))
}

// TableOperations counts operations on the table service by kind and outcome.
func TableOperations(kind, outcome string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_table_operations_total{kind=%q,outcome=%q}`, kind, outcome))
}

// RecordTableTime records the duration of an operation on the table service.
func RecordTableTime(kind string, elapsed time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_table_seconds{kind=%q}`, kind)).Update(elapsed.Seconds())
}

// RecordRequest counts a caller's request by outcome and reason, and records its
// duration.
func RecordRequest(outcome, reason string, elapsed time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_requests_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_request_seconds{outcome=%q}`, outcome)).Update(elapsed.Seconds())
}

// RecordAttempt counts an attempt at a backend server by its result.
func RecordAttempt(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_attempts_total{result=%q}`, result)).Inc()
}

// RecordQueueWait records how long a request waited before it was sent to a backend
// server.
func RecordQueueWait(d time.Duration) { queueWait.Update(d.Seconds()) }

var queueWait = metrics.NewHistogram(`oleanderd_queue_wait_seconds`)

// Refusals counts refused requests by reason.
func Refusals(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_refused_total{reason=%q}`, reason))
}

// Evicted counts connections of callers that made way for others, by what they waited for.
func Evicted(phase string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_connections_evicted_total{phase=%q}`, phase))
}

// ConnectionsRefused counts connections of callers for which there was no room.
var ConnectionsRefused = metrics.NewCounter(`oleanderd_connections_refused_total`)

// Orders counts load and unload orders by kind and result.
func Orders(kind, result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderd_orders_total{kind=%q,result=%q}`, kind, result))
}

// Requests of callers: commands of the core that were lost because an exchange's
// queue was full, and requests that the deadline ended before the core did.
var (
	FrontCommandsLost     = metrics.NewCounter(`oleanderd_front_commands_lost_total`)
	FrontDeadlinesExpired = metrics.NewCounter(`oleanderd_front_overdue_total`)
)
