package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/oleander/process/boottime"
)

// timing is where the time of a request went, for its last log line.
type timing struct {
	model     time.Duration // waited for a model or adapter
	room      time.Duration // waited since all servers were full
	attempts  []attemptTime
	first     time.Duration // from the arrival to the first byte for the caller; 0: none
	pause     time.Duration // the longest between two parts of a stream
	lastEvent clock.Time
	choice    directory.Choice // of the last attempt's server
}

// attemptTime is one send to a server.
type attemptTime struct {
	sent  clock.Time
	first time.Duration // until the server's answer began; 0: it did not
}

// waited adds a wait for a server.
func (t *timing) waited(d time.Duration, full bool) {
	if full {
		t.room += d
	} else {
		t.model += d
	}
}

func (t *timing) sent() { t.attempts = append(t.attempts, attemptTime{sent: boottime.Now()}) }

// began notes that the server's answer began.
func (t *timing) began() {
	a := &t.attempts[len(t.attempts)-1]
	a.first = boottime.Now().Sub(a.sent)
}

// passedOn notes that a part of the answer went to the caller.
func (t *timing) passedOn(arrived clock.Time) {
	now := boottime.Now()
	if t.lastEvent == 0 {
		t.first = now.Sub(arrived)
	} else {
		t.pause = max(t.pause, now.Sub(t.lastEvent))
	}
	t.lastEvent = now
}

// inTime reports whether an answer met its objectives.
func (x *exchange) inTime() bool {
	r, t := x.route, &x.timing
	return t.first > 0 && (r.LatencyObjective == 0 || t.first <= r.LatencyObjective) && (r.PauseObjective == 0 || t.pause <= r.PauseObjective)
}

// log adds where the time went. The choice of the server is told where something
// may have to be explained: the answer was late, or there was none.
func (t *timing) log(e *zerolog.Event, r objectives, late bool) *zerolog.Event {
	if t.first > 0 {
		e = e.Int64("first_ms", t.first.Milliseconds())
	}
	if t.pause > 0 {
		e = e.Int64("pause_ms", t.pause.Milliseconds())
	}
	e = e.Int64("objective_ms", r.first.Milliseconds())
	if r.pause > 0 {
		e = e.Int64("pause_objective_ms", r.pause.Milliseconds())
	}
	if t.model > 0 {
		e = e.Int64("model_wait_ms", t.model.Milliseconds())
	}
	if t.room > 0 {
		e = e.Int64("room_wait_ms", t.room.Milliseconds())
	}
	if len(t.attempts) > 0 {
		a := zerolog.Arr()
		for _, at := range t.attempts {
			a = a.Int64(at.first.Milliseconds())
		}
		e = e.Array("attempts_ms", a)
	}
	if c := t.choice; late && c.Candidates > 0 {
		e = e.Stringer("chosen_by", c.Reason).Int("candidates", c.Candidates).Float64("load", c.Load).Float64("load_next", c.NextLoad)
	}
	return e
}

// objectives are what a route promises.
type objectives struct {
	first time.Duration
	pause time.Duration
}
