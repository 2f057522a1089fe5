package gateway

const (
	// maxReportsPerRound bounds the requests for reports that begin in one round of
	// housekeeping. A new lease holder asks all engines: 3,000 connections at once delayed
	// everything else that the instance did, heartbeats included.
	maxReportsPerRound = 32
	// maxReportsInFlight bounds the requests without an answer yet. Engines that are cut off
	// answer after orderTimeout only; the others must not wait for them.
	maxReportsInFlight = 256
)

// reportQueue holds the requests for engines' reports that wait to be sent.
type reportQueue struct {
	waiting  []reportRequest
	queued   map[string]bool // by server
	inFlight int
}

// add adds a request unless one for the same server waits.
func (q *reportQueue) add(r reportRequest) {
	if q.queued == nil {
		q.queued = make(map[string]bool)
	}
	if !q.queued[r.server] {
		q.queued[r.server] = true
		q.waiting = append(q.waiting, r)
	}
}

// take removes and returns the requests to send now. ended must be called for each.
func (q *reportQueue) take() []reportRequest {
	n := max(0, min(len(q.waiting), maxReportsPerRound, maxReportsInFlight-q.inFlight))
	now := q.waiting[:n]
	q.waiting = q.waiting[n:]
	for _, r := range now {
		delete(q.queued, r.server)
	}
	q.inFlight += n
	return now
}

// ended records that a request was answered or failed.
func (q *reportQueue) ended() { q.inFlight-- }

// clear drops the waiting requests.
func (q *reportQueue) clear() {
	q.waiting = nil
	clear(q.queued)
}
