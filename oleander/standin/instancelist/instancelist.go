// Package instancelist is a stand-in for the platform's list of live and
// leaving instances. GET /instances returns the list in the format of Prometheus
// HTTP service discovery. PUT and DELETE of /instances/{name} and POST to
// /instances/{name}/leaving change it. A change becomes visible in the list after
// a configurable lag.
package instancelist

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	client "oleanderdale.org/oleander/clients/instancelist"
	"oleanderdale.org/oleander/standin/internal/serve"
)

// ListPath is the path of the list.
const ListPath = "/instances"

// ReaderParameter is the optional query parameter that names the reader of the
// list.
const ReaderParameter = "reader"

const (
	maxRequestBytes = 64 << 10 // bytes
	malformedBody   = `[{"targets": ["127.0.0.1`
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every request for the list.
	Down bool `json:"down"`
	// BlockedReaders lists values of ReaderParameter. The connections of requests
	// with these values are closed, as if Down were set.
	BlockedReaders []string `json:"cut_off"`
	// Delay delays every request for the list.
	Delay time.Duration `json:"slow"`
	// Lag is the time until a change becomes visible in the list.
	Lag time.Duration `json:"lag"`
	// StaleResponses counts the next responses that omit the last visible change,
	// even if an earlier response had it.
	StaleResponses int `json:"backwards"`
	// Shuffle returns the entries in random order.
	Shuffle bool `json:"shuffle"`
	// MalformedResponses counts the next responses that are not valid JSON.
	MalformedResponses int `json:"garbage"`
	// OversizedResponses counts the next responses that are longer than the size
	// at which a client must stop reading.
	OversizedResponses int `json:"oversized"`
}

// Instance is the body of PUT /instances/{name}.
type Instance struct {
	Address string `json:"address"` // host:port
	Zone    string `json:"zone"`
	Group   string `json:"group,omitempty"` // empty for an entry instance
	Leaving bool   `json:"leaving,omitempty"`
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	faults serve.FaultSettings[Faults]
	server serve.Server
	router *mux.Router

	mu       sync.Mutex
	rng      *rand.Rand
	versions []version // oldest first; never empty
}

// version is the list after a change. It is immutable.
type version struct {
	changedAt time.Time
	entries   map[string]event.Member
}

// New returns an empty list. The seed determines the order of the entries when
// Faults.Shuffle is set.
func New(seed uint64) *List {
	l := &List{
		router:   mux.NewRouter(),
		rng:      rand.New(rand.NewPCG(seed, 0)),
		versions: []version{{}},
	}
	l.router.Handle(serve.FaultsPath, &l.faults)
	l.router.HandleFunc(ListPath, l.serveList).Methods(http.MethodGet)
	l.router.HandleFunc(ListPath+"/{name}", l.servePut).Methods(http.MethodPut)
	l.router.HandleFunc(ListPath+"/{name}", l.serveDelete).Methods(http.MethodDelete)
	l.router.HandleFunc(ListPath+"/{name}/leaving", l.serveLeaving).Methods(http.MethodPost)
	return l
}

// Faults returns the current fault settings.
func (l *List) Faults() Faults { return l.faults.Get() }

// SetFaults replaces the fault settings.
func (l *List) SetFaults(f Faults) { l.faults.Set(f) }

// UpdateFaults calls change with a pointer to the current fault settings.
func (l *List) UpdateFaults(change func(*Faults)) { l.faults.Update(change) }

// Put adds an entry, or replaces the one with the same name.
func (l *List) Put(m event.Member) {
	l.update(func(entries map[string]event.Member) { entries[m.Name] = m })
}

// Delete removes an entry.
func (l *List) Delete(name string) {
	l.update(func(entries map[string]event.Member) { delete(entries, name) })
}

// SetLeaving marks an entry as leaving. It reports whether the entry exists.
func (l *List) SetLeaving(name string) bool {
	found := false
	l.update(func(entries map[string]event.Member) {
		m, ok := entries[name]
		if !ok {
			return
		}
		found = true
		m.Leaving = true
		entries[name] = m
	})
	return found
}

