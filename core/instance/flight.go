package instance

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rate"
	"oleanderdale.org/core/process/session"
	"oleanderdale.org/core/process/suspect"
	"oleanderdale.org/core/request/once"
	"oleanderdale.org/core/request/queue"
	"oleanderdale.org/core/request/turn"
)

// maxAttempts bounds how often one request is sent to backend servers. Each
// attempt that failed after sending costs a server its time.
const maxAttempts = 4

// backLater is when a caller may come back after a passing trouble.
const backLater = time.Second

// stage is how far a request came.
type stage int

const (
	atRate   stage = iota // waits for tokens
	atTurn                // waits for a turn at a backend server
	atOnce                // its record is being written to the table
	atServer              // sent to a backend server
)

// flight is one accepted request that has no final answer yet.
type flight struct {
	call     event.Call
	account  id.Account
	class    config.Class
	once     bool
	cost     float64 // tokens charged
	paid     bool
	alone    bool
	stage    stage
	tries    int
	ran      bool // an attempt may have been run by a server
	answered bool // a part of the answer reached the caller
	attempt  id.Attempt
	backend  id.Backend
	address  string
	sentAt   clock.Time
	crowd    bool // other requests of this instance ran on the server
	avoid    []id.Backend
	gone     bool // the caller has gone
}

// arrive admits or refuses a call.
func (i *Instance) arrive(now clock.Time, c event.Call) {
	if i.cfg == nil || i.stop.closed {
		i.refuseCall(c.Request, event.Refusal{Reason: event.ReasonStopping, Ran: event.NotRun, RetryAfter: backLater, Detail: "this instance takes no calls; another one will"})
		return
	}
	f, refusal := i.admit(now, c)
	if refusal != nil {
		i.refuseCall(c.Request, *refusal)
		return
	}
	i.flights[c.Request] = f
	i.rates.Ask(now, c.Request, f.account, f.cost, c.Deadline, &i.out)
}

// admit checks a call against the configuration.
func (i *Instance) admit(now clock.Time, c event.Call) (*flight, *event.Refusal) {
	key, ok := i.cfg.Keys[c.KeyDigest]
	if !ok {
		return nil, notRun(event.ReasonKey, 0, "")
	}
	f := &flight{call: c, account: key.Account}
	account := i.cfg.Accounts[key.Account]
	if r := i.admitTarget(f); r != nil {
		return nil, r
	}
	if account.ServeFor > 0 && i.follower.HeardAge(now) > account.ServeFor {
		return nil, notRun(event.ReasonIsolated, backLater, "")
	}
	if now.Reached(c.Deadline) {
		return nil, notRun(event.ReasonDeadline, 0, "the deadline had passed when the call arrived")
	}
	if f.once && i.tableSilent(now) {
		return nil, notRun(event.ReasonTable, backLater, "the call can't be recorded now, so it was not sent")
	}
	f.class = lessUrgent(account.Class, c.Class)
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		return nil, notRun(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
	}
	f.alone = v.Kind == suspect.Alone
	return f, nil
}

// tableSilent reports whether the table has not answered for a whole term of
// the lease, within which it is asked several times. A call that needs it would
// wait for operations that time out one after the other, and be refused only
// then; its caller could have gone elsewhere long before.
func (i *Instance) tableSilent(now clock.Time) bool {
	return i.lease.TableAge(now) > cmp.Or(i.set.LeaseTerm, session.DefaultTerm)
}

// admitTarget checks what is called and sets the cost.
func (i *Instance) admitTarget(f *flight) *event.Refusal {
	if f.call.Service != "" {
		return i.admitService(f)
	}
	a, ok := i.cfg.Artifacts[f.call.Artifact]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.Approved(f.account, a.Name) {
		return notRun(event.ReasonApproval, 0, "")
	}
	limit := a.MaxTokens
	if f.call.AnswerTokens > 0 {
		limit = min(limit, f.call.AnswerTokens)
	}
	f.cost = float64(f.call.PromptTokens + limit)
	return nil
}

func (i *Instance) admitService(f *flight) *event.Refusal {
	s, ok := i.cfg.Services[f.call.Service]
	if !ok {
		return notRun(event.ReasonNoTarget, 0, "")
	}
	if !i.cfg.ApprovedService(f.account, s.Name) {
		return notRun(event.ReasonApproval, 0, "")
	}
	f.once = !s.Repeatable
	if f.once && f.call.IdempotencyKey == "" {
		return notRun(event.ReasonKeyMissing, 0, "calls of this service run at most once; send an Idempotency-Key")
	}
	f.cost = float64(s.Tokens)
	return nil
}

