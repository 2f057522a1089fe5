// Package measure simulates workloads in virtual time and computes four
// measurements: the tail of the cold-start time, idle accelerator hours, the share
// of its throughput alone that the worst-served client account gets, and the
// requests that were refused although they were within their account's rate.
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

// Workload describes the calls and disruptions of a run, as read from a YAML file.
// Times are in seconds unless the name says otherwise.
type Workload struct {
	Name            string        `yaml:"name"`
	ConfigPaths     []string      `yaml:"config"` // configuration files or folders, relative to the working directory
	Hours           float64       `yaml:"hours"`
	InstancesByZone []int         `yaml:"instances"` // number in each zone
	EnginesPerZone  int           `yaml:"engines"`   // in each zone
	ServicesPerZone int           `yaml:"services"`  // in each zone
	TokenTime       float64       `yaml:"token_time"`
	Patterns        []CallPattern `yaml:"callers"`
	Disruptions     []Disruption  `yaml:"disruptions"`
}

// CallPattern describes the calls of one client account.
type CallPattern struct {
	Account string `yaml:"account"`
	// ModelCount is how many models and adapters it calls; the seed selects which.
	ModelCount int `yaml:"models"`
	// MinGap and MaxGap limit the mean time between two bursts of calls of one
	// model. The mean of each model is drawn from a log-uniform distribution.
	MinGap       float64 `yaml:"gap_least"`
	MaxGap       float64 `yaml:"gap_most"`
	MaxBurst     int     `yaml:"burst"`  // most calls of a burst
	PromptTokens int     `yaml:"prompt"` // drawn uniformly from 1 to twice this
	OutputTokens int     `yaml:"answer"` // token limit, drawn likewise
	Timeout      float64 `yaml:"deadline"`
	// Service, if set, is the plain service that the account calls; ServiceGap is the
	// mean time between two calls.
	Service    string  `yaml:"service"`
	ServiceGap float64 `yaml:"service_gap"`
	// OverloadFactor, if above 1, multiplies the rate of bursts from OverloadFrom to
	// OverloadUntil.
	OverloadFactor float64 `yaml:"overload"`
	OverloadFrom   float64 `yaml:"from"`
	OverloadUntil  float64 `yaml:"until"`
	// EntryMode is "all" if calls go to random instances (also if empty), or "one" if
	// all calls of a model go to one instance.
	EntryMode string `yaml:"entry"`
}

// Disruption is a fault or a rolling restart during the run.
type Disruption struct {
	Start    float64 `yaml:"at"`
	Duration float64 `yaml:"for"`
	Kind     string  `yaml:"kind"` // replace-instances, cut-zone, slow-store, table-down
}

// Kinds of disruptions.
const (
	kindReplaceInstances = "replace-instances"
	kindIsolateZone      = "cut-zone"
	kindSlowStore        = "slow-store"
	kindTableDown        = "table-down"
)

// Load reads and validates a workload file. Unknown fields are errors.
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
		return errors.New("hours, engines, instances and token_time are required")
	}
	for _, p := range w.Patterns {
		if p.MinGap <= 0 || p.MaxGap < p.MinGap || p.MaxBurst < 1 || p.OutputTokens < 1 || p.Timeout <= 0 {
			return errors.Errorf("account %s: gap_least, burst, answer and deadline must be above 0, and gap_most at least gap_least", p.Account)
		}
		if p.EntryMode != "" && p.EntryMode != "all" && p.EntryMode != "one" {
			return errors.Errorf("account %s: entry must be all or one", p.Account)
		}
	}
	for _, e := range w.Disruptions {
		if !slices.Contains([]string{kindReplaceInstances, kindIsolateZone, kindSlowStore, kindTableDown}, e.Kind) {
			return errors.Errorf("unknown disruption %q", e.Kind)
		}
	}
	return nil
}

// plannedCall is one call of the workload.
type plannedCall struct {
	at             time.Duration
	account        id.Account
	artifact       id.Artifact
	service        id.Service
	instance       int
	promptTokens   int
	outputTokens   int
	timeout        time.Duration
	idempotencyKey string
	body           string
}

