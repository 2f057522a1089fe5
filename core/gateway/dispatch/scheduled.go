package dispatch

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/forecast"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/core/gateway/schedule"
)

// With load scheduling, a waiting query has a due time: the latest grant that still lets its
// request meet the latency objective. Queries are granted in order of due time, over all
// queues. When one has to queue, and not all queries that compete for its servers are expected
// to get a slot in time, some are refused at once: the lowest priority first, and within it
// those of the account that got most. That may be a query that already waits; any other
// waiting query is granted, unless its servers have failed.

const (
	// schedulingTTL is how long a queue stays ordered by due time after the last query with
	// a Detail: the configuration may switch load scheduling off.
	schedulingTTL = 10 * time.Second
	// minRetryAfter keeps refused callers from returning before the queue has moved.
	minRetryAfter = 200 * time.Millisecond
	// tokensPerOutput is the work of an output token, in prompt tokens: prompt tokens are
	// processed in parallel, output tokens one after the other.
	tokensPerOutput = 10
	// workWeight is the weight of one query in the mean work of a queue, and maxRelativeWork
	// bounds the work of one relative to the mean: the longest completion that a caller
	// allows says little about a single request.
	workWeight      = 0.02
	maxRelativeWork = 8
	// minSharedServers is the part of its servers that a query must share with the queue of
	// a new one to be refused in favor of it.
	minSharedServers = 0.5
	// maxMarginPart bounds the margin of the forecast, as a part of MaxWait.
	maxMarginPart = 0.25
	// returnShare is the part of the slots that is promised to refused callers. Most of them
	// miss their objective, so the rest is left to new requests.
	returnShare = 0.25
	// maxDisplacedWait is the part of the time to its objective after which a query of a local
	// dispatcher is no longer refused in favor of another. With the 60 ms before an instance
	// decides by itself, the caller of one with an objective of 0.4 s learns of it within half
	// of the objective.
	maxDisplacedWait = 0.4
	// noDueWait is the time after which a query without MaxWait takes its turn: sustained
	// load of queries that are due earlier would otherwise keep it waiting forever.
	noDueWait = time.Second
	// maxWaitFactor bounds the wait of a query that the forecast accepted, as a multiple of
	// the time to its objective.
	maxWaitFactor = 2
)

// schedulesLoad reports whether queries with a Detail arrived recently. A local dispatcher is
// used with load scheduling only, and has queries only while no other one answers.
func (d *Dispatcher) schedulesLoad(now clock.Time) bool {
	return d.local || d.lastDetail != 0 && now.Sub(d.lastDetail) < schedulingTTL
}

// noteDetail switches the queue between the order by due time and the order by priority when
// a new query calls for it.
func (d *Dispatcher) noteDetail(now clock.Time, q *queue, detail *QueryDetail) {
	if detail != nil {
		d.lastDetail, q.lastDetail = now, now
	}
	if scheduled := q.lastDetail != 0 && now.Sub(q.lastDetail) < schedulingTTL; scheduled != q.scheduled {
		q.scheduled = scheduled
		slices.SortFunc(q.waiting, q.compare)
	}
}

// requirements returns those that the queries of the queue have in common.
func (q *queue) requirements() directory.Requirements {
	return directory.Requirements{Group: q.key.group, Model: q.key.model, Adapter: q.key.adapter, AllowedRegions: q.key.allowedRegions, Origin: q.key.origin}
}

// compare orders the waiting queries of the queue.
func (q *queue) compare(a, b *queuedQuery) int {
	if q.scheduled {
		return compareDue(a, b)
	}
	return compareQueued(a, b)
}

func compareDue(a, b *queuedQuery) int {
	if a.due != b.due {
		return cmp.Compare(a.due, b.due)
	}
	return compareQueued(a, b)
}

