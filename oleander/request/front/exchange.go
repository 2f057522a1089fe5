package front

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/process/metric"
)

var errTimeout = os.ErrDeadlineExceeded

const (
	// commandQueue bounds the commands that wait for one call; the core has
	// at most a few under way.
	commandQueue = 16
	// overdue is how long after its deadline a call without an answer is
	// refused by the front itself. The core refuses by the deadline; this
	// catches a core that doesn't, so that no caller hangs.
	overdue = 2 * time.Second
)

// exchange is one call and its answer.
type exchange struct {
	front    *Front
	call     event.Call
	commands chan event.Effect
	start    time.Time
	begun    bool          // a part of the answer reached the caller
	stream   bool          // the answer is a stream of events
	seen     bool          // observed
	logged   bool          // its end
	took     time.Duration // until the first part of the answer
}

// attempter carries out one attempt and reports how it ended.
type attempter interface {
	attempt(ctx context.Context, d event.Dispatch) event.AttemptEnded
}

// run takes commands until the call has its final answer.
func (x *exchange) run(w http.ResponseWriter, r *http.Request, a attempter) {
	w.Header().Set(headerRequest, string(x.call.Request))
	x.front.poster.Post(event.CallArrived{Call: x.call})
	limit := time.NewTimer(boottime.Until(x.call.Deadline) + overdue)
	defer limit.Stop()
	for {
		select {
		case c := <-x.commands:
			if x.command(w, r, a, c) {
				return
			}
		case <-r.Context().Done():
			x.front.poster.Post(event.CallerGone{Request: x.call.Request})
			x.ended(outcomeGone, "")
			return
		case <-limit.C:
			metric.FrontDeadlinesExpired.Inc()
			x.front.poster.Post(event.CallerGone{Request: x.call.Request})
			x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Ran: event.RanUnknown, RetryAfter: time.Second, Detail: "the deadline passed"})
			return
		}
	}
}

// command carries out one command; it reports whether the call is over.
func (x *exchange) command(w http.ResponseWriter, r *http.Request, a attempter, c event.Effect) bool {
	switch c := c.(type) {
	case event.Refuse:
		x.refuse(w, c.Refusal)
		return true
	case event.Answer:
		x.answer(w, c)
		return true
	case event.Dispatch:
		return x.dispatch(w, r, a, c)
	}
	return false // a Cancel of an attempt that is over
}

// dispatch runs one attempt; it reports whether the call is over.
func (x *exchange) dispatch(w http.ResponseWriter, r *http.Request, a attempter, d event.Dispatch) bool {
	base := r.Context()
	if d.Once {
		// The outcome of a call that may not be repeated is recorded even if
		// its caller has gone: a repeat must find it.
		base = context.WithoutCancel(base)
	}
	ctx, stop := boottime.WithDeadline(base, d.Deadline)
	defer stop()
	w2 := x.watch(ctx, stop)
	ended := a.attempt(ctx, d)
	x.logAttempt(d, ended)
	cancelled := w2.end()
	x.front.poster.Post(ended)
	switch {
	case ended.Result == event.AttemptWhole && !d.Once:
		x.observe(true, "")
		x.ended(outcomeAnswered, "")
		return true
	case cancelled != nil:
		x.refuse(w, cancelled.Refusal)
		return true
	case r.Context().Err() != nil && !d.Once:
		x.ended(outcomeGone, "")
		return true
	case ended.Result == event.AttemptCancelled && !d.Once:
		x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Ran: event.RanUnknown, RetryAfter: time.Second, Detail: "the deadline passed while the call was running"})
		return true
	}
	return false
}

// watcher looks for a Cancel while an attempt runs.
type watcher struct {
	stop   chan struct{}
	done   chan struct{}
	cancel *event.Cancel
	others []event.Effect
	x      *exchange
}

func (x *exchange) watch(ctx context.Context, stop context.CancelFunc) *watcher {
	w := &watcher{stop: make(chan struct{}), done: make(chan struct{}), x: x}
	go func() {
		defer close(w.done)
		for {
			select {
			case c := <-x.commands:
				if cancel, ok := c.(event.Cancel); ok {
					w.cancel = &cancel
					stop()
					return
				}
				w.others = append(w.others, c)
			case <-w.stop:
				return
			}
		}
	}()
	return w
}

