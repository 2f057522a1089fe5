package quota

import (
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
)

// expiryTolerance is how long after its deadline a waiting request is still granted:
// timers on a busy machine fire about 20 ms late.
const expiryTolerance = 50 * time.Millisecond

const (
	// bypassThreshold is the cost, as time at the full rate, up to which a request is
	// put at the head of the queue. The others are hardly delayed, and a status read of
	// 200 tokens would otherwise be refused behind prompts of 9,000 tokens, each of
	// which takes 0.2 s of its account's rate.
	bypassThreshold = 10 * time.Millisecond
	// arrivalWindow is the time constant of the moving average of the tokens requested
	// per priority.
	arrivalWindow = 2 * time.Second
	// usableShare is the part of the rate left over by more urgent requests that a
	// request counts on; the rest allows for their bursts.
	usableShare = 0.8
	// minWaitShare is the least part of a request's wait that maxExpectedWait returns.
	minWaitShare = 0.0
)

// bucket is the token bucket of one client account, with the requests that wait for
// tokens. Only the account's owner keeps it. In any window it grants at most the burst
// plus the rate times the window's length.
type bucket struct {
	account   *manifest.Account
	rateShare float64 // part of the account's rate that this owner grants
	level     float64 // below zero after a request larger than the burst
	updated   clock.Time
	queue     []*queuedRequest     // in the order of granting
	arrivals  map[int]*arrivalRate // by priority
	load      *loadSchedule        // nil: no request with a Detail arrived lately
	overflow  overflow
}

// overflow counts the tokens that a full bucket did not take. A refund may not give back
// what the bucket has regained since the grant: a request that holds its tokens while it
// waits for a model would let the account exceed its burst when it is refused.
type overflow struct {
	total float64
	// recent and previous are the tokens of the present and the previous period of
	// overflowPeriod, for grants whose time is not known.
	recent, previous float64
	periodEnd        clock.Time
}

// overflowPeriod is longer than a request holds tokens before it is sent or refused.
const overflowPeriod = 20 * time.Second

func (o *overflow) add(now clock.Time, tokens float64) {
	if now.Reached(o.periodEnd) {
		o.previous, o.recent = o.recent, 0
		if now.Sub(o.periodEnd) > overflowPeriod {
			o.previous = 0
		}
		o.periodEnd = now.Add(overflowPeriod)
	}
	o.total += tokens
	o.recent += tokens
}

// sinceUnknownGrant returns an upper bound of the tokens lost since a grant of unknown time.
func (o *overflow) sinceUnknownGrant() float64 { return o.recent + o.previous }

// queuedRequest is a request that waits for tokens.
type queuedRequest struct {
	request  AcquireRequest
	deadline clock.Time // latest time at which it may be granted
	returned bool       // the caller returned when it was told
	arrival  uint64     // number of the request at the owner, with load scheduling
	extended bool       // its deadline was moved because of its size
	class    sizeClass
	patient  bool       // it can wait much longer than the rate takes to yield its tokens
	queuedAt clock.Time // with load scheduling
	counted  bool       // in the sums of its class
	reserves bool       // it is a placeholder: it has no caller, and its tokens are reserved for its flow
}

func (b *bucket) refill(now clock.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += b.rate() * elapsed.Seconds()
		b.updated = now
	}
	if excess := b.level - b.account.Burst; excess > 0 {
		b.overflow.add(now, excess)
		if b.load != nil {
			b.load.releaseReserves(now) // a full bucket has the tokens of every request
		}
		b.level = b.account.Burst
	}
}

// rate returns the rate at which this owner grants tokens, per second.
func (b *bucket) rate() float64 { return b.account.Rate * b.rateShare }

// requiredLevel returns the level at which a request is granted. A request larger than
// the burst is granted on a full bucket; otherwise it could never be granted.
func (b *bucket) requiredLevel(req AcquireRequest) float64 { return min(req.Cost, b.account.Burst) }

// admit grants, queues or refuses a request. expectedWait is the time until the tokens
// are available; for a refused request, at the end of the queue. evicted are less urgent
// requests that can no longer be granted in time.
func (b *bucket) admit(now clock.Time, req AcquireRequest) (verdict Verdict, expectedWait time.Duration, evicted []AcquireRequest) {
	b.refill(now)
	b.recordArrival(now, req)
	if len(b.queue) == 0 && b.level >= b.requiredLevel(req) {
		b.level -= req.Cost
		return Granted, 0, nil
	}
	queued := &queuedRequest{request: req, deadline: now.Add(req.Wait)}
	maxWait := b.maxExpectedWait(now, req)
	for position := b.insertPosition(req); position <= len(b.queue); position++ {
		queue := slices.Insert(slices.Clone(b.queue), position, queued)
		wait := b.waitTimes(queue[:position+1])[position]
		if wait > maxWait {
			break
		}
		if queue, evicted, ok := b.evictLessUrgent(now, queue, position); ok {
			b.queue = queue
			return Waiting, wait, evicted
		}
	}
	return Refused, b.waitAtEnd(req), nil
}

// evictLessUrgent removes requests that are less urgent than the new one at position,
// the newest first, until all remaining ones are granted in time. ok is false if that
// can't be reached.
func (b *bucket) evictLessUrgent(now clock.Time, queue []*queuedRequest, position int) (remaining []*queuedRequest, evicted []AcquireRequest, ok bool) {
	for !b.allInTime(now, queue) {
		last := len(queue) - 1
		for last > position && queue[last].request.Priority <= queue[position].request.Priority {
			last--
		}
		if last == position {
			return nil, nil, false
		}
		evicted = append(evicted, queue[last].request)
		queue = slices.Delete(queue, last, last+1)
	}
	return queue, evicted, true
}

