package fleet

import (
	"fmt"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

const gib = int64(1) << 30

// Names of the services in SmallConfig. Those that are not idempotent run each
// call at most once.
const (
	Orders = id.Service("orders") // not idempotent; the outcome of a call can be queried
	Desk   = id.Service("desk")   // not idempotent; outcomes cannot be queried
	Lookup = id.Service("lookup") // idempotent
)

// SmallConfig returns a configuration of three availability zones for tests of
// failures. The memory of an engine holds two models, and the accounts "a" and
// "b" are approved for everything.
func SmallConfig() *config.Config {
	c := &config.Config{
		Fleet:     config.Fleet{Zones: []id.Zone{"za", "zb", "zc"}, SlotsPerZone: 3, LoadsPerSecond: 2.5, LoadsAtOnce: 4, AdaptersInTransit: 30},
		Groups:    make(map[id.Group]config.Group),
		Artifacts: make(map[id.Artifact]config.Artifact),
		Services:  make(map[id.Service]config.Service),
		Accounts:  make(map[id.Account]config.Account),
		Keys:      make(map[id.Digest]config.Key),
		Approvals: make(map[config.Approval]struct{}),
	}
	c.Groups["workers"] = config.Group{
		Name: "workers", Kind: config.GroupModels, Owner: "models", ChecksFencing: true,
		MemoryBytes: 24 * gib, Concurrency: 8, MaxOrderTime: 5 * time.Second, Resumes: true,
	}
	c.Groups["desk"] = config.Group{Name: "desk", Kind: config.GroupServices, Owner: "desk", Concurrency: 32}
	for n := range 4 {
		name := id.Artifact(fmt.Sprintf("m%d", n))
		c.Artifacts[name] = config.Artifact{Name: name, Group: "workers", Bytes: 10 * gib, LoadTime: 2 * time.Second, MaxReplicas: 1, MaxTokens: 400}
	}
	c.Artifacts["m0:x"] = config.Artifact{Name: "m0:x", Group: "workers", Bytes: gib / 2, LoadTime: 300 * time.Millisecond, MaxReplicas: 1, MaxTokens: 400}
	c.Services[Orders] = config.Service{Name: Orders, Group: "desk", StatusPath: "/status/", Tokens: 5}
	c.Services[Desk] = config.Service{Name: Desk, Group: "desk", Tokens: 5}
	c.Services[Lookup] = config.Service{Name: Lookup, Group: "desk", Repeatable: true, Tokens: 5}
	for _, a := range []id.Account{"a", "b"} {
		AddAccount(c, config.Account{Name: a, Rate: 3000, Burst: 12000, Weight: 1, Class: config.Interactive})
	}
	return c
}

// AddAccount adds an account with a key and with approvals for all models and
// services.
func AddAccount(c *config.Config, a config.Account) {
	c.Accounts[a.Name] = a
	c.Keys[KeyOf(a.Name)] = config.Key{Digest: KeyOf(a.Name), Account: a.Name, Label: "of the fleet"}
	for name := range c.Artifacts {
		c.Approvals[config.Approval{Account: a.Name, Model: name.Model()}] = struct{}{}
	}
	for s := range c.Services {
		c.Approvals[config.Approval{Account: a.Name, Service: s}] = struct{}{}
	}
}

// Clone returns a copy of c that can be changed without changing c.
func Clone(c *config.Config) *config.Config {
	d := *c
	d.Groups, d.Artifacts, d.Services = copyMap(c.Groups), copyMap(c.Artifacts), copyMap(c.Services)
	d.Accounts, d.Keys, d.Approvals = copyMap(c.Accounts), copyMap(c.Keys), copyMap(c.Approvals)
	return &d
}

func copyMap[K comparable, V any](m map[K]V) map[K]V {
	n := make(map[K]V, len(m))
	for k, v := range m {
		n[k] = v
	}
	return n
}
