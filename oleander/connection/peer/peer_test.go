package peer

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/connection/peer/peerpb"
	"oleanderdale.org/oleander/process/certs"
)

const testTimeout = 30 * time.Second

// deployment holds the CA pool of a deployment and one certificate issued by its CA.
type deployment struct {
	pool        *x509.CertPool
	certificate tls.Certificate
}

func newDeployment(t *testing.T) deployment {
	t.Helper()
	dir := t.TempDir()
	if err := certs.Write(dir, time.Hour); err != nil {
		t.Fatal(err)
	}
	pem, err := os.ReadFile(filepath.Join(dir, certs.CAFile))
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, certs.CertFile), filepath.Join(dir, certs.KeyFile))
	if err != nil {
		t.Fatal(err)
	}
	return deployment{pool, pair}
}

type received struct {
	from id.Instance
	m    message.Message
}

// startTransport runs a transport. It returns its address and the messages that it
// receives.
func startTransport(t *testing.T, d deployment, self id.Instance, name string) (*Transport, string, chan received) {
	t.Helper()
	server, client := certs.TLSConfigs(d.pool, d.certificate)
	got := make(chan received, 100)
	tr, err := New(Settings{
		Self: self, Name: name, ServerTLS: server, ClientTLS: client, Log: zerolog.Nop(),
		HandleMessage: func(from id.Instance, m message.Message) { got <- received{from, m} },
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = tr.Serve(l) }()
	t.Cleanup(tr.Close)
	return tr, l.Addr().String(), got
}

// sendUntil resends a message until one is received, since any may be lost.
func sendUntil(t *testing.T, tr *Transport, to id.Instance, m message.Message, got chan received) received {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		tr.Send(to, m)
		select {
		case r := <-got:
			return r
		case <-timeout:
			t.Fatal("no message was received")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestMessagesAreDelivered(t *testing.T) {
	d := newDeployment(t)
	a, addressA, gotA := startTransport(t, d, "a.1", "a")
	b, addressB, gotB := startTransport(t, d, "b.1", "b")
	a.SetAddress("b", addressB)
	// The first heartbeat is addressed to the name in the platform's list. It
	// carries the address of the sender, so that the receiver can reply.
	r := sendUntil(t, a, "b", message.Heartbeat{Zone: "z", Address: addressA}, gotB)
	if r.from != "a.1" || r.m.(message.Heartbeat).Zone != "z" {
		t.Errorf("got %+v", r)
	}
	if r := sendUntil(t, b, "a.1", message.VersionRequest{Have: 7}, gotA); r.m != (message.VersionRequest{Have: 7}) {
		t.Errorf("got %+v", r)
	}
}

// TestMisdirectedMessageIsDropped: an instance restarts at the same address.
// Messages to the earlier run must not be delivered to the new one, which would act
// on grants and loans that it does not hold.
func TestMisdirectedMessageIsDropped(t *testing.T) {
	d := newDeployment(t)
	a, _, _ := startTransport(t, d, "a.1", "a")
	_, address, got := startTransport(t, d, "b.2", "b")
	a.SetAddress("b.1", address)
	a.SetAddress("b.2", address)
	a.Send("b.1", message.VersionRequest{Have: 1})
	if r := sendUntil(t, a, "b.2", message.VersionRequest{Have: 2}, got); r.m != (message.VersionRequest{Have: 2}) {
		t.Errorf("got %+v, which is addressed to the earlier run", r)
	}
}

// TestUnauthenticatedClientsAreRejected: clients without a certificate, with a
// certificate of another deployment and without TLS call an instance. Their calls
// must fail, and none of their messages be received.
func TestUnauthenticatedClientsAreRejected(t *testing.T) {
	d, other := newDeployment(t), newDeployment(t)
	_, address, got := startTransport(t, d, "b.1", "b")
	_, foreign := certs.TLSConfigs(other.pool, other.certificate)
	foreign.VerifyConnection = nil
	for name, creds := range map[string]credentials.TransportCredentials{
		"no certificate": credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}),
		"another CA":     credentials.NewTLS(foreign),
		"no TLS":         insecure.NewCredentials(),
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			s, err := peerpb.NewPeerClient(conn).Deliver(t.Context())
			if err == nil {
				_ = s.Send(&peerpb.Packet{From: "x", To: "b.1", Kind: 20})
				_, err = s.CloseAndRecv()
			}
			if err == nil {
				t.Error("the call of an unauthenticated client succeeded")
			}
		})
	}
	if len(got) > 0 {
		t.Errorf("received %+v from an unauthenticated client", <-got)
	}
}

// TestServerOfAnotherDeploymentIsRejected: a server with a certificate of another CA
// listens at the address of an instance. No message may be sent to it.
func TestServerOfAnotherDeploymentIsRejected(t *testing.T) {
	d, other := newDeployment(t), newDeployment(t)
	a, _, _ := startTransport(t, d, "a.1", "a")
	server, _ := certs.TLSConfigs(other.pool, other.certificate)
	server.ClientAuth = tls.NoClientCert
	got := make(chan received, 10)
	tr, err := New(Settings{Self: "b.1", ServerTLS: server, ClientTLS: server, Log: zerolog.Nop(), HandleMessage: func(from id.Instance, m message.Message) { got <- received{from, m} }})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = tr.Serve(l) }()
	defer tr.Close()
	a.SetAddress("b.1", l.Addr().String())
	for range 10 {
		a.Send("b.1", message.VersionRequest{Have: 1})
		time.Sleep(20 * time.Millisecond)
	}
	if len(got) > 0 {
		t.Error("a message was sent to a server with a certificate of another CA")
	}
}

func TestCodecRoundTrip(t *testing.T) {
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	for kind, m := range message.Types() {
		k, body, err := c.encode(m)
		if err != nil || k != kind {
			t.Errorf("%T: kind %d, %v", m, k, err)
		}
		back, err := c.decode(k, body)
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Errorf("%T: %+v came back as %+v, %v", m, m, back, err)
		}
	}
	if _, err := c.decode(255, nil); err == nil {
		t.Error("an unknown kind was decoded")
	}
}

func FuzzDecode(f *testing.F) {
	c, err := newCodec()
	if err != nil {
		f.Fatal(err)
	}
	for kind, m := range message.Types() {
		_, body, err := c.encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), body)
	}
	f.Fuzz(func(_ *testing.T, kind uint8, body []byte) {
		_, _ = c.decode(message.Kind(kind), body) // must not panic
	})
}
