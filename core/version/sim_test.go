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

// machine is what sim drives: a Follower, or a deliberately broken one.
type machine interface {
	Tick(clock.Time, *event.Outbox)
	Table(clock.Time, event.TableResult, *event.Outbox)
	Object(clock.Time, event.ObjectResult, *event.Outbox)
	Decoded(clock.Time, event.ConfigDecoded, *event.Outbox)
	Encoded(clock.Time, event.ConfigEncoded, *event.Outbox)
	Peer(clock.Time, id.Instance, message.Message, *event.Outbox)
	Next() clock.Time
	Current() *config.Config
	HeardAge(clock.Time) time.Duration
}

// node is one run of an instance. It is its own process.Members.
type node struct {
	machine
	sim       *sim
	name      id.Instance
	slot      int
	reached   clock.Time // when the table last answered
	inForce   []id.ConfigVersion
	heartbeat clock.Time
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

// delivery is something that reaches a node later.
type delivery struct {
	at  clock.Time
	seq int
	to  id.Instance
	do  func(n *node, out *event.Outbox)
}

// sim holds several nodes, a small table and a network, in virtual time.
type sim struct {
	zones    []id.Zone
	nodes    []*node
	make     func(*node) machine
	now      clock.Time
	queue    []delivery
	seq      int
	runs     int
	rows     map[table.Key]table.Row
	objects  map[id.Digest][]byte
	newest   *config.Config
	tableUp  bool
	fate     func() (copies int, delay time.Duration) // of one message or table answer
	cut      map[id.Zone]bool                         // from the other zones and the table
	reversed []string
}

const heartbeatEvery = 500 * time.Millisecond

func newSim(zones ...id.Zone) *sim {
	s := &sim{
		zones: zones, tableUp: true,
		rows: make(map[table.Key]table.Row), objects: make(map[id.Digest][]byte),
		cut:  make(map[id.Zone]bool),
		fate: func() (int, time.Duration) { return 1, time.Millisecond },
		make: func(n *node) machine { return NewFollower(Settings{Keep: 8}, n, new(invariant.Checker)) },
	}
	for i := range zones {
		s.start(i)
	}
	return s
}

// start starts slot i, or replaces the instance in it.
func (s *sim) start(i int) *node {
	s.runs++
	n := &node{sim: s, slot: i, name: id.Instance(fmt.Sprintf("i%d.%d", i, s.runs)), reached: s.now}
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

// publish writes the next n versions into the table, as an operator would.
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
			s.objects[row.Snapshot] = encodeWhole(next)
		}
		s.rows[RowKey(next.Version)] = table.Row{Key: RowKey(next.Version), Version: 1, Body: row}
		s.rows[HeadKey()] = table.Row{Key: HeadKey(), Version: uint64(next.Version), Body: table.Head{Version: next.Version}}
		s.newest = next
	}
}

func encodeWhole(c *config.Config) []byte {
	b, _ := json.Marshal(Diff(nil, c))
	return b
}

func decodeEffect(e event.DecodeConfig) event.ConfigDecoded {
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

func (s *sim) later(d time.Duration, to id.Instance, do func(*node, *event.Outbox)) {
	s.seq++
	s.queue = append(s.queue, delivery{at: s.now.Add(d), seq: s.seq, to: to, do: do})
}

// send delivers do as often and as late as fate has it.
func (s *sim) send(to id.Instance, do func(*node, *event.Outbox)) {
	copies, delay := s.fate()
	for i := range copies {
		s.later(delay*time.Duration(i+1), to, do)
	}
}

func (s *sim) effects(n *node, out *event.Outbox) {
	for _, e := range out.Take() {
		switch e := e.(type) {
		case event.ConfigApplied:
			if k := len(n.inForce); k > 0 && e.Config.Version <= n.inForce[k-1] {
				s.reversed = append(s.reversed, fmt.Sprint(n.name, " ", n.inForce[k-1], "→", e.Config.Version))
			}
			n.inForce = append(n.inForce, e.Config.Version)
		case event.SendPeer:
			s.message(n, e)
		case event.TableRead:
			s.read(n, e)
		case event.ObjectGet:
			body, ok := s.objects[e.Digest]
			ok = ok && s.tableUp && !s.cut[n.Zone()]
			s.send(n.name, func(n *node, out *event.Outbox) {
				n.Object(s.now, event.ObjectResult{Digest: e.Digest, OK: ok, Body: body}, out)
			})
		case event.DecodeConfig:
			d := decodeEffect(e)
			s.later(time.Millisecond, n.name, func(n *node, out *event.Outbox) { n.Decoded(s.now, d, out) })
		case event.EncodeConfig:
			r := event.ConfigEncoded{Version: e.Config.Version, Snapshot: encodeWhole(e.Config)}
			s.later(time.Millisecond, n.name, func(n *node, out *event.Outbox) { n.Encoded(s.now, r, out) })
		}
	}
}

func (s *sim) message(from *node, e event.SendPeer) {
	to := s.find(e.To)
	if to == nil || (to.Zone() != from.Zone() && (s.cut[to.Zone()] || s.cut[from.Zone()])) {
		return
	}
	s.send(e.To, func(n *node, out *event.Outbox) { n.Peer(s.now, from.name, e.Message, out) })
}

// read answers from the rows as they are now; while the table is down the
// answer is lost.
func (s *sim) read(n *node, e event.TableRead) {
	if !s.tableUp || s.cut[n.Zone()] {
		return
	}
	r := event.TableResult{Op: e.Op, Outcome: table.Done}
	for _, k := range e.Keys {
		if row, ok := s.rows[k]; ok {
			r.Rows = append(r.Rows, row)
		}
	}
	s.send(n.name, func(n *node, out *event.Outbox) {
		n.reached = s.now
		n.Table(s.now, r, out)
	})
}

// run lets d pass, in steps of a millisecond.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now < end; s.now += clock.Time(time.Millisecond) {
		s.deliver()
		for _, n := range s.nodes {
			var out event.Outbox
			if s.now.Reached(n.Next()) {
				n.Tick(s.now, &out)
			}
			if s.now.Reached(n.heartbeat) {
				n.heartbeat = s.now.Add(heartbeatEvery)
				h := message.Heartbeat{Zone: n.Zone(), Version: versionOf(n.Current()), TableAge: s.now.Sub(n.reached)}
				for _, to := range s.live("") {
					if to != n.name {
						out.Send(to, h)
					}
				}
			}
			s.effects(n, &out)
		}
	}
}

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
			s.effects(n, &out)
		}
	}
}

func (s *sim) everywhere() bool {
	return !slices.ContainsFunc(s.nodes, func(n *node) bool { return versionOf(n.Current()) != s.newest.Version })
}

// converged fails the test unless every node has the newest version.
func (s *sim) converged(t interface{ Fatalf(string, ...any) }) {
	for _, n := range s.nodes {
		if got := versionOf(n.Current()); got != s.newest.Version {
			t.Fatalf("%s has version %d, the table %d", n.name, got, s.newest.Version)
		}
		if !Diff(s.newest, n.Current()).Empty() {
			t.Fatalf("%s has another configuration at version %d", n.name, s.newest.Version)
		}
	}
}

func (s *sim) checkNoReversal(t *testing.T) {
	t.Helper()
	if len(s.reversed) > 0 {
		t.Fatalf("went back: %v", s.reversed)
	}
}