// waitAtEnd returns how long a request would wait at the end of the queue.
func (b *bucket) waitAtEnd(req AcquireRequest) time.Duration {
	return b.waitTimes(append(slices.Clone(b.queue), &queuedRequest{request: req}))[len(b.queue)]
}

// insertPosition returns the position of a new request in the queue: the first if its
// cost is below bypassThreshold, otherwise behind all requests of equal or higher
// urgency. Requests of one priority are granted in order of arrival, so that small ones
// don't starve large ones.
func (b *bucket) insertPosition(req AcquireRequest) int {
	if req.Cost <= b.rate()*bypassThreshold.Seconds() {
		return 0
	}
	position := len(b.queue)
	for position > 0 && b.queue[position-1].request.Priority > req.Priority {
		position--
	}
	return position
}

// arrivalRate is an exponential moving average of the tokens requested per second.
type arrivalRate struct {
	perSecond float64
	updated   clock.Time
}

func (r *arrivalRate) add(now clock.Time, tokens float64) {
	r.perSecond *= math.Exp(-now.Sub(r.updated).Seconds() / arrivalWindow.Seconds())
	r.perSecond += tokens / arrivalWindow.Seconds()
	r.updated = now
}

func (b *bucket) recordArrival(now clock.Time, req AcquireRequest) {
	if b.arrivals == nil {
		b.arrivals = make(map[int]*arrivalRate)
	}
	if b.arrivals[req.Priority] == nil {
		b.arrivals[req.Priority] = &arrivalRate{updated: now}
	}
	b.arrivals[req.Priority].add(now, req.Cost)
}

// maxExpectedWait returns the longest wait behind the present queue at which a new
// request is queued. It is shorter than the request's own limit, since more urgent
// requests will arrive later and be granted before it.
func (b *bucket) maxExpectedWait(now clock.Time, req AcquireRequest) time.Duration {
	urgentRate := 0.0
	for priority, arrivals := range b.arrivals {
		if priority < req.Priority {
			arrivals.add(now, 0)
			urgentRate += arrivals.perSecond
		}
	}
	if urgentRate == 0 {
		return req.Wait
	}
	share := usableShare * (1 - urgentRate/b.rate())
	return time.Duration(max(minWaitShare, share) * float64(req.Wait))
}

// allInTime reports whether all requests of a queue are granted by their deadlines.
func (b *bucket) allInTime(now clock.Time, queue []*queuedRequest) bool {
	for i, d := range b.waitTimes(queue) {
		if now.Add(d) > queue[i].deadline {
			return false
		}
	}
	return true
}

// waitTimes returns how long each request of a queue waits for its tokens, counted from
// the last refill.
func (b *bucket) waitTimes(queue []*queuedRequest) []time.Duration {
	waits := make([]time.Duration, len(queue))
	level, elapsed := b.free(), time.Duration(0)
	for i, w := range queue {
		if missing := b.requiredLevel(w.request) - level; missing > 0 {
			elapsed += time.Duration(missing / b.rate() * float64(time.Second))
			level += missing
		}
		level -= w.request.Cost
		waits[i] = elapsed
	}
	return waits
}

// dequeueReady removes the requests that are granted now, and those whose deadline has
// passed because the rate was lowered meanwhile.
func (b *bucket) dequeueReady(now clock.Time) (granted, expired []AcquireRequest) {
	b.refill(now)
	for len(b.queue) > 0 {
		head := b.queue[0]
		if b.free() < b.requiredLevel(head.request) {
			break
		}
		b.queue = b.queue[1:]
		if head.reserves {
			f := b.load.sizesOf(flowOf(head.request))
			b.setReserve(now, f, f.reserve+head.request.Cost)
			continue
		}
		b.take(now, head.request)
		granted = append(granted, head.request)
	}
	var late []*queuedRequest
	b.queue = slices.DeleteFunc(b.queue, func(w *queuedRequest) bool {
		expiredNow := now > w.deadline.Add(expiryTolerance)
		if expiredNow {
			late = append(late, w)
		}
		return expiredNow
	})
	return granted, b.refuse(late)
}

// nextEvent returns when dequeueReady has something to do.
func (b *bucket) nextEvent() clock.Time {
	if len(b.queue) == 0 {
		return clock.Never
	}
	at := b.updated.Add(b.waitTimes(b.queue[:1])[0])
	for _, w := range b.queue {
		at = min(at, w.deadline.Add(expiryTolerance))
	}
	return at
}

// remainingWait reports whether a request is queued, and how long it still waits.
func (b *bucket) remainingWait(id RequestID) (time.Duration, bool) {
	position := slices.IndexFunc(b.queue, func(w *queuedRequest) bool { return w.request.ID == id })
	if position < 0 {
		return 0, false
	}
	return b.waitTimes(b.queue[:position+1])[position], true
}

// remove removes a request from the queue.
func (b *bucket) remove(id RequestID) {
	b.queue = slices.DeleteFunc(b.queue, func(w *queuedRequest) bool { return w.request.ID == id })
}

// refund returns the tokens of a granted request that did not run. lostSince are the tokens
// that the full bucket did not take since the grant.
func (b *bucket) refund(now clock.Time, tokens, lostSince float64) {
	b.credit(now, max(0, tokens-lostSince))
}

// credit adds tokens to the bucket.
func (b *bucket) credit(now clock.Time, tokens float64) {
	b.refill(now)
	b.level = min(b.level+tokens, b.account.Burst)
}

// queuedTokens returns the sum of the tokens that queued requests wait for.
func (b *bucket) queuedTokens() float64 {
	total := 0.0
	for _, w := range b.queue {
		total += w.request.Cost
	}
	return total
}
