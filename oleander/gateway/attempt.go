package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// maxResponseBytes bounds a response that is not a stream and is buffered until
	// complete.
	maxResponseBytes = 16 << 20
	// responseGrace is how long a server's response is awaited after the request's
	// deadline: it is more informative than a timeout of the gateway.
	responseGrace = 120 * time.Millisecond
	// Without the first event of a stream that may fail over, another server is looked for after
	// firstEventTimeoutFactor times the objective, and at least minFirstEventTimeout,
	// which a full batch takes to reach a new prompt.
	firstEventTimeoutFactor = 4
	minFirstEventTimeout    = 1200 * time.Millisecond
	// Likewise for the time between two events.
	eventTimeoutFactor = 4
	minEventTimeout    = time.Second
)

// attemptResult says how an attempt ended.
type attemptResult int

// Results of an attempt.
const (
	resultDone        attemptResult = iota // the caller has the response
	resultNotRun                           // the server certainly did not run the request
	resultBroken                           // the request may have run; no complete response arrived
	resultCallerGone                       // the caller disconnected
	resultTimeout                          // the deadline passed; the request may have run
	resultSlowReader                       // the caller did not read the response
	resultUnconfirmed                      // the caller has all events, but only the connection's end told that they are all
	resultStopped                          // this instance ended; the request may have run if it was sent
)

// String names a result in the metrics.
func (r attemptResult) String() string {
	return [...]string{"done", "not-run", "broken", "caller-gone", "timeout", "slow-reader", "unconfirmed", "stopped"}[r]
}

// attempt sends the request to one server. The caller has counted the request there;
// attempt counts its end.
func (x *exchange) attempt(t target) attemptResult {
	defer x.giveUpRun()
	g := x.g
	x.lastServer, x.lastSoftware, x.prefill = t.id, t.software, t.prefill
	defer x.endPrefill()
	ctx := x.r.Context()
	if !x.startTransfer(t.id) {
		g.attemptEnded(t.id, x.call.Model, directory.Neutral)
		if ctx.Err() != nil {
			return x.contextEnded()
		}
		return resultNotRun
	}
	defer x.endTransfer()
	c, ok := x.open(ctx, t)
	if !ok {
		if ctx.Err() != nil {
			return x.contextEnded()
		}
		return resultNotRun // nothing was sent, so it does not count in sends
	}
	if x.repeatForbidden() { // since a wait for the server; the choice of the next one follows the configuration
		c.Close()
		g.links.done(c, x)
		g.attemptEnded(t.id, x.call.Model, directory.Neutral)
		return resultNotRun
	}
	remaining := x.deadline.Sub(boottime.Now())
	x.stopAbort = context.AfterFunc(ctx, c.Abort)
	defer x.stopAbort()
	defer g.links.done(c, x)
	c.SetDeadline(wallTime(x.deadline.Add(responseGrace)))
	x.sends++
	x.sentAt, x.writingSince, x.survived = boottime.Now(), 0, false
	x.beginRun(t)
	x.timing.attemptSent()
	err := c.Send(rawhttp.Request{
		ID: x.call.ID, Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, BodyParts: x.body,
		Header: g.dialect.ForwardHeaders(x.r.Header, ports.Attempt{
			Account: x.accountName(), Server: t.id, Timeout: remaining, Priority: x.priority(), LastEventID: x.lastEventID,
		}),
	})
	if err != nil {
		return x.attemptFailed(t, c, err)
	}
	if x.mayFailOver() {
		defer x.endSilence()
		c.OnReadTimeout(func() time.Time { return x.onSilence(t) })
		c.SetReadDeadline(wallTime(min(x.deadline.Add(responseGrace), boottime.Now().Add(x.firstEventTimeout()))))
	}
	resp, err := c.ReadResponse(x.r.Method)
	if errors.Is(err, rawhttp.ErrMalformed) {
		err = invalidResponse{err}
	}
	if err != nil {
		return x.attemptFailed(t, c, err)
	}
	return x.handleResponse(t, c, resp)
}

// open opens the connection of an attempt, or counts the attempt's end.
func (x *exchange) open(ctx context.Context, t target) (c *rawhttp.Conn, ok bool) {
	g := x.g
	x.linkFailed = false
	c, serverFailed, err := x.connect(ctx, t)
	switch {
	case err != nil:
		g.log.Warn().Str("request", x.call.ID).Str("server", t.id).Bool("server_failed", serverFailed).Err(err).Msg("front: no connection to the server")
	case !c.Indirect && x.mayRepeat() && g.links.await(c, x):
		c.Abort()
		x.linkFailed = true
	default:
		return c, true
	}
	if serverFailed {
		g.markUnreachable(t.id, x.call.Model)
	} else {
		g.attemptEnded(t.id, x.call.Model, directory.Neutral)
	}
	return nil, false
}

