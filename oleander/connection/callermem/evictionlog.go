package callermem

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/eviction"
)

// reasonMadeWay is the reason of connections that made way for others, in logs.
const reasonMadeWay = "made-way"

// evictionLogInterval is the time between two log lines about connections that made way for others.
const evictionLogInterval = time.Second

// evictionLog sums up connections that made way for others.
type evictionLog struct {
	mu       sync.Mutex
	counts   map[eviction.Phase]int
	most     float64
	loggedAt time.Time
}

// add counts a connection in a phase that was so far behind, as a multiple of the time allowed.
func (l *evictionLog) add(log zerolog.Logger, p eviction.Phase, behind float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[eviction.Phase]int)
	}
	l.counts[p]++
	l.most = max(l.most, behind)
	if time.Since(l.loggedAt) < evictionLogInterval {
		return
	}
	e := log.Warn().Str("reason", reasonMadeWay).Float64("most_behind", l.most)
	for phase, n := range l.counts {
		e = e.Int(phase.String(), n)
	}
	e.Msg("callers: connections closed to make room")
	l.loggedAt, l.most = time.Now(), 0
	clear(l.counts)
}
