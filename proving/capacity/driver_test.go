package capacity

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/instance"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/table"
	"oleanderdale.org/proving/fleet"
)

const (
	self             id.Instance = "z00-self"
	ownZone          id.Zone     = "z00"
	model            id.Artifact = "m0"
	unlimitedAccount id.Account  = "big"
	snapshotDigest   id.Digest   = "snapshot"
	engineBytes                  = int64(24) << 30
	// unlimited is a rate and a burst that no benchmark exceeds.
	unlimited = 1e12
	// warmUpTime is the virtual time for which newDriver runs the instance, once
	// before and once after another reading of the instance list.
	warmUpTime = 20 * time.Second
	// leaseTerm equals the default of oleanderd.
	leaseTerm = 9 * time.Second
	// heartbeatInterval is the interval between heartbeats of each peer.
	heartbeatInterval = 500 * time.Millisecond
)

// environment describes the deployment around the one measured instance.
type environment struct {
	zones            int // availability zones, including its own
	instancesPerZone int // instances in each zone, including the measured one
	engines          int // model engines in its own zone
	remoteBackends   int // backend servers in other zones, which only appear in the instance list
	adapters         int
	accounts         int
	remotePeers      int // instances of other zones that send heartbeats to it
	// disableStandby turns off pre-authorized replicas, so that every load is
	// decided in the table.
	disableStandby bool
}

func (s environment) placementSettings() placement.Settings {
	if s.disableStandby {
		return placement.Settings{StandbyShare: -1}
	}
	return placement.Settings{}
}

func (s environment) String() string {
	return fmt.Sprintf("zones=%d/perZone=%d/engines=%d/remote=%d/adapters=%d/accounts=%d",
		max(s.zones, 1), max(s.instancesPerZone, 1), s.engines, s.remoteBackends, s.adapters, s.accounts)
}

func zoneName(n int) id.Zone { return id.Zone(fmt.Sprintf("z%02d", n)) }

// config returns the configuration of the environment.
func (s environment) config() *config.Config {
	c := fleetSize{zones: max(s.zones, 1), artifacts: s.adapters, accounts: s.accounts}.config()
	c.Version = 1
	for name, a := range c.Accounts {
		a.Rate, a.Burst = unlimited, unlimited
		c.Accounts[name] = a
	}
	fleet.AddAccount(c, config.Account{Name: unlimitedAccount, Rate: unlimited, Burst: unlimited, Weight: 1, Class: config.Interactive})
	return c
}

// driver runs one instance in virtual time. It completes table operations, report
// fetches and orders at once, and records what the benchmarks report.
type driver struct {
	core           *instance.Instance
	now            clock.Time
	timerAt        clock.Time
	cfg            *config.Config
	rows           map[table.Key]table.Row
	held           map[id.Backend][]message.HeldArtifact
	instanceList   []event.Member
	peerHeartbeats []event.PeerMessage // one heartbeat per peer
	pending        []event.Event

	dispatched     []event.Dispatch
	grantedBackend id.Backend // backend server of the last turn granted to a peer
	answers        int
	refusals       int
	messagesSent   int // messages sent to peers
	rowsRead       int
	rowsWritten    int
	eventCount     int
	// watchedWrites counts the writes of transactions that contain a write of
	// watchedRow.
	watchedRow    table.Key
	watchedWrites int
	ready         bool
	// timerTime is the time that the instance spent handling its timers in
	// advance.
	timerTime time.Duration
	// sentByType counts the messages sent, by type, unless it is nil.
	sentByType map[string]traffic
}

// traffic is a number of messages and their total size in CBOR.
type traffic struct{ messages, bytes int }

