package gateway

import (
	"math"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/gateway/reservation"
)

// dispatchMsg reports the sender's running requests to the dispatcher.
type dispatchMsg struct {
	_            struct{} `cbor:",toarray"`
	From         string
	Incarnation  uint64
	Sequence     uint64
	Running      map[string]map[string]int // by backend server and model
	OpenQueries  []uint64                  // numbers of unanswered dispatch requests
	Query        *queryMsg                 // optional dispatch request
	Ended        *endedRequestMsg          // optional end of a request
	Model        string                    // model of Query
	ArrivalCount uint64                    // requests for Model since the process started
}

// queryMsg asks the dispatcher for a backend server.
type queryMsg struct {
	_              struct{} `cbor:",toarray"`
	Number         uint64
	Group          string
	Model          string
	Adapter        string
	Affinity       uint64
	Zone           string
	Exclude        []string
	Priority       int
	MaxWaitMS      int64
	AllowedRegions regions.Set
}

// dispatchDetailMsg goes with a dispatchMsg if load scheduling is on. Unlike that message it
// is a map, so that earlier versions skip what they do not know.
type dispatchDetailMsg struct {
	Account           string `cbor:"1,keyasint,omitempty"`
	DueMS             int64  `cbor:"2,keyasint,omitempty"`
	PromptTokens      int    `cbor:"3,keyasint,omitempty"`
	TotalTokens       int    `cbor:"4,keyasint,omitempty"`
	Digest            uint64 `cbor:"5,keyasint,omitempty"`
	FirstEventMS      int64  `cbor:"6,keyasint,omitempty"`
	RunMS             int64  `cbor:"8,keyasint,omitempty"`
	EndedPromptTokens int    `cbor:"9,keyasint,omitempty"`
	EndedWorkTenths   int    `cbor:"10,keyasint,omitempty"` // load of the server when it was chosen
	EndedPauseMS      int64  `cbor:"11,keyasint,omitempty"` // longest pause of the ended stream, at least 1; 0: unknown
	PauseObjectiveMS  int64  `cbor:"12,keyasint,omitempty"` // of the query; 0: none, or unknown
	SharedTokens      int    `cbor:"13,keyasint,omitempty"` // of the prompt, that the affinity stands for
}

// newDispatchDetail returns what goes with a message to the dispatcher; nil if nothing does.
func newDispatchDetail(m dispatch.Message) *dispatchDetailMsg {
	var d dispatchDetailMsg
	if m.Query != nil && m.Query.Detail != nil {
		q := m.Query.Detail
		d.Account, d.DueMS, d.PromptTokens, d.TotalTokens, d.Digest = q.Account, q.Due.Milliseconds(), q.PromptTokens, q.TotalTokens, q.Digest
		d.PauseObjectiveMS = m.Query.Requirements.PauseObjective.Milliseconds()
		d.SharedTokens = m.Query.Requirements.SharedTokens
	}
	if m.Ended != nil && m.Ended.Timing != nil {
		t := m.Ended.Timing
		d.FirstEventMS, d.RunMS, d.EndedPromptTokens = t.FirstEvent.Milliseconds(), t.Run.Milliseconds(), t.PromptTokens
		d.EndedWorkTenths = int(math.Round(10 * t.Work))
		if t.LongestPause > 0 {
			d.EndedPauseMS = max(1, t.LongestPause.Milliseconds())
		}
	}
	if d == (dispatchDetailMsg{}) {
		return nil
	}
	return &d
}

// apply adds the detail to a decoded message. A query without a detail comes from an instance
// without load scheduling.
func (d *dispatchDetailMsg) apply(m *dispatch.Message) {
	if d == nil {
		return
	}
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	if m.Query != nil {
		m.Query.Detail = &dispatch.QueryDetail{
			Account: d.Account, Due: ms(d.DueMS), PromptTokens: max(0, d.PromptTokens), TotalTokens: max(0, d.TotalTokens), Digest: d.Digest,
		}
		n := &m.Query.Requirements
		n.PromptTokens, n.SharedTokens, n.PauseObjective = m.Query.Detail.PromptTokens, max(0, d.SharedTokens), max(0, ms(d.PauseObjectiveMS))
	}
	if m.Ended != nil && d.RunMS > 0 {
		m.Ended.Timing = &dispatch.RunTiming{
			PromptTokens: max(0, d.EndedPromptTokens), FirstEvent: ms(d.FirstEventMS), Run: ms(d.RunMS),
			Work: max(0, float64(d.EndedWorkTenths)/10), LongestPause: ms(min(max(0, d.EndedPauseMS), d.RunMS)),
		}
	}
}

