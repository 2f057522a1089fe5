// Package outlook says whether a request waits for a model that is not loaded,
// or is refused at once with a time to come back.
//
// A caller of a stream leaves some time after it sent the request if no event
// came, often long before its deadline. A request that waits until then is lost:
// the caller does not know that coming back helps. If it is told at once when
// the model is expected, it comes back then and is served. So a request waits
// only while the model is expected before the caller leaves.
//
// Two things tell when a model is expected: the forecast of the instance that
// gives the orders, and, while no instance may give any, the earliest moment at
// which one may again.
package outlook

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// forecastFor is how long a forecast counts after it was heard: five
	// messages, so that a few lost ones don't end it.
	forecastFor = 500 * time.Millisecond
	// loadLeast is the least time from the first order to a usable model: room
	// is made and a copy read from memory.
	loadLeast = 450 * time.Millisecond
	// blindShare is the part of a caller's patience that a request waits while
	// nobody says when orders will be given. A caller that is then sent away has
	// enough of its time left to come back once, and one that is served in
	// between lost nothing.
	blindShare = 0.5
	// retryLeast is the least time to come back after: a moment later the
	// forecast is the same.
	retryLeast = 200 * time.Millisecond
	// retryBlind is the time to come back after while nothing is expected, a
	// third of what callers of quick streams wait in all.
	retryBlind = 1500 * time.Millisecond
)

// Settings of an Outlook.
type Settings struct {
	// HolderTimeout is how long the holder of the lease may not be heard before its
	// orders are taken to have ended.
	HolderTimeout time.Duration
	// QuietPeriod is the time without orders between two holders.
	QuietPeriod time.Duration
}

// Tracker is what one instance expects. K names a model or adapter. It is not
// safe for concurrent use.
type Tracker[K comparable] struct {
	set       Settings
	heard     clock.Time // the holder; 0: never
	rightEnds clock.Time // of the holder, at the latest, if it is not renewed
	from      clock.Time // the holder may give orders
	forecasts map[K]forecast
}

type forecast struct {
	ready clock.Time
	heard clock.Time
}

// New returns an Outlook that knows nothing.
func New[K comparable](s Settings) *Tracker[K] {
	return &Tracker[K]{set: s, forecasts: make(map[K]forecast)}
}

// RecordHolder records that an instance, this one or another, holds the right to
// give orders until rightEnds and may give them from a moment on.
func (o *Tracker[K]) RecordHolder(now, rightEnds, from clock.Time) {
	o.heard, o.rightEnds, o.from = now, rightEnds, from
}

// RecordForecast records when the holder expects a model to be usable.
func (o *Tracker[K]) RecordForecast(now clock.Time, k K, ready clock.Time) {
	o.forecasts[k] = forecast{ready: ready, heard: now}
}

// Expire drops the forecasts that are too old.
func (o *Tracker[K]) Expire(now clock.Time) {
	for k, f := range o.forecasts {
		if now.Sub(f.heard) > forecastFor {
			delete(o.forecasts, k)
		}
	}
}

// Expectation is what is known of when a model can be used.
type Expectation struct {
	// Ready is the earliest moment; 0 if nothing is known.
	Ready clock.Time
	// NoHolder says that no instance is known to give orders, so that nobody can
	// say when the model will be there.
	NoHolder bool
}

// Expect returns what is known at now of what has several keys, such as an
// adapter and its model. The first key with a forecast counts.
func (o *Tracker[K]) Expect(now clock.Time, keys ...K) Expectation {
	for _, k := range keys {
		if f, ok := o.forecasts[k]; ok && now.Sub(f.heard) <= forecastFor {
			return Expectation{Ready: f.ready}
		}
	}
	if o.heard == 0 {
		return Expectation{NoHolder: true}
	}
	if now.Sub(o.heard) <= o.set.HolderTimeout {
		if now.Reached(o.from) {
			return Expectation{}
		}
		return Expectation{Ready: o.from.Add(loadLeast)}
	}
	// The holder is silent. If it has ended, the next one gives orders when the
	// right and the quiet time have passed.
	if next := o.rightEnds.Add(o.set.QuietPeriod); !now.Reached(next) {
		return Expectation{Ready: next.Add(loadLeast), NoHolder: true}
	}
	return Expectation{NoHolder: true}
}

// WaitWindow is how long a caller can be kept waiting.
type WaitWindow struct {
	Arrived clock.Time
	// End is when the caller leaves, or when no answer could be in time.
	End clock.Time
}

// Decision says what to do with a request that can't be sent now.
type Decision struct {
	// Refuse: it can't be served before the caller leaves.
	Refuse bool
	// RetryAfter is when the caller may come back, if it is refused.
	RetryAfter time.Duration
	// RecheckAt is when to decide anew if nothing changes before.
	RecheckAt clock.Time
}

// Decide says whether a request waits on.
func Decide(now clock.Time, p WaitWindow, e Expectation) Decision {
	limit := p.End
	if e.NoHolder && e.Ready == 0 {
		limit = min(limit, p.Arrived.Add(time.Duration(blindShare*float64(p.End.Sub(p.Arrived)))))
	}
	if !now.Reached(limit) && e.Ready <= p.End {
		return Decision{RecheckAt: limit}
	}
	retry := retryBlind
	if e.Ready > now {
		retry = max(retryLeast, e.Ready.Sub(now))
	}
	return Decision{Refuse: true, RetryAfter: retry}
}
