// Package peer sends messages between instances over gRPC with mutual TLS. Each
// pair of instances uses one stream for each direction. Delivery is best effort:
// a message to an instance that is unreachable or whose queue is full is dropped
// and counted. The core resends the messages that matter.
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
	// queueLength is the capacity of the send queue to one instance. A slow
	// instance loses messages instead of using up the sender's memory.
	queueLength = 1024
	// maxPacketSize is the size limit of a packet in bytes. A snapshot of a
	// configuration of the largest size that the requirements name must fit.
	maxPacketSize = 32 << 20
	// maxBackoff is the longest time between attempts to connect to an
	// instance, so that messages from a zone arrive again within a second
	// after a network partition ends.
	maxBackoff = time.Second
	// idleTimeout is how long a stream without messages stays open.
	idleTimeout = time.Minute
)

// Settings configure a Transport.
type Settings struct {
	// Self is the id of this run of the instance.
	Self id.Instance
	// Name is this instance's name in the platform's list. Packets addressed to
	// it are accepted as well as those addressed to Self.
	Name string
	// ServerTLS and ClientTLS hold the certificates. Each side must verify the
	// certificate of the other.
	ServerTLS, ClientTLS *tls.Config
	// HandleMessage is called for each received message. While it blocks, no
	// further message of the same stream is received.
	HandleMessage func(from id.Instance, m message.Message)
	Log           zerolog.Logger
}

// Transport sends messages to other instances and receives theirs.
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

// New returns a Transport. It receives messages once Serve is called.
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

// Serve receives messages on l until Close.
func (t *Transport) Serve(l net.Listener) error {
	return errors.Wrap(t.server.Serve(l), "peer: serve")
}

// SetAddress sets the address of an instance. A new address closes the stream to
// the old one.
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

// Send queues m for the instance to. It does not block. Without a known address
// the message is dropped and counted.
func (t *Transport) Send(to id.Instance, m message.Message) {
	k, body, err := t.codec.encode(m)
	if err != nil {
		t.settings.Log.Error().Err(err).Msg("peer: message not sent, can't encode it")
		return
	}
	l := t.linkTo(to)
	if l == nil {
		metric.PeerDropped.Inc()
		return
	}
	l.enqueue(&peerpb.Packet{From: string(t.settings.Self), To: string(to), Kind: uint32(k), Body: body})
}

// linkTo returns the link to an instance and starts it if there is none. It
// returns nil if the address is not known or the Transport is closed.
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

// Close sends queued messages for at most one second, then ends all streams and
// stops receiving.
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

// peerServer implements the gRPC service.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	transport *Transport
}

// Deliver receives packets until the sender ends the stream.
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

// handlePacket decodes a packet and passes on its message. It drops packets that
// are addressed to another instance or run, or that cannot be decoded. A
// heartbeat also sets the address of its sender.
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
		s.Log.Warn().Err(err).Str("from", p.GetFrom()).Msg("peer: packet dropped, can't decode it")
		return
	}
	if h, ok := m.(message.Heartbeat); ok {
		r.transport.SetAddress(id.Instance(p.GetFrom()), h.Address)
	}
	s.HandleMessage(id.Instance(p.GetFrom()), m)
}

// dialOptions sets short delays between attempts to connect, and disables the
// retries of gRPC: the core decides what to resend.
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
