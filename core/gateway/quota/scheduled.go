package quota

import (
	"cmp"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/core/gateway/schedule"
)

const (
	// shareWindow is the time over which the flows of an account are compared. It covers
	// several of the largest requests: one alone must not make its flow the one that got most.
	shareWindow = 6 * time.Second
	// detailRetention is how long after the last request with a Detail a bucket schedules
	// by due time. Then load scheduling has been switched off.
	detailRetention = 10 * time.Second
	// dueTolerance is how much later than its due time a queued request may be granted
	// because others came before it. Without it, a large request that has accumulated its
	// tokens to the last millisecond would be rejected in favor of a status read. It is
	// below expiryTolerance.
	dueTolerance = 40 * time.Millisecond
	// returnShare is the part of the rate that is promised to refused callers. They miss
	// their objective mostly: with all of the rate promised, callers that return take the
	// place of new ones, and an account over its rate has all of its requests served late.
	returnShare = 0.25
	// extendedLead is how far, as a factor, the flow of a queued large request has to be
	// ahead of another flow before the request is rejected in favor of a new one of that.
	extendedLead = 1.25
	// maxReservedShare bounds the part of the rate that a request does not count on because
	// groups with less demand will use it.
	maxReservedShare = 0.5
	// largeDueFactor times the time that the rate takes to yield a request's tokens is the
	// due time of a request for which its wait is too short, and largeLeavesShare the part
	// of the caller's remaining time up to which it is moved.
	largeDueFactor   = 1.5
	largeLeavesShare = 0.5
	// minRetryAfter and maxRetryAfter bound Retry-After; the maximum applies if the
	// caller's remaining time is not known. retryLeavesShare is the part of that time up to
	// which a caller is told to wait: few callers wait longer.
	minRetryAfter    = 200 * time.Millisecond
	maxRetryAfter    = 5 * time.Second
	retryLeavesShare = 1.0 / 3
	// deferSpreadShare is the part of the longest time over which deferred requests return.
	deferSpreadShare = 0.25
	// servedLot is above the number of any request.
	servedLot = 1 << 62
	// uncontestedShare is the granted part of a flow's demand above which an early return
	// is treated like a new request. Calls of equal content share a digest, and one refused
	// call must not block the others of a flow that is not cut.
	uncontestedShare = 0.9
)

// loadSchedule is a bucket's state for load scheduling. It exists while requests with a
// Detail arrive. It is not handed over: with a new owner of the account all flows start
// equal, and callers that were told when to return count as new.
type loadSchedule struct {
	shares       *schedule.Shares
	reservations *reservation.Book
	// promisedUntil is the time until which the rate was promised to refused requests.
	promisedUntil clock.Time
	lastDetail    clock.Time
	demands       []groupDemand // in order of the groups' first requests
	lastArrival   uint64        // number of the last request
	sizes         []*flowSizes  // in order of the flows' first requests
	counts        SizeCounts    // since the last decision
	// returned says whether the caller of the last request had been told when to return.
	returned reservation.Status
}

// groupDemand is what the requests of a group ask for.
type groupDemand struct {
	group   string
	arrived arrivalRate
}

// recordDemand records a new request.
func (s *loadSchedule) recordDemand(now clock.Time, flow schedule.Flow, cost float64) {
	s.shares.RecordDemand(now, flow, cost)
	i := slices.IndexFunc(s.demands, func(d groupDemand) bool { return d.group == flow.Class })
	if i < 0 {
		i = len(s.demands)
		s.demands = append(s.demands, groupDemand{group: flow.Class, arrived: arrivalRate{updated: now}})
	}
	s.demands[i].arrived.add(now, cost)
}

// smallerDemand returns what the groups that ask for less than the given one ask for, in
// tokens a second. They get all of it before that group.
func (s *loadSchedule) smallerDemand(now clock.Time, group string) float64 {
	own, sum := 0.0, 0.0
	for i := range s.demands {
		s.demands[i].arrived.add(now, 0)
		if s.demands[i].group == group {
			own = s.demands[i].arrived.perSecond
		}
	}
	for _, d := range s.demands {
		if d.arrived.perSecond < own {
			sum += d.arrived.perSecond
		}
	}
	return sum
}

// updateScheduling turns load scheduling on with a request that has a Detail, and off some
// time after the last one. It reports whether it is on.
func (b *bucket) updateScheduling(now clock.Time, req AcquireRequest) bool {
	switch {
	case req.Detail != nil && b.load == nil:
		b.load = &loadSchedule{shares: schedule.NewSharesOver(schedule.ClassFirst, shareWindow), reservations: reservation.NewBook()}
		fallthrough
	case req.Detail != nil:
		b.load.lastDetail = now
	case b.load != nil && now.Sub(b.load.lastDetail) > detailRetention:
		b.load = nil
		b.queue = withCallers(b.queue)
		slices.SortStableFunc(b.queue, func(a, b *queuedRequest) int { return cmp.Compare(a.request.Priority, b.request.Priority) })
	}
	return b.load != nil
}

