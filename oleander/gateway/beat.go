package gateway

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// beatEvery is the time between the messages of an instance; they grow
	// rarer with their number, so that all of them together cost an instance
	// at most some hundred datagrams a second.
	beatEvery     = 200 * time.Millisecond
	beatPerMember = 8 * time.Millisecond
	// brokenFor is how long a broken run is told of.
	brokenFor = 5 * time.Second
)

// beat builds this instance's message without what only a holder of the lease
// uses. The caller holds mu.
func (g *Gateway) beat(now clock.Time) *beatMsg {
	b := &beatMsg{
		Name: g.set.Name, Incarnation: g.incarnation, Address: g.set.Peer, Zone: g.set.Zone,
		Leaving: g.stopping.Load(), Strength: g.set.Strength,
		Running: g.dir.OwnTotals(), Broken: g.poison.Own(now, brokenFor),
		StoreDown: g.storeAway(now),
	}
	g.tellOwned(now, b)
	if m := g.manifest.Load(); m != nil {
		b.Manifest = m.Version
	}
	if c, ok := g.lease.Tell(now); ok {
		b.Claim = &claimMsg{
			Fencing: c.Fencing, Sequence: c.Sequence, Version: c.Version,
			LeftMS: c.Left.Milliseconds() + 1, OrdersInMS: c.OrdersIn.Milliseconds(),
		}
	}
	if e, ok := g.lease.Echo(); ok {
		b.Echo = &echoMsg{Fencing: e.Fencing, Sequence: e.Sequence}
	}
	return b
}

// demand adds what the one that places models has to know. The caller holds mu.
func (g *Gateway) demand(now clock.Time, b *beatMsg) {
	b.Arrived, b.Running, b.Left = g.arrivedOfLate(now), g.dir.OwnRunning(), g.leftOfLate(now)
	for k, w := range g.wanted(now) {
		b.Wants = append(b.Wants, wantMsg{
			Group: k.Group, Model: k.Model, Adapter: k.Adapter, Requests: w.Requests,
			WaitedMS: now.Sub(w.Since).Milliseconds(), Priority: w.Priority, DueMS: dueIn(now, w.Due),
		})
	}
}

// arrivedFor is how long after an arrival its counter is told: ten messages.
const arrivedFor = 2 * time.Second

// arrivedOfLate returns the counters that changed of late. The caller holds mu.
func (g *Gateway) arrivedOfLate(now clock.Time) map[string]uint64 {
	late := make(map[string]uint64)
	for model, a := range g.arrived {
		if now.Sub(a.last) < arrivedFor {
			late[model] = a.count
		}
	}
	return late
}

// dueIn and dueAt carry the moment at which an objective is missed from one
// clock to another; 0 says that there is none.
func dueIn(now, due clock.Time) int64 {
	if due == 0 {
		return 0
	}
	return cmp.Or(due.Sub(now).Milliseconds(), -1)
}

func dueAt(heard clock.Time, ms int64) clock.Time {
	if ms == 0 {
		return 0
	}
	return heard.Add(time.Duration(ms) * time.Millisecond)
}

// sendBeat tells all others, or only the holder of the lease. The holder is told
// of demand too, which is more than half of a message; so is everybody while no
// holder is heard, for one of them is the next.
func (g *Gateway) sendBeat(onlyHolder bool) {
	g.mu.Lock()
	now := boottime.Now()
	var holder, others []recipient
	noHolder := !g.lease.Holds(now) && now.Sub(g.holder.heard) > leaseSilence
	for _, o := range g.members.All(now) {
		switch {
		case noHolder || o.Name == g.holder.name:
			holder = append(holder, g.recipient(o))
		case !onlyHolder:
			others = append(others, g.recipient(o))
		}
	}
	// The messages have maps that go on changing, so they are encoded under mu.
	var short, full message
	b := g.beat(now)
	if len(others) > 0 {
		short = g.encode(packet{Beat: b})
	}
	if len(holder) > 0 {
		g.demand(now, b)
		full = g.encode(packet{Beat: b})
	}
	g.mu.Unlock()
	g.peers.send(short, others)
	g.peers.send(full, holder)
}

// takePacket takes a message of another instance.
func (g *Gateway) takePacket(m packet) {
	g.mu.Lock()
	now := boottime.Now()
	var out []outgoing
	switch {
	case m.Beat != nil:
		g.takeBeat(now, m.Beat)
	case m.State != nil:
		g.takeState(now, m.State)
	case m.Forecast != nil:
		g.takeForecast(now, m.Forecast)
	default:
		out = g.takeTokenPacket(now, m)
	}
	out = append(out, g.tokenMessages()...)
	g.mu.Unlock()
	g.sendAll(out)
}

