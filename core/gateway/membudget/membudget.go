// Package membudget decides who may hold how many bytes of request bodies and buffered
// responses, who waits for memory, in which order, and who is refused.
//
// All holders share one bound. Parts of it are reserved:
//
//   - an eighth for bodies up to SmallBody, so that small requests are served while large
//     ones wait;
//   - an eighth for responses, which bodies may not use;
//   - a quarter, at most MaxResponse and a chunk, for one response: the leader.
//
// Bodies wait smallest first, for a limited time, and are then refused. Responses wait for
// as long as it takes, since their servers have done the work.
//
// Responses can't wait for bodies, or for each other, forever. A body is held until its
// request is answered, so its memory may depend on a response; and a response that is read
// in part holds memory while it waits for more. Therefore the longest waiting response
// becomes the leader when there is none. No other holder is granted bytes of the leader's
// reserve, so that the leader's response is read to its end without anything released by
// another request that waits. A response that was read completely needs no more memory: it
// only releases, at the pace of a caller that reads, or at once when its caller is cut
// off. Then the next response becomes the leader. With a bound under four times
// MaxResponse the reserve is smaller than the largest response; a leader that outgrows it
// and finds no other memory is refused, because its wait might never end.
//
// Bodies of unknown length grow, and could likewise hold all memory while each waits for
// more. So one of them, the grower, has as much reserved as it may still need; no other
// body is granted bytes of that. A body becomes the grower only if all that fits, or, when
// the previous grower is complete, if it has the most bytes of those that wait.
//
// One body may exceed what all bodies together are given otherwise, if nothing else is held but
// small bodies: a request inside the limits is served in calm. It uses the reserves of responses,
// so its request must not hold it while it waits for its response (see KeepsForRetry).
package membudget

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// SmallBody is the size up to which a body may use the reserve for small bodies.
	SmallBody = 16 << 10
	// Chunk is the number of bytes by which responses are read and written.
	Chunk = 64 << 10
	// MaxResponse is the size of the largest buffered response.
	MaxResponse = 16 << 20
	// MinRetryAfter is the shortest Retry-After: a caller that returns sooner adds load and
	// finds the same requests.
	MinRetryAfter = 200 * time.Millisecond
	// maxRetryAfter limits what a low rate of release yields: the rate rises when the
	// requests that hold the memory end.
	maxRetryAfter = 5 * time.Second
	// ratePeriod is the time constant of the moving rate at which bytes are released.
	ratePeriod = time.Second
	// The parts of the bound that are reserved for small bodies, for responses, and for the
	// leader.
	smallPart, responsePart, leaderPart = 8, 8, 4
	// besideLarge is what a body that uses the reserves of responses leaves of them.
	besideLarge = 4 * Chunk
)

// MaxWait returns how long a body may wait: a quarter of the route's latency objective, or
// of the timeout of a route without one.
func MaxWait(objective, timeout time.Duration) time.Duration {
	if objective > 0 {
		return objective / 4
	}
	return timeout / 4
}

// ID identifies a holder.
type ID uint64

// Kind is the kind of a holder.
type Kind int

// Kinds of holders.
const (
	Body Kind = iota
	Response
)

// Verdict is the decision on a charge.
type Verdict int

// Verdicts.
const (
	Granted Verdict = iota
	Waiting         // a later call of Decided yields the ID
	Refused
)

// holder is a body or a response.
type holder struct {
	id       ID
	kind     Kind
	held     int64
	asked    int64 // bytes of the charge that waits
	most     int64 // bytes that a body of unknown length may hold in all; 0: not growing
	since    clock.Time
	waitLeft time.Duration // of a body
	refused  bool          // the charge that waited was refused
}

func (h *holder) total() int64 { return h.held + h.asked }

// grows reports whether the holder is a body of unknown length that is not small.
func (h *holder) grows() bool { return h.most > 0 && h.total() > SmallBody }