func newDriver(s environment) *driver {
	d := &driver{
		cfg: s.config(), rows: make(map[table.Key]table.Row), held: make(map[id.Backend][]message.HeldArtifact),
		core: instance.New(instance.Settings{Instance: self, Zone: ownZone, Address: "self:1", LeaseTerm: leaseTerm, Placement: s.placementSettings()}, invariant.Reporting(func(v invariant.Violation) { panic(v) })),
	}
	d.putRow(table.Key{Kind: table.KindHead, ID: table.HeadID}, table.Head{Version: 1})
	d.putRow(table.Key{Kind: table.KindVersion, ID: fmt.Sprintf("%020d", 1)}, table.Version{Version: 1, Snapshot: snapshotDigest})
	d.populate(s)
	d.advance(warmUpTime)
	d.deliverInstanceList()
	d.advance(warmUpTime)
	return d
}

// populate fills the instance list and the heartbeats of the peers.
func (d *driver) populate(s environment) {
	d.instanceList = []event.Member{{Name: string(self), Address: "self:1", Zone: ownZone}}
	heard := 0
	for z := range max(s.zones, 1) {
		for n := 1; n < max(s.instancesPerZone, 1); n++ {
			name := fmt.Sprintf("%s-%d", zoneName(z), n)
			d.instanceList = append(d.instanceList, event.Member{Name: name, Address: name, Zone: zoneName(z)})
			if z > 0 {
				if heard++; heard > s.remotePeers {
					continue
				}
			}
			d.peerHeartbeats = append(d.peerHeartbeats, event.PeerMessage{From: id.Instance(name), Message: message.Heartbeat{
				Zone: zoneName(z), Address: "10.0.0.1:7000", Version: 1, Fencing: 1, TableAge: time.Second, Seq: 1,
			}})
		}
	}
	for n := range s.engines {
		d.instanceList = append(d.instanceList, engineMember(ownZone, n))
	}
	for n := range s.remoteBackends {
		d.instanceList = append(d.instanceList, engineMember(zoneName(1+n%max(s.zones-1, 1)), n))
	}
	d.instanceList = append(d.instanceList, event.Member{Name: "desk-1", Address: "desk-1", Zone: ownZone, Group: "desk"})
}

func engineMember(z id.Zone, n int) event.Member {
	name := fmt.Sprintf("%s-engine-%05d", z, n)
	return event.Member{Name: name, Address: name, Zone: z, Group: "workers"}
}

func (d *driver) putRow(k table.Key, b table.Body) {
	d.rows[k] = table.Row{Key: k, Version: d.rows[k].Version + 1, Body: b}
}

// deliverInstanceList lets the instance read the instance list.
func (d *driver) deliverInstanceList() { d.handle(event.InstanceListRead{Members: d.instanceList}) }

// advance advances virtual time by t. Meanwhile it delivers the heartbeats of the
// peers and the instance list at every heartbeatInterval.
func (d *driver) advance(t time.Duration) {
	end := d.now.Add(t)
	nextHeartbeat := d.now
	for d.now < end {
		if d.now.Reached(nextHeartbeat) {
			nextHeartbeat = nextHeartbeat.Add(heartbeatInterval)
			d.deliverHeartbeats()
		}
		d.now = min(max(d.timerAt, d.now), nextHeartbeat, end)
		start := time.Now()
		d.handle(event.TimerFired{})
		d.timerTime += time.Since(start)
		if d.timerAt <= d.now {
			d.now++
		}
	}
}

func (d *driver) deliverHeartbeats() {
	d.deliverInstanceList()
	for _, h := range d.peerHeartbeats {
		d.handle(h)
	}
}

// handle handles an event and all events that its effects lead to.
func (d *driver) handle(e event.Event) {
	d.handleOne(e)
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.handleOne(next)
	}
}

func (d *driver) handleOne(e event.Event) {
	d.eventCount++
	for _, effect := range d.core.Handle(d.now, e) {
		d.execute(effect)
	}
}

func (d *driver) enqueue(e event.Event) { d.pending = append(d.pending, e) }

