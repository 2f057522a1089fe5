package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

// Guards against streams of an instance without own links that are cut as the instance that connects for it stops.
func TestStreamsThroughARelayThatStops(t *testing.T) {
	t.Parallel()
	f := newFixture(t, patientConfig())
	f.slots = 64
	var begun atomic.Int64
	f.backend("a", "llm", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get(testLast))
		for i := after + 1; i <= streamLength; i++ {
			events(w, i, i)
			if i == 1 {
				begun.Add(1)
			}
			select {
			case <-time.After(800 * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}, "warm")
	url, _ := f.startCut(2, cutRefuses)
	const streams = 8
	got := make(chan answer, streams)
	for n := range streams {
		go func() {
			got <- f.ask(http.MethodPost, url+"/resume/x", testID, fmt.Sprint("relayed", n), testModel, "warm", testWait, fmt.Sprint(begunStreamTimeout.Milliseconds()))
		}()
	}
	testutil.WaitFor(t, func() bool { return begun.Load() == streams })
	relay := 1
	if f.gateways[2].relayedConns() > f.gateways[1].relayedConns() {
		relay = 2
	}
	t.Logf("%d and %d connections are relayed, g%d stops", f.gateways[1].relayedConns(), f.gateways[2].relayedConns(), relay)
	close(f.stops[relay])
	for range streams {
		if a := <-got; a.status != http.StatusOK || a.err != nil || a.body != eventsText(1, streamLength) {
			t.Errorf("%+v", a)
		}
	}
}

// Guards against a request whose body arrives slowly across the stop of its instance, and that runs without an answer.
func TestSlowBodiesAtAStop(t *testing.T) {
	for name, rest := range map[string]time.Duration{"complete in time": time.Second, "complete too late to run": 3 * time.Second, "never complete": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := config(1)
			m.Match(testHost, "/order/").Timeout = begunStreamTimeout
			f := newFixture(t, m)
			b := f.backend("a", "plain", ok)
			f.start()
			c, err := net.Dial("tcp", f.gateways[0].settings.CallerAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "POST /order/x HTTP/1.1\r\nHost: %s\r\n%s: slow\r\n%s: secret\r\nContent-Length: 1000\r\n\r\n%s", testHost, testID, testKey, strings.Repeat("x", 500))
			time.Sleep(100 * time.Millisecond)
			close(f.stops[0])
			if rest > 0 {
				time.Sleep(rest)
				_, _ = io.WriteString(c, strings.Repeat("x", 500))
			}
			_ = c.SetReadDeadline(time.Now().Add(2 * testGrace))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			status := 0
			if err == nil {
				status = resp.StatusCode
			}
			t.Logf("status %d, %v, %d requests at the server", status, err, b.requests())
			want := map[time.Duration]int{time.Second: http.StatusOK, 3 * time.Second: http.StatusServiceUnavailable, 0: 0}[rest]
			if status != want || want != http.StatusOK && b.requests() > 0 {
				t.Errorf("status %d, want %d; %d requests at the server", status, want, b.requests())
			}
		})
	}
}
