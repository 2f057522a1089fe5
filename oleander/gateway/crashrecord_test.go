package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/gateway/portstest"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// startWithoutStore starts instances while the store is silent, and lets it answer after a time.
func (f *fixture) startWithoutStore(n int, silence time.Duration) []string {
	var settings []Settings
	for i := range n {
		f.store.SetFault(i, portstest.NoResponse)
		settings = append(settings, f.launch(testutil.FreeAddresses(f.t, 3)))
	}
	time.Sleep(silence)
	var urls []string
	for i, s := range settings {
		f.store.SetFault(i, portstest.NoFault)
		urls = append(urls, "http://"+s.CallerAddress)
	}
	for _, s := range settings {
		testutil.WaitFor(f.t, func() bool { return f.status("http://"+s.ReadinessAddress+"/any") == http.StatusOK })
	}
	return urls
}

// Guards against copies of a request that wait for a model and all go to the engine together, where no
// instance can know whether the request crashes servers.
func TestWaitingCopiesGoOneAtATimeIfNothingCanBeKnown(t *testing.T) {
	const copies = 12
	for _, test := range []struct {
		name    string
		crashes bool
	}{{"crashing", true}, {"sound", false}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, config(1))
			f.slots = 2 * copies
			var runs atomic.Int64
			var downUntil atomic.Int64
			f.backend("b", "llm", func(w http.ResponseWriter, r *http.Request) {
				if time.Now().UnixNano() < downUntil.Load() {
					panic(http.ErrAbortHandler)
				}
				runs.Add(1)
				time.Sleep(30 * time.Millisecond) // copies that begin meanwhile crash with it
				if test.crashes {
					downUntil.Store(time.Now().Add(5 * time.Second).UnixNano())
					panic(http.ErrAbortHandler)
				}
				events(w, 1, 3)
			})
			urls := f.startWithoutStore(3, doubtAfter+time.Second)
			var callers sync.WaitGroup
			var served atomic.Int64
			for i := range copies {
				callers.Go(func() {
					if f.ask(http.MethodPost, urls[i%3]+"/stream/x", testModel, "cold", testID, fmt.Sprint("c", i), testWait, "8000").status == http.StatusOK {
						served.Add(1)
					}
				})
			}
			callers.Wait()
			if test.crashes && runs.Load() > 1 {
				t.Errorf("%d of %d copies ran at an engine when it crashed", runs.Load(), copies)
			}
			if !test.crashes && (served.Load() == 0 || strings.Contains(f.log.String(), string(reasonCrashesServers))) {
				t.Errorf("sound copies are refused as if they crashed servers; %d served", served.Load())
			}
		})
	}
}

// countingStore counts the calls for crash records.
type countingStore struct {
	ports.Store
	reads, writes *atomic.Int64
}

func (s countingStore) CrashRecords(ctx context.Context) ([]ports.CrashRecord, revision.Revision, error) {
	s.reads.Add(1)
	return s.Store.CrashRecords(ctx)
}

func (s countingStore) WriteCrashRecord(ctx context.Context, zone string, value []byte, expect revision.Revision) (leader.Result, revision.Revision) {
	s.writes.Add(1)
	return s.Store.WriteCrashRecord(ctx, zone, value, expect)
}

// Guards against a store that is called for each request, or by all instances after each crash.
func TestCrashRecordsCostFewCalls(t *testing.T) {
	f := newFixture(t, config(1))
	var reads, writes atomic.Int64
	f.wrapStore = func(s ports.Store) ports.Store { return countingStore{s, &reads, &writes} }
	var crash atomic.Bool
	for i := range 3 {
		f.backend(fmt.Sprint("s", i), "plain", func(w http.ResponseWriter, r *http.Request) {
			if crash.Load() && strings.Contains(r.URL.Path, crashMark) {
				panic(http.ErrAbortHandler)
			}
			ok(w, r)
		})
	}
	f.zones = []string{"y", "y", "z", "z"}
	urls := []string{f.start(), f.start(), f.start(), f.start()}
	for i := range 100 {
		f.ask(http.MethodGet, urls[i%4]+"/read/"+crashMark)
	}
	if reads.Load() > 8 || writes.Load() > 0 {
		t.Errorf("%d reads and %d writes before any crash", reads.Load(), writes.Load())
	}
	crash.Store(true)
	for i := range 40 {
		f.ask(http.MethodGet, urls[i%4]+"/read/"+crashMark)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * crashRecordInterval)
	t.Logf("%d reads, %d writes", reads.Load(), writes.Load())
	if n := writes.Load(); n == 0 || n > 16 {
		t.Errorf("%d writes for the crashes of a second, by two zones", n)
	}
}

