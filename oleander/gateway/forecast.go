package gateway

import (
	"maps"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// minForecastDelay is the shortest delay of a model that is reported. Callers
	// wait at least 2 s, so they wait for a swap from disk anyway.
	minForecastDelay = 1200 * time.Millisecond
	// decideInterval is how often a waiting request is decided again while no message
	// arrives, since the silence of the holder also matters.
	decideInterval = 100 * time.Millisecond
	// retryArrivalSlack is how long after the expected retry its model stays in
	// demand: callers are late, and other instances learn of the demand by messages.
	retryArrivalSlack = 500 * time.Millisecond
	// maxKeptDemand bounds how long a model stays in demand that can't be ready before its
	// caller leaves. It is loaded for the next callers: a model that only the weight store
	// has would otherwise be refused forever.
	maxKeptDemand = 30 * time.Second
	// maxRetryFraction is the part of its remaining time after which a caller is
	// expected to retry at the latest, whatever delay it was given.
	maxRetryFraction = 1.0 / 3
)

// expectedRetry keeps a model in demand for a caller that was told to retry later.
// Otherwise nothing would load the model meanwhile. It ends when the retry is due,
// since a model in demand is not evicted.
type expectedRetry struct {
	until  clock.Time
	demand placer.Demand // of the expected request
}

// forecastMessages passes the placer's forecasts to the local outlook, and returns
// the messages to instances that wait for models which are not available soon. The
// caller holds mu.
func (g *Gateway) forecastMessages(now clock.Time) []outgoing {
	if now.Sub(g.publisher.forecastAt) < publishInterval {
		return nil
	}
	g.publisher.forecastAt = now
	expected := g.placer.ExpectedReady(now)
	for k, ready := range expected {
		g.outlook.RecordForecast(now, k, ready)
	}
	var out []outgoing
	for _, m := range g.members.All(now) {
		peer := g.peerStates[m.Name]
		if peer == nil || !m.Live(now) {
			continue
		}
		if g.planScope == placer.ScopeZone && m.Zone != g.settings.Zone {
			continue
		}
		forecast := forecastMsg{Fencing: g.planFencing(), Zone: g.planZone()}
		var origins map[int]string
		for _, d := range peer.demand {
			k := placer.Key{Group: d.Group, Model: d.Model, Adapter: d.Adapter, AllowedRegions: d.AllowedRegions, Origin: d.origin}
			if _, ok := expected[k]; !ok {
				k.Adapter = ""
			}
			if in := expected[k].Sub(now); in >= minForecastDelay {
				if k.Origin.Begun {
					if origins == nil {
						origins = make(map[int]string)
					}
					origins[len(forecast.Models)] = k.Origin.Software
				}
				forecast.Models = append(forecast.Models, expectedModelMsg{Group: k.Group, Model: k.Model, Adapter: k.Adapter, AllowedRegions: k.AllowedRegions, ReadyInMS: in.Milliseconds()})
			}
		}
		if len(forecast.Models) == 0 {
			continue
		}
		out = append(out, outgoing{message: g.encode(packet{Forecast: &forecast, ForecastOrigins: origins}), recipients: []recipient{g.recipient(m)}})
	}
	return out
}

// handleForecast handles a planner's forecasts. The caller holds mu.
func (g *Gateway) handleForecast(now clock.Time, f *forecastMsg) {
	if f.Zone != "" && !g.acceptsZoneMessage(now, f.Zone, f.Fencing) || f.Zone == "" && f.Fencing < g.fleetHolder.fencing {
		return
	}
	for _, m := range f.Models {
		ready := now.Add(time.Duration(m.ReadyInMS) * time.Millisecond)
		g.outlook.RecordForecast(now, placer.Key{Group: m.Group, Model: m.Model, Adapter: m.Adapter, AllowedRegions: m.AllowedRegions, Origin: m.origin}, ready)
	}
	if len(g.localDemand) > 0 {
		g.wakeWaiting()
	}
}

// ownDemand returns the demand of waiting requests and expected retries at this
// instance. The caller holds mu.
func (g *Gateway) ownDemand(now clock.Time) map[placer.Key]placer.Demand {
	all := maps.Clone(g.localDemand)
	for k, retry := range g.expectedRetries {
		switch _, waiting := all[k]; {
		case now.Reached(retry.until):
			delete(g.expectedRetries, k)
		case !waiting:
			all[k] = retry.demand
		}
	}
	return all
}

// waitWindow returns how long the caller can be kept waiting. One that has a part of its response decides by itself
// how long it waits for the rest; it can't be told to come back.
func (x *exchange) waitWindow(began clock.Time) outlook.WaitWindow {
	window := outlook.WaitWindow{Arrived: x.arrived, End: x.deadline}
	if x.responseStarted {
		window.Arrived = began
		if x.unconfirmed != nil {
			window.End = min(window.End, x.unconfirmed.takeUpUntil)
		}
		return window
	}
	if x.route.FirstEventTimeout > 0 {
		window.End = min(window.End, window.Arrived.Add(x.route.FirstEventTimeout))
	}
	window.End = window.End.Add(-refusalLead)
	return window
}

// decideWait decides whether the request waits on for its model. If it is refused
// with a time to retry, the model stays in demand until then.
func (x *exchange) decideWait(window outlook.WaitWindow) (outlook.Decision, *refusal) {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	k := x.placementKey()
	var e outlook.Expectation
	if !x.responseStarted { // cutting a started stream helps nobody
		e = g.outlook.Expect(now, k, placer.Key{Group: k.Group, Model: k.Model, AllowedRegions: k.AllowedRegions, Origin: k.Origin})
	}
	v := outlook.Decide(now, window, e)
	if !v.Refuse {
		return v, nil
	}
	x.expectRetry(now, window, e, v.RetryAfter)
	ref := unavailable(reasonNotLoaded, v.RetryAfter)
	ref.expectation = &e
	if !g.fleetLease.Holds(now) {
		ref.holderSilence = now.Sub(g.fleetHolder.heardAt)
	}
	return v, ref
}

// expectRetry keeps the model in demand until the caller's retry, if the model can be
// available before the caller finally leaves. The caller holds mu.
func (x *exchange) expectRetry(now clock.Time, window outlook.WaitWindow, e outlook.Expectation, retryAfter time.Duration) {
	maxDelay := time.Duration(maxRetryFraction * float64(x.deadline.Sub(now)))
	retryAt := now.Add(min(retryAfter, maxDelay))
	if e.Ready > min(x.deadline, retryAt.Add(window.End.Sub(window.Arrived))) {
		if x.g.loadScheduling {
			x.keepDemand(now, min(e.Ready.Sub(now), maxKeptDemand))
		}
		return
	}
	x.keepDemand(now, retryAt.Sub(now))
}

// keepDemand keeps the request's model in demand for a time after the request is refused.
// The caller holds mu.
func (x *exchange) keepDemand(now clock.Time, period time.Duration) {
	k, until := x.placementKey(), now.Add(period).Add(retryArrivalSlack)
	if old, ok := x.g.expectedRetries[k]; !ok || until > old.until {
		x.g.expectedRetries[k] = expectedRetry{until: until, demand: x.demand()}
	}
}
