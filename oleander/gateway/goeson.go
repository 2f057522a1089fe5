package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/continuation"
	"oleanderdale.org/oleander/process/boottime"
)

// obstacles says which refusals may pass while a response that has begun waits. All others last.
var obstacles = map[reason]continuation.Obstacle{
	reasonNoServer:       continuation.NoServer,
	reasonNoSoftware:     continuation.NoServer,
	reasonNoFreeSlot:     continuation.Passing,
	reasonServersLimited: continuation.Passing,
	reasonServersResting: continuation.Passing,
	reasonNotLoaded:      continuation.Passing,
	reasonRefused:        continuation.Passing,
	reasonNoRetry:        continuation.Passing,
	reasonMemory:         continuation.Passing,
}

// waitsOn waits, if the response has begun, until servers are looked for again after a refusal. It returns false if the
// refusal ends the request: this is the only place that decides so about a response that has begun.
func (x *exchange) waitsOn(ref *refusal) bool {
	if !x.responseStarted {
		return false
	}
	obstacle := obstacles[ref.reason]
	if ref.reason == reasonNoRetry && x.brokenOff {
		obstacle = continuation.Lasting // its caller may resume it at once, which takes no retry of ours
	}
	wait, ok := x.continuation.Wait(boottime.Now(), x.deadline, obstacle, x.serverLeft())
	if !ok {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-x.r.Context().Done(): // the next choice of a server ends the request
	}
	return true
}

// serverLeft reports whether a server may take the request later, also one that can't be reached now or is left out.
func (x *exchange) serverLeft() bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.servers.InGroup(x.group) {
		if s.RemainsInService() && x.allowedRegions.Allows(s.Region()) && x.origin.Allows(s.Software) {
			return true
		}
	}
	return false
}

// leaveOut leaves out a server that did not answer the request: for good, or for a while if the response has begun, as then
// no other answer is possible.
func (x *exchange) leaveOut(server string) {
	until := clock.Never
	if x.responseStarted {
		until = boottime.Now().Add(x.continuation.Failed())
	}
	x.excluded[server] = until
}

// leftOut returns the servers that are left out now.
func (x *exchange) leftOut(now clock.Time) map[string]bool {
	all := make(map[string]bool, len(x.excluded))
	for id, until := range x.excluded {
		if !now.Reached(until) {
			all[id] = true
		}
	}
	return all
}

// beginResponse marks the response as begun. Servers that are left out for good are so for a while from now on.
func (x *exchange) beginResponse() {
	x.responseStarted = true
	for id := range x.excluded {
		x.leaveOut(id)
	}
	x.continuation.Continued()
}

// stopSignal returns the channel that ends the waits of a request on an instance that stops. A response that has begun
// waits on until the process ends.
func (x *exchange) stopSignal() <-chan struct{} {
	if x.responseStarted {
		return nil
	}
	return x.g.refuseQueued
}
