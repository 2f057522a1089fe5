package version

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// Kind names a kind of configuration item, as operators write it.
type Kind string

// The kinds of configuration items.
const (
	KindFleet    Kind = "fleet"
	KindGroup    Kind = "group"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindService  Kind = "service"
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindApproval Kind = "approval"
)

// Delta lists the items of one kind that a change adds or replaces (Put) and
// removes (Remove).
type Delta[K, V any] struct {
	Put    []V `json:"put,omitempty"`
	Remove []K `json:"remove,omitempty"`
}

// Empty reports whether d changes nothing.
func (d Delta[K, V]) Empty() bool { return len(d.Put) == 0 && len(d.Remove) == 0 }

// Change is the difference between two consecutive versions. Its lists are
// sorted by name, so that equal changes have equal encodings.
type Change struct {
	Fleet     *config.Fleet                           `json:"fleet,omitempty"`
	Groups    Delta[id.Group, config.Group]           `json:"groups,omitzero"`
	Artifacts Delta[id.Artifact, config.Artifact]     `json:"artifacts,omitzero"`
	Services  Delta[id.Service, config.Service]       `json:"services,omitzero"`
	Accounts  Delta[id.Account, config.Account]       `json:"accounts,omitzero"`
	Keys      Delta[id.Digest, config.Key]            `json:"keys,omitzero"`
	Approvals Delta[config.Approval, config.Approval] `json:"approvals,omitzero"`
}

// Empty reports whether c changes nothing.
func (c Change) Empty() bool {
	return c.Fleet == nil && c.Groups.Empty() && c.Artifacts.Empty() && c.Services.Empty() &&
		c.Accounts.Empty() && c.Keys.Empty() && c.Approvals.Empty()
}

// MissingItemError says that a change removes an item that its base does
// not contain: the change was computed against another version.
type MissingItemError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *MissingItemError) Error() string {
	return fmt.Sprintf("change removes %s %q, which its base version does not contain", e.Kind, e.Name)
}

// Diff returns the change from old to new. A nil old is the empty
// configuration; the versions of both are ignored.
func Diff(old, new *config.Config) Change {
	if old == nil {
		old = &config.Config{}
	}
	c := Change{
		Groups:    diff(old.Groups, new.Groups, cmp.Compare),
		Artifacts: diff(old.Artifacts, new.Artifacts, cmp.Compare),
		Services:  diff(old.Services, new.Services, cmp.Compare),
		Accounts:  diff(old.Accounts, new.Accounts, cmp.Compare),
		Keys:      diff(old.Keys, new.Keys, cmp.Compare),
		Approvals: diff(approvalsByKey(old.Approvals), approvalsByKey(new.Approvals), compareApprovals),
	}
	if !equalFleets(old.Fleet, new.Fleet) {
		f := new.Fleet
		c.Fleet = &f
	}
	return c
}

// Apply returns the version after base: base with c applied. A nil base is the
// empty configuration at version 0. Maps that c doesn't change are shared with
// base. The error is a *MissingItemError.
func Apply(base *config.Config, c Change) (*config.Config, error) {
	if base == nil {
		base = &config.Config{}
	}
	next := *base
	next.Version++
	if c.Fleet != nil {
		next.Fleet = *c.Fleet
		next.Fleet.Zones = slices.Clone(c.Fleet.Zones)
	}
	p := deltaApplier{}
	next.Groups = applyDelta(&p, KindGroup, base.Groups, c.Groups, func(g config.Group) id.Group { return g.Name })
	next.Artifacts = applyDelta(&p, KindModel, base.Artifacts, c.Artifacts, func(a config.Artifact) id.Artifact { return a.Name })
	next.Services = applyDelta(&p, KindService, base.Services, c.Services, func(s config.Service) id.Service { return s.Name })
	next.Accounts = applyDelta(&p, KindAccount, base.Accounts, c.Accounts, func(a config.Account) id.Account { return a.Name })
	next.Keys = applyDelta(&p, KindKey, base.Keys, c.Keys, func(k config.Key) id.Digest { return k.Digest })
	next.Approvals = applyApprovalsDelta(&p, base.Approvals, c.Approvals)
	if p.err != nil {
		return nil, p.err
	}
	return &next, nil
}

func diff[K, V comparable](old, new map[K]V, order func(a, b K) int) Delta[K, V] {
	var d Delta[K, V]
	for _, k := range slices.SortedFunc(maps.Keys(new), order) {
		if was, ok := old[k]; !ok || was != new[k] {
			d.Put = append(d.Put, new[k])
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(old), order) {
		if _, ok := new[k]; !ok {
			d.Remove = append(d.Remove, k)
		}
	}
	return d
}

// deltaApplier keeps the first error of several calls of applyDelta.
type deltaApplier struct{ err error }

func applyDelta[K comparable, V any](p *deltaApplier, kind Kind, base map[K]V, d Delta[K, V], key func(V) K) map[K]V {
	if d.Empty() {
		return base
	}
	next := maps.Clone(base)
	if next == nil {
		next = make(map[K]V, len(d.Put))
	}
	for _, k := range d.Remove {
		if _, ok := next[k]; !ok && p.err == nil {
			p.err = &MissingItemError{Kind: kind, Name: fmt.Sprint(k)}
		}
		delete(next, k)
	}
	for _, v := range d.Put {
		next[key(v)] = v
	}
	return next
}

func applyApprovalsDelta(p *deltaApplier, base map[config.Approval]struct{}, d Delta[config.Approval, config.Approval]) map[config.Approval]struct{} {
	if d.Empty() {
		return base
	}
	patched := applyDelta(p, KindApproval, approvalsByKey(base), d, func(a config.Approval) config.Approval { return a })
	next := make(map[config.Approval]struct{}, len(patched))
	for a := range patched {
		next[a] = struct{}{}
	}
	return next
}

// approvalsByKey converts a set of approvals to a map of key to value, as the
// other kinds of items are stored.
func approvalsByKey(set map[config.Approval]struct{}) map[config.Approval]config.Approval {
	m := make(map[config.Approval]config.Approval, len(set))
	for a := range set {
		m[a] = a
	}
	return m
}

func compareApprovals(a, b config.Approval) int {
	return cmp.Or(
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Model, b.Model),
		cmp.Compare(a.Service, b.Service),
	)
}

func equalFleets(a, b config.Fleet) bool {
	return slices.Equal(a.Zones, b.Zones) &&
		a.SlotsPerZone == b.SlotsPerZone &&
		a.LoadsPerSecond == b.LoadsPerSecond &&
		a.LoadsAtOnce == b.LoadsAtOnce &&
		a.AdaptersInTransit == b.AdaptersInTransit
}
