package gateway

import (
	"math/rand/v2"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/placer"
)

const (
	// forecastPatience is how long a request waits to hear that its model will be loaded on
	// another server: the planner learns of the demand and answers within a few heartbeats
	// of a small fleet.
	forecastPatience = 500 * time.Millisecond
	// minRetrySpread is the least time over which callers that are refused together come
	// back.
	minRetrySpread = time.Second
)

// awaitRest decides about a request for which all servers that could run it want none of
// this instance until ends. It waits for that if its objective can still be met, and is
// refused at once if not; neither if it waits for another server to load its model. The
// caller holds mu.
func (x *exchange) awaitRest(now, ends clock.Time) (wait bool, ref *refusal) {
	if ends.Sub(now) <= x.maxSlotWait(now) || x.responseStarted && ends.Before(x.waitWindow(now).End) {
		return true, nil
	}
	retryAfter := spreadRetry(ends.Sub(now))
	if x.call.Model != "" {
		k := x.placementKey()
		e := x.g.outlook.Expect(now, k, placer.Key{Group: k.Group, Model: k.Model, AllowedRegions: k.AllowedRegions, Origin: k.Origin})
		if e.Ready != 0 || now.Sub(x.arrived) < forecastPatience {
			return false, nil
		}
		x.keepDemand(now, retryAfter)
	}
	return false, unavailable(reasonServersResting, retryAfter)
}

// spreadRetry returns a time to retry, at least the given one, that differs between
// callers: those that were refused while a server rests would otherwise all come back in the
// moment in which the rest ends.
func spreadRetry(least time.Duration) time.Duration {
	return least + time.Duration(rand.Int64N(int64(max(minRetrySpread, least))))
}
