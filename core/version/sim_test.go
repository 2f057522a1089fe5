package version

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// machine is what sim runs: a Follower, or a deliberately faulty one.
type machine interface {
	Tick(clock.Time, *event.Outbox)
	HandleTableResult(clock.Time, event.TableResult, *event.Outbox)
	HandleObjectResult(clock.Time, event.ObjectResult, *event.Outbox)
	HandleDecoded(clock.Time, event.ConfigDecoded, *event.Outbox)
	HandleEncoded(clock.Time, event.ConfigEncoded, *event.Outbox)
	HandleMessage(clock.Time, id.Instance, message.Message, *event.Outbox)
	Next() clock.Time
	Current() *config.Config
	ConfirmedAge(clock.Time) time.Duration
}

// node is a running instance. It also implements process.Members for its
// machine.
type node struct {
	machine
	sim               *sim
	name              id.Instance
	slot              int
	lastTableResponse clock.Time // when the last table result arrived
	activated         []id.ConfigVersion
	nextHeartbeat     clock.Time
}

func (n *node) Self() id.Instance              { return n.name }
func (n *node) Zone() id.Zone                  { return n.sim.zones[n.slot] }
func (n *node) Backends() []event.Member       { return nil }
func (n *node) Live() []id.Instance            { return n.sim.live("") }
func (n *node) InZone(z id.Zone) []id.Instance { return n.sim.live(z) }
func (n *node) ZoneOf(i id.Instance) id.Zone {
	if o := n.sim.find(i); o != nil {
		return o.Zone()
	}
	return ""
}
func (n *node) Backend(id.Backend) (event.Member, bool) { return event.Member{}, false }

// delivery is an input that reaches a node at a later time.
type delivery struct {
	at  clock.Time
	seq int
	to  id.Instance
	do  func(n *node, out *event.Outbox)
}

// sim simulates several nodes, a table and a network in virtual time.
type sim struct {
	zones            []id.Zone
	nodes            []*node
	make             func(*node) machine
	now              clock.Time
	queue            []delivery
	seq              int
	instancesStarted int
	rows             map[table.Key]table.Row
	objects          map[id.Digest][]byte
	newest           *config.Config
	tableUp          bool
	network          func() (copies int, delay time.Duration) // copies and delay of one message or table result
	isolated         map[id.Zone]bool                         // zones cut off from the other zones and the table
	rollbacks        []string
}

const heartbeatInterval = 500 * time.Millisecond

func newSim(zones ...id.Zone) *sim {
	s := &sim{
		zones: zones, tableUp: true,
		rows: make(map[table.Key]table.Row), objects: make(map[id.Digest][]byte),
		isolated: make(map[id.Zone]bool),
		network:  func() (int, time.Duration) { return 1, time.Millisecond },
		make:     func(n *node) machine { return NewFollower(Settings{ChangeLogSize: 8}, n, new(invariant.Checker)) },
	}
	for i := range zones {
		s.start(i)
	}
	return s
}

// start starts an instance in slot i, replacing the one that is there.
func (s *sim) start(i int) *node {
	s.instancesStarted++
	n := &node{sim: s, slot: i, name: id.Instance(fmt.Sprintf("i%d.%d", i, s.instancesStarted)), lastTableResponse: s.now}
	n.machine = s.make(n)
	if i == len(s.nodes) {
		s.nodes = append(s.nodes, n)
	} else {
		s.nodes[i] = n
	}
	return n
}

func (s *sim) find(i id.Instance) *node {
	for _, n := range s.nodes {
		if n.name == i {
			return n
		}
	}
	return nil
}

func (s *sim) live(z id.Zone) []id.Instance {
	var l []id.Instance
	for _, n := range s.nodes {
		if z == "" || n.Zone() == z {
			l = append(l, n.name)
		}
	}
	slices.Sort(l)
	return l
}

// publish writes the next n versions to the table, as an operator would.
func (s *sim) publish(n int) {
	for range n {
		next := &config.Config{Accounts: map[id.Account]config.Account{}}
		if s.newest != nil {
			maps.Copy(next.Accounts, s.newest.Accounts)
			next.Version = s.newest.Version
		}
		next.Version++
		name := id.Account(fmt.Sprintf("a%d", next.Version%7))
		next.Accounts[name] = config.Account{Name: name, Rate: float64(next.Version)}
		change, _ := json.Marshal(Diff(s.newest, next))
		row := table.Version{Version: next.Version, Change: change}
		if HasSnapshot(next.Version) {
			row.Snapshot = id.Digest(fmt.Sprint("snapshot", next.Version))
			s.objects[row.Snapshot] = encodeSnapshot(next)
		}
		s.rows[RowKey(next.Version)] = table.Row{Key: RowKey(next.Version), Version: 1, Body: row}
		s.rows[HeadKey()] = table.Row{Key: HeadKey(), Version: uint64(next.Version), Body: table.Head{Version: next.Version}}
		s.newest = next
	}
}

func encodeSnapshot(c *config.Config) []byte {
	b, _ := json.Marshal(Diff(nil, c))
	return b
}

