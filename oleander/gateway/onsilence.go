package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/budget"
	"oleanderdale.org/core/gateway/continuation"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// silenceRecheck is how often another server is looked for while one is silent.
	silenceRecheck = 250 * time.Millisecond
	// retriesToLeave is how many retries are reserved for a request that leaves a silent server: the other one may reject it.
	retriesToLeave = 3
)

// silentWait is what a request does while its server is silent.
type silentWait struct {
	demands bool // the model is wanted on another server
	key     placer.Key
}

// onSilence decides about a server that has sent nothing for as long as a request waits that may go on
// elsewhere. It returns until when to wait for it; the zero time: it is left.
func (x *exchange) onSilence(t target) time.Time {
	now := boottime.Now()
	end := x.deadline.Add(responseGrace)
	if now.Reached(end) {
		return time.Time{}
	}
	x.g.links.sent(now) // on an instance that sends nothing else, no one would notice a cut
	alternative, loaded := x.findAlternative(now, t)
	s := continuation.Silence{Alternative: alternative, MayRepeat: x.mayFailOver() && x.isRetryable(), Ending: x.ending()}
	if s.Leave() && x.reserveRetries(now) {
		return time.Time{}
	}
	if !loaded && s.MayRepeat {
		x.demandElsewhere()
	}
	return wallTime(min(end, now.Add(silenceRecheck)))
}

// findAlternative reports whether another server than the silent one can take the request now, and whether
// another one has its model.
func (x *exchange) findAlternative(now clock.Time, silent target) (free, loaded bool) {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	req := x.requirements(now)
	exclude := map[string]bool{silent.id: true}
	for id := range req.Exclude {
		exclude[id] = true
	}
	req.Exclude = exclude
	c := g.servers.Pick(now, req)
	return c.Server != nil, c.Server != nil || c.AllFull
}

// ending reports whether this instance stops, so that the request had better stay where it is: one without a response
// is still in time to be answered elsewhere.
func (x *exchange) ending() bool {
	if x.responseStarted {
		return x.g.stopping.Load()
	}
	return x.g.refusesQueued()
}

// reserveRetries reserves the retries of a request that leaves its server. Without them it would go without a server
// until the budget allows one.
func (x *exchange) reserveRetries(now clock.Time) bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.reserved.Left == 0 {
		x.reserved = g.retryBudget.Reserve(now, x.group, g.members.Count(), retriesToLeave)
	}
	return x.reserved.Left > 0
}

// returnRetries returns the reserved retries that the request did not need.
func (x *exchange) returnRetries() {
	if x.reserved.Left == 0 {
		return
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	x.g.retryBudget.Return(x.reserved)
	x.reserved = budget.Reservation{}
}

// demandElsewhere makes the request's model wanted, so that it is loaded on another server than the silent one.
func (x *exchange) demandElsewhere() {
	if x.call.Model == "" || x.silent.demands {
		return
	}
	x.g.mu.Lock()
	x.silent = silentWait{demands: true, key: x.placementKey()}
	x.g.mu.Unlock()
	x.g.metrics.coldStarts.Inc()
	x.g.addLocalDemand(x.silent.key, x.demand())
}

// endSilence ends the demand of a request whose attempt ends.
func (x *exchange) endSilence() {
	if x.silent.demands {
		x.g.removeLocalDemand(x.silent.key)
	}
	x.silent = silentWait{}
}

// refusesQueued reports whether this instance stops and no longer lets requests wait.
func (g *Gateway) refusesQueued() bool {
	select {
	case <-g.refuseQueued:
		return true
	default:
		return false
	}
}
