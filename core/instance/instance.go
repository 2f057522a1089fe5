// Package instance combines the components of an entry instance: it routes
// events to them, passes their decisions from one to the next, and takes each
// request from its arrival to exactly one final answer.
//
// An Instance is a deterministic state machine: the same events at the same times
// give the same effects. A run can therefore be replayed from its trace, and one
// test can run several instances in a single process.
package instance

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/process/member"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/process/rate"
	"oleanderdale.org/core/process/session"
	"oleanderdale.org/core/process/suspect"
	"oleanderdale.org/core/request/once"
	"oleanderdale.org/core/request/queue"
	"oleanderdale.org/core/request/turn"
	"oleanderdale.org/core/version"
)

// Settings of an Instance. A zero duration takes its default.
type Settings struct {
	Instance id.Instance
	Zone     id.Zone
	Address  string // host:port at which other instances reach this one

	LeaseTerm  time.Duration // term of the session lease
	DrainDelay time.Duration // time after a stop request in which calls are still accepted
	Grace      time.Duration // time after that for open calls to finish

	// Placement tunes loads and unloads; New sets its Instance and Zone.
	Placement placement.Settings
	// Queue tunes the queues; New sets its Instance and Zone.
	Queue queue.Settings
}

const (
	// renewalsPerTerm is how often the lease is renewed within its term.
	renewalsPerTerm = 3
	// demandInterval is the time between reports of queued demand to placement.
	demandInterval = 100 * time.Millisecond
	// startupTimeout is the time after which an instance accepts calls even
	// without a session or rate slots: while the table is down it can still
	// route to loaded artifacts, and refuses calls that it can't charge for.
	startupTimeout = 5 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings Settings
	check    *invariant.Checker

	members    *member.Membership
	lease      *session.Lease
	follower   *version.Follower
	limiter    *rate.Limiter
	placement  *placement.Placement
	queue      *queue.Owner
	turns      *turn.Client
	once       *once.Tracker
	suspects   *suspect.Registry
	components []process.Machine

	out                event.Outbox
	effects            []event.Effect // of the event that is being handled
	cfg                *config.Config
	requests           map[id.Request]*request
	zonesByGroup       map[id.Group][]id.Zone     // cache of the zones that have servers of a group, see servers.Zones
	liveInstances      []id.Instance              // as of the last tick
	requesters         map[id.Instance]clock.Time // instances that asked for turns: when each was last heard from
	nextRequesterCheck clock.Time                 // next check for silent requesters
	started            clock.Time
	handledEvent       bool
	ready              bool
	nextDemandReport   clock.Time
	shutdown           shutdown
	receivedHandovers  map[handoverKey]bool
	attemptCount       uint64
	now                clock.Time // of the event that is being handled
}

// New returns an Instance in its initial state.
func New(s Settings, check *invariant.Checker) *Instance {
	i := &Instance{
		settings: s, check: check,
		requests: make(map[id.Request]*request), zonesByGroup: make(map[id.Group][]id.Zone),
		receivedHandovers: make(map[handoverKey]bool), requesters: make(map[id.Instance]clock.Time),
	}
	i.members = member.New(member.Settings{Instance: s.Instance, Zone: s.Zone, Address: s.Address}, check)
	i.lease = session.New(session.Settings{
		Instance: s.Instance, Zone: s.Zone, Address: s.Address,
		Term: s.LeaseTerm, RenewInterval: s.LeaseTerm / renewalsPerTerm,
	}, i.members, check)
	i.follower = version.NewFollower(version.Settings{}, i.members, check)
	i.limiter = rate.New(rate.Settings{Instance: s.Instance, Zone: s.Zone}, i.lease, i.members, check)
	p := s.Placement
	p.Instance, p.Zone = s.Instance, s.Zone
	i.placement = placement.New(p, i.lease, i.members, check)
	q := s.Queue
	q.Instance, q.Zone = s.Instance, s.Zone
	i.queue = queue.New(q, i.members, &servers{i}, check)
	i.turns = turn.New(turn.Settings{}, i.members, &servers{i}, check)
	i.once = once.New(once.Settings{}, i.members, check)
	i.suspects = suspect.New(suspect.Settings{}, i.members, check)
	i.components = []process.Machine{
		i.members, i.lease, i.follower, i.limiter, i.placement, i.queue, i.turns, i.once, i.suspects,
	}
	return i
}