// newQueued returns a query that may be queued.
func (d *Dispatcher) newQueued(now clock.Time, q *queue, from string, query Query) *queuedQuery {
	d.lastPosition++
	w := &queuedQuery{queue: q, from: from, query: query, position: d.lastPosition, queuedAt: now, lastQueried: now, due: now.Add(noDueWait), work: 1}
	switch {
	case query.MaxWait > 0:
		w.due = now.Add(query.MaxWait)
	case query.Turn > 0:
		w.due = now.Add(min(query.Turn, noDueWait))
	}
	if q.scheduled {
		w.work = q.relativeWork(query.Detail)
		w.status, _ = d.reservations.Redeem(now, w.digest())
		if !w.returned() { // its demand was recorded before
			d.groupOf(q).shares.RecordDemand(now, w.flow(), w.work)
		}
	}
	return w
}

// returned reports whether the caller returned at the time that it was promised.
func (w *queuedQuery) returned() bool { return w.status == reservation.Returned }

// digest returns a value that is equal for repetitions of a request; 0 if it is unknown.
func (w *queuedQuery) digest() uint64 {
	if w.query.Detail == nil {
		return 0
	}
	return w.query.Detail.Digest
}

// relativeWork returns the work of a query relative to the mean of its queue.
func (q *queue) relativeWork(detail *QueryDetail) float64 {
	if detail == nil || detail.TotalTokens <= 0 {
		return 1
	}
	work := float64(detail.PromptTokens + tokensPerOutput*max(0, detail.TotalTokens-detail.PromptTokens))
	if q.meanWork == 0 {
		q.meanWork = work
	}
	q.meanWork += workWeight * (work - q.meanWork)
	return min(maxRelativeWork, max(1.0/maxRelativeWork, work/q.meanWork))
}

func (w *queuedQuery) flow() schedule.Flow {
	f := schedule.Flow{Priority: w.query.Priority}
	if w.query.Detail != nil {
		f.Class = w.query.Detail.Account
	}
	return f
}

// lot returns a hash of the request and of its attempt: a request that is repeated until it is
// served does not lose each time.
func (w *queuedQuery) lot() uint64 {
	h := w.position * 0x9e3779b97f4a7c15
	h ^= w.digest()
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9 // the finalizer of splitmix64
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// givenUp reports whether a waiting query is refused because no slot became free for too long.
// One with a Detail was accepted by the forecast: it is granted late rather than never, and is
// refused only when it has waited for maxWaitFactor times its objective, as when its servers
// have failed.
func (w *queuedQuery) givenUp(now clock.Time) bool {
	limit := w.query.MaxWait
	if limit > 0 && w.query.Detail != nil {
		limit = maxWaitFactor * max(limit, w.query.Detail.Due)
	}
	return limit > 0 && now.Sub(w.queuedAt) > limit
}

// group is what is known about the waiting queries for a group of servers.
type group struct {
	waiting []*queuedQuery   // in all queues, by due time
	shares  *schedule.Shares // what the accounts got
}

// groupOf returns the group of a queue, a new one if there is none.
func (d *Dispatcher) groupOf(q *queue) *group {
	g := d.groups[q.key.group]
	if g == nil {
		g = &group{shares: schedule.NewShares(schedule.PriorityFirst)}
		d.groups[q.key.group] = g
	}
	return g
}

// insert adds a query to its queue.
func (d *Dispatcher) insert(w *queuedQuery) {
	q, g := w.queue, d.groupOf(w.queue)
	i, _ := slices.BinarySearchFunc(q.waiting, w, q.compare)
	q.waiting = slices.Insert(q.waiting, i, w)
	i, _ = slices.BinarySearchFunc(g.waiting, w, compareDue)
	g.waiting = slices.Insert(g.waiting, i, w)
}

// remove removes queries from their queue.
func (d *Dispatcher) remove(q *queue, which func(w *queuedQuery) bool) {
	g := d.groupOf(q)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *queuedQuery) bool {
		if !which(w) {
			return false
		}
		if i, found := slices.BinarySearchFunc(g.waiting, w, compareDue); found {
			g.waiting = slices.Delete(g.waiting, i, i+1)
		}
		return true
	})
}

