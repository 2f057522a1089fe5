package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against a frame header that a read deadline splits, after which other bytes are taken for the next frame.
func TestDeadlineInsideAFrameHeaderLosesNoByte(t *testing.T) {
	part := bytes.Repeat([]byte("x"), 300)
	var frame bytes.Buffer
	_, _ = frameWriter{&frame}.Write(part)
	instance, relay := tcpPair(t)
	c := &framedConn{relayedConn: relayedConn{Conn: instance}}
	_, _ = relay.Write(frame.Bytes()[:1])
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, err := c.Read(make([]byte, 1)); n != 0 || !isTimeout(err) {
		t.Fatalf("read %d bytes, %v; want a timeout", n, err)
	}
	_, _ = relay.Write(frame.Bytes()[1:])
	_ = relay.Close()
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if got, err := io.ReadAll(c); !errors.Is(err, errRelayEnded) || !bytes.Equal(got, part) {
		t.Errorf("read %d bytes %.20q, %v; want the %d bytes of the frame, then the end of the relay", len(got), got, err, len(part))
	}
}

// Guards against the reset of a server that a relay's write of the request takes, so that its read sees a plain end and says so.
func TestResetWhileARequestIsSentIsNoEnd(t *testing.T) {
	const plays, callers = 4000, 8
	var ends atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
			for range plays / callers {
				if resetWhileSent(t) == io.EOF {
					ends.Add(1)
				}
			}
		})
	}
	all.Wait()
	if n := ends.Load(); n > 0 {
		t.Errorf("%d of %d resets passed for the end of the response", n, plays)
	}
}

// resetWhileSent relays a part of a response whose server resets the connection while it is sent the request, and returns how
// the response ends.
func resetWhileSent(t *testing.T) error {
	instance, relayIn := tcpPair(t)
	relayOut, server := tcpPair(t)
	go relayBoth(relayIn, relayOut, true)
	go func() {
		block := make([]byte, 64)
		for {
			if _, err := instance.Write(block); err != nil {
				return
			}
		}
	}()
	c := &framedConn{relayedConn: relayedConn{Conn: instance}}
	_, _ = io.WriteString(server, "part")
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		return err
	}
	abort(server)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := c.Read(make([]byte, 1))
	_ = instance.Close()
	return err
}

// relayFrame is how many bytes of an answer the relays of tornServers send in a frame.
const relayFrame = 40

// dialTorn connects to a server as through a relay that sends a part of an answer and ends, by a close or a reset, as the play of the
// request says.
func (s *tornServers) dialTorn(ctx context.Context, address string, framed bool) (net.Conn, error) {
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	instance, relay := tcpPair(s.t)
	go s.relayTorn(relay, server, framed)
	if framed {
		return &framedConn{relayedConn: relayedConn{Conn: instance}}, nil
	}
	return relayedConn{Conn: instance}, nil
}

func (s *tornServers) relayTorn(instance, server net.Conn, framed bool) {
	defer func() { _ = server.Close() }()
	reader := bufio.NewReader(instance)
	line, err := reader.ReadString('\n')
	if err != nil {
		abort(instance)
		return
	}
	go func() { _, _ = io.Copy(server, io.MultiReader(strings.NewReader(line), reader)) }()
	full, _ := io.ReadAll(server)
	all := bytes.NewBuffer(nil)
	if framed {
		for rest := full; len(rest) > 0; rest = rest[min(relayFrame, len(rest)):] {
			_, _ = frameWriter{all}.Write(rest[:min(relayFrame, len(rest))])
		}
		_ = frameWriter{all}.end()
	} else {
		all.Write(full)
	}
	cut, reset := all.Len(), false
	if found, ok := s.plays.Load(strings.Fields(line)[1]); ok {
		cut, reset = found.(*tornPlay).relayEnds(full, all.Len())
	}
	_, _ = instance.Write(all.Bytes()[:cut])
	if reset {
		abort(instance)
	}
	_ = instance.Close()
}

// relayEnds returns how many of all the relay's bytes for an answer are sent, and whether a reset follows.
func (p *tornPlay) relayEnds(full []byte, all int) (cut int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut, reset = min(p.relayCut, all), p.reset
	if p.once && p.runs > 1 {
		cut, reset = all, false
	}
	if !p.framed {
		p.whole = p.whole || cut == all
		return cut, reset
	}
	p.whole = p.whole || cut >= all-frameHeaderSize
	p.ended = p.ended || cut == all
	return cut, reset
}

// Guards against a relay that ends at any byte of what it sends, by a close or a reset, and a response that reaches the caller as whole.
func TestTornRelayIsNoEndOfResponse(t *testing.T) {
	for kindName, k := range tornKinds {
		for _, framed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, frames %v", kindName, framed), func(t *testing.T) {
				t.Parallel()
				s := newTornServers(t, 0)
				s.url = s.f.start()
				s.f.gateways[0].pool.Dial = func(ctx context.Context, address string) (net.Conn, error) { return s.dialTorn(ctx, address, framed) }
				s.inParallel(func(jobs chan<- func()) { s.playRelayed(k, framed, jobs) })
				s.log()
			})
		}
	}
}

// playRelayed plays all ends of a relay.
func (s *tornServers) playRelayed(k tornKind, framed bool, jobs chan<- func()) {
	for name, fr := range framings {
		all := len(fr.write("r10000", k.body(0)))
		if framed {
			all += frameHeaderSize * (all/relayFrame + 2)
		}
		for cut := range all + 1 {
			reset := cut%2 == 0
			p := &tornPlay{framing: fr, body: k.body, cut: 1 << 20, relayed: true, framed: framed, relayCut: cut, reset: reset, once: k.maxRuns > 1 && cut%4 < 2}
			jobs <- func() { s.play(fmt.Sprintf("%s, relay cut at %d, reset %v, once %v", name, cut, reset, p.once), k, p) }
		}
	}
}

// Guards against answers that are torn behind another instance, which relays, and reach the caller as whole.
func TestTornAnswerBehindAnotherInstanceIsNotSentOnAsWhole(t *testing.T) {
	for kindName, k := range tornKinds {
		t.Run(kindName, func(t *testing.T) {
			t.Parallel()
			s := newTornServers(t, 0)
			s.url = s.f.start()
			s.f.start()
			links := &cutLinks{}
			links.install(s.f.gateways[0])
			links.set(cutRefuses)
			testutil.WaitFor(t, func() bool {
				return s.f.ask(http.MethodPost, s.url+"/read/x").status == http.StatusOK && s.f.gateways[0].links.cut()
			})
			s.playAll(k)
			s.log()
			ran := s.asked.Load() - s.refused.Load()
			if n := s.f.gateways[1].metrics.relayed.Get(); n < uint64(ran) {
				t.Errorf("%d of %d requests that ran were relayed", n, ran)
			}
		})
	}
}
