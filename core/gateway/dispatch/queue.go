package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/forecast"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/gateway/reservation"
)

const (
	// queuedTTL is how long a query stays queued without being repeated. Its instance
	// repeats it every QueuedRetryInterval.
	queuedTTL = time.Second
	// rateWindow is the time constant of the moving averages of grants and refusals.
	rateWindow = time.Second
	// minGrantRate, in requests per second, is the lowest rate assumed for a queue: a new
	// queue has granted none yet.
	minGrantRate = 10.0
	// saturatedTTL is how long a model counts as saturated after the last query that
	// found all its servers full.
	saturatedTTL = time.Second
	// typicalDuration is the assumed duration of a request. It converts refused requests
	// per second into requests that would be running.
	typicalDuration = 400 * time.Millisecond
)

// queueKey identifies the queries with the same requirements, which share a queue.
type queueKey struct {
	group, model, adapter string
	allowedRegions        regions.Set
	origin                origin.Requirement
}

// queue holds the waiting queries of one key. It is kept for a while after it is empty.
//
// Under overload, an unbounded queue makes all requests late: each waits until its
// caller is about to give up. So a query is refused at once if no slot is expected to be
// free within its MaxWait. The queued requests then meet their objective, and the callers
// of the others learn of the refusal immediately.
type queue struct {
	key            queueKey
	waiting        []*queuedQuery // by priority and position, or by due time
	grantRate      rate
	refusalRate    rate
	saturatedSince clock.Time // servers have been full since
	lastSaturated  clock.Time // last query that found all servers full
	// pace is that of the last query without exclusions.
	pace pace
	// promisedUntil is when the last refused request was told to come back. The next one
	// is told to come later, so that they don't come back together.
	promisedUntil clock.Time

	// scheduled is set while queries with a Detail arrive: the queue is ordered by due time.
	scheduled  bool
	lastDetail clock.Time // last query with a Detail
	meanWork   float64    // moving average, in tokens; 0: unknown
	capacity   capacity
	overlap    float64          // with the queue of the present decision
	forecasts  forecast.Tracker // by the hold times of the servers
}

// pace says when the rate limits of servers allow queries. The zero pace means that free
// slots decide.
type pace struct {
	nextAt    clock.Time // when a server takes the next request
	perSecond float64
}

// maxRetryAfter bounds the time after which refused requests are told to come back.
const maxRetryAfter = 5 * time.Second

// updatePace returns the pace that a query found when all its servers were full. It becomes
// that of the queue, unless the query excludes servers that the others may use.
func (q *queue) updatePace(now clock.Time, query Query, c directory.Choice) pace {
	p := pace{nextAt: now.Add(c.Pace.Next), perSecond: c.Pace.PerSecond}
	if len(query.Requirements.Exclude) == 0 {
		q.pace = p
	}
	return p
}

// mustQueueBehind reports whether a query is next only after one in the queue that could
// use the same servers. One that excludes servers holds up no other.
func (q *queue) mustQueueBehind(query *queuedQuery) bool {
	return slices.ContainsFunc(q.waiting, func(w *queuedQuery) bool {
		return q.compare(w, query) < 0 && len(w.query.Requirements.Exclude) == 0
	})
}

// anyAheadCanUse reports whether a query in the queue, which would be next, does not exclude
// a server. New queries would otherwise take each slot that becomes free between two rounds
// of the queue, and those that were rejected elsewhere would wait forever.
func (q *queue) anyAheadCanUse(query *queuedQuery, server string) bool {
	return slices.ContainsFunc(q.waiting, func(w *queuedQuery) bool {
		return q.compare(w, query) < 0 && !w.query.Requirements.Exclude[server]
	})
}

