package gateway

import (
	"time"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/process/boottime"
)

// passTimeout bounds an order that the holder of another zone's lease is asked to give.
const passTimeout = orderTimeout + 60*time.Millisecond

// orderMsg asks the holder of a zone's lease to give an order.
type orderMsg struct {
	_            struct{} `cbor:",toarray"`
	From         string
	Incarnation  uint64
	Number       uint64
	Server       string
	Address      string
	Born         int64
	Kind         placer.OrderKind
	Model        string
	Adapter      string
	Precondition int64
}

// orderedMsg answers an orderMsg.
type orderedMsg struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the asker
	Number      uint64
	Answer      placer.OrderResult
}

// orderCalls are the orders that others were asked to give.
type orderCalls struct {
	next uint64
	open map[uint64]chan placer.OrderResult
}

func newOrderCalls() orderCalls { return orderCalls{open: make(map[uint64]chan placer.OrderResult)} }

// passOrder lets the holder of the engine's zone give an order. Without an answer the order
// may have been given.
func (g *Gateway) passOrder(zone string, o placer.Order) placer.OrderResult {
	g.mu.Lock()
	now := boottime.Now()
	holder := g.zoneHolderMember(now, zone)
	if holder == nil {
		g.mu.Unlock()
		return placer.NoResponse
	}
	g.passedOn.next++
	number, answered := g.passedOn.next, make(chan placer.OrderResult, 1)
	g.passedOn.open[number] = answered
	m := g.encode(packet{Order: &orderMsg{
		From: g.set.Name, Incarnation: g.incarnation, Number: number, Server: o.Server, Address: o.Address, Born: o.Incarnation,
		Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, Precondition: o.Precondition,
	}})
	to := g.recipient(holder)
	g.mu.Unlock()
	g.peers.send(m, []recipient{to})
	t := time.NewTimer(passTimeout)
	defer t.Stop()
	answer := placer.NoResponse
	select {
	case answer = <-answered:
	case <-t.C:
	case <-g.ctx.Done():
	}
	g.mu.Lock()
	delete(g.passedOn.open, number)
	g.mu.Unlock()
	return answer
}

// takeOrder gives an order that another instance planned, and answers it. The caller holds
// mu.
func (g *Gateway) takeOrder(m *orderMsg) {
	asker := g.members.Get(m.From)
	if asker == nil {
		return
	}
	o := placer.Order{
		Server: m.Server, Address: m.Address, Incarnation: m.Born, Kind: m.Kind,
		Model: m.Model, Adapter: m.Adapter, Precondition: m.Precondition,
	}
	go g.answerOrder(m, o, asker)
}

func (g *Gateway) answerOrder(m *orderMsg, o placer.Order, asker *members.Member) {
	answer := g.giveOrder(o)
	reply := g.encode(packet{Ordered: &orderedMsg{Incarnation: m.Incarnation, Number: m.Number, Answer: answer}})
	g.peers.send(reply, []recipient{g.recipient(asker)})
}

// takeOrdered takes the answer to an order that was passed on. The caller holds mu.
func (g *Gateway) takeOrdered(m *orderedMsg) {
	if m.Incarnation != g.incarnation {
		return
	}
	if answered := g.passedOn.open[m.Number]; answered != nil {
		select {
		case answered <- m.Answer:
		default: // it was answered twice
		}
	}
}
