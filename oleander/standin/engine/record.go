package engine

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/standin/internal/serve"
)

// maxRecordedRuns is the number of runs that are kept for Runs. When it is reached,
// the older half is discarded.
const maxRecordedRuns = 1 << 17

// Violations counts requests that an engine must never receive.
type Violations struct {
	Overcommit     int `json:"overcommit"`      // orders to load beyond the memory
	DuplicateLoad  int `json:"double_load"`     // orders to load an artifact that was loading by another order
	APIKeySeen     int `json:"key_seen"`        // requests with a caller's API key in a header, the path, the query or the body
	AccountMissing int `json:"account_missing"` // calls without AccountHeader
}

// AccountUsage counts the runs and tokens of a client account.
type AccountUsage struct {
	Runs            int `json:"runs"`
	PromptTokens    int `json:"prompt_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}

// RunOutcome says how a run ended.
type RunOutcome string

// Outcomes of a run.
const (
	RunCompleted   RunOutcome = "whole"
	RunCancelled   RunOutcome = "cancelled" // the caller closed the connection
	RunInterrupted RunOutcome = "broken"    // ended early by an injected fault
	RunCrashed     RunOutcome = "crashed"   // the engine crashed during the run
)

// Run is a call that was accepted.
type Run struct {
	Account         string      `json:"account"`
	Attempt         string      `json:"attempt"`
	Artifact        id.Artifact `json:"artifact"`
	Digest          string      `json:"digest"` // result of RequestDigest
	Offset          int         `json:"offset"` // index of the first token to generate
	PromptTokens    int         `json:"prompt_tokens"`
	GeneratedTokens int         `json:"generated_tokens"`
	StartedAt       time.Time   `json:"started"`
	EndedAt         time.Time   `json:"ended"` // zero while it runs
	Outcome         RunOutcome  `json:"end"`   // "" while it runs
}

// Usage counts loads, crashes and times since the start of the stand-in.
type Usage struct {
	Loads        map[message.CacheLevel]int `json:"loads"` // by the level that the checkpoint was loaded from
	Crashes      int                        `json:"crashes"`
	StaleFencing int                        `json:"old_fencing"` // orders refused for a stale fencing number
	Cancelled    int                        `json:"cancelled"`   // runs that ended with RunCancelled
	// LoadedTime is the time that artifacts were loaded, IdleTime the part of it
	// in which no call ran on them. Both are sums over all artifacts, in
	// nanoseconds.
	LoadedTime time.Duration `json:"loaded_time"`
	IdleTime   time.Duration `json:"idle_time"`
}

// recorder holds the history that tests check. It is kept in a crash.
type recorder struct {
	violations Violations
	usage      Usage
	accounts   map[string]AccountUsage
	runs       []*Run
}

func newRecorder() recorder {
	return recorder{
		usage:    Usage{Loads: make(map[message.CacheLevel]int)},
		accounts: make(map[string]AccountUsage),
	}
}

func (r *recorder) countLoad(level message.CacheLevel) { r.usage.Loads[level]++ }

// endIdle adds the idle time of h up to now, if it is idle.
func (r *recorder) endIdle(h *heldArtifact, now time.Time) {
	if h.idleSince.IsZero() {
		return
	}
	r.usage.IdleTime += now.Sub(h.idleSince)
	h.idleSince = time.Time{}
}

// endLoaded adds the loaded and idle time of h up to now, when h is removed.
func (r *recorder) endLoaded(h *heldArtifact, now time.Time) {
	r.endIdle(h, now)
	if !h.loadedAt.IsZero() {
		r.usage.LoadedTime += now.Sub(h.loadedAt)
	}
}

func (r *recorder) startRun(run *Run) {
	if len(r.runs) == maxRecordedRuns {
		r.runs = slices.Delete(r.runs, 0, maxRecordedRuns/2)
	}
	r.runs = append(r.runs, run)
	a := r.accounts[run.Account]
	a.Runs++
	a.PromptTokens += run.PromptTokens
	r.accounts[run.Account] = a
}

func (r *recorder) countToken(run *Run) {
	run.GeneratedTokens++
	a := r.accounts[run.Account]
	a.GeneratedTokens++
	r.accounts[run.Account] = a
}

func (r *recorder) endRun(run *Run, outcome RunOutcome) {
	run.Outcome = outcome
	run.EndedAt = time.Now()
	if outcome == RunCancelled {
		r.usage.Cancelled++
	}
}

// Violations returns the number of requests that must never be received.
func (e *Engine) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.violations
}

// Accounts returns the usage of each client account.
func (e *Engine) Accounts() map[string]AccountUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.recorder.accounts)
}

// Runs returns the newest runs, oldest first.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Run, 0, len(e.recorder.runs))
	for _, r := range e.recorder.runs {
		out = append(out, *r)
	}
	return out
}

// Usage returns the counts and times up to now.
func (e *Engine) Usage() Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.recorder.usage
	u.Loads = maps.Clone(u.Loads)
	now := time.Now()
	for _, h := range e.held {
		if !h.loadedAt.IsZero() {
			u.LoadedTime += now.Sub(h.loadedAt)
		}
		if !h.idleSince.IsZero() {
			u.IdleTime += now.Sub(h.idleSince)
		}
	}
	return u
}

// checkAPIKey counts a violation if the request contains a caller's API key.
func (e *Engine) checkAPIKey(r *http.Request, body []byte) {
	if !serve.ContainsAPIKey(r, body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.violations.APIKeySeen++
}
