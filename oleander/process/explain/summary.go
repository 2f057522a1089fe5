package explain

import (
	"fmt"
	"strings"
)

// endedMessage is the message of the line with the outcome of a request.
const endedMessage = "front: request ended"

// fields are the fields of a parsed log line.
type fields map[string]any

func (f fields) text(name string) string { return stringField(f, name) }

func (f fields) number(name string) float64 {
	n, _ := f[name].(float64)
	return n
}

// has reports whether a field is there and not zero.
func (f fields) has(name string) bool { return f.number(name) > 0 }

// ms formats a field in milliseconds.
func (f fields) ms(name string) string { return fmt.Sprintf("%.0f ms", f.number(name)) }

// summarize says in plain words why a request was refused, delayed or late, from the
// fields of the line with its outcome. It returns "" for a line of Oleanderdale's own
// interface, which has other fields and no status.
func summarize(f fields) string {
	status, ok := f["status"].(float64)
	if !ok {
		return ""
	}
	switch reason := f.text("reason"); {
	case reason == "answered":
		return summarizeAnswered(f) + describeReturns(f)
	case reason == "caller-gone":
		return "the caller closed its connection after " + f.ms("total_ms") + describeWaits(f)
	case status == 429 || status == 503:
		text := fmt.Sprintf("refused with status %.0f, not run: %s", status, refusalCause(reason, f))
		if f.has("retry_after_ms") {
			text += "; told to return after " + f.ms("retry_after_ms")
		}
		return text + describeReturns(f)
	default:
		return fmt.Sprintf("ended with status %.0f (%s) after %s and %.0f sends; it ran up to %.0f times", status, reason, f.ms("total_ms"), f.number("sends"), f.number("ran"))
	}
}

// refusalCause says why a request was refused.
func refusalCause(reason string, f fields) string {
	switch reason {
	case "quota":
		text := fmt.Sprintf("the limit of account %s: it costs %.0f, the bucket at %s had %.0f, and requests ahead waited for %.0f", f.text("account"),
			f.number("cost"), f.text("limit_owner"), f.number("limit_level"), f.number("limit_ahead"))
		if f.has("limit_waited_ms") {
			text += "; it had waited " + f.ms("limit_waited_ms") + " in the queue"
		}
		return text
	case "no-room":
		text := "all servers that could run it were full"
		if f.has("room_wait_ms") {
			return text + "; it had waited " + f.ms("room_wait_ms") + " for a slot"
		}
		return text + ", and no slot was expected in time"
	case "memory":
		text := "its body did not fit into the memory that the instance has for callers"
		if f.has("memory_waited_ms") {
			text += "; it had waited " + f.ms("memory_waited_ms")
		}
		return text
	case "not-loaded-in-time":
		text := "its model " + f.text("model") + " was not loaded"
		if f.has("model_wait_ms") {
			text += "; it had waited " + f.ms("model_wait_ms")
		}
		if given, ok := f["orders_given"].(bool); ok && !given {
			text += ", and no instance was known to give orders"
		}
		return text
	}
	return reason
}

// describeReturns says how the caller had returned after earlier refusals.
func describeReturns(f fields) string {
	text := ""
	for _, place := range []struct{ name, what string }{{"limit_returned", "its account's tokens"}, {"slot_returned", "a slot"}} {
		switch f.text(place.name) {
		case "returned":
			text += "; it had returned when it was told, ahead of new requests for " + place.what
		case "early":
			text += "; it had returned before the time that it was told for " + place.what
		case "expired":
			text += "; it had returned too long after the time that it was told for " + place.what
		case "deferred":
			text += "; it had returned as told for " + place.what + ", without a reservation"
		}
	}
	return text
}

// summarizeAnswered says whether an answer was late, and why.
func summarizeAnswered(f fields) string {
	inTime, known := f["in_time"].(bool)
	if !known || inTime {
		if waits := describeWaits(f); waits != "" {
			return "answered in time" + waits
		}
		return "answered in time"
	}
	var text string
	switch first, objective := f.number("first_ms"), f.number("objective_ms"); {
	case objective > 0 && first > objective:
		text = fmt.Sprintf("late: the first part came after %.0f ms, objective %.0f ms%s", first, objective, describeWaits(f))
	case f.has("pause_objective_ms") && f.number("pause_ms") > f.number("pause_objective_ms"):
		text = fmt.Sprintf("late: the longest pause was %s, objective %s: the server stalled the stream", f.ms("pause_ms"), f.ms("pause_objective_ms"))
	default:
		text = "late" + describeWaits(f)
	}
	if f.has("prompt_tokens") {
		text += fmt.Sprintf("; its prompt has %.0f tokens", f.number("prompt_tokens"))
	}
	if f.number("candidates") > 1 {
		text += fmt.Sprintf("; server %s had load %.3g, the least of the others %.3g", f.text("server"), f.number("load"), f.number("load_next"))
	}
	return text
}

// describeWaits lists where the time of a request went, without what was zero.
func describeWaits(f fields) string {
	var parts []string
	for _, wait := range []struct{ name, what string }{
		{"memory_waited_ms", "for memory"}, {"limit_waited_ms", "for its account's tokens"}, {"model_wait_ms", "for its model"}, {"room_wait_ms", "for a slot"},
	} {
		if f.has(wait.name) {
			parts = append(parts, f.ms(wait.name)+" "+wait.what)
		}
	}
	if attempts, _ := f["attempts_ms"].([]any); len(attempts) > 0 {
		for _, a := range attempts {
			if ms, _ := a.(float64); ms > 0 {
				parts = append(parts, fmt.Sprintf("%.0f ms until a server's answer began", ms))
			} else {
				parts = append(parts, "on a server that did not answer")
			}
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return "; waited " + strings.Join(parts, ", ")
}