func (d *driver) execute(e event.Effect) {
	switch e := e.(type) {
	case event.SetTimer:
		d.timerAt = e.At
	case event.SendPeer:
		d.sendMessage(e)
	case event.Dispatch:
		d.dispatched = append(d.dispatched, e)
	case event.Answer:
		d.answers++
	case event.Refuse:
		d.refusals++
	case event.Ready:
		d.ready = e.Ready
	case event.FetchReport:
		d.enqueue(event.BackendReport{Backend: e.Backend, RequestedAt: d.now, OK: true, Report: d.report(e.Backend)})
	case event.OrderBackend:
		d.executeOrder(e)
	default:
		d.executePlatform(e)
	}
}

// sendMessage counts a message. A turn requested from the owner of a queue on another
// instance is granted at once.
func (d *driver) sendMessage(e event.SendPeer) {
	d.messagesSent++
	if d.sentByType != nil {
		d.countMessage(e.Message)
	}
	switch m := e.Message.(type) {
	case message.TurnRequest:
		d.enqueue(event.PeerMessage{From: e.To, Message: message.TurnGranted{
			Request: m.Request, Turn: m.Turn, Backend: "z00-engine-00000", Address: "z00-engine-00000",
		}})
	case message.TurnGranted:
		d.grantedBackend = m.Backend
	}
}

func (d *driver) countMessage(m message.Message) {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	name := reflect.TypeOf(m).Name()
	t := d.sentByType[name]
	d.sentByType[name] = traffic{messages: t.messages + 1, bytes: t.bytes + len(body)}
}

// executePlatform executes effects on the table service, the object store and the
// configuration codec.
func (d *driver) executePlatform(e event.Effect) {
	switch e := e.(type) {
	case event.TableRead:
		d.enqueue(event.TableResult{Op: e.Op, Outcome: table.Done, Rows: d.getRows(e.Keys)})
	case event.TableScan:
		rows := d.scanRows(e.Kind, e.Prefix)
		d.rowsRead += len(rows)
		d.enqueue(event.TableResult{Op: e.Op, Outcome: table.Done, Rows: rows})
	case event.TableCommit:
		d.enqueue(event.TableResult{Op: e.Op, Outcome: d.commit(e.Writes)})
	case event.ObjectGet:
		d.enqueue(event.ObjectResult{Digest: e.Digest, OK: true, Body: []byte("whole")})
	case event.DecodeConfig:
		next := *d.cfg
		next.Version = e.Version
		d.enqueue(event.ConfigDecoded{Version: e.Version, Config: &next})
	case event.EncodeConfig:
		d.enqueue(event.ConfigEncoded{Version: e.Config.Version, Snapshot: []byte("whole")})
	}
}

func (d *driver) getRows(keys []table.Key) []table.Row {
	d.rowsRead += len(keys)
	var rows []table.Row
	for _, k := range keys {
		if r, ok := d.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (d *driver) scanRows(kind table.Kind, prefix string) []table.Row {
	var rows []table.Row
	for k, r := range d.rows {
		if k.Kind == kind && strings.HasPrefix(k.ID, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key.ID, b.Key.ID) })
	return rows
}

func (d *driver) commit(writes []table.Write) table.Outcome {
	d.rowsWritten += len(writes)
	if slices.ContainsFunc(writes, func(w table.Write) bool { return w.Key == d.watchedRow }) {
		d.watchedWrites += len(writes)
	}
	for _, w := range writes {
		if d.rows[w.Key].Version != w.Expect {
			return table.Conflict
		}
	}
	for _, w := range writes {
		switch {
		case w.Check:
		case w.Delete:
			delete(d.rows, w.Key)
		default:
			d.putRow(w.Key, w.Body)
		}
	}
	return table.Done
}

func (d *driver) report(b id.Backend) message.Report {
	return message.Report{Fencing: 1, Bytes: engineBytes, Held: d.held[b], BootID: "boot-1"}
}

// executeOrder executes an order at once.
func (d *driver) executeOrder(e event.OrderBackend) {
	held := slices.DeleteFunc(slices.Clone(d.held[e.Backend]), func(h message.HeldArtifact) bool { return h.Artifact == e.Artifact })
	if e.Kind == event.OrderLoad {
		held = append(held, message.HeldArtifact{Artifact: e.Artifact, State: message.Loaded, Order: e.Order, Bytes: d.cfg.Artifacts[e.Artifact].Bytes})
	}
	slices.SortFunc(held, func(a, b message.HeldArtifact) int { return strings.Compare(string(a.Artifact), string(b.Artifact)) })
	d.held[e.Backend] = held
	d.enqueue(event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: event.OrderAccepted})
}

