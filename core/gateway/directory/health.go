package directory

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// failureWeight is the weight of one response in the moving average of
	// failures. About ten responses distinguish a server that fails two in five
	// requests from a healthy one.
	failureWeight = 0.15
	// suspectFailureRate is the failure rate above which a server is suspected; a
	// single failure stays below it.
	suspectFailureRate = 0.22
	// suspectGroupFactor is the multiple of the group's failure rate that a suspected
	// server must exceed: when all servers fail alike, the requests are the cause
	// and no server is suspected.
	suspectGroupFactor = 2.0
	// maxSuspectedShare is the largest part of a group's servers that are suspected at the
	// same time. Failures that the requests cause come in clusters, which would leave one
	// sound server for all requests.
	maxSuspectedShare = 1.0 / 3
	// probation is how long a suspected server gets requests only if there is no
	// other. Its failure rate restarts at half of suspectFailureRate.
	probation = 3 * time.Second
	// unreachableDuration is how long a server is skipped after a failed
	// connection attempt.
	unreachableDuration = time.Second
)

// Outcome is the result of a request, as evidence of the server's health.
type Outcome int

// Outcomes of a request.
const (
	Answered Outcome = iota
	Failed           // connection lost, invalid response, timeout or server error
	Neutral          // no evidence: the caller disconnected, or the server was full
)

// RecordOutcome records the outcome of a request of any instance. One instance of two
// hundred sees too few requests of a server to detect that it fails.
func (d *Directory) RecordOutcome(now clock.Time, id string, o Outcome) {
	s := d.servers[id]
	if s == nil {
		return
	}
	switch o {
	case Answered:
		s.failureRate *= 1 - failureWeight
	case Failed:
		s.failureRate += failureWeight * (1 - s.failureRate)
		if s.failureRate > suspectFailureRate && s.failureRate > suspectGroupFactor*d.groupFailureRate(s) && d.maySuspect(now, s) {
			s.suspectedUntil = now.Add(probation)
			s.failureRate = suspectFailureRate / 2
		}
	}
}

// maySuspect reports whether another server of a group may be suspected: the first always,
// further ones up to maxSuspectedShare.
func (d *Directory) maySuspect(now clock.Time, server *Server) bool {
	servers, suspected := 0, 1
	for _, s := range d.InGroup(server.Group) {
		servers++
		if s != server && now.Before(s.suspectedUntil) {
			suspected++
		}
	}
	return suspected == 1 || float64(suspected) <= maxSuspectedShare*float64(servers)
}

// groupFailureRate returns the mean failure rate of the other servers of its group.
func (d *Directory) groupFailureRate(server *Server) float64 {
	total, n := 0.0, 0
	for _, s := range d.servers {
		if s != server && s.Group == server.Group {
			total += s.failureRate
			n++
		}
	}
	if n == 0 {
		return 1 // the only server of a group is never suspected
	}
	return total / float64(n)
}

// ForgetUnreachable drops the records of failed connections: they told of this instance's
// links, not of the servers.
func (d *Directory) ForgetUnreachable() {
	for _, s := range d.servers {
		s.unreachableUntil = 0
	}
}

// MarkUnreachable records that a connection to a server could not be established.
func (d *Directory) MarkUnreachable(now clock.Time, id string) {
	if s := d.servers[id]; s != nil {
		s.unreachableUntil = now.Add(unreachableDuration)
	}
}
