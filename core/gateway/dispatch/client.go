package dispatch

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// AnswerWithin is when an ask without any answer is repeated: several times what
	// an answer of another zone takes. After AsksMost repetitions without a word the
	// dispatcher is not waited for: two thirds of the shortest objective met are left.
	AnswerWithin = 30 * time.Millisecond
	AsksMost     = 1
	// AskAgain is when a queued request asks again, in case the reply that let it
	// go was lost, or the dispatcher was replaced.
	AskAgain = 300 * time.Millisecond
	// doubtFor is how long a silent dispatcher is not asked. Then one request
	// asks it, and the others go on without until it answers.
	doubtFor = 500 * time.Millisecond
)

// Client is what an instance knows of its asks. It is not safe for concurrent use.
type Client struct {
	next     uint64
	sequence uint64
	open     map[uint64]bool
	doubted  map[string]clock.Time // until when a dispatcher is not asked
}

// NewClient returns a Client without asks.
func NewClient() *Client {
	return &Client{open: make(map[uint64]bool), doubted: make(map[string]clock.Time)}
}

// MayAsk reports whether a dispatcher is to be asked now.
func (c *Client) MayAsk(now clock.Time, dispatcher string) bool {
	until, doubted := c.doubted[dispatcher]
	if !doubted {
		return true
	}
	if now.Before(until) {
		return false
	}
	c.doubted[dispatcher] = now.Add(doubtFor) // this one finds out
	return true
}

// Begin opens an ask and returns its number.
func (c *Client) Begin() uint64 {
	c.next++
	c.open[c.next] = true
	return c.next
}

// End closes an ask, which was answered or given up.
func (c *Client) End(number uint64) { delete(c.open, number) }

// Answered records that a dispatcher answers.
func (c *Client) Answered(dispatcher string) { delete(c.doubted, dispatcher) }

// Silent records that a dispatcher did not answer in time.
func (c *Client) Silent(now clock.Time, dispatcher string) {
	c.doubted[dispatcher] = now.Add(doubtFor)
}

// Stamp returns the sequence of the next message and the open asks.
func (c *Client) Stamp() (sequence uint64, open []uint64) {
	c.sequence++
	for n := range c.open {
		open = append(open, n)
	}
	slices.Sort(open)
	return c.sequence, open
}
