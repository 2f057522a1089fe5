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
	self         id.Instance = "z00-self"
	ownZone      id.Zone     = "z00"
	model        id.Artifact = "m0"
	bigAccount   id.Account  = "big"
	snapshotName id.Digest   = "snapshot"
	engineBytes              = int64(24) << 30
	// unlimited is a rate and a burst that no benchmark uses up.
	unlimited = 1e12
	// warmUp is how long a driver lets its instance run before it is measured.
	warmUp = 20 * time.Second
	// leaseTerm is the default of oleanderd.
	leaseTerm = 9 * time.Second
	// heartbeatEvery is how often each other instance is heard.
	heartbeatEvery = 500 * time.Millisecond
)

// scene is the surroundings of the one instance that is measured.
type scene struct {
	zones    int // availability zones, the own one included
	perZone  int // instances in each, this one included
	engines  int // model engines of the own zone
	remote   int // backend servers of the other zones, on the list only
	adapters int
	accounts int
	heard    int // instances of other zones that send heartbeats to this one
	// noStandby has every load decided in the table: no replica is
	// pre-authorised.
	noStandby bool
}

func (s scene) placement() placement.Settings {
	if s.noStandby {
		return placement.Settings{StandbyShare: -1}
	}
	return placement.Settings{}
}

func (s scene) String() string {
	return fmt.Sprintf("zones=%d/perZone=%d/engines=%d/remote=%d/adapters=%d/accounts=%d",
		max(s.zones, 1), max(s.perZone, 1), s.engines, s.remote, s.adapters, s.accounts)
}

func zoneName(n int) id.Zone { return id.Zone(fmt.Sprintf("z%02d", n)) }

// config returns the configuration of the scene.
func (s scene) config() *config.Config {
	c := size{zones: max(s.zones, 1), artifacts: s.adapters, accounts: s.accounts}.config()
	c.Version = 1
	for name, a := range c.Accounts {
		a.Rate, a.Burst = unlimited, unlimited
		c.Accounts[name] = a
	}
	fleet.AddAccount(c, config.Account{Name: bigAccount, Rate: unlimited, Burst: unlimited, Weight: 1, Class: config.Interactive})
	return c
}

// driver runs one instance in virtual time. It answers table operations,
// reports and orders at once, and keeps what a benchmark wants to see.
type driver struct {
	core    *instance.Instance
	now     clock.Time
	wake    clock.Time
	cfg     *config.Config
	rows    map[table.Key]table.Row
	held    map[id.Backend][]message.HeldArtifact
	members []event.Member
	others  []event.PeerMessage // a heartbeat of each other instance
	pending []event.Event

	dispatched []event.Dispatch
	granted    id.Backend // by this instance, to another one
	answers    int
	refusals   int
	sent       int // messages to others
	reads      int
	writes     int
	events     int
	// watched counts the writes of transactions that hold the row watch.
	watch   table.Key
	watched int
	ready   bool
	// spent is the time that the core took for its own timers in run.
	spent time.Duration
	// tally, if not nil, counts the messages that are sent, by type.
	tally map[string]traffic
}

// traffic is a number of messages and their bytes in CBOR.
type traffic struct{ messages, bytes int }

func newDriver(s scene) *driver {
	d := &driver{
		cfg: s.config(), rows: make(map[table.Key]table.Row), held: make(map[id.Backend][]message.HeldArtifact),
		core: instance.New(instance.Settings{Instance: self, Zone: ownZone, Address: "self:1", LeaseTerm: leaseTerm, Placement: s.placement()}, invariant.Reporting(func(v invariant.Violation) { panic(v) })),
	}
	d.put(table.Key{Kind: table.KindHead, ID: table.HeadID}, table.Head{Version: 1})
	d.put(table.Key{Kind: table.KindVersion, ID: fmt.Sprintf("%020d", 1)}, table.Version{Version: 1, Snapshot: snapshotName})
	d.populate(s)
	d.run(warmUp)
	d.read()
	d.run(warmUp)
	return d
}

