package message

import (
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// placementTypes are numbered 60 to 79.
var placementTypes = map[Kind]Message{
	60: LoadRequest{},
	61: BackendState{},
	62: LoadsInTransit{},
}

// LoadState is how far an artifact is on an engine.
type LoadState string

// The load states.
const (
	Loading   LoadState = "loading"
	Loaded    LoadState = "loaded"
	Unloading LoadState = "unloading"
)

// Held is one artifact on an engine.
type HeldArtifact struct {
	Artifact id.Artifact `cbor:"1,keyasint" json:"artifact"`
	State    LoadState   `cbor:"2,keyasint" json:"state"`
	Order    id.Order    `cbor:"3,keyasint,omitempty" json:"order,omitempty"`
	Bytes    int64       `cbor:"4,keyasint" json:"bytes"`
	Running  int         `cbor:"5,keyasint,omitempty" json:"running"`
	// Idle is the time since its last request ended, 0 while one runs.
	Idle time.Duration `cbor:"6,keyasint,omitempty" json:"idle"`
	// Uses counts the requests that it has run since it was loaded.
	Uses uint64 `cbor:"7,keyasint,omitempty" json:"uses"`
}

// CacheLevel is where a checkpoint is cached on a backend server.
type CacheLevel string

// The cache levels, the fastest first.
const (
	CacheMemory CacheLevel = "memory"
	CacheDisk   CacheLevel = "disk"
	CacheRemote CacheLevel = "remote"
)

// Cached is a checkpoint cached on a backend server.
type CachedArtifact struct {
	Artifact id.Artifact `cbor:"1,keyasint" json:"artifact"`
	Level    CacheLevel  `cbor:"2,keyasint" json:"level"`
}

// Report is an engine's own report of itself.
type Report struct {
	Fencing id.Fencing       `cbor:"1,keyasint" json:"fencing"` // largest seen, if it checks
	Bytes   int64            `cbor:"2,keyasint" json:"bytes"`
	Held    []HeldArtifact   `cbor:"3,keyasint,omitempty" json:"held"`
	Cached  []CachedArtifact `cbor:"4,keyasint,omitempty" json:"cached"`
	Running int              `cbor:"5,keyasint" json:"running"`
	Leaving bool             `cbor:"6,keyasint,omitempty" json:"leaving"`
	BootID  string           `cbor:"7,keyasint" json:"boot"` // changes with each start of the engine
}

// Want asks the owner of a backend server to load an artifact there. The queue
// owner sends it again while requests wait; it is idempotent.
type LoadRequest struct {
	Backend        id.Backend    `cbor:"1,keyasint"`
	Artifact       id.Artifact   `cbor:"2,keyasint"`
	Class          config.Class  `cbor:"3,keyasint"` // most urgent class waiting
	TimeToDeadline time.Duration `cbor:"4,keyasint"` // earliest deadline waiting
	Waiting        int           `cbor:"5,keyasint"`
	Version        uint64        `cbor:"6,keyasint,omitempty"`
	// Forwarded says that the owner of another backend server passed it on,
	// since this one has the pre-authorised replica. It is not passed on twice.
	Forwarded bool `cbor:"7,keyasint,omitempty"`
	// Waited is how long requests have been waiting for it.
	Waited time.Duration `cbor:"8,keyasint,omitempty"`
}

// BackendState is what the owner of a backend server tells the instances of
// its availability zone about it. Seq grows; an older one is dropped.
type BackendState struct {
	Backend   id.Backend `cbor:"1,keyasint"`
	Fencing   id.Fencing `cbor:"2,keyasint"`
	Seq       uint64     `cbor:"3,keyasint"`
	Report    Report     `cbor:"4,keyasint"`
	FreeBytes int64      `cbor:"5,keyasint"` // bytes neither reserved nor held
	Down      bool       `cbor:"6,keyasint,omitempty"`
	// RowVersion is the version of the backend server's row that the sender
	// acts on. Row is that row; it is left out while it is the same.
	RowVersion uint64         `cbor:"7,keyasint,omitempty"`
	Row        *table.Backend `cbor:"8,keyasint,omitempty"`
	// SameCached says that Report.Cached is left out, being as last told.
	CachedUnchanged bool `cbor:"9,keyasint,omitempty"`
}

// LoadsInTransit says how many loads of the sender's backend servers draw on
// the weight store now.
type LoadsInTransit struct {
	Models     int          `cbor:"1,keyasint"`
	Adapters   int          `cbor:"2,keyasint"`
	MostUrgent config.Class `cbor:"3,keyasint,omitempty"` // most urgent one that still waits
}

func (LoadRequest) message()    {}
func (BackendState) message()   {}
func (LoadsInTransit) message() {}
