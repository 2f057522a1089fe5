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
	// devPorts is how many ports the development deployment may use.
	devPorts = 100
	// oneTokenCalls is how many calls go each way in one run.
	oneTokenCalls = 1500
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

// freePorts returns the first of devPorts ports that were free a moment ago.
func freePorts(b *testing.B) int {
	b.Helper()
	const lowest, highest = 12_000, 30_000
	for port := lowest; port < highest; port += devPorts {
		if allFree(port, devPorts) {
			return port
		}
	}
	b.Fatal("no free ports")
	return 0
}

func allFree(port, n int) bool {
	for p := range n {
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port+p)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// target is where calls go: through an entry instance, or straight to the
// model engine that has the model.
type target struct {
	url    string
	header http.Header
}

func entryOf(d *dev.Deployment) target {
	return target{
		url:    "http://" + d.Instances[0].CallerAddress() + engine.CompletionsPath,
		header: http.Header{"Authorization": {"Bearer " + d.Key}, "Content-Type": {"application/json"}},
	}
}

// engineOf returns the engine of the entry's zone, which has the model once
// the entry was called. The calls that look for it are the only wrong ones.
func engineOf(b *testing.B, d *dev.Deployment) target {
	b.Helper()
	for _, m := range d.Backends[0].Members {
		t := target{
			url:    "http://" + m.Address + engine.CompletionsPath,
			header: http.Header{engine.AccountHeader: {devAccount}, "Content-Type": {"application/json"}},
		}
		if m.Group == "workers" && t.call(completion(1, false)) == nil {
			return t
		}
	}
	b.Fatal("no engine has the model")
	return target{}
}

func completion(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"prompt":"door 7 jams","max_tokens":%d,"stream":%v}`, devModel, tokens, stream)
}

var client = &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call makes one call and reads its answer to the end.
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

// load makes n calls of each target in turn from several callers, so that both
// meet the same machine, and returns their latencies and errors.
func load(callers, n int, targets []target, body string) (took []*hdrhistogram.Histogram, failed []error) {
	for range targets {
		took = append(took, hdrhistogram.New(1, int64(time.Minute), 3))
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range n / callers {
				for k, t := range targets {
					began := time.Now()
					err := t.call(body)
					d := time.Since(began)
					mu.Lock()
					_ = took[k].RecordValue(int64(d))
					if err != nil {
						failed = append(failed, err)
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return took, failed
}

// BenchmarkEntryOverhead measures a completion of one token through an entry
// instance and straight to the engine stand-in, in one run under one load.
func BenchmarkEntryOverhead(b *testing.B) {
	d := startDev(b, 0)
	entry := entryOf(d)
	if err := entry.call(completion(1, false)); err != nil {
		b.Fatal(err)
	}
	targets := []target{entry, engineOf(b, d)}
	for _, callers := range []int{1, 4, 8} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			load(callers, oneTokenCalls/5, targets, completion(1, false))
			for range b.N {
				took, failed := load(callers, oneTokenCalls, targets, completion(1, false))
				if len(failed) > 0 {
					b.Fatal(failed[0])
				}
				reportPair(b, took)
			}
		})
	}
}

func reportPair(b *testing.B, took []*hdrhistogram.Histogram) {
	b.ReportMetric(0, "ns/op")
	for _, p := range []float64{50, 99} {
		through, direct := micros(took[0], p), micros(took[1], p)
		b.ReportMetric(through, fmt.Sprintf("entry-p%.0f-µs", p))
		b.ReportMetric(direct, fmt.Sprintf("direct-p%.0f-µs", p))
		b.ReportMetric(through-direct, fmt.Sprintf("overhead-p%.0f-µs", p))
	}
}

func micros(h *hdrhistogram.Histogram, p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / float64(time.Microsecond)
}

// BenchmarkEntryCall measures the processor time of a completion of one token
// through an entry instance and straight to the engine: the difference is the
// instance's, with what calling it costs the caller.
func BenchmarkEntryCall(b *testing.B) {
	d := startDev(b, 0)
	entry := entryOf(d)
	if err := entry.call(completion(1, false)); err != nil {
		b.Fatal(err)
	}
	direct := engineOf(b, d)
	for range b.N {
		through := usedBy(b, entry, 8, oneTokenCalls, completion(1, false))
		straight := usedBy(b, direct, 8, oneTokenCalls, completion(1, false))
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(perUnit(through, oneTokenCalls), "entry-cpu-ns/call")
		b.ReportMetric(perUnit(straight, oneTokenCalls), "direct-cpu-ns/call")
		b.ReportMetric(perUnit(through-straight, oneTokenCalls), "added-cpu-ns/call")
	}
}

// BenchmarkEntryToken measures the processor time of a token that streams
// through an entry instance: 16 streams of 400 tokens, one every 2 ms, with
// each token in a part of its own.
func BenchmarkEntryToken(b *testing.B) {
	const (
		streams   = 16
		tokens    = 400
		tokenTime = 2 * time.Millisecond
	)
	d := startDev(b, tokenTime)
	entry := entryOf(d)
	if err := entry.call(completion(1, false)); err != nil {
		b.Fatal(err)
	}
	direct := engineOf(b, d)
	for range b.N {
		through := usedBy(b, entry, streams, streams, completion(tokens, true))
		straight := usedBy(b, direct, streams, streams, completion(tokens, true))
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(perUnit(through, streams*tokens), "entry-cpu-ns/token")
		b.ReportMetric(perUnit(straight, streams*tokens), "direct-cpu-ns/token")
		b.ReportMetric(perUnit(through-straight, streams*tokens), "added-cpu-ns/token")
	}
}

func perUnit(d time.Duration, n int) float64 { return float64(d.Nanoseconds()) / float64(n) }

// usedBy returns the processor time of this process, which holds callers,
// entry instances and engines, while n calls are made.
func usedBy(b *testing.B, t target, callers, n int, body string) time.Duration {
	b.Helper()
	used := processorTime()
	if _, failed := load(callers, n, []target{t}, body); len(failed) > 0 {
		b.Fatal(failed[0])
	}
	return processorTime() - used
}

// BenchmarkApplyInForce measures the time from the start of an apply until its
// version is in force at every instance.
func BenchmarkApplyInForce(b *testing.B) {
	const applies = 50
	d := startDev(b, 0)
	p := publisher(b, d)
	whole, write := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	n := 0
	for range b.N {
		for range applies {
			n++
			written, inForce := apply(b, d, p, n)
			_ = whole.RecordValue(int64(inForce))
			_ = write.RecordValue(int64(written))
			time.Sleep(time.Duration(37*n%200) * time.Millisecond)
		}
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(micros(write, 50)/1000, "apply-p50-ms")
	b.ReportMetric(micros(whole, 50)/1000, "in-force-p50-ms")
	b.ReportMetric(micros(whole, 99)/1000, "in-force-p99-ms")
	b.ReportMetric(float64(whole.Max())/1e6, "in-force-max-ms")
}

func publisher(b *testing.B, d *dev.Deployment) *publish.Publisher {
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

// apply applies the configuration with one more key, and waits for it. It
// returns when the apply returned and when the last instance had the version.
func apply(b *testing.B, d *dev.Deployment, p *publish.Publisher, n int) (written, inForce time.Duration) {
	b.Helper()
	wanted := fleet.Clone(d.Config)
	key := fleet.KeyOf(id.Account(fmt.Sprintf("key-%d", n)))
	wanted.Keys[key] = config.Key{Digest: key, Account: devAccount, Label: "of a benchmark"}
	began := time.Now()
	r, err := p.Apply(context.Background(), wanted, "a benchmark", fmt.Sprintf("apply-%d", n), nil)
	if err != nil {
		b.Fatal(err)
	}
	written = time.Since(began)
	for !everywhere(d, r.Version) {
		time.Sleep(time.Millisecond)
		if time.Since(began) > time.Minute {
			b.Fatalf("version %d is not in force everywhere", r.Version)
		}
	}
	return written, time.Since(began)
}

func everywhere(d *dev.Deployment, v id.ConfigVersion) bool {
	for _, i := range d.Instances {
		if c := i.Config(); c == nil || c.Version < v {
			return false
		}
	}
	return true
}