// contender is a query that competes for the servers of a queue.
type contender struct {
	query   *queuedQuery
	overlap float64 // part of its servers that the queue has
	kept    bool    // it has waited too long to be refused
}

// job describes a contender. One that shares few servers, that may wait for any time or that
// is kept is not refused.
func (c contender) job() schedule.Job {
	w := c.query
	job := schedule.Job{Flow: w.flow(), Due: w.due.Add(-w.queue.margin(w)), Need: 1, Work: w.work * c.overlap, Lot: w.lot(), Returned: w.returned()}
	if !w.queue.scheduled || c.overlap < minSharedServers || w.query.MaxWait == 0 || c.kept {
		job.Flow = schedule.Flow{Priority: -1}
	}
	return job
}

// supply is the forecast of the slots for the contenders of a queue.
type supply struct {
	schedule.Supply
	correction float64 // that is in PerSecond
	// byHoldTime says that PerSecond is that of the servers, for all their models.
	byHoldTime bool
}

// supplyOf returns the supply of a queue by the hold times of its servers. While these are
// unknown, it is the rate of recent grants, to which the correction does not apply.
func (d *Dispatcher) supplyOf(now clock.Time, q *queue, p pace) supply {
	if p.perSecond > 0 {
		// The next request is taken at nextAt.
		available := 1 - max(0, p.nextAt.Sub(now)).Seconds()*p.perSecond
		return supply{Supply: schedule.Supply{Available: available, PerSecond: p.perSecond}, correction: 1}
	}
	if c := d.capacityOf(now, q); c.perSecond > 0 {
		correction := q.forecasts.Correction()
		perSecond := d.share * c.perSecond
		if d.local { // the other instances may have less to do
			perSecond = max(perSecond, c.ended)
		}
		return supply{Supply: schedule.Supply{PerSecond: perSecond / correction}, correction: correction, byHoldTime: true}
	}
	return supply{Supply: schedule.Supply{PerSecond: max(d.share*minGrantRate, q.grantRate.add(now, 0))}, correction: 1}
}

// uncorrected returns the time for an amount of work, without the correction.
func (s supply) uncorrected(work float64) time.Duration {
	return time.Duration(work / s.PerSecond / s.correction * float64(time.Second))
}

// margin returns how much earlier than due a query must be forecast to get a slot. Without it,
// half of the queries that are accepted at the edge are late.
func (q *queue) margin(w *queuedQuery) time.Duration {
	return min(q.forecasts.Margin(), time.Duration(maxMarginPart*float64(w.query.MaxWait)))
}

// keeps reports whether a query has waited too long to be refused in favor of another.
func (d *Dispatcher) keeps(now clock.Time, w *queuedQuery) bool {
	return d.local && w.query.Detail != nil && now.Sub(w.queuedAt) > time.Duration(maxDisplacedWait*float64(w.query.Detail.Due))
}

// contenders returns the waiting queries that compete for the servers of q, in order of due
// time.
func (d *Dispatcher) contenders(now clock.Time, q *queue, withOthers bool) []contender {
	for _, o := range d.queueOrder {
		switch o.overlap = 0; {
		case o == q:
			o.overlap = 1
		case withOthers && o.key.group == q.key.group && len(o.waiting) > 0:
			o.overlap = d.capacityOf(now, q).overlap(d.capacityOf(now, o))
		}
	}
	all := d.contenderBuffer[:0]
	for _, w := range d.groupOf(q).waiting {
		if w.queue.overlap > 0 {
			all = append(all, contender{query: w, overlap: w.queue.overlap, kept: d.keeps(now, w)})
		}
	}
	d.contenderBuffer = all
	return all
}

