// Package instance puts the parts of an entry instance together: it routes
// events to them, carries their decisions from one to the next, and follows
// each request from its arrival to its one final answer.
//
// An Instance is a deterministic state machine. The same events at the same
// times give the same effects, so a run can be replayed from its trace, and
// several instances can run in one test without a process.
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
	Address  string // for other instances, host:port

	LeaseTerm  time.Duration // of the session
	DrainDelay time.Duration // calls are still taken so long after a stop was asked for
	Grace      time.Duration // running calls may take so long after that

	// Placement tunes the loads and unloads; its names are filled in.
	Placement placement.Settings
	// Queue tunes the queues; its names are filled in.
	Queue queue.Settings
}

const (
	// renewalsPerTerm is how often the lease is renewed within its term.
	renewalsPerTerm = 3
	// demandEvery is how often what waits is shown to the placement.
	demandInterval = 100 * time.Millisecond
	// startAnyway is when an instance takes calls without a session, or
	// without having heard of tokens: it can route to what is loaded while
	// the table is down, and refuse honestly what it can't charge.
	startupTimeout = 5 * time.Second
)

// Instance is one entry instance.
type Instance struct {
	settings Settings
	check    *invariant.Checker

	members   *member.Membership
	lease     *session.Lease
	follower  *version.Follower
	limiter   *rate.Holder
	placement *placement.Placement
	queue     *queue.Owner
	turns     *turn.Entry
	once      *once.Calls
	suspects  *suspect.Register
	machines  []process.Machine

	out                event.Outbox
	effects            []event.Effect // of the event that is being handled
	cfg                *config.Config
	requests           map[id.Request]*request
	zonesByGroup       map[id.Group][]id.Zone     // that have servers of a group; see servers.Zones
	liveInstances      []id.Instance              // as last seen
	requesters         map[id.Instance]clock.Time // of turns here: when last heard
	nextRequesterCheck clock.Time                 // when they are looked at next
	started            clock.Time
	handledEvent       bool
	ready              bool
	nextDemandReport   clock.Time
	shutdown           shutdown
	receivedHandovers  map[handoverKey]bool
	attemptCount       uint64
	now                clock.Time // of the event that is being handled
}

