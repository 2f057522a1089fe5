package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/links"
	"oleanderdale.org/oleander/internal/testutil"
)

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (a, b net.Conn) {
	l := testutil.Listen(t)
	a, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if b, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = a.Close()
		_ = b.Close()
	})
	return a, b
}

// Guards against a response that the server resets midway and that looks complete behind a relay, and
// against a server that works on after the caller's instance gave up.
func TestRelayPassesOnHowASideEnded(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		for _, fromServer := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				instance, relayIn := tcpPair(t)
				relayOut, server := tcpPair(t)
				go relayBoth(relayIn, relayOut, false)
				ends, reads := instance, server
				if fromServer {
					ends, reads = server, instance
				}
				if _, err := io.WriteString(ends, "part"); err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(reads, make([]byte, 4)); err != nil {
					t.Fatal(err)
				}
				if reset {
					abort(ends)
				} else {
					_ = ends.Close()
				}
				_ = reads.SetReadDeadline(time.Now().Add(testutil.Timeout))
				_, err := reads.Read(make([]byte, 1))
				if got := errors.Is(err, syscall.ECONNRESET); got != reset {
					t.Errorf("read %v after the other side was %s", err, name)
				}
				if !reset && !errors.Is(err, io.EOF) {
					t.Errorf("read %v, want the end", err)
				}
			})
		}
	}
}

// Guards against an instance that drowns in what cut instances hand over, or takes more while it stops.
func TestRelayRefusesBeyondItsBounds(t *testing.T) {
	_, g := single(t)
	for range links.MaxRelayed {
		if !g.beginRelay() {
			t.Fatal("refused below the bound")
		}
	}
	if g.beginRelay() {
		t.Error("relays more than the bound")
	}
	for range links.MaxRelayed {
		g.endRelay()
	}
	g.stopping.Store(true)
	if g.beginRelay() {
		t.Error("a stopping instance takes another connection")
	}
	g.stopping.Store(false)
	if !g.beginRelay() {
		t.Error("refused though there is room")
	}
	g.endRelay()
}

// Guards against the end of a relay that passes for the end of the server's response.
func TestEndOfRelayIsNoEndOfResponse(t *testing.T) {
	const part = "part of a response"
	tests := map[string]struct {
		end  func(server, relayIn net.Conn)
		want error
	}{
		"server closes": {func(server, _ net.Conn) { _ = server.Close() }, io.EOF},
		"server resets": {func(server, _ net.Conn) { abort(server) }, syscall.ECONNRESET},
		"relay ends":    {func(_, relayIn net.Conn) { _ = relayIn.Close() }, errRelayEnded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			instance, relayIn := tcpPair(t)
			relayOut, server := tcpPair(t)
			go relayBoth(relayIn, relayOut, true)
			if _, err := io.WriteString(server, part); err != nil {
				t.Fatal(err)
			}
			c := &framedConn{relayedConn: relayedConn{Conn: instance}}
			_ = c.SetReadDeadline(time.Now().Add(testutil.Timeout))
			got := make([]byte, len(part))
			if _, err := io.ReadFull(c, got); err != nil || string(got) != part {
				t.Fatalf("read %q, %v", got, err)
			}
			tc.end(server, relayIn)
			if _, err := c.Read(got); !errors.Is(err, tc.want) {
				t.Errorf("read %v, want %v", err, tc.want)
			}
		})
	}
}

// Guards against relays of an earlier version, which send no frames, and the other way round.
func TestRelayProtocolIsNegotiated(t *testing.T) {
	for asked, want := range map[string]string{relayProtocol: relayProtocol, framedRelayProtocol: framedRelayProtocol, "": relayProtocol} {
		f, g := single(t)
		r, err := http.NewRequest(http.MethodPost, "http://"+g.settings.PeerAddress+pathConnect+"?server=a", nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Connection", "Upgrade")
		r.Header.Set("Upgrade", asked)
		testutil.WaitFor(t, func() bool { return g.serverAddress("a") != "" })
		resp, err := (&http.Transport{}).RoundTrip(r)
		if err != nil {
			f.t.Fatal(err)
		}
		if got := resp.Header.Get("Upgrade"); resp.StatusCode != http.StatusSwitchingProtocols || got != want {
			t.Errorf("asked for %q: status %d, %q", asked, resp.StatusCode, got)
		}
		_ = resp.Body.Close()
	}
}