func (i *Instance) digest(f *flight) id.Digest { return suspect.Digest(f.account, f.call.BodyDigest) }

var urgency = map[config.Class]int{config.Urgent: 0, config.Interactive: 1, config.Batch: 2}

// lessUrgent keeps a caller from putting itself before others: it may ask for
// less urgency than its account has, not for more.
func lessUrgent(account, asked config.Class) config.Class {
	if asked == "" || urgency[asked] < urgency[account] {
		return account
	}
	return asked
}

func notRun(r event.Reason, after time.Duration, detail string) *event.Refusal {
	return &event.Refusal{Reason: r, Ran: event.NotRun, RetryAfter: after, Detail: detail}
}

// refusal builds a refusal that says truly whether the request may have run.
func (f *flight) refusal(r event.Reason, after time.Duration, detail string) event.Refusal {
	ran := event.NotRun
	if f.ran {
		ran = event.RanUnknown
	}
	return event.Refusal{Reason: r, Ran: ran, RetryAfter: after, Detail: detail}
}

// passing are the reasons that go away by themselves. A caller that is not told
// when to come back takes the refusal as lasting, and gives up.
var passing = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTable: true,
	event.ReasonRunning: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonBroken: true,
}

func (i *Instance) refuseCall(r id.Request, refusal event.Refusal) {
	if refusal.RetryAfter == 0 && passing[refusal.Reason] {
		refusal.RetryAfter = backLater
	}
	i.effects = append(i.effects, event.Refuse{Request: r, Refusal: refusal})
}

// rateDecided takes the answer of the rate machine.
func (i *Instance) rateDecided(now clock.Time, d rate.Decision) {
	f := i.flights[d.Request]
	if f == nil || f.stage != atRate {
		return
	}
	if !d.Granted {
		i.end(now, f, rateRefusal(f, d))
		return
	}
	f.paid = true
	i.askTurn(now, f)
}

// rateRefusal words the refusal of the rate machine.
func rateRefusal(f *flight, d rate.Decision) event.Refusal {
	switch d.Reason {
	case rate.ReasonTooLarge:
		return f.refusal(event.ReasonRate, 0, "the call can cost more tokens than the account's burst; ask for a shorter answer")
	case rate.ReasonLease:
		return f.refusal(event.ReasonStopping, backLater, "this instance may not spend the account's tokens now; another one can")
	}
	return f.refusal(event.ReasonRate, d.RetryAfter, "")
}

// askTurn asks for a turn at a backend server.
func (i *Instance) askTurn(now clock.Time, f *flight) {
	f.stage = atTurn
	i.turns.Request(now, turn.Ask{
		Call: f.call, Account: f.account, Class: f.class, Cost: int(f.cost),
		Alone: f.alone, Avoid: i.toAvoid(f), Ran: f.ran,
	}, &i.out)
}

// toAvoid returns the servers that a request failed on, if another one has its
// target. Where there is a single replica, a request that avoids its server for
// good waits out its deadline while the server is back and serves the others.
// Until then the server is kept out as down, which the failure showed.
func (i *Instance) toAvoid(f *flight) []id.Backend {
	if len(f.avoid) == 0 {
		return nil
	}
	view := servers{i}
	replicas := view.Servers(f.call.Service)
	if f.call.Service == "" {
		replicas = view.Snapshot(f.call.Artifact)
	}
	for _, r := range replicas {
		if !r.Down && !r.Leaving && r.State != queue.Cold && !slices.Contains(f.avoid, r.Backend) {
			return f.avoid
		}
	}
	return nil
}

// turnDecided takes a turn or a refusal of one.
func (i *Instance) turnDecided(now clock.Time, d turn.Decision) {
	f := i.flights[d.Request]
	if f == nil || f.stage != atTurn {
		return
	}
	if d.Refused != nil {
		i.end(now, f, *d.Refused)
		return
	}
	f.backend, f.address = d.Granted.Backend, d.Granted.Address
	i.attempts++
	f.attempt = id.Attempt(fmt.Sprintf("%s/%d", i.set.Instance, i.attempts))
	if f.once {
		f.stage = atOnce
		i.once.Begin(now, once.Call{
			Request: f.call.Request, Account: f.account, Key: f.call.IdempotencyKey,
			Digest: f.call.BodyDigest, Attempt: f.attempt, Deadline: f.call.Deadline,
			StatusCall: i.cfg.Services[f.call.Service].StatusPath != "",
		}, &i.out)
		return
	}
	i.dispatch(now, f)
}