// plannedCalls generates the calls of a workload, sorted by time. They depend only
// on the workload, the configuration and the seed, so that all policies are
// measured with the same calls.
func (w *Workload) plannedCalls(c *config.Config, seed uint64) []plannedCall {
	var all []plannedCall
	for n, p := range w.Patterns {
		random := rand.New(rand.NewPCG(seed, uint64(n)+1))
		for _, artifact := range sampleArtifacts(random, approvedArtifacts(c, id.Account(p.Account)), p.ModelCount) {
			all = append(all, w.modelCalls(random, p, artifact)...)
		}
		if p.Service != "" {
			all = append(all, w.serviceCalls(random, p)...)
		}
	}
	slices.SortStableFunc(all, func(a, b plannedCall) int { return cmp.Compare(a.at, b.at) })
	for n := range all {
		all[n].body = fmt.Sprint("call ", n)
	}
	return all
}

// approvedArtifacts lists the models and adapters that the account may call.
func approvedArtifacts(c *config.Config, a id.Account) []id.Artifact {
	var list []id.Artifact
	for _, name := range slices.Sorted(maps.Keys(c.Artifacts)) {
		if c.Approved(a, name) {
			list = append(list, name)
		}
	}
	return list
}

// sampleArtifacts returns n random artifacts, or all if there are fewer. It shuffles
// from.
func sampleArtifacts(random *rand.Rand, from []id.Artifact, n int) []id.Artifact {
	random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

func (w *Workload) duration() time.Duration { return time.Duration(w.Hours * float64(time.Hour)) }

// instanceCount returns the number of instances in all zones.
func (w *Workload) instanceCount() int {
	n := 0
	for _, z := range w.InstancesByZone {
		n += z
	}
	return n
}

// modelCalls generates the calls of one model: bursts of up to MaxBurst calls at
// random times. The calls of a burst start within a second.
func (w *Workload) modelCalls(random *rand.Rand, p CallPattern, artifact id.Artifact) []plannedCall {
	gap := p.MinGap * math.Pow(p.MaxGap/p.MinGap, random.Float64())
	fixedInstance := random.IntN(w.instanceCount())
	var all []plannedCall
	for at := random.ExpFloat64() * gap; at < w.duration().Seconds(); {
		for range 1 + random.IntN(p.MaxBurst) {
			instance := random.IntN(w.instanceCount())
			if p.EntryMode == "one" {
				instance = fixedInstance
			}
			all = append(all, plannedCall{
				at:      time.Duration((at + random.Float64()) * float64(time.Second)),
				account: id.Account(p.Account), artifact: artifact, instance: instance,
				promptTokens: 1 + random.IntN(2*p.PromptTokens), outputTokens: 1 + random.IntN(2*p.OutputTokens),
				timeout: time.Duration(p.Timeout * float64(time.Second)),
			})
		}
		at += random.ExpFloat64() * gap / p.rateFactor(at)
	}
	return all
}

// rateFactor returns the factor by which the rate of bursts is raised at the time
// at, in seconds.
func (p CallPattern) rateFactor(at float64) float64 {
	if p.OverloadFactor > 1 && at >= p.OverloadFrom && at < p.OverloadUntil {
		return p.OverloadFactor
	}
	return 1
}

// serviceCalls generates the calls of a plain service, each with its own
// idempotency key.
func (w *Workload) serviceCalls(random *rand.Rand, p CallPattern) []plannedCall {
	var all []plannedCall
	for at := random.ExpFloat64() * p.ServiceGap; at < w.duration().Seconds(); at += random.ExpFloat64() * p.ServiceGap {
		all = append(all, plannedCall{
			at: time.Duration(at * float64(time.Second)), account: id.Account(p.Account), service: id.Service(p.Service),
			instance: random.IntN(w.instanceCount()), timeout: 10 * time.Second, idempotencyKey: fmt.Sprintf("%s-%d", p.Account, len(all)),
		})
	}
	return all
}
