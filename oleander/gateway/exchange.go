package gateway

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// maxSends bounds the servers that one request is sent to, those that
	// rejected it included.
	maxSends = 4
	// maxAnswer bounds an answer that is not a stream, which is held until it
	// is whole.
	maxAnswer = 16 << 20
	// answerSlack is how long after the end of its time a server's own answer
	// is awaited, for it says more than ours.
	answerSlack = 120 * time.Millisecond
	// firstWaitFactor and firstWaitLeast bound the wait for the first event of
	// a stream that may run elsewhere: four times the objective, and no less
	// than a full batch takes to get to a new prompt.
	firstWaitFactor = 4
	firstWaitLeast  = 1200 * time.Millisecond
	// pauseFactor and pauseLeast bound the pause between two events of it.
	pauseFactor = 4
	pauseLeast  = time.Second
)

// pickGroup chooses the group of backend servers by the request's id.
func (x *exchange) pickGroup() { x.group = x.route.PickGroup(xxhash.Sum64String(x.call.ID)) }

// result says how an attempt ended.
type result int

// The results of an attempt.
const (
	resultDone    result = iota // the caller has its answer
	resultNotRun                // surely not run by the server
	resultBroken                // may have run; nothing whole was received
	resultGone                  // the caller left
	resultTimeout               // the time is up, and the request may have run
)

// String names a result for metrics.
func (r result) String() string {
	return [...]string{"done", "not-run", "broken", "caller-gone", "timeout"}[r]
}

// serve sends the request until it has an answer or may not be sent again.
func (x *exchange) serve() {
	x.g.countArrival(x.call.Model)
	for {
		t, ref := x.choose()
		if ref != nil {
			x.giveUp(*ref)
			return
		}
		if x.sends > 0 && !x.mayRepeat() {
			x.g.ended(t.id, x.call.Model, directory.Neutral)
			x.giveUp(x.lastRefusal())
			return
		}
		res := x.attempt(t)
		x.g.metrics.attempt(res)
		x.excluded[t.id] = true
		switch res {
		case resultDone, resultGone:
			return
		case resultTimeout:
			x.giveUp(refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout})
			return
		case resultBroken:
			x.ran++
			if !x.route.Retryable() || x.ran >= x.route.MaxAttempts {
				x.giveUp(x.lastRefusal())
				return
			}
		}
		if x.sends >= maxSends {
			x.giveUp(x.lastRefusal())
			return
		}
	}
}

// mayRepeat spends one of the repeats.
func (x *exchange) mayRepeat() bool {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	ok := g.budget.Repeat(boottime.Now(), x.group, g.members.Count())
	if !ok {
		g.metrics.budgetSpent.Inc()
	}
	return ok
}

// lastRefusal is the answer to a request that is not sent any more. It says
// that the request has not run only if no server may have run it.
func (x *exchange) lastRefusal() refusal {
	if x.ran > 0 {
		return refusal{status: http.StatusBadGateway, reason: reasonBroken}
	}
	return refusal{status: http.StatusServiceUnavailable, reason: reasonRefused, retryAfter: comeBack}
}

// giveUp ends a request without an answer of a server. If a part of one was
// sent, the connection is cut, so that it can't be taken for whole.
func (x *exchange) giveUp(ref refusal) {
	if x.ran > 0 && ref.status == http.StatusServiceUnavailable {
		ref = refusal{status: http.StatusBadGateway, reason: reasonBroken}
	}
	if !x.started {
		x.refuse(ref)
		return
	}
	x.finish(http.StatusOK, reasonBrokenOff)
	panic(http.ErrAbortHandler)
}

// countArrival counts a request for a model.
func (g *Gateway) countArrival(model string) {
	if model == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	a := g.arrived[model]
	g.arrived[model] = arrivals{count: a.count + 1, last: now}
	g.placer.Arrived(now, model, 1)
}

// attempt sends the request to one server. The server has been counted as
// used; attempt counts the end.
func (x *exchange) attempt(t target) result {
	g := x.g
	x.server = t.id
	ctx := x.r.Context()
	c, err := g.pool.Get(ctx, t.address)
	left := x.end.Sub(boottime.Now())
	if err != nil {
		g.unreachable(t.id, x.call.Model)
		if ctx.Err() != nil {
			return x.callerGone()
		}
		return resultNotRun // nothing was sent, so it does not count as a send
	}
	stop := context.AfterFunc(ctx, c.Abort)
	defer stop()
	c.SetDeadline(deadlineAt(x.end.Add(answerSlack)))
	x.sends++
	x.timing.sent()
	err = c.Send(rawhttp.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: g.dialect.Forward(x.r.Header, ports.Attempt{
			Account: x.accountName(), Server: t.id, Wait: left, Urgency: x.urgency(), LastEventID: x.lastID,
		}),
	})
	if err != nil {
		return x.broke(t, c, err)
	}
	if x.impatient() {
		c.SetReadDeadline(deadlineAt(min(x.end.Add(answerSlack), boottime.Now().Add(x.firstWait()))))
	}
	resp, err := c.Receive(x.r.Method)
	if err != nil {
		return x.broke(t, c, err)
	}
	x.timing.began()
	return x.take(t, c, resp)
}

func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

func deadlineAt(t clock.Time) time.Time { return time.Now().Add(boottime.Until(t)) }

