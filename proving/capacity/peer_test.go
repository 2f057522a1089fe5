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

// countingListener counts the bytes of TCP payload on its connections: TLS and
// gRPC framing is included, the headers of IP and TCP are not.
type countingListener struct {
	net.Listener
	in, out, reads atomic.Int64
	accepted       atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	return &countedConn{Conn: c, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	c.listener.reads.Add(1)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

// endpoint is a peer transport with the counters of its listener.
type endpoint struct {
	*peer.Transport
	listener *countingListener
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

func newEndpoint(b *testing.B, name string, server, client *tls.Config) *endpoint {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &endpoint{listener: &countingListener{Listener: l}}
	s.Transport, err = peer.New(peer.Settings{
		Self: id.Instance(name), Name: name, ServerTLS: server, ClientTLS: client, Log: zerolog.Nop(),
		HandleMessage: func(id.Instance, message.Message) { s.received.Add(1) },
	})
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(s.listener) }()
	b.Cleanup(s.Close)
	return s
}

func (s *endpoint) address() string { return s.listener.Addr().String() }

func heartbeat() message.Heartbeat {
	return message.Heartbeat{Zone: "zone-a", Address: "10.20.30.40:7000", Version: 23_000, Fencing: 17, TableAge: time.Second, Seq: 123_456}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

const peerRunTime = 3 * time.Second

// BenchmarkPeerRate measures messages from one instance to another at several
// rates: CPU time of both ends together, and bytes on the wire.
func BenchmarkPeerRate(b *testing.B) {
	server, client := peerTLS(b)
	sizes := []struct {
		name string
		m    message.Message
	}{
		{"heartbeat", heartbeat()},
		{"state-20-held", backendState(1, 10, heldArtifacts(heldPerEngine))},
	}
	for _, m := range sizes {
		for _, rate := range []int{2, 20, 200, 2000} {
			b.Run(fmt.Sprintf("%s/rate=%d", m.name, rate), func(b *testing.B) {
				from, to := newEndpoint(b, "from", server, client), newEndpoint(b, "to", server, client)
				from.SetAddress("to", to.address())
				awaitConnection(b, from, to)
				for range b.N {
					benchmarkSend(b, from, to, m.m, rate)
				}
			})
		}
	}
}

// awaitConnection sends heartbeats until one arrives.
func awaitConnection(b *testing.B, from, to *endpoint) {
	b.Helper()
	for range 100 {
		from.Send("to", heartbeat())
		time.Sleep(20 * time.Millisecond)
		if to.received.Load() > 0 {
			return
		}
	}
	b.Fatal("no heartbeat arrived")
}

func benchmarkSend(b *testing.B, from, to *endpoint, m message.Message, rate int) {
	b.Helper()
	time.Sleep(100 * time.Millisecond)
	received, in, out, used := to.received.Load(), to.listener.in.Load(), to.listener.out.Load(), cpuTime()
	every := time.NewTicker(time.Second / time.Duration(rate))
	for range int(peerRunTime.Seconds()) * rate {
		<-every.C
		from.Send("to", m)
	}
	every.Stop()
	time.Sleep(50 * time.Millisecond)
	n := float64(to.received.Load() - received)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((cpuTime()-used).Nanoseconds())/n, "cpu-ns/msg")
	b.ReportMetric(float64(to.listener.in.Load()-in)/n, "sentB/msg")
	b.ReportMetric(float64(to.listener.out.Load()-out)/n, "backB/msg")
	b.ReportMetric(float64(encodedSize(b, m)), "bodyB")
	b.ReportMetric(n/peerRunTime.Seconds(), "msg/s")
}

// BenchmarkPeerFanOut measures heartbeats from one instance to many others, two per
// second to each, and the memory per link, both ends together.
func BenchmarkPeerFanOut(b *testing.B) {
	server, client := peerTLS(b)
	for _, peers := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			hub := newEndpoint(b, "hub", server, client)
			others := make([]*endpoint, peers)
			for n := range others {
				others[n] = newEndpoint(b, fmt.Sprintf("other-%d", n), server, client)
				hub.SetAddress(id.Instance(fmt.Sprintf("other-%d", n)), others[n].address())
			}
			before := memoryInUse()
			sendHeartbeats(hub, peers, 2)
			b.ResetTimer()
			for range b.N {
				benchmarkFanOut(b, hub, others)
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(peers), "memB/link")
		})
	}
}

func sendHeartbeats(hub *endpoint, peers, rounds int) {
	for range rounds {
		for n := range peers {
			hub.Send(id.Instance(fmt.Sprintf("other-%d", n)), heartbeat())
		}
		time.Sleep(heartbeatInterval)
	}
}

func benchmarkFanOut(b *testing.B, hub *endpoint, others []*endpoint) {
	total := func() (received, bytes int64) {
		for _, o := range others {
			received += o.received.Load()
			bytes += o.listener.in.Load() + o.listener.out.Load()
		}
		return received, bytes
	}
	const rounds = 8
	received, bytes := total()
	used := cpuTime()
	sendHeartbeats(hub, len(others), rounds)
	used = cpuTime() - used
	receivedNow, bytesNow := total()
	n := float64(receivedNow - received)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(used.Nanoseconds())/n, "cpu-ns/msg")
	b.ReportMetric(float64(bytesNow-bytes)/n, "B/msg")
	b.ReportMetric(n/float64(rounds*len(others)), "delivered")
}

// memoryInUse returns the memory of heap and stacks in use, after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
