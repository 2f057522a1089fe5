package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/core/gateway/intake"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/core/gateway/reservation"
	"oleanderdale.org/oleander/process/boottime"
)

// instruments are the metrics of one gateway, in their own set.
type instruments struct {
	set             *metrics.Set
	connections     *metrics.Counter
	retriesDenied   *metrics.Counter
	leaseTaken      *metrics.Counter
	leaseTakenEarly *metrics.Counter // of them after the shorter wait in a new era of the store
	leaseLost       *metrics.Counter
	damagedMessages *metrics.Counter
	quotaSpent      *metrics.Counter
	quotaRefunded   *metrics.Counter
	quotaDenied     *metrics.Counter
	quotaUnknown    *metrics.Counter
	coldStarts      *metrics.Counter
	memoryRefused   *metrics.Counter
	// linkCuts counts the times when no server was reached on an own link, and relayed the
	// connections to servers that were opened for other instances.
	linkCuts, relayed *metrics.Counter
	// crashTrials counts the sends of requests that are refused since servers crashed under them.
	crashTrials *metrics.Counter
	// probesDenied counts the sends that were put off since another copy of the request ran, which may
	// crash its server, and originsUnknown the streams that were not taken up since nobody knew
	// at which software version they began.
	probesDenied, originsUnknown *metrics.Counter
	// slowReaders counts the responses that ended because their callers did not read them.
	slowReaders *metrics.Counter
	// dispatcherTimeouts counts the dispatch requests that were never answered.
	dispatcherTimeouts *metrics.Counter
	// uninformedChoices counts the dispatcher's choices of a server of which this instance
	// knows a rate limit, or that it leaves, and the dispatcher does not.
	uninformedChoices *metrics.Counter
	// ownDecisions counts the requests that this instance's own queues decided on, since no
	// dispatcher answered, and ownQueuesLeft those that then went to a dispatcher.
	ownDecisions, ownQueuesLeft *metrics.Counter
	// cachedTokens counts the prompt tokens that the chosen servers were expected to have in
	// their cache.
	cachedTokens  *metrics.Counter
	queueWait     *metrics.Histogram
	configVersion atomic.Uint64
	lag           atomic.Int64 // a time.Duration
}

// unconfirmedEnd counts a response that ended with its connection, by what became of its server.
func (m *instruments) unconfirmedEnd(s ending.ServerState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("oleanderd_unconfirmed_ends_total{server=%q}", s)).Inc()
}

func newMetrics() *instruments {
	s := metrics.NewSet()
	return &instruments{
		set:             s,
		connections:     s.NewCounter("oleanderd_server_connections_opened_total"),
		retriesDenied:   s.NewCounter("oleanderd_repeats_denied_total"),
		leaseTaken:      s.NewCounter("oleanderd_lease_taken_total"),
		leaseTakenEarly: s.NewCounter("oleanderd_lease_taken_early_total"),
		leaseLost:       s.NewCounter("oleanderd_lease_lost_total"),
		damagedMessages: s.NewCounter("oleanderd_peer_messages_damaged_total"),
		quotaSpent:      s.NewCounter("oleanderd_quota_spent_total"), quotaRefunded: s.NewCounter("oleanderd_quota_refunded_total"),
		quotaDenied: s.NewCounter("oleanderd_quota_denied_total"), quotaUnknown: s.NewCounter("oleanderd_quota_unknown_total"),
		coldStarts:         s.NewCounter("oleanderd_cold_starts_total"),
		memoryRefused:      s.NewCounter("oleanderd_memory_refused_total"),
		linkCuts:           s.NewCounter("oleanderd_link_cuts_total"),
		relayed:            s.NewCounter("oleanderd_connections_relayed_total"),
		crashTrials:        s.NewCounter("oleanderd_crash_trials_total"),
		probesDenied:       s.NewCounter("oleanderd_crash_probes_denied_total"),
		originsUnknown:     s.NewCounter("oleanderd_stream_origins_unknown_total"),
		slowReaders:        s.NewCounter("oleanderd_slow_readers_total"),
		dispatcherTimeouts: s.NewCounter("oleanderd_dispatcher_silent_total"),
		uninformedChoices:  s.NewCounter("oleanderd_choices_uninformed_total"),
		ownDecisions:       s.NewCounter("oleanderd_own_queue_requests_total"),
		ownQueuesLeft:      s.NewCounter("oleanderd_own_queue_moved_total"),
		cachedTokens:       s.NewCounter("oleanderd_prompt_tokens_cached_total"),
		queueWait:          s.NewHistogram("oleanderd_queue_wait_seconds"),
	}
}

