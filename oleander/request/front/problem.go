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

// Reasons of refusals by the front itself, in addition to those of the core.
const (
	reasonNoSuchPath       event.Reason = "no-such-path"
	reasonMethodNotAllowed event.Reason = "method"
	reasonBadRequest       event.Reason = "bad-request"
	reasonTooLarge         event.Reason = "too-large"
	reasonBodyTimeout      event.Reason = "body-timeout"
	reasonNoMemory         event.Reason = "memory"
	reasonMadeWay          event.Reason = "made-way"
)

// problemTypePrefix is the prefix of the problem types (RFC 9457).
const problemTypePrefix = "https://oleanderdale.org/problems/"

// problem is a final response that reports an error or a refusal.
type problem struct {
	Reason     event.Reason
	Status     int
	Execution  event.Execution
	Detail     string
	Request    string
	RetryAfter time.Duration
}

// problemBody is the JSON form of a problem (RFC 9457). OpenAI client libraries
// read the member error.
type problemBody struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail"`
	Execution  event.Execution `json:"ran"`
	Request    string          `json:"request,omitempty"`
	RetryAfter int             `json:"retry_after,omitempty"` // seconds
	Error      problemError    `json:"error"`
}

// problemError is an error in the format of the OpenAI API.
type problemError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// reasonInfo holds the HTTP status and the title of a reason.
type reasonInfo struct {
	status int
	title  string
}

var reasonInfos = map[event.Reason]reasonInfo{
	event.ReasonUnknownKey:       {http.StatusUnauthorized, "The key is unknown or was withdrawn"},
	event.ReasonNotApproved:      {http.StatusForbidden, "The client account is not approved for this"},
	event.ReasonNoTarget:         {http.StatusNotFound, "No such model, adapter or service"},
	event.ReasonOverRate:         {http.StatusTooManyRequests, "Over the client account's rate"},
	event.ReasonDeadline:         {http.StatusServiceUnavailable, "Can't be served in time"},
	event.ReasonQueueFull:        {http.StatusServiceUnavailable, "Too many requests wait"},
	event.ReasonNoBackend:        {http.StatusServiceUnavailable, "No backend server can be reached"},
	event.ReasonCrash:            {http.StatusUnprocessableEntity, "The request crashed backend servers"},
	event.ReasonKeyReuse:         {http.StatusUnprocessableEntity, "The idempotency key was used for another call"},
	event.ReasonKeyMissing:       {http.StatusBadRequest, "The service needs an Idempotency-Key"},
	event.ReasonTableUnavailable: {http.StatusServiceUnavailable, "The call can't be recorded now"},
	event.ReasonRunningElsewhere: {http.StatusConflict, "The same call is under way"},
	event.ReasonOutcomeUnknown:   {http.StatusBadGateway, "The outcome of the call is unknown"},
	event.ReasonInterrupted:      {http.StatusBadGateway, "The answer broke off"},
	event.ReasonStopping:         {http.StatusServiceUnavailable, "The instance takes no calls now"},
	event.ReasonIsolated:         {http.StatusServiceUnavailable, "Cut off for too long to serve this account"},
	reasonNoSuchPath:             {http.StatusNotFound, "No such path"},
	reasonMethodNotAllowed:       {http.StatusMethodNotAllowed, "Method not allowed"},
	reasonBadRequest:             {http.StatusBadRequest, "The call can't be read"},
	reasonTooLarge:               {http.StatusRequestEntityTooLarge, "The call is too large"},
	reasonBodyTimeout:            {http.StatusRequestTimeout, "The call came too slowly"},
	reasonNoMemory:               {http.StatusServiceUnavailable, "No memory for the call now"},
	reasonMadeWay:                {http.StatusServiceUnavailable, "The call made way for others"},
}

// callerErrors lists the reasons that are the caller's own fault. They don't count
// against the service-level objective.
var callerErrors = map[event.Reason]bool{
	event.ReasonUnknownKey: true, event.ReasonNotApproved: true, event.ReasonNoTarget: true, event.ReasonOverRate: true,
	event.ReasonKeyReuse: true, event.ReasonKeyMissing: true, event.ReasonCrash: true,
}

// problemFromRefusal returns the problem for a refusal by the core.
func problemFromRefusal(r event.Refusal, request string) problem {
	info, ok := reasonInfos[r.Reason]
	if !ok {
		info = reasonInfo{http.StatusServiceUnavailable, string(r.Reason)}
	}
	return problem{
		Reason: r.Reason, Status: info.status, Execution: r.Execution, Detail: r.Detail,
		Request: request, RetryAfter: r.RetryAfter,
	}
}

// body returns the JSON form of p.
func (p problem) body() problemBody {
	title := reasonInfos[p.Reason].title
	if title == "" {
		title = http.StatusText(p.Status)
	}
	detail := p.Detail
	if detail == "" {
		detail = title
	}
	return problemBody{
		Type: problemTypePrefix + string(p.Reason), Title: title, Status: p.Status, Detail: detail, Execution: p.Execution,
		Request: p.Request, RetryAfter: ceilSeconds(p.RetryAfter),
		Error: problemError{Message: title + ": " + detail, Type: string(p.Reason), Code: string(p.Reason)},
	}
}

// ceilSeconds rounds up to whole seconds, so that a caller that waits for
// Retry-After does not retry too early.
func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// writeProblem sends p as application/problem+json.
func writeProblem(w http.ResponseWriter, p problem) {
	metric.Refusals(string(p.Reason)).Inc()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(ceilSeconds(p.RetryAfter)))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", `Bearer realm="oleanderdale"`)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p.body())
}

// writeStreamProblem ends a started stream with an error event, so that the
// caller does not take the partial response for a complete one.
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