// enqueueScheduled queues a query, and refuses those for which the forecast then has no slot
// in time.
func (d *Dispatcher) enqueueScheduled(now clock.Time, q *queue, w *queuedQuery, p pace) (Decision, time.Duration) {
	if w.query.MaxWait == 0 {
		d.insert(w)
		return Queued, 0
	}
	s := d.supplyOf(now, q, p)
	all := d.contenders(now, q, s.byHoldTime)
	jobs := d.jobBuffer[:0]
	for _, c := range all {
		jobs = append(jobs, c.job())
	}
	// Queries that are late by the present forecast have been accepted: they count as due
	// at their forecast, and lose only to the new query.
	for i, start := range s.Start(now, jobs) {
		if all[i].query.due <= w.due {
			jobs[i].Lot = 0 // only a more urgent query displaces one of its flow
		}
		jobs[i].Due = max(jobs[i].Due, start)
	}
	jobs = append(jobs, schedule.Job{Flow: w.flow(), Due: w.due.Add(-q.margin(w)), Need: 1, Work: w.work, Lot: w.lot(), Returned: w.returned()})
	d.jobBuffer = jobs
	served, leftOut := schedule.SelectMost(now, s.Supply, jobs, d.groupOf(q).shares)
	for _, i := range leftOut {
		if i == len(all) {
			return Refused, d.refuseScheduled(now, q, w, s, len(served), p)
		}
	}
	for _, i := range leftOut {
		if jobs[i].Flow.Priority >= 0 {
			d.displace(now, all[i].query, s, len(served), p)
		}
	}
	d.predict(now, s, w, all, jobs, served)
	d.insert(w)
	return Queued, 0
}

// predict predicts the wait of a new query, the last of the jobs, and adds it to the waits of
// those behind it.
func (d *Dispatcher) predict(now clock.Time, s supply, w *queuedQuery, all []contender, jobs []schedule.Job, served []int) {
	position := slices.Index(served, len(all))
	ordered := make([]schedule.Job, 0, position+1)
	for _, i := range served[:position+1] {
		ordered = append(ordered, jobs[i])
	}
	wait := s.Start(now, ordered)[position].Sub(now)
	w.byHoldTime = s.byHoldTime
	w.prediction = forecast.Prediction{Wait: wait, Uncorrected: time.Duration(float64(wait) / s.correction)}
	for _, i := range served[position+1:] {
		all[i].query.prediction.Uncorrected += s.uncorrected(w.work)
	}
}

// refuseScheduled counts a refusal by forecast and returns when to retry.
func (d *Dispatcher) refuseScheduled(now clock.Time, q *queue, w *queuedQuery, s supply, ahead int, p pace) time.Duration {
	q.refusalRate.add(now, 1)
	d.forecasts.RecordRefusal()
	if w.query.Detail == nil {
		return q.retryAfter(now, p)
	}
	return d.reserve(now, w, d.promise(now, q, s, ahead))
}

// reserve lets the caller of a refused query go before new ones when it returns after a time,
// unless that is the longest time that callers are told. It returns the time that holds: one
// who asks again earlier does not change it.
func (d *Dispatcher) reserve(now clock.Time, w *queuedQuery, wait time.Duration) time.Duration {
	if wait >= maxRetryAfter {
		return wait
	}
	return max(minRetryAfter, d.reservations.Reserve(now, w.digest(), now.Add(wait)).Sub(now))
}

// promise returns when a refused request can be served: when a slot is expected behind ahead
// queries, and behind the callers that were refused before.
func (d *Dispatcher) promise(now clock.Time, q *queue, s supply, ahead int) time.Duration {
	if s.PerSecond <= 0 {
		return maxRetryAfter
	}
	slots := func(n float64) time.Duration { return time.Duration(n / s.PerSecond * float64(time.Second)) }
	afterQueue := now.Add(slots(max(0, float64(ahead)-s.Available)))
	q.promisedUntil = min(max(d.promisedUntil(now, q, s), afterQueue).Add(slots(1/returnShare)), now.Add(maxRetryAfter))
	return max(minRetryAfter, q.promisedUntil.Sub(now))
}

// promisedUntil returns up to when the slots that a queue competes for are promised: by itself
// and, if its supply is that of the servers for all models, by the queues with the same servers.
func (d *Dispatcher) promisedUntil(now clock.Time, q *queue, s supply) clock.Time {
	until := q.promisedUntil
	if !s.byHoldTime {
		return until
	}
	for _, o := range d.queueOrder {
		if o != q && o.key.group == q.key.group && o.promisedUntil > until && d.capacityOf(now, q).overlap(d.capacityOf(now, o)) >= minSharedServers {
			until = o.promisedUntil
		}
	}
	return until
}

