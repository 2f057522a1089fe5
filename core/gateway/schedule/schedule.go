// Package schedule selects which of the waiting requests are served, and in which order,
// when they compete for one resource: the tokens of a client account, or the slots of backend
// servers.
//
// Requests are served by due time (earliest deadline first), which serves all of them in time
// whenever that is possible. When it is not, some are left out until the others are in time:
// Moore and Hodgson's algorithm, with the victim chosen by a Policy and not by size. What one
// flow leaves goes to the others.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// Flow identifies requests that are treated alike.
type Flow struct {
	// Class competes with the other classes for equal amounts of the resource: a client
	// account at the servers, a group of servers at an account's limit.
	Class    string
	Priority int // 0 is the highest
}

// Policy decides which flow loses a request when not all can be served in time.
type Policy int

const (
	// PriorityFirst leaves out the lowest priority, and within it the class that got most.
	PriorityFirst Policy = iota
	// ClassFirst leaves out the class that got most, and within it the priority that was
	// granted the largest part of its demand, relative to its Weight.
	ClassFirst
)

// Job is a waiting request.
type Job struct {
	Flow Flow
	Due  clock.Time // latest start that is useful
	// Need is the amount of the resource that must be available for the job to start, and
	// Work the amount that it uses.
	Need, Work float64
	// Lot orders the jobs of a flow for leaving them out: the highest goes first. It must not
	// depend on the size of a job.
	Lot uint64
	// Returned says that the caller was told to return now. It is left out only when its
	// flow has no other job.
	Returned bool
}

// Supply is the resource that the jobs compete for.
type Supply struct {
	Available float64 // now
	PerSecond float64 // becomes available
}

// Start returns, for jobs that are served in the given order, when each starts.
func (s Supply) Start(now clock.Time, jobs []Job) []clock.Time {
	starts := make([]clock.Time, len(jobs))
	t := timeline{level: s.Available, at: now, perSecond: s.PerSecond}
	for i := range jobs {
		starts[i] = t.start(&jobs[i])
	}
	return starts
}

// timeline is the state of a supply while jobs are served in turn.
type timeline struct {
	level, perSecond float64
	at               clock.Time
}

// start returns when the next job starts.
func (t *timeline) start(j *Job) clock.Time {
	if missing := j.Need - t.level; missing > 0 {
		if t.perSecond <= 0 {
			t.at = clock.Never
			return t.at
		}
		t.at = t.at.Add(time.Duration(missing / t.perSecond * float64(time.Second)))
		t.level += missing
	}
	t.level -= j.Work
	return t.at
}

// Select splits jobs into those that are served, in order of due time, and those that are
// left out, as indexes into jobs. All served jobs start in time if the supply is as stated.
func Select(now clock.Time, supply Supply, jobs []Job, shares *Shares) (served, leftOut []int) {
	order := byDue(jobs)
	var c *contest
	for {
		late := firstLate(now, supply, jobs, order)
		if late < 0 {
			return order, leftOut
		}
		if c == nil {
			c = shares.newContest(now, jobs)
		}
		victim := c.victim(order[:late+1])
		leftOut = append(leftOut, order[victim])
		order = slices.Delete(order, victim, victim+1)
	}
}

// SelectMost is like Select, but then readmits jobs that were left out in vain.
func SelectMost(now clock.Time, supply Supply, jobs []Job, shares *Shares) (served, leftOut []int) {
	served, leftOut = Select(now, supply, jobs, shares)
	return readmit(now, supply, jobs, served, leftOut)
}

// readmit returns jobs to those that are served if all remain in time. Select leaves out
// jobs one by one until the others are in time, so when it ends with a large one, those
// before it were left out in vain.
func readmit(now clock.Time, supply Supply, jobs []Job, order, leftOut []int) (served, rejected []int) {
	if len(leftOut) < 2 {
		return order, leftOut
	}
	rejected = leftOut[len(leftOut)-1:]
	for _, i := range slices.Backward(leftOut[:len(leftOut)-1]) {
		position, _ := slices.BinarySearchFunc(order, i, func(a, b int) int {
			return cmp.Or(cmp.Compare(jobs[a].Due, jobs[b].Due), cmp.Compare(jobs[a].Flow.Priority, jobs[b].Flow.Priority), cmp.Compare(a, b))
		})
		order = slices.Insert(order, position, i)
		if !inTime(now, supply, jobs, order) {
			order = slices.Delete(order, position, position+1)
			rejected = append(rejected, i)
		}
	}
	return order, rejected
}

