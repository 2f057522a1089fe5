package capacity

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"oleanderdale.org/proving/processes"
)

const (
	// idleFor is how long idle processes are watched.
	idleFor = 20 * time.Second
	// perZone is how many instances run in each zone of the processes.
	perZone = 3
)

// BenchmarkProcessIdle measures idle oleanderd processes, nine in three
// availability zones beside nine model engines: the processor time and the
// resident memory of each, from its own metrics page.
func BenchmarkProcessIdle(b *testing.B) {
	for _, adapters := range []int{0, letterAdapters} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			ctx := context.Background()
			dir := b.TempDir()
			if err := processes.Build(ctx, dir); err != nil {
				b.Fatal(err)
			}
			c, err := processes.Start(ctx, dir, deploymentFile(b, adapters), perZone)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			time.Sleep(10 * time.Second)
			b.ResetTimer()
			for range b.N {
				watchIdle(b, c)
			}
		})
	}
}

// deploymentFile writes a configuration with more adapters.
func deploymentFile(b *testing.B, adapters int) string {
	b.Helper()
	body, err := os.ReadFile("../processes/testdata/deployment.yaml")
	if err != nil {
		b.Fatal(err)
	}
	var s strings.Builder
	s.Write(body)
	for n := range adapters {
		fmt.Fprintf(&s, "---\nkind: adapter\nmodel: summary\nname: a%05d\nsize: 256MiB\nload_time: 1s\nmax_replicas: 2\nmax_tokens: 400\n", n)
	}
	path := filepath.Join(b.TempDir(), "deployment.yaml")
	if err := os.WriteFile(path, []byte(s.String()), 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// gauges are what the metrics page of one process shows.
type gauges struct{ cpu, resident, peerSent, peerBytes float64 }

func watchIdle(b *testing.B, c *processes.Cluster) {
	before := readAll(b, c)
	time.Sleep(idleFor)
	after := readAll(b, c)
	var sum gauges
	for n := range after {
		sum.cpu += after[n].cpu - before[n].cpu
		sum.resident += after[n].resident
		sum.peerSent += after[n].peerSent - before[n].peerSent
		sum.peerBytes += after[n].peerBytes - before[n].peerBytes
	}
	instances := float64(len(after))
	seconds := idleFor.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*sum.cpu/instances/seconds, "%core")
	b.ReportMetric(sum.resident/instances/1e6, "residentMB")
	b.ReportMetric(sum.peerSent/instances/seconds, "sent-msgs/s")
	b.ReportMetric(sum.peerBytes/instances/seconds, "sent-bodyB/s")
}

func readAll(b *testing.B, c *processes.Cluster) []gauges {
	b.Helper()
	var all []gauges
	for _, e := range c.Instances {
		page, err := e.Metrics(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, gauges{
			cpu:       gauge(b, page, "process_cpu_seconds_total"),
			resident:  gauge(b, page, "process_resident_memory_bytes"),
			peerSent:  gauge(b, page, "oleanderd_peer_messages_sent_total"),
			peerBytes: gauge(b, page, "oleanderd_peer_bytes_sent_total"),
		})
	}
	return all
}

func gauge(b *testing.B, page, name string) float64 {
	b.Helper()
	m := regexp.MustCompile(`(?m)^` + name + ` (\S+)$`).FindStringSubmatch(page)
	if m == nil {
		b.Fatalf("the metrics page has no %s", name)
	}
	v, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		b.Fatal(err)
	}
	return v
}
