package quota

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/schedule"
)

// Under overload the free level of a bucket is near zero, and a small request finds its tokens
// sooner than a large one. So that the requests of a flow are served equally often whatever their
// size, they are classed by the rank of their cost. A class that was served less often than its
// flow is behind: its next request takes the tokens that its flow has reserved. These come from
// requests of the other classes, which are refused at once, and in whose place a placeholder
// competes with the other flows. What a flow gets from the others does not change.

const (
	// sizeMemory is the number of a flow's last requests by which the next one is ranked, and
	// over which its classes are compared.
	sizeMemory = 256
	// minSizeSamples is the number of requests from which on the next one is ranked.
	minSizeSamples = 20
	// largestShare and largerShare are the parts of the requests above which the classes of
	// the largest and of the larger requests begin.
	largestShare = 0.1
	largerShare  = 0.3
	// reserveFactor times the largest cost bounds the reserve of a flow, as does
	// maxReserveShare of the burst. With less, two large requests in a row exhaust it.
	reserveFactor   = 2
	maxReserveShare = 0.25
)

// sizeClass is a class of the requests of a flow by cost.
type sizeClass int

const (
	sizeRest    sizeClass = iota
	sizeLarger            // the fifth below the largest tenth
	sizeLargest           // the largest tenth
	sizeClasses
)

// SizeCounts counts the requests whose size affected their admission.
type SizeCounts struct {
	FromReserve uint64 // granted from the reserve of their flow
	ForReserve  uint64 // refused to fill it
	Early       uint64 // refused at once because others of their flow were refused late
}

func (c *SizeCounts) add(o SizeCounts) {
	c.FromReserve += o.FromReserve
	c.ForReserve += o.ForReserve
	c.Early += o.Early
}

// flowSizes is what a bucket knows about the sizes of a flow's requests.
type flowSizes struct {
	flow  schedule.Flow
	costs []float64 // of the last requests, a ring
	next  int       // position in costs
	// asked and granted count the new requests of the last sizeMemory ones and those of them
	// that were granted or are queued. Callers that return are not counted.
	asked, granted [sizeClasses]float64
	reserve        float64    // tokens kept in the bucket
	updated        clock.Time // of the last request
	early          earlyRefusals
}

// sizesOf returns the sizes of a flow.
func (s *loadSchedule) sizesOf(flow schedule.Flow) *flowSizes {
	i := slices.IndexFunc(s.sizes, func(f *flowSizes) bool { return f.flow == flow })
	if i < 0 {
		i = len(s.sizes)
		s.sizes = append(s.sizes, &flowSizes{flow: flow})
	}
	return s.sizes[i]
}

// classify returns the class of a new request and records it. Requests that cost the same are
// not ranked above each other, so a flood of one cost is of the class of the rest.
func (f *flowSizes) classify(now clock.Time, cost float64) sizeClass {
	atLeast := 0.0
	for _, c := range f.costs {
		if c >= cost {
			atLeast++
		}
	}
	class := sizeRest
	switch n := float64(len(f.costs)); {
	case n < minSizeSamples:
	case atLeast < largestShare*n:
		class = sizeLargest
	case atLeast < largerShare*n:
		class = sizeLarger
	}
	if len(f.costs) < sizeMemory {
		f.costs = append(f.costs, cost)
	} else {
		f.costs[f.next] = cost
		f.next = (f.next + 1) % sizeMemory
	}
	for i := range f.asked {
		f.asked[i] *= 1 - 1.0/sizeMemory
		f.granted[i] *= 1 - 1.0/sizeMemory
	}
	f.asked[class]++
	f.updated = now
	return class
}

// behind reports whether a class was served less often than the flow, so that its present
// request is due.
func (f *flowSizes) behind(class sizeClass) bool {
	asked, granted := 0.0, 0.0
	for i := range f.asked {
		asked += f.asked[i]
		granted += f.granted[i]
	}
	return f.granted[class]+0.5 <= granted/asked*f.asked[class]
}

// reserveLimit returns the most tokens that are reserved: none for a flow of one class.
func (f *flowSizes) reserveLimit(burst float64) float64 {
	if f.asked[sizeLarger]+f.asked[sizeLargest] == 0 {
		return 0
	}
	return min(reserveFactor*slices.Max(f.costs), maxReserveShare*burst)
}

// treatment is how the size of a new request affects its admission.
type treatment int

const (
	// competes: the request competes with the others.
	competes treatment = iota
	// usesReserve: the reserve holds its tokens. A placeholder competes in its place, to
	// fill the reserve again.
	usesReserve
	// drawsOnReserve: it competes with the help of the reserve.
	drawsOnReserve
	// fillsReserve: it is refused, and a placeholder competes in its place.
	fillsReserve
	// refusedEarly: it is refused.
	refusedEarly
)

