package queue

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// LoadState says how far a target is on a server.
type LoadState int

// The states.
const (
	Cold    LoadState = iota // could be loaded there
	Loading                  // ready after ReadyIn
	Loaded
)

// Replica is what is known of one server that has, or could have, a target.
type Replica struct {
	Backend id.Backend
	Address string
	State   LoadState
	// Running counts the requests of all artifacts that the server ran when
	// it was asked for its report, at Reported (0: never).
	Running     int
	ReportedAt  clock.Time
	Concurrency int // requests at a time
	Leaving     bool
	Down        bool
	ReadyIn     time.Duration // for Loading
}

func (r *Replica) usable() bool { return !r.Leaving && !r.Down }

// ReplicaSource tells which servers of the zone serve a target. The returned slices
// are sorted by Backend, and are not kept.
type ReplicaSource interface {
	ArtifactReplicas(a id.Artifact) []Replica
	ServiceReplicas(s id.Service) []Replica
	// EstimateLoadTime returns how long a load of a would take if it were ordered now.
	EstimateLoadTime(a id.Artifact) time.Duration
}

// endedTurn is a turn that was given back: a report that was asked for between its
// two moments still counts it.
type endedTurn struct{ grantedAt, endedAt clock.Time }

// maxEndedTurns bounds the turns remembered for a server between two reports.
const maxEndedTurns = 256

// server is what this owner knows of a backend server by its own grants.
type server struct {
	name            id.Backend
	turns           []*request  // turns in use
	endedTurns      []endedTurn // since the last report
	reportedAt      clock.Time
	reportedRunning int        // by the last report
	othersRunning   int        // of running, those that are not ours
	blockedUntil    clock.Time // nothing new before
	leaving         bool       // it refused new work; a later list does not undo that
	reservedFor     *request   // nothing new but this Alone request
}

func (o *Owner) server(b id.Backend) *server {
	s := o.servers[b]
	if s == nil {
		s = &server{name: b}
		o.servers[b] = s
	}
	return s
}

// applyReport takes a report in and works out what the server ran for other owners
// when it was asked. The report lags: turns granted after it are not in it,
// turns that ended after it still are. Counting its figure beside our own
// turns would fill servers too late or twice.
func (s *server) applyReport(r *Replica) {
	if s.reportedAt == r.ReportedAt && s.reportedRunning == r.Running {
		return
	}
	s.reportedAt, s.reportedRunning = r.ReportedAt, r.Running
	n := r.Running
	for _, e := range s.turns {
		if e.grantedAt <= r.ReportedAt {
			n--
		}
	}
	kept := s.endedTurns[:0]
	for _, e := range s.endedTurns {
		if e.endedAt <= r.ReportedAt {
			continue
		}
		if e.grantedAt <= r.ReportedAt {
			n--
		}
		kept = append(kept, e)
	}
	s.endedTurns = kept
	s.othersRunning = max(n, 0)
}

func (s *server) close(e *request, now clock.Time) {
	for i, o := range s.turns {
		if o == e {
			s.turns = append(s.turns[:i], s.turns[i+1:]...)
			break
		}
	}
	if len(s.endedTurns) == maxEndedTurns {
		s.endedTurns = append(s.endedTurns[:0], s.endedTurns[1:]...)
	}
	s.endedTurns = append(s.endedTurns, endedTurn{grantedAt: e.grantedAt, endedAt: now})
}

// aloneRequest returns the Alone request that runs there, or nil.
func (s *server) aloneRequest() *request {
	for _, e := range s.turns {
		if e.ask.Alone {
			return e
		}
	}
	return nil
}

// idle reports whether the server can be forgotten.
func (s *server) idle(now clock.Time) bool {
	return len(s.turns) == 0 && len(s.endedTurns) == 0 && s.reservedFor == nil && !s.leaving && now.Reached(s.blockedUntil)
}