// releaseConn returns the connection of a complete response to the pool. A caller that
// leaves later must not abort the connection, which may serve another request by then.
func (x *exchange) releaseConn(c *rawhttp.Conn, resp *http.Response) {
	if x.stopAbort() {
		c.Release(resp)
	}
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

func wallTime(t clock.Time) time.Time { return time.Now().Add(boottime.Until(t)) }

// mayRepeat reports whether the request may be sent again if the current attempt breaks.
func (x *exchange) mayRepeat() bool {
	return !x.bodyGone && x.route.Retryable() && x.possibleRuns+1 < x.route.MaxAttempts && x.sends+1 < maxSends
}

// mayFailOver reports whether the request leaves a silent server for another one.
func (x *exchange) mayFailOver() bool {
	return !x.bodyGone && x.route.Kind == manifest.Stream && x.route.Resumable && x.possibleRuns+1 < x.route.MaxAttempts
}

func (x *exchange) firstEventTimeout() time.Duration {
	return max(minFirstEventTimeout, firstEventTimeoutFactor*x.route.LatencyObjective)
}

// contextEnded ends an attempt whose request's context has ended.
func (x *exchange) contextEnded() attemptResult {
	if x.stopped() {
		return resultStopped
	}
	return x.callerGone()
}

// contextRefusal refuses a request whose context has ended.
func (x *exchange) contextRefusal() *refusal {
	if x.stopped() {
		return unavailable(reasonStopping, retryDelay)
	}
	return unavailable(reasonCallerGone, 0)
}

// stopped reports whether the request's context ended since this instance does.
func (x *exchange) stopped() bool { return context.Cause(x.r.Context()) == errStopped }

func (x *exchange) callerGone() attemptResult {
	x.refundQuota()
	x.finish(0, reasonCallerGone)
	return resultCallerGone
}

// markUnreachable records that connecting to a server failed.
func (g *Gateway) markUnreachable(id, model string) {
	g.mu.Lock()
	now := boottime.Now()
	g.servers.RequestEnded(now, id, model, directory.Neutral)
	g.servers.MarkUnreachable(now, id)
	out := g.unreachableMessages(now, id)
	g.mu.Unlock()
	g.sendAll(out)
}

// attemptFailed ends an attempt that failed after the request was sent.
func (x *exchange) attemptFailed(t target, c *rawhttp.Conn, err error) attemptResult {
	c.Abort()
	g := x.g
	if x.r.Context().Err() != nil {
		if c.EndedByServer() && !x.linkFailed {
			x.recordCrash(t)
		}
		g.attemptEnded(t.id, x.call.Model, directory.Neutral)
		x.possibleRuns++
		return x.contextEnded()
	}
	timeout := isTimeout(err)
	x.brokenOff = x.brokenOff || !timeout
	g.links.done(c, x)
	x.linkFailed = x.linkFailed || errors.Is(err, errRelayEnded)
	g.attemptEnded(t.id, x.call.Model, x.linkOutcome(c, directory.Failed))
	var invalid invalidResponse
	if !timeout && !x.linkFailed && !errors.As(err, &invalid) {
		x.recordCrash(t)
	}
	g.mu.Lock()
	crashes, completions := g.poison.Suspicion(x.digests[0])
	g.mu.Unlock()
	x.logShared(g.log.Warn().Str("request", x.call.ID)).Str("server", t.id).Str("software", t.software).Int("events", x.eventCount).Bool("reused", c.Reused).Bool("timeout", timeout).
		Bool("relayed", c.Indirect).Bool("link_failed", x.linkFailed).Stringer("digest", x.digests[0]).Int("crashes", crashes).Int("completions", completions).
		Int("crashes_at_send", x.crashesAtSend).Dur("running_for_ms", boottime.Now().Sub(g.started)).Err(err).Msg("front: attempt failed")
	if boottime.Now().Reached(x.deadline) {
		x.possibleRuns++
		return resultTimeout
	}
	return resultBroken
}

// logShared adds what the request has in common with others that may crash servers.
func (x *exchange) logShared(e *zerolog.Event) *zerolog.Event {
	e = e.Str("route", x.route.Name)
	if x.account != nil {
		e = e.Str("account", x.account.Name)
	}
	if x.call.Model != "" {
		e = e.Str("model", x.call.Model).Str("adapter", x.call.Adapter)
	}
	if parts := x.sharedParts(); len(parts) > 0 {
		ids := make([]string, len(parts))
		for i, p := range parts {
			ids[i] = p.ID
		}
		e = e.Strs("shared_parts", ids)
	}
	return e
}

// invalidResponse is the error of an attempt whose server answered, so that it did not
// crash, with a response that can't be used.
type invalidResponse struct{ error }

func invalidf(format string, args ...any) error {
	return invalidResponse{errors.Errorf(format, args...)}
}

// bodyError returns the error of reading a body, as one of the response if the connection has not failed.
func bodyError(c *rawhttp.Conn, err error) error {
	if c.Malformed() {
		return invalidResponse{err}
	}
	return err
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// matches reports whether a response answers this request. Nothing in any other one is taken for news
// of its server. A second copy of an earlier response may arrive where the next one is expected; on a
// new connection there was no earlier one.
func (x *exchange) matches(c *rawhttp.Conn, head ports.ResponseInfo) bool {
	if head.RequestID == "" {
		return !c.Reused || x.call.ID == ""
	}
	return head.RequestID == x.call.ID
}

// handleResponse handles the response of a server.
func (x *exchange) handleResponse(t target, c *rawhttp.Conn, resp *http.Response) attemptResult {
	head := x.g.dialect.ParseResponse(resp.StatusCode, resp.Header)
	if !x.matches(c, head) {
		return x.attemptFailed(t, c, invalidf("response to another request, %q with status %d", head.RequestID, resp.StatusCode))
	}
	x.timing.responseBegan()
	x.responseEnd = newResponseEnd(c, resp)
	x.g.serverHeard(t, c)
	if head.Server == "" || head.Server == t.id {
		x.recordAnswer(t)
		x.g.handleFeedback(t, head)
	}
	switch {
	case head.NotExecuted:
		return x.handleNotRun(t, c, resp, head)
	case resp.StatusCode < 300 && !head.Signed:
		return x.attemptFailed(t, c, invalidf("success response without signature"))
	case promisesNotRun(resp.StatusCode) && !x.isRetryable():
		return x.attemptFailed(t, c, invalidf("status %d, which does not say that the request did not run", resp.StatusCode))
	case resp.StatusCode >= 500 && x.mayFailOver():
		return x.attemptFailed(t, c, invalidf("status %d", resp.StatusCode))
	case x.route.Kind == manifest.Stream && resp.StatusCode < 300:
		return x.relayStream(t, c, resp)
	case x.responseStarted:
		return x.attemptFailed(t, c, invalidf("status %d while resuming a stream", resp.StatusCode))
	}
	return x.forwardResponse(t, c, resp)
}

// promisesNotRun reports whether callers take a response status for the promise that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleNotRun ends an attempt that the server rejected.
func (x *exchange) handleNotRun(t target, c *rawhttp.Conn, resp *http.Response, head ports.ResponseInfo) attemptResult {
	g := x.g
	const rejectionLimit = 64 << 10
	if n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, rejectionLimit)); err != nil || n == rejectionLimit {
		c.Abort()
	} else if x.stopAbort() {
		c.ReleaseRejected(resp)
	}
	g.mu.Lock()
	now := boottime.Now()
	x.settleRun()
	g.servers.RequestEnded(now, t.id, x.call.Model, directory.Neutral)
	report := g.loadMessages
	switch {
	case resp.StatusCode != http.StatusMisdirectedRequest:
		g.servers.RecordRejection(now, t.id)
		report = func(now clock.Time) []outgoing { return g.notRunMessages(now, t.id) }
	case head.Server != "" && head.Server != t.id:
		g.servers.MarkUnreachable(now, t.id) // another server has its address
	case x.call.Model != "":
		g.servers.MarkMissing(t.id, x.call.Model, x.call.Adapter)
	}
	out := report(now)
	g.mu.Unlock()
	g.sendAll(out)
	g.log.Info().Str("request", x.call.ID).Str("server", t.id).Int("status", resp.StatusCode).Str("named", head.Server).Bool("reused", c.Reused).
		Bool("relayed", c.Indirect).Msg("front: server rejected the request")
	return resultNotRun
}

