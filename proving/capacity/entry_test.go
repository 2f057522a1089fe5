package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/clients/objects"
	"oleanderdale.org/oleander/clients/tablesvc"
	"oleanderdale.org/oleander/process/dev"
	"oleanderdale.org/oleander/standin/engine"
	"oleanderdale.org/oleander/version/publish"
	"oleanderdale.org/proving/fleet"
)

const (
	devModel   = "fault-summary"
	devAccount = "technicians"
	// devPortCount is the number of ports reserved for a development deployment.
	devPortCount = 100
	// callsPerRun is the number of calls to each target in one run.
	callsPerRun = 1500
)

// startDev starts a development deployment on free ports.
func startDev(b *testing.B, tokenTime time.Duration) *dev.Deployment {
	b.Helper()
	d, err := dev.Start(context.Background(), dev.Settings{Port: freePorts(b), Instances: 1, Engines: 1, TokenTime: tokenTime})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	return d
}

// freePorts returns the first of devPortCount consecutive ports that are free at
// the time of the check.
func freePorts(b *testing.B) int {
	b.Helper()
	const lowest, highest = 12_000, 30_000
	for port := lowest; port < highest; port += devPortCount {
		if portsFree(port, devPortCount) {
			return port
		}
	}
	b.Fatal("no free ports")
	return 0
}

