package version

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// Problem is one reason why a configuration can't be accepted.
type Problem struct {
	Kind  Kind
	Name  string // of the item; see ApprovalName for approvals
	Field string // "" if the item as a whole is meant
	Text  string // a sentence without its full stop
}

// String formats the problem for operators. It leaves out the name of a key: if
// somebody wrote a key where its digest belongs, the key must not get into a
// terminal's scrollback or a log.
func (p Problem) String() string {
	if p.Kind == KindKey || p.Name == "" {
		return fmt.Sprintf("%s: %s", p.Kind, p.Text)
	}
	return fmt.Sprintf("%s %s: %s", p.Kind, p.Name, p.Text)
}

// ApprovalName is the name of an approval in a Problem.
func ApprovalName(a config.Approval) string {
	if a.Model != "" {
		return string(a.Account) + " for model " + string(a.Model)
	}
	return string(a.Account) + " for service " + string(a.Service)
}

// The bounds of what is accepted.
const (
	// MaxSlotsPerZone bounds the parts of a rate; every instance keeps one
	// bucket per slot and account.
	MaxSlotsPerZone = 64
	// MaxBytes bounds sizes, so that sums of them can't overflow.
	MaxBytes = int64(1) << 50
	// MaxDuration bounds durations.
	MaxDuration = 7 * 24 * time.Hour
	// maxNumber bounds rates, bursts, weights and counts.
	maxNumber = 1e12
)

// names may stand in paths, row IDs and metric labels, so they hold neither
// separators nor spaces.
var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate returns all problems of c, sorted by kind and name; none means that
// c can be applied.
func Validate(c *config.Config) []Problem {
	v := &validator{c: c, longest: longestAnswers(c)}
	v.fleet()
	each(c.Groups, v.group)
	each(c.Artifacts, v.artifact)
	each(c.Services, v.service)
	each(c.Accounts, v.account)
	each(c.Keys, v.key)
	for _, a := range slices.SortedFunc(maps.Keys(c.Approvals), compareApprovals) {
		v.approval(a)
	}
	return v.problems
}

func each[K cmp.Ordered, V any](m map[K]V, f func(K, V)) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		f(k, m[k])
	}
}

type validator struct {
	c        *config.Config
	longest  map[id.Artifact]int // by model
	problems []Problem
	kind     Kind
	name     string
}

// longestAnswers returns the largest MaxTokens of each model and its adapters,
// which one approval covers together.
func longestAnswers(c *config.Config) map[id.Artifact]int {
	longest := make(map[id.Artifact]int)
	for name, a := range c.Artifacts {
		longest[name.Model()] = max(longest[name.Model()], a.MaxTokens)
	}
	return longest
}

func (v *validator) item(k Kind, name string) { v.kind, v.name = k, name }

// require adds a problem unless ok.
func (v *validator) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	v.problems = append(v.problems, Problem{
		Kind: v.kind, Name: v.name, Field: field, Text: fmt.Sprintf(format, args...),
	})
}

func (v *validator) validName(name string) {
	v.require(namePattern.MatchString(name), "name",
		"name %q must be 1 to 100 letters, digits, dots, dashes or underscores", name)
}

// positive requires a finite number above 0.
func (v *validator) positive(field string, x float64) {
	v.require(x > 0 && x <= maxNumber && !math.IsNaN(x), field, "%s must be above 0 and at most %g, not %g", field, maxNumber, x)
}

func (v *validator) count(field string, n int) { v.positive(field, float64(n)) }

func (v *validator) duration(field string, d time.Duration) {
	v.require(d > 0 && d <= MaxDuration, field, "%s must be above 0 and at most %s, not %s", field, MaxDuration, d)
}

func (v *validator) bytes(field string, n int64) {
	v.require(n > 0 && n <= MaxBytes, field, "%s must be above 0 and at most 1 PiB", field)
}

func (v *validator) fleet() {
	f := v.c.Fleet
	v.item(KindFleet, "")
	v.require(len(f.Zones) > 0, "zones", "a fleet needs at least one availability zone")
	seen := make(map[id.Zone]bool)
	for _, z := range f.Zones {
		v.require(namePattern.MatchString(string(z)), "zones", "%q can't name an availability zone", z)
		v.require(!seen[z], "zones", "availability zone %q stands twice", z)
		seen[z] = true
	}
	v.require(f.SlotsPerZone >= 1 && f.SlotsPerZone <= MaxSlotsPerZone, "slots_per_zone",
		"slots_per_zone must be 1 to %d, not %d", MaxSlotsPerZone, f.SlotsPerZone)
	v.positive("loads_per_second", f.LoadsPerSecond)
	v.count("loads_at_once", f.LoadsAtOnce)
	v.count("adapters_in_transit", f.AdaptersInTransit)
}

func (v *validator) group(name id.Group, g config.Group) {
	v.item(KindGroup, string(name))
	v.validName(string(name))
	v.require(g.Kind == config.GroupModels || g.Kind == config.GroupServices, "serves",
		"serves must be %s or %s, not %q", config.GroupModels, config.GroupServices, g.Kind)
	v.require(g.Owner != "", "owner", "a group needs an owner, who approves client accounts")
	v.count("concurrency", g.Concurrency)
	if g.Kind == config.GroupModels {
		v.bytes("memory", g.MemoryBytes)
		v.duration("max_order_time", g.MaxOrderTime)
	}
}

