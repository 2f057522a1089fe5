package upstream

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/internal/testutil"
)

func post(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	return r
}

// TestRequestIsSentOnce: a server runs a request and closes the connection without a
// response. On a reused connection net/http would retry it, since an Idempotency-Key
// header makes it look idempotent, and the server would run it twice. It must be sent
// once and reported as broken.
func TestRequestIsSentOnce(t *testing.T) {
	var runs atomic.Int64
	dropConnection := atomic.Bool{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		if dropConnection.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	c := New()
	defer c.Close()
	for _, once := range []bool{true, false} {
		dropConnection.Store(false)
		resp, err := c.Do(post(t, s.URL), once)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		dropConnection.Store(true)
		runs.Store(0)
		_, err = c.Do(post(t, s.URL), once)
		var e *Error
		if !errors.As(err, &e) || e.Result != event.AttemptBroken {
			t.Errorf("once %v: %v", once, err)
		}
		if n := runs.Load(); n != 1 {
			t.Errorf("once %v: the request ran %d times", once, n)
		}
	}
}

// TestErrorClassification: whether a failed request can be retried depends on how
// far it got, so each kind of failure must have its own result.
func TestErrorClassification(t *testing.T) {
	closed := "http://" + testutil.ClosedAddress(t)
	refuse := func(leaving bool) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if leaving {
				w.Header().Set(HeaderLeaving, "true")
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		url     string
		want    event.AttemptResult
		leaving bool
	}{
		"nothing listens":    {url: closed, want: event.AttemptNotSent},
		"refused":            {handler: refuse(false), want: event.AttemptRefused},
		"refused, leaving":   {handler: refuse(true), want: event.AttemptRefused, leaving: true},
		"connection dropped": {handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: event.AttemptBroken},
		"internal error":     {handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, want: event.AttemptBroken},
	} {
		t.Run(name, func(t *testing.T) {
			if c.handler != nil {
				s := httptest.NewServer(c.handler)
				defer s.Close()
				c.url = s.URL
			}
			client := New()
			defer client.Close()
			_, err := client.Do(post(t, c.url), false)
			var e *Error
			if !errors.As(err, &e) || e.Result != c.want || e.Leaving != c.leaving {
				t.Errorf("got %+v, want result %d, leaving %v", err, c.want, c.leaving)
			}
		})
	}
}

// Guards against a status that HTTP doesn't have and that callers get, or that ends their connection as it is written.
func TestStatusThatHTTPDoesNotHave(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, once := range []bool{true, false} {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				defer func() { _ = c.Close() }()
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Odd\r\nUpgrade: x\r\nConnection: Upgrade\r\nContent-Length: 2\r\n\r\nhi")
			}))
			client := New()
			_, err := client.Do(post(t, s.URL), once)
			var e *Error
			if !errors.As(err, &e) || e.Result != event.AttemptBroken {
				t.Errorf("status %s, once %v: %v", status, once, err)
			}
			client.Close()
			s.Close()
		}
	}
}

// TestCrashedServer: a server drops the connection and no longer listens. This must
// be classified as a crash, since the request may have caused it.
func TestCrashedServer(t *testing.T) {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	c := New()
	_, err := c.Do(post(t, s.URL), true)
	var e *Error
	if !errors.As(err, &e) || e.Result != event.AttemptCrashed {
		t.Errorf("got %v, want crashed", err)
	}
}

func TestEventReader(t *testing.T) {
	for name, c := range map[string]struct {
		stream string
		events []Event
		err    error
	}{
		"complete":        {"id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", []Event{{Offset: 0}, {Offset: 1}, {Offset: -1, End: true}}, ErrTruncated},
		"no offset":       {"data: a\n\n", []Event{{Offset: -1}}, ErrTruncated},
		"truncated":       {"id: 0\ndata: a\n\nid: 1\nda", []Event{{Offset: 0}}, ErrTruncated},
		"truncated event": {"id: 0\ndata: a\n", nil, ErrTruncated},
		"comments":        {": hello\n\nid: 5\ndata: a\n\n", []Event{{Offset: 5}}, ErrTruncated},
		"bad offset":      {"id: -3\ndata: a\n\n", []Event{{Offset: -1}}, ErrTruncated},
		"empty":           {"", nil, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewEventReader(strings.NewReader(c.stream))
			for n, want := range c.events {
				got, err := r.Next()
				if err != nil || got.Offset != want.Offset || got.End != want.End {
					t.Fatalf("event %d: %+v, %v", n, got, err)
				}
			}
			if got, err := r.Next(); !errors.Is(err, c.err) {
				t.Errorf("after all events: %+v, %v", got, err)
			}
		})
	}
	if _, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", maxLineBytes+1))).Next(); err == nil || errors.Is(err, ErrTruncated) {
		t.Errorf("a line over maxLineBytes: %v", err)
	}
}

func BenchmarkDo(b *testing.B) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "{}") }))
	defer s.Close()
	c := New()
	defer c.Close()
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, s.URL, strings.NewReader("{}"))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := c.Do(r, false)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
