// Package event defines what goes into the core (events) and what comes out of
// it (effects). Both are typed values; the program around the core turns them
// into calls, messages and timers, and tests turn them into whatever they like.
package event

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Event is one input of an instance.
type Event interface{ event() }

// Effect is one output of an instance.
type Effect interface{ effect() }

// Part names the part of an instance that a table operation belongs to.
type Component string

// The parts.
const (
	ComponentSession   Component = "session"
	ComponentRate      Component = "rate"
	ComponentConfig    Component = "config"
	ComponentPlacement Component = "placement"
	ComponentOnce      Component = "once"
)

// Op names one operation of an instance on the table service.
type Op struct {
	Component Component
	Seq       uint64
}

// Member is one entry of the platform's instance list.
type Member struct {
	Name    string
	Address string // host:port
	Zone    id.Zone
	Group   id.Group // of a backend server; "" for an entry instance
	Leaving bool
}

// Call is what the front read of a caller's request. The body stays there.
type Call struct {
	Request         id.Request
	KeyDigest       id.Digest
	Artifact        id.Artifact // one of Artifact and Service is set
	Service         id.Service
	Class           config.Class // "": the account's
	Deadline        clock.Time
	PromptTokens    int
	MaxOutputTokens int       // limit asked for; 0: the model's
	BodyDigest      id.Digest // of method, path and body
	PrefixHash      uint64    // of the prompt's first part
	IdempotencyKey  string
}

// The events.
type (
	// Woken says that the time asked for by SetTimer has come.
	TimerFired struct{}
	// PeerMessage is a message from another instance.
	PeerMessage struct {
		From    id.Instance
		Message message.Message
	}
	// TableResult answers TableRead, TableScan or TableCommit. Rows holds what
	// was read; absent rows are left out.
	TableResult struct {
		Op      Op
		Outcome table.Outcome
		Rows    []table.Row
	}
	// ObjectResult answers ObjectGet. OK is false if it could not be read.
	ObjectResult struct {
		Digest id.Digest
		OK     bool
		Body   []byte
	}
	// ConfigDecoded hands in a configuration change or snapshot that the
	// program decoded for a DecodeConfig effect. Err is not empty if it can't be.
	ConfigDecoded struct {
		Version id.ConfigVersion
		Config  *config.Config
		Err     string
	}
	// ConfigEncoded answers EncodeConfig. Err is not empty if it can't be encoded.
	ConfigEncoded struct {
		Version  id.ConfigVersion
		Snapshot []byte
		Err      string
	}
	// ListRead is a reading of the platform's instance list.
	InstanceListRead struct{ Members []Member }
	// CallArrived is a caller's request.
	CallArrived struct{ Call Call }
	// CallerGone says that the caller closed its connection.
	CallerDisconnected struct{ Request id.Request }
	// AttemptStarted says that the first part of the answer reached the caller.
	AttemptStarted struct {
		Request id.Request
		Attempt id.Attempt
	}
	// AttemptEnded says how an attempt ended.
	AttemptEnded struct {
		Request id.Request
		Attempt id.Attempt
		Result  AttemptResult
		// Answered reports whether any part of the answer reached the caller.
		ResponseStarted bool
		// Leaving reports whether the server said that it takes no new work.
		Leaving bool
		// Generated counts the tokens of the answer.
		GeneratedTokens int
		// Status, Type and Body hold the answer of a non-idempotent call.
		Status      int
		ContentType string
		Body        []byte
	}
	// OutcomeTold answers AskOutcome. Known is false if the service could not
	// be asked or knows nothing of the call.
	StatusResult struct {
		Request     id.Request
		Known       bool
		Status      int
		ContentType string
		Body        []byte
	}
	// BackendReport is an engine's own report, read by its owner.
	BackendReport struct {
		Backend id.Backend
		// Asked is when the report was asked for: it shows all that was
		// carried out before.
		RequestedAt clock.Time
		OK          bool // false: it could not be read
		Report      message.Report
	}
	// OrderAnswered answers OrderBackend.
	OrderAnswered struct {
		Backend id.Backend
		Order   id.Order
		Result  OrderResult
	}
	// StopRequested asks for a graceful shutdown.
	StopRequested struct{}
)

// AttemptResult says how an attempt ended.
type AttemptResult int

