package dispatch

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

// queuedFor is how long a request stays in the queue without a sign of its
// instance, which asks again twice in this time.
const queuedFor = time.Second

// key tells requests apart that need different things of a server.
type key struct{ group, model, adapter string }

type queue struct {
	key     key
	waiting []*waiting
}

type waiting struct {
	from     string
	ask      Ask
	place    uint64
	since    clock.Time
	lastSign clock.Time
}

func (d *Dispatcher) queueOf(n directory.Need) *queue {
	k := key{group: n.Group, model: n.Model, adapter: n.Adapter}
	q := d.queues[k]
	if q == nil {
		q = &queue{key: k}
		d.queues[k] = q
	}
	return q
}

func (q *queue) find(from string, number uint64) *waiting {
	for _, w := range q.waiting {
		if w.from == from && w.ask.Number == number {
			return w
		}
	}
	return nil
}

func (d *Dispatcher) enqueue(now clock.Time, q *queue, from string, ask Ask) {
	d.number++
	w := &waiting{from: from, ask: ask, place: d.number, since: now, lastSign: now}
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiting)
	q.waiting = slices.Insert(q.waiting, i, w)
}

func compareWaiting(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.place, b.place))
}

// Demand is what waits since all servers that hold a model are full.
type Demand struct {
	Group, Model string
	Requests     int
	Since        clock.Time // of the oldest
	Priority     int        // of the most urgent
}

// Demands returns what waits, by model.
func (d *Dispatcher) Demands() []Demand {
	var all []Demand
	for _, q := range d.sortedQueues() {
		if q.key.model == "" {
			continue
		}
		o := Demand{Group: q.key.group, Model: q.key.model, Requests: len(q.waiting), Priority: q.waiting[0].ask.Priority, Since: clock.Never}
		for _, w := range q.waiting {
			o.Since = min(o.Since, w.since)
		}
		all = append(all, o)
	}
	return all
}

// Waiting returns how many requests are queued.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, q := range d.queues {
		n += len(q.waiting)
	}
	return n
}

// Serve lets go what waits and can run now.
func (d *Dispatcher) Serve(now clock.Time) []Reply {
	var replies []Reply
	for _, q := range d.sortedQueues() {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return d.gone(now, w) })
		for len(q.waiting) > 0 {
			w := q.waiting[0]
			c := d.dir.Pick(now, w.ask.Need)
			if c.Full {
				break
			}
			q.waiting = q.waiting[1:]
			a := d.askers[w.from]
			reply := Reply{To: w.from, Incarnation: a.incarnation, Number: w.ask.Number, Verdict: Missing}
			if c.Server != nil {
				d.grant(now, w.from, a, w.ask, c.Server)
				reply.Verdict, reply.Choice = Granted, c
			}
			replies = append(replies, reply)
			if w.from == d.self {
				return replies // counted by the instance before the next choice
			}
		}
		if len(q.waiting) == 0 {
			delete(d.queues, q.key)
		}
	}
	return replies
}

// gone reports whether nobody waits for an answer any more.
func (d *Dispatcher) gone(now clock.Time, w *waiting) bool {
	a := d.askers[w.from]
	return a == nil || !slices.Contains(a.open, w.ask.Number) || now.Sub(w.lastSign) > queuedFor
}

// sortedQueues returns the queues by their most urgent request, so that models on
// the same server are served in that order.
func (d *Dispatcher) sortedQueues() []*queue {
	var all []*queue
	for k, q := range d.queues {
		if len(q.waiting) == 0 {
			delete(d.queues, k)
			continue
		}
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *queue) int { return compareWaiting(a.waiting[0], b.waiting[0]) })
	return all
}
