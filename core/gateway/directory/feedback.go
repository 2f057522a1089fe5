package directory

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/serverlimit"
)

// secondHandAge is added to the age of what other instances heard when it is told on: more than
// a message takes. A receiver counts an age back from its receipt, so that the delays of all
// messages would otherwise make a statement younger than any that was made.
const secondHandAge = 250 * time.Millisecond

// Feedback is what a server said about itself, to be told to other instances.
type Feedback struct {
	Limit   *serverlimit.Statement // nil: nothing about a rate limit
	Rest    time.Duration          // remaining; 0: none
	Brittle *brittle.Statement     // nil: nothing about rejections
}

// OwnFeedback returns what a server said in its responses to this instance. Only that is told
// to all and repeated: each time is one message away from the instance that observed it.
func (d *Directory) OwnFeedback(now clock.Time, s *Server) Feedback {
	var f Feedback
	if s.limit != nil {
		if own, ok := s.limit.Own(); ok {
			f.Limit = &own
		}
	}
	if s.rest != nil {
		f.Rest = max(0, s.rest.until.Sub(now))
	}
	if g := d.brittleGroups[s.Group]; g != nil {
		if own, ok := g.Own(now); ok {
			f.Brittle = &own
		}
	}
	return f
}

// KnownFeedback returns what a server said in its responses to any instance, for one instance
// that may not know it. What others heard is told as older by secondHandAge.
func (d *Directory) KnownFeedback(now clock.Time, s *Server) Feedback {
	f := d.OwnFeedback(now, s)
	if s.limit != nil {
		f.Limit = knownLimit(s.limit.Last(), f.Limit)
	}
	f.Rest = max(f.Rest, s.RestRemaining(now)-secondHandAge)
	if said, ok := d.BrittleStatement(now, s.Group); ok {
		f.Brittle = knownBrittle(said, f.Brittle)
	}
	return f
}

// knownLimit returns the newest statement as it is told: the own one if it says the same and is
// hardly older.
func knownLimit(last serverlimit.Statement, own *serverlimit.Statement) *serverlimit.Statement {
	last.At = last.At.Add(-secondHandAge)
	if own != nil && own.Limited == last.Limited && own.PerSecond == last.PerSecond && own.At > last.At {
		return own
	}
	return &last
}

// knownBrittle is knownLimit for a statement on rejections.
func knownBrittle(last brittle.Statement, own *brittle.Statement) *brittle.Statement {
	last.At = last.At.Add(-secondHandAge)
	if own != nil && own.Survived == last.Survived && own.At > last.At {
		return own
	}
	return &last
}