func decodeConfig(e event.DecodeConfig) event.ConfigDecoded {
	base, body := e.Base, e.Change
	if e.Snapshot != nil {
		base, body = &config.Config{Version: e.Version - 1}, e.Snapshot
	}
	var change Change
	if err := json.Unmarshal(body, &change); err != nil {
		return event.ConfigDecoded{Version: e.Version, Err: err.Error()}
	}
	c, err := Apply(base, change)
	if err != nil {
		return event.ConfigDecoded{Version: e.Version, Err: err.Error()}
	}
	return event.ConfigDecoded{Version: e.Version, Config: c}
}

// schedule delivers do to an instance after d.
func (s *sim) schedule(d time.Duration, to id.Instance, do func(*node, *event.Outbox)) {
	s.seq++
	s.queue = append(s.queue, delivery{at: s.now.Add(d), seq: s.seq, to: to, do: do})
}

// send schedules do with the copies and the delay that the network draws.
func (s *sim) send(to id.Instance, do func(*node, *event.Outbox)) {
	copies, delay := s.network()
	for i := range copies {
		s.schedule(delay*time.Duration(i+1), to, do)
	}
}

// applyEffects carries out the effects in a node's outbox.
func (s *sim) applyEffects(n *node, out *event.Outbox) {
	for _, e := range out.Take() {
		switch e := e.(type) {
		case event.ConfigApplied:
			if k := len(n.activated); k > 0 && e.Config.Version <= n.activated[k-1] {
				s.rollbacks = append(s.rollbacks, fmt.Sprint(n.name, " ", n.activated[k-1], "→", e.Config.Version))
			}
			n.activated = append(n.activated, e.Config.Version)
		case event.SendPeer:
			s.sendPeer(n, e)
		case event.TableRead:
			s.readTable(n, e)
		case event.ObjectGet:
			body, ok := s.objects[e.Digest]
			ok = ok && s.tableUp && !s.isolated[n.Zone()]
			s.send(n.name, func(n *node, out *event.Outbox) {
				n.HandleObjectResult(s.now, event.ObjectResult{Digest: e.Digest, OK: ok, Body: body}, out)
			})
		case event.DecodeConfig:
			d := decodeConfig(e)
			s.schedule(time.Millisecond, n.name, func(n *node, out *event.Outbox) { n.HandleDecoded(s.now, d, out) })
		case event.EncodeConfig:
			r := event.ConfigEncoded{Version: e.Config.Version, Snapshot: encodeSnapshot(e.Config)}
			s.schedule(time.Millisecond, n.name, func(n *node, out *event.Outbox) { n.HandleEncoded(s.now, r, out) })
		}
	}
}

func (s *sim) sendPeer(from *node, e event.SendPeer) {
	to := s.find(e.To)
	if to == nil || (to.Zone() != from.Zone() && (s.isolated[to.Zone()] || s.isolated[from.Zone()])) {
		return
	}
	s.send(e.To, func(n *node, out *event.Outbox) { n.HandleMessage(s.now, from.name, e.Message, out) })
}

// readTable sends a result with the current rows, or none if the node can't
// reach the table.
func (s *sim) readTable(n *node, e event.TableRead) {
	if !s.tableUp || s.isolated[n.Zone()] {
		return
	}
	r := event.TableResult{Op: e.Op, Outcome: table.Done}
	for _, k := range e.Keys {
		if row, ok := s.rows[k]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	s.send(n.name, func(n *node, out *event.Outbox) {
		n.lastTableResponse = s.now
		n.HandleTableResult(s.now, r, out)
	})
}

// run advances the time by d, in steps of a millisecond.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now += clock.Time(time.Millisecond) {
		s.deliver()
		for _, n := range s.nodes {
			var out event.Outbox
			if s.now.Reached(n.Next()) {
				n.Tick(s.now, &out)
			}
			if s.now.Reached(n.nextHeartbeat) {
				n.nextHeartbeat = s.now.Add(heartbeatInterval)
				h := message.Heartbeat{Zone: n.Zone(), Version: versionOf(n.Current()), TableAge: s.now.Sub(n.lastTableResponse)}
				for _, to := range s.live("") {
					if to != n.name {
						out.Send(to, h)
					}
				}
			}
			s.applyEffects(n, &out)
		}
	}
}

// deliver delivers all due inputs in order.
func (s *sim) deliver() {
	slices.SortFunc(s.queue, func(a, b delivery) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.seq, b.seq))
	})
	for len(s.queue) > 0 && s.now.Reached(s.queue[0].at) {
		d := s.queue[0]
		s.queue = s.queue[1:]
		if n := s.find(d.to); n != nil {
			var out event.Outbox
			d.do(n, &out)
			s.applyEffects(n, &out)
		}
	}
}

func (s *sim) allCurrent() bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return versionOf(n.Current()) != s.newest.Version })
}

// requireConverged fails the test unless every node has the newest version and
// its configuration.
func (s *sim) requireConverged(t interface{ Fatalf(string, ...any) }) {
	for _, n := range s.nodes {
		if got := versionOf(n.Current()); got != s.newest.Version {
			t.Fatalf("%s has version %d, want %d", n.name, got, s.newest.Version)
		}
		if !Diff(s.newest, n.Current()).Empty() {
			t.Fatalf("%s has a wrong configuration at version %d", n.name, s.newest.Version)
		}
	}
}

func (s *sim) requireNoRollback(t *testing.T) {
	t.Helper()
	if len(s.rollbacks) > 0 {
		t.Fatalf("went back to lower versions: %v", s.rollbacks)
	}
}
