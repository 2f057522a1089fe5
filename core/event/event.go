// Package event defines the inputs of the core (events) and its outputs (effects).
// Both are plain values: the process that runs the core translates them from and to
// calls, messages and timers, and tests can simulate all of these.
package event

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/table"
)

// Event is an input of an instance.
type Event interface{ event() }

// Effect is an output of an instance.
type Effect interface{ effect() }

// Component names the component of an instance that a table operation belongs to.
type Component string

// The components.
const (
	ComponentSession   Component = "session"
	ComponentRate      Component = "rate"
	ComponentConfig    Component = "config"
	ComponentPlacement Component = "placement"
	ComponentOnce      Component = "once"
)

// Op identifies one operation of an instance on the table service.
type Op struct {
	Component Component
	Seq       uint64
}

// Member is an entry of the platform's instance list: an entry instance or a
// backend server.
type Member struct {
	Name    string
	Address string // host:port
	Zone    id.Zone
	Group   id.Group // group of a backend server; "" for an entry instance
	Leaving bool
}

// Call describes a caller's request as read by the front, which keeps the body.
type Call struct {
	Request         id.Request
	KeyDigest       id.Digest
	Artifact        id.Artifact // either Artifact or Service is set
	Service         id.Service
	Class           config.Class // "": the class of the account
	Deadline        clock.Time
	PromptTokens    int
	MaxOutputTokens int       // limit given by the caller; 0: the model's
	BodyDigest      id.Digest // of method, path and body
	PrefixHash      uint64    // of the beginning of the prompt
	IdempotencyKey  string
}

// The events.
type (
	// TimerFired says that the time of the last SetTimer has come.
	TimerFired struct{}
	// PeerMessage is a message from another instance.
	PeerMessage struct {
		From    id.Instance
		Message message.Message
	}
	// TableResult is the result of TableRead, TableScan or TableCommit. Rows
	// holds the rows read; rows that don't exist are omitted.
	TableResult struct {
		Op      Op
		Outcome table.Outcome
		Rows    []table.Row
	}
	// ObjectResult is the result of ObjectGet. OK is false if the object could
	// not be read.
	ObjectResult struct {
		Digest id.Digest
		OK     bool
		Body   []byte
	}
	// ConfigDecoded is the result of DecodeConfig. Err is not empty if decoding
	// failed.
	ConfigDecoded struct {
		Version id.ConfigVersion
		Config  *config.Config
		Err     string
	}
	// ConfigEncoded is the result of EncodeConfig. Err is not empty if encoding
	// failed.
	ConfigEncoded struct {
		Version  id.ConfigVersion
		Snapshot []byte
		Err      string
	}
	// InstanceListRead carries the platform's instance list as just read.
	InstanceListRead struct{ Members []Member }
	// CallArrived says that a caller's request has arrived.
	CallArrived struct{ Call Call }
	// CallerDisconnected says that the caller closed its connection.
	CallerDisconnected struct{ Request id.Request }
	// AttemptStarted says that the first part of the answer reached the caller.
	AttemptStarted struct {
		Request id.Request
		Attempt id.Attempt
	}
	// AttemptEnded says that an attempt ended, and how.
	AttemptEnded struct {
		Request id.Request
		Attempt id.Attempt
		Result  AttemptResult
		// ResponseStarted reports whether any part of the answer reached the
		// caller.
		ResponseStarted bool
		// Leaving reports whether the backend server said that it takes no new
		// work.
		Leaving bool
		// GeneratedTokens is the number of tokens of the answer.
		GeneratedTokens int
		// Status, ContentType and Body hold the answer to a non-idempotent call.
		Status      int
		ContentType string
		Body        []byte
		// Unconfirmed is set if nothing but the end of the connection ended Body,
		// which may be cut.
		Unconfirmed bool
	}
	// StatusResult is the result of QueryStatus. Known is false if the service
	// could not be asked or does not know the call.
	StatusResult struct {
		Request     id.Request
		Known       bool
		Status      int
		ContentType string
		Body        []byte
	}
	// BackendReport is the result of FetchReport.
	BackendReport struct {
		Backend id.Backend
		// RequestedAt is when the report was requested. The report reflects
		// every order carried out before.
		RequestedAt clock.Time
		OK          bool // false: the report could not be read
		Report      message.Report
	}
	// OrderAnswered is the result of OrderBackend.
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
	AttemptNotSent                        // certainly nothing was sent to the backend server
	AttemptRefused                        // the backend server refused the request before running it
	AttemptBroken                         // the connection broke after sending
	AttemptCancelled                      // cancelled by Cancel or by the caller
	AttemptCrashed                        // the connection broke, and the server no longer responds
)

// String returns the name of the result as used in logs.
func (r AttemptResult) String() string {
	return [...]string{"whole", "not-sent", "refused", "broken", "cancelled", "crashed"}[r]
}

// OrderResult says what is known about an order.
type OrderResult int

// The results of an order.
const (
	OrderAccepted     OrderResult = iota // the engine will carry it out; its report shows when it has
	OrderRefused                         // refused: not enough memory, or unknown artifact
	OrderStaleFencing                    // refused: the engine has seen a larger fencing number
	OrderUnknown                         // may have been carried out, or may still be
)

// String returns the name of the result as used in logs and metrics.
func (r OrderResult) String() string {
	return [...]string{"accepted", "refused", "old-fencing", "unknown"}[r]
}

// OrderKind is the operation that an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	// OrderFence only raises the largest fencing number that an engine has seen,
	// if it checks fencing numbers.
	OrderFence OrderKind = "fence"
)

// Execution says whether a refused call may have run.
type Execution string

// The values of Execution.
const (
	// NotRun says that the call certainly did not run.
	NotRun Execution = "not-run"
	// MayHaveRun says that the call may have run, fully or in part.
	MayHaveRun Execution = "unknown"
)

