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
	queuedFor = time.Second
	// rateWindow is the time constant in which a queue learns how many requests a
	// second are let go.
	rateWindow = time.Second
	// leastRate, in requests a second, is what a queue counts on at least: one that
	// has just begun has let none go.
	leastRate = 10.0
	// shortFor is how long after the last request that found no room a model counts
	// as short of engines.
	shortFor = time.Second
	// runTypical turns refused requests a second into requests that would be under
	// way.
	runTypical = 400 * time.Millisecond
)

// key tells requests apart that need different things of a server.
type key struct {
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
	key        key
	waiting    []*waiting
	let        rate // let go
	refused    rate
	shortSince clock.Time
	shortLast  clock.Time
}

type waiting struct {
	from     string
	ask      Query
	place    uint64
	since    clock.Time
	lastSign clock.Time
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
	k := key{group: n.Group, model: n.Model, adapter: n.Adapter, homes: n.AllowedRegions}
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

func (q *queue) granted(now clock.Time) { q.let.add(now, 1) }

// wait puts a request into the queue, or refuses it.
func (d *Dispatcher) wait(now clock.Time, q *queue, from string, ask Query) Decision {
	if now.Sub(q.shortLast) > shortFor {
		q.shortSince = now
	}
	q.shortLast = now
	d.number++
	w := &waiting{from: from, ask: ask, place: d.number, since: now, lastSign: now}
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareWaiting)
	if ask.MaxWait > 0 && q.delay(now, i) > ask.MaxWait {
		q.refused.add(now, 1)
		return Refused
	}
	q.waiting = slices.Insert(q.waiting, i, w)
	return Queued
}

// delay is how long a request behind ahead others waits, by the rate of late.
func (q *queue) delay(now clock.Time, ahead int) time.Duration {
	perSecond := max(leastRate, q.let.add(now, 0))
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func compareWaiting(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.ask.Priority, b.ask.Priority), cmp.Compare(a.place, b.place))
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
		if q.key.model == "" || q.shortLast == 0 || now.Sub(q.shortLast) > shortFor {
			continue
		}
		refused := q.refused.add(now, 0) * runTypical.Seconds()
		all = append(all, Demand{
			Group: q.key.group, Model: q.key.model, AllowedRegions: q.key.homes, Requests: len(q.waiting) + int(math.Ceil(refused)), Since: q.shortSince,
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
		q.waiting = slices.DeleteFunc(q.waiting, func(w *waiting) bool { return d.gone(now, w) })
		for len(q.waiting) > 0 {
			w := q.waiting[0]
			c := d.dir.Pick(now, w.ask.Requirements)
			late := w.ask.MaxWait > 0 && now.Sub(w.since) > w.ask.MaxWait
			if c.AllFull && !late {
				break
			}
			q.waiting = q.waiting[1:]
			a := d.askers[w.from]
			reply := Reply{To: w.from, Incarnation: a.incarnation, Number: w.ask.Number, Decision: NoCandidate}
			switch {
			case c.Server != nil:
				q.granted(now)
				d.grant(now, w.from, a, w.ask, c.Server)
				reply.Decision, reply.Choice = Granted, c
			case c.AllFull:
				q.refused.add(now, 1)
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
func (d *Dispatcher) gone(now clock.Time, w *waiting) bool {
	a := d.askers[w.from]
	return a == nil || !slices.Contains(a.open, w.ask.Number) || now.Sub(w.lastSign) > queuedFor
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
	slices.SortFunc(all, func(a, b *queue) int { return compareWaiting(a.waiting[0], b.waiting[0]) })
	return all
}

// idle reports whether a queue can be dropped.
func (q *queue) idle(now clock.Time) bool {
	return len(q.waiting) == 0 && now.Sub(q.let.at) > 2*rateWindow && now.Sub(q.shortLast) > shortFor
}
