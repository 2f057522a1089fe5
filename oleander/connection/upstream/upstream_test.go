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

// TestOnceIsNotRepeatedBelow: a server runs a call and drops the connection
// without an answer. The Go client would send the call again by itself on a
// reused connection, since an Idempotency-Key makes it look repeatable, and
// the order would run twice. On a connection of its own it is sent once, and
// the caller hears that nobody knows.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
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
		switch n := runs.Load(); {
		case once && n != 1:
			t.Errorf("the order ran %d times", n)
		case !once && n != 2:
			// The safeguard is needed as long as this is so.
			t.Errorf("a repeatable call was sent %d times by the library, want 2: is the fresh connection still needed?", n)
		}
	}
}

// TestFailuresAreTold: what a failure means for a repeat depends on how far the
// call came; each kind must be told apart.
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

// TestServerThatDiesIsCrashed: a server drops the connection and does not
// listen any more: the request may be what crashed it.
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
		parts  []Event
		err    error
	}{
		"whole":            {"id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", []Event{{Offset: 0}, {Offset: 1}, {Offset: -1, End: true}}, ErrTruncated},
		"no offset":        {"data: a\n\n", []Event{{Offset: -1}}, ErrTruncated},
		"ends early":       {"id: 0\ndata: a\n\nid: 1\nda", []Event{{Offset: 0}}, ErrTruncated},
		"event cut in two": {"id: 0\ndata: a\n", nil, ErrTruncated},
		"comments":         {": hello\n\nid: 5\ndata: a\n\n", []Event{{Offset: 5}}, ErrTruncated},
		"bad offset":       {"id: -3\ndata: a\n\n", []Event{{Offset: -1}}, ErrTruncated},
		"empty":            {"", nil, ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewEventReader(strings.NewReader(c.stream))
			for n, want := range c.parts {
				got, err := p.Next()
				if err != nil || got.Offset != want.Offset || got.End != want.End {
					t.Fatalf("part %d: %+v, %v", n, got, err)
				}
			}
			if got, err := p.Next(); !errors.Is(err, c.err) {
				t.Errorf("after all parts: %+v, %v", got, err)
			}
		})
	}
	if _, err := NewEventReader(strings.NewReader("data: " + strings.Repeat("x", maxEventBytes+1))).Next(); err == nil || errors.Is(err, ErrTruncated) {
		t.Errorf("an event without end: %v", err)
	}
}
