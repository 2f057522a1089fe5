package configfile

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
)

const valid = `kind: fleet
zones: [a, b]
slots_per_zone: 1
loads_per_second: 2.5
loads_at_once: 4
adapters_in_transit: 30
---
kind: group
name: engines
serves: models
owner: ops
checks_fencing: true
memory: 1.5GiB
concurrency: 4
max_order_time: 1m30s
---
kind: model
name: m
group: engines
size: 12MiB
load_time: 20s
max_replicas: 1
max_tokens: 100
---
kind: account
name: x
rate: 10
burst: 100
weight: 1
class: batch
isolation: {serve_for: 15m}
---
kind: approval
account: x
owner: ops
models: [m]
`

func TestParse(t *testing.T) {
	c, err := Parse([]File{{Name: "f.yaml", Data: []byte(valid)}})
	if err != nil {
		t.Fatal(err)
	}
	g, a := c.Groups["engines"], c.Accounts["x"]
	if g.MemoryBytes != 3<<29 || g.MaxOrderTime.Seconds() != 90 || !g.ChecksFencing {
		t.Errorf("group %+v", g)
	}
	if a.ServeFor.Minutes() != 15 || a.Class != config.Batch || !c.Approved("x", "m:any") {
		t.Errorf("account %+v", a)
	}
}

// Each case makes one change to a valid file and checks the line and part of the text
// of the problem. Line 0 means that the file is still valid.
func TestInvalidFiles(t *testing.T) {
	cases := []struct {
		old, new string
		line     int
		want     string
	}{
		{"slots_per_zone", "slot_per_zone", 3, `unknown field "slot_per_zone"`},
		{"slots_per_zone: 1", "slots_per_zone: 1\nslots_per_zone: 2", 4, `duplicate field "slots_per_zone", first on line 3`},
		{"slots_per_zone: 1", "slots_per_zone: one", 3, "must be a whole number"},
		{"slots_per_zone: 1", "slots_per_zone: 99999999999999", 3, "below 2^31"},
		{"slots_per_zone: 1", "slots_per_zone: 0", 3, "must be 1 to 64"},
		{"loads_per_second: 2.5", "loads_per_second: .inf", 4, "finite decimal number"},
		{"zones: [a, b]", "zones: a", 2, "must be a list"},
		{"zones: [a, b]", "zones: [a, 1]", 2, "must be text"},
		{"zones: [a, b]", "zones: [a, a]", 2, "stands twice"},
		{"kind: fleet", "kind: fleets", 1, `unknown kind "fleets"`},
		{"owner: ops\nchecks", "owner: &o ops\nchecks", 0, ""},
		{"name: m\n", "name: *o\n", 18, "unknown anchor"},
		{"memory: 1.5GiB", "memory: 1.5GB", 13, `a size such as "12GiB"`},
		{"memory: 1.5GiB", "memory: 1MiB", 20, "it needs 12582912 bytes"},
		{"max_order_time: 1m30s", "max_order_time: 90", 15, "a duration such as"},
		{"checks_fencing: true", "checks_fencing: maybe", 12, "must be true or false"},
		{"checks_fencing: true\n", "", 8, `field "checks_fencing" is missing`},
		{"group: engines", "group: engine", 19, `group "engine" does not exist`},
		{"rate: 10", "rate: 0", 27, "rate must be above 0"},
		{"burst: 100", "burst: 99", 36, "no such call could ever run"},
		{"isolation: {serve_for: 15m}", "isolation: {serve: 15m}", 31, `unknown field "serve"`},
		{"serve_for: 15m", "serve_for: 0s", 31, "omit isolation for no limit"},
		{"models: [m]", "models: [n]", 36, `model "n" does not exist`},
		{"models: [m]", "models: []", 33, "must list models or services"},
		{"models: [m]", "models: [m, m]", 33, "declared twice, first at f.yaml:33"},
		{"owner: ops\nmodels", "owner: me\nmodels", 35, `owned by "ops", not by "me"`},
		{"kind: account", "- kind: account", 24, "did not find expected"},
		{"kind: account", "kind: [account]", 25, "must be text"},
	}
	for _, c := range cases {
		text := strings.Replace(valid, c.old, c.new, 1)
		_, err := Parse([]File{{Name: "f.yaml", Data: []byte(text)}})
		if c.line == 0 {
			if err != nil {
				t.Errorf("%q: got error %v, want none", c.new, err)
			}
			continue
		}
		if location := fmt.Sprintf("f.yaml:%d: ", c.line); err == nil || !strings.Contains(err.Error(), location) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s…%s", c.new, err, location, c.want)
		}
	}
}

// An operator may write a key where its digest belongs. Error messages go to
// terminals and CI logs, so they must not contain the key.
func TestErrorsOmitKeys(t *testing.T) {
	const secret = "odk_secret"
	doc := "---\nkind: key\naccount: x\nlabel: l\ndigest: " + secret + "\n"
	for _, text := range []string{valid + doc, valid + doc + doc, valid + strings.Replace(doc, "digest:", "label:", 1)} {
		_, err := Parse([]File{{Name: "f.yaml", Data: []byte(text)}})
		if err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("got %v", err)
		}
	}
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"authority", "fjordlast"} {
		if _, err := Load(filepath.Join("..", "..", "..", "examples", name)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestLoadMissingFiles(t *testing.T) {
	if _, err := Load(t.TempDir()); !errors.Is(err, ErrNoFiles) {
		t.Errorf("got %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "absent")); !errors.Is(err, ErrRead) {
		t.Errorf("got %v", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		valid, "", "---\n---\n", "kind", "kind: {a: b}", "? [a]\n: b", "&a [*a]", "<<: {kind: fleet}",
		"kind: group\nname: !!binary x", "\x00", "kind: !!float fleet", "a: &a {b: *a}", "{kind: key, digest: 1e400}",
		"kind: model\nsize: -1GiB", "kind: model\nsize: 1e300TiB", strings.Repeat("[", 200), "\t", "%YAML 9\n---\na",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse([]File{{Name: "f.yaml", Data: data}})
		var invalid *InvalidError
		if (err == nil) == (c == nil) || (err != nil && !errors.As(err, &invalid)) {
			t.Errorf("config %v, error %v", c, err)
		}
	})
}
