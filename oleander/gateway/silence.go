package gateway

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// silenceFactor times the heartbeat interval is how long another instance is silent until this
	// one checks whether its process has ended.
	silenceFactor = 1.5
	// endedDialTimeout bounds the check. A machine that lives refuses at once for a process that
	// has ended.
	endedDialTimeout = 300 * time.Millisecond
)

// checkSilent checks whether other instances have ended that are silent.
func (g *Gateway) checkSilent(now clock.Time) {
	g.mu.Lock()
	silence := time.Duration(silenceFactor * float64(heartbeatIntervalFor(g.members.Count())))
	doubtful := g.members.Doubtful(now, silence)
	g.mu.Unlock()
	for _, m := range doubtful {
		go g.checkEnded(m)
	}
}

// checkEnded drops what an instance runs and waits for if its process has ended: its slots would
// count as taken until it is missed.
func (g *Gateway) checkEnded(m members.Member) {
	c, err := net.DialTimeout("tcp", m.Address, endedDialTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return // the path to it may be cut
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if known := g.members.Get(m.Name); known == nil || known.LastHeard != m.LastHeard {
		return
	}
	g.log.Info().Str("peer", m.Name).Dur("silent", now.Sub(m.LastHeard)).Msg("peers: instance has ended, its slots are free")
	g.dispatcher.ForgetInstance(now, m.Name)
	g.ownQueues.ForgetInstance(now, m.Name)
	g.wakeWaiting()
	g.scheduleServing(&g.dispatcher)
}
