// Package measure plays workloads against the cores in virtual time and works
// out the users' four measures: tail cold-start time, idle accelerator hours,
// how the worst-served client account fares, and requests refused although they
// were inside their account's rate.
package measure

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// Workload is read from a file. Times are in seconds.
type Workload struct {
	Name            string        `yaml:"name"`
	ConfigPaths     []string      `yaml:"config"` // files or folders, from the current folder
	Hours           float64       `yaml:"hours"`
	InstancesByZone []int         `yaml:"instances"` // entry instances by zone
	EnginesPerZone  int           `yaml:"engines"`   // in each zone
	ServicesPerZone int           `yaml:"services"`  // in each zone
	TokenTime       float64       `yaml:"token_time"`
	Patterns        []CallPattern `yaml:"callers"`
	Disruptions     []Disruption  `yaml:"disruptions"`
}

// Pattern is how one client account calls.
type CallPattern struct {
	Account string `yaml:"account"`
	// Models is how many models and adapters it calls; which, the seed says.
	ModelCount int `yaml:"models"`
	// GapLeast and GapMost bound the mean time between two bursts of calls of
	// one model; the means are spread evenly over their logarithms.
	MinGap       float64 `yaml:"gap_least"`
	MaxGap       float64 `yaml:"gap_most"`
	MaxBurst     int     `yaml:"burst"` // calls of a burst, at that many entries
	PromptTokens int     `yaml:"prompt"`
	OutputTokens int     `yaml:"answer"`
	Timeout      float64 `yaml:"deadline"`
	// Service, if set, is called with this mean gap, each call an order.
	Service    string  `yaml:"service"`
	ServiceGap float64 `yaml:"service_gap"`
	// Overload multiplies the calls between From and Until.
	OverloadFactor float64 `yaml:"overload"`
	OverloadFrom   float64 `yaml:"from"`
	OverloadUntil  float64 `yaml:"until"`
	// Entry says where its calls enter: all, or one.
	EntryMode string `yaml:"entry"`
}

// Event is a disruption.
type Disruption struct {
	Start    float64 `yaml:"at"`
	Duration float64 `yaml:"for"`
	Kind     string  `yaml:"kind"` // replace-instances, cut-zone, slow-store, table-down
}

// kinds of events.
const (
	kindReplace = "replace-instances"
	kindCut     = "cut-zone"
	kindSlow    = "slow-store"
	kindTable   = "table-down"
)

// Load reads a workload file strictly.
func Load(path string) (*Workload, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "workload")
	}
	var w Workload
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(&w); err != nil {
		return nil, errors.Wrapf(err, "workload %s", path)
	}
	return &w, errors.Wrapf(w.validate(), "workload %s", path)
}

func (w *Workload) validate() error {
	if w.Hours <= 0 || w.EnginesPerZone < 1 || len(w.InstancesByZone) == 0 || w.TokenTime <= 0 {
		return errors.New("hours, engines, instances and token_time are needed")
	}
	for _, p := range w.Patterns {
		if p.MinGap <= 0 || p.MaxGap < p.MinGap || p.MaxBurst < 1 || p.OutputTokens < 1 || p.Timeout <= 0 {
			return errors.Errorf("account %s: gaps, burst, answer and deadline must be above 0", p.Account)
		}
		if p.EntryMode != "" && p.EntryMode != "all" && p.EntryMode != "one" {
			return errors.Errorf("account %s: entry is all or one", p.Account)
		}
	}
	for _, e := range w.Disruptions {
		if !slices.Contains([]string{kindReplace, kindCut, kindSlow, kindTable}, e.Kind) {
			return errors.Errorf("unknown disruption %q", e.Kind)
		}
	}
	return nil
}

// arrival is one call of the workload.
type arrival struct {
	at      time.Duration
	account id.Account
	target  id.Artifact
	service id.Service
	entry   int
	prompt  int
	answer  int
	within  time.Duration
	key     string
	body    string
}

// arrivals generates the calls of a workload. The same seed gives the same
// calls, whatever policy is then measured.
func (w *Workload) arrivals(c *config.Config, seed uint64) []arrival {
	var all []arrival
	for n, p := range w.Patterns {
		random := rand.New(rand.NewPCG(seed, uint64(n)+1))
		for _, target := range pick(random, approved(c, id.Account(p.Account)), p.ModelCount) {
			all = append(all, w.bursts(random, p, target)...)
		}
		if p.Service != "" {
			all = append(all, w.orders(random, p)...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for n := range all {
		all[n].body = fmt.Sprint("call ", n)
	}
	return all
}

func approved(c *config.Config, a id.Account) []id.Artifact {
	var list []id.Artifact
	for _, name := range slices.Sorted(maps.Keys(c.Artifacts)) {
		if c.Approved(a, name) {
			list = append(list, name)
		}
	}
	return list
}

func pick(random *rand.Rand, from []id.Artifact, n int) []id.Artifact {
	random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

func (w *Workload) length() time.Duration { return time.Duration(w.Hours * float64(time.Hour)) }

func (w *Workload) entries() int {
	n := 0
	for _, z := range w.InstancesByZone {
		n += z
	}
	return n
}

// bursts generates the calls of one model: bursts at random, each within a
// second at as many entries as it has calls.
func (w *Workload) bursts(random *rand.Rand, p CallPattern, target id.Artifact) []arrival {
	gap := p.MinGap * math.Pow(p.MaxGap/p.MinGap, random.Float64())
	home := random.IntN(w.entries())
	var all []arrival
	for at := random.ExpFloat64() * gap; at < w.length().Seconds(); {
		for range 1 + random.IntN(p.MaxBurst) {
			entry := random.IntN(w.entries())
			if p.EntryMode == "one" {
				entry = home
			}
			all = append(all, arrival{
				at:      time.Duration((at + random.Float64()) * float64(time.Second)),
				account: id.Account(p.Account), target: target, entry: entry,
				prompt: 1 + random.IntN(2*p.PromptTokens), answer: 1 + random.IntN(2*p.OutputTokens),
				within: time.Duration(p.Timeout * float64(time.Second)),
			})
		}
		at += random.ExpFloat64() * gap / p.speed(at)
	}
	return all
}

// speed is how much more often the account calls at the time at.
func (p CallPattern) speed(at float64) float64 {
	if p.OverloadFactor > 1 && at >= p.OverloadFrom && at < p.OverloadUntil {
		return p.OverloadFactor
	}
	return 1
}

func (w *Workload) orders(random *rand.Rand, p CallPattern) []arrival {
	var all []arrival
	for at := random.ExpFloat64() * p.ServiceGap; at < w.length().Seconds(); at += random.ExpFloat64() * p.ServiceGap {
		all = append(all, arrival{
			at: time.Duration(at * float64(time.Second)), account: id.Account(p.Account), service: id.Service(p.Service),
			entry: random.IntN(w.entries()), within: 10 * time.Second, key: fmt.Sprintf("%s-%d", p.Account, len(all)),
		})
	}
	return all
}