// attemptAnswered counts the end of an attempt with a complete response.
func (x *exchange) attemptAnswered(t target, status int) {
	x.possibleRuns++
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	x.settleRun()
	o := statusOutcome(status)
	g.servers.RequestEnded(now, t.id, x.call.Model, o)
	timing := x.runTiming(now, status)
	if timing != nil {
		g.servers.RecordRun(now, t.id, t.incarnation, timing.PaceRun())
	}
	out := g.endedMessages(now, t.id, o, timing)
	completed := ranToItsEnd(status) && (x.responseEnd.verdict == ending.Complete || !g.poison.MayHaveCrashed(now, serverHash(t.id)))
	switch {
	case !ranToItsEnd(status) || x.survived:
	case x.responseEnd.verdict == ending.Complete:
		g.poison.RecordSurvival(now, x.shared)
	case g.poison.RecordUnconfirmedEnd(now, x.run(), serverHash(t.id)):
		g.tellCrashesSoon()
	}
	if completed && g.poison.RecordCompletion(now, x.digests) {
		out = append(out, g.suspectMessages(now, x.digests)...)
	}
	g.mu.Unlock()
	g.sendAll(out)
	x.endProbe(completed)
}

// statusOutcome returns the outcome that a response status counts as.
func statusOutcome(status int) directory.Outcome {
	if status >= 500 {
		return directory.Failed
	}
	return directory.Answered
}

// ranToItsEnd reports whether a response status shows that the server ran the request and
// survived it. Errors of the server and rejections don't.
func ranToItsEnd(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status < 500
}
