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

// Problem is one reason why a configuration is rejected.
type Problem struct {
	Kind  Kind
	Name  string // of the item; an approval has its ApprovalName
	Field string // "" if the problem concerns the whole item
	Text  string // a sentence without a full stop
}

// String formats the problem for operators. It omits the name of a key: if
// somebody wrote a key in place of its digest, the key must not appear in a
// terminal or a log.
func (p Problem) String() string {
	if p.Kind == KindKey || p.Name == "" {
		return fmt.Sprintf("%s: %s", p.Kind, p.Text)
	}
	return fmt.Sprintf("%s %s: %s", p.Kind, p.Name, p.Text)
}

// ApprovalName returns the name of an approval as used in a Problem.
func ApprovalName(a config.Approval) string {
	if a.Model != "" {
		return string(a.Account) + " for model " + string(a.Model)
	}
	return string(a.Account) + " for service " + string(a.Service)
}

// Limits of accepted values.
const (
	// MaxSlotsPerZone limits the slots into which a rate is divided; every
	// instance keeps one bucket per slot and account.
	MaxSlotsPerZone = 64
	// MaxBytes limits sizes, so that sums of them can't overflow.
	MaxBytes = int64(1) << 50
	// MaxDuration limits durations.
	MaxDuration = 7 * 24 * time.Hour
	// maxNumericValue limits rates, bursts, weights and counts.
	maxNumericValue = 1e12
)

// Names are used in paths, row IDs and metric labels, so they contain neither
// separators nor spaces.
var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Validate returns all problems of c, sorted by kind and name. If there are none,
// c can be applied.
func Validate(c *config.Config) []Problem {
	v := &validator{cfg: c, maxTokens: maxTokensByModel(c)}
	v.checkFleet()
	forEachSorted(c.Groups, v.checkGroup)
	forEachSorted(c.Artifacts, v.checkArtifact)
	forEachSorted(c.Services, v.checkService)
	forEachSorted(c.Accounts, v.checkAccount)
	forEachSorted(c.Keys, v.checkKey)
	for _, a := range slices.SortedFunc(maps.Keys(c.Approvals), compareApprovals) {
		v.checkApproval(a)
	}
	return v.problems
}

// forEachSorted calls f for each entry of m in the order of the keys.
func forEachSorted[K cmp.Ordered, V any](m map[K]V, f func(K, V)) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		f(k, m[k])
	}
}

type validator struct {
	cfg       *config.Config
	maxTokens map[id.Artifact]int // of a model and its adapters, by model
	problems  []Problem
	kind      Kind
	name      string
}

// maxTokensByModel returns for each model the largest MaxTokens of the model and
// its adapters, since an approval of a model covers its adapters.
func maxTokensByModel(c *config.Config) map[id.Artifact]int {
	longest := make(map[id.Artifact]int)
	for name, a := range c.Artifacts {
		longest[name.Model()] = max(longest[name.Model()], a.MaxTokens)
	}
	return longest
}

// beginItem sets the item that the following problems concern.
func (v *validator) beginItem(k Kind, name string) { v.kind, v.name = k, name }

// require adds a problem unless ok.
func (v *validator) require(ok bool, field, format string, args ...any) {
	if ok {
		return
	}
	v.problems = append(v.problems, Problem{
		Kind: v.kind, Name: v.name, Field: field, Text: fmt.Sprintf(format, args...),
	})
}

func (v *validator) requireName(name string) {
	v.require(namePattern.MatchString(name), "name",
		"name %q must be 1 to 100 letters, digits, dots, dashes or underscores", name)
}

// requirePositive requires a number above 0 and up to maxNumericValue.
func (v *validator) requirePositive(field string, x float64) {
	v.require(x > 0 && x <= maxNumericValue && !math.IsNaN(x), field, "%s must be above 0 and at most %g, not %g", field, maxNumericValue, x)
}

func (v *validator) requirePositiveCount(field string, n int) { v.requirePositive(field, float64(n)) }

func (v *validator) requireDuration(field string, d time.Duration) {
	v.require(d > 0 && d <= MaxDuration, field, "%s must be above 0 and at most %s, not %s", field, MaxDuration, d)
}

func (v *validator) requireSize(field string, n int64) {
	v.require(n > 0 && n <= MaxBytes, field, "%s must be above 0 and at most 1 PiB", field)
}

func (v *validator) checkFleet() {
	f := v.cfg.Fleet
	v.beginItem(KindFleet, "")
	v.require(len(f.Zones) > 0, "zones", "a fleet needs at least one availability zone")
	seen := make(map[id.Zone]bool)
	for _, z := range f.Zones {
		v.require(namePattern.MatchString(string(z)), "zones", "%q is not a valid name of an availability zone", z)
		v.require(!seen[z], "zones", "availability zone %q stands twice", z)
		seen[z] = true
	}
	v.require(f.SlotsPerZone >= 1 && f.SlotsPerZone <= MaxSlotsPerZone, "slots_per_zone",
		"slots_per_zone must be 1 to %d, not %d", MaxSlotsPerZone, f.SlotsPerZone)
	v.requirePositive("loads_per_second", f.LoadsPerSecond)
	v.requirePositiveCount("loads_at_once", f.LoadsAtOnce)
	v.requirePositiveCount("adapters_in_transit", f.AdaptersInTransit)
}