// Handle processes one event at now and returns the resulting effects in order.
// now must not decrease from call to call.
func (i *Instance) Handle(now clock.Time, e event.Event) []event.Effect {
	if !i.handledEvent {
		i.handledEvent, i.started = true, now
	}
	i.effects, i.now = nil, now
	i.members.SetOwnState(i.version(), i.shutdown.requested, i.lease.Fencing(), i.lease.TableAge(now))
	i.handleEvent(now, e)
	i.tick(now)
	i.processPending(now)
	i.updateReady(now)
	i.effects = append(i.effects, event.SetTimer{At: max(i.nextTimer(), now)})
	return i.effects
}

func (i *Instance) version() id.ConfigVersion {
	if i.cfg == nil {
		return 0
	}
	return i.cfg.Version
}

// handleEvent routes one event to its component.
func (i *Instance) handleEvent(now clock.Time, e event.Event) {
	switch e := e.(type) {
	case event.PeerMessage:
		i.handleMessage(now, e.From, e.Message)
	case event.TableResult:
		i.handleTableResult(now, e)
	case event.ObjectResult:
		i.follower.HandleObjectResult(now, e, &i.out)
	case event.ConfigDecoded:
		i.follower.HandleDecoded(now, e, &i.out)
	case event.ConfigEncoded:
		i.follower.HandleEncoded(now, e, &i.out)
	case event.InstanceListRead:
		i.members.ApplyList(now, e)
		clear(i.zonesByGroup)
		i.queue.ServersChanged(now, &i.out)
	case event.CallArrived:
		i.handleCall(now, e.Call)
	case event.CallerDisconnected:
		i.callerDisconnected(now, e.Request)
	case event.AttemptStarted:
		i.handleAttemptStarted(e)
	case event.AttemptEnded:
		i.handleAttemptEnded(now, e)
	case event.StatusResult:
		i.once.HandleStatus(now, e.Request, once.StatusResult{Known: e.Known, Status: e.Status, Type: e.ContentType, Body: e.Body}, &i.out)
	case event.BackendReport:
		i.placement.HandleReport(now, e, &i.out)
		i.queue.ServersChanged(now, &i.out)
	case event.OrderAnswered:
		i.placement.HandleOrderResult(now, e, &i.out)
	case event.StopRequested:
		i.beginShutdown(now)
	}
}

// handleMessage routes a message from another instance, or from this one to
// itself.
func (i *Instance) handleMessage(now clock.Time, from id.Instance, m message.Message) {
	switch m := m.(type) {
	case message.Heartbeat:
		i.members.HandleMessage(now, from, m, &i.out)
		i.lease.HandleMessage(now, from, m, &i.out)
		i.follower.HandleMessage(now, from, m, &i.out)
	case message.VersionRequest, message.VersionChange, message.VersionSnapshot:
		i.follower.HandleMessage(now, from, m, &i.out)
	case message.LoanRequest, message.LoanGrant, message.LoanSettlement, message.SlotsHeld, message.SlotTransfer, message.SlotTransferAck:
		i.limiter.HandleMessage(now, from, m, &i.out)
	case message.TurnRequest:
		i.requesters[from] = now
		i.queue.HandleAcquire(now, from, m, &i.out)
		i.nextDemandReport = 0
	case message.TurnRelease:
		i.handleTurnRelease(now, from, m)
	case message.TurnQueued, message.TurnGranted, message.TurnRefused:
		i.turns.HandleMessage(now, from, m, &i.out)
	case message.SuspectSeen, message.SuspectCleared:
		i.suspects.HandleMessage(now, from, m)
	case message.BackendState:
		i.placement.HandleMessage(now, from, m, &i.out)
		i.queue.ServersChanged(now, &i.out)
	case message.LoadRequest, message.LoadsInTransit:
		i.placement.HandleMessage(now, from, m, &i.out)
	case message.OnceQuery, message.OnceReply:
		i.once.HandleMessage(now, from, m, &i.out)
	case message.Handover:
		i.handleHandover(now, from, m)
	case message.HandoverAck:
		i.handleHandoverAck(m)
	case message.TakeoverQuery, message.TakeoverReply:
		i.lease.HandleMessage(now, from, m, &i.out)
	default:
		// A new message type that is not routed here would be dropped silently,
		// and its component would wait for replies that never come.
		i.check.Hold(false, "message-routed", "no component handles %T from %s", m, from)
	}
}

