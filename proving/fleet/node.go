package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/instance"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/version/configcodec"
)

// Node is a machine that runs entry instances, one after another. Each start
// gives the instance a new ID.
type Node struct {
	fleet *Fleet
	Name  string
	Zone  id.Zone
	ID    id.Instance // of the current or latest instance

	core        *instance.Instance // nil while no instance runs
	clockOffset clock.Time         // difference between its clock and the virtual time
	timerSeq    uint64             // number of the latest timer; earlier ones are ignored
	paused      bool
	// pausedAt is when the latest pause began.
	pausedAt         clock.Time
	pendingEvents    []event.Event // events that arrived during the pause
	Ready            bool
	Stopped          bool // the instance ended by itself
	stopRequested    bool // by Stop
	restartRequested bool // start again once it has stopped
	// wasPaused tells whether the current instance was ever paused.
	wasPaused       bool
	attempts        map[id.Attempt]*attempt
	Config          *config.Config // configuration in force
	AppliedVersions []id.ConfigVersion
}

func (n *Node) clock() clock.Time { return n.fleet.now + n.clockOffset }

// start starts a new instance.
func (n *Node) start() {
	f := n.fleet
	f.startCount++
	n.ID = id.Instance(fmt.Sprintf("%s.%d", n.Name, f.startCount))
	f.nodeByName[n.ID], f.nodeByName[id.Instance(n.Name)] = n, n
	n.clockOffset = clock.Time(f.random.Int64N(int64(time.Hour)))
	n.core = f.newCore(n)
	n.stopRequested, n.restartRequested = false, false
	n.paused, n.wasPaused, n.pendingEvents, n.Ready, n.Stopped, n.Config, n.AppliedVersions = false, false, nil, false, false, nil, nil
	n.attempts = make(map[id.Attempt]*attempt)
	n.handle(event.TimerFired{})
	n.pollInstanceList()
}

// Restart starts an instance if none runs. If the running one was asked to stop,
// a new one starts as soon as it has stopped.
func (n *Node) Restart() {
	if n.core == nil {
		n.start()
		return
	}
	n.restartRequested = n.stopRequested
}

// Running reports whether an instance runs on the node.
func (n *Node) Running() bool { return n.core != nil }

// Kill ends the instance at once and breaks the connections of its callers.
func (n *Node) Kill() {
	if n.core == nil {
		return
	}
	n.fleet.trace("%s killed", n.ID)
	n.terminate()
}

// terminate ends the instance, its attempts and the connections of its callers.
func (n *Node) terminate() {
	n.core, n.Ready = nil, false
	for _, r := range n.sortedAttempts() {
		r.abort()
	}
	for _, c := range n.fleet.Calls {
		if c.instance == n.ID && !c.HasFinalResponse() {
			c.connectionLost = true
		}
	}
}

// Pause freezes the process for d. Events are delivered when it resumes. Its
// clock goes on, unless ClockStopsWhilePaused is set.
func (n *Node) Pause(d time.Duration) {
	if n.core == nil || n.paused {
		return
	}
	n.fleet.trace("%s paused", n.ID)
	n.paused, n.wasPaused, n.pausedAt = true, true, n.fleet.now
	instanceID := n.ID
	n.fleet.schedule(d, func() {
		if n.ID == instanceID && n.paused {
			n.resume()
		}
	})
}

func (n *Node) resume() {
	n.fleet.trace("%s resumed", n.ID)
	n.paused = false
	if n.fleet.ClockStopsWhilePaused {
		n.clockOffset -= clock.Time(n.fleet.now.Sub(n.pausedAt))
	}
	pending := n.pendingEvents
	n.pendingEvents = nil
	for _, e := range pending {
		n.handle(e)
	}
}

// Stop requests a graceful shutdown.
func (n *Node) Stop() {
	n.stopRequested = true
	n.post(event.StopRequested{})
}

// post delivers an event to the core, or keeps it while the node is paused.
func (n *Node) post(e event.Event) {
	switch {
	case n.core == nil:
	case n.paused:
		n.pendingEvents = append(n.pendingEvents, e)
	default:
		n.handle(e)
	}
}

// postToRun posts an event for one instance. It is dropped if that instance no
// longer runs.
func (n *Node) postToRun(instanceID id.Instance, e event.Event) {
	if n.ID == instanceID {
		n.post(e)
	}
}

func (n *Node) handle(e event.Event) {
	if n.core == nil {
		return
	}
	n.traceValue("<", e)
	for _, effect := range n.core.Handle(n.clock(), e) {
		n.traceValue(">", effect)
		n.execute(effect)
	}
}

