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

// Spec describes a call to make.
type Spec struct {
	Account         id.Account // whose key the caller presents
	Artifact        id.Artifact
	Service         id.Service
	PromptTokens    int
	OutputTokens    int // length of the response; also the requested limit, unless MaxOutputTokens is set
	MaxOutputTokens int // requested limit, if not 0
	Class           config.Class
	Timeout         time.Duration // time from arrival to the deadline
	IdempotencyKey  string
	Body            string // requests with equal bodies are the same request
	// CrashesEngine makes each engine crash that starts to run the call.
	CrashesEngine bool
}

// Call is a call as its caller sees it.
type Call struct {
	Spec
	Request  id.Request
	instance id.Instance
	Arrived  clock.Time
	Deadline clock.Time

	Completed       bool
	Replayed        bool
	Refusal         *event.Refusal
	EndedAt         clock.Time
	connectionLost  bool // the connection broke because the instance ended
	disconnected    bool // the caller closed the connection
	finalResponses  int
	runs            int // number of times that a backend server started to run it
	deliveredTokens int // number of tokens that reached the caller
	firstRunAt      clock.Time
	FirstTokenAt    clock.Time // when the first token reached the caller
}

// HasFinalResponse reports whether the caller received a final response.
func (c *Call) HasFinalResponse() bool { return c.finalResponses > 0 }

// ConnectionLost reports whether the connection broke because the instance
// ended.
func (c *Call) ConnectionLost() bool { return c.connectionLost }

// Runs returns how many times a backend server started to run the call.
func (c *Call) Runs() int { return c.runs }

// Latency returns the time from arrival to the final response.
func (c *Call) Latency() time.Duration { return c.EndedAt.Sub(c.Arrived) }

// KeyOf returns the digest of the key of an account.
func KeyOf(a id.Account) id.Digest {
	sum := sha256.Sum256([]byte("key of " + a))
	return id.Digest(hex.EncodeToString(sum[:]))
}

// Call makes a call at a node. If no instance runs there, the connection is lost
// at once.
func (f *Fleet) Call(n *Node, s Spec) *Call {
	c := &Call{
		Spec: s, Request: id.Request(fmt.Sprintf("call-%d", len(f.Calls)+1)), instance: n.ID,
		Arrived: f.now, Deadline: f.now.Add(s.Timeout),
	}
	f.Calls = append(f.Calls, c)
	f.callByID[c.Request] = c
	if n.core == nil {
		c.connectionLost = true
		return c
	}
	sum := sha256.Sum256([]byte(fmt.Sprint(s.Artifact, s.Service, s.Body)))
	limit := s.MaxOutputTokens
	if limit == 0 {
		limit = s.OutputTokens
	}
	n.post(event.CallArrived{Call: event.Call{
		Request: c.Request, KeyDigest: KeyOf(s.Account), Artifact: s.Artifact, Service: s.Service, Class: s.Class,
		Deadline: n.clock().Add(s.Timeout), PromptTokens: s.PromptTokens, MaxOutputTokens: limit,
		BodyDigest: id.Digest(hex.EncodeToString(sum[:])), IdempotencyKey: s.IdempotencyKey,
	}})
	return c
}

// Disconnect closes the connection of a caller.
func (f *Fleet) Disconnect(c *Call) {
	if c.HasFinalResponse() || c.connectionLost {
		return
	}
	c.disconnected = true
	for _, n := range f.Nodes {
		if n.ID != c.instance {
			continue
		}
		for _, r := range n.sortedAttempts() {
			if r.call == c && c.Service == "" {
				r.release()
				n.post(event.AttemptEnded{Request: c.Request, Attempt: r.id, Result: event.AttemptCancelled})
			}
		}
		n.post(event.CallerDisconnected{Request: c.Request})
	}
}

// recordFinalResponse counts a final response to a call; more than one is a
// violation.
func (f *Fleet) recordFinalResponse(c *Call) {
	c.finalResponses++
	if c.finalResponses == 1 {
		c.EndedAt = f.now
	}
}

func (f *Fleet) handleRefusal(e event.Refuse) { f.recordRefusal(e.Request, e.Refusal) }

func (f *Fleet) recordRefusal(r id.Request, refusal event.Refusal) {
	if c := f.callByID[r]; c != nil {
		f.recordFinalResponse(c)
		c.Refusal = &refusal
	}
}