// byDue returns the indexes of jobs by due time, then priority, then position.
func byDue(jobs []Job) []int {
	order := make([]int, len(jobs))
	for i := range jobs {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(jobs[a].Due, jobs[b].Due), cmp.Compare(jobs[a].Flow.Priority, jobs[b].Flow.Priority))
	})
	return order
}

// inTime reports whether jobs start in time if they are served in the given order, which are
// indexes into jobs.
func inTime(now clock.Time, supply Supply, jobs []Job, order []int) bool {
	return firstLate(now, supply, jobs, order) < 0
}

// firstLate returns the position of the first job that starts after it is due; -1 if none.
func firstLate(now clock.Time, supply Supply, jobs []Job, order []int) int {
	t := timeline{level: supply.Available, at: now, perSecond: supply.PerSecond}
	for position, i := range order {
		if t.start(&jobs[i]) > jobs[i].Due {
			return position
		}
	}
	return -1
}

const (
	// shareWindow is the time constant of the moving averages of demand and grants: long
	// enough to smooth bursts, short enough that a flow which was idle is not preferred for
	// long.
	shareWindow = 2 * time.Second
	// priorityStep is how much less of its demand each lower priority is granted, and
	// minPriorityWeight the least weight: no kind of request starves behind a more urgent
	// one.
	priorityStep      = 0.1
	minPriorityWeight = 0.5
)

// Weight returns the part of its demand that a priority is granted, relative to priority 0.
func Weight(priority int) float64 {
	return max(minPriorityWeight, 1-priorityStep*float64(max(0, priority)))
}

// Shares records what the flows asked for and were granted. It is not safe for concurrent
// use.
type Shares struct {
	policy Policy
	window time.Duration // time constant of the moving sums
	flows  map[Flow]*flowShare
	// all holds the values of flows in order of their first request, so that sums over
	// them do not depend on the order of a map.
	all []*flowShare
}

type flowShare struct {
	flow            Flow
	demand, granted float64 // work, moving sums
	updated         clock.Time
}

// NewShares returns Shares in which all flows are equal.
func NewShares(p Policy) *Shares { return NewSharesOver(p, shareWindow) }

// NewSharesOver is like NewShares with another time constant of the moving averages. It has
// to be long enough for several requests of each flow: a single large one must not make its
// flow appear as the one that got most.
func NewSharesOver(p Policy, window time.Duration) *Shares {
	return &Shares{policy: p, window: window, flows: make(map[Flow]*flowShare)}
}

// at returns the moving sums of a flow at a time.
func (s *Shares) at(now clock.Time, f *flowShare) (demand, granted float64) {
	decay := 1.0
	if elapsed := now.Sub(f.updated); elapsed > 0 {
		decay = math.Exp(-elapsed.Seconds() / s.window.Seconds())
	}
	return f.demand * decay, f.granted * decay
}

// record adds to the sums of a flow.
func (s *Shares) record(now clock.Time, f Flow, demand, granted float64) {
	share := s.flows[f]
	if share == nil {
		share = &flowShare{flow: f, updated: now}
		s.flows[f] = share
		s.all = append(s.all, share)
	}
	share.demand, share.granted = s.at(now, share)
	share.updated = max(share.updated, now)
	share.demand += demand
	share.granted += granted
}

// RecordDemand records a new request.
func (s *Shares) RecordDemand(now clock.Time, f Flow, work float64) { s.record(now, f, work, 0) }

// RecordGrant records that a request is served.
func (s *Shares) RecordGrant(now clock.Time, f Flow, work float64) { s.record(now, f, 0, work) }

// Expire forgets flows without requests.
func (s *Shares) Expire(now clock.Time) {
	s.all = slices.DeleteFunc(s.all, func(share *flowShare) bool {
		expired := now.Sub(share.updated) > 5*s.window
		if expired {
			delete(s.flows, share.flow)
		}
		return expired
	})
}