func (i *instruments) violation(name string) *metrics.Counter {
	return i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_invariant_violations_total{name=%q}`, name))
}

func (i *instruments) storeCall(what string, ok bool, took time.Duration) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_store_calls_total{call=%q,ok="%t"}`, what, ok)).Inc()
	i.set.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_store_call_seconds{call=%q}`, what)).Update(took.Seconds())
}

// serversTransfer counts the transfers of all servers between instances: given, received
// or refused.
func (i *instruments) serversTransfer(result string) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_servers_transfers_total{result=%q}`, result)).Inc()
}

// silentEnds counts the servers that ended without a broken connection, by what showed it.
func (i *instruments) silentEnds(evidence string) *metrics.Counter {
	return i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_silent_ends_total{evidence=%q}`, evidence))
}

// returnPlace is where a caller had been refused.
type returnPlace string

// Places of refusals.
const (
	returnAtLimit   returnPlace = "limit"   // at the limit of its account
	returnAtServers returnPlace = "servers" // in the queues for servers
)

// recordReturn counts a request whose caller had been told when to return.
func (i *instruments) recordReturn(place returnPlace, s reservation.Status) {
	if s != reservation.New {
		i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_returns_total{place=%q,status=%q}`, place, s)).Inc()
	}
}

// evicted counts connections that were closed to make room for others.
func (i *instruments) evicted(p eviction.Phase) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_connections_evicted_total{phase=%q}`, p)).Inc()
}

// closedUnread counts connections of callers that were not taken.
func (i *instruments) closedUnread(why intake.Verdict) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_connections_closed_unread_total{reason=%q}`, why)).Inc()
}

func (i *instruments) attempt(r attemptResult) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_attempts_total{result=%q}`, r)).Inc()
}

func (i *instruments) peerBytes(kind string, n int, otherZone bool) {
	zone := "own"
	if otherZone {
		zone = "other"
	}
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_peer_bytes_sent_total{kind=%q,zone=%q}`, kind, zone)).Add(n)
}

func (i *instruments) order(kind string, a placer.OrderResult) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_orders_total{kind=%q,result=%q}`, kind, a)).Inc()
}

// pauseChoice counts a choice of a server in which pauses had a part.
func (i *instruments) pauseChoice(effect directory.PauseEffect) {
	if effect != directory.PausesAlike {
		i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_choices_by_pause_total{pauses=%q}`, effect)).Inc()
	}
}

