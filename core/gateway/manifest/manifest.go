// Package manifest holds one version of the configuration of a gateway: which
// route a request takes, to which group of backend servers, for which client
// account. A Manifest is built once, never changed, and swapped as a whole.
package manifest

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/gateway/regions"
)

// Kind says whether a request may be repeated.
type Kind string

// The kinds of request.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Stream        Kind = "stream"
)

// Route sends requests of one host and path prefix to a group.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	Kind   Kind
	// Timeout bounds the time from arrival to the end of the answer.
	Timeout time.Duration
	// LatencyObjective is the latency within which an answer is worth most.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between two events of a stream that
	// still counts as on time.
	PauseObjective time.Duration
	// FirstEventTimeout is how long callers of a stream wait for its first event; they
	// leave before the timeout. 0: as long as the timeout.
	FirstEventTimeout time.Duration
	Priority          int // 0 is the most urgent
	Targets           []Target
	MaxAttempts       int  // backend servers that one request may be sent to
	Public            bool // needs no key
	Resumable         bool // a stream may go on at another backend server
	AllowedRegions    regions.Set
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a group with its share of a route's requests.
type Target struct {
	Group  string
	Weight int
}

// PickGroup chooses the group for a request by the hash of its id, so that all
// instances choose alike.
func (r *Route) PickGroup(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	n := int(hash % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Group
		}
		n -= t.Weight
	}
	return ""
}

// Group is a set of interchangeable backend servers.
type Group struct {
	Name           string
	MaxConnections int     // that one backend server takes from all callers
	ColdRateLimit  float64 // requests that a cold server bears; 0: it bears all
	Engine         *Engine // nil for a plain service
}

// Engine describes the model engines of a group.
type Engine struct {
	Slots          int
	CacheTokens    int // that running requests and cached prompt parts share
	MemoryMB       float64
	AdapterSlots   int
	LoadsPerSecond float64 // that the weight store carries for all engines
	Models         map[string]Model
}

// HasModel reports whether the engines can be told to load a model.
func (e *Engine) HasModel(model string) bool {
	_, ok := e.Models[model]
	return ok
}

// Model is one model of an engine.
type Model struct {
	Name           string
	WeightsMB      float64
	AdapterMB      float64
	Adapters       int
	LoadFromStore  time.Duration // load time from the weight store
	LoadFromDisk   time.Duration // load time from the engine's own disk
	LoadFromMemory time.Duration // load time from the engine's own memory
}

// NoPriority is the priority of an account that declares none.
const NoPriority = -1

// Account is a client account.
type Account struct {
	Name     string
	Priority int // goes before the route's, unless it is NoPriority
	// CountTokens says that Rate and Burst count tokens, not requests.
	CountTokens    bool
	DefaultTokens  int // tokens that a request without a token count stands for
	Rate           float64
	Burst          float64 // Rate of 0 means no limit
	AllowedRegions regions.Set
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Digest stands for a key; keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Manifest is one version of the configuration.
type Manifest struct {
	Version  uint64
	Limits   Limits
	Groups   map[string]*Group
	Accounts map[string]*Account
	routes   map[string][]*Route // by host
	keys     map[Digest]*Account
}

// New returns an empty Manifest.
func New(version uint64, limits Limits) *Manifest {
	return &Manifest{
		Version: version, Limits: limits,
		Groups: make(map[string]*Group), Accounts: make(map[string]*Account),
		routes: make(map[string][]*Route), keys: make(map[Digest]*Account),
	}
}

// AddRoute adds a route.
func (m *Manifest) AddRoute(r *Route) { m.routes[r.Host] = append(m.routes[r.Host], r) }

// AddKey gives a key to an account.
func (m *Manifest) AddKey(d Digest, a *Account) { m.keys[d] = a }

// AllowedRegionSets returns the homes of all routes and accounts, each once.
func (m *Manifest) AllowedRegionSets() []regions.Set {
	all := make(map[regions.Set]bool)
	for _, routes := range m.routes {
		for _, r := range routes {
			all[r.AllowedRegions] = true
		}
	}
	for _, a := range m.Accounts {
		all[a.AllowedRegions] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// Match returns the route of host with the longest prefix that begins path,
// or nil.
func (m *Manifest) Match(host, path string) *Route {
	var best *Route
	for _, r := range m.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// NeedsKey reports whether requests on r must carry a key.
func (m *Manifest) NeedsKey(r *Route) bool { return len(m.Accounts) > 0 && !r.Public }

// Account returns the account that holds a key, or nil. The look-up is over
// digests, so its time says nothing of the keys.
func (m *Manifest) Account(key string) *Account { return m.keys[DigestOf(key)] }
