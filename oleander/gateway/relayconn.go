package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/links"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// relayDialTimeout bounds connecting through a relay: to the relay, and from it to the
	// server.
	relayDialTimeout = 2*links.ProbeTimeout + 50*time.Millisecond
	// minRelayTime is the least remaining time for which connecting through a relay is tried.
	minRelayTime = 50 * time.Millisecond
	// maxRelays is how many relays are tried for one connection, and maxRelaySearch how long
	// further ones are tried after some that did not reach the server.
	maxRelays      = 3
	maxRelaySearch = 100 * time.Millisecond
	// relayBufferSize is the size of the buffer of each direction.
	relayBufferSize = 8 << 10
	// relayReceiveBuffer is how many bytes the kernel receives ahead from the other instance.
	relayReceiveBuffer = 256 << 10
	// resetNoticeTime is how long a write to a connection that was reset may take to end.
	resetNoticeTime = 100 * time.Millisecond
	paramServer     = "server" // ID of the server to connect to
	// relayProtocol passes the server's bytes on as they are, framedRelayProtocol in frames.
	// Instances of earlier versions offer and accept the first only.
	relayProtocol       = "oleanderd-relay"
	framedRelayProtocol = "oleanderd-relay-framed"
)

var (
	errNoRelay = errors.New("links: no instance can connect for this one")
	// errRelayFailed says nothing about the server.
	errRelayFailed = errors.New("links: the other instance does not relay")
	// errUnreachable means that the relay could not connect to the server either.
	errUnreachable = errors.New("links: the other instance does not reach the server")
)

// connect returns a connection to a server: an own one, or through another instance if this
// one has no path or the server does not accept it. serverFailed reports whether an error is
// the server's.
func (x *exchange) connect(ctx context.Context, t target) (c *rawhttp.Conn, serverFailed bool, err error) {
	g := x.g
	if !g.links.cut() {
		g.links.sent(boottime.Now())
		c, err = g.pool.Get(ctx, t.address, x.call.ID)
		if err == nil {
			return c, false, nil
		}
	}
	if ctx.Err() != nil || boottime.Until(x.deadline) < minRelayTime {
		return nil, false, errors.Wrap(rawhttp.ErrNotSent, "no time to connect")
	}
	c, relayErr := g.connectThroughRelay(ctx, t, x.call.ID)
	if relayErr == nil {
		return c, false, nil
	}
	// Whoever is cut off, this instance or the relays that it asked, knows nothing of the server.
	return nil, g.links.sound(boottime.Now()), relayErr
}

// connectThroughRelay connects to a server through one of the other instances, for a request with an ID. One that does
// not reach the server may be cut off without knowing it yet, so others are asked, too, as
// long as that is quick.
func (g *Gateway) connectThroughRelay(ctx context.Context, t target, id string) (*rawhttp.Conn, error) {
	began := boottime.Now()
	tried := make(map[string]bool)
	for range maxRelays {
		name, address := g.chooseRelay(tried)
		if name == "" {
			break
		}
		tried[name] = true
		c, err := g.pool.GetIndirect(ctx, t.address, id, func(ctx context.Context) (net.Conn, error) {
			return dialRelay(ctx, address, t.id, func() bool { return g.remains(name) })
		})
		if err == nil || ctx.Err() != nil {
			return c, err
		}
		slow := boottime.Now().Sub(began) > maxRelaySearch
		if errors.Is(err, errUnreachable) && (!slow || g.links.cut()) {
			continue
		}
		if errors.Is(err, errUnreachable) {
			return nil, err
		}
		g.log.Warn().Str("server", t.id).Str("relay", name).Err(err).Msg("links: relay failed")
		g.links.mu.Lock()
		g.links.chooser.Failed(boottime.Now(), name)
		g.links.mu.Unlock()
	}
	return nil, errNoRelay
}

