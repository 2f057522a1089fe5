// Package manifest represents one version of the gateway's configuration: routes, groups
// of backend servers and client accounts. A Manifest is immutable once built and is
// replaced as a whole.
package manifest

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/gateway/regions"
)

// Kind is the kind of a route's requests; it decides whether they may be retried.
type Kind string

// Kinds of requests.
const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non-idempotent"
	Stream        Kind = "stream"
)

// Route sends the requests for one host and path prefix to groups of backend servers.
type Route struct {
	Name   string
	Host   string
	Prefix string // starts and ends with a slash
	Kind   Kind
	// Timeout is the limit from the arrival of a request to the end of its response.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response counts as on time.
	LatencyObjective time.Duration
	// PauseObjective is the longest pause between two events of a stream that counts as on
	// time.
	PauseObjective time.Duration
	// FirstEventTimeout is how long callers of a stream wait for its first event before
	// they disconnect. 0 means until Timeout.
	FirstEventTimeout time.Duration
	Priority          int // 0 is the highest
	Targets           []Target
	MaxAttempts       int  // how many backend servers a request may be sent to
	Public            bool // requires no API key
	Resumable         bool // a stream may be continued by another backend server
	AllowedRegions    regions.Set
}

// Retryable reports whether a request of the route may be executed more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a group with its weight among the targets of a route.
type Target struct {
	Group  string
	Weight int
}

// PickGroup chooses the group for a request by the hash of its ID, so that all instances
// choose the same one.
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
	HealthPath     string  // of the liveness check of a backend server; empty: none
	MaxConnections int     // accepted by one backend server in total
	ColdRateLimit  float64 // requests per second that a cold server sustains; 0 means no limit
	Engine         *Engine // nil if the servers are not model engines
}

// Engine describes the model engines of a group.
type Engine struct {
	Slots          int
	CacheTokens    int // shared by running requests and cached prompts
	MemoryMB       float64
	AdapterSlots   int
	LoadsPerSecond float64 // capacity of the weight store for all engines
	Models         map[string]Model
}

// HasModel reports whether the engines can load a model.
func (e *Engine) HasModel(model string) bool {
	_, ok := e.Models[model]
	return ok
}

// Model describes a model that an engine can load.
type Model struct {
	Name           string
	WeightsMB      float64
	AdapterMB      float64
	Adapters       int
	LoadFromStore  time.Duration // load time from the weight store
	LoadFromDisk   time.Duration // load time from the engine's own disk
	LoadFromMemory time.Duration // load time from the engine's own memory
}

// NoPriority is the priority of an account that has none configured.
const NoPriority = -1

// Account is a client account.
type Account struct {
	Name     string
	Priority int // overrides the route's, unless it is NoPriority
	// CountTokens is set if Rate and Burst count tokens, not requests.
	CountTokens    bool
	DefaultTokens  int // assumed for a request without a token count
	Rate           float64
	Burst          float64 // a Rate of 0 means no limit
	AllowedRegions regions.Set
}

// Limits restrict the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Digest is the SHA-256 digest of an API key. The keys themselves are not kept.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Manifest is one version of the configuration.
type Manifest struct {
	Version  uint64
	Limits   Limits
	Groups   map[string]*Group
	Accounts map[string]*Account
	// LongestStream is the longest timeout of a route for streams.
	LongestStream time.Duration
	routes        map[string][]*Route // by host
	keys          map[Digest]*Account
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
func (m *Manifest) AddRoute(r *Route) {
	m.routes[r.Host] = append(m.routes[r.Host], r)
	if r.Kind == Stream {
		m.LongestStream = max(m.LongestStream, r.Timeout)
	}
}

// AddKey adds an API key to an account.
func (m *Manifest) AddKey(d Digest, a *Account) { m.keys[d] = a }

// AllowedRegionSets returns the distinct sets of allowed regions of all routes and accounts,
// sorted.
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

// CacheTokens returns the number of tokens that the cache of one engine holds, by group.
func (m *Manifest) CacheTokens() map[string]int {
	tokens := make(map[string]int)
	for name, group := range m.Groups {
		if group.Engine != nil {
			tokens[name] = group.Engine.CacheTokens
		}
	}
	return tokens
}

// SchedulesLoad reports whether the configuration calls for load scheduling: the most urgent
// streams of a group of model engines, those with the shortest latency objective, are not
// resumable. They can't be moved away from a slow server, so the first decision about them
// has to be right.
func (m *Manifest) SchedulesLoad() bool {
	mostUrgent := make(map[string]*Route)
	for _, routes := range m.routes {
		for _, r := range routes {
			if r.Kind != Stream || r.LatencyObjective <= 0 {
				continue
			}
			for _, t := range r.Targets {
				old := mostUrgent[t.Group]
				if old == nil || r.LatencyObjective < old.LatencyObjective || r.LatencyObjective == old.LatencyObjective && r.Resumable {
					mostUrgent[t.Group] = r // among equals a resumable one, whatever the order of the hosts
				}
			}
		}
	}
	for name, r := range mostUrgent {
		if g := m.Groups[name]; g != nil && g.Engine != nil && !r.Resumable {
			return true
		}
	}
	return false
}

// Match returns the route of host with the longest prefix of path, or nil.
func (m *Manifest) Match(host, path string) *Route {
	var best *Route
	for _, r := range m.routes[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// NeedsKey reports whether requests on r require an API key.
func (m *Manifest) NeedsKey(r *Route) bool { return len(m.Accounts) > 0 && !r.Public }

// Account returns the account of an API key, or nil. Keys are looked up by digest, so that
// the time of the lookup reveals nothing about them.
func (m *Manifest) Account(key string) *Account { return m.keys[DigestOf(key)] }
