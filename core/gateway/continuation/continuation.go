// Package continuation decides what becomes of a response that has begun and that no server continues.
//
// Its caller has a part of it and can't be told to come back. What may pass is therefore waited for as
// long as the caller waits, on an instance that stops, too; only what can't pass ends the response.
package continuation

import (
	"time"

	"oleanderdale.org/core/clock"
)

// Obstacle is why no server continues a response.
type Obstacle int

// Obstacles.
const (
	Lasting  Obstacle = iota // the request may not run again, its caller left, or the process ends
	Passing                  // servers are full, at rest or without the model, or no retry is allowed now
	NoServer                 // no server takes the request; passes if one of them is left out for a while only
)

const (
	// firstPause is how long a server is left out that rejected a request or broke it off. It doubles
	// with each further failure until the response goes on, up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
)

// Response is a response that has begun. The zero Response has no failure behind it.
type Response struct{ pause time.Duration }

// Failed records that a server rejected the request or broke it off. It returns how long that server is left out.
func (r *Response) Failed() time.Duration {
	r.pause = min(maxPause, max(firstPause, 2*r.pause))
	return r.pause
}

// Continued records that a server sent more of the response.
func (r *Response) Continued() { r.pause = 0 }

// Wait returns how long to wait at an obstacle before servers are looked for again; false ends the response.
// serverLeft says that there is a server that may take the request later.
func (r *Response) Wait(now, deadline clock.Time, o Obstacle, serverLeft bool) (time.Duration, bool) {
	if now.Reached(deadline) || o == Lasting || o == NoServer && !serverLeft {
		return 0, false
	}
	return min(max(firstPause, r.pause), deadline.Sub(now)), true
}

// Silence describes a server that has sent nothing of a response for longer than usual, and that lives as far as is known.
type Silence struct {
	Alternative bool // another server can take the request now
	MayRepeat   bool // the request may run again, and a retry is allowed
	Ending      bool // the instance no longer lets requests wait
}

// Leave reports whether the server is left for another one. Without one, a late response is better than none.
func (s Silence) Leave() bool { return s.Alternative && s.MayRepeat && !s.Ending }