// Reason says why a call was refused.
type Reason string

// The reasons.
const (
	ReasonUnknownKey       Reason = "key"            // unknown or withdrawn key
	ReasonNotApproved      Reason = "approval"       // the account is not approved to call this
	ReasonNoTarget         Reason = "no-such-target" // no such model, adapter or service
	ReasonOverRate         Reason = "rate"           // the account's rate and burst are exceeded
	ReasonDeadline         Reason = "deadline"       // can't be served before its deadline
	ReasonQueueFull        Reason = "queue-full"
	ReasonNoBackend        Reason = "no-backend" // no backend server is reachable
	ReasonCrash            Reason = "crashes"    // backend servers crashed while they ran it
	ReasonKeyReuse         Reason = "idempotency-key-reuse"
	ReasonKeyMissing       Reason = "idempotency-key-missing"
	ReasonTableUnavailable Reason = "table-unavailable" // a non-idempotent call can't be recorded now
	ReasonRunningElsewhere Reason = "running-elsewhere" // a call with the same idempotency key is running
	ReasonOutcomeUnknown   Reason = "outcome-unknown"   // a non-idempotent call may have run
	ReasonInterrupted      Reason = "broken"            // the answer was interrupted
	ReasonStopping         Reason = "stopping"          // the instance is shutting down or not ready
	ReasonIsolated         Reason = "isolated"          // the zone is cut off for longer than the account's ServeFor
)

// Stage is the processing step that a request is in.
type Stage string

// The stages.
const (
	StageAdmission Stage = "admission" // not admitted yet
	StageRate      Stage = "rate"      // waits for tokens from the rate limiter
	StageTurn      Stage = "turn"      // waits for a turn at a backend server
	StageOnce      Stage = "once"      // non-idempotent: its record or outcome is being written to the table
	StageServer    Stage = "server"    // sent to a backend server
)

// Basis is the state that a decision on a request was based on, recorded to explain
// the decision later.
type Basis struct {
	Stage         Stage
	Account       id.Account       // "" if the key was not checked yet
	Waited        time.Duration    // since the request arrived
	Attempts      int              // attempts made before
	ConfigVersion id.ConfigVersion // configuration in use; 0: none
	ConfigAge     time.Duration    // since that version was last confirmed to be the newest
}

// Refusal is the final answer to a call that is not served.
type Refusal struct {
	Reason     Reason
	Execution  Execution
	RetryAfter time.Duration // 0: a retry won't help
	Detail     string        // explanation for the caller; contains neither key nor prompt
}

// The effects.
type (
	// SetTimer asks for TimerFired at At. It replaces the previous SetTimer.
	SetTimer struct{ At clock.Time }
	// SendPeer sends a message to another instance. Delivery is not guaranteed.
	SendPeer struct {
		To      id.Instance
		Message message.Message
	}
	// TableRead reads rows by key with strong consistency.
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
	// TableCommit executes a transaction: all writes take effect, or none.
	TableCommit struct {
		Op     Op
		Writes []table.Write
	}
	// ObjectGet reads an object by its digest.
	ObjectGet struct{ Digest id.Digest }
	// DecodeConfig asks for ConfigDecoded with Snapshot decoded or, if that is
	// nil, with Change applied to Base.
	DecodeConfig struct {
		Version  id.ConfigVersion
		Base     *config.Config
		Change   []byte
		Snapshot []byte
	}
	// EncodeConfig asks for ConfigEncoded with a snapshot of Config.
	EncodeConfig struct{ Config *config.Config }
	// Dispatch sends an open request to a backend server.
	Dispatch struct {
		Request id.Request
		Attempt id.Attempt
		Backend id.Backend
		Address string
		Account id.Account
		// Once is set for a non-idempotent call: the transport must not retry
		// it, and the whole answer must come in AttemptEnded, before any of it
		// goes to the caller.
		AtMostOnce bool
		// Deadline is when the attempt is aborted.
		Deadline clock.Time
		Basis    Basis
	}
	// Answer sends the caller a whole answer that the core holds.
	Answer struct {
		Request     id.Request
		Status      int
		ContentType string
		Body        []byte
		// Unconfirmed is set if nothing but the end of the connection ended Body,
		// which may be cut.
		Unconfirmed bool
		Replay      bool // the answer of an earlier call with the same key
		Basis       Basis
	}
	// Refuse sends the caller a refusal as its final answer.
	Refuse struct {
		Request id.Request
		Refusal Refusal
		Basis   Basis
	}
	// Cancel cancels a running attempt, including the work of the engine. The
	// caller gets Refusal as an explicit error unless it has the whole answer.
	Cancel struct {
		Request id.Request
		Attempt id.Attempt
		Refusal Refusal
		Basis   Basis
	}
	// QueryStatus asks a plain service for the outcome of a non-idempotent call.
	QueryStatus struct {
		Request id.Request
		Address string
		Path    string // ends with the idempotency key
		Account id.Account
	}
	// OrderBackend sends an order to a backend server. It must not be sent after
	// NotAfter.
	OrderBackend struct {
		Backend  id.Backend
		Address  string
		Order    id.Order
		Kind     OrderKind
		Artifact id.Artifact
		Fencing  id.Fencing
		NotAfter clock.Time
	}
	// FetchReport asks for BackendReport with the engine's report of itself.
	FetchReport struct {
		Backend id.Backend
		Address string
	}
	// Ready says whether the instance accepts calls.
	Ready struct{ Ready bool }
	// ConfigApplied says that the instance now uses Config.
	ConfigApplied struct{ Config *config.Config }
	// Stopped says that the shutdown is complete and the process may exit.
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

// Outbox collects effects in the order in which they were added.
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
