package gateway

import (
	"cmp"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/spread"
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
		Running: g.dir.LocalLoad(), Broken: g.poison.Own(now, brokenFor),
		StoreDown: g.storeAway(now), Blind: g.blind(now), Era: g.era.now, Zones: g.zonesOf(now),
	}
	g.tellOwned(now, b)
	if m := g.manifest.Load(); m != nil {
		b.Manifest = m.Version
	}
	b.Claim, b.Echo = claimOf(now, g.lease), echoOf(g.lease)
	b.ZoneClaim, b.ZoneEcho = claimOf(now, g.zoneLease), echoOf(g.zoneLease)
	return b
}

// demand adds what the one that places models has to know. The caller holds mu.
func (g *Gateway) demand(now clock.Time, b *beatMsg) {
	b.Arrived, b.Running, b.Left = g.arrivedOfLate(now), g.dir.LocalLoadByModel(), g.leftOfLate(now)
	for k, w := range g.wanted(now) {
		b.Wants = append(b.Wants, wantMsg{
			Group: k.Group, Model: k.Model, Adapter: k.Adapter, Homes: k.Homes, Requests: w.Requests,
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

// audience says whom a heartbeat is for.
type audience int

const (
	toHolder    audience = iota // of the lease only
	toAll                       // all, through relays
	toAllAtOnce                 // all directly: it must not be late or lost
)

// candidatesTold is how many instances are told of demand while no holder is
// heard: one of the strongest is the next.
const candidatesTold = 3

// sendBeat tells others of this instance. The holder is told of demand too, which
// is more than half of a message; so are the next candidates while no holder is
// heard.
func (g *Gateway) sendBeat(to audience) {
	g.mu.Lock()
	now := boottime.Now()
	all := g.members.All(now)
	full := g.toldOfDemand(now, all)
	var holder, others []*members.Member
	for _, o := range all {
		switch {
		case full[o.Name]:
			holder = append(holder, o)
		case to != toHolder:
			others = append(others, o)
		}
	}
	// The messages have maps that go on changing, so they are encoded under mu.
	var out []outgoing
	b := g.beat(now)
	switch {
	case len(others) == 0:
	case to == toAllAtOnce || g.lease.Holds(now):
		out = append(out, outgoing{message: g.encode(packet{Beat: b}), to: g.recipients(others)})
	default:
		out = g.toAll(now, g.encode(packet{Beat: b}), others, false)
	}
	if len(holder) > 0 {
		g.demand(now, b)
		out = append(out, outgoing{message: g.encode(packet{Beat: b}), to: g.recipients(holder)})
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// toldOfDemand returns the instances that place models now or are the next to.
func (g *Gateway) toldOfDemand(now clock.Time, all []*members.Member) map[string]bool {
	if g.lease.Holds(now) {
		return nil
	}
	told := make(map[string]bool)
	if h := g.zoneHolderMember(now, g.set.Zone); h != nil {
		told[h.Name] = true // it plans for the zone when the other one is gone
	}
	if !g.fleetSilent(now) {
		told[g.holder.name] = true
		return told
	}
	for _, m := range spread.Strongest(now, all, candidatesTold) {
		told[m.Name] = true
	}
	return told
}

// takePacket takes a message of another instance.
func (g *Gateway) takePacket(m packet) {
	g.mu.Lock()
	out := append(g.takeAny(boottime.Now(), m), g.tokenMessages()...)
	g.mu.Unlock()
	g.sendAll(out)
}

// takeAny takes a message, or those that are wrapped in it. The caller holds mu.
func (g *Gateway) takeAny(now clock.Time, m packet) []outgoing {
	switch {
	case m.Forward != nil:
		g.passOn(m.Forward)
		return g.takeInner(now, m.Forward)
	case m.Relayed != nil:
		var out []outgoing
		for _, body := range m.Relayed {
			out = append(out, g.takeInner(now, body)...)
		}
		return out
	}
	return g.takeOne(now, m)
}

// takeOne takes a message that is not wrapped. The caller holds mu.
func (g *Gateway) takeOne(now clock.Time, m packet) []outgoing {
	switch {
	case m.Beat != nil:
		g.takeBeat(now, m.Beat)
	case m.State != nil:
		g.takeState(now, m.State)
	case m.Forecast != nil:
		g.takeForecast(now, m.Forecast)
	case m.Word != nil:
		g.takeWord(now, m.Word)
	case m.Order != nil:
		g.takeOrder(m.Order)
	case m.Ordered != nil:
		g.takeOrdered(m.Ordered)
	case m.Dispatch != nil:
		return g.takeDispatchMsg(now, m.Dispatch)
	case m.Choice != nil:
		g.takeChoiceMsg(now, m.Choice)
	default:
		return g.takeTokenPacket(now, m)
	}
	return nil
}

func (g *Gateway) takeBeat(now clock.Time, b *beatMsg) {
	if b.Name == g.set.Name {
		return
	}
	g.eraIs(now, b.Era)
	g.takeZones(now, b.Zones)
	if b.Leaving && b.Claim == nil && g.holder.name == b.Name {
		g.lease.HolderLeft(now)
	}
	if b.Echo != nil {
		g.lease.Echoed(machine(b.Name, b.Address), leader.Echo{Fencing: b.Echo.Fencing, Sequence: b.Echo.Sequence})
	}
	g.members.UpdateFromMessage(now, b.heardAs())
	g.hearOwned(now, b)
	if g.dispatch.HasDirectReport(now, b.Name) {
		g.dir.RefreshPeerLoad(now, b.Name)
	} else {
		g.dir.SetPeerLoad(now, b.Name, b.Running)
	}
	for d, n := range b.Broken {
		g.poison.Heard(now, b.Name, d, n)
	}
	g.hearHolder(now, b)
	g.hearZoneHolder(now, b)
	g.takeLeft(now, b)
	g.countArrivals(now, b)
	g.sync.ObserveVersion(now, b.Name, b.Zone, b.Manifest)
	g.catchUp()
	if len(b.Wants) > 0 && g.scopeOf(now) != placer.Nothing {
		g.poke()
	}
}

func (g *Gateway) hearHolder(now clock.Time, b *beatMsg) {
	c := b.Claim
	if c == nil || c.Fencing < g.holder.fencing {
		return
	}
	if g.holder.name != b.Name || g.holder.fencing != c.Fencing {
		g.log.Info().Str("holder", b.Name).Int64("fencing", c.Fencing).Msg("lease: another instance plans for all")
		g.holder = holder{name: b.Name, fencing: c.Fencing}
	}
	if g.holder.storeDown && !b.StoreDown {
		g.watches.storeReturned()
	}
	if g.holder.version != 0 && c.Version > g.holder.version {
		g.lapse.Answered(now) // the store took a renewal a moment ago
	}
	g.holder.version = max(c.Version, g.holder.version)
	g.holder.heard, g.holder.storeDown, g.holder.blind = now, b.StoreDown, b.Blind
	claim := c.claim()
	g.lease.HeardHolder(now, claim)
	g.outlook.HeardHolder(now, now.Add(max(claim.Left, leasePromise)), now.Add(claim.OrdersIn))
}

// countArrivals feeds the difference of another instance's counters.
func (g *Gateway) countArrivals(now clock.Time, b *beatMsg) {
	seen := g.seenOf(b.Name, b.Incarnation)
	for model, n := range b.Arrived {
		g.countModel(now, seen, model, n)
	}
	seen.fresh = false
	seen.wants, seen.heard, seen.storeDown = b.Wants, now, b.StoreDown
}

// seenOf returns what was seen of a life of another instance.
func (g *Gateway) seenOf(name string, incarnation uint64) *peerSeen {
	seen := g.peerSeen[name]
	if seen == nil || seen.incarnation != incarnation {
		seen = &peerSeen{incarnation: incarnation, fresh: true, arrived: make(map[string]uint64)}
		g.peerSeen[name] = seen
	}
	return seen
}

// countModel feeds the difference of one counter.
func (g *Gateway) countModel(now clock.Time, seen *peerSeen, model string, n uint64) {
	before, known := seen.arrived[model]
	if !known {
		before = n - 1 // its count from before this instance listened is old
	}
	if n > before && !seen.fresh {
		g.placer.Arrived(now, model, int(n-before))
	}
	seen.arrived[model] = max(before, n)
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
	for _, d := range g.dispatch.Demands(now) {
		add(placer.Key{Group: d.Group, Model: d.Model, Homes: d.AllowedRegions}, placer.Want{Requests: d.Requests, Since: d.Since, Room: true})
	}
	const fresh = 2200 * time.Millisecond // three messages in the largest fleet
	for _, s := range g.peerSeen {
		if now.Sub(s.heard) > fresh {
			continue
		}
		for _, w := range s.wants {
			add(placer.Key{Group: w.Group, Model: w.Model, Adapter: w.Adapter, Homes: w.Homes}, placer.Want{
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
			all = append(all, g.dir.InGroup(name)...)
		}
	}
	return all
}
