package dispatch

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// ReplyTimeout is the time after which a query without a reply is repeated: several
	// round trips to another zone. After MaxRetries repetitions the request goes on
	// without the dispatcher; two thirds of the shortest latency objective in use are
	// then left.
	ReplyTimeout = 30 * time.Millisecond
	MaxRetries   = 1
	// QueuedRetryInterval is the interval at which a queued query is repeated, in case
	// its grant was lost or the dispatcher was replaced.
	QueuedRetryInterval = 300 * time.Millisecond
	// probeInterval is how long an unresponsive dispatcher gets no queries. Then one
	// request probes it, and the others go on without it until it responds.
	probeInterval = 500 * time.Millisecond
)

// Client tracks an instance's open queries and which dispatchers respond. It is not
// safe for concurrent use.
type Client struct {
	lastNumber        uint64
	sequence          uint64
	openQueries       map[uint64]bool
	unresponsiveUntil map[string]clock.Time // by dispatcher; no queries are sent until then
}

// NewClient returns a Client without open queries.
func NewClient() *Client {
	return &Client{openQueries: make(map[uint64]bool), unresponsiveUntil: make(map[string]clock.Time)}
}

// Responsive reports whether no query to a dispatcher was left unanswered since its last reply.
func (c *Client) Responsive(dispatcher string) bool {
	_, unresponsive := c.unresponsiveUntil[dispatcher]
	return !unresponsive
}

// ShouldQuery reports whether to send a query to a dispatcher now.
func (c *Client) ShouldQuery(now clock.Time, dispatcher string) bool {
	until, unresponsive := c.unresponsiveUntil[dispatcher]
	if !unresponsive {
		return true
	}
	if now.Before(until) {
		return false
	}
	c.unresponsiveUntil[dispatcher] = now.Add(probeInterval) // this query is the probe
	return true
}

// BeginQuery opens a query and returns its number.
func (c *Client) BeginQuery() uint64 {
	c.lastNumber++
	c.openQueries[c.lastNumber] = true
	return c.lastNumber
}

// EndQuery closes a query that was answered or abandoned.
func (c *Client) EndQuery(number uint64) { delete(c.openQueries, number) }

// MarkResponsive records a reply of a dispatcher.
func (c *Client) MarkResponsive(dispatcher string) { delete(c.unresponsiveUntil, dispatcher) }

// MarkUnresponsive records that a dispatcher did not reply in time.
func (c *Client) MarkUnresponsive(now clock.Time, dispatcher string) {
	c.unresponsiveUntil[dispatcher] = now.Add(probeInterval)
}

// NextSequence returns the sequence number of the next message and the numbers of the
// open queries, sorted.
func (c *Client) NextSequence() (sequence uint64, openQueries []uint64) {
	c.sequence++
	for n := range c.openQueries {
		openQueries = append(openQueries, n)
	}
	slices.Sort(openQueries)
	return c.sequence, openQueries
}
