package logs

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Dependency is something that a process can't do without. It writes a line
// when the dependency is lost and one when it is regained, and none between:
// while a store is away every call fails, and each says the same.
type Dependency struct {
	log  zerolog.Logger
	lost atomic.Bool
}

// NewDependency returns a Dependency that is there.
func NewDependency(log zerolog.Logger, name string) *Dependency {
	return &Dependency{log: log.With().Str("dependency", name).Logger()}
}

// Saw takes whether a call of it succeeded.
func (d *Dependency) RecordResult(ok bool) {
	switch {
	case !ok && d.lost.CompareAndSwap(false, true):
		d.log.Warn().Msg("store: lost")
	case ok && d.lost.CompareAndSwap(true, false):
		d.log.Info().Msg("store: reached again")
	}
}

// Dependencies are dependencies of one kind that come and go.
type Dependencies struct {
	log  zerolog.Logger
	mu   sync.Mutex
	lost map[string]bool
}

// NewDependencies returns Dependencies that are all there.
func NewDependencies(log zerolog.Logger, kind string) *Dependencies {
	return &Dependencies{log: log.With().Str("dependency", kind).Logger(), lost: make(map[string]bool)}
}

// maxLost bounds the names that are remembered as lost; names that never come
// back are not told apart from others.
const maxLostNames = 1000

// Saw takes whether a call of the one with a name succeeded.
func (d *Dependencies) RecordResult(name string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !ok && !d.lost[name]:
		if len(d.lost) >= maxLostNames {
			clear(d.lost)
		}
		d.lost[name] = true
		d.log.Warn().Str("server", name).Msg("servers: lost")
	case ok && d.lost[name]:
		delete(d.lost, name)
		d.log.Info().Str("server", name).Msg("servers: reached again")
	}
}
