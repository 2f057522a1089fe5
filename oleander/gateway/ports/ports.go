// Package ports defines the interfaces between the gateway and the platform that it
// runs on: the store, the engines of backend servers, and the headers of callers and
// backend servers. An adapter implements them for each platform. Package portstest
// tests that an adapter meets their contract.
package ports

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/evacuation"
	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/revision"
)

// ErrServerEnded says that a backend server has ended.
var ErrServerEnded = errors.New("server has ended")

// Errors of a Store.
var (
	// ErrHistoryGone says that the store does not have the changes after the given
	// revision. The caller reads the whole table again.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrUnavailable says that the store did not respond or rejected the call. A write
	// may or may not have taken effect.
	ErrUnavailable = errors.New("store: unavailable")
)

// Call is what the gateway reads from the headers of a caller's request.
type Call struct {
	ID           string
	APIKey       string
	Timeout      time.Duration // how long the caller waits; 0: not given
	Model        string        // "" for a request to a plain service
	Adapter      string
	TotalTokens  int          // of the prompt and the longest completion; 0: unknown
	PromptTokens int          // 0: unknown
	PromptParts  []PromptPart // in the order of the prompt
	LastEventID  string       // the stream resumes after this event
	Resumes      string       // ID of the request that brought the first event of that stream
}

// PromptPart is a part of a prompt. Requests that share a part give the same ID for it.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what the gateway tells a backend server besides the caller's request.
type Attempt struct {
	Account     string
	Server      string
	Timeout     time.Duration // how long the caller still waits
	Priority    int           // 0 is the highest
	LastEventID string
}

// ResponseInfo is what the headers of a backend server's response say.
type ResponseInfo struct {
	RequestID   string
	Signed      bool // carries the signature of a backend server
	NotExecuted bool // the server did not run the request
	Server      string
	Feedback
}

// Feedback is what a response says about its server. It is empty if another server than
// the intended one responded.
type Feedback struct {
	RateLimit RateLimit
	// Brittle says that the servers of the group crash when they reject too many requests.
	Brittle Brittleness
	Leaving bool // the server stops serving soon and takes no new requests
	// Rest is how long the server, which rejected the request, wants no other request of
	// this instance; 0 if it does not say so.
	Rest time.Duration
	// Invalid names a statement that could not be read, for the log; the response then says
	// nothing by what it leaves out.
	Invalid string
}

// Brittleness is how many rejections for want of room a server survives.
type Brittleness struct {
	Named    bool
	Survived int // in a second
}

// RateLimit is what a response says about the rate of requests that its server accepts.
type RateLimit struct {
	Named     bool    // the response names a limit
	PerSecond float64 // requests per second over all instances; finite and not negative
}

