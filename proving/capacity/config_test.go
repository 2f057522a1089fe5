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

// The sizes of the configuration to design for. Accounts and approvals are
// assumptions: the users gave no number.
const (
	letterModels    = 240
	letterAdapters  = 57_000
	letterAccounts  = 1000
	letterApprovals = 20 // models that an account may call
)

// letterConfig returns a configuration of the size to design for.
func letterConfig() *config.Config {
	c := size{zones: 13}.config()
	clear(c.Artifacts)
	clear(c.Accounts)
	clear(c.Keys)
	clear(c.Approvals)
	for n := range letterModels {
		put(c, config.Artifact{Name: letterModel(n), Group: "workers", Bytes: 8 << 30, LoadTime: 20e9, MaxReplicas: 3, MaxTokens: 4096})
	}
	for n := range letterAdapters {
		put(c, config.Artifact{Name: letterAdapter(n), Group: "workers", Bytes: 1 << 28, LoadTime: 1e9, MaxReplicas: 2, MaxTokens: 4096})
	}
	for n := range letterAccounts {
		a := account(n)
		c.Accounts[a] = config.Account{Name: a, Rate: 3000, Burst: 12_000, Weight: 1, Class: config.Interactive}
		c.Keys[fleet.KeyOf(a)] = config.Key{Digest: fleet.KeyOf(a), Account: a, Label: "of the field technicians"}
		for k := range letterApprovals {
			c.Approvals[config.Approval{Account: a, Model: letterModel((n + 7*k) % letterModels)}] = struct{}{}
		}
	}
	c.Version = 1
	return c
}

func put(c *config.Config, a config.Artifact) { c.Artifacts[a.Name] = a }

func letterModel(n int) id.Artifact { return id.Artifact(fmt.Sprintf("model-%03d", n)) }

func letterAdapter(n int) id.Artifact {
	return id.Adapter(letterModel(n%letterModels), fmt.Sprintf("adapter-%05d", n))
}

// edits are the small changes that are measured.
func edits() []struct {
	name string
	edit func(c *config.Config)
} {
	return []struct {
		name string
		edit func(c *config.Config)
	}{
		{"key", func(c *config.Config) {
			d := fleet.KeyOf("another")
			c.Keys[d] = config.Key{Digest: d, Account: account(7), Label: "of another team"}
		}},
		{"approval", func(c *config.Config) {
			c.Approvals[config.Approval{Account: account(7), Model: letterModel(200)}] = struct{}{}
		}},
		{"account", func(c *config.Config) {
			a := c.Accounts[account(7)]
			a.Rate *= 2
			c.Accounts[a.Name] = a
		}},
		{"adapter", func(c *config.Config) {
			put(c, config.Artifact{Name: id.Adapter(letterModel(3), "another"), Group: "workers", Bytes: 1 << 28, LoadTime: 1e9, MaxReplicas: 2, MaxTokens: 4096})
		}},
	}
}

// BenchmarkConfigChange measures a small change to a configuration of 57,000
// adapters: decoding and applying it, and its bytes in a message.
func BenchmarkConfigChange(b *testing.B) {
	base := letterConfig()
	for _, e := range edits() {
		b.Run(e.name, func(b *testing.B) {
			change := changeOf(b, base, e.edit)
			decode := event.DecodeConfig{Version: base.Version + 1, Base: base, Change: change}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if r := configcodec.DecodeConfig(decode); r.Err != "" {
					b.Fatal(r.Err)
				}
			}
			b.ReportMetric(float64(len(change)), "changeB")
			b.ReportMetric(float64(messageBytes(b, message.VersionChange{Version: 2, Change: change})), "messageB")
		})
	}
}

func changeOf(b *testing.B, base *config.Config, edit func(*config.Config)) []byte {
	b.Helper()
	next := fleet.Clone(base)
	edit(next)
	change, err := configcodec.EncodeChange(version.Diff(base, next))
	if err != nil {
		b.Fatal(err)
	}
	return change
}

func messageBytes(b *testing.B, m message.Message) int {
	b.Helper()
	body, err := cbor.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	return len(body)
}

// BenchmarkConfigInForce measures what an instance does with a change that
// another one sent, beside decoding it: it swaps the configuration and tells
// its parts.
func BenchmarkConfigInForce(b *testing.B) {
	for _, s := range []scene{today, {perZone: 3, adapters: 57_000}, {perZone: 3, accounts: 4000}, letter} {
		b.Run(s.String(), func(b *testing.B) {
			measure(b, s, func(_ *driver, n int) event.Event {
				v := id.ConfigVersion(n + 2)
				return event.PeerMessage{From: otherInstance, Message: message.VersionChange{Version: v, Change: []byte("change")}}
			})
		})
	}
}

// BenchmarkConfigSnapshot measures a whole configuration of 57,000 adapters:
// its bytes, the time to encode and to decode it, and its memory.
func BenchmarkConfigSnapshot(b *testing.B) {
	base := letterConfig()
	whole, err := configcodec.EncodeSnapshot(base)
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
		b.ReportMetric(float64(len(whole)), "snapshotB")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		before := heap()
		var c *config.Config
		for range b.N {
			if c, err = configcodec.DecodeSnapshot(whole); err != nil {
				b.Fatal(err)
			}
		}
		b.StopTimer()
		b.ReportMetric(float64(heap()-before), "heapB")
		runtime.KeepAlive(c)
	})
	runtime.KeepAlive(base)
}

// BenchmarkConfigValidate measures the check that an apply makes of the whole
// configuration; no instance does it.
func BenchmarkConfigValidate(b *testing.B) {
	base := letterConfig()
	for range b.N {
		if p := version.Validate(base); len(p) > 0 {
			b.Fatal(p[0])
		}
	}
}