// end stops watching and puts back what was not a Cancel.
func (w *watcher) end() *event.Cancel {
	close(w.stop)
	<-w.done
	for _, c := range w.others {
		w.x.commands <- c
	}
	return w.cancel
}

func (x *exchange) refuse(w http.ResponseWriter, r event.Refusal) {
	x.observe(callersFault[r.Reason], r.Reason)
	x.ended(outcomeRefused, r.Reason)
	p := fromRefusal(r, string(x.call.Request))
	if !x.begun {
		writeProblem(w, p)
		return
	}
	if x.stream {
		writeStreamProblem(w, p)
		return
	}
	// Part of an answer with a promised length is out: breaking the
	// connection is the only way to say that it is not whole.
	panic(http.ErrAbortHandler)
}

func (x *exchange) answer(w http.ResponseWriter, a event.Answer) {
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	if a.Replay {
		w.Header().Set(headerReplay, "true")
	}
	x.observe(true, "")
	x.ended(outcomeAnswered, "")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// outcome says how a call ended, for logs and metrics.
type outcome string

// The outcomes.
const (
	outcomeAnswered outcome = "answered"
	outcomeRefused  outcome = "refused" // or broken off, if a part was sent
	outcomeGone     outcome = "caller-gone"
)

// ended logs and counts the end of the call, once.
func (x *exchange) ended(o outcome, reason event.Reason) {
	if x.logged {
		return
	}
	x.logged = true
	took := time.Since(x.start)
	metric.RecordRequest(string(o), string(reason), took)
	level := zerolog.InfoLevel
	if o == outcomeRefused {
		level = zerolog.WarnLevel // kept before successes when lines are left out
	}
	e := x.front.log.WithLevel(level).Str("request", string(x.call.Request)).Str("outcome", string(o)).Str("class", string(x.call.Class))
	if reason != "" {
		e = e.Str("reason", string(reason)).Bool("begun", x.begun)
	}
	if account, ok := accountOf(x.front.config(), x.call.KeyDigest); ok {
		e = e.Str("account", string(account))
	}
	if x.call.Service != "" {
		e = e.Str("service", string(x.call.Service))
	} else {
		e = e.Str("model", string(x.call.Artifact))
	}
	e.Int64("first_ms", x.took.Milliseconds()).Int64("total_ms", took.Milliseconds()).Msg("front: request ended")
}

// logAttempt logs and counts the end of an attempt.
func (x *exchange) logAttempt(d event.Dispatch, e event.AttemptEnded) {
	metric.RecordAttempt(e.Result.String())
	level := zerolog.InfoLevel
	if e.Result != event.AttemptWhole {
		level = zerolog.WarnLevel
	}
	x.front.log.WithLevel(level).Str("request", string(d.Request)).Str("attempt", string(d.Attempt)).Str("server", string(d.Backend)).
		Stringer("result", e.Result).Bool("answered", e.Answered).Bool("leaving", e.Leaving).Int("tokens", e.Generated).Msg("front: attempt ended")
}

// observe counts the call once for the report on service-level burn.
func (x *exchange) observe(good bool, reason event.Reason) {
	c := x.front.config()
	if x.seen || c == nil || x.front.observe == nil {
		return
	}
	x.seen = true
	key, ok := c.Keys[x.call.KeyDigest]
	if !ok {
		return
	}
	class := x.call.Class
	if class == "" {
		class = c.Accounts[key.Account].Class
	}
	x.front.observe(Outcome{Account: key.Account, Class: class, Good: good, Reason: reason, Took: x.answeredAfter()})
}

// accountOf returns the account of a call's key, for reading only.
func accountOf(c *config.Config, digest id.Digest) (id.Account, bool) {
	if c == nil {
		return "", false
	}
	k, ok := c.Keys[digest]
	return k.Account, ok
}

// answeredAfter returns the time until the first part of the answer, or until
// now if there was none.
func (x *exchange) answeredAfter() time.Duration {
	if x.took > 0 {
		return x.took
	}
	return time.Since(x.start)
}