func (i *Instance) handleTableResult(now clock.Time, r event.TableResult) {
	switch r.Op.Component {
	case event.ComponentSession:
		i.lease.HandleTableResult(now, r, &i.out)
	case event.ComponentRate:
		i.limiter.HandleTableResult(now, r, &i.out)
	case event.ComponentConfig:
		i.follower.HandleTableResult(now, r, &i.out)
	case event.ComponentPlacement:
		i.placement.HandleTableResult(now, r, &i.out)
	case event.ComponentOnce:
		i.once.HandleTableResult(now, r, &i.out)
	}
}

// tick runs each component whose timer is due, once.
func (i *Instance) tick(now clock.Time) {
	for _, m := range i.components {
		if now.Reached(m.Next()) {
			m.Tick(now, &i.out)
		}
	}
	i.removeLostInstances(now)
	i.removeSilentRequesters(now)
	if now.Reached(i.nextDemandReport) {
		i.reportDemand(now)
	}
	i.advanceShutdown(now)
}

// nextTimer returns the time of the next tick if no event comes before.
func (i *Instance) nextTimer() clock.Time {
	at := i.shutdown.next()
	for _, m := range i.components {
		at = min(at, m.Next())
	}
	if i.queue.QueueLength() > 0 {
		at = min(at, i.nextDemandReport)
	}
	return at
}

// processPending passes decisions and messages to self between the components
// until none are left.
func (i *Instance) processPending(now clock.Time) {
	for i.handleDecisions(now) || i.deliverLocally(now) {
	}
}

// deliverLocally empties the outbox into the effects. It handles messages to this
// instance and newly applied configurations, and reports whether there were any.
func (i *Instance) deliverLocally(now clock.Time) bool {
	handled := false
	for _, e := range i.out.Take() {
		switch e := e.(type) {
		case event.SendPeer:
			if e.To == i.settings.Instance {
				handled = true
				i.handleMessage(now, i.settings.Instance, e.Message)
				continue
			}
		case event.ConfigApplied:
			handled = true
			i.applyConfig(now, e.Config)
		}
		i.effects = append(i.effects, e)
	}
	return handled
}

// handleDecisions handles the decisions of the components and reports whether
// there were any.
func (i *Instance) handleDecisions(now clock.Time) bool {
	handled := false
	for _, d := range i.limiter.Decisions() {
		handled = true
		i.handleRateDecision(now, d)
	}
	for _, d := range i.turns.Decisions() {
		handled = true
		i.handleTurnDecision(now, d)
	}
	for _, d := range i.once.Decisions() {
		handled = true
		i.handleOnceDecision(now, d)
	}
	return handled
}

// applyConfig switches to configuration c and checks every open request against
// it.
func (i *Instance) applyConfig(now clock.Time, c *config.Config) {
	i.cfg = c
	clear(i.zonesByGroup)
	i.limiter.Configure(now, c)
	i.placement.Configure(now, c, &i.out)
	i.queue.Configure(now, c)
	i.recheckOpenRequests(now)
}