// admitScheduled grants, queues or refuses a request by due time and shares. wait is the
// time until its tokens are available, or Retry-After. evicted are queued requests that are
// rejected in favor of others.
func (b *bucket) admitScheduled(now clock.Time, req AcquireRequest) (verdict Verdict, wait time.Duration, evicted []AcquireRequest) {
	b.refill(now)
	flow := flowOf(req)
	status, remaining := b.load.reservations.Redeem(now, req.digest())
	b.load.returned = status
	b.load.shares.Expire(now)
	if status == reservation.Early && !b.hasUnpromised(now, req) && b.load.shares.Granted(now, flow) < uncontestedShare {
		return Refused, wholeMilliseconds(remaining), nil
	}
	isNew := status != reservation.Returned && status != reservation.Deferred // the demand of others was recorded before
	if isNew {
		b.load.recordDemand(now, flow, req.Cost)
	}
	b.load.releaseReserves(now.Add(-shareWindow))
	b.load.lastArrival++
	added := &queuedRequest{request: req, deadline: b.dueTime(now, req), returned: status == reservation.Returned, arrival: b.load.lastArrival, queuedAt: now}
	added.extended = added.deadline > now.Add(req.Wait)
	var accepted bool
	if isNew {
		accepted, evicted = b.admitBySize(now, added)
	} else {
		accepted, evicted = b.enqueue(now, b.queue, added)
	}
	wait, queued := b.remainingWait(req.ID)
	switch {
	case !accepted:
		return Refused, b.promise(now, req), evicted
	case !queued: // granted from the reserve
		return Granted, 0, evicted
	case b.queue[0] == added && b.free() >= b.requiredLevel(req):
		b.queue = b.queue[1:]
		b.take(now, req)
		return Granted, 0, evicted
	}
	return Waiting, wait, evicted
}

// enqueue adds a new request to a queue, and makes those of its requests that are then granted in
// time the bucket's queue. It reports whether the new one is among them; if it is not, the bucket
// keeps its queue. evicted are the requests that are rejected.
func (b *bucket) enqueue(now clock.Time, queue []*queuedRequest, added *queuedRequest) (accepted bool, evicted []AcquireRequest) {
	served, rejected := b.selectInTime(now, append(slices.Clone(queue), added), added)
	if slices.Contains(rejected, added) {
		return false, nil
	}
	if slices.ContainsFunc(rejected, func(w *queuedRequest) bool { return b.precedes(now, w, added) }) {
		b.queue, rejected = b.selectInTime(now, b.queue, added)
		return false, b.refuse(rejected)
	}
	b.queue = served
	return true, b.refuse(rejected)
}

// refuse records that queued requests are refused, and returns those that have a caller.
func (b *bucket) refuse(rejected []*queuedRequest) (requests []AcquireRequest) {
	for _, w := range withCallers(rejected) {
		b.recordRejection(w)
		requests = append(requests, w.request)
	}
	return requests
}

// precedes reports whether a queued request is kept although a new one of another flow of its
// group would be selected before it. A large request waits long enough to meet the moments at
// which its flow is ahead by chance.
func (b *bucket) precedes(now clock.Time, queued, added *queuedRequest) bool {
	from, to := flowOf(queued.request), flowOf(added.request)
	if !queued.extended && !queued.patient || from.Class != to.Class {
		return false
	}
	part := func(f schedule.Flow) float64 { return b.load.shares.Granted(now, f) / schedule.Weight(f.Priority) }
	if queued.extended {
		return part(from) <= extendedLead*part(to)
	}
	best := part(to)
	for _, f := range b.load.sizes {
		if f.flow.Class == from.Class && f.flow != from && now.Sub(f.updated) < shareWindow {
			best = max(best, part(f.flow))
		}
	}
	return part(from) <= patientLead*(best+part(to))/2
}

// selectInTime splits a queue into the requests that are granted, in order of due time, and
// those that are rejected so that the others are granted in time: added by its due time, the
// others within dueTolerance after it. Within a flow the newest is rejected first, of patient
// requests the newest of the classes of size that were served as often as the others: one that
// has waited long is served, and another learns of its refusal early. When added is rejected, no other is: those that wait were accepted without it.
func (b *bucket) selectInTime(now clock.Time, queue []*queuedRequest, added *queuedRequest) (served, rejected []*queuedRequest) {
	jobs := make([]schedule.Job, len(queue))
	for i, w := range queue {
		jobs[i] = schedule.Job{
			Flow: flowOf(w.request), Due: w.deadline, Need: b.requiredLevel(w.request), Work: w.request.Cost,
			Lot: w.arrival, Returned: w.returned,
		}
		if w.patient && !b.load.sizesOf(jobs[i].Flow).behind(w.class) {
			jobs[i].Lot += servedLot
		}
		if w != added {
			jobs[i].Due = w.deadline.Add(dueTolerance)
		}
	}
	supply := schedule.Supply{Available: b.free(), PerSecond: b.usableRate(now, flowOf(added.request).Class)}
	order, leftOut := schedule.SelectMost(now, supply, jobs, b.load.shares)
	for _, i := range leftOut {
		if queue[i] == added {
			return slices.DeleteFunc(queue, func(w *queuedRequest) bool { return w == added }), []*queuedRequest{added}
		}
		rejected = append(rejected, queue[i])
	}
	for _, i := range order {
		served = append(served, queue[i])
	}
	slices.SortStableFunc(served, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.request.Priority, b.request.Priority))
	})
	return served, rejected
}

