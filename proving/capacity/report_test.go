package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/clients/engine"
)

// BenchmarkReportFetch measures fetching the report of an engine over loopback: its
// size, and the CPU time of client and server together.
func BenchmarkReportFetch(b *testing.B) {
	for _, held := range []int{0, 2, heldPerEngine} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			body, err := json.Marshal(message.Report{Fencing: 1, Bytes: engineBytes, Held: heldArtifacts(held), BootID: "boot-1"})
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			c := engine.New(engine.Settings{})
			address := strings.TrimPrefix(server.URL, "http://")
			used := cpuTime()
			b.ResetTimer()
			for range b.N {
				if _, err := c.FetchReport(context.Background(), address); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(nsPerUnit(cpuTime()-used, b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(body)), "reportB")
		})
	}
}
