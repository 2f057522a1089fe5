package capacity

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/proving/fleet"
)

// fleetSize is the size of a simulated deployment; the numbers of instances and
// engines are per zone.
type fleetSize struct {
	zones, instancesPerZone, enginesPerZone, artifacts, accounts int
}

func (s fleetSize) String() string {
	return fmt.Sprintf("zones=%d/instances=%d/engines=%d/artifacts=%d/accounts=%d",
		s.zones, s.zones*s.instancesPerZone, s.zones*s.enginesPerZone, s.artifacts, s.accounts)
}

func (s fleetSize) config() *config.Config {
	c := fleet.SmallConfig()
	c.Fleet.Zones = nil
	for z := range s.zones {
		c.Fleet.Zones = append(c.Fleet.Zones, id.Zone(fmt.Sprintf("z%02d", z)))
	}
	for n := range s.artifacts {
		a := id.Adapter("m0", fmt.Sprintf("a%05d", n))
		c.Artifacts[a] = config.Artifact{Name: a, Group: "workers", Bytes: 1 << 28, LoadTime: time.Second, MaxReplicas: 1, MaxTokens: 400}
	}
	for n := range s.accounts {
		fleet.AddAccount(c, config.Account{Name: id.Account(fmt.Sprintf("account%05d", n)), Rate: 3000, Burst: 12000, Weight: 1, Class: config.Interactive})
	}
	return c
}

func (s fleetSize) newFleet() *fleet.Fleet {
	return fleet.New(fleet.Settings{
		Seed: 1, Config: s.config(), InstancesPerZone: s.instancesPerZone, EnginesPerZone: s.enginesPerZone, ServicesPerZone: 1,
		LeaseTerm: 9 * time.Second, DrainDelay: time.Second, GracePeriod: 10 * time.Second, TokenTime: 10 * time.Millisecond,
	})
}

const (
	settleTime  = 6 * time.Second
	measureTime = 4 * time.Second
)

// BenchmarkIdle measures an idle instance: its CPU time (including that of the
// simulated dependencies), its messages and their size in CBOR, each per second
// and instance, and its memory. The sizes vary one dimension at a time, so that the results show
// how the cost grows with instances, engines, artifacts, accounts and zones.
func BenchmarkIdle(b *testing.B) {
	for _, s := range []fleetSize{
		{zones: 3, instancesPerZone: 3, enginesPerZone: 3, artifacts: 0},
		{zones: 1, instancesPerZone: 3, enginesPerZone: 3, artifacts: 0},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 3, artifacts: 0},
		{zones: 1, instancesPerZone: 27, enginesPerZone: 3, artifacts: 0},
		{zones: 1, instancesPerZone: 81, enginesPerZone: 3, artifacts: 0},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 27, artifacts: 0},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 81, artifacts: 0},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 3, artifacts: 3000},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 3, artifacts: 12000},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 3, accounts: 1000},
		{zones: 1, instancesPerZone: 9, enginesPerZone: 3, accounts: 4000},
		{zones: 3, instancesPerZone: 9, enginesPerZone: 3},
		{zones: 9, instancesPerZone: 9, enginesPerZone: 3},
	} {
		b.Run(s.String(), func(b *testing.B) { benchmarkIdle(b, s) })
	}
}

func benchmarkIdle(b *testing.B, s fleetSize) {
	before := heapAlloc()
	f := s.newFleet()
	instances := float64(len(f.Nodes))
	f.Run(settleTime)
	memory := float64(heapAlloc()-before) / instances
	messages, bytes := 0, 0
	f.Network.OnSend = func(_ *fleet.Node, e event.SendPeer) {
		body, err := cbor.Marshal(e.Message)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += len(body)
	}
	f.Run(measureTime)
	f.Network.OnSend = nil
	reads, writes := f.Table.Reads, f.Table.Writes
	f.Run(measureTime)
	reads, writes = f.Table.Reads-reads, f.Table.Writes-writes
	b.ResetTimer()
	start := time.Now()
	for range b.N {
		f.Run(measureTime)
	}
	elapsed := time.Since(start)
	seconds := measureTime.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(b.N)/seconds/instances, "ns/instance/s")
	b.ReportMetric(float64(messages)/seconds/instances, "msgs/instance/s")
	b.ReportMetric(float64(bytes)/seconds/instances, "B/instance/s")
	b.ReportMetric(memory, "heapB/instance")
	b.ReportMetric(float64(reads)/seconds, "table-reads/s")
	b.ReportMetric(float64(writes)/seconds, "table-writes/s")
	runtime.KeepAlive(f)
}

// heapAlloc returns the allocated heap memory after a garbage collection.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
