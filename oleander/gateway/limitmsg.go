package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/core/gateway/reservation"
)

// acquireMsg asks the owner of an account for tokens.
type acquireMsg struct {
	_              struct{} `cbor:",toarray"`
	From           string
	Incarnation    uint64
	Number         uint64
	Account        string
	Cost           float64
	Priority       int
	WaitMS         int64
	SuspectedOwner string
	Epoch          uint64
}

// acquireDetailMsg goes with an acquireMsg if load scheduling is on. Unlike that message it is
// a map, so that earlier versions skip what they do not know.
type acquireDetailMsg struct {
	Group    string `cbor:"1,keyasint,omitempty"`
	LeavesMS int64  `cbor:"3,keyasint,omitempty"`
	Digest   uint64 `cbor:"4,keyasint,omitempty"`
}

func newAcquireDetail(d *quota.AcquireDetail) *acquireDetailMsg {
	if d == nil {
		return nil
	}
	return &acquireDetailMsg{Group: d.Group, LeavesMS: d.Leaves.Milliseconds(), Digest: d.Digest}
}

func (d *acquireDetailMsg) decode() *quota.AcquireDetail {
	if d == nil {
		return nil
	}
	return &quota.AcquireDetail{
		Group: d.Group, Leaves: time.Duration(d.LeavesMS) * time.Millisecond, Digest: d.Digest,
	}
}

// acquireReplyMsg answers an acquireMsg.
type acquireReplyMsg struct {
	_            struct{} `cbor:",toarray"`
	From         string
	Incarnation  uint64 // of the asking instance
	Number       uint64
	Verdict      quota.Verdict
	WaitMS       int64
	Owner        string
	Epoch        uint64
	Level        float64
	QueuedTokens float64
}

// acquireReplyDetailMsg goes with an acquireReplyMsg if there is more to say.
type acquireReplyDetailMsg struct {
	// Returned says whether the caller had been told when to return; 0: not known.
	Returned reservation.Status `cbor:"1,keyasint,omitempty"`
}

func newAcquireReplyDetail(r *quota.AcquireReply) *acquireReplyDetailMsg {
	if r.Returned == reservation.New {
		return nil
	}
	return &acquireReplyDetailMsg{Returned: r.Returned}
}

// returned returns the status of the caller's return; an unknown one is that of a new request.
func (d *acquireReplyDetailMsg) returned() reservation.Status {
	if d == nil {
		return reservation.New
	}
	return knownStatus(d.Returned)
}

// releaseMsg withdraws an acquireMsg or returns granted tokens.
type releaseMsg struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Number      uint64
	Account     string
	Unused      float64
}

// pingMsg asks for a heartbeat at once. It carries the sender's address, since an
// instance that just started is not known everywhere.
type pingMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
	Zone    string
}

// ownedAccountMsg is an account owned by the sender.
type ownedAccountMsg struct {
	_           struct{} `cbor:",toarray"`
	Account     string
	Epoch       uint64
	Provisional bool
}

// handoverMsg is an account that the sender owned until it began to stop.
type handoverMsg struct {
	_       struct{} `cbor:",toarray"`
	Account string
	Epoch   uint64
	Level   float64
}

// quotaPacket converts a message of the limiter to its wire form.
func (g *Gateway) quotaPacket(m quota.Message) packet {
	switch {
	case m.Acquire != nil:
		a := m.Acquire
		return packet{Acquire: &acquireMsg{
			From: a.ID.Requester, Incarnation: a.ID.Incarnation, Number: a.ID.Number, Account: a.Account, Cost: a.Cost,
			Priority: a.Priority, WaitMS: a.Wait.Milliseconds(), SuspectedOwner: a.SuspectedOwner, Epoch: a.Epoch,
		}, AcquireDetail: newAcquireDetail(a.Detail)}
	case m.Reply != nil:
		r := m.Reply
		return packet{AcquireReply: &acquireReplyMsg{
			From: g.settings.Name, Incarnation: r.ID.Incarnation, Number: r.ID.Number, Verdict: r.Verdict,
			WaitMS: r.Wait.Milliseconds(), Owner: r.Owner, Epoch: r.Epoch, Level: r.Level, QueuedTokens: r.QueuedTokens,
		}, AcquireReplyDetail: newAcquireReplyDetail(r)}
	case m.Release != nil:
		r := m.Release
		return packet{Release: &releaseMsg{
			From: g.settings.Name, Incarnation: r.ID.Incarnation, Number: r.ID.Number, Account: r.Account, Unused: r.Unused,
		}}
	}
	return packet{Ping: &pingMsg{Name: g.settings.Name, Address: g.settings.PeerAddress, Zone: g.settings.Zone}}
}

