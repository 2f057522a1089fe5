package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// originSlack is how long after the deadline of a stream its origin is remembered.
	originSlack = 5 * time.Second
	// softwareInterval is how often the versions of each group are looked at.
	softwareInterval = 250 * time.Millisecond
	// originsPerMessage bounds a message to two kilobytes.
	originsPerMessage = 50
)

// originsMsg tells at which versions streams began, or answers an originQueryMsg.
type originsMsg struct {
	From    string      `cbor:"1,keyasint,omitempty"` // of an answer
	Records []originMsg `cbor:"2,keyasint,omitempty"`
	Unknown uint64      `cbor:"3,keyasint,omitempty"` // the stream that was asked for and is not known
}

// originMsg is an origin.Record.
type originMsg struct {
	_        struct{} `cbor:",toarray"`
	Stream   uint64
	Software string
	LeftMS   int64
}

func newOriginMsg(r origin.Record) originMsg {
	return originMsg{Stream: uint64(r.Stream), Software: r.Software, LeftMS: r.Left.Milliseconds()}
}

// originQueryMsg asks at which version a stream began.
type originQueryMsg struct {
	From    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	Stream  uint64 `cbor:"4,keyasint,omitempty"`
}

// streamOf identifies a stream by the ID of the request that brought its first event.
func streamOf(requestID string) origin.Stream { return origin.Stream(xxhash.Sum64String(requestID)) }

// beginStream remembers the version at which a stream begins, and tells its keepers if there is
// more than one.
func (x *exchange) beginStream(t target) {
	if x.origin.Begun || !x.route.Resumable {
		return
	}
	x.origin = origin.At(t.software)
	if x.call.ID == "" {
		return
	}
	g := x.g
	g.mu.Lock()
	now := boottime.Now()
	r := origin.Record{Stream: streamOf(x.call.ID), Software: t.software, Left: x.deadline.Add(originSlack).Sub(now)}
	g.origins.Began(now, r)
	var out []outgoing
	if g.mixedGroups[x.group] {
		out = g.originMessages(now, []origin.Record{r})
	}
	g.mu.Unlock()
	g.sendAll(out)
}

// requiredOrigin returns the version at which the stream must go on, or no requirement if all servers
// of the group have it: the request then shares queues and demand with new ones. The caller holds mu.
func (x *exchange) requiredOrigin(now clock.Time) origin.Requirement {
	x.required = x.origin
	if !x.origin.Begun {
		return x.required
	}
	if software, sole := x.g.servers.SoleSoftware(now, x.group, x.g.takeUpPeriod()); sole && software == x.origin.Software {
		x.required = origin.Requirement{}
	}
	return x.required
}

// takeUpPeriod returns how long after its beginning a stream may be taken up. The caller holds mu.
func (g *Gateway) takeUpPeriod() time.Duration {
	m := g.manifest.Load()
	if m == nil {
		return originSlack
	}
	return m.LongestStream + originSlack
}

// otherInstances returns the instances that may keep records. The caller holds mu.
func (g *Gateway) otherInstances(now clock.Time, live bool) []origin.Instance {
	var others []origin.Instance
	for _, m := range g.members.All(now) {
		if m.Live(now) && !m.Leaving || !live {
			others = append(others, origin.Instance{Name: m.Name, Zone: m.Zone})
		}
	}
	return others
}

// originMessages returns the messages that tell the keepers of streams. The caller holds mu.
func (g *Gateway) originMessages(now clock.Time, records []origin.Record) []outgoing {
	others := g.otherInstances(now, true)
	byKeeper := make(map[string][]originMsg)
	for _, r := range records {
		for _, name := range origin.Keepers(r.Stream, g.settings.Zone, others) {
			byKeeper[name] = append(byKeeper[name], newOriginMsg(r))
		}
	}
	var out []outgoing
	for _, name := range sortedNames(byKeeper) {
		to := []recipient{g.recipient(g.members.Get(name))}
		for part := range slices.Chunk(byKeeper[name], originsPerMessage) {
			out = append(out, outgoing{message: g.encode(packet{Origins: &originsMsg{Records: part}}), recipients: to})
		}
	}
	return out
}

// tellOrigins tells the keepers of all streams that began here once a group has a second version:
// before, nobody else needed to know. The caller holds mu.
func (g *Gateway) tellOrigins(now clock.Time) []outgoing {
	m := g.manifest.Load()
	if m == nil || now.Sub(g.softwareSeenAt) < softwareInterval {
		return nil
	}
	g.softwareSeenAt = now
	g.origins.Expire(now)
	if g.serversComplete {
		g.softwareHash = g.servers.SoftwareHash()
	}
	tell := false
	for name := range m.Groups {
		_, sole := g.servers.SoleSoftware(now, name, g.takeUpPeriod())
		mixed := !sole && len(g.servers.InGroup(name)) > 0
		tell = tell || mixed && !g.mixedGroups[name]
		g.mixedGroups[name] = mixed
	}
	if !tell {
		return nil
	}
	return g.originMessages(now, g.origins.Own(now))
}

// handleOrigins handles what another instance says of streams. The caller holds mu.
func (g *Gateway) handleOrigins(now clock.Time, m *originsMsg) {
	for _, r := range m.Records {
		g.origins.Keep(now, origin.Record{Stream: origin.Stream(r.Stream), Software: r.Software, Left: time.Duration(r.LeftMS) * time.Millisecond})
		g.originAnswered(origin.Stream(r.Stream), m.From)
	}
	if m.Unknown != 0 {
		g.originAnswered(origin.Stream(m.Unknown), m.From)
	}
}

// originAnswered wakes the requests that wait for the origin of a stream. The caller holds mu.
func (g *Gateway) originAnswered(s origin.Stream, from string) {
	for _, w := range g.originWaits[s] {
		if from != "" {
			delete(w.awaited, from)
			w.answered[from] = true
		}
		select {
		case w.changed <- struct{}{}:
		default:
		}
	}
}

// handleOriginQuery answers a query of another instance. The caller holds mu.
func (g *Gateway) handleOriginQuery(now clock.Time, q *originQueryMsg) []outgoing {
	m := &originsMsg{From: g.settings.Name}
	if r, ok := g.origins.Lookup(now, origin.Stream(q.Stream)); ok {
		m.Records = []originMsg{newOriginMsg(r)}
	} else {
		m.Unknown = q.Stream
	}
	to := recipient{address: q.Address, otherZone: q.Zone != g.settings.Zone}
	return []outgoing{{message: g.encode(packet{Origins: m}), recipients: []recipient{to}}}
}
