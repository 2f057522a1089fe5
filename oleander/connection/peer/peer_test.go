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

const waitFor = 30 * time.Second

// identity is a deployment's authority and one certificate of it.
type identity struct {
	pool *x509.CertPool
	pair tls.Certificate
}

func newIdentity(t *testing.T) identity {
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
	return identity{pool, pair}
}

type received struct {
	from id.Instance
	m    message.Message
}

// start runs a transport and returns it, its address and what it receives.
func start(t *testing.T, who identity, self id.Instance, name string) (*Transport, string, chan received) {
	t.Helper()
	server, client := certs.TLSConfigs(who.pool, who.pair)
	got := make(chan received, 100)
	tr, err := New(Settings{
		Self: self, Name: name, Server: server, Client: client, Log: zerolog.Nop(),
		Receive: func(from id.Instance, m message.Message) { got <- received{from, m} },
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

// sendUntil repeats a message until something arrives: one may be lost.
func sendUntil(t *testing.T, tr *Transport, to id.Instance, m message.Message, got chan received) received {
	t.Helper()
	end := time.After(waitFor)
	for {
		tr.Send(to, m)
		select {
		case r := <-got:
			return r
		case <-end:
			t.Fatal("nothing arrived")
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func TestMessagesArrive(t *testing.T) {
	who := newIdentity(t)
	a, addressA, gotA := start(t, who, "a.1", "a")
	b, addressB, gotB := start(t, who, "b.1", "b")
	a.Learn("b", addressB)
	// The first heartbeat goes to the name on the platform's list; it tells
	// the receiver where the sender listens.
	r := sendUntil(t, a, "b", message.Heartbeat{Zone: "z", Address: addressA}, gotB)
	if r.from != "a.1" || r.m.(message.Heartbeat).Zone != "z" {
		t.Errorf("got %+v", r)
	}
	if r := sendUntil(t, b, "a.1", message.VersionAsk{Have: 7}, gotA); r.m != (message.VersionAsk{Have: 7}) {
		t.Errorf("got %+v", r)
	}
}

// TestMisdirectedMessageIsDropped: an instance is replaced by another one at
// the same address. What was meant for the old run must not reach the new one:
// it would act on grants and loans that it knows nothing of.
func TestMisdirectedMessageIsDropped(t *testing.T) {
	who := newIdentity(t)
	a, _, _ := start(t, who, "a.1", "a")
	_, address, got := start(t, who, "b.2", "b")
	a.Learn("b.1", address)
	a.Learn("b.2", address)
	a.Send("b.1", message.VersionAsk{Have: 1})
	if r := sendUntil(t, a, "b.2", message.VersionAsk{Have: 2}, got); r.m != (message.VersionAsk{Have: 2}) {
		t.Errorf("got %+v, meant for the run before", r)
	}
}

// TestStrangersGetNothing: a client without a certificate, one with that of
// another deployment, and one without TLS call the service of an instance.
// None gets an answer, and no message of theirs is received.
func TestStrangersGetNothing(t *testing.T) {
	who, other := newIdentity(t), newIdentity(t)
	_, address, got := start(t, who, "b.1", "b")
	_, foreign := certs.TLSConfigs(other.pool, other.pair)
	foreign.VerifyConnection = nil
	for name, creds := range map[string]credentials.TransportCredentials{
		"no certificate":      credentials.NewTLS(&tls.Config{InsecureSkipVerify: true}),
		"another authority's": credentials.NewTLS(foreign),
		"no TLS":              insecure.NewCredentials(),
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
				t.Error("the stranger was answered")
			}
		})
	}
	if len(got) > 0 {
		t.Errorf("received %+v from a stranger", <-got)
	}
}

// TestStrangeServerIsNotBelieved: something else listens at an instance's
// address, with a certificate of its own. No message is sent to it.
func TestStrangeServerIsNotBelieved(t *testing.T) {
	who, other := newIdentity(t), newIdentity(t)
	a, _, _ := start(t, who, "a.1", "a")
	server, _ := certs.TLSConfigs(other.pool, other.pair)
	server.ClientAuth = tls.NoClientCert
	got := make(chan received, 10)
	tr, err := New(Settings{Self: "b.1", Server: server, Client: server, Log: zerolog.Nop(), Receive: func(from id.Instance, m message.Message) { got <- received{from, m} }})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = tr.Serve(l) }()
	defer tr.Close()
	a.Learn("b.1", l.Addr().String())
	for range 10 {
		a.Send("b.1", message.VersionAsk{Have: 1})
		time.Sleep(20 * time.Millisecond)
	}
	if len(got) > 0 {
		t.Error("a message went to a server of another authority")
	}
}

func TestEveryMessageSurvivesTheWire(t *testing.T) {
	c, err := newCodec()
	if err != nil {
		t.Fatal(err)
	}
	for kind, m := range message.Types() {
		k, body, err := c.encode(m)
		if err != nil || k != kind {
			t.Errorf("%T: kind %d, %v", m, k, err)
		}
		back, err := c.decodeBody(k, body)
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Errorf("%T: %+v came back as %+v, %v", m, m, back, err)
		}
	}
	if _, err := c.decodeBody(255, nil); err == nil {
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
		_, _ = c.decodeBody(message.Kind(kind), body) // must not panic
	})
}