// Guards against records that are lost with a store that came back older, and are not written again.
func TestCrashRecordIsWrittenAgainAfterARestore(t *testing.T) {
	f, g := single(t)
	f.store.TakeSnapshot()
	f.recordCrashes(g)
	awaitRecords(f, 1)
	f.store.RestoreSnapshot()
	if n := len(f.records()); n != 0 {
		t.Fatalf("%d records in the restored store, so the test proves nothing", n)
	}
	awaitRecords(f, 1)
}

// Guards against an instance that is cut off from all others, but not from the store, and counts crashes
// from anew.
func TestCutOffInstanceLearnsOfCrashesFromTheStore(t *testing.T) {
	f, g := single(t)
	f.recordCrashes(g)
	awaitRecords(f, 1)
	f.cancels[0]()
	<-f.ended[0]
	f.start()
	other := f.gateways[1]
	testutil.WaitFor(t, func() bool {
		other.mu.Lock()
		defer other.mu.Unlock()
		return other.poison.Refused(boottime.Now()) == 1
	})
}

// Guards against a record that can't be read and is kept for ever, or ends an instance.
func TestInvalidCrashRecordIsReplaced(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	if result, _ := f.store.Store(9).WriteCrashRecord(t.Context(), "z", []byte("\xff\x00garbage"), revision.Revision{}); result != leader.Done {
		t.Fatalf("write: %v", result)
	}
	f.start()
	f.recordCrashes(f.gateways[0])
	testutil.WaitFor(t, func() bool {
		return len(f.records()) == 1 && !strings.Contains(string(f.records()[0].Value), "garbage")
	})
}

// recordCrashes makes an instance see three crashes under a request.
func (f *fixture) recordCrashes(g *Gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range 3 {
		g.poison.RecordCrash(boottime.Now(), []poison.Digest{1}, poison.Server(i))
	}
}

func (f *fixture) records() []ports.CrashRecord {
	records, _, err := f.store.Store(9).CrashRecords(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	return records
}

func awaitRecords(f *fixture, n int) {
	testutil.WaitFor(f.t, func() bool { return len(f.records()) == n })
}

// Guards against trials of one prompt part at several instances at once, each of which crashes an engine.
func TestTrialsOfAPartTakeTurns(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", ok)
	f.start()
	f.start()
	part := poison.Narrow(70)
	var trials []*exchange
	for i, g := range f.gateways {
		testutil.WaitFor(t, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.members.CountLive(boottime.Now()) == 1 })
		g.mu.Lock()
		for n := range 3 { // crashes so long ago that a trial is due
			age := 45*time.Second - time.Duration(n)*time.Second
			run := poison.RunReport{Digests: []poison.Digest{poison.Digest(n)}, Shared: []poison.Digest{part}, SentAge: age}
			g.poison.MergeKept(boottime.Now(), poison.Report{Crashes: []poison.CrashReport{{Server: poison.Server(n), Age: age, Runs: []poison.RunReport{run}}}})
		}
		if d := g.poison.CheckShared(boottime.Now(), []poison.Digest{part}); !d.Trial {
			t.Errorf("no trial is due: %+v", d)
		}
		g.mu.Unlock()
		trials = append(trials, &exchange{
			g: g, r: httptest.NewRequest(http.MethodPost, "/", nil), arrived: boottime.Now(),
			digests: []poison.Digest{poison.Digest(100 + i)}, shared: []poison.Digest{part},
		})
	}
	if !trials[0].mayProbe() || trials[1].mayProbe() {
		t.Error("the first of two trials does not run, or both run")
	}
	trials[0].endProbe(true)
	testutil.WaitFor(t, trials[1].mayProbe)
}
