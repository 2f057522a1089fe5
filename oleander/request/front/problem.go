package front

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/process/metric"
)

// Reasons that only the front knows.
const (
	reasonPath    event.Reason = "no-such-path"
	reasonMethod  event.Reason = "method"
	reasonBad     event.Reason = "bad-request"
	reasonTooBig  event.Reason = "too-large"
	reasonTimeout event.Reason = "body-timeout"
)

// problemType is the prefix of the problem types of RFC 9457.
const problemType = "https://oleanderdale.org/problems/"

// problem is a final answer that is not the answer asked for.
type problem struct {
	Reason     event.Reason
	Status     int
	Ran        event.Ran
	Detail     string
	Request    string
	RetryAfter time.Duration
}

// problemBody is the JSON form of a problem (RFC 9457). The member error is
// what OpenAI client libraries read.
type problemBody struct {
	Type       string       `json:"type"`
	Title      string       `json:"title"`
	Status     int          `json:"status"`
	Detail     string       `json:"detail"`
	Ran        event.Ran    `json:"ran"`
	Request    string       `json:"request,omitempty"`
	RetryAfter int          `json:"retry_after,omitempty"` // seconds
	Error      problemError `json:"error"`
}

type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// reasonInfo is the status and title of a reason.
type reasonInfo struct {
	status int
	title  string
}

var reasons = map[event.Reason]reasonInfo{
	event.ReasonKey:        {http.StatusUnauthorized, "The key is unknown or was withdrawn"},
	event.ReasonApproval:   {http.StatusForbidden, "The client account is not approved for this"},
	event.ReasonNoTarget:   {http.StatusNotFound, "No such model, adapter or service"},
	event.ReasonRate:       {http.StatusTooManyRequests, "Over the client account's rate"},
	event.ReasonDeadline:   {http.StatusServiceUnavailable, "Can't be served in time"},
	event.ReasonQueueFull:  {http.StatusServiceUnavailable, "Too many requests wait"},
	event.ReasonNoBackend:  {http.StatusServiceUnavailable, "No backend server can be reached"},
	event.ReasonCrash:      {http.StatusUnprocessableEntity, "The request crashed backend servers"},
	event.ReasonKeyReuse:   {http.StatusUnprocessableEntity, "The idempotency key was used for another call"},
	event.ReasonKeyMissing: {http.StatusBadRequest, "The service needs an Idempotency-Key"},
	event.ReasonTable:      {http.StatusServiceUnavailable, "The call can't be recorded now"},
	event.ReasonRunning:    {http.StatusConflict, "The same call is under way"},
	event.ReasonOutcome:    {http.StatusBadGateway, "The outcome of the call is unknown"},
	event.ReasonBroken:     {http.StatusBadGateway, "The answer broke off"},
	event.ReasonStopping:   {http.StatusServiceUnavailable, "The instance takes no calls now"},
	event.ReasonIsolated:   {http.StatusServiceUnavailable, "Cut off for too long to serve this account"},
	reasonPath:             {http.StatusNotFound, "No such path"},
	reasonMethod:           {http.StatusMethodNotAllowed, "Method not allowed"},
	reasonBad:              {http.StatusBadRequest, "The call can't be read"},
	reasonTooBig:           {http.StatusRequestEntityTooLarge, "The call is too large"},
	reasonTimeout:          {http.StatusRequestTimeout, "The call came too slowly"},
}

// callersFault lists the reasons that lie with the caller: they don't count
// against the service level.
var callersFault = map[event.Reason]bool{
	event.ReasonKey: true, event.ReasonApproval: true, event.ReasonNoTarget: true, event.ReasonRate: true,
	event.ReasonKeyReuse: true, event.ReasonKeyMissing: true, event.ReasonCrash: true,
}

// fromRefusal turns a refusal of the core into a problem.
func fromRefusal(r event.Refusal, request string) problem {
	info, ok := reasons[r.Reason]
	if !ok {
		info = reasonInfo{http.StatusServiceUnavailable, string(r.Reason)}
	}
	return problem{
		Reason: r.Reason, Status: info.status, Ran: r.Ran, Detail: r.Detail,
		Request: request, RetryAfter: r.RetryAfter,
	}
}

func (p problem) body() problemBody {
	title := reasons[p.Reason].title
	if title == "" {
		title = http.StatusText(p.Status)
	}
	detail := p.Detail
	if detail == "" {
		detail = title
	}
	return problemBody{
		Type: problemType + string(p.Reason), Title: title, Status: p.Status, Detail: detail, Ran: p.Ran,
		Request: p.Request, RetryAfter: seconds(p.RetryAfter),
		Error: problemError{Message: title + ": " + detail, Type: string(p.Reason), Code: string(p.Reason)},
	}
}

// seconds rounds up, so that a caller who comes back then is not too early.
func seconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeProblem sends p as problem+json.
func writeProblem(w http.ResponseWriter, p problem) {
	metric.Refusals(string(p.Reason)).Inc()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds(p.RetryAfter)))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="oleanderdale"`)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p.body())
}

// writeStreamProblem ends a stream that has begun with an explicit error
// event, so that the caller never takes the part for the whole.
func writeStreamProblem(w http.ResponseWriter, p problem) {
	metric.Refusals(string(p.Reason)).Inc()
	data, err := json.Marshal(p.body())
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("event: error\ndata: "))
	_, _ = w.Write(data)
	_, _ = w.Write([]byte("\n\n"))
	_ = http.NewResponseController(w).Flush()
}