// usableRate returns the rate that requests of a group can count on: groups with less demand
// get all of it before them.
func (b *bucket) usableRate(now clock.Time, group string) float64 {
	return b.rate() - min(b.load.smallerDemand(now, group), maxReservedShare*b.rate())
}

// take removes the tokens of a granted request from the bucket.
func (b *bucket) take(now clock.Time, req AcquireRequest) {
	b.level -= req.Cost
	if b.load != nil {
		b.load.shares.RecordGrant(now, flowOf(req), req.Cost)
		b.load.sizesOf(flowOf(req)).early.recordGrant()
	}
}

// dueTime returns the latest time at which a request may be granted. A request whose tokens
// the rate can't yield within its wait gets more time: late is better than never.
func (b *bucket) dueTime(now clock.Time, req AcquireRequest) clock.Time {
	wait := req.Wait
	if req.Detail != nil {
		yield := time.Duration(req.Cost / b.usableRate(now, req.Detail.Group) * float64(time.Second))
		longest := time.Duration(largeLeavesShare * float64(req.Detail.Leaves))
		wait = max(wait, min(time.Duration(largeDueFactor*float64(yield)), longest))
	}
	return now.Add(wait)
}

// yieldTime returns the time in which the rate yields a request's tokens.
func (b *bucket) yieldTime(req AcquireRequest) time.Duration {
	return time.Duration(req.Cost / b.rate() * float64(time.Second))
}

// hasUnpromised reports whether the bucket holds a request's tokens beyond those that others
// wait for or were promised.
func (b *bucket) hasUnpromised(now clock.Time, req AcquireRequest) bool {
	promised := returnShare * b.rate() * max(0, b.load.promisedUntil.Sub(now).Seconds())
	return len(b.queue) == 0 && b.free() >= b.requiredLevel(req)+promised
}

// retryAfter returns when the caller of a refused request may return.
func (b *bucket) retryAfter(now clock.Time, req AcquireRequest) time.Duration {
	if b.load != nil {
		return b.promise(now, req)
	}
	return b.waitAtEnd(req)
}

// promise returns when a refused request may return: when its tokens are expected, behind the
// queue and behind what was promised before. That time is reserved for it, unless the promised
// part of the rate does not yield its tokens while the caller waits: it then counts as new when
// it returns.
func (b *bucket) promise(now clock.Time, req AcquireRequest) time.Duration {
	longest := maxRetryAfter
	if req.Detail != nil {
		longest = time.Duration(retryLeavesShare * float64(req.Detail.Leaves))
	}
	yield := time.Duration(float64(b.yieldTime(req)) / returnShare)
	expected := max(now.Add(b.waitAtEnd(req)), b.load.promisedUntil.Add(yield))
	if expected.Sub(now) > longest {
		at := now.Add(wholeMilliseconds(max(minRetryAfter, longest-deferSpread(longest, req.digest()))))
		return wholeMilliseconds(max(0, b.load.reservations.Defer(now, req.digest(), at).Sub(now)))
	}
	at := now.Add(wholeMilliseconds(max(minRetryAfter, expected.Sub(now))))
	held := b.load.reservations.Reserve(now, req.digest(), at)
	if held == at && req.digest() != 0 {
		b.load.promisedUntil = max(b.load.promisedUntil, at)
	}
	return wholeMilliseconds(max(0, held.Sub(now)))
}

// deferSpread returns how much before the longest time a deferred request returns, so that
// those that are refused together do not return together.
func deferSpread(longest time.Duration, digest uint64) time.Duration {
	const steps = 64
	return time.Duration(deferSpreadShare * float64(longest) * float64(digest%steps) / steps)
}

// wholeMilliseconds rounds up to the resolution of the messages, so that a caller that
// returns when it is told does not return early.
func wholeMilliseconds(d time.Duration) time.Duration {
	return (d + time.Millisecond - 1).Truncate(time.Millisecond)
}

// flowOf returns the flow of a request. A request without a Detail is of the empty class.
func flowOf(req AcquireRequest) schedule.Flow {
	f := schedule.Flow{Priority: req.Priority}
	if req.Detail != nil {
		f.Class = req.Detail.Group
	}
	return f
}

// digest returns a value that is equal for repetitions of a request; 0 if it is unknown.
func (r AcquireRequest) digest() uint64 {
	if r.Detail == nil {
		return 0
	}
	return r.Detail.Digest
}