// endedRequestMsg reports how a request ended at a backend server.
type endedRequestMsg struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64
	Outcome     directory.Outcome
	Unreachable bool
}

// choiceMsg answers a queryMsg.
type choiceMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64 // of the asking instance
	Number      uint64
	Decision    dispatch.Decision
	Server      *serverMsg // with its info, in case the receiver does not know it yet
	Candidates  int
	Reason      directory.Reason
	Load        float64
	NextLoad    float64
}

// choiceDetailMsg goes with a choiceMsg if there is more to say.
type choiceDetailMsg struct {
	// Feedback is what the dispatcher knows the chosen server to have said of itself.
	Feedback *serverFeedbackMsg `cbor:"1,keyasint,omitempty"`
	// RetryAfterMS is when a refused request can be served; 0: unknown.
	RetryAfterMS int64 `cbor:"2,keyasint,omitempty"`
	// Overflow replaces the Reason of the choiceMsg by directory.ByOverflow, which earlier
	// versions do not know.
	Overflow bool `cbor:"3,keyasint,omitempty"`
	// NoSlot says that RetryAfterMS is when a slot is expected, and not when the rate limits
	// of servers allow the request.
	NoSlot bool `cbor:"4,keyasint,omitempty"`
	// PaceThousandths and WorkTenths are the pace factor and the work of the chosen server,
	// with load scheduling.
	PaceThousandths int `cbor:"8,keyasint,omitempty"`
	WorkTenths      int `cbor:"9,keyasint,omitempty"`
	// Returned says whether the caller had been told when to return; 0: not known.
	Returned reservation.Status `cbor:"10,keyasint,omitempty"`
	// CachedTokens is the part of the prompt that the server is expected to have in its cache.
	CachedTokens int `cbor:"11,keyasint,omitempty"`
}

// encodeDispatch converts a message to the dispatcher to its wire form. The caller
// holds mu.
func (g *Gateway) encodeDispatch(m dispatch.Message) *dispatchMsg {
	w := &dispatchMsg{From: m.From, Incarnation: m.Incarnation, Sequence: m.Sequence, Running: m.Running, OpenQueries: m.OpenQueries}
	if q := m.Query; q != nil {
		n := q.Requirements
		w.Query = &queryMsg{
			Number: q.Number, Group: n.Group, Model: n.Model, Adapter: n.Adapter, Affinity: n.Affinity, Zone: n.Zone,
			Exclude: sortedNames(n.Exclude), Priority: q.Priority, MaxWaitMS: q.MaxWait.Milliseconds(), AllowedRegions: n.AllowedRegions,
		}
		w.Model, w.ArrivalCount = n.Model, g.arrivalCounts[n.Model].count
	}
	if e := m.Ended; e != nil {
		w.Ended = &endedRequestMsg{Server: e.Server, Incarnation: e.Incarnation, Outcome: e.Outcome, Unreachable: e.Unreachable}
	}
	return w
}

// decode is the inverse of encodeDispatch.
func (w *dispatchMsg) decode() dispatch.Message {
	m := dispatch.Message{From: w.From, Incarnation: w.Incarnation, Sequence: w.Sequence, Running: w.Running, OpenQueries: w.OpenQueries}
	if q := w.Query; q != nil {
		need := directory.Requirements{
			Group: q.Group, Model: q.Model, Adapter: q.Adapter, Affinity: q.Affinity, Zone: q.Zone, AllowedRegions: q.AllowedRegions,
			Exclude: make(map[string]bool, len(q.Exclude)),
		}
		for _, id := range q.Exclude {
			need.Exclude[id] = true
		}
		m.Query = &dispatch.Query{
			Number: q.Number, Requirements: need, Priority: q.Priority, MaxWait: time.Duration(q.MaxWaitMS) * time.Millisecond,
		}
	}
	if e := w.Ended; e != nil {
		m.Ended = &dispatch.EndedRequest{Server: e.Server, Incarnation: e.Incarnation, Outcome: e.Outcome, Unreachable: e.Unreachable}
	}
	return m
}