// displace refuses a waiting query in favor of a new one. ServeQueues returns the reply.
func (d *Dispatcher) displace(now clock.Time, displaced *queuedQuery, s supply, ahead int, p pace) {
	d.remove(displaced.queue, func(w *queuedQuery) bool { return w == displaced })
	inst := d.instances[displaced.from]
	if inst == nil {
		return
	}
	d.displaced = append(d.displaced, Reply{
		To: displaced.from, Incarnation: inst.incarnation, Number: displaced.query.Number, Decision: Refused, Returned: displaced.status,
		RetryAfter: d.refuseScheduled(now, displaced.queue, displaced, s, ahead, p), NoSlot: p.perSecond <= 0,
	})
}

// othersAhead reports whether a query in another queue is due before w and can use a server.
func (d *Dispatcher) othersAhead(now clock.Time, q *queue, w *queuedQuery, server string) bool {
	return q.scheduled && slices.ContainsFunc(d.queueOrder, func(o *queue) bool {
		if o == q || o.key.group != q.key.group || len(o.waiting) == 0 || compareDue(o.waiting[0], w) > 0 || o.waiting[0].query.Requirements.Exclude[server] {
			return false
		}
		_, usable := slices.BinarySearch(d.capacityOf(now, o).servers, server)
		return usable
	})
}

// recordWait compares the wait of a queued query with its prediction, when it ends with a
// grant or because it is given up.
func (d *Dispatcher) recordWait(now clock.Time, q *queue, w *queuedQuery, granted bool) {
	if !q.scheduled || w.query.MaxWait == 0 {
		return
	}
	inTime := granted && now <= w.due
	if w.byHoldTime {
		q.forecasts.RecordWait(w.prediction, now.Sub(w.queuedAt), inTime)
	}
	d.forecasts.RecordWait(w.prediction, now.Sub(w.queuedAt), inTime)
}

// recordScheduledGrant counts a grant in the shares of the accounts.
func (d *Dispatcher) recordScheduledGrant(now clock.Time, q *queue, w *queuedQuery) {
	if q.scheduled {
		d.groupOf(q).shares.RecordGrant(now, w.flow(), w.work)
	}
}

// serveByDue is ServeQueues while some queue is ordered by due time.
func (d *Dispatcher) serveByDue(now clock.Time, queues []*queue) []Reply {
	var replies []Reply
	for _, q := range queues {
		d.remove(q, func(w *queuedQuery) bool { return d.abandoned(now, w) })
	}
	next := make([]int, len(queues)) // position of the next query to serve in each queue
	for {
		first := -1
		for i, q := range queues {
			if next[i] < len(q.waiting) && (first < 0 || compareDue(q.waiting[next[i]], queues[first].waiting[next[first]]) < 0) {
				first = i
			}
		}
		if first < 0 {
			return replies
		}
		q := queues[first]
		w := q.waiting[next[first]]
		reply, answered := d.serve(now, q, next[first])
		switch {
		case answered:
			replies = append(replies, reply)
			if w.from == d.self {
				return replies // the caller counts it before the next choice
			}
		case len(w.query.Requirements.Exclude) == 0:
			next[first] = len(q.waiting)
		default:
			next[first]++ // a server that it excludes may have room for the next one
		}
	}
}

// Forecast describes the forecasts of waits since the dispatcher started.
type Forecast struct {
	forecast.Counts
	MeanError  time.Duration // actual minus predicted wait, moving average
	Correction float64       // of the predictions
}

// Forecast returns how the forecasts compare with the actual waits.
func (d *Dispatcher) Forecast() Forecast {
	return Forecast{Counts: d.forecasts.Counts(), MeanError: d.forecasts.MeanError(), Correction: d.forecasts.Correction()}
}
