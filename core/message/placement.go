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

// LoadState is the state of an artifact on a model engine.
type LoadState string

// The load states.
const (
	Loading   LoadState = "loading"
	Loaded    LoadState = "loaded"
	Unloading LoadState = "unloading"
)

// HeldArtifact is an artifact that occupies memory of a model engine.
type HeldArtifact struct {
	Artifact id.Artifact `cbor:"1,keyasint" json:"artifact"`
	State    LoadState   `cbor:"2,keyasint" json:"state"`
	Order    id.Order    `cbor:"3,keyasint,omitempty" json:"order,omitempty"`
	Bytes    int64       `cbor:"4,keyasint" json:"bytes"`
	Running  int         `cbor:"5,keyasint,omitempty" json:"running"`
	// Idle is the time since its last request ended; 0 while one is running.
	Idle time.Duration `cbor:"6,keyasint,omitempty" json:"idle"`
	// Uses counts the requests run with it since it was loaded.
	Uses uint64 `cbor:"7,keyasint,omitempty" json:"uses"`
}

// CacheLevel is the storage in which a checkpoint is available to a backend
// server.
type CacheLevel string

// The cache levels, the fastest first.
const (
	CacheMemory CacheLevel = "memory"
	CacheDisk   CacheLevel = "disk"
	CacheRemote CacheLevel = "remote"
)

// CachedArtifact is a checkpoint cached on a backend server.
type CachedArtifact struct {
	Artifact id.Artifact `cbor:"1,keyasint" json:"artifact"`
	Level    CacheLevel  `cbor:"2,keyasint" json:"level"`
}

// Report is the state that a model engine reports of itself.
type Report struct {
	Fencing id.Fencing       `cbor:"1,keyasint" json:"fencing"` // largest seen, if the engine checks fencing numbers
	Bytes   int64            `cbor:"2,keyasint" json:"bytes"`   // memory for artifacts
	Held    []HeldArtifact   `cbor:"3,keyasint,omitempty" json:"held"`
	Cached  []CachedArtifact `cbor:"4,keyasint,omitempty" json:"cached"`
	Running int              `cbor:"5,keyasint" json:"running"`
	Leaving bool             `cbor:"6,keyasint,omitempty" json:"leaving"`
	BootID  string           `cbor:"7,keyasint" json:"boot"` // changes with each start of the engine
}

// LoadRequest asks the owner of a backend server to load an artifact there. The
// owner of the queue repeats it while requests wait; it is idempotent.
type LoadRequest struct {
	Backend        id.Backend    `cbor:"1,keyasint"`
	Artifact       id.Artifact   `cbor:"2,keyasint"`
	Class          config.Class  `cbor:"3,keyasint"` // most urgent class of the requests that wait
	TimeToDeadline time.Duration `cbor:"4,keyasint"` // until the earliest deadline of the requests that wait
	Waiting        int           `cbor:"5,keyasint"` // number of requests that wait
	Version        uint64        `cbor:"6,keyasint,omitempty"`
	// Forwarded says that the owner of another backend server forwarded the
	// request, since the pre-authorised replica is on this one. It is not
	// forwarded again.
	Forwarded bool `cbor:"7,keyasint,omitempty"`
	// Waited is the time for which requests have been waiting for the artifact.
	Waited time.Duration `cbor:"8,keyasint,omitempty"`
}

// BackendState is the state of a backend server, sent by its owner to the
// instances of the availability zone. Seq grows with each one sent; a message that
// is older than the last one received is dropped.
type BackendState struct {
	Backend   id.Backend `cbor:"1,keyasint"`
	Fencing   id.Fencing `cbor:"2,keyasint"`
	Seq       uint64     `cbor:"3,keyasint"`
	Report    Report     `cbor:"4,keyasint"`
	FreeBytes int64      `cbor:"5,keyasint"` // bytes neither reserved nor held
	Down      bool       `cbor:"6,keyasint,omitempty"`
	// RowVersion is the version of the backend server's row that the sender
	// uses. Row is that row, omitted if unchanged since it was last sent.
	RowVersion uint64         `cbor:"7,keyasint,omitempty"`
	Row        *table.Backend `cbor:"8,keyasint,omitempty"`
	// CachedUnchanged says that Report.Cached is omitted because it has not
	// changed since it was last sent.
	CachedUnchanged bool `cbor:"9,keyasint,omitempty"`
}

// LoadsInTransit tells how many loads on the sender's backend servers are reading
// from the weight store.
type LoadsInTransit struct {
	Models     int          `cbor:"1,keyasint"`
	Adapters   int          `cbor:"2,keyasint"`
	MostUrgent config.Class `cbor:"3,keyasint,omitempty"` // most urgent class of the loads that wait to start
}

func (LoadRequest) message()    {}
func (BackendState) message()   {}
func (LoadsInTransit) message() {}
