package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/regions"
)

const (
	// queuedFor is how long a request stays in the queue without a sign of its
	// instance, which asks again twice in this time.
	queuedTTL = time.Second
	// rateWindow is the time constant in which a queue learns how many requests a
	// second are let go.
	rateWindow = time.Second
	// leastRate, in requests a second, is what a queue counts on at least: one that
	// has just begun has let none go.
	minGrantRate = 10.0
	// shortFor is how long after the last request that found no room a model counts
	// as short of engines.
	saturatedTTL = time.Second
	// runTypical turns refused requests a second into requests that would be under
	// way.
	typicalDuration = 400 * time.Millisecond
)

// key tells requests apart that need different things of a server.
type queueKey struct {
	group, model, adapter string
	homes                 regions.Set
}

// queue is what waits for one key. It is kept a moment longer than something waits.
//
// While more arrives than the servers can run, a queue in the order of arrival makes
// all late: each waits until its caller is about to leave. So a request is refused at
// once if there will be no room for it within the time in which it can be on time.
// Those that are let in are on time, and the others know at once.
type queue struct {
	key            queueKey
	waiting        []*queuedQuery
	grantRate      rate // let go
	refusalRate    rate
	saturatedSince clock.Time
	lastSaturated  clock.Time
}

type queuedQuery struct {
	from        string
	query       Query
	position    uint64
	queuedAt    clock.Time
	lastQueried clock.Time
}

// rate is a decaying count of events a second.
type rate struct {
	perSecond float64
	at        clock.Time
}

func (r *rate) add(now clock.Time, n float64) float64 {
	r.perSecond = r.perSecond*math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds()) + n/rateWindow.Seconds()
	r.at = now
	return r.perSecond
}

func (d *Dispatcher) queueOf(n directory.Requirements) *queue {
	k := queueKey{group: n.Group, model: n.Model, adapter: n.Adapter, homes: n.AllowedRegions}
	q := d.queues[k]
	if q == nil {
		q = &queue{key: k}
		d.queues[k] = q
	}
	return q
}

func (q *queue) find(from string, number uint64) *queuedQuery {
	for _, w := range q.waiting {
		if w.from == from && w.query.Number == number {
			return w
		}
	}
	return nil
}

func (q *queue) recordGrant(now clock.Time) { q.grantRate.add(now, 1) }

// wait puts a request into the queue, or refuses it.
func (d *Dispatcher) enqueue(now clock.Time, q *queue, from string, ask Query) Decision {
	if now.Sub(q.lastSaturated) > saturatedTTL {
		q.saturatedSince = now
	}
	q.lastSaturated = now
	d.lastPosition++
	w := &queuedQuery{from: from, query: ask, position: d.lastPosition, queuedAt: now, lastQueried: now}
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareQueued)
	if ask.MaxWait > 0 && q.expectedWait(now, i) > ask.MaxWait {
		q.refusalRate.add(now, 1)
		return Refused
	}
	q.waiting = slices.Insert(q.waiting, i, w)
	return Queued
}

// delay is how long a request behind ahead others waits, by the rate of late.
func (q *queue) expectedWait(now clock.Time, ahead int) time.Duration {
	perSecond := max(minGrantRate, q.grantRate.add(now, 0))
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func compareQueued(a, b *queuedQuery) int {
	return cmp.Or(cmp.Compare(a.query.Priority, b.query.Priority), cmp.Compare(a.position, b.position))
}

// Demand is what finds no room since all servers that hold a model are full.
type Demand struct {
	Group, Model   string
	AllowedRegions regions.Set
	Requests       int // that wait, or would be under way
	Since          clock.Time
}

// Demands returns what finds no room, by model and adapter.
func (d *Dispatcher) Demands(now clock.Time) []Demand {
	var all []Demand
	for _, q := range d.queues {
		if q.key.model == "" || q.lastSaturated == 0 || now.Sub(q.lastSaturated) > saturatedTTL {
			continue
		}
		refused := q.refusalRate.add(now, 0) * typicalDuration.Seconds()
		all = append(all, Demand{
			Group: q.key.group, Model: q.key.model, AllowedRegions: q.key.homes, Requests: len(q.waiting) + int(math.Ceil(refused)), Since: q.saturatedSince,
		})
	}
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Model, b.Model))
	})
	return all
}

// QueueLength returns how many requests are queued.
func (d *Dispatcher) QueueLength() int {
	n := 0
	for _, q := range d.queues {
		n += len(q.waiting)
	}
	return n
}

// ServeQueues lets go what waits and can run now.
func (d *Dispatcher) ServeQueues(now clock.Time) []Reply {
	var replies []Reply
	for _, q := range d.sortedQueues() {
		q.waiting = slices.DeleteFunc(q.waiting, func(w *queuedQuery) bool { return d.abandoned(now, w) })
		for len(q.waiting) > 0 {
			w := q.waiting[0]
			c := d.dir.Pick(now, w.query.Requirements)
			late := w.query.MaxWait > 0 && now.Sub(w.queuedAt) > w.query.MaxWait
			if c.AllFull && !late {
				break
			}
			q.waiting = q.waiting[1:]
			a := d.instances[w.from]
			reply := Reply{To: w.from, Incarnation: a.incarnation, Number: w.query.Number, Decision: NoCandidate}
			switch {
			case c.Server != nil:
				q.recordGrant(now)
				d.grant(now, w.from, a, w.query, c.Server)
				reply.Decision, reply.Choice = Granted, c
			case c.AllFull:
				q.refusalRate.add(now, 1)
				reply.Decision = Refused
			}
			replies = append(replies, reply)
			if w.from == d.self {
				return replies // counted by the instance before the next choice
			}
		}
	}
	return replies
}

// gone reports whether nobody waits for an answer any more.
func (d *Dispatcher) abandoned(now clock.Time, w *queuedQuery) bool {
	a := d.instances[w.from]
	return a == nil || !slices.Contains(a.openQueries, w.query.Number) || now.Sub(w.lastQueried) > queuedTTL
}

// sortedQueues returns the queues in which something waits by their most urgent
// request, so that models on the same server are served in that order.
func (d *Dispatcher) sortedQueues() []*queue {
	var all []*queue
	for _, q := range d.queues {
		if len(q.waiting) > 0 {
			all = append(all, q)
		}
	}
	slices.SortFunc(all, func(a, b *queue) int { return compareQueued(a.waiting[0], b.waiting[0]) })
	return all
}

// idle reports whether a queue can be dropped.
func (q *queue) idle(now clock.Time) bool {
	return len(q.waiting) == 0 && now.Sub(q.grantRate.at) > 2*rateWindow && now.Sub(q.lastSaturated) > saturatedTTL
}
