package queue

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/id"
)

// LoadState is the state of a target on a server.
type LoadState int

// The states.
const (
	Cold    LoadState = iota // not loaded, but could be
	Loading                  // will be loaded after ReadyIn
	Loaded
)

// Replica describes a server that has a target loaded or could load it.
type Replica struct {
	Backend id.Backend
	Address string
	State   LoadState
	// Running counts the requests for all artifacts that the server executed when
	// its report was requested, at ReportedAt (0: never).
	Running     int
	ReportedAt  clock.Time
	Concurrency int           // largest number of concurrent requests
	Leaving     bool          // stops accepting requests
	Down        bool          // does not respond
	ReadyIn     time.Duration // time until the target is loaded, in state Loading
}

func (r *Replica) usable() bool { return !r.Leaving && !r.Down }

// ReplicaSource lists the servers of the zone for a target. The returned slices are
// sorted by Backend, and the queues do not keep them.
type ReplicaSource interface {
	ArtifactReplicas(a id.Artifact) []Replica
	ServiceReplicas(s id.Service) []Replica
	// EstimateLoadTime returns how long loading a would take if it were ordered now.
	EstimateLoadTime(a id.Artifact) time.Duration
}

// endedTurn is a turn that was given back. A report requested between its two times
// still counts its request.
type endedTurn struct{ grantedAt, endedAt clock.Time }

// maxEndedTurns limits the ended turns that are kept for a server between two
// reports.
const maxEndedTurns = 256

// server is the state of a backend server as known from this owner's turns and the
// last report.
type server struct {
	name            id.Backend
	turns           []*request  // turns in use
	endedTurns      []endedTurn // turns that ended since the last report
	reportedAt      clock.Time  // time of the last report
	reportedRunning int         // requests in the last report
	othersRunning   int         // those of reportedRunning that are not from this owner
	blockedUntil    clock.Time  // gets no new requests before this time
	leaving         bool        // it refused new requests; an older server list does not reset this
	reservedFor     *request    // request that must run alone; no other gets a turn
}

func (o *Owner) server(b id.Backend) *server {
	s := o.servers[b]
	if s == nil {
		s = &server{name: b}
		o.servers[b] = s
	}
	return s
}

// applyReport takes over a report and computes how many requests the server executed
// for other owners when the report was requested. The report is delayed: it lacks
// the turns granted after it, and includes those that ended after it. Adding its
// figure to this owner's turns as it is would leave capacity unused or overload the
// server.
func (s *server) applyReport(r *Replica) {
	if s.reportedAt == r.ReportedAt && s.reportedRunning == r.Running {
		return
	}
	s.reportedAt, s.reportedRunning = r.ReportedAt, r.Running
	others := r.Running
	for _, req := range s.turns {
		if req.grantedAt <= r.ReportedAt {
			others--
		}
	}
	kept := s.endedTurns[:0]
	for _, ended := range s.endedTurns {
		if ended.endedAt <= r.ReportedAt {
			continue
		}
		if ended.grantedAt <= r.ReportedAt {
			others--
		}
		kept = append(kept, ended)
	}
	s.endedTurns = kept
	s.othersRunning = max(others, 0)
}

// close moves a turn from turns to endedTurns.
func (s *server) close(req *request, now clock.Time) {
	for i, turn := range s.turns {
		if turn == req {
			s.turns = append(s.turns[:i], s.turns[i+1:]...)
			break
		}
	}
	if len(s.endedTurns) == maxEndedTurns {
		s.endedTurns = append(s.endedTurns[:0], s.endedTurns[1:]...)
	}
	s.endedTurns = append(s.endedTurns, endedTurn{grantedAt: req.grantedAt, endedAt: now})
}

// aloneRequest returns the request on the server that must run alone, or nil.
func (s *server) aloneRequest() *request {
	for _, req := range s.turns {
		if req.ask.Alone {
			return req
		}
	}
	return nil
}

// idle reports whether the server has no state that must be kept.
func (s *server) idle(now clock.Time) bool {
	return len(s.turns) == 0 && len(s.endedTurns) == 0 && s.reservedFor == nil && !s.leaving && now.Reached(s.blockedUntil)
}
