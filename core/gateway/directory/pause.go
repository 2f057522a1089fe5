package directory

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/pace"
)

const (
	// maxReads bounds the prompts remembered of one server, which are those of a few seconds.
	maxReads = 64
	// maxDetour is the part of a pause objective by which the first event of a request may be
	// later for the sake of the objective. With more, long prompts have a late first event.
	maxDetour = 0.5
)

// read is a prompt that a server was sent.
type read struct {
	at     clock.Time
	tokens int
	unread int // prompt tokens that the server had to read then, with this prompt
}

// recordRead remembers a prompt that was added to those that the server still reads.
func (s *Server) recordRead(now clock.Time, tokens int) {
	r := read{at: now, tokens: tokens, unread: s.prefillTokens(now)}
	if len(s.reads) < maxReads {
		s.reads = append(s.reads, r)
		return
	}
	s.reads[s.nextRead] = r
	s.nextRead = (s.nextRead + 1) % maxReads
}

// tokensReadSince returns the most prompt tokens that the server read in one go out of the
// prompts that it was sent after a time. A server reads prompts one after another: what it
// was sent before a request delays the first event of that request, not the others. It
// reports false if too many prompts were sent since to know.
func (s *Server) tokensReadSince(since clock.Time) (int, bool) {
	known := len(s.reads) < maxReads || s.reads[s.nextRead].at <= since
	sent, most := 0, 0
	for i := range s.reads {
		r := s.reads[(s.nextRead+i)%len(s.reads)]
		if r.at > since {
			sent += r.tokens
			most = max(most, min(r.unread, sent))
		}
	}
	return most, known
}

// measurePause adds to a run that ended now what its server did meanwhile. A pause whose cause
// is not known any more is left out.
func (d *Directory) measurePause(now clock.Time, s *Server, r *pace.Run) {
	if r.LongestPause <= 0 {
		return
	}
	tokens, known := s.tokensReadSince(now.Add(-r.Run))
	if !known {
		r.LongestPause = 0
	}
	r.TokensRead, r.Batch = tokens, float64(s.Running()+1)
}

// startStream remembers the pause objective of a request that is sent to the server; 0 is
// none. The end of a request of another instance is known by the number of running requests
// only, so the oldest are taken to have ended.
func (s *Server) startStream(objective time.Duration) {
	s.streams = append(s.streams, objective)
	s.tightest = tighter(s.tightest, objective)
	s.trimStreams()
}

// trimStreams forgets the objectives of requests that have ended.
func (s *Server) trimStreams() {
	ended := len(s.streams) - max(0, s.running)
	if ended <= 0 {
		return
	}
	s.streams = slices.Delete(s.streams, 0, ended)
	s.tightest = 0
	for _, objective := range s.streams {
		s.tightest = tighter(s.tightest, objective)
	}
}

// tighter returns the shorter of two pause objectives, of which 0 is none.
func tighter(a, b time.Duration) time.Duration {
	if a <= 0 || b > 0 && b < a {
		return max(0, b)
	}
	return a
}

// TightestPause returns the shortest pause objective of the requests on the server; 0 if
// none is known.
func (s *Server) TightestPause() time.Duration {
	s.trimStreams()
	return s.tightest
}

// PauseEffect is the part that pauses had in a choice.
type PauseEffect int

// Effects of pauses on a choice.
const (
	PausesAlike    PauseEffect = iota // all servers with a free slot are expected to keep the objectives, or nothing is known
	PausesKept                        // servers were left out for others that are expected to keep them
	PausesExceeded                    // no server with a free slot is expected to keep them without a late first event
)

// String returns the name of the effect for metrics.
func (e PauseEffect) String() string { return [...]string{"alike", "kept", "exceeded"}[e] }

// keepPauses returns the servers on which neither the running streams nor the request's own
// are expected to pause for longer than their objectives allow. If there are none, it returns
// those that spare the running streams, and without these all. Servers on which the first event
// would be much later do not count.
func (d *Directory) keepPauses(now clock.Time, eligible []*Server, req Requirements) ([]*Server, PauseEffect) {
	if !d.loadScheduling || req.PromptTokens == 0 && req.PauseObjective == 0 {
		return eligible, PausesAlike
	}
	pauses := d.paces.Pauses(now, req.Group)
	if !pauses.Known() {
		return eligible, PausesAlike
	}
	prompt := req.Prompt()
	var kept, sparing []*Server
	all := true
	for i, s := range eligible {
		unread, batch := s.prefillTokens(now), float64(s.Running()+1)
		spares := !pauses.Exceed(s.TightestPause(), s.ID, s.Incarnation, unread+prompt.Tokens-s.cachedTokens(prompt), batch)
		keeps := spares && !pauses.Exceed(req.PauseObjective, s.ID, s.Incarnation, unread, batch)
		if all && !keeps {
			all, kept = false, append(make([]*Server, 0, len(eligible)), eligible[:i]...)
		}
		switch {
		case all:
		case keeps:
			kept = append(kept, s)
		case spares:
			sparing = append(sparing, s)
		}
	}
	if all {
		return eligible, PausesAlike
	}
	delay := func(s *Server) float64 {
		if d.knowsPrefix(req) {
			return d.firstEventWork(now, s, req, prompt)
		}
		return d.load(now, s, req)
	}
	best, _ := d.pickFirst(now, eligible, req)
	objective := tighter(req.PauseObjective, best.TightestPause())
	bound := delay(best) + maxDetour*objective.Seconds()*d.paces.PrefillRate(req.Group)/tokensPerRequest
	for _, servers := range [][]*Server{kept, sparing} {
		s, _ := d.pickFirst(now, servers, req)
		if s != nil && len(servers) < len(eligible) && delay(s) <= bound {
			return servers, PausesKept
		}
	}
	return eligible, PausesExceeded
}
