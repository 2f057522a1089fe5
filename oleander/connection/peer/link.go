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

// link is the outgoing stream to one instance.
type link struct {
	address   string
	tls       *tls.Config
	log       zerolog.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	queue     chan *peerpb.Packet
	draining  chan struct{} // closed by finish
	drainOnce sync.Once
}

func newLink(ctx context.Context, address string, c *tls.Config, log zerolog.Logger) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{
		address: address, tls: c, log: log, ctx: ctx, cancel: cancel,
		queue: make(chan *peerpb.Packet, queueLength), draining: make(chan struct{}),
	}
}

func (l *link) enqueue(p *peerpb.Packet) {
	select {
	case l.queue <- p:
		metric.PeerSent.Inc()
		metric.PeerSentBytes.Add(len(p.GetBody()))
	default:
		metric.PeerDropped.Inc()
	}
}

func (l *link) close()       { l.cancel() }
func (l *link) closed() bool { return l.ctx.Err() != nil }
func (l *link) drain()       { l.drainOnce.Do(func() { close(l.draining) }) }

// run connects and sends until the link is closed or idle.
func (l *link) run() {
	defer l.cancel()
	conn, err := grpc.NewClient("passthrough:///"+l.address, dialOptions(l.tls)...)
	if err != nil {
		l.log.Error().Err(err).Str("address", l.address).Msg("peer: no connection")
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

// stream opens one stream and sends from the queue until it breaks. It
// returns false if the link is over.
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

// pause drops what is queued while the instance can't be reached, since a
// message that is late by the length of an outage misleads more than it tells.
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