// impatient reports whether a silent server is left for another one.
func (x *exchange) impatient() bool {
	return x.route.Kind == manifest.Stream && x.route.Resumable && x.ran+1 < x.route.MaxAttempts
}

func (x *exchange) firstWait() time.Duration {
	return max(firstWaitLeast, firstWaitFactor*x.route.LatencyObjective)
}

func (x *exchange) callerGone() result {
	x.refund()
	x.finish(0, reasonCallerGone)
	return resultGone
}

// unreachable records that a server could not be connected to.
func (g *Gateway) unreachable(id, model string) {
	g.mu.Lock()
	now := boottime.Now()
	g.dir.RequestEnded(now, id, model, directory.Neutral)
	g.dir.MarkUnreachable(now, id)
	out := g.tellUnreachable(now, id)
	g.mu.Unlock()
	g.sendAll(out)
}

// broke ends an attempt whose connection failed after something was sent.
func (x *exchange) broke(t target, c *rawhttp.Conn, err error) result {
	c.Abort()
	g := x.g
	if x.r.Context().Err() != nil {
		g.ended(t.id, x.call.Model, directory.Neutral)
		x.ran++
		return x.callerGone()
	}
	timeout := isTimeout(err)
	g.ended(t.id, x.call.Model, directory.Failed)
	g.log.Warn().Str("request", x.call.ID).Str("server", t.id).Bool("reused", c.Reused).Bool("timeout", timeout).
		Err(err).Msg("front: attempt broke")
	if !timeout && x.digest != 0 {
		g.mu.Lock()
		g.poison.Broke(boottime.Now(), x.digest)
		g.mu.Unlock()
	}
	if boottime.Now().Reached(x.end) {
		x.ran++
		return resultTimeout
	}
	return resultBroken
}

func isTimeout(err error) bool {
	var n net.Error
	return errors.As(err, &n) && n.Timeout()
}

// take reads the answer of a server.
func (x *exchange) take(t target, c *rawhttp.Conn, resp *http.Response) result {
	head := x.g.dialect.ReadAnswer(resp.StatusCode, resp.Header)
	switch {
	case head.NotRun:
		return x.notRun(t, c, resp, head)
	case head.RequestID != "" && head.RequestID != x.call.ID:
		return x.broke(t, c, errors.New("answer to another request"))
	case resp.StatusCode < 300 && !head.Signed:
		return x.broke(t, c, errors.New("success without signature"))
	case resp.StatusCode >= 500 && x.impatient():
		return x.broke(t, c, errors.Errorf("status %d", resp.StatusCode))
	case x.route.Kind == manifest.Stream && resp.StatusCode < 300:
		return x.relay(t, c, resp)
	case x.started:
		return x.broke(t, c, errors.Errorf("status %d to a stream that goes on", resp.StatusCode))
	}
	return x.whole(t, c, resp)
}

// notRun ends an attempt that the server rejected.
func (x *exchange) notRun(t target, c *rawhttp.Conn, resp *http.Response, head ports.AnswerHead) result {
	g := x.g
	const rejectionLimit = 64 << 10
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, rejectionLimit)); err != nil {
		c.Abort()
	} else {
		c.Release(resp)
	}
	g.mu.Lock()
	now := boottime.Now()
	g.dir.RequestEnded(now, t.id, x.call.Model, directory.Neutral)
	switch {
	case resp.StatusCode != http.StatusMisdirectedRequest:
	case head.Server != "" && head.Server != t.id:
		g.dir.MarkUnreachable(now, t.id) // somebody else has its address
	case x.call.Model != "":
		g.dir.MarkMissing(t.id, x.call.Model, x.call.Adapter)
	}
	out := g.tellLoad(now)
	g.mu.Unlock()
	g.sendAll(out)
	g.log.Info().Str("request", x.call.ID).Str("server", t.id).Int("status", resp.StatusCode).Msg("front: server did not run it")
	return resultNotRun
}

// whole passes an answer on that must be whole before the caller gets any of it.
func (x *exchange) whole(t target, c *rawhttp.Conn, resp *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.Errorf("answer of more than %d bytes", maxAnswer)
	}
	if err != nil {
		return x.broke(t, c, err)
	}
	c.Release(resp)
	x.answered(t, outcomeOf(resp.StatusCode))
	copyHeader(x.w.Header(), resp.Header)
	if x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.started = true
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		return x.callerGone()
	}
	x.timing.passedOn(x.arrived)
	x.finish(resp.StatusCode, reasonAnswered)
	return resultDone
}

// answered counts the end of an attempt whose answer came whole.
func (x *exchange) answered(t target, o directory.Outcome) {
	x.ran++
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	g.dir.RequestEnded(now, t.id, x.call.Model, o)
	if x.digest != 0 {
		g.poison.Answered(now, x.digest)
	}
	out := g.tellEnd(now, t.id, o)
	g.mu.Unlock()
	g.sendAll(out)
}

// outcomeOf judges a server by the status of its answer.
func outcomeOf(status int) directory.Outcome {
	if status >= 500 {
		return directory.Failed
	}
	return directory.Answered
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	h := from.Clone()
	DropHopHeaders(h) // not of to, where a stopping instance says that it closes
	maps.Copy(to, h)
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // or the library would guess one
	}
}
