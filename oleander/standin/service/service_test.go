package service

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// startService starts a service that runs until the test ends, and returns its URL.
func startService(t *testing.T) (*Service, string) {
	t.Helper()
	l := testutil.Listen(t)
	s := New()
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return s, "http://" + l.Addr().String()
}

// postOrder sends a call with an idempotency key and discards the response's body.
func postOrder(url, key string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/orders/release", strings.NewReader(`{"station":7}`))
	if err != nil {
		return nil, err
	}
	req.Header.Set(AccountHeader, "desk")
	req.Header.Set(AttemptHeader, "attempt-1")
	req.Header.Set(IdempotencyKeyHeader, key)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		resp.Body.Close()
	}
	return resp, err
}

// A caller sends one call. If no response arrives, the caller can't know whether it
// was executed; the status query must tell in each case.
func TestCallFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
		status int // 0 if the connection is closed
		runs   int
	}{
		{"no fault", Faults{}, http.StatusOK, 1},
		{"response lost after the run", Faults{LoseResponses: 1}, 0, 1},
		{"request lost", Faults{LoseRequests: 1}, 0, 0},
		{"crashed after the run", Faults{CrashAfterRun: 1, RestartDelay: 20 * time.Millisecond}, 0, 1},
		{"down", Faults{Down: true}, 0, 0},
		{"refused", Faults{RefuseCalls: 1}, http.StatusServiceUnavailable, 0},
		{"leaving", Faults{Leaving: true}, http.StatusServiceUnavailable, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, url := startService(t)
			s.SetFaults(test.faults)
			resp, err := postOrder(url, "key-1")
			if (err != nil) != (test.status == 0) || (err == nil && resp.StatusCode != test.status) {
				t.Errorf("response %v, error %v", resp, err)
			}
			if err == nil && (resp.Header.Get(LeavingHeader) == "true") != test.faults.Leaving {
				t.Errorf("header %v", resp.Header)
			}
			s.SetFaults(Faults{})
			want := StateNotRun
			if test.runs > 0 {
				want = StateDone
			}
			if got := waitForStatus(t, url, "key-1"); got.State != want {
				t.Errorf("status %+v, want %s", got, want)
			}
			if runs := s.Runs(); len(runs) != test.runs {
				t.Errorf("runs %+v", runs)
			}
		})
	}
}

// waitForStatus queries the status of a call until the service responds: it may be
// restarting.
func waitForStatus(t *testing.T, url, key string) Status {
	t.Helper()
	for end := time.Now().Add(testutil.Timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		resp, err := http.Get(url + "/status/" + key)
		if err != nil {
			continue
		}
		defer resp.Body.Close()
		var s Status
		if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
			t.Fatal(err)
		}
		return s
	}
	t.Fatal("service did not restart in time")
	return Status{}
}

func TestRunsDistinguishedByKey(t *testing.T) {
	s, url := startService(t)
	for _, key := range []string{"key-1", "key-2", "key-1"} {
		if _, err := postOrder(url, key); err != nil {
			t.Fatal(err)
		}
	}
	n := map[string]int{}
	for _, r := range s.Runs() {
		n[r.IdempotencyKey]++
		if r.Account != "desk" || r.Attempt != "attempt-1" || r.Path != "/orders/release" || len(r.Digest) != 64 {
			t.Errorf("run: %+v", r)
		}
	}
	if n["key-1"] != 2 || n["key-2"] != 1 {
		t.Errorf("runs by idempotency key: %v", n)
	}
}

func TestViolations(t *testing.T) {
	s, url := startService(t)
	resp, err := http.Post(url+"/orders", "text/plain", strings.NewReader("my key is odk_secret"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if v := s.Violations(); v != (Violations{APIKeySeen: 1, AccountMissing: 1}) {
		t.Errorf("violations: %+v", v)
	}
}