// Members returns the current list, without lag, sorted by name.
func (l *List) Members() []event.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedMembers(l.versions[len(l.versions)-1].entries)
}

// update applies a change to a copy of the newest version and stores the copy as
// the next one.
func (l *List) update(apply func(map[string]event.Member)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make(map[string]event.Member)
	for name, m := range l.versions[len(l.versions)-1].entries {
		entries[name] = m
	}
	apply(entries)
	l.versions = append(l.versions, version{changedAt: time.Now(), entries: entries})
	l.trimVersions()
}

// maxVersions is the number of versions that are kept.
const maxVersions = 1024

func (l *List) trimVersions() {
	if len(l.versions) > maxVersions {
		l.versions = slices.Delete(l.versions, 0, len(l.versions)-maxVersions)
	}
}

// visibleMembers returns the list as a reader sees it now, with the lag and the
// faults that concern its content.
func (l *List) visibleMembers() []event.Member {
	stale := l.faults.Consume(func(f *Faults) *int { return &f.StaleResponses })
	faults := l.faults.Get()
	l.mu.Lock()
	defer l.mu.Unlock()
	at := time.Now().Add(-faults.Lag)
	i := len(l.versions) - 1
	for i > 0 && l.versions[i].changedAt.After(at) {
		i--
	}
	if stale && i > 0 {
		i--
	}
	members := sortedMembers(l.versions[i].entries)
	if faults.Shuffle {
		l.rng.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	}
	return members
}

func sortedMembers(entries map[string]event.Member) []event.Member {
	members := make([]event.Member, 0, len(entries))
	for _, m := range entries {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b event.Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.router.ServeHTTP(w, r) }

// Serve serves requests on nl until Close.
func (l *List) Serve(nl net.Listener) error { return l.server.Serve(nl, l) }

// Close closes all listeners and connections.
func (l *List) Close() error { return l.server.Close() }

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	faults := l.faults.Get()
	if faults.Down || slices.Contains(faults.BlockedReaders, r.URL.Query().Get(ReaderParameter)) {
		serve.Abort()
	}
	l.server.Sleep(faults.Delay)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case l.faults.Consume(func(f *Faults) *int { return &f.MalformedResponses }):
		// A write error only means that the client has disconnected.
		_, _ = w.Write([]byte(malformedBody))
	case l.faults.Consume(func(f *Faults) *int { return &f.OversizedResponses }):
		_, _ = w.Write([]byte(strings.Repeat(" ", client.MaxListSize+1)))
	default:
		serve.WriteJSON(w, http.StatusOK, targetGroups(l.visibleMembers()))
	}
}

// targetGroups converts the entries to the format of the list.
func targetGroups(members []event.Member) []client.TargetGroup {
	out := make([]client.TargetGroup, 0, len(members))
	for _, m := range members {
		labels := map[string]string{client.LabelName: m.Name, client.LabelZone: string(m.Zone)}
		if m.Group != "" {
			labels[client.LabelGroup] = string(m.Group)
		}
		if m.Leaving {
			labels[client.LabelLeaving] = "true"
		}
		out = append(out, client.TargetGroup{Targets: []string{m.Address}, Labels: labels})
	}
	return out
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var instance Instance
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&instance); err != nil || instance.Address == "" || instance.Zone == "" {
		http.Error(w, "address and zone are required", http.StatusBadRequest)
		return
	}
	l.Put(instance.member(mux.Vars(r)["name"]))
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveDelete(w http.ResponseWriter, r *http.Request) {
	l.Delete(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) serveLeaving(w http.ResponseWriter, r *http.Request) {
	if !l.SetLeaving(mux.Vars(r)["name"]) {
		http.Error(w, "instance not found", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (instance Instance) member(name string) event.Member {
	return event.Member{
		Name: name, Address: instance.Address, Zone: id.Zone(instance.Zone), Group: id.Group(instance.Group), Leaving: instance.Leaving,
	}
}
