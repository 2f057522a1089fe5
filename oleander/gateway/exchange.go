package gateway

import (
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/process/boottime"
)

// maxSends bounds how many servers one request is sent to, including those that
// rejected it. After as many, one whose response has begun waits before each further one.
const maxSends = 4

// pickGroup chooses a server group of the route by the request ID, or by that of the request
// whose stream this one takes up.
func (x *exchange) pickGroup() {
	id := x.call.ID
	if x.call.LastEventID != "" && x.call.Resumes != "" {
		id = x.call.Resumes
	}
	x.group = x.route.PickGroup(xxhash.Sum64String(id))
}

// serve sends the request until it is answered or may not be sent again.
func (x *exchange) serve() {
	x.g.recordArrival(x.call.Model)
	defer x.endProbe(false)
	defer x.returnRetries()
	for {
		done, ref := x.serveOnce()
		switch {
		case done:
			return
		case ref != nil && x.unconfirmed != nil:
			x.notTakenUp()
			return
		case ref != nil && !x.waitsOn(ref):
			x.fail(*ref)
			return
		}
	}
}

// serveOnce sends the request to a server. It reports whether the caller has the response, or why the request
// can't be sent, or not again.
func (x *exchange) serveOnce() (done bool, ref *refusal) {
	t, ref := x.nextServer()
	if ref != nil {
		return false, ref
	}
	res := x.attempt(t)
	x.g.metrics.attempt(res)
	x.endProbe(false)
	if res == resultDone {
		return true, nil
	}
	if !x.linkFailed {
		x.leaveOut(t.id)
	}
	switch res {
	case resultCallerGone, resultSlowReader:
		// A caller may have closed only its side, and net/http would end the response as if it were whole.
		panic(http.ErrAbortHandler)
	case resultStopped:
		return false, unavailable(reasonStopping, retryDelay)
	case resultTimeout:
		return false, &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout}
	case resultUnconfirmed:
	case resultBroken:
		x.possibleRuns++
		x.broken = t.id
		if !x.mayRunAgain() {
			return false, x.finalRefusal()
		}
	}
	switch {
	case x.sends < maxSends && !x.bodyGone:
		return false, nil
	case x.responseStarted:
		return false, unavailable(reasonRefused, retryDelay)
	}
	return false, x.finalRefusal()
}

// nextServer waits for a server to which the request may be sent.
func (x *exchange) nextServer() (target, *refusal) {
	for {
		t, ref := x.chooseServer()
		if ref != nil {
			if x.held.serverFull && x.sends == 0 && (ref.reason == reasonNoFreeSlot || ref.reason == reasonNoServer || ref.reason == reasonNotLoaded) {
				ref = unavailable(reasonMemory, max(ref.retryAfter, membudget.MinRetryAfter))
				x.g.metrics.memoryRefused.Inc()
			}
			return target{}, ref
		}
		if x.mayProbe() {
			if ref = x.checkSend(); ref == nil {
				return t, nil
			}
			x.returnTarget(t)
			return target{}, ref
		}
		x.g.metrics.probesDenied.Inc()
		x.returnTarget(t)
		if ref := x.awaitProbe(); ref != nil {
			return target{}, ref
		}
	}
}

// mayRunAgain reports whether the route lets the request be sent, after the runs that it may have had.
func (x *exchange) mayRunAgain() bool {
	return x.possibleRuns == 0 || !x.bodyGone && x.route.Retryable() && x.possibleRuns < x.route.MaxAttempts
}

// isRetryable reports whether the request may be repeated by its route, as it was sent and as it is in force.
func (x *exchange) isRetryable() bool {
	inForce := x.routeInForce()
	return x.route.Retryable() && inForce != nil && inForce.Retryable()
}

// routeInForce returns the route in the configuration in force, nil if there is none.
func (x *exchange) routeInForce() *manifest.Route {
	m := x.g.manifest.Load()
	if m == x.config {
		return x.route
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	return m.Match(x.r.Host, path)
}

// repeatForbidden reports whether the request may have run and the configuration in force does not let it run again.
func (x *exchange) repeatForbidden() bool {
	if x.possibleRuns == 0 {
		return false
	}
	r := x.routeInForce()
	return r == nil || !r.Retryable() || x.possibleRuns >= r.MaxAttempts
}

// returnTarget ends the use of a server to which nothing was sent.
func (x *exchange) returnTarget(t target) {
	x.prefill = t.prefill
	x.endPrefill()
	x.g.attemptEnded(t.id, x.call.Model, directory.Neutral)
}

// checkSend checks right before a send whether the request may still be sent: servers may
// have crashed under its copies while it waited, and its route may have changed.
func (x *exchange) checkSend() *refusal {
	if x.possibleRuns > 0 && x.config != x.g.manifest.Load() {
		if ref := x.followConfig(); ref != nil {
			return ref
		}
	}
	if ref := x.beginTrial(); ref != nil {
		return ref
	}
	if x.sends > 0 && !x.takeRetry() {
		if x.responseStarted {
			return unavailable(reasonNoRetry, retryDelay)
		}
		return x.finalRefusal()
	}
	return nil
}

// takeRetry takes one retry from the retry budget.
func (x *exchange) takeRetry() bool {
	if x.reserved.Left > 0 {
		x.reserved.Left--
		return true
	}
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.retryBudget.TryRetry(boottime.Now(), x.group, g.members.Count())
	if !ok {
		g.metrics.retriesDenied.Inc()
	}
	return ok
}

// finalRefusal returns the answer to a request that is not sent again. It promises
// that the request did not run only if no server can have run it.
func (x *exchange) finalRefusal() *refusal {
	if x.possibleRuns > 0 {
		return &refusal{status: http.StatusBadGateway, reason: reasonBroken}
	}
	return unavailable(reasonRefused, retryDelay)
}

// fail ends a request that has no response. If a part of one was sent, the connection
// is aborted, so that the caller does not take it for complete.
func (x *exchange) fail(ref refusal) {
	if !x.responseStarted {
		if x.possibleRuns > 0 && ref.status == http.StatusServiceUnavailable {
			why := reasonBroken
			if x.stopped() {
				why = reasonStopping
			}
			ref = refusal{status: http.StatusBadGateway, reason: why}
		}
		x.refuse(ref)
		return
	}
	x.refusal = &ref
	x.finish(http.StatusOK, reasonBrokenOff)
	panic(http.ErrAbortHandler)
}

// recordArrival counts a request for a model.
func (g *Gateway) recordArrival(model string) {
	if model == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	a := g.arrivalCounts[model]
	g.arrivalCounts[model] = arrivalCount{count: a.count + 1, lastAt: now}
	g.placer.RecordArrivals(now, model, 1)
}
