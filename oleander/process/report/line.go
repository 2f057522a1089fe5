package report

import (
	"encoding/json"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/oleander/process/burn"
)

// line holds the fields of a log line that the report uses. Request lines come from
// the gateway or from oleanderdale's own interface.
type line struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"message"`
	Account   string    `json:"account"`
	Server    string    `json:"server"`
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Route     string    `json:"route"`
	Class     string    `json:"class"` // own interface only
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"` // own interface only
	Order     string    `json:"order"`
	Answer    string    `json:"answer"`
	Rate      float64   `json:"rate"`
	Burst     float64   `json:"burst"`
	Cost      float64   `json:"cost"`
	Sends     int       `json:"sends"`
	InTime    bool      `json:"in_time"`
	FirstByte int64     `json:"first_ms"`
	Total     int64     `json:"total_ms"`
	Pause     int64     `json:"pause_ms"`
	Objective int64     `json:"objective_ms"`
	LimitWait int64     `json:"limit_waited_ms"`
	ModelWait int64     `json:"model_wait_ms"`
	SlotWait  int64     `json:"room_wait_ms"`
	Attempts  []int64   `json:"attempts_ms"`
}

// Messages of the lines that the report uses.
const (
	messageRequest = "front: request ended"
	messageOrder   = "placer: order"
	messageLimit   = "config: limit of an account"
)

// result is the result of a request.
type result uint8

const (
	inTime       result = iota
	late                // answered, but missed an objective
	refused             // was not executed
	failed              // may have been executed
	disconnected        // the caller disconnected
)

// results maps reasons of the gateway and outcomes of the own interface to results.
// Any other reason is a refusal.
var results = map[string]result{
	"answered": late, "caller-gone": disconnected, "broken": failed, "timeout": failed, "broken-off-midway": failed,
}

// parseLine parses a line.
func parseLine(text []byte) (line, bool) {
	var l line
	err := json.Unmarshal(text, &l)
	return l, err == nil
}

// isOwnInterface reports whether the line comes from oleanderdale's own interface,
// not from the gateway.
func (l *line) isOwnInterface() bool { return l.Outcome != "" }

// result returns the result of the request.
func (l *line) result() result {
	reason := l.Reason
	if l.isOwnInterface() && (reason == "" || l.Outcome != "refused") {
		reason = l.Outcome
	}
	r, ok := results[reason]
	switch {
	case !ok:
		return refused
	case r == late && l.metObjective():
		return inTime
	}
	return r
}

// metObjective reports whether an answered request met its latency objectives.
func (l *line) metObjective() bool {
	if !l.isOwnInterface() {
		return l.InTime
	}
	objective, ok := burn.LatencyObjectives[config.Class(l.Class)]
	return !ok || time.Duration(l.FirstByte)*time.Millisecond <= objective
}

// seriesName returns the route or class that the objective belongs to.
func (l *line) seriesName() string {
	if l.isOwnInterface() {
		return l.Class
	}
	return l.Route
}

// reasonOrOutcome returns the reason, or the outcome if there is none, for the table
// of reasons.
func (l *line) reasonOrOutcome() string {
	if l.Reason == "" {
		return l.Outcome
	}
	return l.Reason
}

// Cause names what took most of the time of a late response.
type Cause string

// Causes of late responses.
const (
	CauseRateLimit       Cause = "limit of the account"
	CauseModelLoad       Cause = "model not loaded"
	CauseServersFull     Cause = "servers full"
	CauseEarlierAttempts Cause = "server broke off or was silent"
	CauseServerLatency   Cause = "server's first part"
	CauseStreamPause     Cause = "pause in the stream"
)

// lateCause returns what took the longest part of a late response's time to first
// byte, or the pause in the stream if the first byte was in time.
func (l *line) lateCause() Cause {
	if l.Objective > 0 && l.FirstByte <= l.Objective && l.Pause > 0 {
		return CauseStreamPause
	}
	lastAttempt, earlier := int64(0), l.FirstByte-l.LimitWait-l.ModelWait-l.SlotWait
	if n := len(l.Attempts); n > 0 {
		lastAttempt = l.Attempts[n-1]
		earlier -= lastAttempt
	}
	if len(l.Attempts) < 2 {
		lastAttempt, earlier = lastAttempt+earlier, 0
	}
	cause, longest := CauseServerLatency, lastAttempt
	for c, ms := range map[Cause]int64{CauseRateLimit: l.LimitWait, CauseModelLoad: l.ModelWait, CauseServersFull: l.SlotWait, CauseEarlierAttempts: earlier} {
		if ms > longest || ms == longest && c < cause {
			cause, longest = c, ms
		}
	}
	return cause
}
