package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// The levels of the three classes.
const (
	levelUrgent = iota
	levelInteractive
	levelBatch
	levels
)

var classes = [levels]config.Class{config.Urgent, config.Interactive, config.Batch}

func levelOf(c config.Class) int {
	if i := slices.Index(classes[:], c); i >= 0 {
		return i
	}
	return levelInteractive
}

// flow is the requests of one account in one class of a queue, by arrival.
type flow struct {
	account id.Account
	weight  float64
	entries []*entry
	cost    float64 // sum of their tokens
	finish  float64 // virtual finish time of its last granted request
}

func cost(e *entry) float64 { return float64(max(e.ask.Tokens, 1)) }

func (f *flow) start(e *entry) float64 { return max(e.arrived, f.finish) }

// class is start-time fair queueing over client accounts: a request starts at
// the virtual time at which its account's one before it ended, or now if that
// is past; the earliest start goes first, and the virtual time is the start of
// the last one granted. An account that sends more only lengthens its own line.
type class struct {
	virtual float64
	flows   []*flow // those with entries, and those whose finish still counts
	size    int
	granted clock.Time // when it last got a turn, or began to wait
}

func (c *class) flow(a id.Account) *flow {
	for _, f := range c.flows {
		if f.account == a {
			return f
		}
	}
	return nil
}

func (c *class) push(now clock.Time, e *entry, weight float64) {
	f := c.flow(e.ask.Account)
	if f == nil {
		c.prune()
		f = &flow{account: e.ask.Account}
		c.flows = append(c.flows, f)
	}
	f.weight = weight
	if c.size == 0 {
		c.granted = now
	}
	e.arrived = c.virtual
	f.entries = append(f.entries, e)
	f.cost += cost(e)
	c.size++
}

// prune forgets accounts without requests whose credit is used up.
func (c *class) prune() {
	c.flows = slices.DeleteFunc(c.flows, func(f *flow) bool {
		return len(f.entries) == 0 && f.finish <= c.virtual
	})
}

// head returns the entry that goes next, nil if there is none.
func (c *class) head() (*flow, *entry) {
	var best *flow
	var first float64
	for _, f := range c.flows {
		if len(f.entries) == 0 {
			continue
		}
		if s := f.start(f.entries[0]); best == nil || s < first {
			best, first = f, s
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, best.entries[0]
}

// take removes the head of f and charges it.
func (c *class) take(f *flow, e *entry) {
	start := f.start(e)
	c.virtual = max(c.virtual, start)
	f.finish = start + cost(e)/f.weight
	c.drop(f, 0)
}

func (c *class) remove(e *entry) {
	f := c.flow(e.ask.Account)
	if i := slices.Index(f.entries, e); i >= 0 {
		c.drop(f, i)
	}
}

func (c *class) drop(f *flow, i int) {
	f.cost -= cost(f.entries[i])
	if i == 0 {
		f.entries[0] = nil
		f.entries = f.entries[1:]
	} else {
		f.entries = slices.Delete(f.entries, i, i+1)
	}
	c.size--
}

// ahead estimates how many requests go before one that starts at start and is
// not of account a.
func (c *class) ahead(start float64, a id.Account) float64 {
	n := 0.0
	for _, f := range c.flows {
		if f.account == a || len(f.entries) == 0 {
			continue
		}
		lead := (start - f.start(f.entries[0])) * f.weight
		if lead < 0 {
			continue
		}
		mean := f.cost / float64(len(f.entries))
		n += min(float64(len(f.entries)), 1+lead/mean)
	}
	return n
}

// overdue reports whether batch requests have been passed over for too long.
func (c *class) overdue(now clock.Time, bound time.Duration) bool {
	return c.size > 0 && now.Sub(c.granted) >= bound
}
