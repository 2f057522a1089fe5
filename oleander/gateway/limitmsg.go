package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/quota"
)

// askMsg asks the owner of an account for tokens.
type askMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Number      uint64
	Account     string
	Cost        float64
	Priority    int
	WaitMS      int64
	Doubted     string
	Epoch       uint64
}

// replyMsg answers an askMsg.
type replyMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64 // of the asker
	Number      uint64
	Verdict     quota.Verdict
	WaitMS      int64
	Owner       string
	Epoch       uint64
	Level       float64
	Ahead       float64
}

// returnMsg gives up an ask, or gives tokens back.
type returnMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Number      uint64
	Account     string
	Granted     float64
}

// pingMsg asks for a heartbeat at once. It says where to send it, for an
// instance that started a moment ago is not known everywhere.
type pingMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
	Zone    string
}

// claimedMsg is an account that the sender owns.
type claimedMsg struct {
	_           struct{} `cbor:",toarray"`
	Account     string
	Epoch       uint64
	Provisional bool
}

// handedMsg is an account that the sender owned until it was told to stop.
type handedMsg struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Epoch   uint64
	Level   float64
}

// tokenPacket puts a message of the meter into its wire form.
func (g *Gateway) tokenPacket(m quota.Message) packet {
	switch {
	case m.Ask != nil:
		a := m.Ask
		return packet{Ask: &askMsg{
			From: a.ID.Asker, Incarnation: a.ID.Incarnation, Number: a.ID.Number, Account: a.Account, Cost: a.Cost,
			Priority: a.Priority, WaitMS: a.Wait.Milliseconds(), Doubted: a.Doubted, Epoch: a.Epoch,
		}}
	case m.Reply != nil:
		r := m.Reply
		return packet{Reply: &replyMsg{
			From: g.set.Name, Incarnation: r.ID.Incarnation, Number: r.ID.Number, Verdict: r.Verdict,
			WaitMS: r.Wait.Milliseconds(), Owner: r.Owner, Epoch: r.Epoch, Level: r.Level, Ahead: r.Ahead,
		}}
	case m.Return != nil:
		r := m.Return
		return packet{Return: &returnMsg{
			From: g.set.Name, Incarnation: r.ID.Incarnation, Number: r.ID.Number, Account: r.Account, Granted: r.Granted,
		}}
	}
	return packet{Ping: &pingMsg{Name: g.set.Name, Address: g.set.Peer, Zone: g.set.Zone}}
}

// takeTokenPacket takes a message about tokens. The caller holds mu.
func (g *Gateway) takeTokenPacket(now clock.Time, p packet) []outgoing {
	switch {
	case p.Ask != nil:
		a := p.Ask
		g.quota.TakeAsk(now, quota.Ask{
			ID:      quota.ID{Asker: a.From, Incarnation: a.Incarnation, Number: a.Number},
			Account: a.Account, Cost: a.Cost, Priority: a.Priority, Wait: time.Duration(a.WaitMS) * time.Millisecond,
			Doubted: a.Doubted, Epoch: a.Epoch,
		})
	case p.Reply != nil:
		r := p.Reply
		g.quota.TakeReply(now, r.From, quota.Reply{
			ID:      quota.ID{Asker: g.set.Name, Incarnation: r.Incarnation, Number: r.Number},
			Verdict: r.Verdict, Wait: time.Duration(r.WaitMS) * time.Millisecond, Owner: r.Owner, Epoch: r.Epoch,
			Level: r.Level, Ahead: r.Ahead,
		})
	case p.Return != nil:
		r := p.Return
		g.quota.TakeReturn(now, r.From, quota.Return{
			ID:      quota.ID{Asker: r.From, Incarnation: r.Incarnation, Number: r.Number},
			Account: r.Account, Granted: r.Granted,
		})
	case p.Ping != nil:
		g.members.UpdateFromRow(now, p.Ping.Name, p.Ping.Address, p.Ping.Zone, 0)
		return g.beatTo(now, p.Ping.Name)
	}
	return nil
}

// beatTo returns this instance's heartbeat for one other. The caller holds mu.
func (g *Gateway) beatTo(now clock.Time, name string) []outgoing {
	to := g.members.Get(name)
	if to == nil {
		return nil
	}
	return []outgoing{{message: g.encode(packet{Beat: g.beat(now)}), to: []recipient{g.recipient(to)}}}
}

// tellOwned adds what this instance owns and what it left. The caller holds mu.
func (g *Gateway) tellOwned(now clock.Time, b *beatMsg) {
	for _, c := range g.quota.Claims() {
		b.Owned = append(b.Owned, claimedMsg{Account: c.Account, Epoch: c.Epoch, Provisional: c.Provisional})
	}
	for _, h := range g.quota.Handovers(now) {
		b.Handed = append(b.Handed, handedMsg{Account: h.Account, Epoch: h.Epoch, Level: h.Level})
	}
}

// hearOwned takes what another instance owns and left. The caller holds mu.
func (g *Gateway) hearOwned(now clock.Time, b *beatMsg) {
	claims := make([]quota.Claim, 0, len(b.Owned))
	for _, c := range b.Owned {
		claims = append(claims, quota.Claim{Account: c.Account, Epoch: c.Epoch, Provisional: c.Provisional})
	}
	left := make([]quota.Handover, 0, len(b.Handed))
	for _, h := range b.Handed {
		left = append(left, quota.Handover{Account: h.Account, Epoch: h.Epoch, Level: h.Level})
	}
	g.quota.HeardClaims(now, b.Name, claims)
	g.quota.HeardHandovers(now, b.Name, left)
}
