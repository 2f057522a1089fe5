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
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/callermem"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/process/metric"
)

var errReadTimeout = os.ErrDeadlineExceeded

const (
	// commandQueueSize is the capacity of the command queue of one call. The
	// core has at most a few commands outstanding for a call.
	commandQueueSize = 16
	// deadlineGrace is how long after its deadline the front itself refuses an
	// unanswered call. The core refuses calls by their deadline; this keeps
	// callers from hanging if it fails to.
	deadlineGrace = 2 * time.Second
)

// exchange handles one call and its response. The goroutine of the HTTP handler
// owns it; only commands is shared.
type exchange struct {
	front           *Front
	call            event.Call
	commands        chan event.Effect  // from Deliver
	start           time.Time          // when the request had been read
	responseStarted bool               // a part of the response was sent to the caller
	streaming       bool               // the response is a stream of server-sent events
	observed        bool               // observe has counted the call
	endRecorded     bool               // recordEnd has logged and counted the end of the call
	responseLatency time.Duration      // from start to the first part of the response; 0 before it
	body, response  *callermem.Holding // nil: none
}

// attemptRunner sends one attempt of a call to a backend server and reports how
// it ended.
type attemptRunner interface {
	runAttempt(ctx context.Context, d event.Dispatch) event.AttemptEnded
}

// run announces the call to the core and carries out the core's commands until
// the call has its final response or the caller disconnects.
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
			x.front.poster.Post(event.CallerDisconnected{Request: x.call.Request})
			x.abandon()
		case <-overdueTimer.C:
			metric.FrontDeadlinesExpired.Inc()
			x.front.poster.Post(event.CallerDisconnected{Request: x.call.Request})
			x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Execution: event.MayHaveRun, RetryAfter: time.Second, Detail: "the deadline passed"})
			return
		}
	}
}

// handleCommand carries out one command. It reports whether the call has ended.
func (x *exchange) handleCommand(w http.ResponseWriter, r *http.Request, a attemptRunner, c event.Effect) bool {
	switch c := c.(type) {
	case event.Refuse:
		x.refuse(w, c.Refusal)
		return true
	case event.Answer:
		x.writeAnswer(w, r, c)
		return true
	case event.Dispatch:
		return x.handleDispatch(w, r, a, c)
	}
	return false // a Cancel for an attempt that has already ended
}

// handleDispatch runs one attempt. It reports whether the call has ended.
func (x *exchange) handleDispatch(w http.ResponseWriter, r *http.Request, a attemptRunner, d event.Dispatch) bool {
	base := r.Context()
	if d.AtMostOnce {
		// The outcome of a non-idempotent call is recorded even if the caller
		// disconnects, since a later request with the same idempotency key
		// must find it.
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
	case ended.Result == event.AttemptCompleted && !d.AtMostOnce:
		x.observe(true, "")
		x.recordEnd(outcomeAnswered, "")
		return true
	case cancel != nil:
		x.refuse(w, cancel.Refusal)
		return true
	case r.Context().Err() != nil && !d.AtMostOnce:
		x.abandon()
	case ended.Result == event.AttemptCancelled && !d.AtMostOnce:
		x.refuse(w, event.Refusal{Reason: event.ReasonDeadline, Execution: event.MayHaveRun, RetryAfter: time.Second, Detail: "the deadline passed while the call was running"})
		return true
	}
	return false
}

// abandon ends a call whose caller has left, without a response. A caller may have closed only its side, and
// net/http would end the response as if it were whole.
func (x *exchange) abandon() {
	x.recordEnd(outcomeCallerGone, "")
	panic(http.ErrAbortHandler)
}

// cancelWatcher reads the commands that arrive while an attempt runs, and
// cancels the attempt when one of them is a Cancel.
type cancelWatcher struct {
	stopped       chan struct{} // closed by stop
	done          chan struct{} // closed when the goroutine has returned
	cancel        *event.Cancel // the Cancel that arrived, or nil
	otherCommands []event.Effect
	exchange      *exchange
}

// watchForCancel starts a cancelWatcher that calls stop on a Cancel.
func (x *exchange) watchForCancel(ctx context.Context, stop context.CancelFunc) *cancelWatcher {
	w := &cancelWatcher{stopped: make(chan struct{}), done: make(chan struct{}), exchange: x}
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

// stop ends the watcher, puts all other commands back into the queue and returns
// the Cancel that arrived, or nil.
func (w *cancelWatcher) stop() *event.Cancel {
	close(w.stopped)
	<-w.done
	for _, c := range w.otherCommands {
		w.exchange.commands <- c
	}
	return w.cancel
}

// refuse ends the call with r, in the form that the state of the response allows.
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
	// Part of a response with a Content-Length was sent. Only an aborted
	// connection tells the caller that the response is incomplete.
	panic(http.ErrAbortHandler)
}

// writeAnswer sends a complete response that the core holds: that of a
// non-idempotent call, or of an earlier call with the same idempotency key.
func (x *exchange) writeAnswer(w http.ResponseWriter, r *http.Request, a event.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	if a.Replay {
		w.Header().Set(headerReplayed, "true")
	}
	var unframed *callerconn.Unframed
	if a.Unconfirmed {
		// The service may have crashed midway: a length or chunks would say that it did not.
		unframed = callerconn.BeginUnframed(w, r)
	}
	x.observe(true, "")
	x.recordEnd(outcomeAnswered, "")
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err == nil {
		unframed.End()
	}
}

// outcome says how a call ended. Its values appear in logs and metrics.
type outcome string

// Values of outcome.
const (
	outcomeAnswered   outcome = "answered"
	outcomeRefused    outcome = "refused" // or ended early, if a part of the response was sent
	outcomeCallerGone outcome = "caller-gone"
)

// recordEnd logs and counts the end of the call, once.
func (x *exchange) recordEnd(o outcome, reason event.Reason) {
	if x.endRecorded {
		return
	}
	x.endRecorded = true
	took := time.Since(x.start)
	metric.RecordRequest(string(o), string(reason), took)
	level := zerolog.InfoLevel
	if o == outcomeRefused {
		level = zerolog.WarnLevel // warnings have their own limit of log lines, so successes don't displace them
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

// recordAttempt logs and counts the end of an attempt.
func (x *exchange) recordAttempt(d event.Dispatch, e event.AttemptEnded) {
	metric.RecordAttempt(e.Result.String())
	level := zerolog.InfoLevel
	if e.Result != event.AttemptCompleted {
		level = zerolog.WarnLevel
	}
	x.front.log.WithLevel(level).Str("request", string(d.Request)).Str("attempt", string(d.Attempt)).Str("server", string(d.Backend)).
		Stringer("result", e.Result).Bool("answered", e.ResponseStarted).Bool("leaving", e.Leaving).Int("tokens", e.GeneratedTokens).Msg("front: attempt ended")
}

// observe reports the result of the call to the observer of the front, once.
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

// accountOfKey returns the account of the API key with this digest, and whether
// the key is known.
func accountOfKey(c *config.Config, digest id.Digest) (id.Account, bool) {
	if c == nil {
		return "", false
	}
	k, ok := c.Keys[digest]
	return k.Account, ok
}

// latency returns the time from start to the first part of the response, or to now
// if nothing was sent.
func (x *exchange) latency() time.Duration {
	if x.responseLatency > 0 {
		return x.responseLatency
	}
	return time.Since(x.start)
}
