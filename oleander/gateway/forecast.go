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
	// tellFrom is the shortest time to a model that is told: callers wait two
	// seconds at least, so a swap from disk is waited for in any case.
	tellFrom = 1200 * time.Millisecond
	// decideEvery is how often a waiting request is decided anew while nothing
	// is heard; silence has no message.
	decideEvery = 100 * time.Millisecond
	// promiseSlack is how long after the time that a caller was told its model
	// stays wanted: callers are late, and other instances are told by messages.
	promiseSlack = 500 * time.Millisecond
	// comesBackWithin is the part of its time left after which a caller comes
	// back at the latest, whatever it was told.
	comesBackWithin = 1.0 / 3
)

// promise keeps a model wanted for a caller that was told when to come back.
// Without it nothing would load the model, and the caller came back in vain.
// It ends when the caller should be back: a model that is wanted can't make
// room for another.
type promise struct {
	until clock.Time
	want  placer.Want // of the caller
}

// tellForecasts puts the forecasts into the own outlook and returns what those
// are told that wait for models which are not there soon. The caller holds mu.
func (g *Gateway) tellForecasts(now clock.Time) []outgoing {
	if now.Sub(g.publisher.forecast) < flushEvery {
		return nil
	}
	g.publisher.forecast = now
	expected := g.placer.Expected(now)
	for k, ready := range expected {
		g.outlook.Forecast(now, k, ready)
	}
	var out []outgoing
	for _, m := range g.members.All(now) {
		seen := g.peerSeen[m.Name]
		if seen == nil || !m.Live(now) {
			continue
		}
		if g.scope == placer.Zone && m.Zone != g.set.Zone {
			continue
		}
		f := forecastMsg{Fencing: g.planFencing(), Zone: g.planZone()}
		for _, w := range seen.wants {
			k := placer.Key{Group: w.Group, Model: w.Model, Adapter: w.Adapter, Homes: w.Homes}
			if _, ok := expected[k]; !ok {
				k.Adapter = ""
			}
			if in := expected[k].Sub(now); in >= tellFrom {
				f.Models = append(f.Models, expectedMsg{Group: k.Group, Model: k.Model, Adapter: k.Adapter, Homes: k.Homes, ReadyMS: in.Milliseconds()})
			}
		}
		if len(f.Models) == 0 {
			continue
		}
		out = append(out, outgoing{message: g.encode(packet{Forecast: &f}), to: []recipient{g.recipient(m)}})
	}
	return out
}

// takeForecast takes what the holder of the lease expects.
func (g *Gateway) takeForecast(now clock.Time, f *forecastMsg) {
	if f.Zone != "" && !g.speaksForZone(now, f.Zone, f.Fencing) || f.Zone == "" && f.Fencing < g.holder.fencing {
		return
	}
	for _, m := range f.Models {
		ready := now.Add(time.Duration(m.ReadyMS) * time.Millisecond)
		g.outlook.Forecast(now, placer.Key{Group: m.Group, Model: m.Model, Adapter: m.Adapter, Homes: m.Homes}, ready)
	}
	if len(g.waits) > 0 {
		g.wake()
	}
}

// wanted returns what waits here, and what callers were told to come back for.
// The caller holds mu.
func (g *Gateway) wanted(now clock.Time) map[placer.Key]placer.Want {
	all := maps.Clone(g.waits)
	for k, p := range g.promises {
		switch _, waits := all[k]; {
		case now.Reached(p.until):
			delete(g.promises, k)
		case !waits:
			all[k] = p.want
		}
	}
	return all
}

// patience is how long the caller can be kept waiting. In the middle of a
// stream it counts from the last event.
func (x *exchange) patience(began clock.Time) outlook.Patience {
	p := outlook.Patience{Arrived: x.arrived, Leaves: x.end}
	if x.started {
		p.Arrived = began
	}
	if x.route.FirstEventTimeout > 0 {
		p.Leaves = min(p.Leaves, p.Arrived.Add(x.route.FirstEventTimeout))
	}
	p.Leaves = p.Leaves.Add(-lastMoment)
	return p
}

// decide says whether the request waits on for a model. If it is refused with a
// time to come back, the model stays wanted until then.
func (x *exchange) decide(p outlook.Patience) (outlook.Verdict, *refusal) {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	k := x.waitKey()
	var e outlook.Expectation
	if !x.started { // to cut a stream that has begun helps nobody
		e = g.outlook.Expect(now, k, placer.Key{Group: k.Group, Model: k.Model, Homes: k.Homes})
	}
	v := outlook.Decide(now, p, e)
	if !v.Refuse {
		return v, nil
	}
	x.promise(now, p, e, v.RetryAfter)
	ref := refusalOf(reasonNotLoaded, v.RetryAfter)
	ref.expectation = &e
	if !g.lease.Holds(now) {
		ref.heard = now.Sub(g.holder.heard)
	}
	return v, ref
}

// promise keeps the model wanted until the caller is back, if it can be there
// before the caller leaves for good. The caller of it holds mu.
func (x *exchange) promise(now clock.Time, p outlook.Patience, e outlook.Expectation, retryAfter time.Duration) {
	g, k := x.g, x.waitKey()
	left := time.Duration(comesBackWithin * float64(x.end.Sub(now)))
	back := now.Add(min(retryAfter, left))
	if e.Ready > min(x.end, back.Add(p.Leaves.Sub(p.Arrived))) {
		return
	}
	until := back.Add(promiseSlack)
	if old, ok := g.promises[k]; !ok || until > old.until {
		g.promises[k] = promise{until: until, want: x.want()}
	}
}
