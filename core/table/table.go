// Package table defines what the core stores in the platform's transactional table
// service: typed rows, conditional transactions over several rows, and the outcomes
// of operations. The client of the service is outside the core.
package table

import (
	"time"

	"oleanderdale.org/core/id"
)

// Kind is a type of row.
type Kind string

// The kinds of row, with the ID and the body of each.
const (
	KindSession Kind = "session" // ID: instance; Session
	KindSlot    Kind = "slot"    // ID: zone/index; Slot
	KindBackend Kind = "backend" // ID: backend server; Backend
	KindReplica Kind = "replica" // ID: zone/artifact; Replica
	KindHead    Kind = "head"    // ID: HeadID; Head
	KindVersion Kind = "version" // ID: %020d of the version; Version
	KindOnce    Kind = "order"   // ID: account/idempotency key; Once
)

// HeadID is the ID of the only row of KindHead.
const HeadID = "config"

// Key identifies a row.
type Key struct {
	Kind Kind
	ID   string
}

// Body is the content of a row: one of the structs of this package.
type Body interface{ kind() Kind }

// Row is a row as read. Version starts at 1 and grows by one with each write.
type Row struct {
	Key     Key
	Version uint64
	Body    Body
}

// Write is a conditional write in a transaction. Expect is the version that the row
// must have, or 0 if it must not exist. If Check is set, Body is nil and only the
// version is checked; if Delete is set, the row is deleted.
type Write struct {
	Key    Key
	Expect uint64
	Body   Body
	Check  bool
	Delete bool
}

// Outcome is what is known about the effect of a table operation.
type Outcome int

// The outcomes.
const (
	Done        Outcome = iota // the write took effect, or the rows were read
	Conflict                   // a condition was not met; nothing was written
	NotExecuted                // certainly not executed, as nothing was sent
	Unknown                    // may or may not have taken effect
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"done", "conflict", "not-done", "unknown"}[o]
}

// SessionState is the state of a session.
type SessionState string

// The session states.
const (
	SessionLive  SessionState = "live"
	SessionEnded SessionState = "ended" // ended by its instance or taken over: owns nothing
)

// Session is the row of an instance's session lease. Other rows name the session as
// the owner of what the instance owns; that ownership ends with the session.
type Session struct {
	Instance id.Instance   `json:"instance"`
	Zone     id.Zone       `json:"zone"`
	Address  string        `json:"address"`
	Fencing  id.Fencing    `json:"fencing"`
	Renewal  uint64        `json:"renewal"` // grows with each renewal; an instance that may take over compares two readings on its own clock, so wall clocks don't matter
	Term     time.Duration `json:"term"`
	State    SessionState  `json:"state"`
	EndedBy  id.Instance   `json:"ended_by,omitempty"`
}

// Slot is the row of a rate slot. Each slot stands for an equal part of every client
// account's rate and burst, which the slot's holder may spend.
type Slot struct {
	Zone    id.Zone     `json:"zone"`
	Index   int         `json:"index"`
	Holder  id.Instance `json:"holder,omitempty"` // "": none
	Fencing id.Fencing  `json:"fencing"`
}

// ReservationState is the state of a reservation.
type ReservationState string

// The reservation states.
const (
	Decided   ReservationState = "decided"   // load decided; its order may be in progress
	Withdrawn ReservationState = "withdrawn" // unload decided; the memory counts until a report shows it free
)

// Reservation is memory reserved on a backend server for an artifact. It is written
// before the load order is sent, and removed only after the engine's report shows
// that the artifact is completely unloaded.
type Reservation struct {
	Artifact id.Artifact      `json:"artifact"`
	Order    id.Order         `json:"order"`
	Bytes    int64            `json:"bytes"`
	State    ReservationState `json:"state"`
}

// Backend is the row of one backend server.
type Backend struct {
	Name         id.Backend    `json:"name"`
	Zone         id.Zone       `json:"zone"`
	Owner        id.Instance   `json:"owner,omitempty"`
	Fencing      id.Fencing    `json:"fencing"`
	Bytes        int64         `json:"bytes"` // memory available for artifacts
	Reservations []Reservation `json:"reservations,omitempty"`
	// Standby lists the artifacts whose pre-authorised replica is on this server.
	// They share StandbyBytes of memory, which always counts as reserved.
	Standby      []id.Artifact `json:"standby,omitempty"`
	StandbyBytes int64         `json:"standby_bytes,omitempty"`
}

// Replica is the row of an artifact in an availability zone. It lists the backend
// servers where the artifact may be loaded: those in Decided, and Standby, whose
// owner may load it without a table operation.
type Replica struct {
	Zone     id.Zone      `json:"zone"`
	Artifact id.Artifact  `json:"artifact"`
	Decided  []id.Backend `json:"decided,omitempty"`
	Standby  id.Backend   `json:"standby,omitempty"`
}

// Head is the row that names the newest configuration version.
type Head struct {
	Version id.ConfigVersion `json:"version"`
}

// Version is the row of an accepted configuration change.
type Version struct {
	Version      id.ConfigVersion `json:"version"`
	ApplyID      string           `json:"apply_id"` // of the operator's apply, which recognises its own write by it after a lost response
	Author       string           `json:"author"`
	Change       []byte           `json:"change,omitempty"`    // encoded change, if small
	ChangeObject id.Digest        `json:"object_of,omitempty"` // otherwise the object that holds the change
	Snapshot     id.Digest        `json:"snapshot,omitempty"`  // object with the full configuration, set on some versions only
}

// OnceState is the state of a non-idempotent call.
type OnceState string

// The states of a non-idempotent call.
const (
	OnceRunning OnceState = "running" // may have been sent
	OnceDone    OnceState = "done"    // completed; the row holds the answer
	OnceUnknown OnceState = "unknown" // sent, and the outcome can't be determined
	OnceNotRun  OnceState = "not-run" // certainly never sent; the idempotency key may be used again
)

// Once is the row of a non-idempotent call.
type Once struct {
	Account     id.Account  `json:"account"`
	Key         string      `json:"key"`
	Digest      id.Digest   `json:"digest"` // of method, path and body
	Holder      id.Instance `json:"holder"`
	Attempt     id.Attempt  `json:"attempt"`
	State       OnceState   `json:"state"`
	Status      int         `json:"status,omitempty"` // HTTP status of the outcome
	ContentType string      `json:"type,omitempty"`   // media type of the outcome
	Body        []byte      `json:"body,omitempty"`
	// Unconfirmed is set if nothing but the end of the connection ended Body,
	// which may be cut.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

func (Session) kind() Kind { return KindSession }
func (Slot) kind() Kind    { return KindSlot }
func (Backend) kind() Kind { return KindBackend }
func (Replica) kind() Kind { return KindReplica }
func (Head) kind() Kind    { return KindHead }
func (Version) kind() Kind { return KindVersion }
func (Once) kind() Kind    { return KindOnce }

// KindOf returns the kind of row that b belongs to.
func KindOf(b Body) Kind { return b.kind() }
