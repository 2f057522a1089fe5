package logs

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
)

// Dependency logs the availability of a service that the process depends on. It logs
// a line when calls start to fail and one when they succeed again, but none for
// further failures in between, which would only repeat the first.
type Dependency struct {
	log  zerolog.Logger
	lost atomic.Bool
}

// NewDependency returns a Dependency that is available at first.
func NewDependency(log zerolog.Logger, name string) *Dependency {
	return &Dependency{log: log.With().Str("dependency", name).Logger()}
}

// RecordResult records whether a call of the dependency succeeded.
func (d *Dependency) RecordResult(ok bool) {
	switch {
	case !ok && d.lost.CompareAndSwap(false, true):
		d.log.Warn().Msg("store: lost")
	case ok && d.lost.CompareAndSwap(true, false):
		d.log.Info().Msg("store: reached again")
	}
}

// Dependencies logs the availability of dependencies of one kind whose set changes,
// such as servers.
type Dependencies struct {
	log  zerolog.Logger
	mu   sync.Mutex
	lost map[string]bool
}

// NewDependencies returns Dependencies that are all available at first.
func NewDependencies(log zerolog.Logger, kind string) *Dependencies {
	return &Dependencies{log: log.With().Str("dependency", kind).Logger(), lost: make(map[string]bool)}
}

// maxLostNames limits the names remembered as lost, since names of servers that were
// removed never become available again. When it is reached, all are forgotten.
const maxLostNames = 1000

// RecordResult records whether a call of the named dependency succeeded.
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