// chooseRelay returns the name and address of an instance that connects for this one, or "".
func (g *Gateway) chooseRelay(exclude map[string]bool) (name, address string) {
	g.mu.Lock()
	now := boottime.Now()
	var relays []links.Relay
	addresses := make(map[string]string)
	for _, m := range g.members.All(now) {
		if !m.Live(now) || m.Leaving {
			continue
		}
		r := links.Relay{Name: m.Name, SameZone: m.Zone == g.settings.Zone}
		if peer := g.peerStates[m.Name]; peer != nil {
			r.Cut, r.Relayed = peer.links.Cut, peer.links.Relayed
		}
		relays, addresses[m.Name] = append(relays, r), m.Address
	}
	g.mu.Unlock()
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	name = g.links.chooser.Choose(now, relays, exclude)
	return name, addresses[name]
}

// relayedRoute returns the route to a server through another instance, one of at most so many that are tried, on a
// connection of its own.
func (g *Gateway) relayedRoute(to ports.Route, relays int) ports.Route {
	to.Dial = func(ctx context.Context) (net.Conn, error) { return g.dialAnyRelay(ctx, to.Server, relays) }
	return to
}

// dialAnyRelay connects to a server through one of at most so many other instances.
func (g *Gateway) dialAnyRelay(ctx context.Context, server string, relays int) (net.Conn, error) {
	tried := make(map[string]bool)
	err := error(errNoRelay)
	for range relays {
		name, address := g.chooseRelay(tried)
		if name == "" || ctx.Err() != nil {
			break
		}
		tried[name] = true
		var c net.Conn
		if c, err = dialRelay(ctx, address, server, nil); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// remains reports whether an instance is heard and does not stop.
func (g *Gateway) remains(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members.Get(name)
	return m != nil && m.Live(boottime.Now()) && !m.Leaving
}

// dialRelay opens a connection to a server through the instance at an address. It is kept for further requests as long as
// keep says so: those that come late in the grace period of a relay that stops would be cut at its end.
func dialRelay(ctx context.Context, relay, server string, keep func() bool) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	c, err := rawhttp.DialTCP(ctx, relay, links.ProbeTimeout)
	if err != nil {
		return nil, errors.Wrap(errRelayFailed, err.Error())
	}
	framed, err := requestRelay(ctx, c, relay, server)
	switch {
	case err != nil:
		_ = c.Close()
		return nil, err
	case framed:
		return &framedConn{relayedConn: relayedConn{c, keep}}, nil
	}
	return relayedConn{c, keep}, nil
}

// maxRelayHeadBytes bounds a relay's response, which is a line and two headers.
const maxRelayHeadBytes = 4 << 10

// requestRelay asks an instance to relay a new connection. It reports whether the relay
// sends frames.
func requestRelay(ctx context.Context, c net.Conn, relay, server string) (framed bool, err error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	request := "POST " + pathConnect + "?" + url.Values{paramServer: {server}}.Encode() + " HTTP/1.1\r\nHost: " + relay +
		"\r\nConnection: Upgrade\r\nUpgrade: " + framedRelayProtocol + "\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(c, request); err != nil {
		return false, errors.Wrap(errRelayFailed, err.Error())
	}
	// The server sends nothing before it gets a request, so the reader holds nothing of it.
	resp, err := http.ReadResponse(bufio.NewReader(io.LimitReader(c, maxRelayHeadBytes)), nil)
	if err != nil {
		return false, errors.Wrap(errRelayFailed, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusSwitchingProtocols:
		framed = resp.Header.Get("Upgrade") == framedRelayProtocol
		return framed, errors.Wrap(c.SetDeadline(time.Time{}), "links: reset the deadline")
	case http.StatusBadGateway:
		return false, errUnreachable
	}
	return false, errors.Wrapf(errRelayFailed, "status %d", resp.StatusCode)
}

// serveConnect connects another instance to a server.
func (g *Gateway) serveConnect(w http.ResponseWriter, r *http.Request) {
	address := g.serverAddress(r.URL.Query().Get(paramServer))
	if address == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !g.beginRelay() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer g.endRelay()
	ctx, cancel := context.WithTimeout(r.Context(), links.ProbeTimeout)
	server, err := g.pool.Dial(ctx, address)
	cancel()
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	g.metrics.connections.Inc()
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = server.Close()
		g.log.Error().Err(err).Msg("links: relaying failed")
		return
	}
	protocol := relayProtocol
	if r.Header.Get("Upgrade") == framedRelayProtocol {
		protocol = framedRelayProtocol
	}
	_ = caller.SetDeadline(time.Time{})
	if tcp, ok := caller.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(relayReceiveBuffer) // the listener's is for short requests
	}
	if _, err := io.WriteString(caller, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		abort(caller)
		abort(server)
		return
	}
	relayBoth(caller, server, protocol == framedRelayProtocol)
}

