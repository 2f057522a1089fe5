// Package connection holds what lives as long as a caller's connection: the
// assembly of one whole answer out of the parts of one or more attempts.
package connection

import (
	"fmt"

	"oleanderdale.org/core/id"
)

// Part is a piece of an answer as an attempt delivered it.
type Part[T any] struct {
	Attempt id.Attempt
	Offset  int64 // units of the answer before this part
	Data    []T
	End     bool // the answer is whole after this part
}

// Taken says what became of a part.
type AddResult int

// What may become of a part.
const (
	Accepted  AddResult = iota
	Stale               // dropped: of an attempt that is not the current one
	Duplicate           // dropped: all of it was there already
)

// GapError says that something is missing before a part. The attempt is of no
// more use; Break tells how to go on.
type GapError struct {
	Attempt          id.Attempt
	Received, Offset int64 // units
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("attempt %s: part at %d, but only %d arrived", e.Attempt, e.Offset, e.Received)
}

// LengthError says that an attempt went on past its own end marker, or ended
// before what an earlier attempt had delivered.
type LengthError struct {
	Attempt id.Attempt
	Length  int64 // units
}

// Error implements error.
func (e *LengthError) Error() string {
	return fmt.Sprintf("attempt %s: inconsistent end at %d", e.Attempt, e.Length)
}

// Kind says how to go on after a break.
type Action int

// The ways to go on after a break.
const (
	Ignore Action = iota // an older attempt broke, or the answer is whole
	Resume               // a new attempt continues at Offset
	Rerun                // a new attempt starts anew
	Fail                 // end the answer with an explicit error
)

// Decision says how to go on after a break.
type Decision struct {
	Action Action
	Offset int64 // units, for Resume
}

// Options say what may be done with a broken answer.
type Options struct {
	Resumes    bool // the engine continues a stream at an offset
	Repeatable bool // the call may run more than once
}

// Stream assembles one answer from units of T: bytes, or events that carry a
// token each. It is used by one goroutine at a time.
type Stream[T any] struct {
	opts     Options
	current  id.Attempt
	running  bool
	pending  []T   // arrived, not yet handed out
	written  int64 // units handed out to be written to the caller
	complete bool

	mixAttempts bool // test hook: takes parts of any attempt
}

// New returns a Stream without an attempt.
func New[T any](opts Options) *Stream[T] { return &Stream[T]{opts: opts} }

// Begin makes a the current attempt. It must follow New, or a Break that said
// Resume or Rerun; parts of all other attempts are dropped from now on.
func (s *Stream[T]) Begin(a id.Attempt) {
	s.current, s.running = a, true
}

// Add takes a part in. Its data is copied. The error is a *GapError or a
// *LengthError: call Break then.
func (s *Stream[T]) Add(p Part[T]) (AddResult, error) {
	// A part of an older attempt may come late, when its replacement has begun.
	// Mixed in, the caller would get pieces of two different answers; the attempt
	// id tells them apart whatever the order.
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
		return Accepted, &LengthError{Attempt: p.Attempt, Length: end}
	}
	if end <= have && !p.End {
		return Duplicate, nil
	}
	s.pending = append(s.pending, p.Data[have-p.Offset:]...)
	s.complete = p.End
	return Accepted, nil
}

func (s *Stream[T]) addAfterEnd(p Part[T], end int64) (AddResult, error) {
	if end > s.received() {
		return Accepted, &LengthError{Attempt: p.Attempt, Length: end}
	}
	return Duplicate, nil
}

// Next hands out what may be written to the caller now, and counts it as
// written. The slice is valid until the next Add.
func (s *Stream[T]) Next() []T {
	b := s.pending
	s.pending = s.pending[:0]
	s.written += int64(len(b))
	return b
}

// Whole reports whether the end marker arrived and all was handed out. Without
// it the caller must be told that the answer broke off.
func (s *Stream[T]) Complete() bool { return s.complete && len(s.pending) == 0 }

// Written returns the units handed out.
func (s *Stream[T]) Written() int64 { return s.written }

// Break says how to go on after attempt a ended without its end marker. The
// attempt's later parts are dropped.
func (s *Stream[T]) Break(a id.Attempt) Decision {
	if !s.running || a != s.current || s.complete {
		return Decision{Action: Ignore}
	}
	s.running = false
	switch {
	case s.opts.Resumes && s.received() > 0:
		return Decision{Action: Resume, Offset: s.received()}
	// A rerun may word its answer differently: after the first byte the
	// caller would get two halves that don't fit.
	case s.opts.Repeatable && s.written == 0:
		s.pending = s.pending[:0]
		return Decision{Action: Rerun}
	default:
		return Decision{Action: Fail}
	}
}

func (s *Stream[T]) received() int64 { return s.written + int64(len(s.pending)) }
