// Package connection assembles the answer sent over a caller's connection from
// the parts that one or more attempts deliver.
package connection

import (
	"fmt"

	"oleanderdale.org/core/id"
)

// Part is a section of an answer as delivered by an attempt.
type Part[T any] struct {
	Attempt id.Attempt
	Offset  int64 // position in the answer, in units
	Data    []T
	End     bool // the answer ends with this part
}

// AddResult says whether a part was used.
type AddResult int

// The results of Stream.Add.
const (
	Accepted  AddResult = iota
	Stale               // dropped: from an attempt that is not the current one
	Duplicate           // dropped: all of it had arrived before
)

// GapError reports that data before a part is missing. The attempt can't be used
// any further; Break tells how to continue.
type GapError struct {
	Attempt          id.Attempt
	Received, Offset int64 // units that arrived, and the position of the part
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("attempt %s: part at offset %d, but only %d units received", e.Attempt, e.Offset, e.Received)
}

// LengthError reports that an attempt continued past its end marker, or that its
// end marker lies before data that had already arrived.
type LengthError struct {
	Attempt id.Attempt
	End     int64 // end of the part, in units
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("attempt %s: part ends at offset %d, which contradicts the data or end marker received", e.Attempt, e.End)
}

// Action says how to continue after an attempt broke.
type Action int

// The actions after a break.
const (
	Ignore Action = iota // an older attempt broke, or the answer is complete
	Resume               // a new attempt continues at Offset
	Rerun                // a new attempt starts from the beginning
	Fail                 // end the answer with an explicit error
)

// Decision is the result of Break.
type Decision struct {
	Action Action
	Offset int64 // units, for Resume
}

// Options determine how a broken answer may be continued.
type Options struct {
	Resumes    bool // the engine can continue a stream at an offset
	Repeatable bool // the call may run more than once
}

// Stream assembles one answer from units of T: bytes, or events of one token
// each. It is not safe for concurrent use.
type Stream[T any] struct {
	opts     Options
	current  id.Attempt
	running  bool
	pending  []T   // arrived, not yet returned by Next
	written  int64 // units returned by Next
	complete bool

	mixAttempts bool // test hook: accepts parts of any attempt
}

// New returns a Stream without a current attempt.
func New[T any](opts Options) *Stream[T] { return &Stream[T]{opts: opts} }

// Begin makes a the current attempt; parts of all other attempts are dropped from
// now on. It must follow New, or a Break that returned Resume or Rerun.
func (s *Stream[T]) Begin(a id.Attempt) {
	s.current, s.running = a, true
}

// Add adds a part to the answer and copies its data. Its errors are *GapError and
// *LengthError, after which Break must be called.
func (s *Stream[T]) Add(p Part[T]) (AddResult, error) {
	// A part of an older attempt may arrive after its replacement has begun. Used,
	// it would mix two different answers; the attempt id tells them apart in any
	// order of arrival.
	if !s.running || (p.Attempt != s.current && !s.mixAttempts) {
		return Stale, nil
	}
	have := s.received()
	end := p.Offset + int64(len(p.Data))
	if p.Offset > have {
		return Accepted, &GapError{Attempt: p.Attempt, Received: have, Offset: p.Offset}
	}
	if s.complete {
		return s.addAfterEnd(p, end)
	}
	if p.End && end < have {
		return Accepted, &LengthError{Attempt: p.Attempt, End: end}
	}
	if end <= have && !p.End {
		return Duplicate, nil
	}
	s.pending = append(s.pending, p.Data[have-p.Offset:]...)
	s.complete = p.End
	return Accepted, nil
}

// addAfterEnd handles a part that arrives after the end marker.
func (s *Stream[T]) addAfterEnd(p Part[T], end int64) (AddResult, error) {
	if end > s.received() {
		return Accepted, &LengthError{Attempt: p.Attempt, End: end}
	}
	return Duplicate, nil
}

// Next returns the data to write to the caller now and counts it as written. The
// slice is valid until the next Add.
func (s *Stream[T]) Next() []T {
	b := s.pending
	s.pending = s.pending[:0]
	s.written += int64(len(b))
	return b
}

// Complete reports whether the end marker has arrived and Next has returned all
// data. If the answer ends before that, the caller must get an error.
func (s *Stream[T]) Complete() bool { return s.complete && len(s.pending) == 0 }

// Written returns the number of units returned by Next.
func (s *Stream[T]) Written() int64 { return s.written }

// Break decides how to continue after attempt a ended without its end marker.
// Later parts of the attempt are dropped.
func (s *Stream[T]) Break(a id.Attempt) Decision {
	if !s.running || a != s.current || s.complete {
		return Decision{Action: Ignore}
	}
	s.running = false
	switch {
	case s.opts.Resumes && s.received() > 0:
		return Decision{Action: Resume, Offset: s.received()}
	// A rerun may generate a different answer, so it is only possible before
	// anything was written to the caller.
	case s.opts.Repeatable && s.written == 0:
		s.pending = s.pending[:0]
		return Decision{Action: Rerun}
	default:
		return Decision{Action: Fail}
	}
}

func (s *Stream[T]) received() int64 { return s.written + int64(len(s.pending)) }