// treat classes a new request and decides how its size affects its admission.
func (b *bucket) treat(now clock.Time, added *queuedRequest) treatment {
	req, f := added.request, b.load.sizesOf(flowOf(added.request))
	added.class, added.counted = f.classify(now, req.Cost), true
	yieldLargest := time.Duration(slices.Max(f.costs) / b.rate() * float64(time.Second))
	added.patient = added.deadline.Sub(now) >= patientFactor*yieldLargest
	switch {
	case b.refusesEarly(now, added, f):
		return refusedEarly
	case added.patient || req.Cost > b.account.Burst:
		return competes
	case f.behind(added.class) && f.reserve >= req.Cost:
		return usesReserve
	case f.behind(added.class):
		return drawsOnReserve
	case b.load.shares.Granted(now, f.flow) < uncontestedShare && b.free()+f.reserve+b.placeholderTokens(f.flow) < f.reserveLimit(b.account.Burst):
		return fillsReserve
	}
	return competes
}

// admitBySize admits a new request by its treatment. accepted reports that it was granted from
// the reserve or is in the queue.
func (b *bucket) admitBySize(now clock.Time, added *queuedRequest) (accepted bool, evicted []AcquireRequest) {
	f := b.load.sizesOf(flowOf(added.request))
	switch b.treat(now, added) {
	case usesReserve:
		f.reserve -= added.request.Cost
		b.level -= added.request.Cost // counted as granted to the flow when it was reserved
		b.load.counts.FromReserve++
		_, evicted = b.enqueue(now, b.queue, added.placeholder())
		accepted = true
	case drawsOnReserve:
		queue, drawn := claim(b.queue, f, added.request.Cost)
		b.setReserve(now, f, f.reserve-drawn)
		if accepted, evicted = b.enqueue(now, queue, added); !accepted {
			b.setReserve(now, f, f.reserve+drawn)
		}
	case fillsReserve:
		var reserves bool
		if reserves, evicted = b.enqueue(now, b.queue, added.placeholder()); reserves {
			b.load.counts.ForReserve++
		}
	case refusedEarly:
		b.load.counts.Early++
	case competes:
		accepted, evicted = b.enqueue(now, b.queue, added)
	}
	if accepted {
		f.granted[added.class]++
		f.early.recordAccepted(added.class)
	}
	return accepted, evicted
}

// claim returns how much of the reserve of a flow a request takes, and the queue less the
// placeholders whose tokens it takes as well.
func claim(queue []*queuedRequest, f *flowSizes, cost float64) (remaining []*queuedRequest, drawn float64) {
	drawn = min(f.reserve, cost)
	missing := cost - drawn
	for _, w := range queue {
		if missing > 0 && w.reserves && flowOf(w.request) == f.flow {
			claimed := min(missing, w.request.Cost)
			missing -= claimed
			if claimed == w.request.Cost {
				continue
			}
			rest := *w
			rest.request.Cost -= claimed
			w = &rest
		}
		remaining = append(remaining, w)
	}
	return remaining, drawn
}

// placeholder returns a request without a caller in the place of w. Its tokens are reserved for
// its flow when it would be granted.
func (w *queuedRequest) placeholder() *queuedRequest {
	p := *w
	p.request.ID, p.counted, p.reserves = RequestID{}, false, true
	return &p
}

// setReserve changes the tokens reserved for a flow. They count as granted to it.
func (b *bucket) setReserve(now clock.Time, f *flowSizes, tokens float64) {
	b.load.shares.RecordGrant(now, f.flow, tokens-f.reserve)
	f.reserve = tokens
}

// placeholderTokens returns the tokens that placeholders of a flow wait for.
func (b *bucket) placeholderTokens(flow schedule.Flow) float64 {
	total := 0.0
	for _, w := range b.queue {
		if w.reserves && flowOf(w.request) == flow {
			total += w.request.Cost
		}
	}
	return total
}

// free returns the level less what is reserved.
func (b *bucket) free() float64 {
	if b.load == nil {
		return b.level
	}
	return b.level - b.load.reserved()
}

// reserved returns the tokens reserved for all flows.
func (s *loadSchedule) reserved() float64 {
	total := 0.0
	for _, f := range s.sizes {
		total += f.reserve
	}
	return total
}

// releaseReserves gives up the reserves of flows without requests since a time.
func (s *loadSchedule) releaseReserves(since clock.Time) {
	for _, f := range s.sizes {
		if f.updated < since {
			f.reserve = 0
		}
	}
}

// withCallers returns the requests of a queue without the placeholders.
func withCallers(queue []*queuedRequest) []*queuedRequest {
	return slices.DeleteFunc(slices.Clone(queue), func(w *queuedRequest) bool { return w.reserves })
}

// recordRejection records that a queued request is refused.
func (b *bucket) recordRejection(w *queuedRequest) {
	if b.load == nil || !w.counted {
		return
	}
	f := b.load.sizesOf(flowOf(w.request))
	f.granted[w.class]--
	if w.patient {
		f.early.recordRejection()
	}
}