// dispatch sends a request to the backend server that it has a turn at. What
// admitted it may have changed while it waited, so that is checked again.
func (i *Instance) dispatch(now clock.Time, f *flight) {
	if r := i.recheck(now, f); r != nil {
		i.end(now, f, *r)
		return
	}
	if i.askAlone(now, f) {
		return
	}
	f.stage, f.sentAt = atServer, now
	f.tries++
	f.crowd = i.running[f.backend] > 0
	i.running[f.backend]++
	i.effects = append(i.effects, event.Dispatch{
		Request: f.call.Request, Attempt: f.attempt, Backend: f.backend, Address: f.address,
		Account: f.account, Once: f.once, Deadline: f.call.Deadline,
	})
}

// recheck reports why a waiting request may not be sent any more, nil if it may.
func (i *Instance) recheck(now clock.Time, f *flight) *event.Refusal {
	if r := i.withdrawn(f); r != nil {
		return r
	}
	if now.Reached(f.call.Deadline) {
		r := f.refusal(event.ReasonDeadline, backLater, "")
		return &r
	}
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		r := f.refusal(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it")
		return &r
	}
	return nil
}

// askAlone gives back the turn of a request that became a suspect while it
// waited, and asks for one away from others' work. It reports whether it did.
func (i *Instance) askAlone(now clock.Time, f *flight) bool {
	if f.alone || i.suspects.Check(now, i.digest(f)).Kind != suspect.Alone {
		return false
	}
	if f.once {
		i.once.Abandon(now, f.call.Request, &i.out)
	}
	f.alone = true
	i.askTurn(now, f)
	return true
}

// withdrawn reports why a request has lost its right, nil if it has not.
func (i *Instance) withdrawn(f *flight) *event.Refusal {
	key, ok := i.cfg.Keys[f.call.KeyDigest]
	if !ok || key.Account != f.account {
		r := f.refusal(event.ReasonKey, 0, "the key was withdrawn")
		return &r
	}
	approved := i.cfg.ApprovedService(f.account, f.call.Service)
	if f.call.Service == "" {
		approved = i.cfg.Approved(f.account, f.call.Artifact)
	}
	if !approved {
		r := f.refusal(event.ReasonApproval, 0, "the approval was withdrawn")
		return &r
	}
	return nil
}

// recheckAll ends the calls whose key or approval a new configuration
// withdraws. A non-idempotent order that was sent runs to its end, since
// breaking it off would only lose its outcome.
func (i *Instance) recheckAll(now clock.Time) {
	for _, f := range i.sortedFlights() {
		r := i.withdrawn(f)
		switch {
		case r == nil || (f.stage == atOnce && f.ran):
			// A call that has run only waits for its outcome to be recorded.
		case f.stage != atServer:
			i.end(now, f, *r)
		case !f.once:
			f.ran = true
			i.effects = append(i.effects, event.Cancel{
				Request: f.call.Request, Attempt: f.attempt, Refusal: f.refusal(r.Reason, 0, r.Detail),
			})
		}
	}
}

func (i *Instance) sortedFlights() []*flight {
	return slices.SortedFunc(maps.Values(i.flights), func(a, b *flight) int {
		return cmp.Compare(a.call.Request, b.call.Request)
	})
}

// onceDecided takes what the record of a non-idempotent call says.
func (i *Instance) onceDecided(now clock.Time, d once.Decision) {
	f := i.flights[d.Request]
	if f == nil {
		return
	}
	switch d.Kind {
	case once.Send:
		i.sendOnce(now, f)
	case once.Answer:
		i.effects = append(i.effects, event.Answer{
			Request: f.call.Request, Status: d.Row.Status, Type: d.Row.Type, Body: d.Row.Body, Replay: d.Replay,
		})
		i.finish(now, f, d.Replay)
	case once.Refuse:
		i.end(now, f, d.Refusal)
	case once.AskStatus:
		i.askOutcome(now, f)
	}
}

