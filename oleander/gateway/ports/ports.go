// Package ports holds what a gateway needs of the machines that it runs on: a
// store, engines that take orders, and the headers of callers and backend
// servers. Each platform has an adapter that implements them; the contract that
// an adapter must keep is in package portstest.
package ports

import (
	"context"
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

// Errors of a Store.
var (
	// ErrHistoryGone says that the changes asked for are no longer kept: read anew.
	ErrHistoryGone = errors.New("store: history is gone")
	// ErrUnavailable says that the store did not answer, or did nothing.
	ErrUnavailable = errors.New("store: unavailable")
)

// Call is what the gateway needs to know of a request.
type Call struct {
	ID           string
	APIKey       string
	Timeout      time.Duration // that the caller waits; 0: it does not say
	Model        string        // "" if the request is for a plain service
	Adapter      string
	TotalTokens  int // of the prompt and at most of the answer; 0: unknown
	PromptTokens int // tokens of the prompt; 0: unknown
	PromptParts  []PromptPart
	LastEventID  string // after which a stream goes on
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Attempt is what a backend server is told besides the caller's request.
type Attempt struct {
	Account     string
	Server      string
	Timeout     time.Duration
	Priority    int // 0 is the most urgent
	LastEventID string
}

// ResponseInfo is what the headers of a backend server's answer say.
type ResponseInfo struct {
	RequestID   string
	Signed      bool // carries the proof that it is the server's
	NotExecuted bool // the server says that it did not run the request
	Server      string
}

// Dialect reads and writes the headers of callers and backend servers.
type Dialect interface {
	ParseCall(r *http.Request) Call
	// ForwardHeaders returns the headers for the backend server.
	ForwardHeaders(from http.Header, a Attempt) http.Header
	ParseResponse(status int, h http.Header) ResponseInfo
}

// Peer is another instance, as its row names it.
type Peer struct {
	Name    string
	Address string
	Zone    string
	// Strength orders the candidates for the lease and for watching the store.
	Strength int
}

// ServerChange is a change of one backend server's entry. Removed entries have
// only an ID.
type ServerChange struct {
	Entry   directory.Entry
	Removed bool
}

// LeaseName names a lease: the empty one is the fleet's, the others are those of the
// availability zones.
type LeaseName string

// OperatorState is what the operator has written.
type OperatorState struct {
	Manifest []byte // as stored; nil: there is none, or no newer one
	// Evacuations are all that stand, or those that changed.
	Evacuations []evacuation.Row
}

// Store is what lasts. Calls fail with ErrUnavailable or ErrHistory.
//
// A store may come back from an older copy of itself. It tells so by its era, and what
// was read before holds no more: a watch that began in another era ends with ErrHistory.
type Store interface {
	// Era returns the newest era that any answer named; 0: none did.
	Era() int64
	// OperatorState returns what the operator has written, and the revision of the store
	// that it was read at.
	OperatorState(ctx context.Context) (o OperatorState, at revision.Revision, err error)
	// WatchOperatorState waits for what the operator writes after a revision of the store,
	// and returns what changed within wait.
	WatchOperatorState(ctx context.Context, after revision.Revision, wait time.Duration) (o OperatorState, at revision.Revision, err error)
	// DecodeManifest decodes a manifest.
	DecodeManifest(raw []byte) (*manifest.Manifest, error)
	// Servers returns the entries of all backend servers.
	Servers(ctx context.Context) (entries []directory.Entry, at revision.Revision, err error)
	// WatchServers waits for changes after a revision of the store.
	WatchServers(ctx context.Context, after revision.Revision, wait time.Duration) (changes []ServerChange, at revision.Revision, err error)
	// Peers returns the rows of all instances, Join writes one.
	Peers(ctx context.Context) ([]Peer, error)
	RegisterPeer(ctx context.Context, p Peer) error
	// Lease reads the row of a lease of the store's era.
	Lease(ctx context.Context, name LeaseName) (leader.Row, error)
	// WriteLease replaces the row of an era as it was at a revision. It conflicts if the
	// store has another era meanwhile.
	WriteLease(ctx context.Context, name LeaseName, r leader.Record, expect revision.Revision) (leader.Result, revision.Revision)
}

// Engines takes orders and tells what it holds.
type Engines interface {
	SendOrder(ctx context.Context, o placer.Order, holder string, fencing int64) placer.Answer
	FetchReport(ctx context.Context, address, server string) (placer.Report, error)
}
