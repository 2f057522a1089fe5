package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
	"oleanderdale.org/core/version"
	"oleanderdale.org/oleander/version/configcodec"
)

// deadlineGrace is how long after the deadline a final response may still
// arrive: the instance enforces the deadline, the response then takes time to
// reach the caller, and a non-idempotent call may wait briefly for its outcome
// to be stored.
const deadlineGrace = 1500 * time.Millisecond

// Publish makes c the newest configuration in the table.
func (f *Fleet) Publish(c *config.Config) {
	old := &config.Config{}
	head, ok := f.Table.rows[version.HeadKey()]
	if ok {
		old = f.Config
		c.Version = head.Body.(table.Head).Version + 1
	} else {
		c.Version = 1
	}
	change, err := configcodec.EncodeChange(version.Diff(old, c))
	if err != nil {
		panic(err)
	}
	row := table.Version{Version: c.Version, ApplyID: fmt.Sprint(c.Version), Change: change}
	if version.HasSnapshot(c.Version) {
		row.Snapshot = f.putSnapshot(c)
	}
	key := version.RowKey(c.Version)
	f.Table.rows[key] = table.Row{Key: key, Version: 1, Body: row}
	f.Table.rows[version.HeadKey()] = table.Row{Key: version.HeadKey(), Version: head.Version + 1, Body: table.Head{Version: c.Version}}
	f.Config = c
}

// putSnapshot stores a snapshot of a configuration as an object.
func (f *Fleet) putSnapshot(c *config.Config) id.Digest {
	body, err := configcodec.EncodeSnapshot(c)
	if err != nil {
		panic(err)
	}
	d := id.Digest(fmt.Sprintf("snapshot-%d", c.Version))
	f.objects[d] = body
	return d
}

// Violations returns everything that must not happen and did: what the simulated
// services found during the run, and what a comparison of the responses with the
// records of the servers shows.
func (f *Fleet) Violations() []string {
	for _, c := range f.Calls {
		f.checkCall(c)
	}
	f.checkSingleRuns()
	for _, name := range slices.Sorted(maps.Keys(f.Config.Accounts)) {
		f.checkRate(f.largestLimits(f.Config.Accounts[name]))
	}
	return f.violations
}

// checkCall checks that a call got exactly one final response, in time, and that
// a refusal tells the truth.
func (f *Fleet) checkCall(c *Call) {
	switch {
	case c.connectionLost || c.disconnected:
		return
	case c.finalResponses == 0 && f.now > c.Deadline.Add(deadlineGrace):
		f.addViolation("%s has no final response", c.Request)
	case c.finalResponses > 1:
		f.addViolation("%s has %d final responses", c.Request, c.finalResponses)
	case c.finalResponses == 1 && c.EndedAt > c.Deadline.Add(deadlineGrace) && !f.instanceWasPaused(c):
		f.addViolation("%s got its final response %s after its deadline", c.Request, c.EndedAt.Sub(c.Deadline))
	}
	if c.Refusal != nil && c.Refusal.Execution == event.NotRun && c.runs > 0 {
		f.addViolation("%s was refused as not run (%s), but ran %d times", c.Request, c.Refusal.Reason, c.runs)
	}
	if c.Refusal != nil && (c.Refusal.RetryAfter < 0 || transientReasons[c.Refusal.Reason] && c.Refusal.RetryAfter == 0) {
		f.addViolation("%s was refused (%s) with an invalid retry time of %s", c.Request, c.Refusal.Reason, c.Refusal.RetryAfter)
	}
}

// transientReasons are the refusals that must say when to retry. So must a
// refusal for exceeding the rate, unless the call costs more than the whole
// burst.
var transientReasons = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTableUnavailable: true,
	event.ReasonRunningElsewhere: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonCrash: true,
}

// instanceWasPaused reports whether the instance that took a call was ever
// paused. It returns true if that instance no longer runs, as its pauses are
// then no longer known.
func (f *Fleet) instanceWasPaused(c *Call) bool {
	for _, n := range f.Nodes {
		if n.ID == c.instance {
			return n.wasPaused
		}
	}
	return true
}

// checkSingleRuns checks that no non-idempotent call ran more than once on all
// servers together.
func (f *Fleet) checkSingleRuns() {
	type callKey struct {
		account id.Account
		key     string
	}
	runs := make(map[callKey]int)
	for _, c := range f.Calls {
		if c.IdempotencyKey == "" {
			continue
		}
		k := callKey{c.Account, c.IdempotencyKey}
		before := runs[k]
		runs[k] += c.runs
		if before <= 1 && runs[k] > 1 {
			f.addViolation("non-idempotent call %s of account %s ran %d times", c.IdempotencyKey, c.Account, runs[k])
		}
	}
}

// charge is the number of tokens that a call used. The account was charged
// between the two points in time.
type charge struct {
	arrivedAt, startedAt clock.Time
	tokens               float64
}

// largestLimits returns an account with the largest rate and burst of all its
// versions, as instances learn of a change at different times.
func (f *Fleet) largestLimits(a config.Account) config.Account {
	for _, earlier := range f.accountHistory {
		if earlier.Name == a.Name {
			a.Rate, a.Burst = max(a.Rate, earlier.Rate), max(a.Burst, earlier.Burst)
		}
	}
	return a
}

// checkRate checks what an account used at the servers. In every time window,
// the calls that arrived and started to run within it were charged within it,
// and must not exceed the rate and burst.
func (f *Fleet) checkRate(a config.Account) {
	var all []charge
	for _, c := range f.Calls {
		if c.Account == a.Name && c.runs > 0 {
			tokens := float64(c.PromptTokens + c.deliveredTokens)
			if c.Service != "" {
				tokens = float64(f.Config.Services[c.Service].Tokens)
			}
			all = append(all, charge{c.Arrived, c.firstRunAt, tokens})
		}
	}
	slices.SortFunc(all, func(x, y charge) int { return cmp.Compare(x.startedAt, y.startedAt) })
	for _, first := range all {
		sum := 0.0
		for _, s := range all {
			if s.arrivedAt < first.arrivedAt {
				continue
			}
			sum += s.tokens
			limit := a.Burst + a.Rate*s.startedAt.Sub(first.arrivedAt).Seconds()
			if sum > limit*(1+1e-9) {
				f.addViolation("account %s used %.0f tokens between %s and %s, more than the allowed %.0f", a.Name, sum, time.Duration(first.arrivedAt), time.Duration(s.startedAt), limit)
				return
			}
		}
	}
}

// Heal ends all injected faults, resumes paused nodes and restarts stopped ones.
func (f *Fleet) Heal() {
	f.Network.Heal()
	f.Table.Heal()
	f.WeightStore.SlowdownFactor = 0
	for _, s := range f.Servers {
		s.LostOrderRate, s.DelayedOrderRate, s.LostReplyRate, s.DuplicateOrderRate, s.CrashAfterRuns = 0, 0, 0, 0, 0
	}
	for _, n := range f.Nodes {
		if n.paused {
			n.resume()
		}
		n.Restart()
	}
}

// IdleHours returns the accelerator hours for which artifacts were loaded but
// idle, each weighted by its share of the memory of the accelerator.
func (f *Fleet) IdleHours() float64 {
	var sum time.Duration
	for _, s := range f.Servers {
		s.addAllIdleTime()
		sum += s.idleTime
	}
	return sum.Hours()
}