func portsFree(port, n int) bool {
	for p := range n {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+p)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// target is the receiver of calls: an entry instance, or the model engine that
// holds the model.
type target struct {
	url    string
	header http.Header
}

func entryTarget(d *dev.Deployment) target {
	return target{
		url:    "http://" + d.Instances[0].CallerAddress() + engine.CompletionsPath,
		header: http.Header{"Authorization": {"Bearer " + d.Key}, "Content-Type": {"application/json"}},
	}
}

// engineTarget finds the engine that holds the model by calling the engines of the
// zone of the entry instance. Call the entry instance first, so that the model is
// loaded. These are the only calls that may fail.
func engineTarget(b *testing.B, d *dev.Deployment) target {
	b.Helper()
	for _, m := range d.Backends[0].Members {
		t := target{
			url:    "http://" + m.Address + engine.CompletionsPath,
			header: http.Header{engine.AccountHeader: {devAccount}, "Content-Type": {"application/json"}},
		}
		if m.Group == "workers" && t.call(completionBody(1, false)) == nil {
			return t
		}
	}
	b.Fatal("no engine holds the model")
	return target{}
}

func completionBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"door 7 jams","max_tokens":%d,"stream":%v}`, devModel, tokens, stream)
}

var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one call and reads the whole response.
func (t target) call(body string) error {
	req, err := http.NewRequest(http.MethodPost, t.url, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	req.Header = t.header
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, answer)
	}
	return err
}

// runCalls makes n calls to each target from several concurrent callers and returns
// their latencies by target, and all errors. Each caller alternates between the
// targets, so that all are measured under the same load of the machine.
func runCalls(callers, n int, targets []target, body string) (latencies []*hdrhistogram.Histogram, failed []error) {
	for range targets {
		latencies = append(latencies, hdrhistogram.New(1, int64(time.Minute), 3))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range n / callers {
				for k, t := range targets {
					start := time.Now()
					err := t.call(body)
					d := time.Since(start)
					mu.Lock()
					_ = latencies[k].RecordValue(int64(d))
					if err != nil {
						failed = append(failed, err)
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return latencies, failed
}

// BenchmarkEntryOverhead measures the latency of a completion of one token through
// an entry instance and directly to the engine stand-in, alternating in one run.
func BenchmarkEntryOverhead(b *testing.B) {
	d := startDev(b, 0)
	entry := entryTarget(d)
	if err := entry.call(completionBody(1, false)); err != nil {
		b.Fatal(err)
	}
	targets := []target{entry, engineTarget(b, d)}
	for _, callers := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			runCalls(callers, callsPerRun/5, targets, completionBody(1, false))
			for range b.N {
				latencies, failed := runCalls(callers, callsPerRun, targets, completionBody(1, false))
				if len(failed) > 0 {
					b.Fatal(failed[0])
				}
				reportOverhead(b, latencies)
			}
		})
	}
}

func reportOverhead(b *testing.B, latencies []*hdrhistogram.Histogram) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 99} {
		through, direct := percentileMicros(latencies[0], p), percentileMicros(latencies[1], p)
		b.ReportMetric(through, fmt.Sprintf("entry-p%.0f-µs", p))
		b.ReportMetric(direct, fmt.Sprintf("direct-p%.0f-µs", p))
		b.ReportMetric(through-direct, fmt.Sprintf("overhead-p%.0f-µs", p))
	}
}

func percentileMicros(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / float64(time.Microsecond)
}

// BenchmarkEntryCall measures the CPU time of a completion of one token through an
// entry instance and directly to the engine. The difference is the cost of the
// instance and of the additional hop.
func BenchmarkEntryCall(b *testing.B) {
	d := startDev(b, 0)
	entry := entryTarget(d)
	if err := entry.call(completionBody(1, false)); err != nil {
		b.Fatal(err)
	}
	direct := engineTarget(b, d)
	for range b.N {
		entryTime := measureCPUTime(b, entry, 8, callsPerRun, completionBody(1, false))
		directTime := measureCPUTime(b, direct, 8, callsPerRun, completionBody(1, false))
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(nsPerUnit(entryTime, callsPerRun), "entry-cpu-ns/call")
		b.ReportMetric(nsPerUnit(directTime, callsPerRun), "direct-cpu-ns/call")
		b.ReportMetric(nsPerUnit(entryTime-directTime, callsPerRun), "added-cpu-ns/call")
	}
}

// BenchmarkEntryToken measures the CPU time of a token streamed through an entry
// instance: 16 streams of 400 tokens, one token every 2 ms, each in an event of
// its own.
func BenchmarkEntryToken(b *testing.B) {
	const (
		streams   = 16
		tokens    = 400
		tokenTime = 2 * time.Millisecond
	)
	d := startDev(b, tokenTime)
	entry := entryTarget(d)
	if err := entry.call(completionBody(1, false)); err != nil {
		b.Fatal(err)
	}
	direct := engineTarget(b, d)
	for range b.N {
		entryTime := measureCPUTime(b, entry, streams, streams, completionBody(tokens, true))
		directTime := measureCPUTime(b, direct, streams, streams, completionBody(tokens, true))
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(nsPerUnit(entryTime, streams*tokens), "entry-cpu-ns/token")
		b.ReportMetric(nsPerUnit(directTime, streams*tokens), "direct-cpu-ns/token")
		b.ReportMetric(nsPerUnit(entryTime-directTime, streams*tokens), "added-cpu-ns/token")
	}
}

func nsPerUnit(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / float64(n) }

// measureCPUTime returns the CPU time that n calls take. It covers this whole process,
// in which the callers, the entry instance and the engine run.
func measureCPUTime(b *testing.B, t target, callers, n int, body string) time.Duration {
	b.Helper()
	used := cpuTime()
	if _, failed := runCalls(callers, n, []target{t}, body); len(failed) > 0 {
		b.Fatal(failed[0])
	}
	return cpuTime() - used
}

// BenchmarkApplyLatency measures the time from the start of an apply until every
// instance has applied its version.
func BenchmarkApplyLatency(b *testing.B) {
	const applies = 50
	d := startDev(b, 0)
	p := newPublisher(b, d)
	appliedTimes, publishTimes := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	n := 0
	for range b.N {
		for range applies {
			n++
			published, applied := applyNewKey(b, d, p, n)
			_ = appliedTimes.RecordValue(int64(applied))
			_ = publishTimes.RecordValue(int64(published))
			time.Sleep(time.Duration(37*n%200) * time.Millisecond)
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(percentileMicros(publishTimes, 50)/1000, "apply-p50-ms")
	b.ReportMetric(percentileMicros(appliedTimes, 50)/1000, "in-force-p50-ms")
	b.ReportMetric(percentileMicros(appliedTimes, 99)/1000, "in-force-p99-ms")
	b.ReportMetric(float64(appliedTimes.Max())/1e6, "in-force-max-ms")
}

func newPublisher(b *testing.B, d *dev.Deployment) *publish.Publisher {
	b.Helper()
	const name, secret = "oleanderdale", "local"
	t, err := tablesvc.New(tablesvc.Settings{Endpoint: d.Platform.TableURL, Region: secret, Table: name, AccessKey: secret, SecretKey: secret})
	if err != nil {
		b.Fatal(err)
	}
	o, err := objects.New(objects.Settings{Endpoint: d.Platform.ObjectURL, Region: secret, Bucket: name, AccessKey: secret, SecretKey: "localsecret"})
	if err != nil {
		b.Fatal(err)
	}
	return &publish.Publisher{Table: t, Objects: o}
}

// applyNewKey publishes the configuration with an additional key and waits until
// every instance has applied it. It returns the time until Apply returned and the
// time until the last instance had the version.
func applyNewKey(b *testing.B, d *dev.Deployment, p *publish.Publisher, n int) (published, applied time.Duration) {
	b.Helper()
	wanted := fleet.Clone(d.Config)
	key := fleet.KeyOf(id.Account(fmt.Sprintf("key-%d", n)))
	wanted.Keys[key] = config.Key{Digest: key, Account: devAccount, Label: "of a benchmark"}
	start := time.Now()
	r, err := p.Apply(context.Background(), wanted, "a benchmark", fmt.Sprintf("apply-%d", n), nil)
	if err != nil {
		b.Fatal(err)
	}
	published = time.Since(start)
	for !appliedEverywhere(d, r.Version) {
		time.Sleep(time.Millisecond)
		if time.Since(start) > time.Minute {
			b.Fatalf("version %d was not applied by every instance", r.Version)
		}
	}
	return published, time.Since(start)
}

func appliedEverywhere(d *dev.Deployment, v id.ConfigVersion) bool {
	for _, i := range d.Instances {
		if c := i.Config(); c == nil || c.Version < v {
			return false
		}
	}
	return true
}
