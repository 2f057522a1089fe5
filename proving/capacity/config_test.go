package capacity

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/version"
	"oleanderdale.org/oleander/version/configcodec"
	"oleanderdale.org/proving/fleet"
)

// Size of the configuration of the largest planned deployment. The numbers of
// accounts and of approvals are assumptions: the users gave none.
const (
	designModels        = 240
	designAdapters      = 57_000
	designAccounts      = 1000
	approvalsPerAccount = 20 // models that each account may call
)

// designConfig returns the configuration of the largest planned deployment.
func designConfig() *config.Config {
	c := fleetSize{zones: 13}.config()
	clear(c.Artifacts)
	clear(c.Accounts)
	clear(c.Keys)
	clear(c.Approvals)
	for n := range designModels {
		addArtifact(c, config.Artifact{Name: modelName(n), Group: "workers", Bytes: 8 << 30, LoadTime: 20e9, MaxReplicas: 3, MaxTokens: 4096})
	}
	for n := range designAdapters {
		addArtifact(c, config.Artifact{Name: adapterName(n), Group: "workers", Bytes: 1 << 28, LoadTime: 1e9, MaxReplicas: 2, MaxTokens: 4096})
	}
	for n := range designAccounts {
		a := accountName(n)
		c.Accounts[a] = config.Account{Name: a, Rate: 3000, Burst: 12_000, Weight: 1, Class: config.Interactive}
		c.Keys[fleet.KeyOf(a)] = config.Key{Digest: fleet.KeyOf(a), Account: a, Label: "of the field technicians"}
		for k := range approvalsPerAccount {
			c.Approvals[config.Approval{Account: a, Model: modelName((n + 7*k) % designModels)}] = struct{}{}
		}
	}
	c.Version = 1
	return c
}

func addArtifact(c *config.Config, a config.Artifact) { c.Artifacts[a.Name] = a }

func modelName(n int) id.Artifact { return id.Artifact(fmt.Sprintf("model-%03d", n)) }

func adapterName(n int) id.Artifact {
	return id.Adapter(modelName(n%designModels), fmt.Sprintf("adapter-%05d", n))
}

// configEdits returns the small changes to measure.
func configEdits() []struct {
	name string
	edit func(c *config.Config)
} {
	return []struct {
		name string
		edit func(c *config.Config)
	}{
		{"key", func(c *config.Config) {
			d := fleet.KeyOf("another")
			c.Keys[d] = config.Key{Digest: d, Account: accountName(7), Label: "of another team"}
		}},
		{"approval", func(c *config.Config) {
			c.Approvals[config.Approval{Account: accountName(7), Model: modelName(200)}] = struct{}{}
		}},
		{"account", func(c *config.Config) {
			a := c.Accounts[accountName(7)]
			a.Rate *= 2
			c.Accounts[a.Name] = a
		}},
		{"adapter", func(c *config.Config) {
			addArtifact(c, config.Artifact{Name: id.Adapter(modelName(3), "another"), Group: "workers", Bytes: 1 << 28, LoadTime: 1e9, MaxReplicas: 2, MaxTokens: 4096})
		}},
	}
}

// BenchmarkConfigChange measures a small change to a configuration of 57,000
// adapters: the time to decode it and apply it to its base, and its size in a
// message.
func BenchmarkConfigChange(b *testing.B) {
	base := designConfig()
	for _, e := range configEdits() {
		b.Run(e.name, func(b *testing.B) {
			change := encodeEdit(b, base, e.edit)
			decode := event.DecodeConfig{Version: base.Version + 1, Base: base, Change: change}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if r := configcodec.DecodeConfig(decode); r.Err != "" {
					b.Fatal(r.Err)
				}
			}
			b.ReportMetric(float64(len(change)), "changeB")
			b.ReportMetric(float64(encodedSize(b, message.VersionChange{Version: 2, Change: change})), "messageB")
		})
	}
}

func encodeEdit(b *testing.B, base *config.Config, edit func(*config.Config)) []byte {
	b.Helper()
	next := fleet.Clone(base)
	edit(next)
	change, err := configcodec.EncodeChange(version.Diff(base, next))
	if err != nil {
		b.Fatal(err)
	}
	return change
}

func encodedSize(b *testing.B, m message.Message) int {
	b.Helper()
	body, err := cbor.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(body)
}

// BenchmarkConfigApplied measures what an instance does with a change that it
// receives from another instance, except decoding it: it replaces the
// configuration and notifies its components.
func BenchmarkConfigApplied(b *testing.B) {
	for _, s := range []environment{currentEnvironment, {instancesPerZone: 3, adapters: 57_000}, {instancesPerZone: 3, accounts: 4000}, designEnvironment} {
		b.Run(s.String(), func(b *testing.B) {
			benchmarkEvents(b, s, func(_ *driver, n int) event.Event {
				v := id.ConfigVersion(n + 2)
				return event.PeerMessage{From: peerInstance, Message: message.VersionChange{Version: v, Change: []byte("change")}}
			})
		})
	}
}

// BenchmarkConfigSnapshot measures a snapshot of a configuration of 57,000
// adapters: its encoded size, the time to encode and to decode it, and the memory
// of the decoded configuration.
func BenchmarkConfigSnapshot(b *testing.B) {
	base := designConfig()
	snapshot, err := configcodec.EncodeSnapshot(base)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := configcodec.EncodeSnapshot(base); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(snapshot)), "snapshotB")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		before := heapAlloc()
		var c *config.Config
		for range b.N {
			if c, err = configcodec.DecodeSnapshot(snapshot); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		b.ReportMetric(float64(heapAlloc()-before), "heapB")
		runtime.KeepAlive(c)
	})
	runtime.KeepAlive(base)
}

// BenchmarkConfigValidate measures the validation of a configuration of 57,000
// adapters. It runs when a configuration file is parsed and when a configuration is
// published, not on instances.
func BenchmarkConfigValidate(b *testing.B) {
	base := designConfig()
	for range b.N {
		if p := version.Validate(base); len(p) > 0 {
			b.Fatal(p[0])
		}
	}
}