func (i *instruments) report(ok bool) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_engine_reports_total{ok="%t"}`, ok)).Inc()
}

func (i *instruments) request(why reason, took time.Duration) {
	i.set.GetOrCreateCounter(fmt.Sprintf(`oleanderd_requests_total{reason=%q}`, why)).Inc()
	i.set.GetOrCreateHistogram(fmt.Sprintf(`oleanderd_request_seconds{reason=%q}`, why)).Update(took.Seconds())
}

// write writes all metrics in the Prometheus text format.
func (i *instruments) write(w io.Writer, g *Gateway) {
	i.set.WritePrometheus(w)
	g.mu.Lock()
	now := boottime.Now()
	holds, waits, members := g.fleetLease.Holds(now), len(g.localDemand), g.members.Count()
	left, promised := g.retryBudget.Remaining(now, members), len(g.expectedRetries)
	quotas := g.limiter.Status()
	forecast, own := g.dispatcher.Forecast(), g.ownQueues.Forecast()
	limited, slow := g.limitedServerCount(), g.slowServerCount(now)
	blamed, refused := g.poison.Blamed(now), g.poison.Refused(now)
	era, closed := uint64(g.storeEra.current), uint64(g.closedZoneCount(now))
	g.mu.Unlock()
	metrics.WriteGaugeUint64(w, "oleanderd_store_era", era)
	metrics.WriteGaugeUint64(w, "oleanderd_zones_evacuated", closed)
	metrics.WriteGaugeUint64(w, "oleanderd_shared_blamed", uint64(blamed))
	metrics.WriteGaugeUint64(w, "oleanderd_requests_refused_for_crashes", uint64(refused))
	metrics.WriteGaugeUint64(w, "oleanderd_servers_limited", uint64(limited))
	metrics.WriteCounterUint64(w, "oleanderd_queue_refused_total", forecast.Refused)
	metrics.WriteCounterUint64(w, "oleanderd_queue_in_time_total", forecast.InTime)
	metrics.WriteCounterUint64(w, "oleanderd_queue_late_total", forecast.Late)
	metrics.WriteCounterUint64(w, "oleanderd_own_queue_refused_total", own.Refused)
	metrics.WriteCounterUint64(w, "oleanderd_own_queue_in_time_total", own.InTime)
	metrics.WriteCounterUint64(w, "oleanderd_own_queue_late_total", own.Late)
	metrics.WriteGaugeFloat64(w, "oleanderd_queue_forecast_error_seconds", forecast.MeanError.Seconds())
	metrics.WriteGaugeFloat64(w, "oleanderd_queue_forecast_correction", forecast.Correction)
	metrics.WriteGaugeUint64(w, "oleanderd_servers_slow", uint64(slow))
	metrics.WriteGaugeUint64(w, "oleanderd_config_version", i.configVersion.Load())
	metrics.WriteGaugeFloat64(w, "oleanderd_lag_seconds", time.Duration(i.lag.Load()).Seconds())
	metrics.WriteGaugeUint64(w, "oleanderd_caller_connections", uint64(g.openConnections()))
	metrics.WriteGaugeUint64(w, "oleanderd_requests_active", uint64(g.activeRequests.Load()))
	held := g.memory.status()
	metrics.WriteGaugeUint64(w, "oleanderd_memory_held_bytes", uint64(held.Held))
	metrics.WriteGaugeUint64(w, "oleanderd_connection_memory_held_bytes", uint64(held.ConnectionBytes))
	metrics.WriteGaugeUint64(w, "oleanderd_memory_bodies_waiting", uint64(held.WaitingBodies))
	metrics.WriteGaugeUint64(w, "oleanderd_memory_responses_waiting", uint64(held.WaitingResponses))
	metrics.WriteGaugeUint64(w, "oleanderd_models_waited_for", uint64(waits))
	metrics.WriteGaugeUint64(w, "oleanderd_instances_known", uint64(members))
	metrics.WriteGaugeUint64(w, "oleanderd_models_promised", uint64(promised))
	metrics.WriteGaugeFloat64(w, "oleanderd_repeats_left", left)
	metrics.WriteGaugeUint64(w, "oleanderd_quota_accounts_owned", uint64(quotas.Owned))
	metrics.WriteGaugeUint64(w, "oleanderd_quota_requests_waiting", uint64(quotas.Waiting))
	metrics.WriteGaugeFloat64(w, "oleanderd_quota_reserved_tokens", quotas.Reserved)
	metrics.WriteCounterUint64(w, "oleanderd_quota_granted_from_reserve_total", quotas.FromReserve)
	metrics.WriteCounterUint64(w, "oleanderd_quota_refused_for_reserve_total", quotas.ForReserve)
	metrics.WriteCounterUint64(w, "oleanderd_quota_refused_early_total", quotas.Early)
	if heard := g.configConfirmedAt.Load(); heard != 0 {
		metrics.WriteGaugeFloat64(w, "oleanderd_config_age_seconds", now.Sub(clock.Time(heard)).Seconds())
	}
	if g.settings.DroppedLogLines != nil {
		metrics.WriteCounterUint64(w, "oleanderd_log_lines_left_out_total", uint64(g.settings.DroppedLogLines()))
	}
	lease := uint64(0)
	if holds {
		lease = 1
	}
	metrics.WriteGaugeUint64(w, "oleanderd_lease_held", lease)
	metrics.WriteProcessMetrics(w)
}
