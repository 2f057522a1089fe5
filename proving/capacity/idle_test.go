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

// size is one size of a deployment.
type size struct {
	zones, perZone, engines, artifacts, accounts int
}

func (s size) String() string {
	return fmt.Sprintf("zones=%d/instances=%d/engines=%d/artifacts=%d/accounts=%d",
		s.zones, s.zones*s.perZone, s.zones*s.engines, s.artifacts, s.accounts)
}

func (s size) config() *config.Config {
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

func (s size) start() *fleet.Fleet {
	return fleet.New(fleet.Settings{
		Seed: 1, Config: s.config(), InstancesPerZone: s.perZone, EnginesPerZone: s.engines, ServicesPerZone: 1,
		LeaseTerm: 9 * time.Second, DrainDelay: time.Second, GracePeriod: 10 * time.Second, TokenTime: 10 * time.Millisecond,
	})
}

const (
	settleFor  = 6 * time.Second
	measureFor = 4 * time.Second
)

// BenchmarkIdle measures what an instance costs that has nothing to do: its
// processor time (that of the fakes included), its messages and their bytes in
// CBOR, and its memory, each for a second and an instance. The slopes over
// instances, engines, artifacts and accounts come from the rows.
func BenchmarkIdle(b *testing.B) {
	for _, s := range []size{
		{zones: 3, perZone: 3, engines: 3, artifacts: 0},
		{zones: 1, perZone: 3, engines: 3, artifacts: 0},
		{zones: 1, perZone: 9, engines: 3, artifacts: 0},
		{zones: 1, perZone: 27, engines: 3, artifacts: 0},
		{zones: 1, perZone: 81, engines: 3, artifacts: 0},
		{zones: 1, perZone: 9, engines: 27, artifacts: 0},
		{zones: 1, perZone: 9, engines: 81, artifacts: 0},
		{zones: 1, perZone: 9, engines: 3, artifacts: 3000},
		{zones: 1, perZone: 9, engines: 3, artifacts: 12000},
		{zones: 1, perZone: 9, engines: 3, accounts: 1000},
		{zones: 1, perZone: 9, engines: 3, accounts: 4000},
		{zones: 3, perZone: 9, engines: 3},
		{zones: 9, perZone: 9, engines: 3},
	} {
		b.Run(s.String(), func(b *testing.B) { idle(b, s) })
	}
}

func idle(b *testing.B, s size) {
	before := heap()
	f := s.start()
	instances := float64(len(f.Nodes))
	f.Run(settleFor)
	memory := float64(heap()-before) / instances
	messages, bytes := 0, 0
	f.Network.OnSend = func(_ *fleet.Node, e event.SendPeer) {
		body, err := cbor.Marshal(e.Message)
		if err != nil {
			b.Fatal(err)
		}
		messages++
		bytes += len(body)
	}
	f.Run(measureFor)
	f.Network.OnSend = nil
	reads, writes := f.Table.Reads, f.Table.Writes
	f.Run(measureFor)
	reads, writes = f.Table.Reads-reads, f.Table.Writes-writes
	b.ResetTimer()
	start := time.Now()
	for range b.N {
		f.Run(measureFor)
	}
	took := time.Since(start)
	seconds := measureFor.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(took.Nanoseconds())/float64(b.N)/seconds/instances, "ns/instance/s")
	b.ReportMetric(float64(messages)/seconds/instances, "msgs/instance/s")
	b.ReportMetric(float64(bytes)/seconds/instances, "B/instance/s")
	b.ReportMetric(memory, "heapB/instance")
	b.ReportMetric(float64(reads)/seconds, "table-reads/s")
	b.ReportMetric(float64(writes)/seconds, "table-writes/s")
	runtime.KeepAlive(f)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
