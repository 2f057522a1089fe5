package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// The levels of the classes, the most urgent first.
const (
	levelUrgent = iota
	levelInteractive
	levelBatch
	numLevels
)

// classes lists the classes by level.
var classes = [numLevels]config.Class{config.Urgent, config.Interactive, config.Batch}

// levelOf returns the level of a class; an unknown class counts as interactive.
func levelOf(c config.Class) int {
	if i := slices.Index(classes[:], c); i >= 0 {
		return i
	}
	return levelInteractive
}

// flow holds the requests of one account in one class of a queue, in the order of
// arrival.
type flow struct {
	account       id.Account
	weight        float64
	requests      []*request
	tokens        float64 // sum over requests
	virtualFinish float64 // virtual finish time of the last granted request
}

func tokenCost(req *request) float64 { return float64(max(req.ask.Tokens, 1)) }

// virtualStart returns the virtual start time of req as the first request of f.
func (f *flow) virtualStart(req *request) float64 { return max(req.virtualArrival, f.virtualFinish) }

// class implements start-time fair queueing over client accounts. A request starts
// at the virtual finish time of its account's previous request, or at the virtual
// time of its arrival if that is later. The request with the earliest start is
// served first, and the virtual time is the start of the last one granted. An
// account that sends more only makes its own requests wait longer.
type class struct {
	virtualTime float64
	flows       []*flow // those with requests, and those whose virtualFinish is still to come
	size        int
	lastGrant   clock.Time // when a request of this class last got a turn, or the first one began to wait
}

func (c *class) flow(a id.Account) *flow {
	for _, f := range c.flows {
		if f.account == a {
			return f
		}
	}
	return nil
}

func (c *class) push(now clock.Time, req *request, weight float64) {
	f := c.flow(req.ask.Account)
	if f == nil {
		c.prune()
		f = &flow{account: req.ask.Account}
		c.flows = append(c.flows, f)
	}
	f.weight = weight
	if c.size == 0 {
		c.lastGrant = now
	}
	req.virtualArrival = c.virtualTime
	f.requests = append(f.requests, req)
	f.tokens += tokenCost(req)
	c.size++
}

// prune removes the flows without requests whose virtual finish time has passed.
func (c *class) prune() {
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
		return len(f.requests) == 0 && f.virtualFinish <= c.virtualTime
	})
}

// head returns the request to be granted next and its flow, or nil if there is none.
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

// dequeueHead removes the first request of f and charges the account for it.
func (c *class) dequeueHead(f *flow, req *request) {
	start := f.virtualStart(req)
	c.virtualTime = max(c.virtualTime, start)
	f.virtualFinish = start + tokenCost(req)/f.weight
	c.removeAt(f, 0)
}

func (c *class) remove(req *request) {
	f := c.flow(req.ask.Account)
	if i := slices.Index(f.requests, req); i >= 0 {
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

// estimateAhead estimates how many requests of accounts other than a are served
// before one with the virtual start time start.
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

// starved reports whether the class has had waiting requests but no turn for the
// time bound.
func (c *class) starved(now clock.Time, bound time.Duration) bool {
	return c.size > 0 && now.Sub(c.lastGrant) >= bound
}