// askOutcome asks a server of the service what came of a call. Any of them
// may answer; the one that ran it is asked if it is still there, and one of
// another zone if none of this one is: where a zone has a single server, its
// death would make each outcome unknown that the service could still tell.
func (i *Instance) askOutcome(now clock.Time, f *flight) {
	s := i.cfg.Services[f.call.Service]
	address := i.statusAddress(now, f, s.Group)
	if s.StatusPath == "" || address == "" {
		i.once.StatusTold(now, f.call.Request, once.Status{}, &i.out)
		return
	}
	i.effects = append(i.effects, event.AskOutcome{
		Request: f.call.Request, Address: address, Path: strings.TrimSuffix(s.StatusPath, "/") + "/" + f.call.IdempotencyKey, Account: f.account,
	})
}

// statusAddress returns the address of the server to be asked for the outcome
// of a call, "" if there is none.
func (i *Instance) statusAddress(now clock.Time, f *flight, g id.Group) string {
	own, other := "", ""
	for _, m := range i.members.Backends() {
		b := id.Backend(m.Name)
		switch {
		case m.Group != g || i.members.Down(now, b):
		case b == f.backend:
			return m.Address
		case m.Zone == i.set.Zone:
			own = cmp.Or(own, m.Address)
		default:
			other = cmp.Or(other, m.Address)
		}
	}
	return cmp.Or(own, other)
}

func (i *Instance) sendOnce(now clock.Time, f *flight) {
	if !i.check.Hold(f.stage == atOnce && !f.ran, "once-single-send", "%s may have run, and is to be sent again", f.call.Request) {
		return
	}
	if !i.once.MaySend(f.call.Request) {
		return
	}
	i.dispatch(now, f)
}

// end refuses a request and forgets it.
func (i *Instance) end(now clock.Time, f *flight, r event.Refusal) {
	if !i.check.Hold(r.Ran != event.NotRun || !f.ran, "not-run-true", "%s may have run, refused with %s", f.call.Request, r.Reason) {
		r.Ran = event.RanUnknown
	}
	i.refuseCall(f.call.Request, r)
	i.finish(now, f, !f.ran)
}

// finish gives back what a request holds. unused says that nothing was run for
// the tokens that it was charged.
func (i *Instance) finish(now clock.Time, f *flight, unused bool) {
	r := f.call.Request
	if f.stage == atRate {
		i.rates.Cancel(r)
	}
	if f.stage == atOnce && !f.ran {
		// Its record would else be taken for a call that was sent, and each
		// repeat would be told that nobody knows.
		i.once.Abandon(now, r, &i.out)
	}
	if f.stage == atTurn || f.stage == atOnce {
		i.turns.Cancel(now, r, &i.out)
	}
	if f.paid && unused {
		i.rates.GiveBack(now, f.account, f.cost)
	}
	delete(i.flights, r)
}

// callerGone ends what was started for a caller that has gone.
func (i *Instance) callerGone(now clock.Time, r id.Request) {
	f := i.flights[r]
	if f == nil {
		return
	}
	f.gone = true
	switch {
	case f.stage == atServer: // AttemptEnded follows
	case f.stage == atOnce && f.ran: // its outcome is being recorded
	default:
		i.finish(now, f, true)
	}
}

func (i *Instance) attemptStarted(e event.AttemptStarted) {
	if f := i.flights[e.Request]; f != nil {
		f.answered = true
	}
}

// attemptEnded takes the end of an attempt: the request is over, or goes to
// another backend server.
func (i *Instance) attemptEnded(now clock.Time, e event.AttemptEnded) {
	f := i.flights[e.Request]
	if f == nil {
		// The answer to a non-idempotent call may come after the call was given
		// up, as in a process that was frozen: its record still wants it.
		i.once.Ended(now, e, &i.out)
		return
	}
	if f.stage != atServer || f.attempt != e.Attempt {
		return
	}
	i.leaveServer(now, f, e)
	f.answered = f.answered || e.Answered
	if f.once {
		i.onceEnded(now, f, e)
		return
	}
	switch e.Result {
	case event.AttemptWhole:
		i.whole(now, f, e)
	case event.AttemptCancelled:
		f.ran = true
		i.finish(now, f, false)
	default:
		i.again(now, f, e)
	}
}

// onceEnded takes the end of an attempt of a non-idempotent call. Only one
// that surely was not run may go to another server: its record is given up
// first, and made anew.
func (i *Instance) onceEnded(now clock.Time, f *flight, e event.AttemptEnded) {
	unsent := e.Result == event.AttemptNotSent || e.Result == event.AttemptRefused
	f.stage = atOnce
	if unsent && f.tries < maxAttempts && now.Before(f.call.Deadline) && !f.gone {
		i.once.Abandon(now, f.call.Request, &i.out)
		f.avoid = append(f.avoid, f.backend)
		i.askTurn(now, f)
		return
	}
	f.ran = f.ran || !unsent
	i.once.Ended(now, e, &i.out)
}

