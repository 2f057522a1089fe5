package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/process/metric"
)

// logDecision writes the line of a decision of the core that touches a request
// or changes what the instance believes. The core gives its reasons as values;
// they are worded here only.
func logDecision(log zerolog.Logger, now clock.Time, e event.Effect) {
	switch e := e.(type) {
	case event.Dispatch:
		metric.RecordQueueWait(e.Basis.Waited)
		withBasis(log.Info(), e.Basis).Str("request", string(e.Request)).Str("attempt", string(e.Attempt)).Str("server", string(e.Backend)).
			Bool("once", e.Once).Int64("left_ms", e.Deadline.Sub(now).Milliseconds()).Msg("core: request sent on")
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
	case event.InForce:
		log.Info().Uint64("version", uint64(e.Config.Version)).Msg("config: version in force")
	}
}

// based adds what a decision rested on.
func withBasis(e *zerolog.Event, b event.Basis) *zerolog.Event {
	e = e.Str("stage", string(b.Stage)).Uint64("config", uint64(b.Config)).Int64("waited_ms", b.Waited.Milliseconds()).Int("tries", b.Tries)
	if b.Account != "" {
		e = e.Str("account", string(b.Account))
	}
	// An age of centuries says that the version was never confirmed.
	if b.ConfigAge < neverConfirmedAge {
		e = e.Int64("config_age_ms", b.ConfigAge.Milliseconds())
	}
	return e
}

// neverConfirmed is longer than any instance runs.
const neverConfirmedAge = 10 * 365 * 24 * time.Hour

func withRefusal(e *zerolog.Event, r event.Refusal) *zerolog.Event {
	e = e.Str("reason", string(r.Reason)).Str("run", string(r.Ran))
	if r.RetryAfter > 0 {
		e = e.Int64("retry_after_ms", r.RetryAfter.Milliseconds())
	}
	if r.Detail != "" {
		e = e.Str("detail", r.Detail)
	}
	return e
}

// logOrder writes what became of an order to an engine.
func logOrder(log zerolog.Logger, e event.OrderBackend, result string) {
	log.Info().Str("server", string(e.Backend)).Str("order", string(e.Kind)).Str("model", string(e.Artifact)).
		Str("id", string(e.Order)).Uint64("fencing", uint64(e.Fencing)).Str("answer", result).Msg("placement: order")
}
