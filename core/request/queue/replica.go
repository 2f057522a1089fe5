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

// ended is a turn that was given back: a report that was asked for between its
// two moments still counts it.
type ended struct{ granted, at clock.Time }

// maxEnded bounds the turns remembered for a server between two reports.
const maxEnded = 256

// server is what this owner knows of a backend server by its own grants.
type server struct {
	name     id.Backend
	open     []*entry // turns in use
	ended    []ended  // since the last report
	reported clock.Time
	running  int        // by the last report
	others   int        // of running, those that are not ours
	held     clock.Time // nothing new before
	leaving  bool       // it refused new work; a later list does not undo that
	reserved *entry     // nothing new but this Alone request
}

func (o *Owner) server(b id.Backend) *server {
	s := o.servers[b]
	if s == nil {
		s = &server{name: b}
		o.servers[b] = s
	}
	return s
}

// note takes a report in and works out what the server ran for other owners
// when it was asked. The report lags: turns granted after it are not in it,
// turns that ended after it still are. Counting its figure beside our own
// turns would fill servers too late or twice.
func (s *server) note(r *Replica) {
	if s.reported == r.ReportedAt && s.running == r.Running {
		return
	}
	s.reported, s.running = r.ReportedAt, r.Running
	n := r.Running
	for _, e := range s.open {
		if e.granted <= r.ReportedAt {
			n--
		}
	}
	kept := s.ended[:0]
	for _, e := range s.ended {
		if e.at <= r.ReportedAt {
			continue
		}
		if e.granted <= r.ReportedAt {
			n--
		}
		kept = append(kept, e)
	}
	s.ended = kept
	s.others = max(n, 0)
}

func (s *server) close(e *entry, now clock.Time) {
	for i, o := range s.open {
		if o == e {
			s.open = append(s.open[:i], s.open[i+1:]...)
			break
		}
	}
	if len(s.ended) == maxEnded {
		s.ended = append(s.ended[:0], s.ended[1:]...)
	}
	s.ended = append(s.ended, ended{granted: e.granted, at: now})
}

// alone returns the Alone request that runs there, or nil.
func (s *server) alone() *entry {
	for _, e := range s.open {
		if e.ask.Alone {
			return e
		}
	}
	return nil
}

// idle reports whether the server can be forgotten.
func (s *server) idle(now clock.Time) bool {
	return len(s.open) == 0 && len(s.ended) == 0 && s.reserved == nil && !s.leaving && now.Reached(s.held)
}