// populate fills the instance list and the heartbeats of the others.
func (d *driver) populate(s scene) {
	d.members = []event.Member{{Name: string(self), Address: "self:1", Zone: ownZone}}
	heard := 0
	for z := range max(s.zones, 1) {
		for n := 1; n < max(s.perZone, 1); n++ {
			name := fmt.Sprintf("%s-%d", zoneName(z), n)
			d.members = append(d.members, event.Member{Name: name, Address: name, Zone: zoneName(z)})
			if z > 0 {
				if heard++; heard > s.heard {
					continue
				}
			}
			d.others = append(d.others, event.PeerMessage{From: id.Instance(name), Message: message.Heartbeat{
				Zone: zoneName(z), Address: "10.0.0.1:7000", Version: 1, Fencing: 1, TableAge: time.Second, Seq: 1,
			}})
		}
	}
	for n := range s.engines {
		d.members = append(d.members, engineMember(ownZone, n))
	}
	for n := range s.remote {
		d.members = append(d.members, engineMember(zoneName(1+n%max(s.zones-1, 1)), n))
	}
	d.members = append(d.members, event.Member{Name: "desk-1", Address: "desk-1", Zone: ownZone, Group: "desk"})
}

func engineMember(z id.Zone, n int) event.Member {
	name := fmt.Sprintf("%s-engine-%05d", z, n)
	return event.Member{Name: name, Address: name, Zone: z, Group: "workers"}
}

func (d *driver) put(k table.Key, b table.Body) {
	d.rows[k] = table.Row{Key: k, Version: d.rows[k].Version + 1, Body: b}
}

// read hands in a reading of the instance list.
func (d *driver) read() { d.handle(event.InstanceListRead{Members: d.members}) }

// run lets virtual time pass; the other instances are heard and the instance
// list is read meanwhile.
func (d *driver) run(t time.Duration) {
	end := d.now.Add(t)
	beat := d.now
	for d.now < end {
		if d.now.Reached(beat) {
			beat = beat.Add(heartbeatEvery)
			d.hear()
		}
		d.now = min(max(d.wake, d.now), beat, end)
		began := time.Now()
		d.handle(event.TimerFired{})
		d.spent += time.Since(began)
		if d.wake <= d.now {
			d.now++
		}
	}
}

func (d *driver) hear() {
	d.read()
	for _, h := range d.others {
		d.handle(h)
	}
}

// handle hands in one event, and the answers that it leads to.
func (d *driver) handle(e event.Event) {
	d.take(e)
	for len(d.pending) > 0 {
		next := d.pending[0]
		d.pending = d.pending[1:]
		d.take(next)
	}
}

func (d *driver) take(e event.Event) {
	d.events++
	for _, effect := range d.core.Handle(d.now, e) {
		d.execute(effect)
	}
}

func (d *driver) post(e event.Event) { d.pending = append(d.pending, e) }

func (d *driver) execute(e event.Effect) {
	switch e := e.(type) {
	case event.SetTimer:
		d.wake = e.At
	case event.SendPeer:
		d.send(e)
	case event.Dispatch:
		d.dispatched = append(d.dispatched, e)
	case event.Answer:
		d.answers++
	case event.Refuse:
		d.refusals++
	case event.Ready:
		d.ready = e.Ready
	case event.FetchReport:
		d.post(event.BackendReport{Backend: e.Backend, RequestedAt: d.now, OK: true, Report: d.report(e.Backend)})
	case event.OrderBackend:
		d.order(e)
	default:
		d.platform(e)
	}
}

// send counts a message. The owner of a queue elsewhere grants a turn at once.
func (d *driver) send(e event.SendPeer) {
	d.sent++
	if d.tally != nil {
		d.count(e.Message)
	}
	switch m := e.Message.(type) {
	case message.TurnRequest:
		d.post(event.PeerMessage{From: e.To, Message: message.TurnGranted{
			Request: m.Request, Turn: m.Turn, Backend: "z00-engine-00000", Address: "z00-engine-00000",
		}})
	case message.TurnGranted:
		d.granted = m.Backend
	}
}

func (d *driver) count(m message.Message) {
	body, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	name := reflect.TypeOf(m).Name()
	t := d.tally[name]
	d.tally[name] = traffic{messages: t.messages + 1, bytes: t.bytes + len(body)}
}

// platform answers what goes to the table service and the object store.
func (d *driver) platform(e event.Effect) {
	switch e := e.(type) {
	case event.TableRead:
		d.post(event.TableResult{Op: e.Op, Outcome: table.Done, Rows: d.find(e.Keys)})
	case event.TableScan:
		rows := d.scan(e.Kind, e.Prefix)
		d.reads += len(rows)
		d.post(event.TableResult{Op: e.Op, Outcome: table.Done, Rows: rows})
	case event.TableCommit:
		d.post(event.TableResult{Op: e.Op, Outcome: d.commit(e.Writes)})
	case event.ObjectGet:
		d.post(event.ObjectResult{Digest: e.Digest, OK: true, Body: []byte("whole")})
	case event.DecodeConfig:
		next := *d.cfg
		next.Version = e.Version
		d.post(event.ConfigDecoded{Version: e.Version, Config: &next})
	case event.EncodeConfig:
		d.post(event.ConfigEncoded{Version: e.Config.Version, Snapshot: []byte("whole")})
	}
}