// newCall returns the arrival of call n of an account. target holds the model, adapter
// or service that is called.
func (d *driver) newCall(n int, account id.Account, target event.Call) event.CallArrived {
	target.Request = id.Request(fmt.Sprintf("r-%d", n))
	target.KeyDigest = fleet.KeyOf(account)
	target.Deadline = d.now.Add(time.Minute)
	target.PromptTokens, target.MaxOutputTokens = 100, 10
	target.BodyDigest = id.Digest(fmt.Sprintf("%064x", n))
	return event.CallArrived{Call: target}
}

// completeAttempts ends all dispatched attempts, each with a complete response.
func (d *driver) completeAttempts() {
	ended := d.dispatched
	d.dispatched = d.dispatched[:0]
	for _, a := range ended {
		d.handle(event.AttemptStarted{Request: a.Request, Attempt: a.Attempt})
		d.handle(event.AttemptEnded{
			Request: a.Request, Attempt: a.Attempt, Result: event.AttemptCompleted, ResponseStarted: true, GeneratedTokens: 10,
			Status: 200, ContentType: "application/json", Body: []byte(`{"ok":true}`),
		})
	}
}

// loadModel makes the first call of the model, which loads it.
func (d *driver) loadModel(tb testing.TB) {
	tb.Helper()
	d.handle(d.newCall(0, unlimitedAccount, event.Call{Artifact: model}))
	for range 100 {
		if len(d.dispatched) > 0 {
			d.completeAttempts()
			return
		}
		d.advance(100 * time.Millisecond)
	}
	tb.Fatalf("the model was not loaded: ready %v, %d refusals, status %+v", d.ready, d.refusals, d.core.Status(d.now))
}

// requestLoadedModel makes the model available on an engine, and checks that by a
// turn for a peer. loadModel is not enough in environments in which the instance
// owns neither the queue of the model nor the engine: here the state of the
// engine comes from a peer.
func (d *driver) requestLoadedModel(tb testing.TB) {
	tb.Helper()
	d.handle(event.PeerMessage{From: peerInstance, Message: backendState(0, 1, []message.HeldArtifact{
		{Artifact: model, State: message.Loaded, Bytes: d.cfg.Artifacts[model].Bytes},
	})})
	d.handle(event.PeerMessage{From: peerInstance, Message: message.TurnRequest{
		Request: "warm", Artifact: model, Account: unlimitedAccount, Class: config.Interactive, TimeToDeadline: time.Minute, Tokens: 1, Turn: 1,
	}})
	if d.grantedBackend == "" {
		tb.Fatal("no turn was granted: the model is not loaded")
	}
	d.handle(event.PeerMessage{From: peerInstance, Message: message.TurnRelease{Request: "warm", Backend: d.grantedBackend, Turn: 1}})
}

// ownedBackends returns the backend servers that the instance owns according to the
// table, sorted.
func (d *driver) ownedBackends() []id.Backend {
	var all []id.Backend
	for k, r := range d.rows {
		if b, ok := r.Body.(table.Backend); ok && b.Owner == self {
			all = append(all, id.Backend(k.ID))
		}
	}
	slices.Sort(all)
	return all
}

// rowKinds counts the rows of the table by kind, for failure messages.
func (d *driver) rowKinds() map[table.Kind]int {
	n := make(map[table.Kind]int)
	for k := range maps.Keys(d.rows) {
		n[k.Kind]++
	}
	return n
}
