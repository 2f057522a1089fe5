// Package ending decides what the end of a backend server's response says about whether
// the response is whole.
//
// A response with a length or in chunks says where it ends. One with neither ends with its
// connection, which also ends if the server crashes: nothing in the response tells the two
// apart, except in a stream that ends inside an event. Its caller must not be told more about
// the end than the server told, so the response goes on with neither a length nor chunks.
package ending

// Verdict says whether a response is whole.
type Verdict int

// Verdicts.
const (
	Complete    Verdict = iota // as the response itself says
	Unconfirmed                // the connection ended, and nothing shows that the response was broken off
	BrokenOff
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string { return [...]string{"complete", "unconfirmed", "broken-off"}[v] }

// Response describes a response that was read to its end, without an error.
type Response struct {
	EndsWithConnection bool // it has neither a length nor chunks
	Stream             *Stream
}

// Stream describes a response that is a stream of events.
type Stream struct {
	InEvent bool // it ended inside an event
	Events  int  // complete ones
	Resumed bool // it was to go on after an event, so there may be none left
}

// Verdict decides whether the response is whole.
func (r Response) Verdict() Verdict {
	s := r.Stream
	switch {
	case s != nil && s.InEvent:
		return BrokenOff
	case !r.EndsWithConnection:
		return Complete
	case s != nil && s.Events == 0 && !s.Resumed:
		return BrokenOff
	}
	return Unconfirmed
}