// serverAddress returns the address of a server that may be used, or "".
func (g *Gateway) serverAddress(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.servers.Get(id)
	if s == nil || s.ZoneClosed() {
		return ""
	}
	return s.Address
}

// beginRelay reports whether this instance can relay another connection, and counts it.
func (g *Gateway) beginRelay() bool {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	if _, cut := g.links.monitor.Cut(); cut || g.stopping.Load() || g.links.relayed >= links.MaxRelayed {
		return false
	}
	g.links.relayed++
	g.metrics.relayed.Inc()
	return true
}

func (g *Gateway) endRelay() {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	g.links.relayed--
}

// relayedConns returns the number of connections relayed now.
func (g *Gateway) relayedConns() int {
	g.links.mu.Lock()
	defer g.links.mu.Unlock()
	return g.links.relayed
}

// relayBoth copies between an instance and a server until both directions end. Each side sees
// how the other one ended: a response that is reset midway must not look complete. With
// frames, the instance also sees the end of this relay.
func relayBoth(instance, server net.Conn, framed bool) {
	var both sync.WaitGroup
	request := &requestWriter{to: server}
	both.Go(func() { relayOne(instance, server, request, nil) })
	both.Go(func() {
		if !framed {
			relayOne(server, instance, instance, nil)
			return
		}
		frames := frameWriter{instance}
		relayOne(server, instance, frames, func() error {
			if err := request.failed(); err != nil {
				return err
			}
			return frames.end()
		})
	})
	both.Wait()
	_ = instance.Close()
	_ = server.Close()
}

// requestWriter writes a request to a server and remembers a failure. The kernel tells of a reset once: if it
// tells the write, the read of the response sees a plain end.
type requestWriter struct {
	to    io.Writer
	mu    sync.Mutex
	err   error         // of the last write
	ended chan struct{} // closed when the write ends that is on its way; nil before the first
}

// Write implements io.Writer.
func (w *requestWriter) Write(b []byte) (int, error) {
	ended := make(chan struct{})
	defer close(ended)
	w.mu.Lock()
	w.ended = ended
	w.mu.Unlock()
	n, err := w.to.Write(b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.err = err
	return n, err
}

// failed returns the error of the last write. One that is on its way ends at once if the connection was reset, but may
// wait for a server that answered without reading the whole request.
func (w *requestWriter) failed() error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	if ended != nil {
		select {
		case <-ended:
		case <-time.After(resetNoticeTime):
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// relayOne copies from one connection through a writer to another, and ends that as the first
// one ended, after calling end, unless that is nil.
func relayOne(from, to net.Conn, writer io.Writer, end func() error) {
	buffer := make([]byte, relayBufferSize)
	// The wrappers keep io.CopyBuffer from moving the bytes within the kernel, which not
	// every kernel interface that this program runs on offers.
	_, err := io.CopyBuffer(struct{ io.Writer }{writer}, struct{ io.Reader }{from}, buffer)
	if err == nil && end != nil {
		err = end()
	}
	if err != nil {
		abort(from)
		abort(to)
		return
	}
	if c, ok := to.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
}

// abort resets a connection.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
