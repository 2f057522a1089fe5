package gateway

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

// begunStreamTimeout is longer than a grace period.
const begunStreamTimeout = 20 * time.Second

// patientConfig returns a configuration whose resumable streams may last long.
func patientConfig() *manifest.Manifest {
	m := config(1)
	m.Match(testHost, "/resume/").Timeout = begunStreamTimeout
	return m
}

// rejectsFor rejects what resumes a stream for a time after the first stream began.
type rejectsFor struct {
	period     time.Duration
	silence    time.Duration // after the second event
	breaks     bool          // breaks off after the silence
	status     int           // of the rejections; 0: 503
	rest       time.Duration // asked for with them
	began      atomic.Int64  // Unix nanoseconds
	rejections atomic.Int64
}

func (s *rejectsFor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get(testLast))
	s.began.CompareAndSwap(0, time.Now().UnixNano())
	if after > 0 && time.Since(time.Unix(0, s.began.Load())) < s.period {
		s.rejections.Add(1)
		w.Header().Set(testNotRun, "1")
		if s.rest > 0 {
			w.Header().Set(testRest, strconv.FormatInt(s.rest.Milliseconds(), 10))
		}
		w.WriteHeader(cmp.Or(s.status, http.StatusServiceUnavailable))
		return
	}
	w.Header().Set(testSigned, "1")
	for i := after + 1; i <= streamLength; i++ {
		events(w, i, i)
		if i != 2 {
			continue
		}
		select {
		case <-time.After(s.silence):
		case <-r.Context().Done():
			return
		}
		if s.breaks {
			panic(http.ErrAbortHandler)
		}
	}
}

// checkBegunStream plays a stream of one engine, and stops the instance a time after its first event if that is not 0. The stream must be whole.
func checkBegunStream(t *testing.T, s *rejectsFor, stopAfter time.Duration) {
	t.Helper()
	f := newFixture(t, patientConfig())
	f.backend("a", "llm", s.ServeHTTP, "warm")
	url := f.start()
	if stopAfter > 0 {
		go func() {
			testutil.WaitFor(t, func() bool { return s.began.Load() != 0 })
			time.Sleep(stopAfter)
			close(f.stops[0])
		}()
	}
	began := time.Now()
	got := f.ask(http.MethodPost, url+"/resume/", testModel, "warm", testWait, fmt.Sprint(begunStreamTimeout.Milliseconds()))
	t.Logf("status %d, %d bytes, %v, after %v, %d rejections", got.status, len(got.body), got.err, time.Since(began).Round(time.Millisecond), s.rejections.Load())
	if got.status != http.StatusOK || got.err != nil || got.body != eventsText(1, streamLength) {
		t.Errorf("the stream is not whole: %+v", got)
	}
	if took := time.Since(began); took > begunStreamTimeout/2 {
		t.Errorf("took %v", took)
	}
}

// Guards against a stream that is cut as its instance stops, though its only server lives and is but silent for a while.
func TestSilentServerAtAStop(t *testing.T) {
	t.Parallel()
	checkBegunStream(t, &rejectsFor{period: time.Hour, silence: 3200 * time.Millisecond}, 100*time.Millisecond)
}

// Guards against a stream that is cut at its deadline, since its only server was left for its silence and rejected it once.
func TestSilentServerOfABegunStream(t *testing.T) {
	t.Parallel()
	checkBegunStream(t, &rejectsFor{period: time.Hour, silence: 3200 * time.Millisecond}, 0)
}

// Guards against a stream that is cut as its instance stops, since its only server broke off and rejected it for a while.
func TestRejectedTakeUpAtAStop(t *testing.T) {
	t.Parallel()
	checkBegunStream(t, &rejectsFor{period: 2800 * time.Millisecond, breaks: true}, 100*time.Millisecond)
}

// Guards against the same where the server says that it has not the model, or wants to rest.
func TestOtherRejectionsAtAStop(t *testing.T) {
	t.Run("421", func(t *testing.T) {
		t.Parallel()
		checkBegunStream(t, &rejectsFor{period: 1500 * time.Millisecond, breaks: true, status: http.StatusMisdirectedRequest}, 100*time.Millisecond)
	})
	t.Run("rest", func(t *testing.T) {
		t.Parallel()
		checkBegunStream(t, &rejectsFor{period: 1500 * time.Millisecond, breaks: true, rest: 800 * time.Millisecond}, 100*time.Millisecond)
	})
}

// Guards against a stream that is cut at its deadline, since its only server broke off and rejected it once.
func TestRejectedTakeUp(t *testing.T) {
	t.Parallel()
	checkBegunStream(t, &rejectsFor{period: 3500 * time.Millisecond, breaks: true}, 0)
}

// Guards against a request that its caller sees cut, without a word, as its instance ends: one without an answer is told so, and the
// log names the stop as what ended the others.
func TestRequestsAtTheEndOfAStop(t *testing.T) {
	t.Parallel()
	m := patientConfig()
	m.Match(testHost, "/order/").Timeout = begunStreamTimeout
	f := newFixture(t, m)
	var waiting atomic.Int64
	slow := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/resume/begun") {
			events(w, 1, 1)
		}
		waiting.Add(1)
		<-r.Context().Done()
	}
	f.backend("a", "llm", slow, "warm")
	f.backend("b", "plain", slow)
	url := f.start()
	answers := make(map[string]chan answer)
	for _, path := range []string{"/order/", "/resume/silent", "/resume/begun"} {
		got := make(chan answer, 1)
		answers[path] = got
		go func() {
			got <- f.ask(http.MethodPost, url+path, testID, path, testModel, map[bool]string{true: "warm"}[path != "/order/"], testWait, fmt.Sprint(begunStreamTimeout.Milliseconds()))
		}()
	}
	testutil.WaitFor(t, func() bool { return waiting.Load() == 3 })
	began := time.Now()
	close(f.stops[0])
	for path, got := range answers {
		a := <-got
		took := time.Since(began)
		t.Logf("%s: %d, %v, after %v", path, a.status, a.err, took.Round(time.Millisecond))
		if took < testGrace*5/6 || took > testGrace {
			t.Errorf("%s ended %v after the stop, of %v", path, took, testGrace)
		}
		switch {
		case path == "/resume/begun" && (a.status != http.StatusOK || a.err == nil):
			t.Errorf("%s: %+v, want it cut", path, a)
		case path != "/resume/begun" && (a.status != http.StatusBadGateway || a.err != nil):
			t.Errorf("%s: %+v, want 502", path, a)
		}
		testutil.WaitFor(t, func() bool { return strings.Contains(f.explain(path), "request ended") })
		if e := f.explain(path); !strings.Contains(e, "=stopping") || !strings.Contains(e, "stopping_for_ms=") {
			t.Errorf("the stop is not named:\n%s", e)
		}
	}
}
