package gateway

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/lag"
	"oleanderdale.org/core/gateway/quota"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/process/schedwait"
)

const (
	// loggedLag is the lag from which an instance is logged as late.
	loggedLag = 50 * time.Millisecond
	// lagLogInterval is the time between two log lines about it.
	lagLogInterval = time.Second
)

// measureLag measures until the gateway ends how late this instance is.
func (g *Gateway) measureLag() {
	var logged clock.Time
	waits := schedwait.New()
	g.mu.Lock()
	g.lag.Started(boottime.Now())
	g.mu.Unlock()
	for g.sleep(lag.Interval) {
		g.mu.Lock()
		now := boottime.Now()
		g.lag.Ticked(now, waits.Longest())
		g.updateIntake(now)
		processor, trips := g.lag.Processor(now, now.Add(-lagLogInterval)), g.lag.Trips(now)
		g.mu.Unlock()
		g.metrics.lag.Store(int64(max(processor, trips)))
		if max(processor, trips) >= loggedLag && now.Sub(logged) >= lagLogInterval {
			logged = now
			g.log.Warn().Int64("processor_ms", processor.Milliseconds()).Int64("quickest_answer_ms", trips.Milliseconds()).
				Int64("caller_connections", g.callerConns.Load()).Int64("active", g.activeRequests.Load()).Msg("lag: this instance is late")
		}
	}
}

// recordTrip records how long the owner of an account took to grant what it had tokens for. The
// caller holds mu.
func (g *Gateway) recordTrip(o quota.Outcome) {
	if o.Verdict == quota.Granted && o.Owner != g.settings.Name && o.QueuedTokens == 0 {
		g.lag.Answered(boottime.Now(), o.Waited)
	}
}
