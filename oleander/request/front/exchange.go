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

var errReadTimeout = os.ErrDeadlineExceeded

const (
	// commandQueue bounds the commands that wait for one call; the core has
	// at most a few under way.
	commandQueueSize = 16
	// overdue is how long after its deadline a call without an answer is
	// refused by the front itself. The core refuses by the deadline; this
	// catches a core that doesn't, so that no caller hangs.
	deadlineGrace = 2 * time.Second
)

// exchange is one call and its answer.
type exchange struct {
	front           *Front
	call            event.Call
	commands        chan event.Effect
	start           time.Time
	responseStarted bool          // a part of the answer reached the caller
	streaming       bool          // the answer is a stream of events
	observed        bool          // observed
	endRecorded     bool          // its end
	responseLatency time.Duration // until the first part of the answer
}

// attempter carries out one attempt and reports how it ended.
type attemptRunner interface {
	runAttempt(ctx context.Context, d event.Dispatch) event.AttemptEnded
}

// run takes commands until the call has its final answer.
func (x *exchange) run(w http.ResponseWriter, r *http.Request, a attemptRunner) {
	w.Header().Set(headerRequestID, string(x.call.Request))
	x.front.poster.Post(event.CallArrived{Call: x.call})
	overdueTimer := time.NewTimer(boottime.Until(x.call.Deadline) + deadlineGrace)
	defer overdueTimer.Stop()
	for {
		select {
		case c := <-x.commands:
			if x.handleCommand(w, r, a, c) {
				return
			}
		case <-r.Context().Done():
			x.front.poster.Post(event.CallerGone{Request: x.call.Request})
			x.recordEnd(outcomeCallerGone, "")
			return
		case <-overdueTimer.C:
			metric.FrontOverdue.Inc()
			x.front.poster.Post(event.CallerGone{Request: x.call.Request})
			x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Ran: event.RanUnknown, RetryAfter: time.Second, Detail: "the deadline passed"})
			return
		}
	}
}

// command carries out one command; it reports whether the call is over.
func (x *exchange) handleCommand(w http.ResponseWriter, r *http.Request, a attemptRunner, c event.Effect) bool {
	switch c := c.(type) {
	case event.Refuse:
		x.refuse(w, c.Refusal)
		return true
	case event.Answer:
		x.writeAnswer(w, c)
		return true
	case event.Dispatch:
		return x.handleDispatch(w, r, a, c)
	}
	return false // a Cancel of an attempt that is over
}

// dispatch runs one attempt; it reports whether the call is over.
func (x *exchange) handleDispatch(w http.ResponseWriter, r *http.Request, a attemptRunner, d event.Dispatch) bool {
	base := r.Context()
	if d.Once {
		// The outcome of a call that may not be repeated is recorded even if
		// its caller has gone: a repeat must find it.
		base = context.WithoutCancel(base)
	}
	ctx, stop := boottime.WithDeadline(base, d.Deadline)
	defer stop()
	watcher := x.watchForCancel(ctx, stop)
	ended := a.runAttempt(ctx, d)
	x.recordAttempt(d, ended)
	cancel := watcher.stop()
	x.front.poster.Post(ended)
	switch {
	case ended.Result == event.AttemptWhole && !d.Once:
		x.observe(true, "")
		x.recordEnd(outcomeAnswered, "")
		return true
	case cancel != nil:
		x.refuse(w, cancel.Refusal)
		return true
	case r.Context().Err() != nil && !d.Once:
		x.recordEnd(outcomeCallerGone, "")
		return true
	case ended.Result == event.AttemptCancelled && !d.Once:
		x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Ran: event.RanUnknown, RetryAfter: time.Second, Detail: "the deadline passed while the call was running"})
		return true
	}
	return false
}

// watcher looks for a Cancel while an attempt runs.
type cancelWatcher struct {
	stopped       chan struct{}
	done          chan struct{}
	cancel        *event.Cancel
	otherCommands []event.Effect
	x             *exchange
}