// Dialect reads and writes the headers of callers and backend servers.
type Dialect interface {
	// ParseCall reads the headers of a caller's request.
	ParseCall(r *http.Request) Call
	// ForwardHeaders returns the headers of a request to a backend server. from are the
	// caller's headers, which are not changed.
	ForwardHeaders(from http.Header, a Attempt) http.Header
	// ParseResponse reads the status and headers of a backend server's response.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// Peer is an instance, as described by its row in the store.
type Peer struct {
	Name    string
	Address string
	Zone    string
	// Strength ranks the instances: stronger ones are preferred as lease holder and for
	// watching the store.
	Strength int
}

// ServerChange is a change of a backend server's entry. A removed entry has only an ID
// and the revision of its removal.
type ServerChange struct {
	Entry   directory.Entry
	Removed bool
}

// ServersPage is a part of the entries of backend servers, in the order of their IDs.
type ServersPage struct {
	Entries []directory.Entry
	At      revision.Revision // of the store at which the page was read
	Next    string            // where the next page begins; "": this is the last one
}

// LeaseName is the name of a lease: an availability zone, or empty for the lease of the
// whole fleet.
type LeaseName string

// CrashRecord is what an instance knew of crashes of backend servers, for all instances of its zone.
type CrashRecord struct {
	Zone  string
	Value []byte // as written
	At    revision.Revision
	Age   time.Duration // since it was written
}

// OperatorState is what the operator has written to the store.
type OperatorState struct {
	Manifest []byte // as stored; nil: none, or unchanged
	// Evacuations are all requested evacuations, or in a watch those that changed.
	Evacuations []evacuation.Row
}

// Store is the platform's durable store. Calls fail with ErrUnavailable or
// ErrHistoryGone.
//
// The store may be restored from an older copy of itself, which starts a new era. What
// was read in an earlier era is then no longer valid: a watch that began there ends with
// ErrHistoryGone.
type Store interface {
	// Era returns the newest era seen in any response; 0: none.
	Era() int64
	// OperatorState returns what the operator has written, and the revision of the store
	// at which it was read.
	OperatorState(ctx context.Context) (o OperatorState, at revision.Revision, err error)
	// WatchOperatorState waits up to wait for changes after a revision and returns them.
	WatchOperatorState(ctx context.Context, after revision.Revision, wait time.Duration) (o OperatorState, at revision.Revision, err error)
	// DecodeManifest decodes a manifest.
	DecodeManifest(raw []byte) (*manifest.Manifest, error)
	// ServersPage returns the page of the entries of backend servers that begins at from, as
	// named by the page before it; "" is the first page. The pages are read one by one, so
	// that a context bounds one page: all entries of a large fleet take longer than any
	// other call.
	ServersPage(ctx context.Context, from string) (ServersPage, error)
	// WatchServers waits up to wait for changes after a revision and returns them.
	WatchServers(ctx context.Context, after revision.Revision, wait time.Duration) (changes []ServerChange, at revision.Revision, err error)
	// Peers returns the rows of all instances.
	Peers(ctx context.Context) ([]Peer, error)
	// RegisterPeer writes the row of an instance.
	RegisterPeer(ctx context.Context, p Peer) error
	// Lease reads the row of a lease in the store's current era.
	Lease(ctx context.Context, name LeaseName) (leader.Row, error)
	// WriteLease replaces the row of a lease in the era of expect, if the row still has
	// the version of expect (0: no row). Otherwise, or if the store is in another era, it
	// returns leader.Conflict; it returns leader.Unknown if the write may have taken effect.
	WriteLease(ctx context.Context, name LeaseName, r leader.Record, expect revision.Revision) (leader.Result, revision.Revision)
	// CrashRecords returns the crash records of all zones, and the revision of the store at which
	// they were read.
	CrashRecords(ctx context.Context) (records []CrashRecord, at revision.Revision, err error)
	// WriteCrashRecord replaces the crash record of a zone, under the conditions of WriteLease and
	// with its results. CrashRecords must have been called before.
	WriteCrashRecord(ctx context.Context, zone string, value []byte, expect revision.Revision) (leader.Result, revision.Revision)
}

// Engines calls the engines of backend servers.
type Engines interface {
	// SendOrder sends an order as the lease holder with a fencing number.
	SendOrder(ctx context.Context, o placer.Order, holder string, fencing int64) (placer.OrderResult, Feedback)
	// FetchReport returns what the engine of a backend server has loaded. It fails if
	// another server listens at the address, and wraps rawhttp.ErrNotSent if there was no connection.
	FetchReport(ctx context.Context, to Route) (placer.Report, Feedback, error)
	// Ping asks a backend server for a sign of life on a new connection. Any response of that server is one.
	// path is that of a plain server's liveness check; "": that of an engine's report.
	// It fails with ErrServerEnded if nothing listens at the address, or another server.
	Ping(ctx context.Context, to Route, path string) error
}

// Route is the way to a backend server.
type Route struct {
	Address, Server string
	Dial            func(ctx context.Context) (net.Conn, error) // nil: connects to the address
}