// encodeChoice converts a reply of the dispatcher to its wire form.
func (g *Gateway) encodeChoice(now clock.Time, r dispatch.Reply) *choiceMsg {
	c := &choiceMsg{
		From: g.settings.Name, Incarnation: r.Incarnation, Number: r.Number, Decision: r.Decision,
		Candidates: r.Choice.Candidates, Reason: r.Choice.Reason, Load: r.Choice.Load, NextLoad: r.Choice.NextLoad,
	}
	if c.Reason == directory.ByOverflow {
		c.Reason = directory.ByLoad // see choiceDetailMsg.Overflow
	}
	if s := r.Choice.Server; s != nil {
		c.Server = &serverMsg{Server: s.ID, Incarnation: s.Incarnation, Info: serverInfo(now, s), software: &s.Software}
	}
	return c
}

// encodeChoiceDetail returns what goes with the wire form of a reply; nil if nothing does.
func (g *Gateway) encodeChoiceDetail(now clock.Time, r dispatch.Reply) *choiceDetailMsg {
	detail := choiceDetailMsg{RetryAfterMS: r.RetryAfter.Milliseconds(), Overflow: r.Choice.Reason == directory.ByOverflow, NoSlot: r.NoSlot, Returned: r.Returned}
	if s := r.Choice.Server; s != nil {
		detail.Feedback = g.knownFeedback(now, s)
		detail.PaceThousandths, detail.WorkTenths = int(math.Round(1000*r.Choice.PaceFactor)), int(math.Round(10*r.Choice.Work))
		detail.CachedTokens = r.Choice.CachedTokens
	}
	if detail == (choiceDetailMsg{}) {
		return nil
	}
	return &detail
}

// knownStatus returns a status that another instance named, and that of a new request if this
// version does not know it.
func knownStatus(s reservation.Status) reservation.Status {
	if s < reservation.New || s > reservation.Deferred {
		return reservation.New
	}
	return s
}

// handleDispatchMsg handles a message to the dispatcher. The caller holds mu.
func (g *Gateway) handleDispatchMsg(now clock.Time, w *dispatchMsg, detail *dispatchDetailMsg, software *string) []outgoing {
	if w.Model != "" {
		g.addArrivals(now, g.peerStateOf(w.From, w.Incarnation), w.Model, w.ArrivalCount)
	}
	m := w.decode()
	detail.apply(&m)
	if m.Query != nil {
		m.Query.Requirements.Origin = originOf(software)
	}
	return g.handleDispatch(now, m)
}

// handleChoiceMsg handles a reply of the dispatcher. If this instance knows that the
// chosen server drains or is gone, or that it said something that the dispatcher does not
// know, the request chooses a server locally. A dispatcher that does not know the end of a limit
// is told of it. The caller holds mu.
func (g *Gateway) handleChoiceMsg(now clock.Time, w *choiceMsg, detail *choiceDetailMsg) []outgoing {
	if w.Incarnation != g.incarnation {
		return nil
	}
	if detail == nil {
		detail = &choiceDetailMsg{}
	}
	r := dispatch.Reply{
		Number: w.Number, Decision: w.Decision, RetryAfter: time.Duration(detail.RetryAfterMS) * time.Millisecond, NoSlot: detail.NoSlot, Returned: knownStatus(detail.Returned),
		Choice: directory.Choice{
			Candidates: w.Candidates, Reason: w.Reason, Load: w.Load, NextLoad: w.NextLoad,
		},
	}
	if g.loadScheduling {
		r.Choice.PaceFactor, r.Choice.Work = float64(detail.PaceThousandths)/1000, float64(max(0, detail.WorkTenths))/10
		r.Choice.CachedTokens = max(0, detail.CachedTokens)
	}
	if detail.Overflow {
		r.Choice.Reason = directory.ByOverflow
	}
	var out []outgoing
	if r.Decision == dispatch.Granted && w.Server != nil {
		g.applyServer(now, *w.Server)
		g.handleServerFeedback(now, detail.Feedback)
		r.Choice.Server = g.servers.Get(w.Server.Server)
		if s := r.Choice.Server; s != nil && !g.informed(now, s, detail.Feedback) {
			out = g.feedbackTo(w.From, g.knownFeedback(now, s))
			g.metrics.uninformedChoices.Inc()
			r.Decision = dispatch.NoCandidate
		} else if s != nil && s.LimitEnded(detail.Feedback.limit(now)) {
			out = g.feedbackTo(w.From, g.knownFeedback(now, s))
		}
	}
	if s := r.Choice.Server; r.Decision == dispatch.Granted && (s == nil || s.Incarnation != w.Server.Incarnation || !s.Usable(now)) {
		r.Decision = dispatch.NoCandidate
	}
	g.handleChoice(now, w.From, r)
	return out
}