func (x *exchange) watchForCancel(ctx context.Context, stop context.CancelFunc) *cancelWatcher {
	w := &cancelWatcher{stopped: make(chan struct{}), done: make(chan struct{}), x: x}
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
				w.otherCommands = append(w.otherCommands, c)
			case <-w.stopped:
				return
			}
		}
	}()
	return w
}

// end stops watching and puts back what was not a Cancel.
func (w *cancelWatcher) stop() *event.Cancel {
	close(w.stopped)
	<-w.done
	for _, c := range w.otherCommands {
		w.x.commands <- c
	}
	return w.cancel
}

func (x *exchange) refuse(w http.ResponseWriter, r event.Refusal) {
	x.observe(callerErrors[r.Reason], r.Reason)
	x.recordEnd(outcomeRefused, r.Reason)
	p := problemFromRefusal(r, string(x.call.Request))
	if !x.responseStarted {
		writeProblem(w, p)
		return
	}
	if x.streaming {
		writeStreamProblem(w, p)
		return
	}
	// Part of an answer with a promised length is out: breaking the
	// connection is the only way to say that it is not whole.
	panic(http.ErrAbortHandler)
}

func (x *exchange) writeAnswer(w http.ResponseWriter, a event.Answer) {
	if a.Type != "" {
		w.Header().Set("Content-Type", a.Type)
	}
	if a.Replay {
		w.Header().Set(headerReplayed, "true")
	}
	x.observe(true, "")
	x.recordEnd(outcomeAnswered, "")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// outcome says how a call ended, for logs and metrics.
type outcome string

// The outcomes.
const (
	outcomeAnswered   outcome = "answered"
	outcomeRefused    outcome = "refused" // or broken off, if a part was sent
	outcomeCallerGone outcome = "caller-gone"
)

// ended logs and counts the end of the call, once.
func (x *exchange) recordEnd(o outcome, reason event.Reason) {
	if x.endRecorded {
		return
	}
	x.endRecorded = true
	took := time.Since(x.start)
	metric.Request(string(o), string(reason), took)
	level := zerolog.InfoLevel
	if o == outcomeRefused {
		level = zerolog.WarnLevel // kept before successes when lines are left out
	}
	e := x.front.log.WithLevel(level).Str("request", string(x.call.Request)).Str("outcome", string(o)).Str("class", string(x.call.Class))
	if reason != "" {
		e = e.Str("reason", string(reason)).Bool("begun", x.responseStarted)
	}
	if account, ok := accountOfKey(x.front.config(), x.call.KeyDigest); ok {
		e = e.Str("account", string(account))
	}
	if x.call.Service != "" {
		e = e.Str("service", string(x.call.Service))
	} else {
		e = e.Str("model", string(x.call.Artifact))
	}
	e.Int64("first_ms", x.responseLatency.Milliseconds()).Int64("total_ms", took.Milliseconds()).Msg("front: request ended")
}

// logAttempt logs and counts the end of an attempt.
func (x *exchange) recordAttempt(d event.Dispatch, e event.AttemptEnded) {
	metric.Attempt(e.Result.String())
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
	if x.observed || c == nil || x.front.observe == nil {
		return
	}
	x.observed = true
	key, ok := c.Keys[x.call.KeyDigest]
	if !ok {
		return
	}
	class := x.call.Class
	if class == "" {
		class = c.Accounts[key.Account].Class
	}
	x.front.observe(Observation{Account: key.Account, Class: class, Good: good, Reason: reason, Latency: x.latency()})
}

// accountOf returns the account of a call's key, for reading only.
func accountOfKey(c *config.Config, digest id.Digest) (id.Account, bool) {
	if c == nil {
		return "", false
	}
	k, ok := c.Keys[digest]
	return k.Account, ok
}

// answeredAfter returns the time until the first part of the answer, or until
// now if there was none.
func (x *exchange) latency() time.Duration {
	if x.responseLatency > 0 {
		return x.responseLatency
	}
	return time.Since(x.start)
}
