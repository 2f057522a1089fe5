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

// BenchmarkListFetch measures fetching the platform's instance list over loopback:
// its size, and the CPU time of client and server together.
func BenchmarkListFetch(b *testing.B) {
	for _, s := range []environment{
		{zones: 1, instancesPerZone: 10, engines: 90}, {zones: 2, instancesPerZone: 50, engines: 450, remoteBackends: 450}, designEnvironment,
	} {
		b.Run(fmt.Sprintf("entries=%d", max(s.zones, 1)*s.instancesPerZone+s.engines+s.remoteBackends), func(b *testing.B) {
			body := encodeList(b, s)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer server.Close()
			c, err := instancelist.New(instancelist.Settings{URL: server.URL})
			if err != nil {
				b.Fatal(err)
			}
			used := cpuTime()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if _, err := c.Read(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(nsPerUnit(cpuTime()-used, b.N), "cpu-ns/op")
			b.ReportMetric(float64(len(body)), "listB")
		})
	}
}

// encodeList returns the instance list of an environment in the format of the
// platform.
func encodeList(b *testing.B, s environment) []byte {
	b.Helper()
	d := driver{}
	d.populate(s)
	var groups []instancelist.TargetGroup
	for _, m := range d.instanceList {
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