// handleQuotaPacket handles a message of another instance's limiter. The caller
// holds mu.
func (g *Gateway) handleQuotaPacket(now clock.Time, p packet) []outgoing {
	switch {
	case p.Acquire != nil:
		a := p.Acquire
		g.limiter.HandleAcquire(now, quota.AcquireRequest{
			ID:      quota.RequestID{Requester: a.From, Incarnation: a.Incarnation, Number: a.Number},
			Account: a.Account, Cost: a.Cost, Priority: a.Priority, Wait: time.Duration(a.WaitMS) * time.Millisecond,
			SuspectedOwner: a.SuspectedOwner, Epoch: a.Epoch, Detail: p.AcquireDetail.decode(),
		})
	case p.AcquireReply != nil:
		r := p.AcquireReply
		g.limiter.HandleReply(now, r.From, quota.AcquireReply{
			ID:      quota.RequestID{Requester: g.settings.Name, Incarnation: r.Incarnation, Number: r.Number},
			Verdict: r.Verdict, Wait: time.Duration(r.WaitMS) * time.Millisecond, Owner: r.Owner, Epoch: r.Epoch,
			Level: r.Level, QueuedTokens: r.QueuedTokens, Returned: p.AcquireReplyDetail.returned(),
		})
	case p.Release != nil:
		r := p.Release
		g.limiter.HandleRelease(now, r.From, quota.Release{
			ID:      quota.RequestID{Requester: r.From, Incarnation: r.Incarnation, Number: r.Number},
			Account: r.Account, Unused: r.Unused,
		})
	case p.Ping != nil:
		g.members.UpdateFromRow(now, p.Ping.Name, p.Ping.Address, p.Ping.Zone, 0)
		return g.heartbeatTo(now, p.Ping.Name)
	}
	return nil
}

// heartbeatTo returns this instance's heartbeat for one other. The caller holds mu.
func (g *Gateway) heartbeatTo(now clock.Time, name string) []outgoing {
	to := g.members.Get(name)
	if to == nil {
		return nil
	}
	return []outgoing{{message: g.encode(packet{Heartbeat: g.newHeartbeat(now)}), recipients: []recipient{g.recipient(to)}}}
}

// addOwnedAccounts adds the accounts that this instance owns or hands over. The
// caller holds mu.
func (g *Gateway) addOwnedAccounts(now clock.Time, b *heartbeatMsg) {
	for _, c := range g.limiter.Claims() {
		b.OwnedAccounts = append(b.OwnedAccounts, ownedAccountMsg{Account: c.Account, Epoch: c.Epoch, Provisional: c.Provisional})
	}
	for _, h := range g.limiter.Handovers(now) {
		b.Handovers = append(b.Handovers, handoverMsg{Account: h.Account, Epoch: h.Epoch, Level: h.Level})
	}
}

// handleOwnedAccounts records the accounts that another instance owns or hands over.
// The caller holds mu.
func (g *Gateway) handleOwnedAccounts(now clock.Time, b *heartbeatMsg) {
	claims := make([]quota.Claim, 0, len(b.OwnedAccounts))
	for _, c := range b.OwnedAccounts {
		claims = append(claims, quota.Claim{Account: c.Account, Epoch: c.Epoch, Provisional: c.Provisional})
	}
	handovers := make([]quota.Handover, 0, len(b.Handovers))
	for _, h := range b.Handovers {
		handovers = append(handovers, quota.Handover{Account: h.Account, Epoch: h.Epoch, Level: h.Level})
	}
	g.limiter.HandleClaims(now, b.Name, claims)
	g.limiter.HandleHandovers(now, b.Name, handovers)
}
