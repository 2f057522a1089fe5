package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/process/metric"
)

// logDecision logs a decision of the core that concerns a request, the readiness or
// the configuration. The core gives its reasons as values; this is the only place
// that turns them into log messages.
func logDecision(log zerolog.Logger, now clock.Time, e event.Effect) {
	switch e := e.(type) {
	case event.Dispatch:
		metric.RecordQueueWait(e.Basis.Waited)
		withBasis(log.Info(), e.Basis).Str("request", string(e.Request)).Str("attempt", string(e.Attempt)).Str("server", string(e.Backend)).
			Bool("once", e.AtMostOnce).Int64("left_ms", e.Deadline.Sub(now).Milliseconds()).Msg("core: request sent on")
	case event.Refuse:
		withRefusal(withBasis(log.Warn(), e.Basis), e.Refusal).Str("request", string(e.Request)).Msg("core: request refused")
	case event.Cancel:
		withRefusal(withBasis(log.Warn(), e.Basis), e.Refusal).Str("request", string(e.Request)).Str("attempt", string(e.Attempt)).
			Msg("core: attempt cancelled")
	case event.Answer:
		withBasis(log.Info(), e.Basis).Str("request", string(e.Request)).Int("status", e.Status).Bool("replay", e.Replay).
			Msg("core: request answered by its record")
	case event.Ready:
		log.Info().Bool("ready", e.Ready).Msg("daemon: readiness changed")
	case event.ConfigApplied:
		log.Info().Uint64("version", uint64(e.Config.Version)).Msg("config: version in force")
	}
}

// withBasis adds the fields that a decision was based on.
func withBasis(e *zerolog.Event, b event.Basis) *zerolog.Event {
	e = e.Str("stage", string(b.Stage)).Uint64("config", uint64(b.ConfigVersion)).Int64("waited_ms", b.Waited.Milliseconds()).Int("tries", b.Attempts)
	if b.Account != "" {
		e = e.Str("account", string(b.Account))
	}
	// The core reports a version that was never confirmed with a huge age.
	if b.ConfigAge < neverConfirmedAge {
		e = e.Int64("config_age_ms", b.ConfigAge.Milliseconds())
	}
	return e
}

// neverConfirmedAge is longer than any instance runs. An age from here on means
// that the version was never confirmed.
const neverConfirmedAge = 10 * 365 * 24 * time.Hour

// withRefusal adds the fields of a refusal.
func withRefusal(e *zerolog.Event, r event.Refusal) *zerolog.Event {
	e = e.Str("reason", string(r.Reason)).Str("run", string(r.Execution))
	if r.RetryAfter > 0 {
		e = e.Int64("retry_after_ms", r.RetryAfter.Milliseconds())
	}
	if r.Detail != "" {
		e = e.Str("detail", r.Detail)
	}
	return e
}

// logOrder logs the result of an order to an engine.
func logOrder(log zerolog.Logger, e event.OrderBackend, result string) {
	log.Info().Str("server", string(e.Backend)).Str("order", string(e.Kind)).Str("model", string(e.Artifact)).
		Str("id", string(e.Order)).Uint64("fencing", uint64(e.Fencing)).Str("answer", result).Msg("placement: order")
}
