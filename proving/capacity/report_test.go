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

// BenchmarkReportFetch measures a reading of an engine's report over loopback:
// its bytes, and the processor time of both ends together.
func BenchmarkReportFetch(b *testing.B) {
	for _, held := range []int{0, 2, heldEach} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			body, err := json.Marshal(message.Report{Fencing: 1, Bytes: engineBytes, Held: holdings(held), BootID: "boot-1"})
			if err != nil {
				b.Fatal(err)
			}
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			c := engine.New(engine.Settings{})
			address := strings.TrimPrefix(server.URL, "http://")
			used := processorTime()
			b.ResetTimer()
			for range b.N {
				if _, err := c.FetchReport(context.Background(), address); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(perUnit(processorTime()-used, b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(body)), "reportB")
		})
	}
}