func (n *Node) traceValue(direction string, v any) {
	if n.fleet.Trace != nil {
		n.fleet.trace("%s %s %T %+v", n.ID, direction, v, traceForm(v))
	}
}

// traceForm returns what the trace shows of a value. Configurations, which hold
// maps, are shown by version only.
func traceForm(v any) any {
	switch v := v.(type) {
	case event.ConfigApplied:
		return v.Config.Version
	case event.ConfigDecoded:
		return v.Version
	case event.DecodeConfig:
		return v.Version
	case event.EncodeConfig:
		return v.Config.Version
	case event.SendPeer:
		return fmt.Sprint(v.To, " ", formatMessage(v.Message))
	case event.PeerMessage:
		return fmt.Sprint(v.From, " ", formatMessage(v.Message))
	}
	return v
}

// formatMessage writes a message with the values behind its pointers.
func formatMessage(m message.Message) string {
	b, err := json.Marshal(m)
	return fmt.Sprintf("%T %s %v", m, b, err)
}

func (n *Node) execute(e event.Effect) {
	f, instanceID := n.fleet, n.ID
	switch e := e.(type) {
	case event.SetTimer:
		n.setTimer(e.At)
	case event.SendPeer:
		f.Network.send(n, e)
	case event.TableRead:
		f.Table.read(n, e)
	case event.TableScan:
		f.Table.scan(n, e)
	case event.TableCommit:
		f.Table.commit(n, e)
	case event.ObjectGet:
		body, ok := f.objects[e.Digest]
		f.schedule(tableLatency, func() { n.postToRun(instanceID, event.ObjectResult{Digest: e.Digest, OK: ok, Body: body}) })
	case event.DecodeConfig:
		f.schedule(decodeTime, func() { n.postToRun(instanceID, configcodec.DecodeConfig(e)) })
	case event.EncodeConfig:
		f.schedule(decodeTime, func() { n.postToRun(instanceID, configcodec.EncodeConfig(e)) })
	case event.ConfigApplied:
		n.applyConfig(e.Config)
	case event.Ready:
		n.Ready = e.Ready
	case event.Stopped:
		n.Stopped = true
		n.terminate()
		if n.restartRequested || f.RestartDelay > 0 && !n.stopRequested {
			f.schedule(f.RestartDelay, n.Restart)
		}
	default:
		n.executeExternal(e)
	}
}

// executeExternal executes effects that concern backend servers and callers.
func (n *Node) executeExternal(e event.Effect) {
	switch e := e.(type) {
	case event.Dispatch:
		n.dispatch(e)
	case event.Cancel:
		n.cancelAttempt(e)
	case event.Refuse:
		n.fleet.handleRefusal(e)
	case event.Answer:
		n.fleet.handleAnswer(e)
	case event.OrderBackend:
		n.sendOrder(e)
	case event.FetchReport:
		n.fetchReport(e)
	case event.QueryStatus:
		n.queryStatus(e)
	default:
		n.fleet.addViolation("unknown effect %T", e)
	}
}

func (n *Node) setTimer(at clock.Time) {
	n.timerSeq++
	number, instanceID := n.timerSeq, n.ID
	if at == clock.Never {
		return
	}
	n.fleet.schedule(at.Sub(n.clock()), func() {
		if n.ID == instanceID && n.timerSeq == number {
			n.post(event.TimerFired{})
		}
	})
}

// applyConfig records that a configuration is in force. Its version must be
// newer than the previous one.
func (n *Node) applyConfig(c *config.Config) {
	if n.Config != nil && c.Version <= n.Config.Version {
		n.fleet.addViolation("%s replaced configuration %d by %d, which is not newer", n.ID, n.Config.Version, c.Version)
	}
	n.Config = c
	n.AppliedVersions = append(n.AppliedVersions, c.Version)
}

// pollInstanceList reads the instance list at regular intervals. What it reads
// arrives late, so it describes the past. Until the instance has a
// configuration, it also gets the list without delay.
func (n *Node) pollInstanceList() {
	f, instanceID := n.fleet, n.ID
	if n.core == nil {
		return
	}
	if !f.Network.platformUnreachable(n.Zone) {
		members := f.instanceList()
		f.schedule(f.jitter(listDelay), func() { n.postToRun(instanceID, event.InstanceListRead{Members: members}) })
		if len(n.AppliedVersions) == 0 && n.Config == nil {
			n.post(event.InstanceListRead{Members: members})
		}
	}
	f.schedule(listInterval, func() {
		if n.ID == instanceID {
			n.pollInstanceList()
		}
	})
}