// Status describes a Budget.
type Status struct {
	Bound, Held      int64
	WaitingBodies    int
	WaitingResponses int
}

// Budget divides a bound. It is not safe for concurrent use.
type Budget struct {
	bound, smallReserve, responseReserve, leaderReserve int64

	holders       map[ID]*holder
	next          ID
	held          int64
	heldSmall     int64     // by bodies up to SmallBody
	heldResponses int64     // without the leader
	leader        *holder   // a response that is not complete; may be nil
	grower        *holder   // a body of unknown length that is not complete; may be nil
	bodies        []*holder // waiting, smallest first
	responses     []*holder // waiting, longest wait first
	decided       []ID

	releaseRate float64 // bytes per second at rateAt
	rateAt      clock.Time
}

// New returns a Budget with this bound in bytes.
func New(bound int64) *Budget {
	return &Budget{
		bound: bound, smallReserve: bound / smallPart, responseReserve: bound / responsePart,
		leaderReserve: min(MaxResponse+Chunk, bound/leaderPart), holders: make(map[ID]*holder),
	}
}

// Open adds a holder without bytes. A body may wait so long in all; the wait of a response
// is not limited.
func (b *Budget) Open(kind Kind, maxWait time.Duration) ID {
	b.next++
	b.holders[b.next] = &holder{id: b.next, kind: kind, waitLeft: maxWait}
	return b.next
}

// Grows says that the length of a body is unknown, and how many bytes it may hold in all.
func (b *Budget) Grows(id ID, most int64) {
	b.holders[id].most = min(most, b.maxBody(most))
}

// Charge asks for n more bytes. After Waiting, the holder must not be charged again before
// Decided yields its ID or GiveUp ends the wait.
func (b *Budget) Charge(now clock.Time, id ID, n int64) Verdict {
	h := b.holders[id]
	h.asked, h.since, h.refused = n, now, false
	if b.fits(h) {
		b.grant(h)
		return Granted
	}
	if h.kind == Body {
		if h.waitLeft <= 0 || !b.CanHold(h.total()) {
			h.asked = 0
			return Refused
		}
		i, _ := slices.BinarySearchFunc(b.bodies, h, compareBodies)
		b.bodies = slices.Insert(b.bodies, i, h)
		return Waiting
	}
	b.responses = append(b.responses, h)
	b.serveResponses()
	if b.takeDecided(id) {
		if h.refused {
			return Refused
		}
		return Granted
	}
	return Waiting
}

// compareBodies orders bodies by size, then by arrival.
func compareBodies(a, b *holder) int {
	return cmp.Or(cmp.Compare(a.total(), b.total()), cmp.Compare(a.id, b.id))
}

// maxBody returns the most bytes that a body of this size may hold beside others.
func (b *Budget) maxBody(size int64) int64 {
	most := b.bound - b.leaderReserve - b.responseReserve
	if size > SmallBody {
		most -= b.smallReserve
	}
	return most
}

// CanHold reports whether a body of this size could be held if there were no others.
func (b *Budget) CanHold(size int64) bool { return size <= b.MaxBody() }

// MaxBody returns the size of the largest body that can be held.
func (b *Budget) MaxBody() int64 { return max(b.maxBody(0), b.bound-b.smallReserve-besideLarge) }

// KeepsForRetry reports whether a body of this size may be held while its request waits for a response.
func (b *Budget) KeepsForRetry(size int64) bool { return size <= b.maxBody(size) }

// fits reports whether what the holder asks for may be granted now.
func (b *Budget) fits(h *holder) bool { return b.missing(h) <= 0 }

// missing returns how many bytes have to be released before the holder's charge fits.
func (b *Budget) missing(h *holder) int64 {
	if h.kind == Body && h.total() > b.maxBody(h.total()) {
		return b.missingAlone(h)
	}
	return b.missingBeside(h)
}

