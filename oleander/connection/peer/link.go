package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"oleanderdale.org/oleander/connection/peer/peerpb"
	"oleanderdale.org/oleander/process/metric"
)

// link sends messages to one instance, over one gRPC stream at a time.
type link struct {
	address   string
	tls       *tls.Config
	log       zerolog.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan *peerpb.Packet
	draining  chan struct{} // closed by drain
	drainOnce sync.Once
}

func newLink(ctx context.Context, address string, c *tls.Config, log zerolog.Logger) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{
		address: address, tls: c, log: log, ctx: ctx, cancel: cancel,
		queue: make(chan *peerpb.Packet, queueLength), draining: make(chan struct{}),
	}
}

// enqueue queues p, or drops and counts it if the queue is full.
func (l *link) enqueue(p *peerpb.Packet) {
	select {
	case l.queue <- p:
		metric.PeerSent.Inc()
		metric.PeerSentBytes.Add(len(p.GetBody()))
	default:
		metric.PeerDropped.Inc()
	}
}

// close ends the link at once.
func (l *link) close() { l.cancel() }

// closed reports whether the link has ended.
func (l *link) closed() bool { return l.ctx.Err() != nil }

// drain makes run send what is queued and return.
func (l *link) drain() { l.drainOnce.Do(func() { close(l.draining) }) }

// run connects and sends queued packets until the link is closed, drained or idle
// for idleTimeout.
func (l *link) run() {
	defer l.cancel()
	conn, err := grpc.NewClient("passthrough:///"+l.address, dialOptions(l.tls)...)
	if err != nil {
		l.log.Error().Err(err).Str("address", l.address).Msg("peer: can't create a client for the address")
		return
	}
	defer func() { _ = conn.Close() }()
	client := peerpb.NewPeerClient(conn)
	for !l.closed() {
		if !l.sendStream(client) {
			return
		}
	}
}

// sendStream opens a stream and sends queued packets until it fails. It returns
// false if the link has ended and no further stream should be opened.
func (l *link) sendStream(client peerpb.PeerClient) bool {
	s, err := client.Deliver(l.ctx, grpc.WaitForReady(false))
	if err != nil {
		return l.backOff()
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case p := <-l.queue:
			if s.Send(p) != nil {
				metric.PeerDropped.Inc()
				return l.backOff()
			}
			idle.Reset(idleTimeout)
		case <-s.Context().Done():
			return l.backOff()
		case <-l.draining:
			l.flush(s)
			return false
		case <-idle.C:
			_, _ = s.CloseAndRecv()
			return false
		}
	}
}

// backOff waits 100 ms before the next attempt to connect. It drops the packets
// that are queued meanwhile: a message that is delayed by the length of an outage
// does more harm than a lost one. It returns false if the link has ended.
func (l *link) backOff() bool {
	t := time.NewTimer(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.queue:
			metric.PeerDropped.Inc()
		case <-t.C:
			return !l.closed()
		case <-l.ctx.Done():
			return false
		case <-l.draining:
			return false
		}
	}
}

// flush sends what is queued and closes the stream.
func (l *link) flush(s grpc.ClientStreamingClient[peerpb.Packet, peerpb.DeliverSummary]) {
	for {
		select {
		case p := <-l.queue:
			if s.Send(p) != nil {
				return
			}
		default:
			_, _ = s.CloseAndRecv()
			return
		}
	}
}
