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

// maxRuns is how many runs are kept for Runs, the newest.
const maxRecordedRuns = 1 << 17

// Violations counts what an engine must never be asked.
type Violations struct {
	Overcommit     int `json:"overcommit"`      // loads ordered beyond the memory
	DuplicateLoad  int `json:"double_load"`     // loads ordered while the artifact was loading by another order
	APIKeySeen     int `json:"key_seen"`        // a caller's key in a header, the query or the body
	AccountMissing int `json:"account_missing"` // calls without AccountHeader
}

// Account counts what the engine did for a client account, in tokens.
type AccountUsage struct {
	Runs            int `json:"runs"`
	PromptTokens    int `json:"prompt_tokens"`
	GeneratedTokens int `json:"generated_tokens"`
}

// RunEnd says how a run ended.
type RunOutcome string

// The ends of a run.
const (
	RunCompleted   RunOutcome = "whole"
	RunCancelled   RunOutcome = "cancelled" // the connection was closed by the other side
	RunInterrupted RunOutcome = "broken"    // by a fault knob
	RunCrashed     RunOutcome = "crashed"   // the engine crashed meanwhile
)

// Run is one call that started to run.
type Run struct {
	Account         string      `json:"account"`
	Attempt         string      `json:"attempt"`
	Artifact        id.Artifact `json:"artifact"`
	Digest          string      `json:"digest"` // of RequestDigest
	Offset          int         `json:"offset"` // token that it started at
	PromptTokens    int         `json:"prompt_tokens"`
	GeneratedTokens int         `json:"generated_tokens"`
	StartedAt       time.Time   `json:"started"`
	EndedAt         time.Time   `json:"ended"` // zero while it runs
	Outcome         RunOutcome  `json:"end"`   // "" while it runs
}

// Usage counts loads and times since the start of the stand-in.
type Usage struct {
	Loads        map[message.CacheLevel]int `json:"loads"` // by where the checkpoint came from
	Crashes      int                        `json:"crashes"`
	StaleFencing int                        `json:"old_fencing"` // orders refused for an old fencing number
	Cancelled    int                        `json:"cancelled"`   // runs that ended with RunCancelled
	// LoadedTime adds up how long artifacts were loaded, IdleTime how long of
	// that nothing ran on them; both over all artifacts, in nanoseconds.
	LoadedTime time.Duration `json:"loaded_time"`
	IdleTime   time.Duration `json:"idle_time"`
}

// record holds what the stand-in tells an oracle. It survives crashes.
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

func (r *recorder) endIdle(h *heldArtifact, now time.Time) {
	if h.idleSince.IsZero() {
		return
	}
	r.usage.IdleTime += now.Sub(h.idleSince)
	h.idleSince = time.Time{}
}

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

// Violations returns what was asked that must never be.
func (e *Engine) Violations() Violations {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recorder.violations
}

// Accounts returns what was done for each client account.
func (e *Engine) Accounts() map[string]AccountUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.recorder.accounts)
}

// Runs returns the newest runs, the oldest of them first.
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

// noteKey counts a violation if a caller's key is anywhere in the request.
func (e *Engine) checkAPIKey(r *http.Request, body []byte) {
	if !serve.ContainsAPIKey(r, body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recorder.violations.APIKeySeen++
}
