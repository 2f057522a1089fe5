package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"oleanderdale.org/oleander/clients/instancelist"
)

// BenchmarkListFetch measures a reading of the platform's instance list over
// loopback: its bytes, and the processor time of both ends together.
func BenchmarkListFetch(b *testing.B) {
	for _, s := range []scene{
		{zones: 1, perZone: 10, engines: 90}, {zones: 2, perZone: 50, engines: 450, remote: 450}, letter,
	} {
		b.Run(fmt.Sprintf("entries=%d", max(s.zones, 1)*s.perZone+s.engines+s.remote), func(b *testing.B) {
			body := listBody(b, s)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			c, err := instancelist.New(instancelist.Settings{URL: server.URL})
			if err != nil {
				b.Fatal(err)
			}
			used := processorTime()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := c.Read(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(perUnit(processorTime()-used, b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(body)), "listB")
		})
	}
}

// listBody is the list of a scene in the form of the platform.
func listBody(b *testing.B, s scene) []byte {
	b.Helper()
	d := driver{}
	d.populate(s)
	var groups []instancelist.TargetGroup
	for _, m := range d.members {
		labels := map[string]string{instancelist.LabelName: m.Name, instancelist.LabelZone: string(m.Zone)}
		if m.Group != "" {
			labels[instancelist.LabelGroup] = string(m.Group)
		}
		groups = append(groups, instancelist.TargetGroup{Targets: []string{"10.20.30.40:7000"}, Labels: labels})
	}
	body, err := json.Marshal(groups)
	if err != nil {
		b.Fatal(err)
	}
	return body
}
