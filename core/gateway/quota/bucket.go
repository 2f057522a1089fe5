package quota

import (
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/manifest"
)

// expireSlack is how long after its latest moment a waiting request is still
// granted: the timers of a busy machine fire some 20 ms late.
const expireSlack = 50 * time.Millisecond

const (
	// negligible is the time of the rate up to which a request is granted before
	// all that wait: nobody notices the delay, and a status read of 200 tokens
	// would be refused behind prompts of 9,000 that take their account 0.2 s each.
	negligible = 10 * time.Millisecond
	// inflowWindow is the time constant in which the bucket learns how many
	// tokens requests of each priority ask for.
	inflowWindow = 2 * time.Second
	// roomLeft of what more urgent requests leave of the rate is counted on; the
	// rest is for their bursts.
	roomLeft = 0.8
	// leastRoom is the part of its patience that is left to a request in any case.
	leastRoom = 0.0
)

// bucket is the token bucket of one client account, kept by its owner alone,
// with the requests that wait for tokens. It never hands out more than the burst
// and the rate times the length of any window.
type bucket struct {
	account *manifest.Account
	share   float64 // part of the rate that this owner hands out
	level   float64 // below zero after a request larger than the burst
	updated clock.Time
	queue   []*waiter       // in the order in which they are granted
	inflow  map[int]*inflow // by priority
}

// waiter is a request that waits for tokens.
type waiter struct {
	ask    AcquireRequest
	latest clock.Time // by when it must be granted
}

func (b *bucket) refill(now clock.Time) {
	if passed := now.Sub(b.updated); passed > 0 {
		b.level += b.rate() * passed.Seconds()
		b.updated = now
	}
	b.level = min(b.level, b.account.Burst)
}

// rate is what this owner hands out, in tokens a second.
func (b *bucket) rate() float64 { return b.account.Rate * b.share }

// need is the level from which a request is granted. One larger than the burst
// is granted on a full bucket, or it never could be.
func (b *bucket) need(a AcquireRequest) float64 { return min(a.Cost, b.account.Burst) }

// admit grants a request, lets it wait, or refuses it. Wait is the time until
// the tokens are there: for a refused one, behind all that wait. Displaced are
// less urgent ones that can't have their tokens in time any more.
func (b *bucket) admit(now clock.Time, a AcquireRequest) (v Verdict, wait time.Duration, displaced []AcquireRequest) {
	b.refill(now)
	b.asked(now, a)
	if len(b.queue) == 0 && b.level >= b.need(a) {
		b.level -= a.Cost
		return Granted, 0, nil
	}
	w := &waiter{ask: a, latest: now.Add(a.Wait)}
	patience := b.patience(now, a)
	for at := b.place(a); at <= len(b.queue); at++ {
		queue := slices.Insert(slices.Clone(b.queue), at, w)
		delay := b.delays(queue[:at+1])[at]
		if delay > patience {
			break
		}
		if queue, displaced, ok := b.fit(now, queue, at); ok {
			b.queue = queue
			return Waiting, delay, displaced
		}
	}
	return Refused, b.behindAll(a), nil
}

// fit takes less urgent requests out of a queue, the newest first, until all
// behind a new one are granted in time. It fails if the others are too many.
func (b *bucket) fit(now clock.Time, queue []*waiter, at int) (fits []*waiter, displaced []AcquireRequest, ok bool) {
	for !b.inTime(now, queue) {
		last := len(queue) - 1
		for last > at && queue[last].ask.Priority <= queue[at].ask.Priority {
			last--
		}
		if last == at {
			return nil, nil, false
		}
		displaced = append(displaced, queue[last].ask)
		queue = slices.Delete(queue, last, last+1)
	}
	return queue, displaced, true
}

// behindAll is how long a request would wait behind all others.
func (b *bucket) behindAll(a AcquireRequest) time.Duration {
	return b.delays(append(slices.Clone(b.queue), &waiter{ask: a}))[len(b.queue)]
}

// place is the place of a new request: the first if it costs next to nothing,
// else behind all that are as urgent. Requests of one urgency are granted by
// turn, so large ones are not starved by small ones.
func (b *bucket) place(a AcquireRequest) int {
	if a.Cost <= b.rate()*negligible.Seconds() {
		return 0
	}
	at := len(b.queue)
	for at > 0 && b.queue[at-1].ask.Priority > a.Priority {
		at--
	}
	return at
}

