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

// Node is a machine that runs one entry instance after another.
type Node struct {
	fleet *Fleet
	Name  string
	Zone  id.Zone
	ID    id.Instance // of the current run

	core   *instance.Instance // nil: not running
	offset clock.Time         // of its clock
	timer  uint64             // number of the newest timer
	paused bool
	// pausedAt is when the latest pause began.
	pausedAt clock.Time
	held     []event.Event // arrived while paused
	Ready    bool
	Stopped  bool // ended by itself
	asked    bool // to stop
	again    bool // start anew after that
	// everPaused says that the current run was paused once.
	everPaused bool
	attempts   map[id.Attempt]*run
	Config     *config.Config // in force
	Versions   []id.ConfigVersion
}

func (n *Node) clock() clock.Time { return n.fleet.now + n.offset }

// start begins a new run.
func (n *Node) start() {
	f := n.fleet
	f.boots++
	n.ID = id.Instance(fmt.Sprintf("%s.%d", n.Name, f.boots))
	f.byName[n.ID], f.byName[id.Instance(n.Name)] = n, n
	n.offset = clock.Time(f.random.Int64N(int64(time.Hour)))
	n.core = f.core(n)
	n.asked, n.again = false, false
	n.paused, n.everPaused, n.held, n.Ready, n.Stopped, n.Config, n.Versions = false, false, nil, false, false, nil, nil
	n.attempts = make(map[id.Attempt]*run)
	n.handle(event.TimerFired{})
	n.readList()
}

// Restart starts a node that was killed or has stopped, or will do so once it
// has stopped.
func (n *Node) Restart() {
	if n.core == nil {
		n.start()
		return
	}
	n.again = n.asked
}

// Running reports whether the node runs an instance.
func (n *Node) Running() bool { return n.core != nil }

// Kill ends the instance at once; its callers see their connections break.
func (n *Node) Kill() {
	if n.core == nil {
		return
	}
	n.fleet.trace("%s killed", n.ID)
	n.end()
}

func (n *Node) end() {
	n.core, n.Ready = nil, false
	for _, r := range n.sortedRuns() {
		r.cancel()
	}
	for _, c := range n.fleet.Calls {
		if c.at == n.ID && !c.Final() {
			c.lost = true
		}
	}
}

// Pause freezes the process for d. Its clock goes on.
func (n *Node) Pause(d time.Duration) {
	if n.core == nil || n.paused {
		return
	}
	n.fleet.trace("%s paused", n.ID)
	n.paused, n.everPaused, n.pausedAt = true, true, n.fleet.now
	was := n.ID
	n.fleet.after(d, func() {
		if n.ID == was && n.paused {
			n.resume()
		}
	})
}

func (n *Node) resume() {
	n.fleet.trace("%s resumed", n.ID)
	n.paused = false
	if n.fleet.ClocksStop {
		n.offset -= clock.Time(n.fleet.now.Sub(n.pausedAt))
	}
	held := n.held
	n.held = nil
	for _, e := range held {
		n.handle(e)
	}
}

// Stop asks for a graceful shutdown.
func (n *Node) Stop() {
	n.asked = true
	n.post(event.StopRequested{})
}

// post hands in an event, or keeps it while the node is paused.
func (n *Node) post(e event.Event) {
	switch {
	case n.core == nil:
	case n.paused:
		n.held = append(n.held, e)
	default:
		n.handle(e)
	}
}

// postTo posts to the run that asked, if it still goes on.
func (n *Node) postTo(run id.Instance, e event.Event) {
	if n.ID == run {
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
		n.fleet.trace("%s %s %T %+v", n.ID, direction, v, brief(v))
	}
}

// brief keeps configurations, which hold maps, out of the trace.
func brief(v any) any {
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
		return fmt.Sprint(v.To, " ", encoded(v.Message))
	case event.PeerMessage:
		return fmt.Sprint(v.From, " ", encoded(v.Message))
	}
	return v
}

// encoded shows what pointers in a message point to.
func encoded(m message.Message) string {
	b, err := json.Marshal(m)
	return fmt.Sprintf("%T %s %v", m, b, err)
}

func (n *Node) execute(e event.Effect) {
	f, run := n.fleet, n.ID
	switch e := e.(type) {
	case event.SetTimer:
		n.setTimer(e.At)
	case event.SendPeer:
		f.Net.send(n, e)
	case event.TableRead:
		f.Table.read(n, e)
	case event.TableScan:
		f.Table.scan(n, e)
	case event.TableCommit:
		f.Table.commit(n, e)
	case event.ObjectGet:
		body, ok := f.objects[e.Digest]
		f.after(toTable, func() { n.postTo(run, event.ObjectResult{Digest: e.Digest, OK: ok, Body: body}) })
	case event.DecodeConfig:
		f.after(decodeFor, func() { n.postTo(run, configcodec.DecodeConfig(e)) })
	case event.EncodeConfig:
		f.after(decodeFor, func() { n.postTo(run, configcodec.EncodeConfig(e)) })
	case event.ConfigApplied:
		n.inForce(e.Config)
	case event.Ready:
		n.Ready = e.Ready
	case event.Stopped:
		n.Stopped = true
		n.end()
		if n.again || f.Replace > 0 && !n.asked {
			f.after(f.Replace, n.Restart)
		}
	default:
		n.outward(e)
	}
}

// outward carries out the effects on backend servers and callers.
func (n *Node) outward(e event.Effect) {
	switch e := e.(type) {
	case event.Dispatch:
		n.dispatch(e)
	case event.Cancel:
		n.cancel(e)
	case event.Refuse:
		n.fleet.refused(e)
	case event.Answer:
		n.fleet.answered(e)
	case event.OrderBackend:
		n.order(e)
	case event.FetchReport:
		n.report(e)
	case event.QueryStatus:
		n.outcome(e)
	default:
		n.fleet.fault("unknown effect %T", e)
	}
}

func (n *Node) setTimer(at clock.Time) {
	n.timer++
	number, run := n.timer, n.ID
	if at == clock.Never {
		return
	}
	n.fleet.after(at.Sub(n.clock()), func() {
		if n.ID == run && n.timer == number {
			n.post(event.TimerFired{})
		}
	})
}

func (n *Node) inForce(c *config.Config) {
	if n.Config != nil && c.Version <= n.Config.Version {
		n.fleet.fault("%s went from configuration %d to %d", n.ID, n.Config.Version, c.Version)
	}
	n.Config = c
	n.Versions = append(n.Versions, c.Version)
}

// readList reads the instance list, as it was a while ago, over and over.
func (n *Node) readList() {
	f, run := n.fleet, n.ID
	if n.core == nil {
		return
	}
	if !f.Net.platformCut(n.Zone) {
		members := f.members()
		f.after(f.jitter(listLag), func() { n.postTo(run, event.InstanceListRead{Members: members}) })
		if len(n.Versions) == 0 && n.Config == nil {
			n.post(event.InstanceListRead{Members: members})
		}
	}
	f.after(listEvery, func() {
		if n.ID == run {
			n.readList()
		}
	})
}