// New returns an Instance that has seen no event.
func New(s Settings, check *invariant.Checker) *Instance {
	i := &Instance{
		settings: s, check: check,
		requests: make(map[id.Request]*request), zonesByGroup: make(map[id.Group][]id.Zone),
		receivedHandovers: make(map[handoverKey]bool), requesters: make(map[id.Instance]clock.Time),
	}
	i.members = member.New(member.Settings{Instance: s.Instance, Zone: s.Zone, Address: s.Address}, check)
	i.lease = session.New(session.Settings{
		Instance: s.Instance, Zone: s.Zone, Address: s.Address,
		Term: s.LeaseTerm, RenewEvery: s.LeaseTerm / renewalsPerTerm,
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
	i.machines = []process.Machine{
		i.members, i.lease, i.follower, i.limiter, i.placement, i.queue, i.turns, i.once, i.suspects,
	}
	return i
}

// Handle takes one event at now and returns what is to be done, in order. now
// must not go back.
func (i *Instance) Handle(now clock.Time, e event.Event) []event.Effect {
	if !i.handledEvent {
		i.handledEvent, i.started = true, now
	}
	i.effects, i.now = nil, now
	i.members.SetSelf(i.version(), i.shutdown.requested, i.lease.Fencing(), i.lease.TableAge(now))
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

// take routes one event.
func (i *Instance) handleEvent(now clock.Time, e event.Event) {
	switch e := e.(type) {
	case event.PeerMessage:
		i.handleMessage(now, e.From, e.Message)
	case event.TableResult:
		i.handleTableResult(now, e)
	case event.ObjectResult:
		i.follower.Object(now, e, &i.out)
	case event.ConfigDecoded:
		i.follower.Decoded(now, e, &i.out)
	case event.ConfigEncoded:
		i.follower.Encoded(now, e, &i.out)
	case event.InstanceListRead:
		i.members.List(now, e)
		clear(i.zonesByGroup)
		i.queue.Changed(now, &i.out)
	case event.CallArrived:
		i.handleCall(now, e.Call)
	case event.CallerDisconnected:
		i.callerDisconnected(now, e.Request)
	case event.AttemptStarted:
		i.handleAttemptStarted(e)
	case event.AttemptEnded:
		i.handleAttemptEnded(now, e)
	case event.StatusResult:
		i.once.StatusTold(now, e.Request, once.Status{Known: e.Known, Status: e.Status, Type: e.ContentType, Body: e.Body}, &i.out)
	case event.BackendReport:
		i.placement.Report(now, e, &i.out)
		i.queue.Changed(now, &i.out)
	case event.OrderAnswered:
		i.placement.Ordered(now, e, &i.out)
	case event.StopRequested:
		i.beginShutdown(now)
	}
}

// peer routes a message from another instance, or from this one.
func (i *Instance) handleMessage(now clock.Time, from id.Instance, m message.Message) {
	switch m := m.(type) {
	case message.Heartbeat:
		i.members.Peer(now, from, m, &i.out)
		i.lease.Peer(now, from, m, &i.out)
		i.follower.Peer(now, from, m, &i.out)
	case message.VersionRequest, message.VersionChange, message.VersionSnapshot:
		i.follower.Peer(now, from, m, &i.out)
	case message.LoanRequest, message.LoanGrant, message.LoanSettlement, message.SlotsHeld, message.SlotTransfer, message.SlotTransferAck:
		i.limiter.Peer(now, from, m, &i.out)
	case message.TurnRequest:
		i.requesters[from] = now
		i.queue.Ask(now, from, m, &i.out)
		i.nextDemandReport = 0
	case message.TurnRelease:
		i.handleTurnRelease(now, from, m)
	case message.TurnQueued, message.TurnGranted, message.TurnRefused:
		i.turns.Peer(now, from, m, &i.out)
	case message.SuspectSeen, message.SuspectCleared:
		i.suspects.Peer(now, from, m)
	case message.BackendState:
		i.placement.Peer(now, from, m, &i.out)
		i.queue.Changed(now, &i.out)
	case message.LoadRequest, message.LoadsInTransit:
		i.placement.Peer(now, from, m, &i.out)
	case message.OnceQuery, message.OnceReply:
		i.once.Peer(now, from, m, &i.out)
	case message.Handover:
		i.handleHandover(now, from, m)
	case message.HandoverAck:
		i.handleHandoverAck(m)
	case message.TakeoverQuery, message.TakeoverReply:
		i.lease.Peer(now, from, m, &i.out)
	default:
		// A message type that is added and not routed here would be lost
		// without a sign: its part waits for answers that never come.
		i.check.Hold(false, "message-routed", "%T from %s", m, from)
	}
}

func (i *Instance) handleTableResult(now clock.Time, r event.TableResult) {
	switch r.Op.Component {
	case event.ComponentSession:
		i.lease.Table(now, r, &i.out)
	case event.ComponentRate:
		i.limiter.Table(now, r, &i.out)
	case event.ComponentConfig:
		i.follower.Table(now, r, &i.out)
	case event.ComponentPlacement:
		i.placement.Table(now, r, &i.out)
	case event.ComponentOnce:
		i.once.Table(now, r, &i.out)
	}
}

// tick runs each part that has something due, once.
func (i *Instance) tick(now clock.Time) {
	for _, m := range i.machines {
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

// next returns when the next event is wanted at the latest.
func (i *Instance) nextTimer() clock.Time {
	at := i.shutdown.next()
	for _, m := range i.machines {
		at = min(at, m.Next())
	}
	if i.queue.Waiting() > 0 {
		at = min(at, i.nextDemandReport)
	}
	return at
}

// settle carries decisions and messages to self from part to part until
// nothing moves any more.
func (i *Instance) processPending(now clock.Time) {
	for i.handleDecisions(now) || i.deliverLocally(now) {
	}
}

// loopBack moves the effects of the outbox out, and handles those that are for
// this instance. It reports whether there was one.
func (i *Instance) deliverLocally(now clock.Time) bool {
	some := false
	for _, e := range i.out.Take() {
		switch e := e.(type) {
		case event.SendPeer:
			if e.To == i.settings.Instance {
				some = true
				i.handleMessage(now, i.settings.Instance, e.Message)
				continue
			}
		case event.ConfigApplied:
			some = true
			i.applyConfig(now, e.Config)
		}
		i.effects = append(i.effects, e)
	}
	return some
}

// decide carries the decisions of the parts on. It reports whether there was one.
func (i *Instance) handleDecisions(now clock.Time) bool {
	some := false
	for _, d := range i.limiter.Decisions() {
		some = true
		i.handleRateDecision(now, d)
	}
	for _, d := range i.turns.Decisions() {
		some = true
		i.handleTurnDecision(now, d)
	}
	for _, d := range i.once.Decisions() {
		some = true
		i.handleOnceDecision(now, d)
	}
	return some
}

// inForce swaps the configuration, and checks every open call against it.
func (i *Instance) applyConfig(now clock.Time, c *config.Config) {
	i.cfg = c
	clear(i.zonesByGroup)
	i.limiter.Configure(now, c)
	i.placement.Configure(now, c, &i.out)
	i.queue.Configure(now, c)
	i.recheckOpenRequests(now)
}

// showDemand tells the placement what waits here.
func (i *Instance) reportDemand(now clock.Time) {
	i.nextDemandReport = now.Add(demandInterval)
	for _, d := range i.queue.Demands(now) {
		i.placement.Demand(now, placement.Demand{
			Artifact: d.Artifact, Class: d.Class, Within: d.Within, Waiting: d.Waiting,
		}, &i.out)
	}
}

// noteLost tells the queues about instances that are gone.
func (i *Instance) removeLostInstances(now clock.Time) {
	live := i.members.Live()
	if slices.Equal(live, i.liveInstances) {
		return
	}
	present := make(map[id.Instance]bool, len(live))
	for _, l := range live {
		present[l] = true
	}
	for _, was := range i.liveInstances {
		// An instance that is leaving is off the list of those that take
		// work, but its calls run on.
		if _, heard := i.members.Heard(was); !present[was] && !heard {
			i.queue.Lost(now, was, &i.out)
		}
	}
	i.liveInstances = slices.Clone(live)
}

// silentAsker is how long an instance that asked for turns may be unheard before
// its turns are taken back.
const requesterTimeout = 5 * time.Second

// noteSilentAskers takes back the turns of instances that are gone. noteLost
// misses one that was leaving when it died, and one whose ask came late, after its
// death: a turn granted to it stayed in use for ever, and where it was to run alone
// its server got nothing else any more. Whoever lives is heard well within the time.
func (i *Instance) removeSilentRequesters(now clock.Time) {
	if now.Before(i.nextRequesterCheck) {
		return
	}
	i.nextRequesterCheck = now.Add(requesterTimeout / 5)
	for _, a := range slices.Sorted(maps.Keys(i.requesters)) {
		_, heard := i.members.Heard(a)
		switch {
		case heard || a == i.settings.Instance:
			i.requesters[a] = now
		case now.Sub(i.requesters[a]) >= requesterTimeout:
			delete(i.requesters, a)
			i.queue.Lost(now, a, &i.out)
		}
	}
}

// checkReady tells the program when calls can be taken.
func (i *Instance) updateReady(now clock.Time) {
	able := i.lease.Valid(now) && i.limiter.Informed()
	late := now.Reached(i.started.Add(startupTimeout))
	ready := i.cfg != nil && !i.shutdown.requested && (able || late || i.ready)
	if ready != i.ready {
		i.ready = ready
		i.effects = append(i.effects, event.Ready{Ready: ready})
	}
}

// Status is what operators see of an instance.
type Status struct {
	Lease           bool          `json:"lease"` // the session lease holds
	Fencing         id.Fencing    `json:"fencing"`
	TableAge        time.Duration `json:"table_age"` // since the table was last reached
	ConfigConfirmed bool          `json:"heard"`
	ConfirmedAge    time.Duration `json:"-"`
	Live            int           `json:"live"`    // instances that it sees, itself included
	Calls           int           `json:"calls"`   // open calls
	Waiting         int           `json:"waiting"` // requests in the queues that it owns
	Stopping        bool          `json:"stopping"`
}

// Status returns what operators see at now.
func (i *Instance) Status(now clock.Time) Status {
	age := i.follower.HeardAge(now)
	return Status{
		Lease: i.lease.Valid(now), Fencing: i.lease.Fencing(), TableAge: i.lease.TableAge(now),
		ConfigConfirmed: age != version.NeverHeard, ConfirmedAge: age, Live: len(i.members.Live()),
		Calls: len(i.requests), Waiting: i.queue.Waiting(), Stopping: i.shutdown.requested,
	}
}
