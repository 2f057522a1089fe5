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

const testAccount = id.Account("account-a")

// instance is the part of an instance that limits rates: membership, session
// lease and limiter.
type instance struct {
	members *member.Membership
	lease   *session.Lease
	limiter *Limiter
}

func (i *instance) Tick(now clock.Time, out *event.Outbox) {
	i.lease.Tick(now, out)
	i.members.SetOwnState(0, i.limiter.closed, i.lease.Fencing(), i.lease.TableAge(now))
	i.members.Tick(now, out)
	i.limiter.Tick(now, out)
}

func (i *instance) Next() clock.Time {
	return clock.Earliest(i.lease.Next(), i.members.Next(), i.limiter.Next())
}

func (i *instance) HandleMessage(now clock.Time, from id.Instance, m message.Message, out *event.Outbox) {
	i.lease.HandleMessage(now, from, m, out)
	i.members.HandleMessage(now, from, m, out)
	i.limiter.HandleMessage(now, from, m, out)
	if h, ok := m.(message.Handover); ok && i.limiter.TakeOver(now, h.Slots, out) {
		out.Send(from, message.HandoverAck{ID: h.ID})
	}
}

func (i *instance) HandleTableResult(now clock.Time, r event.TableResult, out *event.Outbox) {
	i.lease.HandleTableResult(now, r, out)
	i.limiter.HandleTableResult(now, r, out)
}

// bucket is a reference token bucket for one account. A sequence of grants
// respects rate and burst over every window exactly if the level never
// exceeds the burst.
type bucket struct {
	rate, burst, level float64
	at                 clock.Time
}

func (b *bucket) drain(now clock.Time) {
	b.level = max(0, b.level-b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

// tryAdd adds tokens if they respect the limits, and reports whether they do.
func (b *bucket) tryAdd(now clock.Time, tokens float64) bool {
	b.drain(now)
	if b.level+tokens > b.burst*(1+1e-6) {
		return false
	}
	b.level += tokens
	return true
}

// timeUntilFits returns the time until the tokens respect the limits.
func (b *bucket) timeUntilFits(now clock.Time, tokens float64) time.Duration {
	b.drain(now)
	return time.Duration(max(0, b.level+tokens-b.burst) / b.rate * float64(time.Second))
}

// fleet is a simulated fleet of instances with one account and its callers.
type fleet struct {
	*fleettest.Fleet
	hooks           testHooks
	cfg             *config.Config
	reportViolation func(format string, args ...any)
	granted         bucket // counts granted tokens
	offered         bucket // counts requested tokens that respect the limits

	requested       map[id.Request]float64
	entryNode       map[id.Request]*fleettest.Node
	conforming      map[id.Request]bool // whether the request respects the account's limits
	decisions       map[id.Request]Decision
	wrongRefusals   int // conforming requests that were refused
	conformingCount int
}

func newConfig(rate, burst float64, zones, slots int) *config.Config {
	c := &config.Config{Accounts: map[id.Account]config.Account{testAccount: {Name: testAccount, Rate: rate, Burst: burst}}}
	c.Fleet.SlotsPerZone = slots
	for z := range zones {
		c.Fleet.Zones = append(c.Fleet.Zones, id.Zone(fmt.Sprint("z", z)))
	}
	return c
}

// newFleet starts three instances in each of three zones and runs them for
// half a minute, in which they acquire all slots.
func newFleet(seed uint64, rate, burst float64, hooks testHooks, violate func(string, ...any)) *fleet {
	f := &fleet{
		Fleet:           fleettest.New(seed),
		hooks:           hooks,
		cfg:             newConfig(rate, burst, 3, 3),
		reportViolation: violate,
		entryNode:       make(map[id.Request]*fleettest.Node),
		requested:       make(map[id.Request]float64),
		conforming:      make(map[id.Request]bool),
		decisions:       make(map[id.Request]Decision),
		granted:         bucket{rate: rate, burst: burst},
		offered:         bucket{rate: rate, burst: burst},
	}
	f.OnStep = f.collectDecisions
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
	i.limiter = New(Settings{Instance: name, Zone: z}, i.lease, i.members, check)
	i.limiter.hooks = f.hooks
	i.limiter.Configure(0, f.cfg)
	n := f.Add(name, z, i)
	i.members.ApplyList(n.LocalTime(f.Now), list)
	return n
}

func limiterOf(n *fleettest.Node) *Limiter { return n.Machine.(*instance).limiter }

// request sends a request for tokens to a node, with a deadline after d.
func (f *fleet) request(n *fleettest.Node, tokens float64, d time.Duration) {
	if n.Dead || f.Paused(n) {
		return
	}
	req := id.Request(fmt.Sprint("r", len(f.requested)))
	f.requested[req], f.entryNode[req] = tokens, n
	f.conforming[req] = f.offered.tryAdd(f.Now, tokens)
	if f.conforming[req] {
		f.conformingCount++
	}
	f.Call(n, func(now clock.Time, out *event.Outbox) {
		limiterOf(n).Acquire(now, req, testAccount, tokens, now.Add(d), out)
	})
	f.collectDecisions()
}

// collectDecisions takes the decisions of all nodes and checks them against
// the reference buckets.
func (f *fleet) collectDecisions() {
	for _, n := range f.Nodes {
		for _, d := range limiterOf(n).Decisions() {
			f.recordDecision(n, d)
		}
	}
}

func (f *fleet) recordDecision(n *fleettest.Node, d Decision) {
	if _, twice := f.decisions[d.Request]; twice {
		f.reportViolation("%s decided twice", d.Request)
	}
	f.decisions[d.Request] = d
	if !d.Granted && f.conforming[d.Request] {
		f.wrongRefusals++
	}
	if d.Granted && !f.granted.tryAdd(f.Now, f.requested[d.Request]) {
		f.reportViolation("%s granted %g on top of %g, burst %g", n.Name, f.requested[d.Request], f.granted.level, f.granted.burst)
	}
}

func (f *fleet) refund(node *fleettest.Node, tokens float64) {
	f.Call(node, func(now clock.Time, _ *event.Outbox) { limiterOf(node).Refund(now, testAccount, tokens) })
	f.granted.drain(f.Now)
	f.granted.level = max(0, f.granted.level-tokens)
}

// handOver is the handover of a planned stop: n hands its slots over to
// another instance of its zone.
func (f *fleet) handOver(n, to *fleettest.Node) {
	f.Call(n, func(now clock.Time, out *event.Outbox) {
		m := message.Handover{ID: 1, Slots: limiterOf(n).Handover(now)}
		out.Send(to.Name, m)
		out.Send(to.Name, m) // a duplicate, before the answer
	})
}

// sendTraffic requests a share of the account's rate for d, each request from
// the node that pick returns.
func (f *fleet) sendTraffic(d time.Duration, share, tokens float64, pick func(n int) *fleettest.Node) {
	every := time.Duration(tokens / (share * f.offered.rate) * float64(time.Second))
	for n := range int(d / every) {
		f.request(pick(n), tokens, 2*time.Second)
		f.Run(every)
	}
	f.Run(3 * time.Second)
}

func (f *fleet) slotsHeld() int {
	held := 0
	for _, n := range f.Nodes {
		if !n.Dead {
			held += len(limiterOf(n).Slots())
		}
	}
	return held
}