// retryAfter returns when a request that is refused now can be served; 0 if unknown.
func (q *queue) retryAfter(now clock.Time, p pace) time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	interval := time.Duration(float64(time.Second) / p.perSecond)
	afterQueue := p.nextAt.Add(time.Duration(len(q.waiting)) * interval)
	q.promisedUntil = min(max(q.promisedUntil, afterQueue).Add(interval), now.Add(maxRetryAfter))
	return q.promisedUntil.Sub(now)
}

// queuedQuery is a query in a queue.
type queuedQuery struct {
	queue       *queue
	from        string
	query       Query
	position    uint64
	queuedAt    clock.Time
	lastQueried clock.Time
	due         clock.Time         // latest useful grant
	work        float64            // relative to the mean of the queue
	status      reservation.Status // whether its caller returned as it was told
	prediction  forecast.Prediction
	byHoldTime  bool // the prediction is by the hold times of the servers
}

// rate is an exponential moving average of events per second.
type rate struct {
	perSecond float64
	at        clock.Time
}

// add counts n events and returns the rate at now.
func (r *rate) add(now clock.Time, n float64) float64 {
	r.perSecond = r.perSecond*math.Exp(-now.Sub(r.at).Seconds()/rateWindow.Seconds()) + n/rateWindow.Seconds()
	r.at = now
	return r.perSecond
}

// queueOf returns the queue for the requirements, a new one if there is none.
func (d *Dispatcher) queueOf(req directory.Requirements) *queue {
	k := queueKey{group: req.Group, model: req.Model, adapter: req.Adapter, allowedRegions: req.AllowedRegions, origin: req.Origin}
	q := d.queues[k]
	if q == nil {
		q = &queue{key: k}
		d.queues[k] = q
		d.queueOrder = append(d.queueOrder, q)
	}
	return q
}

// find returns the queued query of an instance, or nil.
func (q *queue) find(from string, number uint64) *queuedQuery {
	for _, w := range q.waiting {
		if w.from == from && w.query.Number == number {
			return w
		}
	}
	return nil
}

func (q *queue) recordGrant(now clock.Time) { q.grantRate.add(now, 1) }

// enqueue queues a query, or refuses it if its expected wait exceeds MaxWait and returns
// when to retry.
func (d *Dispatcher) enqueue(now clock.Time, q *queue, w *queuedQuery, p pace) (Decision, time.Duration) {
	if now.Sub(q.lastSaturated) > saturatedTTL {
		q.saturatedSince = now
	}
	q.lastSaturated = now
	if q.scheduled {
		return d.enqueueScheduled(now, q, w, p)
	}
	i, _ := slices.BinarySearchFunc(q.waiting, w, compareQueued)
	if w.query.MaxWait > 0 && q.expectedWait(now, i, p) > w.query.MaxWait {
		q.refusalRate.add(now, 1)
		return Refused, q.retryAfter(now, p)
	}
	d.insert(w)
	return Queued, 0
}

// expectedWait returns how long a query behind ahead others will wait, given the recent
// rate of grants or the rate limits of the servers.
func (q *queue) expectedWait(now clock.Time, ahead int, p pace) time.Duration {
	if p.perSecond > 0 {
		return max(0, p.nextAt.Sub(now)) + time.Duration(float64(ahead)/p.perSecond*float64(time.Second))
	}
	perSecond := max(minGrantRate, q.grantRate.add(now, 0))
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

func compareQueued(a, b *queuedQuery) int {
	return cmp.Or(cmp.Compare(a.query.Priority, b.query.Priority), cmp.Compare(a.position, b.position))
}

// Demand counts the requests for a model that find all servers with that model full.
type Demand struct {
	Group, Model   string
	AllowedRegions regions.Set
	Origin         origin.Requirement
	Requests       int        // queued ones, plus the refused ones that would be running
	Since          clock.Time // saturated since
}

// Demands returns the unmet demand, one entry per saturated queue, longest saturated
// first.
func (d *Dispatcher) Demands(now clock.Time) []Demand {
	var all []Demand
	for _, q := range d.queues {
		if q.key.model == "" || q.lastSaturated == 0 || now.Sub(q.lastSaturated) > saturatedTTL {
			continue
		}
		refused := q.refusalRate.add(now, 0) * typicalDuration.Seconds()
		all = append(all, Demand{
			Group: q.key.group, Model: q.key.model, AllowedRegions: q.key.allowedRegions, Origin: q.key.origin, Requests: len(q.waiting) + int(math.Ceil(refused)), Since: q.saturatedSince,
		})
	}
	slices.SortFunc(all, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Model, b.Model))
	})
	return all
}