func (v *validator) artifact(name id.Artifact, a config.Artifact) {
	v.item(kindOf(name), string(name))
	for part := range strings.SplitSeq(string(name), id.AdapterSeparator) {
		v.validName(part)
	}
	v.require(strings.Count(string(name), id.AdapterSeparator) <= 1, "name", "an adapter's name has one %q", id.AdapterSeparator)
	v.bytes("size", a.Bytes)
	v.duration("load_time", a.LoadTime)
	v.count("max_replicas", a.MaxReplicas)
	v.count("max_tokens", a.MaxTokens)
	if !name.IsAdapter() {
		v.artifactFits(a, a.Bytes)
		return
	}
	model, ok := v.c.Artifacts[name.Model()]
	v.require(ok, "model", "model %q does not exist", name.Model())
	if ok {
		v.require(model.Group == a.Group, "model", "an adapter is in the group of its model, %q", model.Group)
		v.artifactFits(a, a.Bytes+min(model.Bytes, MaxBytes)) // it is loaded beside its model
	}
}

func kindOf(a id.Artifact) Kind {
	if a.IsAdapter() {
		return KindAdapter
	}
	return KindModel
}

func (v *validator) artifactFits(a config.Artifact, need int64) {
	g, ok := v.c.Groups[a.Group]
	v.require(ok, "group", "group %q does not exist", a.Group)
	if !ok {
		return
	}
	v.require(g.Kind == config.GroupModels, "group", "group %q does not serve models", a.Group)
	v.require(g.Kind != config.GroupModels || need <= g.MemoryBytes, "size",
		"it needs %d bytes of memory, and a server of group %q has %d", need, a.Group, g.MemoryBytes)
}

func (v *validator) service(name id.Service, s config.Service) {
	v.item(KindService, string(name))
	v.validName(string(name))
	g, ok := v.c.Groups[s.Group]
	v.require(ok, "group", "group %q does not exist", s.Group)
	v.require(!ok || g.Kind == config.GroupServices, "group", "group %q does not serve services", s.Group)
	v.count("tokens", s.Tokens)
	v.require(s.StatusPath == "" || strings.HasPrefix(s.StatusPath, "/"), "status_path", "status_path must begin with a slash")
	v.require(s.StatusPath == "" || !s.Repeatable, "status_path", "a repeatable service needs no status_path")
}

func (v *validator) account(name id.Account, a config.Account) {
	v.item(KindAccount, string(name))
	v.validName(string(name))
	v.positive("rate", a.Rate)
	v.positive("burst", a.Burst)
	v.positive("weight", a.Weight)
	switch a.Class {
	case config.Urgent, config.Interactive, config.Batch:
	default:
		v.require(false, "class", "class must be %s, %s or %s, not %q", config.Urgent, config.Interactive, config.Batch, a.Class)
	}
	v.require(a.ServeFor >= 0 && a.ServeFor <= MaxDuration, "serve_for", "serve_for must be 0 to %s", MaxDuration)
}

func (v *validator) key(d id.Digest, k config.Key) {
	v.item(KindKey, string(d))
	v.require(digestPattern.MatchString(string(d)), "digest", "digest must be 64 lower-case hexadecimal digits")
	v.require(k.Label != "", "label", "a key needs a label")
	_, ok := v.c.Accounts[k.Account]
	v.require(ok, "account", "account %q does not exist", k.Account)
}

func (v *validator) approval(a config.Approval) {
	v.item(KindApproval, ApprovalName(a))
	v.require((a.Model == "") != (a.Service == ""), "", "an approval is for a model or for a service")
	account, ok := v.c.Accounts[a.Account]
	v.require(ok, "account", "account %q does not exist", a.Account)
	if a.Model != "" {
		v.approvedModel(a.Model, account, ok)
	}
	if a.Service != "" {
		v.approvedService(a.Service, account, ok)
	}
}

func (v *validator) approvedModel(model id.Artifact, account config.Account, known bool) {
	v.require(!model.IsAdapter(), "models", "%q is an adapter; approve its model", model)
	_, ok := v.c.Artifacts[model]
	v.require(ok, "models", "model %q does not exist", model)
	if ok && known {
		v.affordable("models", account, float64(v.longest[model]), string(model))
	}
}

func (v *validator) approvedService(s id.Service, account config.Account, known bool) {
	svc, ok := v.c.Services[s]
	v.require(ok, "services", "service %q does not exist", s)
	if ok && known {
		v.affordable("services", account, float64(svc.Tokens), string(s))
	}
}

// affordable requires that one call fits in the account's burst. A call is
// charged whole at admission, so a smaller burst would refuse it every time,
// however long the caller waits.
func (v *validator) affordable(field string, a config.Account, cost float64, target string) {
	v.require(cost <= a.Burst, field,
		"a call of %s can cost %g tokens and account %s has a burst of %g: no such call could ever run", target, cost, a.Name, a.Burst)
}
