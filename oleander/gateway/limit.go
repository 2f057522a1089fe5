package gateway

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/oleander/process/boottime"
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

// grant is what a request got of its account's tokens.
type grant struct {
	number  uint64
	cost    float64 // that the request counts
	tokens  float64 // that were granted and not given back
	outcome quota.Outcome
}

// charge takes the request's tokens from its account's bucket.
func (x *exchange) charge() *refusal {
	if x.account == nil {
		return nil
	}
	cost := x.tokenCost()
	// Within its account a request ranks by its route: the account's own priority
	// is the same for all of them.
	number, decided := x.g.requestTokens(x.account.Name, cost, x.route.Priority, quota.Patience(x.route.Objective, x.route.Timeout))
	var o quota.Outcome
	select {
	case o = <-decided:
	case <-x.r.Context().Done():
		x.g.abandonTokens(number)
		return refusalOf(reasonCallerGone, 0)
	case <-x.g.refuseWaiting:
		x.g.abandonTokens(number)
		return refusalOf(reasonStopping, comeBack)
	}
	x.grant.number, x.grant.cost, x.grant.outcome = number, cost, o
	switch o.Verdict {
	case quota.Granted:
		x.grant.tokens = cost
		x.g.metrics.quotaSpent.Add(int(cost))
		return nil
	case quota.Refused:
		x.g.metrics.quotaDenied.Inc()
		return &refusal{status: http.StatusTooManyRequests, reason: reasonQuota, retryAfter: max(o.RetryAfter, comeBack)}
	}
	x.g.metrics.quotaUnknown.Inc()
	return refusalOf(reasonNoOwner, max(o.RetryAfter, comeBack))
}

// tokenCost is what the request counts against its account's limit.
func (x *exchange) tokenCost() float64 {
	switch {
	case !x.account.CountTokens:
		return 1
	case x.call.Tokens == 0:
		return float64(x.account.PlainCost)
	}
	return float64(x.call.Tokens)
}

// refund gives back the tokens of a request that did not run.
func (x *exchange) refund() {
	if x.account == nil || x.grant.tokens == 0 || x.ran > 0 {
		return
	}
	g := x.g
	g.withTokens(func(now clock.Time) {
		g.quota.Refund(now, x.grant.number, x.account.Name, x.grant.tokens, x.grant.outcome.Owner)
	})
	g.metrics.quotaRefunded.Add(int(x.grant.tokens))
	x.grant.tokens = 0
}

// log adds what the limit of the account decided.
func (t grant) log(e *zerolog.Event) *zerolog.Event {
	o := t.outcome
	if o.Owner == "" {
		return e
	}
	return e.Float64("cost", t.cost).Str("limit", o.Verdict.String()).Str("limit_owner", o.Owner).Int64("limit_waited_ms", o.Waited.Milliseconds()).
		Float64("limit_level", o.Level).Float64("limit_ahead", o.Ahead)
}

// requestTokens asks for tokens; the outcome comes on the channel.
func (g *Gateway) requestTokens(account string, cost float64, priority int, wait time.Duration) (uint64, <-chan quota.Outcome) {
	decided := make(chan quota.Outcome, 1)
	var number uint64
	g.withTokens(func(now clock.Time) {
		number = g.quota.Request(now, account, cost, priority, wait)
		g.deciding[number] = decided
	})
	return number, decided
}

// abandonTokens gives up a request for tokens.
func (g *Gateway) abandonTokens(number uint64) {
	g.withTokens(func(now clock.Time) {
		delete(g.deciding, number)
		g.quota.Abandon(now, number)
	})
}

// tokenMessages takes what the meter wants sent, passes on what it decided, and
// sets the timer for what it does next. The caller holds mu.
func (g *Gateway) tokenMessages() []outgoing {
	messages, outcomes := g.quota.Drain()
	for _, o := range outcomes {
		if decided := g.deciding[o.Number]; decided != nil {
			decided <- o
			delete(g.deciding, o.Number)
		}
	}
	if g.quota.Untold() {
		g.tellClaim = true
		g.poke()
	}
	if next := g.quota.Next(); next != clock.Never {
		g.tokenTimer.Reset(max(time.Millisecond, boottime.Until(next)))
	}
	var out []outgoing
	for _, m := range messages {
		if to := g.members.Get(m.To); to != nil {
			out = append(out, outgoing{message: g.encode(g.tokenPacket(m)), to: []recipient{g.recipient(to)}})
		}
	}
	return out
}

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
		g.members.Listed(now, p.Ping.Name, p.Ping.Address, p.Ping.Zone)
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

// withTokens calls do with the meter's lock held, and sends what follows.
func (g *Gateway) withTokens(do func(now clock.Time)) {
	g.mu.Lock()
	do(boottime.Now())
	out := g.tokenMessages()
	g.mu.Unlock()
	g.sendAll(out)
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

// heardAs returns another instance as its heartbeat describes it.
func (b *beatMsg) heardAs() members.Member {
	return members.Member{
		Name: b.Name, Address: b.Address, Zone: b.Zone, Incarnation: b.Incarnation, Strength: b.Strength, Leaving: b.Leaving,
	}
}

// sendAll sends messages.
func (g *Gateway) sendAll(out []outgoing) {
	for _, m := range out {
		g.peers.send(m.message, m.to)
	}
}