func (g *Gateway) takeBeat(now clock.Time, b *beatMsg) {
	if b.Name == g.set.Name {
		return
	}
	if b.Leaving && b.Claim == nil && g.holder.name == b.Name {
		g.lease.HolderLeft(now)
	}
	if b.Echo != nil {
		g.lease.Echoed(machine(b.Name, b.Address), leader.Echo{Fencing: b.Echo.Fencing, Sequence: b.Echo.Sequence})
	}
	g.members.Heard(now, b.heardAs())
	g.hearOwned(now, b)
	g.dir.HeardRunning(now, b.Name, b.Running)
	for d, n := range b.Broken {
		g.poison.Heard(now, b.Name, d, n)
	}
	g.hearHolder(now, b)
	g.takeLeft(now, b)
	g.countArrivals(now, b)
	if m := g.manifest.Load(); m == nil && b.Manifest > 0 || m != nil && b.Manifest > m.Version {
		g.behind(b.Name)
	}
	if len(b.Wants) > 0 && g.lease.Holds(now) {
		g.poke()
	}
}

func (g *Gateway) hearHolder(now clock.Time, b *beatMsg) {
	c := b.Claim
	if c == nil || c.Fencing < g.holder.fencing {
		return
	}
	if g.holder.name != b.Name || g.holder.fencing != c.Fencing {
		g.log.Info().Str("holder", b.Name).Int64("fencing", c.Fencing).Msg("lease: another instance gives orders")
		g.holder = holder{name: b.Name, fencing: c.Fencing}
	}
	if g.holder.storeDown && !b.StoreDown {
		g.watches.storeReturned()
	}
	g.holder.heard, g.holder.storeDown = now, b.StoreDown
	claim := leader.Claim{
		Fencing: c.Fencing, Sequence: c.Sequence, Version: c.Version,
		Left: time.Duration(c.LeftMS) * time.Millisecond, OrdersIn: time.Duration(c.OrdersInMS) * time.Millisecond,
	}
	g.lease.HeardHolder(now, claim)
	g.outlook.HeardHolder(now, now.Add(max(claim.Left, leasePromise)), now.Add(claim.OrdersIn))
}

// countArrivals feeds the difference of another instance's counters.
func (g *Gateway) countArrivals(now clock.Time, b *beatMsg) {
	seen := g.peerSeen[b.Name]
	fresh := seen == nil || seen.incarnation != b.Incarnation
	if fresh {
		seen = &peerSeen{incarnation: b.Incarnation, arrived: make(map[string]uint64)}
		g.peerSeen[b.Name] = seen
	}
	for model, n := range b.Arrived {
		before, known := seen.arrived[model]
		if !known {
			before = n - 1 // its count from before this instance listened is old
		}
		if n > before && !fresh {
			g.placer.Arrived(now, model, int(n-before))
		}
		seen.arrived[model] = n
	}
	seen.wants, seen.heard, seen.storeDown = b.Wants, now, b.StoreDown
}

// wants returns what waits at all instances. The caller holds mu.
func (g *Gateway) wants(now clock.Time) map[placer.Key]placer.Want {
	all := make(map[placer.Key]placer.Want)
	add := func(k placer.Key, w placer.Want) {
		if old, ok := all[k]; ok {
			w = old.Join(w)
		}
		all[k] = w
	}
	for k, w := range g.wanted(now) {
		add(k, w)
	}
	const fresh = 2200 * time.Millisecond // three messages in the largest fleet
	for _, s := range g.peerSeen {
		if now.Sub(s.heard) > fresh {
			continue
		}
		for _, w := range s.wants {
			add(placer.Key{Group: w.Group, Model: w.Model, Adapter: w.Adapter}, placer.Want{
				Requests: w.Requests, Since: s.heard.Add(-time.Duration(w.WaitedMS) * time.Millisecond), Priority: w.Priority,
				Due: dueAt(s.heard, w.DueMS),
			})
		}
	}
	return all
}

// enginesOf returns the servers that take orders. The caller holds mu.
func (g *Gateway) enginesOf() []*directory.Server {
	m := g.manifest.Load()
	if m == nil {
		return nil
	}
	var all []*directory.Server
	for _, name := range sortedNames(m.Groups) {
		if m.Groups[name].Engine != nil {
			all = append(all, g.dir.All(name)...)
		}
	}
	return all
}
