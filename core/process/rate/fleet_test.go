package rate

import (
	"fmt"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/fleettest"
	"oleanderdale.org/core/process/member"
	"oleanderdale.org/core/process/session"
)

const acct = id.Account("fjordlast")

// instance is what an entry instance has of the parts that hold rates.
type instance struct {
	members *member.Membership
	lease   *session.Lease
	holder  *Holder
}

func (i *instance) Tick(now clock.Time, out *event.Outbox) {
	i.lease.Tick(now, out)
	i.members.SetSelf(0, i.holder.closed, i.lease.Fencing(), i.lease.TableAge(now))
	i.members.Tick(now, out)
	i.holder.Tick(now, out)
}

func (i *instance) Next() clock.Time {
	return clock.Earliest(i.lease.Next(), i.members.Next(), i.holder.Next())
}

func (i *instance) Peer(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	i.lease.Peer(now, from, m, out)
	i.members.Peer(now, from, m, out)
	i.holder.Peer(now, from, m, out)
	if h, ok := m.(message.Handover); ok && i.holder.TakeOver(now, h.Slots, out) {
		out.Send(from, message.HandoverAck{ID: h.ID})
	}
}

func (i *instance) Table(now clock.Time, r event.TableResult, out *event.Outbox) {
	i.lease.Table(now, r, out)
	i.holder.Table(now, r, out)
}

// bucket is the oracle for one account. A sequence of grants keeps within rate
// and burst over every window exactly if this level never passes the burst.
type bucket struct {
	rate, burst, level float64
	at                 clock.Time
}

func (b *bucket) drain(now clock.Time) {
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// fits adds tokens if they keep within the limits, and reports whether they do.
func (b *bucket) fits(now clock.Time, tokens float64) bool {
	b.drain(now)
	if b.level+tokens > b.burst*(1+1e-6) {
		return false
	}
	b.level += tokens
	return true
}

// until returns how long it takes until tokens fit.
func (b *bucket) until(now clock.Time, tokens float64) time.Duration {
	b.drain(now)
	return time.Duration(max(0, b.level+tokens-b.burst) / b.rate * float64(time.Second))
}

// fleet is a world of instances with one account, and its callers.
type fleet struct {
	*fleettest.World
	hooks   hooks
	cfg     *config.Config
	violate func(format string, args ...any)
	granted bucket // fed with what was granted
	honest  bucket // fed with what was asked for and fits

	asked     map[id.Request]float64
	entry     map[id.Request]*fleettest.Node
	inside    map[id.Request]bool // whether it was within the account's limits
	decided   map[id.Request]Decision
	wrong     int // refused though inside
	insideAll int
}

func configOf(rate, burst float64, zones, slots int) *config.Config {
	c := &config.Config{Accounts: map[id.Account]config.Account{acct: {Name: acct, Rate: rate, Burst: burst}}}
	c.Fleet.SlotsPerZone = slots
	for z := range zones {
		c.Fleet.Zones = append(c.Fleet.Zones, id.Zone(fmt.Sprint("z", z)))
	}
	return c
}

// newFleet starts three instances in each of three zones and lets them settle.
func newFleet(seed uint64, rate, burst float64, h hooks, violate func(string, ...any)) *fleet {
	f := &fleet{
		World:   fleettest.New(seed),
		hooks:   h,
		cfg:     configOf(rate, burst, 3, 3),
		violate: violate,
		entry:   make(map[id.Request]*fleettest.Node),
		asked:   make(map[id.Request]float64),
		inside:  make(map[id.Request]bool),
		decided: make(map[id.Request]Decision),
		granted: bucket{rate: rate, burst: burst},
		honest:  bucket{rate: rate, burst: burst},
	}
	f.Check = f.collect
	for n := range 9 {
		f.start(id.Instance(fmt.Sprint("i", n)), id.Zone(fmt.Sprint("z", n%3)))
	}
	f.Run(30 * time.Second)
	return f
}

func (f *fleet) start(name id.Instance, z id.Zone) *fleettest.Node {
	var list event.InstanceListRead
	for _, n := range f.Nodes {
		if !n.Dead {
			list.Members = append(list.Members, event.Member{Name: string(n.Name), Zone: n.Zone})
		}
	}
	check := &invariant.Checker{}
	i := &instance{members: member.New(member.Settings{Instance: name, Zone: z}, check)}
	i.lease = session.New(session.Settings{Instance: name, Zone: z}, i.members, check)
	i.holder = New(Settings{Instance: name, Zone: z}, i.lease, i.members, check)
	i.holder.hooks = f.hooks
	i.holder.Configure(0, f.cfg)
	n := f.Add(name, z, i)
	i.members.List(n.Local(f.Now), list)
	return n
}

func holder(n *fleettest.Node) *Holder { return n.Machine.(*instance).holder }

// ask sends a request to a node, with its deadline after d.
func (f *fleet) ask(n *fleettest.Node, tokens float64, d time.Duration) {
	if n.Dead || f.Paused(n) {
		return
	}
	req := id.Request(fmt.Sprint("r", len(f.asked)))
	f.asked[req], f.entry[req] = tokens, n
	f.inside[req] = f.honest.fits(f.Now, tokens)
	if f.inside[req] {
		f.insideAll++
	}
	f.Do(n, func(now clock.Time, out *event.Outbox) {
		holder(n).Ask(now, req, acct, tokens, now.Add(d), out)
	})
	f.collect()
}

// collect takes the decisions of all nodes and feeds the oracle.
func (f *fleet) collect() {
	for _, n := range f.Nodes {
		for _, d := range holder(n).Decisions() {
			f.decide(n, d)
		}
	}
}

func (f *fleet) decide(n *fleettest.Node, d Decision) {
	if _, twice := f.decided[d.Request]; twice {
		f.violate("%s decided twice", d.Request)
	}
	f.decided[d.Request] = d
	if !d.Granted && f.inside[d.Request] {
		f.wrong++
	}
	if d.Granted && !f.granted.fits(f.Now, f.asked[d.Request]) {
		f.violate("%s granted %g on top of %g, burst %g", n.Name, f.asked[d.Request], f.granted.level, f.granted.burst)
	}
}

func (f *fleet) giveBack(n *fleettest.Node, tokens float64) {
	f.Do(n, func(now clock.Time, _ *event.Outbox) { holder(n).GiveBack(now, acct, tokens) })
	f.granted.drain(f.Now)
	f.granted.level = max(0, f.granted.level-tokens)
}

// handOver is a planned stop: n gives its slots to another instance of its zone.
func (f *fleet) handOver(n, to *fleettest.Node) {
	f.Do(n, func(now clock.Time, out *event.Outbox) {
		m := message.Handover{ID: 1, Slots: holder(n).Handover(now)}
		out.Send(to.Name, m)
		out.Send(to.Name, m) // sent again before it is answered
	})
}

// traffic asks for a share of the account's rate for d: every request at the
// node that pick names.
func (f *fleet) traffic(d time.Duration, share, tokens float64, pick func(n int) *fleettest.Node) {
	every := time.Duration(tokens / (share * f.honest.rate) * float64(time.Second))
	for n := range int(d / every) {
		f.ask(pick(n), tokens, 2*time.Second)
		f.Run(every)
	}
	f.Run(3 * time.Second)
}

func (f *fleet) slotsHeld() int {
	held := 0
	for _, n := range f.Nodes {
		if !n.Dead {
			held += len(holder(n).Slots())
		}
	}
	return held
}