// QueueLength returns the number of queries to which ServeQueues owes a reply.
func (d *Dispatcher) QueueLength() int {
	n := len(d.displaced)
	for _, q := range d.queues {
		n += len(q.waiting)
	}
	return n
}

// ServeQueues grants the queued queries that can run now, and answers those that were
// waiting too long or have no candidate any more. It must be called again until it
// returns nothing.
func (d *Dispatcher) ServeQueues(now clock.Time) []Reply {
	replies := d.displaced
	d.displaced = nil
	queues := d.sortedQueues()
	if slices.ContainsFunc(queues, func(q *queue) bool { return q.scheduled }) {
		return append(replies, d.serveByDue(now, queues)...)
	}
	for _, q := range queues {
		d.remove(q, func(w *queuedQuery) bool { return d.abandoned(now, w) })
		for i := 0; i < len(q.waiting); {
			w := q.waiting[i]
			reply, answered := d.serve(now, q, i)
			if !answered {
				if len(w.query.Requirements.Exclude) == 0 {
					break
				}
				i++ // a server that it excludes may have room for the next one
				continue
			}
			replies = append(replies, reply)
			if w.from == d.self {
				return replies // the caller counts it before the next choice
			}
		}
	}
	return replies
}

// serve answers the query at position i of a queue, unless it goes on waiting.
func (d *Dispatcher) serve(now clock.Time, q *queue, i int) (reply Reply, answered bool) {
	w := q.waiting[i]
	c := d.pick(now, w.query.Requirements)
	p := q.updatePace(now, w.query, c)
	if c.AllFull && !w.givenUp(now) {
		return Reply{}, false
	}
	d.remove(q, func(o *queuedQuery) bool { return o == w })
	inst := d.instances[w.from]
	reply = Reply{To: w.from, Incarnation: inst.incarnation, Number: w.query.Number, Decision: NoCandidate, Returned: w.status}
	switch {
	case c.Server != nil:
		q.recordGrant(now)
		d.recordWait(now, q, w, true)
		d.recordScheduledGrant(now, q, w)
		d.grant(now, w.from, inst, w.query, c.Server)
		reply.Decision, reply.Choice = Granted, c
	case c.AllFull:
		d.recordWait(now, q, w, false)
		q.refusalRate.add(now, 1)
		reply.Decision = Refused
		if q.scheduled && w.query.Detail != nil {
			reply.RetryAfter, reply.NoSlot = d.promise(now, q, d.supplyOf(now, q, p), len(q.waiting)), p.perSecond <= 0
		} else {
			reply.RetryAfter = q.retryAfter(now, p)
		}
	}
	return reply, true
}

// abandoned reports whether the instance no longer waits for a reply.
func (d *Dispatcher) abandoned(now clock.Time, w *queuedQuery) bool {
	inst := d.instances[w.from]
	return inst == nil || !slices.Contains(inst.openQueries, w.query.Number) || now.Sub(w.lastQueried) > queuedTTL
}

// sortedQueues returns the non-empty queues, sorted by their first query, so that queries
// for models on the same server are granted in the order of priority.
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

// idle reports whether the queue can be dropped.
func (q *queue) idle(now clock.Time) bool {
	return len(q.waiting) == 0 && now.Sub(q.grantRate.at) > 2*rateWindow && now.Sub(q.lastSaturated) > saturatedTTL
}
