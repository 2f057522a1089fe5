package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// The numLevels of the three classes.
const (
	levelUrgent = iota
	levelInteractive
	levelBatch
	numLevels
)

var classes = [numLevels]config.Class{config.Urgent, config.Interactive, config.Batch}

func levelOf(c config.Class) int {
	if i := slices.Index(classes[:], c); i >= 0 {
		return i
	}
	return levelInteractive
}

// flow is the requests of one account in one class of a queue, by arrival.
type flow struct {
	account       id.Account
	weight        float64
	requests      []*request
	tokens        float64 // sum of their tokens
	virtualFinish float64 // virtual finish time of its last granted request
}

func tokenCost(e *request) float64 { return float64(max(e.ask.Tokens, 1)) }

func (f *flow) virtualStart(e *request) float64 { return max(e.virtualArrival, f.virtualFinish) }

// class is start-time fair queueing over client accounts: a request starts at
// the virtual time at which its account's one before it ended, or now if that
// is past; the earliest start goes first, and the virtual time is the start of
// the last one granted. An account that sends more only lengthens its own line.
type class struct {
	virtualTime float64
	flows       []*flow // those with entries, and those whose finish still counts
	size        int
	lastGrant   clock.Time // when it last got a turn, or began to wait
}

func (c *class) flow(a id.Account) *flow {
	for _, f := range c.flows {
		if f.account == a {
			return f
		}
	}
	return nil
}

func (c *class) push(now clock.Time, e *request, weight float64) {
	f := c.flow(e.ask.Account)
	if f == nil {
		c.prune()
		f = &flow{account: e.ask.Account}
		c.flows = append(c.flows, f)
	}
	f.weight = weight
	if c.size == 0 {
		c.lastGrant = now
	}
	e.virtualArrival = c.virtualTime
	f.requests = append(f.requests, e)
	f.tokens += tokenCost(e)
	c.size++
}

// prune forgets accounts without requests whose credit is used up.
func (c *class) prune() {
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
		return len(f.requests) == 0 && f.virtualFinish <= c.virtualTime
	})
}

// head returns the entry that goes next, nil if there is none.
func (c *class) head() (*flow, *request) {
	var best *flow
	var first float64
	for _, f := range c.flows {
		if len(f.requests) == 0 {
			continue
		}
		if s := f.virtualStart(f.requests[0]); best == nil || s < first {
			best, first = f, s
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.requests[0]
}

// dequeueHead removes the head of f and charges it.
func (c *class) dequeueHead(f *flow, e *request) {
	start := f.virtualStart(e)
	c.virtualTime = max(c.virtualTime, start)
	f.virtualFinish = start + tokenCost(e)/f.weight
	c.removeAt(f, 0)
}

func (c *class) remove(e *request) {
	f := c.flow(e.ask.Account)
	if i := slices.Index(f.requests, e); i >= 0 {
		c.removeAt(f, i)
	}
}

func (c *class) removeAt(f *flow, i int) {
	f.tokens -= tokenCost(f.requests[i])
	if i == 0 {
		f.requests[0] = nil
		f.requests = f.requests[1:]
	} else {
		f.requests = slices.Delete(f.requests, i, i+1)
	}
	c.size--
}

// estimateAhead estimates how many requests go before one that starts at start and is
// not of account a.
func (c *class) estimateAhead(start float64, a id.Account) float64 {
	n := 0.0
	for _, f := range c.flows {
		if f.account == a || len(f.requests) == 0 {
			continue
		}
		lead := (start - f.virtualStart(f.requests[0])) * f.weight
		if lead < 0 {
			continue
		}
		mean := f.tokens / float64(len(f.requests))
		n += min(float64(len(f.requests)), 1+lead/mean)
	}
	return n
}

// starved reports whether batch requests have been passed over for too long.
func (c *class) starved(now clock.Time, bound time.Duration) bool {
	return c.size > 0 && now.Sub(c.lastGrant) >= bound
}