// The results of an attempt.
const (
	AttemptCompleted AttemptResult = iota // the whole answer reached the caller
	AttemptNotSent                        // surely nothing was sent to the backend server
	AttemptRefused                        // the backend server refused before running it
	AttemptBroken                         // the connection broke after sending
	AttemptCancelled                      // ended by Cancel or by the caller
	AttemptCrashed                        // broken, and the server does not answer any more
)

// String names a result for logs.
func (r AttemptResult) String() string {
	return [...]string{"whole", "not-sent", "refused", "broken", "cancelled", "crashed"}[r]
}

// OrderResult says what is known of an order.
type OrderResult int

// The results of an order.
const (
	OrderAccepted     OrderResult = iota // the engine will carry it out; its report tells when
	OrderRefused                         // refused for lack of room or an unknown artifact
	OrderStaleFencing                    // refused: a larger fencing number was seen
	OrderUnknown                         // may or may not be carried out, now or later
)

// String names a result for logs and metrics.
func (r OrderResult) String() string {
	return [...]string{"accepted", "refused", "old-fencing", "unknown"}[r]
}

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	// OrderFence does nothing but raise the fencing number that a checking
	// engine has seen.
	OrderFence OrderKind = "fence"
)

// Ran says what a refusal states about the call.
type Execution string

// What a refusal may state.
const (
	NotRun     Execution = "not-run"
	MayHaveRun Execution = "unknown"
)

// Reason says why a call was refused.
type Reason string

// The reasons.
const (
	ReasonUnknownKey       Reason = "key"            // unknown or withdrawn key
	ReasonNotApproved      Reason = "approval"       // the account may not call this
	ReasonNoTarget         Reason = "no-such-target" // no such model, adapter or service
	ReasonOverRate         Reason = "rate"           // over the account's rate and burst
	ReasonDeadline         Reason = "deadline"       // can't be served in time
	ReasonQueueFull        Reason = "queue-full"
	ReasonNoBackend        Reason = "no-backend" // no backend server can be reached
	ReasonCrash            Reason = "crashes"    // it crashed backend servers
	ReasonKeyReuse         Reason = "idempotency-key-reuse"
	ReasonKeyMissing       Reason = "idempotency-key-missing"
	ReasonTableUnavailable Reason = "table-unavailable" // a once-only call can't be recorded now
	ReasonRunningElsewhere Reason = "running-elsewhere" // the same call is under way
	ReasonOutcomeUnknown   Reason = "outcome-unknown"
	ReasonInterrupted      Reason = "broken"   // the answer broke off
	ReasonStopping         Reason = "stopping" // the instance is shutting down or not ready
	ReasonIsolated         Reason = "isolated" // cut off for longer than the account allows
)

// Stage is how far a request came.
type Stage string

// The stages.
const (
	StageAdmission Stage = "admission" // not admitted yet
	StageRate      Stage = "rate"      // waits for tokens
	StageTurn      Stage = "turn"      // waits for a turn at a backend server
	StageOnce      Stage = "once"      // its record is being written to the table
	StageServer    Stage = "server"    // sent to a backend server
)

// Basis is what a decision on a request rested on, for explaining it later.
type Basis struct {
	Stage         Stage
	Account       id.Account       // "" before the key was checked
	Waited        time.Duration    // since the request arrived
	Attempts      int              // times that it was sent before
	ConfigVersion id.ConfigVersion // in force; 0: none
	ConfigAge     time.Duration    // since it was last known to be the newest
}

// Refusal is the final answer to a call that is not served.
type Refusal struct {
	Reason     Reason
	Execution  Execution
	RetryAfter time.Duration // 0: no use to come back
	Detail     string        // a sentence for the caller; holds no key and no prompt
}

