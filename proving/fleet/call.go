package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Spec is what a caller asks for.
type Spec struct {
	Account  id.Account // whose key is shown
	Artifact id.Artifact
	Service  id.Service
	Prompt   int // tokens
	Tokens   int // of the answer; also the limit that is asked for
	Limit    int // limit asked for, if it is not Tokens
	Class    config.Class
	Within   time.Duration // until the deadline
	Key      string        // idempotency key
	Body     string        // what tells two requests apart
	// Crashes says that each engine that begins to run it crashes.
	Crashes bool
}

// Call is one call as its caller sees it.
type Call struct {
	Spec
	Request  id.Request
	at       id.Instance
	Arrived  clock.Time
	Deadline clock.Time

	Whole    bool
	Replay   bool
	Refusal  *event.Refusal
	EndedAt  clock.Time
	lost     bool // its connection broke, as its instance was killed
	gone     bool // its caller hung up
	finals   int
	runs     int // begun at backend servers
	got      int // tokens that reached the caller
	firstRun clock.Time
	FirstAt  clock.Time // first token
}

// Final reports whether the caller has its final answer.
func (c *Call) Final() bool { return c.finals > 0 }

// Lost reports whether the connection broke because the instance ended.
func (c *Call) Lost() bool { return c.lost }

// Runs returns how often a backend server began to run it.
func (c *Call) Runs() int { return c.runs }

// Took returns the time to the final answer.
func (c *Call) Took() time.Duration { return c.EndedAt.Sub(c.Arrived) }

// KeyOf returns the digest of the key that the fleet gave an account.
func KeyOf(a id.Account) id.Digest {
	sum := sha256.Sum256([]byte("key of " + a))
	return id.Digest(hex.EncodeToString(sum[:]))
}

// Call makes a call at a node.
func (f *Fleet) Call(n *Node, s Spec) *Call {
	c := &Call{
		Spec: s, Request: id.Request(fmt.Sprintf("call-%d", len(f.Calls)+1)), at: n.ID,
		Arrived: f.now, Deadline: f.now.Add(s.Within),
	}
	f.Calls = append(f.Calls, c)
	f.byID[c.Request] = c
	if n.core == nil {
		c.lost = true
		return c
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(s.Artifact, s.Service, s.Body)))
	limit := s.Limit
	if limit == 0 {
		limit = s.Tokens
	}
	n.post(event.CallArrived{Call: event.Call{
		Request: c.Request, KeyDigest: KeyOf(s.Account), Artifact: s.Artifact, Service: s.Service, Class: s.Class,
		Deadline: n.clock().Add(s.Within), PromptTokens: s.Prompt, MaxOutputTokens: limit,
		BodyDigest: id.Digest(hex.EncodeToString(sum[:])), IdempotencyKey: s.Key,
	}})
	return c
}

// HangUp is a caller that closes its connection.
func (f *Fleet) HangUp(c *Call) {
	if c.Final() || c.lost {
		return
	}
	c.gone = true
	for _, n := range f.Nodes {
		if n.ID != c.at {
			continue
		}
		for _, r := range n.sortedRuns() {
			if r.call == c && c.Service == "" {
				r.stop()
				n.post(event.AttemptEnded{Request: c.Request, Attempt: r.attempt, Result: event.AttemptCancelled})
			}
		}
		n.post(event.CallerDisconnected{Request: c.Request})
	}
}

func (f *Fleet) final(c *Call) {
	c.finals++
	if c.finals == 1 {
		c.EndedAt = f.now
	}
}

func (f *Fleet) refused(e event.Refuse) { f.refuse(e.Request, e.Refusal) }

func (f *Fleet) refuse(r id.Request, refusal event.Refusal) {
	if c := f.byID[r]; c != nil {
		f.final(c)
		c.Refusal = &refusal
	}
}

func (f *Fleet) answered(e event.Answer) {
	if c := f.byID[e.Request]; c != nil {
		f.final(c)
		c.Whole, c.Replay = true, e.Replay
	}
}

// run is one attempt on a backend server.
type run struct {
	call    *Call
	attempt id.Attempt
	once    bool
	node    *Node
	owner   id.Instance // run of the node
	server  *Server
	held    *holding
	started clock.Time
	from    int // tokens that had reached the caller
	ended   bool
}

func (n *Node) sortedRuns() []*run {
	return slices.SortedFunc(maps.Values(n.attempts), func(a, b *run) int { return cmp.Compare(a.attempt, b.attempt) })
}

func (n *Node) dispatch(e event.Dispatch) {
	f := n.fleet
	c, s := f.byID[e.Request], f.server(e.Backend)
	if c == nil || s == nil {
		f.fault("%s dispatched %s to %s, which is not known", n.ID, e.Request, e.Backend)
		return
	}
	if e.Account != c.Account {
		f.fault("%s ran for account %s, its key is of %s", e.Request, e.Account, c.Account)
	}
	if c.Final() {
		f.fault("%s was dispatched after its final answer", e.Request)
	}
	if f.OnDispatch != nil {
		f.OnDispatch(n, c)
	}
	r := &run{call: c, attempt: e.Attempt, once: e.AtMostOnce, node: n, owner: n.ID, server: s}
	n.attempts[e.Attempt] = r
	f.after(f.jitter(toBackend), r.arrive)
	if e.Deadline != clock.Never {
		f.after(e.Deadline.Sub(n.clock()), r.expire)
	}
}

