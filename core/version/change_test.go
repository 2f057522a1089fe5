package version

import (
	"errors"
	"flag"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// TestMain sets a fixed seed for the property tests unless a seed is given on
// the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("20251")
	}
	os.Exit(m.Run())
}

func drawConfig(t *rapid.T, label string) *config.Config {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, label)
	n := rapid.IntRange(1, 2)
	c := &config.Config{
		Groups:    map[id.Group]config.Group{},
		Artifacts: map[id.Artifact]config.Artifact{},
		Keys:      map[id.Digest]config.Key{},
		Approvals: map[config.Approval]struct{}{},
		Fleet:     config.Fleet{SlotsPerZone: n.Draw(t, "slots")},
	}
	for _, name := range names {
		c.Groups[id.Group(name)] = config.Group{Name: id.Group(name), Concurrency: n.Draw(t, "concurrency")}
		c.Artifacts[id.Artifact(name)] = config.Artifact{Name: id.Artifact(name), Bytes: int64(n.Draw(t, "bytes"))}
		c.Keys[id.Digest(name)] = config.Key{Digest: id.Digest(name)}
		c.Approvals[config.Approval{Account: id.Account(name), Model: "m"}] = struct{}{}
	}
	return c
}

func TestApplyDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, wanted := drawConfig(t, "old"), drawConfig(t, "new")
		old.Version = 6
		got, err := Apply(old, Diff(old, wanted))
		if err != nil {
			t.Fatal(err)
		}
		wanted.Version = 7
		if !reflect.DeepEqual(got, wanted) {
			t.Fatalf("got %+v, want %+v", got, wanted)
		}
		if !Diff(got, wanted).Empty() {
			t.Fatal("a second diff is not empty")
		}
	})
}

// A change applied to a version other than its base would yield a configuration
// that nobody accepted; Apply must return an error instead.
func TestApplyToWrongBase(t *testing.T) {
	var c Change
	c.Keys.Remove = []id.Digest{"d"}
	_, err := Apply(nil, c)
	var missing *MissingItemError
	if !errors.As(err, &missing) || missing.Kind != KindKey {
		t.Errorf("got %v, want a MissingItemError", err)
	}
}

func validConfig() *config.Config {
	digest := id.Digest(strings.Repeat("0a", 32))
	return &config.Config{
		Fleet: config.Fleet{Zones: []id.Zone{"a"}, SlotsPerZone: 1, LoadsPerSecond: 1, LoadsAtOnce: 1, AdaptersInTransit: 1},
		Groups: map[id.Group]config.Group{
			"g": {Name: "g", Kind: config.GroupModels, Owner: "o", Concurrency: 1, MemoryBytes: 100, MaxOrderTime: time.Second},
			"s": {Name: "s", Kind: config.GroupServices, Owner: "o", Concurrency: 1},
		},
		Artifacts: map[id.Artifact]config.Artifact{
			"m":   {Name: "m", Group: "g", Bytes: 90, LoadTime: 1, MaxReplicas: 1, MaxTokens: 10},
			"m:a": {Name: "m:a", Group: "g", Bytes: 10, LoadTime: 1, MaxReplicas: 1, MaxTokens: 10},
		},
		Services:  map[id.Service]config.Service{"d": {Name: "d", Group: "s", Tokens: 5}},
		Accounts:  map[id.Account]config.Account{"x": {Name: "x", Rate: 1, Burst: 10, Weight: 1, Class: config.Urgent}},
		Keys:      map[id.Digest]config.Key{digest: {Digest: digest, Account: "x", Label: "l"}},
		Approvals: map[config.Approval]struct{}{{Account: "x", Model: "m"}: {}, {Account: "x", Service: "d"}: {}},
	}
}

func TestValidate(t *testing.T) {
	account := func(c *config.Config, change func(*config.Account)) {
		a := c.Accounts["x"]
		change(&a)
		c.Accounts["x"] = a
	}
	artifact := func(c *config.Config, name id.Artifact, change func(*config.Artifact)) {
		a := c.Artifacts[name]
		change(&a)
		c.Artifacts[name] = a
	}
	cases := []struct {
		want   string // part of a problem's text, "" for no problem
		change func(*config.Config)
	}{
		{"", func(*config.Config) {}},
		{"at least one availability zone", func(c *config.Config) { c.Fleet.Zones = nil }},
		{"stands twice", func(c *config.Config) { c.Fleet.Zones = []id.Zone{"a", "a"} }},
		{"slots_per_zone must be", func(c *config.Config) { c.Fleet.SlotsPerZone = 0 }},
		{"loads_per_second must be", func(c *config.Config) { c.Fleet.LoadsPerSecond = math.NaN() }},
		{"rate must be above 0", func(c *config.Config) { account(c, func(a *config.Account) { a.Rate = 0 }) }},
		{"rate must be above 0", func(c *config.Config) { account(c, func(a *config.Account) { a.Rate = math.Inf(1) }) }},
		{"weight must be above 0", func(c *config.Config) { account(c, func(a *config.Account) { a.Weight = -1 }) }},
		{"class must be", func(c *config.Config) { account(c, func(a *config.Account) { a.Class = "soon" }) }},
		{"no such call could ever run", func(c *config.Config) { account(c, func(a *config.Account) { a.Burst = 9 }) }},
		{"no such call could ever run", func(c *config.Config) {
			artifact(c, "m:a", func(a *config.Artifact) { a.MaxTokens = 11 })
		}},
		{"needs 101 bytes", func(c *config.Config) { artifact(c, "m", func(a *config.Artifact) { a.Bytes = 101 }) }},
		{"needs 101 bytes", func(c *config.Config) { artifact(c, "m:a", func(a *config.Artifact) { a.Bytes = 11 }) }},
		{`model "m" does not exist`, func(c *config.Config) { delete(c.Artifacts, "m") }},
		{`group "g" does not exist`, func(c *config.Config) { delete(c.Groups, "g") }},
		{"does not serve models", func(c *config.Config) { artifact(c, "m", func(a *config.Artifact) { a.Group = "s" }) }},
		{`service "d" does not exist`, func(c *config.Config) { delete(c.Services, "d") }},
		{`account "x" does not exist`, func(c *config.Config) { delete(c.Accounts, "x") }},
		{"64 lower-case hexadecimal", func(c *config.Config) { c.Keys["K"] = config.Key{Digest: "K", Account: "x", Label: "l"} }},
		{"approve its model", func(c *config.Config) { c.Approvals[config.Approval{Account: "x", Model: "m:a"}] = struct{}{} }},
	}
	for _, tc := range cases {
		c := validConfig()
		tc.change(c)
		var all []string
		for _, p := range Validate(c) {
			all = append(all, p.String())
		}
		got := strings.Join(all, "\n")
		if (tc.want == "") != (got == "") || !strings.Contains(got, tc.want) {
			t.Errorf("got %q, want %q", got, tc.want)
		}
	}
}