// The effects.
type (
	// SetTimer asks for Woken at At; it replaces the time asked for before.
	SetTimer struct{ At clock.Time }
	// SendPeer sends a message to another instance. It may be lost.
	SendPeer struct {
		To      id.Instance
		Message message.Message
	}
	// TableRead reads rows by key, consistently.
	TableRead struct {
		Op   Op
		Keys []table.Key
	}
	// TableScan reads all rows of a kind whose ID starts with Prefix.
	TableScan struct {
		Op     Op
		Kind   table.Kind
		Prefix string
	}
	// TableCommit carries out a transaction: all writes or none.
	TableCommit struct {
		Op     Op
		Writes []table.Write
	}
	// ObjectGet reads an object by its digest.
	ObjectGet struct{ Digest id.Digest }
	// DecodeConfig asks for ConfigDecoded: Change applied to Base, or Snapshot
	// decoded if it is not nil.
	DecodeConfig struct {
		Version  id.ConfigVersion
		Base     *config.Config
		Change   []byte
		Snapshot []byte
	}
	// EncodeConfig asks for ConfigEncoded: the whole of Config as a snapshot.
	EncodeConfig struct{ Config *config.Config }
	// Dispatch sends a waiting request to a backend server.
	Dispatch struct {
		Request id.Request
		Attempt id.Attempt
		Backend id.Backend
		Address string
		Account id.Account
		// Once forbids any repeat below, and wants the whole answer in
		// AttemptEnded before the caller gets it.
		Once bool
		// Deadline ends the attempt.
		Deadline clock.Time
		Basis    Basis
	}
	// Answer gives the caller a whole answer that the core holds.
	Answer struct {
		Request     id.Request
		Status      int
		ContentType string
		Body        []byte
		Replay      bool // the answer of an earlier call with the same key
		Basis       Basis
	}
	// Refuse gives the caller a final refusal; the request is over.
	Refuse struct {
		Request id.Request
		Refusal Refusal
		Basis   Basis
	}
	// Cancel ends a running attempt: the engine's work is cancelled, and the
	// caller gets Refusal as an explicit error if its answer is not whole.
	Cancel struct {
		Request id.Request
		Attempt id.Attempt
		Refusal Refusal
		Basis   Basis
	}
	// AskOutcome asks a plain service what came of a non-idempotent call.
	QueryStatus struct {
		Request id.Request
		Address string
		Path    string // with the idempotency key
		Account id.Account
	}
	// OrderBackend orders a backend server to load or unload. NotAfter is the
	// last moment at which it may still be sent.
	OrderBackend struct {
		Backend  id.Backend
		Address  string
		Order    id.Order
		Kind     OrderKind
		Artifact id.Artifact
		Fencing  id.Fencing
		NotAfter clock.Time
	}
	// AskReport asks for the engine's own report.
	FetchReport struct {
		Backend id.Backend
		Address string
	}
	// Ready says whether the instance takes calls.
	Ready struct{ Ready bool }
	// InForce says that a configuration version is in force here.
	ConfigApplied struct{ Config *config.Config }
	// Stopped says that nothing is left to do and the process may exit.
	Stopped struct{}
)

func (TimerFired) event()         {}
func (PeerMessage) event()        {}
func (TableResult) event()        {}
func (ObjectResult) event()       {}
func (ConfigDecoded) event()      {}
func (ConfigEncoded) event()      {}
func (InstanceListRead) event()   {}
func (CallArrived) event()        {}
func (CallerDisconnected) event() {}
func (AttemptStarted) event()     {}
func (AttemptEnded) event()       {}
func (StatusResult) event()       {}
func (BackendReport) event()      {}
func (OrderAnswered) event()      {}
func (StopRequested) event()      {}

func (SetTimer) effect()      {}
func (SendPeer) effect()      {}
func (TableRead) effect()     {}
func (TableScan) effect()     {}
func (TableCommit) effect()   {}
func (ObjectGet) effect()     {}
func (DecodeConfig) effect()  {}
func (EncodeConfig) effect()  {}
func (Dispatch) effect()      {}
func (Answer) effect()        {}
func (Refuse) effect()        {}
func (Cancel) effect()        {}
func (QueryStatus) effect()   {}
func (OrderBackend) effect()  {}
func (FetchReport) effect()   {}
func (Ready) effect()         {}
func (ConfigApplied) effect() {}
func (Stopped) effect()       {}

// Outbox collects the effects of one event, in order.
type Outbox struct{ effects []Effect }

// Add appends an effect.
func (o *Outbox) Add(e Effect) { o.effects = append(o.effects, e) }

// Send appends a message to another instance.
func (o *Outbox) Send(to id.Instance, m message.Message) {
	o.Add(SendPeer{To: to, Message: m})
}

// Take returns the collected effects and empties the outbox.
func (o *Outbox) Take() []Effect {
	e := o.effects
	o.effects = nil
	return e
}