// arrive is the moment at which the request reaches the server.
func (r *run) arrive() {
	f, s := r.node.fleet, r.server
	switch {
	case r.ended:
		return
	case s.down:
		r.end(event.AttemptEnded{Result: event.AttemptNotSent})
		return
	case s.leaving:
		s.noteOffer()
		r.end(event.AttemptEnded{Result: event.AttemptRefused, Leaving: true})
		return
	}
	if r.call.Service != "" {
		r.serve()
		return
	}
	h := s.held[r.call.Artifact]
	if h == nil || h.state != message.Loaded {
		r.end(event.AttemptEnded{Result: event.AttemptRefused})
		return
	}
	r.begin()
	if s.RunsRefused {
		r.end(event.AttemptEnded{Result: event.AttemptRefused})
		return
	}
	s.noteIdleOf(h)
	r.held = h
	h.running++
	h.uses++
	s.runs[r] = true
	r.started, r.from = f.now, r.call.got
	if r.call.Crashes {
		s.Crash()
		return
	}
	f.after(f.TokenTime, r.first)
	f.after(time.Duration(r.call.Tokens-r.from)*f.TokenTime, r.whole)
}

func (r *run) begin() {
	f, c := r.node.fleet, r.call
	c.runs++
	if c.firstRun == 0 {
		c.firstRun = f.now
	}
	f.trace("%s runs %s", r.server.Name, r.attempt)
}

func (r *run) first() {
	if r.ended || r.node.ID != r.owner || r.node.core == nil {
		return
	}
	if r.call.FirstAt == 0 {
		r.call.FirstAt = r.node.fleet.now
	}
	r.call.got = max(r.call.got, r.from+1)
	r.node.post(event.AttemptStarted{Request: r.call.Request, Attempt: r.attempt})
}

func (r *run) whole() {
	if r.ended {
		return
	}
	c := r.call
	c.got = c.Tokens
	if !c.gone && !c.lost {
		r.node.fleet.final(c)
		c.Whole = true
	}
	r.end(event.AttemptEnded{Result: event.AttemptCompleted, ResponseStarted: true, GeneratedTokens: c.Tokens})
}

// serviceTime is how long a plain service takes.
const serviceTime = 20 * time.Millisecond

// serve runs a call of a plain service. It is run even if its caller, or the
// instance that sent it, is gone by then.
func (r *run) serve() {
	f, s := r.node.fleet, r.server
	r.begin()
	s.runs[r] = true
	f.after(f.jitter(serviceTime), func() {
		switch {
		case r.ended:
		case s.DieAfterRun > 0:
			s.DieAfterRun--
			s.Crash()
		case r.once:
			r.end(event.AttemptEnded{Result: event.AttemptCompleted, Status: 200, ContentType: "text/plain", Body: []byte(r.attempt)})
		default:
			f.final(r.call)
			r.call.Whole = true
			r.end(event.AttemptEnded{Result: event.AttemptCompleted, ResponseStarted: true})
		}
	})
}

// stop frees the server.
func (r *run) stop() {
	if r.ended {
		return
	}
	r.ended = true
	f, s := r.node.fleet, r.server
	delete(s.runs, r)
	delete(r.node.attempts, r.attempt)
	if h := r.held; h != nil && s.held[r.call.Artifact] == h {
		h.running--
		h.lastUse = f.now
		s.dropUnused(r.call.Artifact)
	}
}

// cancel ends the run without a word to the core.
func (r *run) cancel() { r.stop() }

func (r *run) end(e event.AttemptEnded) {
	r.stop()
	e.Request, e.Attempt = r.call.Request, r.attempt
	r.node.fleet.after(r.node.fleet.jitter(toBackend), func() { r.node.postTo(r.owner, e) })
}

// broken ends the run because its server failed.
func (r *run) broken(result event.AttemptResult) {
	c := r.call
	if c.Service == "" && r.held != nil {
		c.got = max(c.got, min(c.Tokens-1, r.from+int(r.node.fleet.now.Sub(r.started)/r.node.fleet.TokenTime)))
	}
	r.end(event.AttemptEnded{Result: result, ResponseStarted: c.got > 0})
}

// expire is the front's own end of an attempt at its deadline.
func (r *run) expire() {
	if r.ended {
		return
	}
	f := r.node.fleet
	if !r.once && r.node.ID == r.owner && r.node.core != nil {
		f.refuse(r.call.Request, event.Refusal{Reason: event.ReasonDeadline, Execution: event.MayHaveRun, RetryAfter: time.Second})
	}
	r.end(event.AttemptEnded{Result: event.AttemptCancelled, ResponseStarted: r.call.got > 0})
}

func (n *Node) cancel(e event.Cancel) {
	r := n.attempts[e.Attempt]
	if r == nil || r.call.Final() {
		return
	}
	n.fleet.refuse(e.Request, e.Refusal)
	r.end(event.AttemptEnded{Result: event.AttemptCancelled, ResponseStarted: r.call.got > 0})
}

// outcome answers a status call: only a run that was carried out is known.
func (n *Node) outcome(e event.QueryStatus) {
	f, run := n.fleet, n.ID
	c := f.byID[e.Request]
	f.after(f.jitter(2*toBackend), func() {
		told := event.StatusResult{Request: e.Request}
		for _, other := range f.Calls {
			if c != nil && other.Key == c.Key && other.Account == c.Account && other.runs > 0 {
				told.Known, told.Status, told.ContentType, told.Body = true, 200, "text/plain", []byte("asked")
			}
		}
		n.postTo(run, told)
	})
}

// ending shows how a call ended.
func (c *Call) ending() string {
	switch {
	case c.lost:
		return "a lost connection"
	case c.Refusal != nil:
		return fmt.Sprintf("refusal %s/%s after %s", c.Refusal.Reason, c.Refusal.Execution, c.Took())
	case c.Whole:
		return fmt.Sprintf("answer (replay %t) after %s", c.Replay, c.Took())
	}
	return "nothing"
}
