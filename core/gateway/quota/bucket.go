package quota

import (
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
	// roomForUrgent is the part of its patience that a request leaves for more
	// urgent ones that come later and go before it. Without it, the patient fill
	// the queue, none of them may be made late, and the urgent are refused: of an
	// account at five times its rate 109 of 570 chats were, and 7 of 250 drafts.
	roomForUrgent = 0.5
	// urgentFor is how long a request counts as a sign that more as urgent come.
	urgentFor = 5 * time.Second
)

// bucket is the token bucket of one client account, kept by its owner alone,
// with the requests that wait for tokens. It never hands out more than the burst
// and the rate times the length of any window.
type bucket struct {
	account *manifest.Account
	share   float64 // part of the rate that this owner hands out
	level   float64 // below zero after a request larger than the burst
	updated clock.Time
	queue   []*waiter          // in the order in which they are granted
	seen    map[int]clock.Time // when a request of a priority came last
}

// waiter is a request that waits for tokens.
type waiter struct {
	ask    Ask
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
func (b *bucket) need(a Ask) float64 { return min(a.Cost, b.account.Burst) }

// admit grants a request, lets it wait, or refuses it. Wait is the time until
// the tokens are there: for a refused one, behind all that wait.
func (b *bucket) admit(now clock.Time, a Ask) (v Verdict, wait time.Duration) {
	b.refill(now)
	if b.seen == nil {
		b.seen = make(map[int]clock.Time)
	}
	b.seen[a.Priority] = now
	if len(b.queue) == 0 && b.level >= b.need(a) {
		b.level -= a.Cost
		return Granted, 0
	}
	w := &waiter{ask: a, latest: now.Add(a.Wait)}
	patience := b.patience(now, a)
	for at := b.place(a); at <= len(b.queue); at++ {
		queue := slices.Insert(slices.Clone(b.queue), at, w)
		delays := b.delays(queue)
		if delays[at] > patience {
			break
		}
		if inTime(now, queue[at:], delays[at:]) {
			b.queue = queue
			return Waiting, delays[at]
		}
	}
	delays := b.delays(append(slices.Clone(b.queue), w))
	return Refused, delays[len(delays)-1]
}

// place is the place of a new request: the first if it costs next to nothing,
// else behind all that are as urgent. Requests of one urgency are granted by
// turn, so large ones are not starved by small ones.
func (b *bucket) place(a Ask) int {
	if a.Cost <= b.rate()*negligible.Seconds() {
		return 0
	}
	at := len(b.queue)
	for at > 0 && b.queue[at-1].ask.Priority > a.Priority {
		at--
	}
	return at
}

// patience is how long a new request may expect to wait.
func (b *bucket) patience(now clock.Time, a Ask) time.Duration {
	for priority, at := range b.seen {
		if priority < a.Priority && now.Sub(at) < urgentFor {
			return time.Duration(roomForUrgent * float64(a.Wait))
		}
	}
	return a.Wait
}

// inTime reports whether all of a queue are granted by their latest moment. One
// that was let wait is not passed over for a more urgent one that comes later.
func inTime(now clock.Time, queue []*waiter, delays []time.Duration) bool {
	for i, w := range queue {
		if now.Add(delays[i]) > w.latest {
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
func (b *bucket) mature(now clock.Time) (granted, expired []Ask) {
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
func (b *bucket) waiting(id ID) (time.Duration, bool) {
	at := slices.IndexFunc(b.queue, func(w *waiter) bool { return w.ask.ID == id })
	if at < 0 {
		return 0, false
	}
	return b.delays(b.queue[:at+1])[at], true
}

// cancel takes a waiting request out.
func (b *bucket) cancel(id ID) {
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