// missingAlone is missing for a body that is too large to be held beside others than small bodies.
func (b *Budget) missingAlone(h *holder) int64 {
	others := b.held - b.heldSmall
	if h.held > SmallBody {
		others -= h.held
	}
	return max(others, h.total()-b.MaxBody())
}

// missingBeside is missing for a holder that others have room beside.
func (b *Budget) missingBeside(h *holder) int64 {
	small, responses := b.heldSmall, b.heldResponses
	if h.kind == Body {
		if h.held <= SmallBody {
			small -= h.held
		}
		if h.total() <= SmallBody {
			small += h.total()
		}
	}
	if h.kind == Body && h.total() <= SmallBody && small <= b.smallReserve {
		return 0
	}
	need := b.held + h.asked + max(0, b.smallReserve-small)
	if h == b.leader {
		return need - b.bound
	}
	need += b.leaderReserve
	if b.leader != nil {
		need -= min(b.leaderReserve, b.leader.held)
	}
	if h.kind == Body {
		need += max(0, b.responseReserve-responses)
		switch {
		case b.grower == nil && h.grows():
			need += max(0, h.most-h.total())
		case b.grower != nil && h != b.grower:
			need += max(0, b.grower.most-b.grower.held)
		}
	}
	return need - b.bound
}

// grant gives the holder what it asked for.
func (b *Budget) grant(h *holder) {
	if b.grower == nil && h.grows() {
		b.grower = h
	}
	n := h.asked
	b.count(h, -1)
	h.held += n
	h.asked = 0
	b.count(h, 1)
}

// count adds or subtracts the bytes of a holder in the totals.
func (b *Budget) count(h *holder, sign int64) {
	n := sign * h.held
	b.held += n
	switch {
	case h.kind == Response && h != b.leader:
		b.heldResponses += n
	case h.kind == Body && h.held <= SmallBody:
		b.heldSmall += n
	}
}

// setLeader makes a response, or none, the leader.
func (b *Budget) setLeader(h *holder) {
	if b.leader != nil {
		b.heldResponses += b.leader.held
	}
	b.leader = h
	if h != nil {
		b.heldResponses -= h.held
	}
}

// Release gives n bytes of a holder back.
func (b *Budget) Release(now clock.Time, id ID, n int64) {
	h := b.holders[id]
	b.count(h, -1)
	h.held -= n
	b.count(h, 1)
	b.recordRelease(now, n)
	b.serve(now)
}

// Complete says that a holder was read to its end and will not be charged again.
func (b *Budget) Complete(now clock.Time, id ID) {
	h := b.holders[id]
	h.most = 0
	if b.leader == h {
		b.setLeader(nil)
	}
	if b.grower == h {
		b.setGrower()
	}
	b.serve(now)
}

// setGrower makes the waiting body of unknown length with the most bytes the grower, or
// none if no such body has more than a small one.
func (b *Budget) setGrower() {
	b.grower = nil
	for _, h := range b.bodies {
		if h.most > 0 && h.held > SmallBody && (b.grower == nil || h.held > b.grower.held) {
			b.grower = h
		}
	}
}

// Close removes a holder and releases all that it holds. It also ends its wait.
func (b *Budget) Close(now clock.Time, id ID) {
	h := b.holders[id]
	if h == nil {
		return
	}
	b.stopWaiting(h)
	b.takeDecided(id)
	if b.leader == h {
		b.setLeader(nil)
	}
	if b.grower == h {
		b.setGrower()
	}
	b.count(h, -1)
	delete(b.holders, id)
	b.recordRelease(now, h.held)
	b.serve(now)
}

// GiveUp ends the wait of a body whose time is over. It reports whether the charge was
// granted before. Otherwise it is refused.
func (b *Budget) GiveUp(now clock.Time, id ID) (granted bool) {
	h := b.holders[id]
	if h.asked == 0 {
		b.takeDecided(id)
		return !h.refused
	}
	b.stopWaiting(h)
	h.asked, h.waitLeft = 0, 0
	b.serve(now)
	return false
}