// inflow is the mean of what is asked for, in tokens a second.
type inflow struct {
	perSecond float64
	at        clock.Time
}

func (i *inflow) add(now clock.Time, tokens float64) {
	i.perSecond *= math.Exp(-now.Sub(i.at).Seconds() / inflowWindow.Seconds())
	i.perSecond += tokens / inflowWindow.Seconds()
	i.at = now
}

func (b *bucket) asked(now clock.Time, a AcquireRequest) {
	if b.inflow == nil {
		b.inflow = make(map[int]*inflow)
	}
	if b.inflow[a.Priority] == nil {
		b.inflow[a.Priority] = &inflow{at: now}
	}
	b.inflow[a.Priority].add(now, a.Cost)
}

// patience is how long a new request may expect to wait by what is ahead of it:
// less than it can wait, since more urgent ones will come and go before it.
func (b *bucket) patience(now clock.Time, a AcquireRequest) time.Duration {
	urgent := 0.0
	for priority, i := range b.inflow {
		if priority < a.Priority {
			i.add(now, 0)
			urgent += i.perSecond
		}
	}
	if urgent == 0 {
		return a.Wait
	}
	room := roomLeft * (1 - urgent/b.rate())
	return time.Duration(max(leastRoom, room) * float64(a.Wait))
}

// inTime reports whether all of a queue are granted by their latest moment.
func (b *bucket) inTime(now clock.Time, queue []*waiter) bool {
	for i, d := range b.delays(queue) {
		if now.Add(d) > queue[i].latest {
			return false
		}
	}
	return true
}

// delays returns how long each of a queue waits for its tokens, from the last
// refill.
func (b *bucket) delays(queue []*waiter) []time.Duration {
	all := make([]time.Duration, len(queue))
	level, passed := b.level, time.Duration(0)
	for i, w := range queue {
		if missing := b.need(w.ask) - level; missing > 0 {
			passed += time.Duration(missing / b.rate() * float64(time.Second))
			level += missing
		}
		level -= w.ask.Cost
		all[i] = passed
	}
	return all
}

// mature takes out the waiting requests that have their tokens now, and those
// that can't have them in time any more: the rate was lowered meanwhile.
func (b *bucket) mature(now clock.Time) (granted, expired []AcquireRequest) {
	b.refill(now)
	for len(b.queue) > 0 {
		head := b.queue[0]
		if b.level < b.need(head.ask) {
			break
		}
		b.level -= head.ask.Cost
		granted = append(granted, head.ask)
		b.queue = b.queue[1:]
	}
	b.queue = slices.DeleteFunc(b.queue, func(w *waiter) bool {
		late := now > w.latest.Add(expireSlack)
		if late {
			expired = append(expired, w.ask)
		}
		return late
	})
	return granted, expired
}

// next is when mature has something to do.
func (b *bucket) next() clock.Time {
	if len(b.queue) == 0 {
		return clock.Never
	}
	at := b.updated.Add(b.delays(b.queue[:1])[0])
	for _, w := range b.queue {
		at = min(at, w.latest.Add(expireSlack))
	}
	return at
}

// waiting reports whether a request waits, and how long still.
func (b *bucket) waiting(id RequestID) (time.Duration, bool) {
	at := slices.IndexFunc(b.queue, func(w *waiter) bool { return w.ask.ID == id })
	if at < 0 {
		return 0, false
	}
	return b.delays(b.queue[:at+1])[at], true
}

// cancel takes a waiting request out.
func (b *bucket) cancel(id RequestID) {
	b.queue = slices.DeleteFunc(b.queue, func(w *waiter) bool { return w.ask.ID == id })
}

// put gives tokens back.
func (b *bucket) put(now clock.Time, tokens float64) {
	b.refill(now)
	b.level = min(b.level+tokens, b.account.Burst)
}

// queued is the sum of the tokens that are waited for.
func (b *bucket) queued() float64 {
	total := 0.0
	for _, w := range b.queue {
		total += w.ask.Cost
	}
	return total
}