// leaveServer gives the turn back and learns about the server.
func (i *Instance) leaveServer(now clock.Time, f *flight, e event.AttemptEnded) {
	if i.running[f.backend]--; i.running[f.backend] <= 0 {
		delete(i.running, f.backend)
	}
	broken := e.Result == event.AttemptCrashed || e.Result == event.AttemptNotSent
	i.turns.Done(now, message.TurnDone{
		Request: f.call.Request, Backend: f.backend, Broken: broken, Leaving: e.Leaving,
		Service: serviceTime(now, f, e), Generated: e.Generated,
	}, &i.out)
	i.serverSeen(now, f.backend, broken, e.Leaving)
	if e.Result == event.AttemptCrashed {
		i.suspects.Crashed(now, f.attempt, f.backend, []suspect.InFlight{{
			Digest: i.digest(f), Alone: f.alone,
		}}, &i.out)
	}
}

// serviceTime is what the queue's owner learns from: only a whole run tells how
// long one takes.
func serviceTime(now clock.Time, f *flight, e event.AttemptEnded) time.Duration {
	if e.Result != event.AttemptWhole {
		return 0
	}
	return now.Sub(f.sentAt)
}

// serverSeen notes what a request found out about a backend server.
func (i *Instance) serverSeen(now clock.Time, b id.Backend, broken, leaving bool) {
	if leaving {
		clear(i.zones)
		i.members.MarkLeaving(b)
		i.places.Drop(now, b)
	}
	if broken {
		i.members.MarkDown(now, b)
		i.places.Drop(now, b)
	} else {
		i.members.MarkUp(b)
	}
}

// turnDone takes a turn that an entry gives back.
func (i *Instance) turnDone(now clock.Time, from id.Instance, m message.TurnDone) {
	if from != i.set.Instance && m.Backend != "" && (m.Broken || m.Leaving) {
		i.serverSeen(now, m.Backend, m.Broken, m.Leaving)
	}
	i.queue.Done(now, from, m, &i.out)
}

// whole ends a request whose whole answer reached its caller.
func (i *Instance) whole(now clock.Time, f *flight, e event.AttemptEnded) {
	if f.alone {
		i.suspects.Cleared(now, i.digest(f), &i.out)
	}
	f.ran = true
	if f.call.Service == "" {
		unused := f.cost - float64(f.call.PromptTokens+e.Generated)
		i.rates.GiveBack(now, f.account, max(unused, 0))
	}
	i.finish(now, f, false)
}

// again sends a request to another backend server, if that is right.
func (i *Instance) again(now clock.Time, f *flight, e event.AttemptEnded) {
	f.ran = f.ran || e.Result == event.AttemptBroken || e.Result == event.AttemptCrashed
	if !slices.Contains(f.avoid, f.backend) {
		f.avoid = append(f.avoid, f.backend)
	}
	switch {
	case f.gone:
		i.finish(now, f, !f.ran)
	case f.answered && !i.resumes(f):
		i.end(now, f, f.refusal(event.ReasonBroken, backLater, "the backend server broke the answer off"))
	case now.Reached(f.call.Deadline):
		i.end(now, f, f.refusal(event.ReasonDeadline, backLater, ""))
	case f.tries >= maxAttempts:
		i.end(now, f, f.refusal(event.ReasonNoBackend, backLater, "several backend servers failed one after the other"))
	default:
		i.retry(now, f)
	}
}

func (i *Instance) resumes(f *flight) bool {
	return f.call.Service == "" && i.cfg.Groups[i.cfg.Artifacts[f.call.Artifact].Group].Resumes
}

// retry asks for a turn elsewhere; after a crash only if the request may run
// at all, and then alone.
func (i *Instance) retry(now clock.Time, f *flight) {
	v := i.suspects.Check(now, i.digest(f))
	if v.Kind == suspect.Refuse {
		i.end(now, f, f.refusal(event.ReasonCrash, v.RetryAfter, "backend servers crashed while they ran it"))
		return
	}
	f.alone = f.alone || v.Kind == suspect.Alone
	i.askTurn(now, f)
}
