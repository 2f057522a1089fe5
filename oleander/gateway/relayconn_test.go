package gateway

import (
	"errors"
	"io"
	"net"
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
				go relayBoth(relayIn, relayOut)
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
