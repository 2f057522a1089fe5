package report

import (
	"encoding/json"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/oleander/process/burn"
)

// line is what the report reads of a log line, of either interface.
type line struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"message"`
	Account   string    `json:"account"`
	Server    string    `json:"server"`
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Route     string    `json:"route"`
	Class     string    `json:"class"` // of the own interface
	Reason    string    `json:"reason"`
	Outcome   string    `json:"outcome"` // of the own interface
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

// The messages that the report reads.
const (
	messageRequest = "front: request ended"
	messageOrder   = "placer: order"
	messageLimit   = "config: limit of an account"
)

// result is how a request ended, for the report.
type result uint8

const (
	inTime       result = iota
	late                // answered, but not within its objectives
	refused             // it has not run
	failed              // it may have run
	disconnected        // its caller left
)

// reasons of the gateway and outcomes of the own interface that say how a
// request ended; every other reason is a refusal.
var results = map[string]result{
	"answered": late, "caller-gone": disconnected, "broken": failed, "timeout": failed, "broken-off-midway": failed,
}

// decode reads a line.
func parseLine(text []byte) (line, bool) {
	var l line
	err := json.Unmarshal(text, &l)
	return l, err == nil
}

// own reports whether the line is of the own interface.
func (l *line) isOwnInterface() bool { return l.Outcome != "" }

// result returns how the request of the line ended.
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

// met reports whether an answer met its objectives.
func (l *line) metObjective() bool {
	if !l.isOwnInterface() {
		return l.InTime
	}
	objective, ok := burn.LatencyObjectives[config.Class(l.Class)]
	return !ok || time.Duration(l.FirstByte)*time.Millisecond <= objective
}

// series names what the objective belongs to.
func (l *line) seriesName() string {
	if l.isOwnInterface() {
		return l.Class
	}
	return l.Route
}

// why names the reason for the table of reasons.
func (l *line) reasonOrOutcome() string {
	if l.Reason == "" {
		return l.Outcome
	}
	return l.Reason
}

// Cause says where the time of a late answer went.
type Cause string

// The causes.
const (
	CauseRateLimit       Cause = "limit of the account"
	CauseModelLoad       Cause = "model not loaded"
	CauseServersFull     Cause = "servers full"
	CauseEarlierAttempts Cause = "server broke off or was silent"
	CauseServerLatency   Cause = "server's first part"
	CauseStreamPause     Cause = "pause in the stream"
)

// cause returns the longest part of a late answer's time to its first part, or
// the pause if that was in time.
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