// WaitEnd returns when the wait of a body that waits ends.
func (b *Budget) WaitEnd(id ID) clock.Time {
	h := b.holders[id]
	return h.since.Add(h.waitLeft)
}

// Decided returns the holders whose waiting charges were decided since the last call.
func (b *Budget) Decided() []ID {
	d := b.decided
	b.decided = nil
	return d
}

// WasRefused reports whether the last charge of a holder that waited was refused.
func (b *Budget) WasRefused(id ID) bool { return b.holders[id].refused }

func (b *Budget) takeDecided(id ID) bool {
	i := slices.Index(b.decided, id)
	if i < 0 {
		return false
	}
	b.decided = slices.Delete(b.decided, i, i+1)
	return true
}

func (b *Budget) stopWaiting(h *holder) {
	is := func(o *holder) bool { return o == h }
	b.bodies = slices.DeleteFunc(b.bodies, is)
	b.responses = slices.DeleteFunc(b.responses, is)
}

// serve grants waiting charges: responses first, since their requests hold bodies and a
// server.
func (b *Budget) serve(now clock.Time) {
	b.serveResponses()
	b.bodies = slices.DeleteFunc(b.bodies, func(h *holder) bool {
		if !b.fits(h) {
			return false
		}
		b.grant(h)
		h.waitLeft -= now.Sub(h.since)
		b.decided = append(b.decided, h.id)
		return true
	})
}

func (b *Budget) serveResponses() {
	if b.leader == nil {
		if i := slices.IndexFunc(b.responses, func(h *holder) bool { return !b.fits(h) }); i >= 0 {
			b.setLeader(b.responses[i])
		}
	}
	again := false
	b.responses = slices.DeleteFunc(b.responses, func(h *holder) bool {
		switch {
		case b.fits(h):
			b.grant(h)
		case h == b.leader && h.total() > b.leaderReserve:
			h.refused, h.asked, again = true, 0, true
			b.setLeader(nil)
		default:
			return false
		}
		b.decided = append(b.decided, h.id)
		return true
	})
	if again {
		b.serveResponses()
	}
}

// recordRelease updates the moving rate of release.
func (b *Budget) recordRelease(now clock.Time, n int64) {
	b.releaseRate = b.rate(now) + float64(n)/ratePeriod.Seconds()
	b.rateAt = now
}

// rate returns the moving rate of release in bytes per second.
func (b *Budget) rate(now clock.Time) float64 {
	return b.releaseRate * math.Exp(-now.Sub(b.rateAt).Seconds()/ratePeriod.Seconds())
}

// RetryAfter returns when memory for a body of this size is expected, behind the bodies
// that wait and are not larger.
func (b *Budget) RetryAfter(now clock.Time, size int64) time.Duration {
	need := b.missing(&holder{kind: Body, asked: size})
	for _, h := range b.bodies {
		if h.total() > size {
			break
		}
		need += h.asked
	}
	if need <= 0 {
		return MinRetryAfter
	}
	seconds := min(maxRetryAfter.Seconds(), float64(need)/max(1, b.rate(now)))
	return max(MinRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Size returns the bytes that a holder has.
func (b *Budget) Size(id ID) int64 {
	if h := b.holders[id]; h != nil {
		return h.held
	}
	return 0
}

// Missing returns how many bytes have to be released before a holder could be charged n more.
func (b *Budget) Missing(id ID, n int64) int64 {
	h := b.holders[id]
	asked := h.asked
	defer func() { h.asked = asked }()
	h.asked = n
	return b.missing(h)
}

// Status returns the state of the budget.
func (b *Budget) Status() Status {
	return Status{Bound: b.bound, Held: b.held, WaitingBodies: len(b.bodies), WaitingResponses: len(b.responses)}
}
