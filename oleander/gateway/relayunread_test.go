package gateway

import (
	"io"
	"testing"
	"time"
)

// Guards against the end of a response that a relay withholds while the server leaves the rest of a request unread.
func TestEndOfAResponseIsRelayedWhileTheRequestIsUnread(t *testing.T) {
	instance, relayIn := tcpPair(t)
	relayOut, server := tcpPair(t)
	defer func() { _, _ = server.Close(), instance.Close() }()
	go relayBoth(relayIn, relayOut, true)
	go func() {
		block := make([]byte, 64<<10)
		for {
			if _, err := instance.Write(block); err != nil {
				return
			}
		}
	}()
	time.Sleep(200 * time.Millisecond) // until the relay's write waits
	_, _ = io.WriteString(server, "whole")
	if c, ok := server.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	c := &framedConn{relayedConn: relayedConn{Conn: instance}}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if all, err := io.ReadAll(c); err != nil || string(all) != "whole" {
		t.Errorf("got %q, error %v, want the whole response and its end", all, err)
	}
}