func (d *driver) find(keys []table.Key) []table.Row {
	d.reads += len(keys)
	var rows []table.Row
	for _, k := range keys {
		if r, ok := d.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (d *driver) scan(kind table.Kind, prefix string) []table.Row {
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
	d.writes += len(writes)
	if slices.ContainsFunc(writes, func(w table.Write) bool { return w.Key == d.watch }) {
		d.watched += len(writes)
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
			d.put(w.Key, w.Body)
		}
	}
	return table.Done
}

func (d *driver) report(b id.Backend) message.Report {
	return message.Report{Fencing: 1, Bytes: engineBytes, Held: d.held[b], BootID: "boot-1"}
}

// order carries an order out at once.
func (d *driver) order(e event.OrderBackend) {
	held := slices.DeleteFunc(slices.Clone(d.held[e.Backend]), func(h message.HeldArtifact) bool { return h.Artifact == e.Artifact })
	if e.Kind == event.OrderLoad {
		held = append(held, message.HeldArtifact{Artifact: e.Artifact, State: message.Loaded, Order: e.Order, Bytes: d.cfg.Artifacts[e.Artifact].Bytes})
	}
	slices.SortFunc(held, func(a, b message.HeldArtifact) int { return strings.Compare(string(a.Artifact), string(b.Artifact)) })
	d.held[e.Backend] = held
	d.post(event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: event.OrderAccepted})
}

// call makes a call of an account for the model, a service or an adapter.
func (d *driver) call(n int, account id.Account, target event.Call) event.CallArrived {
	target.Request = id.Request(fmt.Sprintf("r-%d", n))
	target.KeyDigest = fleet.KeyOf(account)
	target.Deadline = d.now.Add(time.Minute)
	target.PromptTokens, target.MaxOutputTokens = 100, 10
	target.BodyDigest = id.Digest(fmt.Sprintf("%064x", n))
	return event.CallArrived{Call: target}
}

// endAll ends all attempts that were dispatched, each with its whole answer.
func (d *driver) endAll() {
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

// warm has the model loaded by a first call.
func (d *driver) warm(tb testing.TB) {
	tb.Helper()
	d.handle(d.call(0, bigAccount, event.Call{Artifact: model}))
	for range 100 {
		if len(d.dispatched) > 0 {
			d.endAll()
			return
		}
		d.run(100 * time.Millisecond)
	}
	tb.Fatalf("the model did not get warm: ready %v, %d refusals, status %+v", d.ready, d.refusals, d.core.Status(d.now))
}

// warmAs has the model loaded by a turn that another instance asks for, since
// this one need not own its queue; the engine may be owned elsewhere too, whose
// word then shows the model loaded.
func (d *driver) warmAs(tb testing.TB) {
	tb.Helper()
	d.handle(event.PeerMessage{From: otherInstance, Message: state(0, 1, []message.HeldArtifact{
		{Artifact: model, State: message.Loaded, Bytes: d.cfg.Artifacts[model].Bytes},
	})})
	d.handle(event.PeerMessage{From: otherInstance, Message: message.TurnRequest{
		Request: "warm", Artifact: model, Account: bigAccount, Class: config.Interactive, TimeToDeadline: time.Minute, Tokens: 1, Turn: 1,
	}})
	if d.granted == "" {
		tb.Fatal("the model is not warm")
	}
	d.handle(event.PeerMessage{From: otherInstance, Message: message.TurnRelease{Request: "warm", Backend: d.granted, Turn: 1}})
}

// owned returns the backend servers whose rows name the instance, sorted.
func (d *driver) owned() []id.Backend {
	var all []id.Backend
	for k, r := range d.rows {
		if b, ok := r.Body.(table.Backend); ok && b.Owner == self {
			all = append(all, id.Backend(k.ID))
		}
	}
	slices.Sort(all)
	return all
}

// rowKinds counts the rows of the table by kind, for messages of failures.
func (d *driver) rowKinds() map[table.Kind]int {
	n := make(map[table.Kind]int)
	for k := range maps.Keys(d.rows) {
		n[k.Kind]++
	}
	return n
}
