package gateway

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/oleander/process/boottime"
)

// timing breaks down the duration of a request for its final log line.
type timing struct {
	modelWait    time.Duration // wait for a model or adapter
	slotWait     time.Duration // wait for a free slot
	attempts     []attemptTime
	firstByte    time.Duration // from the arrival to the first byte to the caller; 0: none
	longestPause time.Duration // longest time between two parts of a stream
	lastPart     clock.Time
	choice       directory.Choice // of the last attempt
	// slotReturned says whether the caller had been told when to return for a slot.
	slotReturned reservation.Status
}

// attemptTime is the timing of one attempt.
type attemptTime struct {
	sent      clock.Time
	firstByte time.Duration // from the send to the start of the response; 0: none
	// firstEvent is from the send to the first event of a stream; 0: none.
	firstEvent time.Duration
	// serverPause is the longest time for which the server sent no event of a stream that had
	// begun, without the time in which nothing was read since the caller was slow.
	serverPause time.Duration
	// silence is the time spent reading since the last event.
	silence time.Duration
}

// addWait adds a wait for a server.
func (t *timing) addWait(d time.Duration, full bool) {
	if full {
		t.slotWait += d
	} else {
		t.modelWait += d
	}
}

func (t *timing) attemptSent() { t.attempts = append(t.attempts, attemptTime{sent: boottime.Now()}) }

// responseBegan records that the server's response began.
func (t *timing) responseBegan() {
	a := &t.attempts[len(t.attempts)-1]
	a.firstByte = boottime.Now().Sub(a.sent)
}

// firstEventArrived records an event of a stream if it is the first of its attempt.
func (t *timing) firstEventArrived() {
	if a := &t.attempts[len(t.attempts)-1]; a.firstEvent == 0 {
		a.firstEvent = boottime.Now().Sub(a.sent)
	}
}

// serverRead records a read from the server that took a time, and whether it completed an
// event of a stream.
func (t *timing) serverRead(took time.Duration, event bool) {
	a := &t.attempts[len(t.attempts)-1]
	a.silence += took
	if !event {
		return
	}
	if a.firstEvent > 0 {
		a.serverPause = max(a.serverPause, a.silence)
	}
	a.silence = 0
}

// partForwarded records that a part of the response went to the caller.
func (t *timing) partForwarded(arrived clock.Time) {
	now := boottime.Now()
	if t.lastPart == 0 {
		t.firstByte = now.Sub(arrived)
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastPart))
	}
	t.lastPart = now
}

// metObjectives reports whether the response met the objectives of its route.
func (x *exchange) metObjectives() bool {
	r, t := x.route, &x.timing
	return t.firstByte > 0 && (r.LatencyObjective == 0 || t.firstByte <= r.LatencyObjective) && (r.PauseObjective == 0 || t.longestPause <= r.PauseObjective)
}

// log adds the timing to a log line, and the choice of the server if the response was
// late or missing.
func (t *timing) log(e *zerolog.Event, r objectives, missed bool) *zerolog.Event {
	if t.firstByte > 0 {
		e = e.Int64("first_ms", t.firstByte.Milliseconds())
	}
	if t.longestPause > 0 {
		e = e.Int64("pause_ms", t.longestPause.Milliseconds())
	}
	if n := len(t.attempts); missed && n > 0 && t.attempts[n-1].serverPause > 0 && t.choice.PaceFactor > 0 {
		e = e.Int64("server_pause_ms", t.attempts[n-1].serverPause.Milliseconds())
	}
	e = e.Int64("objective_ms", r.firstByte.Milliseconds())
	if r.pause > 0 {
		e = e.Int64("pause_objective_ms", r.pause.Milliseconds())
	}
	if t.modelWait > 0 {
		e = e.Int64("model_wait_ms", t.modelWait.Milliseconds())
	}
	if t.slotWait > 0 {
		e = e.Int64("room_wait_ms", t.slotWait.Milliseconds())
	}
	if t.slotReturned != reservation.New {
		e = e.Stringer("slot_returned", t.slotReturned)
	}
	if len(t.attempts) > 0 {
		a := zerolog.Arr()
		for _, at := range t.attempts {
			a = a.Int64(at.firstByte.Milliseconds())
		}
		e = e.Array("attempts_ms", a)
	}
	if c := t.choice; missed && c.Candidates > 0 {
		e = e.Stringer("chosen_by", c.Reason).Int("candidates", c.Candidates).Float64("load", c.Load).Float64("load_next", c.NextLoad)
		if c.PaceFactor > 0 {
			e = e.Float64("pace", math.Round(1000*c.PaceFactor)/1000)
		}
		if c.CachedTokens > 0 {
			e = e.Int("cached_tokens", c.CachedTokens)
		}
	}
	return e
}

// objectives are the latency objectives of a route.
type objectives struct {
	firstByte time.Duration
	pause     time.Duration
}
