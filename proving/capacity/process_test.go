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
	// idleTime is the time for which idle processes are measured.
	idleTime = 20 * time.Second
	// processInstancesPerZone is the number of instances in each zone.
	processInstancesPerZone = 3
)

// BenchmarkProcessIdle measures nine idle oleanderd processes in three
// availability zones with nine model engines: the CPU time, resident memory and
// messages sent of each, from its metrics page.
func BenchmarkProcessIdle(b *testing.B) {
	for _, adapters := range []int{0, designAdapters} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			ctx := context.Background()
			dir := b.TempDir()
			if err := processes.Build(ctx, dir); err != nil {
				b.Fatal(err)
			}
			c, err := processes.Start(ctx, dir, writeDeployment(b, adapters), processInstancesPerZone)
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			time.Sleep(10 * time.Second)
			b.ResetTimer()
			for range b.N {
				benchmarkIdleProcesses(b, c)
			}
		})
	}
}

// writeDeployment writes the deployment file of package processes with additional
// adapters and returns its path.
func writeDeployment(b *testing.B, adapters int) string {
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

// processMetrics holds values of the metrics page of one process.
type processMetrics struct{ cpu, resident, peerSent, peerBytes float64 }

func benchmarkIdleProcesses(b *testing.B, c *processes.Cluster) {
	before := readMetrics(b, c)
	time.Sleep(idleTime)
	after := readMetrics(b, c)
	var sum processMetrics
	for n := range after {
		sum.cpu += after[n].cpu - before[n].cpu
		sum.resident += after[n].resident
		sum.peerSent += after[n].peerSent - before[n].peerSent
		sum.peerBytes += after[n].peerBytes - before[n].peerBytes
	}
	instances := float64(len(after))
	seconds := idleTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*sum.cpu/instances/seconds, "%core")
	b.ReportMetric(sum.resident/instances/1e6, "residentMB")
	b.ReportMetric(sum.peerSent/instances/seconds, "sent-msgs/s")
	b.ReportMetric(sum.peerBytes/instances/seconds, "sent-bodyB/s")
}

func readMetrics(b *testing.B, c *processes.Cluster) []processMetrics {
	b.Helper()
	var all []processMetrics
	for _, e := range c.Instances {
		page, err := e.Metrics(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, processMetrics{
			cpu:       metricValue(b, page, "process_cpu_seconds_total"),
			resident:  metricValue(b, page, "process_resident_memory_bytes"),
			peerSent:  metricValue(b, page, "oleanderd_peer_messages_sent_total"),
			peerBytes: metricValue(b, page, "oleanderd_peer_bytes_sent_total"),
		})
	}
	return all
}

func metricValue(b *testing.B, page, name string) float64 {
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
