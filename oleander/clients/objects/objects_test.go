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
	hasty    = 500 * time.Millisecond
	maxBytes = 1 << 20
)

func newClient(t *testing.T, url string, timeout time.Duration) *objects.Client {
	t.Helper()
	c, err := objects.New(objects.Settings{
		Endpoint: url, Region: "local", Bucket: "oleanderdale", Prefix: "config/",
		AccessKey: "zone-a", SecretKey: "secret", Timeout: timeout, MaxBytes: maxBytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newBench(t *testing.T, timeout time.Duration) (*objects.Client, *standin.Store) {
	t.Helper()
	s := standin.New()
	url := testutil.Serve(t, s)
	t.Cleanup(func() { s.Close() })
	return newClient(t, url, timeout), s
}

func TestPutAndGet(t *testing.T) {
	c, s := newBench(t, testutil.Timeout)
	ctx := context.Background()
	for _, body := range [][]byte{{}, []byte("small"), bytes.Repeat([]byte("x"), maxBytes)} {
		d, err := c.Put(ctx, body)
		if err != nil || d != objects.Digest(body) {
			t.Fatalf("put of %d bytes: %q, %v", len(body), d, err)
		}
		if got, err := c.Get(ctx, d); err != nil || !bytes.Equal(got, body) {
			t.Fatalf("get of %d bytes: %d bytes, %v", len(body), len(got), err)
		}
	}
	if n := s.Counts(); n.Puts != 3 || n.Gets != 3 {
		t.Errorf("%+v", n)
	}
}

// The caller of Get sees a typed error that says whether to ask again, and
// never content that does not have the digest it asked for.
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
		{"slower than the timeout", standin.Faults{Delay: 4 * hasty}, hasty, objects.ErrUnavailable},
		{"internal error", standin.Faults{InternalErrors: 1}, testutil.Timeout, objects.ErrUnavailable},
		{"damaged", standin.Faults{CorruptBodies: 1}, testutil.Timeout, objects.ErrDamaged},
		{"truncated", standin.Faults{TruncateBodies: 1}, testutil.Timeout, objects.ErrUnavailable},
		{"longer than stored", standin.Faults{ExtraBytes: 10}, testutil.Timeout, objects.ErrDamaged},
		{"oversized", standin.Faults{ExtraBytes: maxBytes}, testutil.Timeout, objects.ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, s := newBench(t, test.timeout)
			d, err := c.Put(context.Background(), body)
			if err != nil {
				t.Fatal(err)
			}
			s.SetFaults(test.faults)
			if got, err := c.Get(context.Background(), d); got != nil || !errors.Is(err, test.want) {
				t.Errorf("get: %d bytes, %v; want %v", len(got), err, test.want)
			}
		})
	}
}

// The caller of Put sees ErrUnavailable when the answer is lost after the
// effect. The object is there, and the repeated call does no harm.
func TestPutFaults(t *testing.T) {
	tests := []struct {
		name    string
		faults  standin.Faults
		timeout time.Duration
	}{
		{"down", standin.Faults{Down: true}, testutil.Timeout},
		{"answer lost after effect", standin.Faults{LoseResponses: 1}, testutil.Timeout},
		{"slower than the timeout", standin.Faults{Delay: 4 * hasty}, hasty},
		{"internal error", standin.Faults{InternalErrors: 1}, testutil.Timeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, s := newBench(t, test.timeout)
			body := []byte("configuration")
			s.SetFaults(test.faults)
			if _, err := c.Put(context.Background(), body); !errors.Is(err, objects.ErrUnavailable) {
				t.Errorf("put: %v", err)
			}
			stored := s.Counts().Puts
			s.SetFaults(standin.Faults{})
			d, err := c.Put(context.Background(), body)
			if err != nil {
				t.Fatal(err)
			}
			if got, err := c.Get(context.Background(), d); err != nil || !bytes.Equal(got, body) {
				t.Errorf("get: %q, %v", got, err)
			}
			if lost := test.faults.LoseResponses; stored != uint64(lost) {
				t.Errorf("%d puts took effect, want %d", stored, lost)
			}
		})
	}
}

func TestNoSuchObject(t *testing.T) {
	c, s := newBench(t, testutil.Timeout)
	if _, err := c.Put(context.Background(), make([]byte, maxBytes+1)); !errors.Is(err, objects.ErrTooLarge) {
		t.Errorf("oversized put: %v", err)
	}
	if _, err := c.Get(context.Background(), "../other"); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("get of no digest: %v", err)
	}
	if n := s.Counts(); n.Puts+n.Gets != 0 {
		t.Errorf("%+v", n)
	}
	if _, err := c.Get(context.Background(), objects.Digest([]byte("never put"))); !errors.Is(err, objects.ErrNotFound) {
		t.Errorf("get of what was never put: %v", err)
	}
}

func TestNothingListens(t *testing.T) {
	url := "http://" + testutil.ClosedAddress(t)
	if _, err := newClient(t, url, testutil.Timeout).Get(context.Background(), objects.Digest(nil)); !errors.Is(err, objects.ErrUnavailable) {
		t.Errorf("get: %v", err)
	}
}