func (f *Fleet) handleAnswer(e event.Answer) {
	if c := f.callByID[e.Request]; c != nil {
		f.recordFinalResponse(c)
		c.Completed, c.Replayed = true, e.Replay
	}
}

// attempt is one attempt to run a call on a backend server.
type attempt struct {
	call         *Call
	id           id.Attempt
	atMostOnce   bool
	node         *Node
	instance     id.Instance // instance that sent it; the node may run another one by now
	server       *Server
	artifact     *heldArtifact
	startedAt    clock.Time
	resumeOffset int // number of tokens that had reached the caller before
	ended        bool
}

func (n *Node) sortedAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(n.attempts), func(x, y *attempt) int { return cmp.Compare(x.id, y.id) })
}

func (n *Node) dispatch(e event.Dispatch) {
	f := n.fleet
	c, s := f.callByID[e.Request], f.serverNamed(e.Backend)
	if c == nil || s == nil {
		f.addViolation("%s dispatched %s to %s: unknown call or server", n.ID, e.Request, e.Backend)
		return
	}
	if e.Account != c.Account {
		f.addViolation("%s was dispatched for account %s, but its key belongs to %s", e.Request, e.Account, c.Account)
	}
	if c.HasFinalResponse() {
		f.addViolation("%s was dispatched after its final response", e.Request)
	}
	if f.OnDispatch != nil {
		f.OnDispatch(n, c)
	}
	r := &attempt{call: c, id: e.Attempt, atMostOnce: e.AtMostOnce, node: n, instance: n.ID, server: s}
	n.attempts[e.Attempt] = r
	f.schedule(f.jitter(backendLatency), r.arrive)
	if e.Deadline != clock.Never {
		f.schedule(e.Deadline.Sub(n.clock()), r.expire)
	}
}

// arrive handles the arrival of the request at the server.
func (r *attempt) arrive() {
	f, s := r.node.fleet, r.server
	switch {
	case r.ended:
		return
	case s.down:
		r.finish(event.AttemptEnded{Result: event.AttemptNotSent})
		return
	case s.leaving:
		s.recordOffer()
		r.finish(event.AttemptEnded{Result: event.AttemptRefused, Leaving: true})
		return
	}
	if r.call.Service != "" {
		r.runService()
		return
	}
	h := s.artifacts[r.call.Artifact]
	if h == nil || h.state != message.Loaded {
		r.finish(event.AttemptEnded{Result: event.AttemptRefused})
		return
	}
	r.recordStart()
	if s.ExecutesRefused {
		r.finish(event.AttemptEnded{Result: event.AttemptRefused})
		return
	}
	s.addIdleTime(h)
	r.artifact = h
	h.running++
	h.useCount++
	s.running[r] = true
	r.startedAt, r.resumeOffset = f.now, r.call.deliveredTokens
	if r.call.CrashesEngine {
		s.Crash()
		return
	}
	f.schedule(f.TokenTime, r.deliverFirstToken)
	f.schedule(time.Duration(r.call.OutputTokens-r.resumeOffset)*f.TokenTime, r.complete)
}

// recordStart records that the server starts to run the call.
func (r *attempt) recordStart() {
	f, c := r.node.fleet, r.call
	c.runs++
	if c.firstRunAt == 0 {
		c.firstRunAt = f.now
	}
	f.trace("%s runs %s", r.server.Name, r.id)
}

// deliverFirstToken delivers the first token of this attempt.
func (r *attempt) deliverFirstToken() {
	if r.ended || r.node.ID != r.instance || r.node.core == nil {
		return
	}
	if r.call.FirstTokenAt == 0 {
		r.call.FirstTokenAt = r.node.fleet.now
	}
	r.call.deliveredTokens = max(r.call.deliveredTokens, r.resumeOffset+1)
	r.node.post(event.AttemptStarted{Request: r.call.Request, Attempt: r.id})
}

// complete ends the attempt with the whole response.
func (r *attempt) complete() {
	if r.ended {
		return
	}
	c := r.call
	c.deliveredTokens = c.OutputTokens
	if !c.disconnected && !c.connectionLost {
		r.node.fleet.recordFinalResponse(c)
		c.Completed = true
	}
	r.finish(event.AttemptEnded{Result: event.AttemptCompleted, ResponseStarted: true, GeneratedTokens: c.OutputTokens})
}

// serviceTime is the time in which a plain service runs a call.
const serviceTime = 20 * time.Millisecond

