package objects_test

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"oleanderdale.org/oleander/clients/objects"
	"oleanderdale.org/oleander/internal/testutil"
	standin "oleanderdale.org/oleander/standin/objects"
)

const (
	shortTimeout  = 500 * time.Millisecond // for stores that respond later than this
	maxObjectSize = 1 << 20
)

func newClient(t *testing.T, url string, timeout time.Duration) *objects.Client {
	t.Helper()
	c, err := objects.New(objects.Settings{
		Endpoint: url, Region: "local", Bucket: "oleanderdale", Prefix: "config/",
		AccessKey: "zone-a", SecretKey: "secret", Timeout: timeout, MaxObjectSize: maxObjectSize,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newHarness returns a client and the simulated object store that it uses.
func newHarness(t *testing.T, timeout time.Duration) (*objects.Client, *standin.Store) {
	t.Helper()
	s := standin.New()
	url := testutil.Serve(t, s)
	t.Cleanup(func() { s.Close() })
	return newClient(t, url, timeout), s
}

func TestPutAndGet(t *testing.T) {
	c, s := newHarness(t, testutil.Timeout)
	ctx := context.Background()
	for _, body := range [][]byte{{}, []byte("small"), bytes.Repeat([]byte("x"), maxObjectSize)} {
		d, err := c.Put(ctx, body)
		if err != nil || d != objects.Digest(body) {
			t.Fatalf("put of %d bytes: digest %q, error %v", len(body), d, err)
		}
		if got, err := c.Get(ctx, d); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("get of %d bytes: got %d bytes, error %v", len(body), len(got), err)
		}
	}
	if n := s.Counts(); n.Puts != 3 || n.Gets != 3 {
		t.Errorf("got %+v, want 3 puts and 3 gets", n)
	}
}

// A failed Get gives a typed error, from which the caller can tell whether a retry
// makes sense, and never content that does not match the digest.
func TestGetFaults(t *testing.T) {
	body := bytes.Repeat([]byte("content "), 1000)
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
		want    error
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout, objects.ErrUnavailable},
		{"cut off", standin.Faults{BlockedAccessKeys: []string{"zone-a"}}, testutil.Timeout, objects.ErrUnavailable},
		{"slower than the timeout", standin.Faults{Delay: 4 * shortTimeout}, shortTimeout, objects.ErrUnavailable},
		{"internal error", standin.Faults{InternalErrors: 1}, testutil.Timeout, objects.ErrUnavailable},
		{"corrupted", standin.Faults{CorruptBodies: 1}, testutil.Timeout, objects.ErrDigestMismatch},
		{"truncated", standin.Faults{TruncateBodies: 1}, testutil.Timeout, objects.ErrUnavailable},
		{"longer than stored", standin.Faults{ExtraBytes: 10}, testutil.Timeout, objects.ErrDigestMismatch},
		{"oversized", standin.Faults{ExtraBytes: maxObjectSize}, testutil.Timeout, objects.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, s := newHarness(t, test.timeout)
			d, err := c.Put(context.Background(), body)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(test.faults)
			if got, err := c.Get(context.Background(), d); got != nil || !errors.Is(err, test.want) {
				t.Errorf("got %d bytes, error %v; want error %v", len(got), err, test.want)
			}
		})
	}
}

// Put fails with ErrUnavailable also if the object was stored and only the response
// was lost. Repeating the call is safe.
func TestPutFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout},
		{"response lost after the put", standin.Faults{LoseResponses: 1}, testutil.Timeout},
		{"slower than the timeout", standin.Faults{Delay: 4 * shortTimeout}, shortTimeout},
		{"internal error", standin.Faults{InternalErrors: 1}, testutil.Timeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, s := newHarness(t, test.timeout)
			body := []byte("configuration")
			s.SetFaults(test.faults)
			if _, err := c.Put(context.Background(), body); !errors.Is(err, objects.ErrUnavailable) {
				t.Errorf("put: error %v, want ErrUnavailable", err)
			}
			puts := s.Counts().Puts
			s.SetFaults(standin.Faults{})
			d, err := c.Put(context.Background(), body)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := c.Get(context.Background(), d); err != nil || !bytes.Equal(got, body) {
				t.Errorf("get: got %q, error %v", got, err)
			}
			if wantPuts := test.faults.LoseResponses; puts != uint64(wantPuts) {
				t.Errorf("%d objects were stored, want %d", puts, wantPuts)
			}
		})
	}
}

func TestNotFoundAndTooLarge(t *testing.T) {
	c, s := newHarness(t, testutil.Timeout)
	if _, err := c.Put(context.Background(), make([]byte, maxObjectSize+1)); !errors.Is(err, objects.ErrTooLarge) {
		t.Errorf("oversized put: %v", err)
	}
	if _, err := c.Get(context.Background(), "../other"); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("get with an invalid digest: %v", err)
	}
	if n := s.Counts(); n.Puts+n.Gets != 0 {
		t.Errorf("requests were sent: %+v", n)
	}
	if _, err := c.Get(context.Background(), objects.Digest([]byte("never put"))); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("get of an object that was never stored: %v", err)
	}
}

func TestConnectionRefused(t *testing.T) {
	url := "http://" + testutil.ClosedAddress(t)
	if _, err := newClient(t, url, testutil.Timeout).Get(context.Background(), objects.Digest(nil)); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("get: %v", err)
	}
}
