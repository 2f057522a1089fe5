// Package table defines, for the core, what it keeps in the platform's
// transactional table service: typed rows, conditional transactions over
// several rows, and what an answer can say. The client behind it is elsewhere.
package table

import (
	"time"

	"oleanderdale.org/core/id"
)

// Kind is a family of rows.
type Kind string

// The row families.
const (
	KindSession Kind = "session" // ID: instance; Session
	KindSlot    Kind = "slot"    // ID: zone/index; Slot
	KindBackend Kind = "backend" // ID: backend server; Backend
	KindReplica Kind = "replica" // ID: zone/artifact; Replica
	KindHead    Kind = "head"    // ID: HeadID; Head
	KindVersion Kind = "version" // ID: %020d of the version; Version
	KindOnce    Kind = "order"   // ID: account/idempotency key; Once
)

// HeadID is the ID of the one row of KindHead.
const HeadID = "config"

// Key names one row.
type Key struct {
	Kind Kind
	ID   string
}

// Body is the typed content of a row: one of the structs of this package.
type Body interface{ kind() Kind }

// Row is a row as read. Version grows by one with each write, starting at 1.
type Row struct {
	Key     Key
	Version uint64
	Body    Body
}

// Write is one conditional write of a transaction. Expect is the version that
// the row must have; 0 means that it must be absent. A nil Body with Check set
// only checks; with Delete set the row is removed.
type Write struct {
	Key    Key
	Expect uint64
	Body   Body
	Check  bool
	Delete bool
}

// Outcome is what is known of a table operation.
type Outcome int

// The outcomes.
const (
	Done        Outcome = iota // took effect, or was read
	Conflict                   // a condition failed; nothing was written
	NotExecuted                // surely not carried out (nothing was sent)
	Unknown                    // may or may not have taken effect
)

// String names the outcome.
func (o Outcome) String() string {
	return [...]string{"done", "conflict", "not-done", "unknown"}[o]
}

// SessionState says whether a session still owns anything.
type SessionState string

// The session states.
const (
	SessionLive  SessionState = "live"
	SessionEnded SessionState = "ended" // stopped, or taken over: owns nothing
)

// Session is the one lease of an instance. What the instance owns elsewhere
// names the session and is void once the session has ended.
type Session struct {
	Instance id.Instance   `json:"instance"`
	Zone     id.Zone       `json:"zone"`
	Address  string        `json:"address"`
	Fencing  id.Fencing    `json:"fencing"`
	Renewal  uint64        `json:"renewal"` // grows with each renewal; a taker compares readings, no wall clock is involved
	Term     time.Duration `json:"term"`
	State    SessionState  `json:"state"`
	EndedBy  id.Instance   `json:"ended_by,omitempty"`
}

// Slot is one part of every client account's rate and burst: the account's
// rate divided by the number of slots. Whoever holds the slot spends it.
type Slot struct {
	Zone    id.Zone     `json:"zone"`
	Index   int         `json:"index"`
	Holder  id.Instance `json:"holder,omitempty"` // "": nobody
	Fencing id.Fencing  `json:"fencing"`
}

// ReservationState says what is known of a reservation.
type ReservationState string

// The reservation states.
const (
	Decided   ReservationState = "decided"   // load decided; an order may be under way
	Withdrawn ReservationState = "withdrawn" // unload decided; still counted until a report shows it gone
)

// Reservation is memory set aside on a backend server for one artifact. It is
// written before the order goes out and removed only after the engine's own
// report shows that nothing of it is left.
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
	Bytes        int64         `json:"bytes"` // memory for artifacts
	Reservations []Reservation `json:"reservations,omitempty"`
	// Standby lists the artifacts whose pre-authorised replica is here; they
	// share StandbyBytes, which is counted as reserved at all times.
	Standby      []id.Artifact `json:"standby,omitempty"`
	StandbyBytes int64         `json:"standby_bytes,omitempty"`
}

// Replica is the row of one artifact in one availability zone: where it may be
// loaded. Standby is the one place where the owner may load it without asking
// the table; it counts as decided.
type Replica struct {
	Zone     id.Zone      `json:"zone"`
	Artifact id.Artifact  `json:"artifact"`
	Decided  []id.Backend `json:"decided,omitempty"`
	Standby  id.Backend   `json:"standby,omitempty"`
}

// Head names the newest configuration.
type Head struct {
	Version id.ConfigVersion `json:"version"`
}

// Version is one accepted configuration change.
type Version struct {
	Version      id.ConfigVersion `json:"version"`
	ApplyID      string           `json:"apply_id"` // of the apply that wrote it, to recognise it after a lost answer
	Author       string           `json:"author"`
	Change       []byte           `json:"change,omitempty"`    // encoded config.Change, if small
	ChangeObject id.Digest        `json:"object_of,omitempty"` // otherwise: the object that holds it
	Snapshot     id.Digest        `json:"snapshot,omitempty"`  // object with the whole configuration, now and then
}

// OnceState is how far a non-idempotent call came.
type OnceState string

// The states of a non-idempotent call.
const (
	OnceRunning OnceState = "running" // may have been sent
	OnceDone    OnceState = "done"    // Outcome holds the answer
	OnceUnknown OnceState = "unknown" // sent, and nobody can tell what came of it
	OnceNotRun  OnceState = "not-run" // surely never sent; the key may be used again
)

// Once is the row of one non-idempotent call.
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
}

func (Session) kind() Kind { return KindSession }
func (Slot) kind() Kind    { return KindSlot }
func (Backend) kind() Kind { return KindBackend }
func (Replica) kind() Kind { return KindReplica }
func (Head) kind() Kind    { return KindHead }
func (Version) kind() Kind { return KindVersion }
func (Once) kind() Kind    { return KindOnce }

// KindOf returns the family that a body belongs to.
func KindOf(b Body) Kind { return b.kind() }
