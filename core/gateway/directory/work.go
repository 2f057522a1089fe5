package directory

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/pace"
)

const (
	// tokensPerRequest is the number of prompt tokens that delay the other requests of an
	// engine as much as one running request does. A prompt of that size takes about
	// 26 ms of the engine, the share of a request with 40 events in steps of 5 ms that
	// eight requests use together.
	tokensPerRequest = 1000
	// longPrompt is the number of prompt tokens from which the prefill of a prompt is
	// noticed by the streams on the same engine: it takes them 100 ms or more.
	longPrompt = 4000
	// maxPrefill bounds the time for which the prefill of another instance's request is
	// counted.
	maxPrefill = 5 * time.Second
	// maxPrefills bounds the prefills counted on one server, maxPromptTokens the tokens
	// counted of one: other instances name them.
	maxPrefills, maxPromptTokens = 256, 1 << 20
)

// prefill is a prompt that a server still reads.
type prefill struct {
	number uint64 // 0: of another instance
	tokens int
	until  clock.Time // estimated end; Never for a request of this instance, whose first event is known
}

// Prefill identifies the prefill of a request of this instance. The zero value is none.
type Prefill struct {
	server      string
	incarnation int64
	number      uint64
}

// SetLoadScheduling sets whether the load of a server is measured as work, in requests,
// with the prompts that it still reads and its pace, instead of the number of requests.
func (d *Directory) SetLoadScheduling(on bool) {
	if on == d.loadScheduling {
		return
	}
	d.loadScheduling, d.paces = on, pace.New()
	for _, s := range d.servers {
		s.prefills, s.prefixes, s.reads, s.nextRead, s.streams, s.tightest = nil, nil, nil, 0, nil, 0
	}
}

// StartPrefill counts the prompt of a request of this instance until EndPrefill. It takes the
// pause objective of the request, 0 if it has none.
func (d *Directory) StartPrefill(now clock.Time, id string, tokens int, pauseObjective time.Duration) Prefill {
	s := d.servers[id]
	if !d.loadScheduling || s == nil {
		return Prefill{}
	}
	s.startStream(pauseObjective)
	if tokens <= 0 {
		return Prefill{}
	}
	d.lastPrefill++
	if !s.addPrefill(now, prefill{number: d.lastPrefill, tokens: tokens, until: clock.Never}) {
		return Prefill{}
	}
	return Prefill{server: id, incarnation: s.Incarnation, number: d.lastPrefill}
}

// EndPrefill ends the count of a prompt: its request has its first event, or has ended.
func (d *Directory) EndPrefill(p Prefill) {
	if s := d.servers[p.server]; p.number != 0 && s != nil && s.Incarnation == p.incarnation {
		s.prefills = slices.DeleteFunc(s.prefills, func(f prefill) bool { return f.number == p.number })
	}
}

// GrantPeerPrefill counts the prompt of a request that another instance is about to send
// to a server, for as long as the server is expected to read it. A server reads prompts
// one after another. It takes the pause objective of the request, 0 if it has none.
func (d *Directory) GrantPeerPrefill(now clock.Time, id string, tokens int, pauseObjective time.Duration) {
	s := d.servers[id]
	if !d.loadScheduling || s == nil {
		return
	}
	s.startStream(pauseObjective)
	if tokens <= 0 {
		return
	}
	tokens = min(tokens, maxPromptTokens)
	from := now
	for _, f := range s.prefills {
		if f.until != clock.Never {
			from = max(from, f.until)
		}
	}
	took := time.Duration(float64(tokens) / d.paces.PrefillRate(s.Group) * d.PaceFactor(now, s) * float64(time.Second))
	s.addPrefill(now, prefill{tokens: tokens, until: min(from.Add(took), now.Add(maxPrefill))})
}

// addPrefill counts a prefill. It reports false if too many are counted already.
func (s *Server) addPrefill(now clock.Time, p prefill) bool {
	s.prefills = slices.DeleteFunc(s.prefills, func(f prefill) bool { return now.Reached(f.until) })
	if len(s.prefills) >= maxPrefills {
		return false
	}
	s.prefills = append(s.prefills, p)
	s.recordRead(now, p.tokens)
	return true
}

// prefillTokens returns the prompt tokens that the server still reads.
func (s *Server) prefillTokens(now clock.Time) int {
	n := 0
	for _, f := range s.prefills {
		if now.Before(f.until) {
			n += f.tokens
		}
	}
	return n
}

// readsLongPrompt reports whether the server reads a long prompt.
func (s *Server) readsLongPrompt(now clock.Time) bool {
	return slices.ContainsFunc(s.prefills, func(f prefill) bool { return f.tokens >= longPrompt && now.Before(f.until) })
}

// Work returns the work of the requests of all instances on the server, in requests.
func (s *Server) Work(now clock.Time) float64 {
	return float64(s.Running()) + float64(s.prefillTokens(now))/tokensPerRequest
}

// RecordRun records how long a server took for a request of any instance.
func (d *Directory) RecordRun(now clock.Time, id string, incarnation int64, r pace.Run) {
	if s := d.servers[id]; d.loadScheduling && s != nil && s.Incarnation == incarnation {
		d.measurePause(now, s, &r)
		d.paces.Record(now, s.Group, id, incarnation, r)
	}
}

// PaceFactor returns how many times as long as its group a server takes for a request; 1
// if load scheduling is off.
func (d *Directory) PaceFactor(now clock.Time, s *Server) float64 {
	if !d.loadScheduling {
		return 1
	}
	return d.paces.Factor(now, s.ID, s.Incarnation)
}

// PaceChanges returns the factors of servers that others have to be told.
func (d *Directory) PaceChanges(now clock.Time) []pace.Told {
	if !d.loadScheduling {
		return nil
	}
	return d.paces.Changes(now, d.IDs())
}

// LearnPace records a factor that the dispatcher told.
func (d *Directory) LearnPace(now clock.Time, t pace.Told) {
	if s := d.servers[t.Server]; d.loadScheduling && s != nil && s.Incarnation == t.Incarnation {
		d.paces.Learn(now, t)
	}
}

// ExpirePaces forgets paces without recent evidence.
func (d *Directory) ExpirePaces(now clock.Time) { d.paces.Expire(now) }

// avoidLongPrefills returns the servers that read no long prompt, or all if all do, for a
// request with a short prompt. Its first event and its pauses would be those of the
// prefill.
func (d *Directory) avoidLongPrefills(now clock.Time, eligible []*Server, req Requirements) []*Server {
	if !d.loadScheduling || req.PromptTokens >= longPrompt {
		return eligible
	}
	reads := func(s *Server) bool { return s.readsLongPrompt(now) }
	if !slices.ContainsFunc(eligible, reads) {
		return eligible
	}
	free := slices.DeleteFunc(slices.Clone(eligible), reads)
	if len(free) == 0 {
		return eligible
	}
	return free
}

// load returns the load of a server as a request would find it: the number of requests or,
// with load scheduling, the work, and a penalty if the server is in another zone. On a
// slower server the request's own work also counts more, so that an idle slow server
// compares with a busy fast one.
func (d *Directory) load(now clock.Time, s *Server, req Requirements) float64 {
	load := float64(s.Running())
	if d.loadScheduling {
		own := 1 + float64(req.PromptTokens)/tokensPerRequest
		load = (s.Work(now)+own)*d.PaceFactor(now, s) - own
	}
	if s.Zone != req.Zone {
		load += crossZonePenalty
	}
	return load
}