func (v *validator) checkGroup(name id.Group, g config.Group) {
	v.beginItem(KindGroup, string(name))
	v.requireName(string(name))
	v.require(g.Kind == config.GroupModels || g.Kind == config.GroupServices, "serves",
		"serves must be %s or %s, not %q", config.GroupModels, config.GroupServices, g.Kind)
	v.require(g.Owner != "", "owner", "a group needs an owner, who approves client accounts")
	v.requirePositiveCount("concurrency", g.Concurrency)
	if g.Kind == config.GroupModels {
		v.requireSize("memory", g.MemoryBytes)
		v.requireDuration("max_order_time", g.MaxOrderTime)
	}
}

func (v *validator) checkArtifact(name id.Artifact, a config.Artifact) {
	v.beginItem(kindOf(name), string(name))
	for part := range strings.SplitSeq(string(name), id.AdapterSeparator) {
		v.requireName(part)
	}
	v.require(strings.Count(string(name), id.AdapterSeparator) <= 1, "name", "name must contain at most one %q", id.AdapterSeparator)
	v.requireSize("size", a.Bytes)
	v.requireDuration("load_time", a.LoadTime)
	v.requirePositiveCount("max_replicas", a.MaxReplicas)
	v.requirePositiveCount("max_tokens", a.MaxTokens)
	if !name.IsAdapter() {
		v.requireFits(a, a.Bytes)
		return
	}
	model, ok := v.cfg.Artifacts[name.Model()]
	v.require(ok, "model", "model %q does not exist", name.Model())
	if ok {
		v.require(model.Group == a.Group, "model", "an adapter must be in the group of its model, %q", model.Group)
		v.requireFits(a, a.Bytes+min(model.Bytes, MaxBytes)) // it is loaded in addition to its model
	}
}

func kindOf(a id.Artifact) Kind {
	if a.IsAdapter() {
		return KindAdapter
	}
	return KindModel
}

// requireFits requires that size bytes fit into the memory of a server of the
// artifact's group.
func (v *validator) requireFits(a config.Artifact, size int64) {
	g, ok := v.cfg.Groups[a.Group]
	v.require(ok, "group", "group %q does not exist", a.Group)
	if !ok {
		return
	}
	v.require(g.Kind == config.GroupModels, "group", "group %q does not serve models", a.Group)
	v.require(g.Kind != config.GroupModels || size <= g.MemoryBytes, "size",
		"it needs %d bytes of memory, but a server of group %q has only %d", size, a.Group, g.MemoryBytes)
}

func (v *validator) checkService(name id.Service, s config.Service) {
	v.beginItem(KindService, string(name))
	v.requireName(string(name))
	g, ok := v.cfg.Groups[s.Group]
	v.require(ok, "group", "group %q does not exist", s.Group)
	v.require(!ok || g.Kind == config.GroupServices, "group", "group %q does not serve services", s.Group)
	v.requirePositiveCount("tokens", s.Tokens)
	v.require(s.StatusPath == "" || strings.HasPrefix(s.StatusPath, "/"), "status_path", "status_path must begin with a slash")
	v.require(s.StatusPath == "" || !s.Repeatable, "status_path", "a repeatable service must not have a status_path")
}

func (v *validator) checkAccount(name id.Account, a config.Account) {
	v.beginItem(KindAccount, string(name))
	v.requireName(string(name))
	v.requirePositive("rate", a.Rate)
	v.requirePositive("burst", a.Burst)
	v.requirePositive("weight", a.Weight)
	switch a.Class {
	case config.Urgent, config.Interactive, config.Batch:
	default:
		v.require(false, "class", "class must be %s, %s or %s, not %q", config.Urgent, config.Interactive, config.Batch, a.Class)
	}
	v.require(a.ServeFor >= 0 && a.ServeFor <= MaxDuration, "serve_for", "serve_for must be 0 to %s", MaxDuration)
}

func (v *validator) checkKey(d id.Digest, k config.Key) {
	v.beginItem(KindKey, string(d))
	v.require(digestPattern.MatchString(string(d)), "digest", "digest must be 64 lower-case hexadecimal digits")
	v.require(k.Label != "", "label", "a key needs a label")
	_, ok := v.cfg.Accounts[k.Account]
	v.require(ok, "account", "account %q does not exist", k.Account)
}

func (v *validator) checkApproval(a config.Approval) {
	v.beginItem(KindApproval, ApprovalName(a))
	v.require((a.Model == "") != (a.Service == ""), "", "an approval is for a model or for a service")
	account, ok := v.cfg.Accounts[a.Account]
	v.require(ok, "account", "account %q does not exist", a.Account)
	if a.Model != "" {
		v.checkModelApproval(a.Model, account, ok)
	}
	if a.Service != "" {
		v.checkServiceApproval(a.Service, account, ok)
	}
}

func (v *validator) checkModelApproval(model id.Artifact, account config.Account, accountExists bool) {
	v.require(!model.IsAdapter(), "models", "%q is an adapter; approve its model", model)
	_, ok := v.cfg.Artifacts[model]
	v.require(ok, "models", "model %q does not exist", model)
	if ok && accountExists {
		v.requireAffordable("models", account, float64(v.maxTokens[model]), string(model))
	}
}

func (v *validator) checkServiceApproval(s id.Service, account config.Account, accountExists bool) {
	svc, ok := v.cfg.Services[s]
	v.require(ok, "services", "service %q does not exist", s)
	if ok && accountExists {
		v.requireAffordable("services", account, float64(svc.Tokens), string(s))
	}
}

// requireAffordable requires that the cost of one call fits into the account's
// burst. The whole cost is charged at admission, so with a smaller burst the call
// would be refused every time, however long the caller waits.
func (v *validator) requireAffordable(field string, a config.Account, cost float64, target string) {
	v.require(cost <= a.Burst, field,
		"a call of %s can cost %g tokens and account %s has a burst of %g: no such call could ever run", target, cost, a.Name, a.Burst)
}
