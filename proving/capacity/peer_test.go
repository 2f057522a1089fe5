package capacity

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/connection/peer"
	"oleanderdale.org/oleander/process/certs"
)

// wire counts what goes over the connections of a listener, in bytes of TCP
// payload: with TLS and gRPC framing, without the headers of IP and TCP.
type wire struct {
	net.Listener
	in, out, reads atomic.Int64
	accepted       atomic.Int64
}

// Accept implements net.Listener.
func (w *wire) Accept() (net.Conn, error) {
	c, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.accepted.Add(1)
	return &countedConn{Conn: c, wire: w}, nil
}

type countedConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Add(int64(n))
	c.wire.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Add(int64(n))
	return n, err
}

// station is one end of the traffic between instances.
type station struct {
	*peer.Transport
	wire     *wire
	received atomic.Int64
}

func peerTLS(b *testing.B) (server, client *tls.Config) {
	b.Helper()
	dir := b.TempDir()
	if err := certs.Write(dir, time.Hour); err != nil {
		b.Fatal(err)
	}
	ca, err := os.ReadFile(filepath.Join(dir, certs.CAFile))
	if err != nil {
		b.Fatal(err)
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, certs.CertFile), filepath.Join(dir, certs.KeyFile))
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca)
	return certs.TLSConfigs(pool, pair)
}

func newStation(b *testing.B, name string, server, client *tls.Config) *station {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &station{wire: &wire{Listener: l}}
	s.Transport, err = peer.New(peer.Settings{
		Self: id.Instance(name), Name: name, ServerTLS: server, ClientTLS: client, Log: zerolog.Nop(),
		HandleMessage: func(id.Instance, message.Message) { s.received.Add(1) },
	})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(s.wire) }()
	b.Cleanup(s.Close)
	return s
}

func (s *station) address() string { return s.wire.Addr().String() }

func heartbeat() message.Heartbeat {
	return message.Heartbeat{Zone: "zone-a", Address: "10.20.30.40:7000", Version: 23_000, Fencing: 17, TableAge: time.Second, Seq: 123_456}
}

// processorTime returns what this process has used of the processors.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const peerRun = 3 * time.Second

// BenchmarkPeerRate measures messages from one instance to another at several
// rates: processor time of both ends together, and bytes on the wire.
func BenchmarkPeerRate(b *testing.B) {
	server, client := peerTLS(b)
	sizes := []struct {
		name string
		m    message.Message
	}{
		{"heartbeat", heartbeat()},
		{"state-20-held", state(1, 10, holdings(heldEach))},
	}
	for _, m := range sizes {
		for _, rate := range []int{2, 20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/rate=%d", m.name, rate), func(b *testing.B) {
				from, to := newStation(b, "from", server, client), newStation(b, "to", server, client)
				from.SetAddress("to", to.address())
				connect(b, from, to)
				for range b.N {
					sendAt(b, from, to, m.m, rate)
				}
			})
		}
	}
}

// connect sends until something arrives.
func connect(b *testing.B, from, to *station) {
	b.Helper()
	for range 100 {
		from.Send("to", heartbeat())
		time.Sleep(20 * time.Millisecond)
		if to.received.Load() > 0 {
			return
		}
	}
	b.Fatal("nothing arrived")
}

func sendAt(b *testing.B, from, to *station, m message.Message, rate int) {
	b.Helper()
	time.Sleep(100 * time.Millisecond)
	received, in, out, used := to.received.Load(), to.wire.in.Load(), to.wire.out.Load(), processorTime()
	every := time.NewTicker(time.Second / time.Duration(rate))
	for range int(peerRun.Seconds()) * rate {
		<-every.C
		from.Send("to", m)
	}
	every.Stop()
	time.Sleep(50 * time.Millisecond)
	n := float64(to.received.Load() - received)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((processorTime()-used).Nanoseconds())/n, "cpu-ns/msg")
	b.ReportMetric(float64(to.wire.in.Load()-in)/n, "sentB/msg")
	b.ReportMetric(float64(to.wire.out.Load()-out)/n, "backB/msg")
	b.ReportMetric(float64(messageBytes(b, m)), "bodyB")
	b.ReportMetric(n/peerRun.Seconds(), "msg/s")
}

// BenchmarkPeerFanOut measures heartbeats from one instance to many others,
// twice a second each, and the memory of a link, both its ends together.
func BenchmarkPeerFanOut(b *testing.B) {
	server, client := peerTLS(b)
	for _, peers := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			hub := newStation(b, "hub", server, client)
			others := make([]*station, peers)
			for n := range others {
				others[n] = newStation(b, fmt.Sprintf("other-%d", n), server, client)
				hub.SetAddress(id.Instance(fmt.Sprintf("other-%d", n)), others[n].address())
			}
			before := inUse()
			fanOut(hub, peers, 2)
			b.ResetTimer()
			for range b.N {
				measureFanOut(b, hub, others)
			}
			b.ReportMetric(float64(inUse()-before)/float64(peers), "memB/link")
		})
	}
}

func fanOut(hub *station, peers, rounds int) {
	for range rounds {
		for n := range peers {
			hub.Send(id.Instance(fmt.Sprintf("other-%d", n)), heartbeat())
		}
		time.Sleep(heartbeatEvery)
	}
}

func measureFanOut(b *testing.B, hub *station, others []*station) {
	total := func() (received, bytes int64) {
		for _, o := range others {
			received += o.received.Load()
			bytes += o.wire.in.Load() + o.wire.out.Load()
		}
		return received, bytes
	}
	const rounds = 8
	received, bytes := total()
	used := processorTime()
	fanOut(hub, len(others), rounds)
	used = processorTime() - used
	receivedNow, bytesNow := total()
	n := float64(receivedNow - received)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(used.Nanoseconds())/n, "cpu-ns/msg")
	b.ReportMetric(float64(bytesNow-bytes)/n, "B/msg")
	b.ReportMetric(n/float64(rounds*len(others)), "delivered")
}

// inUse is the memory of heap and stacks in use.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
