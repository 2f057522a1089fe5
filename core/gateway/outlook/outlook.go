// Package outlook decides whether a request waits for a model that is not loaded, or is
// refused at once with a time after which to retry.
//
// The caller of a stream gives up some time after it sent the request if no event
// arrived, often long before its deadline. A request that waits until then is lost: the
// caller does not know that a retry would help. If it is told at once when the model is
// expected, it retries then and is served. So a request waits only while the model is
// expected before its caller gives up.
//
// The time at which a model is expected comes from the forecast of the instance that
// holds the lease on orders. While no instance may give orders, it is at the earliest the
// time at which one may again.
package outlook

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// forecastTTL is how long a forecast is valid after it was received: five messages,
	// so that a few lost ones don't end it.
	forecastTTL = 500 * time.Millisecond
	// minLoadTime is the least time from the first order to a usable model: another
	// model is unloaded and a copy read from memory.
	minLoadTime = 450 * time.Millisecond
	// noHolderWaitShare is the part of its wait window that a request waits while nobody
	// can say when orders will be given. A caller that is then refused has enough time
	// left to retry once, and one that is served meanwhile lost nothing.
	noHolderWaitShare = 0.5
	// minRetryAfter is the shortest time after which a caller is told to retry: sooner,
	// the forecast would be the same.
	minRetryAfter = 200 * time.Millisecond
	// defaultRetryAfter is the time after which a caller is told to retry if no time is
	// expected. It is a third of the total time that callers of short streams wait.
	defaultRetryAfter = 1500 * time.Millisecond
)

// Settings configure a Tracker.
type Settings struct {
	// HolderTimeout is how long the lease holder may be silent before it is assumed to
	// give no more orders.
	HolderTimeout time.Duration
	// QuietPeriod is the time without orders between two lease holders.
	QuietPeriod time.Duration
}

// Tracker records what one instance knows of when models can be used. K identifies a
// model or adapter. It is not safe for concurrent use.
type Tracker[K comparable] struct {
	settings    Settings
	holderHeard clock.Time // when the lease holder was last heard; 0: never
	leaseEnds   clock.Time // latest end of the holder's lease if it is not renewed
	ordersFrom  clock.Time // when the holder may give orders
	forecasts   map[K]forecast
}

type forecast struct {
	ready      clock.Time
	receivedAt clock.Time
}

// New returns a Tracker without any records.
func New[K comparable](s Settings) *Tracker[K] {
	return &Tracker[K]{settings: s, forecasts: make(map[K]forecast)}
}

// RecordHolder records that an instance, this one or another, holds the lease on orders
// until leaseEnds and may give them from ordersFrom on.
func (t *Tracker[K]) RecordHolder(now, leaseEnds, ordersFrom clock.Time) {
	t.holderHeard, t.leaseEnds, t.ordersFrom = now, leaseEnds, ordersFrom
}

// RecordForecast records when the lease holder expects a model to be usable.
func (t *Tracker[K]) RecordForecast(now clock.Time, k K, ready clock.Time) {
	t.forecasts[k] = forecast{ready: ready, receivedAt: now}
}

// Expire removes forecasts that are no longer valid.
func (t *Tracker[K]) Expire(now clock.Time) {
	for k, f := range t.forecasts {
		if now.Sub(f.receivedAt) > forecastTTL {
			delete(t.forecasts, k)
		}
	}
}

// Expectation is what is known of when a model can be used.
type Expectation struct {
	// Ready is the earliest time at which it can be used; 0 if unknown.
	Ready clock.Time
	// NoHolder says that no instance is known to give orders, so nobody can forecast
	// when the model will be usable.
	NoHolder bool
}

// Expect returns what is known at now of something that has several keys, such as an
// adapter and its model. The first key with a valid forecast is used.
func (t *Tracker[K]) Expect(now clock.Time, keys ...K) Expectation {
	for _, k := range keys {
		if f, ok := t.forecasts[k]; ok && now.Sub(f.receivedAt) <= forecastTTL {
			return Expectation{Ready: f.ready}
		}
	}
	if t.holderHeard == 0 {
		return Expectation{NoHolder: true}
	}
	if now.Sub(t.holderHeard) <= t.settings.HolderTimeout {
		if now.Reached(t.ordersFrom) {
			return Expectation{}
		}
		return Expectation{Ready: t.ordersFrom.Add(minLoadTime)}
	}
	// The holder is silent. If it has stopped, the next holder gives orders once the
	// lease has ended and the quiet period has passed.
	if next := t.leaseEnds.Add(t.settings.QuietPeriod); !now.Reached(next) {
		return Expectation{Ready: next.Add(minLoadTime), NoHolder: true}
	}
	return Expectation{NoHolder: true}
}

// WaitWindow is the time in which a caller waits for a response.
type WaitWindow struct {
	Arrived clock.Time
	// End is when the caller gives up, or when no response could be in time any more.
	End clock.Time
}

// Decision says what to do with a request that can't be sent now.
type Decision struct {
	// Refuse says that it can't be served before the end of its wait window.
	Refuse bool
	// RetryAfter is the time after which the caller of a refused request may retry.
	RetryAfter time.Duration
	// RecheckAt is when to decide again if nothing changes before.
	RecheckAt clock.Time
}

// Decide returns whether a request keeps waiting.
func Decide(now clock.Time, w WaitWindow, e Expectation) Decision {
	limit := w.End
	if e.NoHolder && e.Ready == 0 {
		limit = min(limit, w.Arrived.Add(time.Duration(noHolderWaitShare*float64(w.End.Sub(w.Arrived)))))
	}
	if !now.Reached(limit) && e.Ready <= w.End {
		return Decision{RecheckAt: limit}
	}
	retryAfter := defaultRetryAfter
	if e.Ready > now {
		retryAfter = max(minRetryAfter, e.Ready.Sub(now))
	}
	return Decision{Refuse: true, RetryAfter: retryAfter}
}
