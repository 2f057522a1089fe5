// Package peer carries messages between instances: gRPC streams with mutual
// TLS, one a direction. Delivery is not promised. A message for an instance
// that can't be reached, or whose queue is full, is dropped and counted; the
// decision logic repeats what matters.
package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/connection/peer/peerpb"
	"oleanderdale.org/oleander/process/metric"
)

const (
	// queueLength bounds the messages that wait for one instance. A slow
	// instance loses messages instead of using up the sender's memory.
	queueLength = 1024
	// maxPacket bounds one packet, in bytes. A configuration snapshot of
	// letter 1's size must fit.
	maxPacketSize = 32 << 20
	// retryMax bounds the time between attempts to reach an instance, so that
	// a zone that is joined again is heard of within a second.
	maxBackoff = time.Second
	// idleAfter ends the stream to an instance that nothing was sent to.
	idleTimeout = time.Minute
)

// Settings of a Transport.
type Settings struct {
	Self id.Instance
	// Name is the name under which the platform's list knows this instance;
	// packets for it are taken as well.
	Name string
	// Server and Client hold the certificates; both sides must verify.
	ServerTLS, ClientTLS *tls.Config
	// Receive gets every message. It must not block for long.
	HandleMessage func(from id.Instance, m message.Message)
	Log           zerolog.Logger
}

// Transport sends and receives messages.
type Transport struct {
	settings Settings
	codec    *codec
	server   *grpc.Server

	mu          sync.Mutex
	addresses   map[id.Instance]string
	links       map[id.Instance]*link
	closed      bool
	ctx         context.Context
	cancel      context.CancelFunc
	linkWorkers sync.WaitGroup
}

// New returns a Transport that does not listen yet.
func New(s Settings) (*Transport, error) {
	c, err := newCodec()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		settings: s, codec: c, ctx: ctx, cancel: cancel,
		addresses: make(map[id.Instance]string), links: make(map[id.Instance]*link),
	}
	t.server = grpc.NewServer(
		grpc.Creds(credentials.NewTLS(s.ServerTLS)),
		grpc.MaxRecvMsgSize(maxPacketSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 5 * time.Second, Timeout: 5 * time.Second}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(t.server, &peerServer{transport: t})
	return t, nil
}

// Serve receives on l until Close.
func (t *Transport) Serve(l net.Listener) error {
	return errors.Wrap(t.server.Serve(l), "peer: serve")
}

// Learn tells where an instance listens.
func (t *Transport) SetAddress(i id.Instance, address string) {
	if i == "" || address == "" || i == t.settings.Self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.addresses[i] == address {
		return
	}
	t.addresses[i] = address
	if l, ok := t.links[i]; ok {
		l.close()
		delete(t.links, i)
	}
}

// Send queues m for instance to and returns at once.
func (t *Transport) Send(to id.Instance, m message.Message) {
	k, body, err := t.codec.encode(m)
	if err != nil {
		t.settings.Log.Error().Err(err).Msg("peer: message not sent")
		return
	}
	l := t.linkTo(to)
	if l == nil {
		metric.PeerDropped.Inc()
		return
	}
	l.enqueue(&peerpb.Packet{From: string(t.settings.Self), To: string(to), Kind: uint32(k), Body: body})
}

func (t *Transport) linkTo(to id.Instance) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l, ok := t.links[to]; ok && !l.closed() {
		return l
	}
	address, ok := t.addresses[to]
	if !ok || t.closed {
		return nil
	}
	l := newLink(t.ctx, address, t.settings.ClientTLS, t.settings.Log)
	t.links[to] = l
	t.linkWorkers.Add(1)
	go func() {
		defer t.linkWorkers.Done()
		l.run()
	}()
	return l
}

// Close ends all streams. Queued messages get a moment to go out first.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, l := range t.links {
		l.drain()
	}
	t.mu.Unlock()
	done := make(chan struct{})
	go func() {
		t.linkWorkers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Second):
	}
	t.cancel()
	t.server.Stop()
}

// receiver implements the gRPC service.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	transport *Transport
}

// Deliver takes packets until the stream ends.
func (r *peerServer) Deliver(stream grpc.ClientStreamingServer[peerpb.Packet, peerpb.DeliverSummary]) error {
	var n uint64
	for {
		p, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return stream.SendAndClose(&peerpb.DeliverSummary{Packets: n})
		}
		if err != nil {
			return err
		}
		n++
		r.handlePacket(p)
	}
}

func (r *peerServer) handlePacket(p *peerpb.Packet) {
	s := r.transport.settings
	if p.GetTo() != string(s.Self) && p.GetTo() != s.Name {
		metric.PeerMisdirected.Inc()
		return
	}
	metric.PeerReceived.Inc()
	metric.PeerReceivedBytes.Add(len(p.GetBody()))
	m, err := r.transport.codec.decode(message.Kind(p.GetKind()), p.GetBody())
	if err != nil {
		metric.PeerDamaged.Inc()
		s.Log.Warn().Err(err).Str("from", p.GetFrom()).Msg("peer: packet dropped")
		return
	}
	if h, ok := m.(message.Heartbeat); ok {
		r.transport.SetAddress(id.Instance(p.GetFrom()), h.Address)
	}
	s.HandleMessage(id.Instance(p.GetFrom()), m)
}

// dialOptions keeps the waits between attempts short; nothing is repeated
// below the decision logic.
func dialOptions(c *tls.Config) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(credentials.NewTLS(c)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: time.Second,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 5 * time.Second, Timeout: 2 * time.Second, PermitWithoutStream: true}),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
	}
}