// runService runs a call of a plain service. The call counts as run once it has
// started, and continues if its caller disconnects.
func (r *attempt) runService() {
	f, s := r.node.fleet, r.server
	r.recordStart()
	s.running[r] = true
	f.schedule(f.jitter(serviceTime), func() {
		switch {
		case r.ended:
		case s.CrashAfterRuns > 0:
			s.CrashAfterRuns--
			s.Crash()
		case r.atMostOnce:
			r.finish(event.AttemptEnded{Result: event.AttemptCompleted, Status: 200, ContentType: "text/plain", Body: []byte(r.id)})
		default:
			f.recordFinalResponse(r.call)
			r.call.Completed = true
			r.finish(event.AttemptEnded{Result: event.AttemptCompleted, ResponseStarted: true})
		}
	})
}

// release ends the attempt and frees its resources at the server.
func (r *attempt) release() {
	if r.ended {
		return
	}
	r.ended = true
	f, s := r.node.fleet, r.server
	delete(s.running, r)
	delete(r.node.attempts, r.id)
	if h := r.artifact; h != nil && s.artifacts[r.call.Artifact] == h {
		h.running--
		h.lastUsedAt = f.now
		s.freeIfUnused(r.call.Artifact)
	}
}

// abort ends the attempt without an event to the core.
func (r *attempt) abort() { r.release() }

// finish ends the attempt and posts the result to the instance that sent it.
func (r *attempt) finish(e event.AttemptEnded) {
	r.release()
	e.Request, e.Attempt = r.call.Request, r.id
	r.node.fleet.schedule(r.node.fleet.jitter(backendLatency), func() { r.node.postToRun(r.instance, e) })
}

// fail ends the attempt because its server failed.
func (r *attempt) fail(result event.AttemptResult) {
	c := r.call
	if c.Service == "" && r.artifact != nil {
		c.deliveredTokens = max(c.deliveredTokens, min(c.OutputTokens-1, r.resumeOffset+int(r.node.fleet.now.Sub(r.startedAt)/r.node.fleet.TokenTime)))
	}
	r.finish(event.AttemptEnded{Result: result, ResponseStarted: c.deliveredTokens > 0})
}

// expire ends the attempt at its deadline, as the front does without the core.
func (r *attempt) expire() {
	if r.ended {
		return
	}
	f := r.node.fleet
	if !r.atMostOnce && r.node.ID == r.instance && r.node.core != nil {
		f.recordRefusal(r.call.Request, event.Refusal{Reason: event.ReasonDeadline, Execution: event.MayHaveRun, RetryAfter: time.Second})
	}
	r.finish(event.AttemptEnded{Result: event.AttemptCancelled, ResponseStarted: r.call.deliveredTokens > 0})
}

// cancelAttempt ends an attempt at the request of the core and refuses its call.
func (n *Node) cancelAttempt(e event.Cancel) {
	r := n.attempts[e.Attempt]
	if r == nil || r.call.HasFinalResponse() {
		return
	}
	n.fleet.recordRefusal(e.Request, e.Refusal)
	r.finish(event.AttemptEnded{Result: event.AttemptCancelled, ResponseStarted: r.call.deliveredTokens > 0})
}

// queryStatus answers a status query. The service knows a call only if it
// started to run it.
func (n *Node) queryStatus(e event.QueryStatus) {
	f, instanceID := n.fleet, n.ID
	c := f.callByID[e.Request]
	f.schedule(f.jitter(2*backendLatency), func() {
		result := event.StatusResult{Request: e.Request}
		for _, other := range f.Calls {
			if c != nil && other.IdempotencyKey == c.IdempotencyKey && other.Account == c.Account && other.runs > 0 {
				result.Known, result.Status, result.ContentType, result.Body = true, 200, "text/plain", []byte("asked")
			}
		}
		n.postToRun(instanceID, result)
	})
}

// describeResult describes how the call ended, for messages of checks.
func (c *Call) describeResult() string {
	switch {
	case c.connectionLost:
		return "lost connection"
	case c.Refusal != nil:
		return fmt.Sprintf("refusal %s/%s after %s", c.Refusal.Reason, c.Refusal.Execution, c.Latency())
	case c.Completed:
		return fmt.Sprintf("response (replayed: %t) after %s", c.Replayed, c.Latency())
	}
	return "no response"
}
