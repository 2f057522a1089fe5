package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/internal/testutil"
)

// serveTorn serves the first bytes of an answer, and returns the address.
func serveTorn(t *testing.T, answer string) string {
	url := testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, answer)
		_ = c.Close()
	}))
	return strings.TrimPrefix(url, "http://")
}

// Guards against an engine's answer that is torn at any byte and counts as a report, or as the acceptance of an order.
func TestTornAnswerIsNoReportAndNoAcceptance(t *testing.T) {
	const report = `{"boot":"b1","held":[]}`
	for name, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(report), report), "chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(report), report), "neither": "\r\n" + report} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := engine.New(engine.Settings{Timeout: testutil.Timeout})
			answer := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + head
			for cut := range answer {
				if got, err := c.FetchReport(context.Background(), serveTorn(t, answer[:cut])); err == nil {
					t.Errorf("cut after %q: report %+v", answer[:cut], got)
				}
			}
			accepted := "HTTP/1.1 202 Accepted\r\n" + head
			for cut := range strings.Index(accepted, "\r\n\r\n") + 4 {
				if got := c.SendOrder(context.Background(), serveTorn(t, accepted[:cut]), load(10)); got != event.OrderUnknown {
					t.Errorf("cut after %q: order %v", accepted[:cut], got)
				}
			}
		})
	}
}