// Granted returns the part of its demand that a flow was granted lately, 1 if it has none.
func (s *Shares) Granted(now clock.Time, f Flow) float64 {
	share := s.flows[f]
	if share == nil || share.demand <= 0 {
		return 1
	}
	return min(1, share.granted/share.demand)
}

// contest decides which jobs of one selection are left out. It refers to flows and classes
// by index, so that a selection among a thousand jobs needs no map in its inner loops.
type contest struct {
	policy  Policy
	jobs    []Job
	flowOf  []int // by job
	flows   []contestFlow
	classes []contestClass
	ranking []int // scratch space of rank
}

type contestFlow struct {
	flow            Flow
	class           int
	demand, granted float64
	lost            float64 // work of the jobs left out
	waiting         float64 // work of the candidates
	part            float64 // of its demand that it gets, relative to the weight of its priority
	rank            int     // the flow with the highest rank loses a job
}

type contestClass struct {
	granted float64
	work    float64 // granted if all candidates were served
}

func (s *Shares) newContest(now clock.Time, jobs []Job) *contest {
	c := &contest{policy: s.policy, jobs: jobs, flowOf: make([]int, len(jobs))}
	flows, classes := make(map[Flow]int), make(map[string]int)
	add := func(f Flow) int {
		class, ok := classes[f.Class]
		if !ok {
			class = len(c.classes)
			classes[f.Class] = class
			c.classes = append(c.classes, contestClass{})
		}
		flows[f] = len(c.flows)
		c.flows = append(c.flows, contestFlow{flow: f, class: class})
		return flows[f]
	}
	for _, share := range s.all {
		f := &c.flows[add(share.flow)]
		f.demand, f.granted = s.at(now, share)
		c.classes[f.class].granted += f.granted
	}
	for i := range jobs {
		f, ok := flows[jobs[i].Flow]
		if !ok {
			f = add(jobs[i].Flow)
		}
		c.flowOf[i] = f
	}
	return c
}

// victim returns the position in candidates, which are indexes into jobs, of the job to leave
// out.
func (c *contest) victim(candidates []int) int {
	c.rank(candidates)
	best, bestRank := 0, c.flows[c.flowOf[candidates[0]]].rank
	for position, i := range candidates[1:] {
		rank := c.flows[c.flowOf[i]].rank
		if rank > bestRank || rank == bestRank && leavesOutFirst(&c.jobs[i], &c.jobs[candidates[best]]) {
			best, bestRank = position+1, rank
		}
	}
	c.flows[c.flowOf[candidates[best]]].lost += c.jobs[candidates[best]].Work
	return best
}

// rank sorts the flows by what they would have been granted if all candidates were served.
func (c *contest) rank(candidates []int) {
	for i := range c.flows {
		c.flows[i].waiting = 0
	}
	for i := range c.classes {
		c.classes[i].work = c.classes[i].granted
	}
	for _, i := range candidates {
		c.flows[c.flowOf[i]].waiting += c.jobs[i].Work
	}
	c.ranking = c.ranking[:0]
	for i := range c.flows {
		f := &c.flows[i]
		c.classes[f.class].work += f.waiting
		served := f.granted + f.waiting
		f.part = 0
		if demand := max(f.demand, served+f.lost); demand > 0 {
			f.part = served / demand / Weight(f.flow.Priority)
		}
		c.ranking = append(c.ranking, i)
	}
	slices.SortFunc(c.ranking, func(a, b int) int { return c.compare(&c.flows[a], &c.flows[b]) })
	for rank, i := range c.ranking {
		c.flows[i].rank = rank
	}
}

// compare orders flows: the later one loses a job first.
func (c *contest) compare(a, b *contestFlow) int {
	byClass := cmp.Or(cmp.Compare(c.classes[a.class].work, c.classes[b.class].work), cmp.Compare(a.flow.Class, b.flow.Class))
	byPriority := cmp.Compare(a.flow.Priority, b.flow.Priority)
	if c.policy == PriorityFirst {
		return cmp.Or(byPriority, byClass)
	}
	return cmp.Or(byClass, cmp.Compare(a.part, b.part), byPriority)
}

// leavesOutFirst reports whether job a is left out before job b of the same flow.
func leavesOutFirst(a, b *Job) bool {
	if a.Returned != b.Returned {
		return !a.Returned
	}
	return a.Lot > b.Lot
}
