package dispatch

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// ReplyTimeout is when an ask without any answer is repeated: several times what
	// an answer of another zone takes. After AsksMost repetitions without a word the
	// dispatcher is not waited for: two thirds of the shortest objective met are left.
	ReplyTimeout = 30 * time.Millisecond
	MaxRetries   = 1
	// QueuedRetryInterval is when a queued request asks again, in case the reply that let it
	// go was lost, or the dispatcher was replaced.
	QueuedRetryInterval = 300 * time.Millisecond
	// doubtFor is how long a silent dispatcher is not asked. Then one request
	// asks it, and the others go on without until it answers.
	probeInterval = 500 * time.Millisecond
)

// Client is what an instance knows of its asks. It is not safe for concurrent use.
type Client struct {
	lastNumber        uint64
	sequence          uint64
	openQueries       map[uint64]bool
	unresponsiveUntil map[string]clock.Time // until when a dispatcher is not asked
}

// NewClient returns a Client without asks.
func NewClient() *Client {
	return &Client{openQueries: make(map[uint64]bool), unresponsiveUntil: make(map[string]clock.Time)}
}

// ShouldQuery reports whether a dispatcher is to be asked now.
func (c *Client) ShouldQuery(now clock.Time, dispatcher string) bool {
	until, doubted := c.unresponsiveUntil[dispatcher]
	if !doubted {
		return true
	}
	if now.Before(until) {
		return false
	}
	c.unresponsiveUntil[dispatcher] = now.Add(probeInterval) // this one finds out
	return true
}

// BeginQuery opens an ask and returns its number.
func (c *Client) BeginQuery() uint64 {
	c.lastNumber++
	c.openQueries[c.lastNumber] = true
	return c.lastNumber
}

// EndQuery closes an ask, which was answered or given up.
func (c *Client) EndQuery(number uint64) { delete(c.openQueries, number) }

// MarkResponsive records that a dispatcher answers.
func (c *Client) MarkResponsive(dispatcher string) { delete(c.unresponsiveUntil, dispatcher) }

// MarkUnresponsive records that a dispatcher did not answer in time.
func (c *Client) MarkUnresponsive(now clock.Time, dispatcher string) {
	c.unresponsiveUntil[dispatcher] = now.Add(probeInterval)
}

// NextSequence returns the sequence of the next message and the open asks.
func (c *Client) NextSequence() (sequence uint64, open []uint64) {
	c.sequence++
	for n := range c.openQueries {
		open = append(open, n)
	}
	slices.Sort(open)
	return c.sequence, open
}