// reportDemand reports the queued demand to placement.
func (i *Instance) reportDemand(now clock.Time) {
	i.nextDemandReport = now.Add(demandInterval)
	for _, d := range i.queue.Demands(now) {
		i.placement.SetDemand(now, placement.Demand{
			Artifact: d.Artifact, Class: d.Class, TimeToDeadline: d.MaxWait, Waiting: d.Waiting,
		}, &i.out)
	}
}

// removeLostInstances removes the entries of instances that are gone from the
// queues.
func (i *Instance) removeLostInstances(now clock.Time) {
	live := i.members.Live()
	if slices.Equal(live, i.liveInstances) {
		return
	}
	present := make(map[id.Instance]bool, len(live))
	for _, l := range live {
		present[l] = true
	}
	for _, previous := range i.liveInstances {
		// An instance that is leaving is no longer live, but its open calls
		// continue as long as it is heard from.
		if _, heard := i.members.LastHeartbeat(previous); !present[previous] && !heard {
			i.queue.RemoveInstance(now, previous, &i.out)
		}
	}
	i.liveInstances = slices.Clone(live)
}

// requesterTimeout is the time without a message from an instance that asked for
// turns after which its turns are revoked.
const requesterTimeout = 5 * time.Second

// removeSilentRequesters revokes the turns of instances that are gone.
// removeLostInstances misses an instance that was leaving when it died, and one
// whose request for a turn arrived after its death. A turn granted to it would
// stay in use forever, and one for a request that runs alone would block its
// server. Heartbeats of a live instance arrive well within requesterTimeout.
func (i *Instance) removeSilentRequesters(now clock.Time) {
	if now.Before(i.nextRequesterCheck) {
		return
	}
	i.nextRequesterCheck = now.Add(requesterTimeout / 5)
	for _, a := range slices.Sorted(maps.Keys(i.requesters)) {
		_, heard := i.members.LastHeartbeat(a)
		switch {
		case heard || a == i.settings.Instance:
			i.requesters[a] = now
		case now.Sub(i.requesters[a]) >= requesterTimeout:
			delete(i.requesters, a)
			i.queue.RemoveInstance(now, a, &i.out)
		}
	}
}

// updateReady emits event.Ready when the instance starts or stops being ready for
// calls.
func (i *Instance) updateReady(now clock.Time) {
	leaseAndTokens := i.lease.Valid(now) && i.limiter.Ready()
	timedOut := now.Reached(i.started.Add(startupTimeout))
	ready := i.cfg != nil && !i.shutdown.requested && (leaseAndTokens || timedOut || i.ready)
	if ready != i.ready {
		i.ready = ready
		i.effects = append(i.effects, event.Ready{Ready: ready})
	}
}

// Status is the state of an instance as shown to operators.
type Status struct {
	Lease           bool          `json:"lease"` // the session lease is valid
	Fencing         id.Fencing    `json:"fencing"`
	TableAge        time.Duration `json:"table_age"` // since the table last responded
	ConfigConfirmed bool          `json:"heard"`
	ConfirmedAge    time.Duration `json:"-"`
	Live            int           `json:"live"`    // live instances, itself included
	Calls           int           `json:"calls"`   // open calls
	Waiting         int           `json:"waiting"` // requests waiting in the queues that it owns
	Stopping        bool          `json:"stopping"`
}

// Status returns the state at now.
func (i *Instance) Status(now clock.Time) Status {
	age := i.follower.ConfirmedAge(now)
	return Status{
		Lease: i.lease.Valid(now), Fencing: i.lease.Fencing(), TableAge: i.lease.TableAge(now),
		ConfigConfirmed: age != version.NeverConfirmed, ConfirmedAge: age, Live: len(i.members.Live()),
		Calls: len(i.requests), Waiting: i.queue.QueueLength(), Stopping: i.shutdown.requested,
	}
}
