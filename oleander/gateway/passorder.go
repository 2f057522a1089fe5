package gateway

import (
	"time"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// forwardedOrderTimeout bounds an order forwarded to the holder of another zone's
// lease.
const forwardedOrderTimeout = orderTimeout + 60*time.Millisecond

// orderMsg asks the holder of a zone lease to send an order.
type orderMsg struct {
	_                 struct{} `cbor:",toarray"`
	From              string
	Incarnation       uint64
	Number            uint64
	Server            string
	Address           string
	ServerIncarnation int64
	Kind              placer.OrderKind
	Model             string
	Adapter           string
	Precondition      int64
}

// orderResultMsg answers an orderMsg.
type orderResultMsg struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the asking instance
	Number      uint64
	Result      placer.OrderResult
}

// forwardedOrders are the orders awaiting an answer of another instance.
type forwardedOrders struct {
	next uint64
	open map[uint64]chan placer.OrderResult
}

func newForwardedOrders() forwardedOrders {
	return forwardedOrders{open: make(map[uint64]chan placer.OrderResult)}
}

// forwardOrder has the holder of a zone lease send an order. Without an answer the
// order may have been sent.
func (g *Gateway) forwardOrder(zone string, o placer.Order) placer.OrderResult {
	g.mu.Lock()
	now := boottime.Now()
	holder := g.zoneHolderMember(now, zone)
	if holder == nil {
		g.mu.Unlock()
		return placer.NoResponse
	}
	g.forwardedOrders.next++
	number, reply := g.forwardedOrders.next, make(chan placer.OrderResult, 1)
	g.forwardedOrders.open[number] = reply
	m := g.encode(packet{Order: &orderMsg{
		From: g.settings.Name, Incarnation: g.incarnation, Number: number, Server: o.Server, Address: o.Address, ServerIncarnation: o.Incarnation,
		Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, Precondition: o.Precondition,
	}})
	to := g.recipient(holder)
	g.mu.Unlock()
	g.peers.send(m, []recipient{to})
	t := time.NewTimer(forwardedOrderTimeout)
	defer t.Stop()
	result := placer.NoResponse
	select {
	case result = <-reply:
	case <-t.C:
	case <-g.ctx.Done():
	}
	g.mu.Lock()
	delete(g.forwardedOrders.open, number)
	g.mu.Unlock()
	return result
}

// handleOrder sends an order planned by another instance and replies with the answer.
// The caller holds mu.
func (g *Gateway) handleOrder(m *orderMsg) {
	requester := g.members.Get(m.From)
	if requester == nil {
		return
	}
	o := placer.Order{
		Server: m.Server, Address: m.Address, Incarnation: m.ServerIncarnation, Kind: m.Kind,
		Model: m.Model, Adapter: m.Adapter, Precondition: m.Precondition,
	}
	go g.replyOrderResult(m, o, requester)
}

func (g *Gateway) replyOrderResult(m *orderMsg, o placer.Order, requester *members.Member) {
	result := g.sendForwarded(o)
	reply := g.encode(packet{OrderResult: &orderResultMsg{Incarnation: m.Incarnation, Number: m.Number, Result: result}})
	g.peers.send(reply, []recipient{g.recipient(requester)})
}

// sendForwarded sends an order that another instance planned. An engine that started again may still get
// orders without a response that this instance planned while it did not hear the other one, which does not know of them.
func (g *Gateway) sendForwarded(o placer.Order) placer.OrderResult {
	g.mu.Lock()
	held := g.placer.MayGetOwnOrder(boottime.Now(), o)
	g.mu.Unlock()
	if held {
		g.log.Info().Str("server", o.Server).Str("order", string(o.Kind)).Str("model", o.Model).Msg("placer: forwarded order held back, an earlier one may still arrive")
		return placer.Busy
	}
	result := g.sendOrder(o)
	if result == placer.NoResponse {
		g.mu.Lock()
		g.placer.RecordForwarded(boottime.Now(), o)
		g.mu.Unlock()
	}
	return result
}

// handleOrderResult handles the answer to a forwarded order. The caller holds mu.
func (g *Gateway) handleOrderResult(m *orderResultMsg) {
	if m.Incarnation != g.incarnation {
		return
	}
	if reply := g.forwardedOrders.open[m.Number]; reply != nil {
		select {
		case reply <- m.Result:
		default: // a duplicate answer
		}
	}
}
