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

// lateness is how long after its deadline a final answer may come: the
// deadline is kept on the instance, the answer has a way to go, and a
// non-idempotent call may wait a moment for its outcome to be stored.
const lateness = 1500 * time.Millisecond

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

func (f *Fleet) putSnapshot(c *config.Config) id.Digest {
	body, err := configcodec.EncodeSnapshot(c)
	if err != nil {
		panic(err)
	}
	d := id.Digest(fmt.Sprintf("snapshot-%d", c.Version))
	f.objects[d] = body
	return d
}

// Faults lists what was seen that must not be: by the fakes during the run, and
// by comparing what callers were told with what the servers did.
func (f *Fleet) Faults() []string {
	for _, c := range f.Calls {
		f.checkCall(c)
	}
	f.checkOnce()
	for _, name := range slices.Sorted(maps.Keys(f.Config.Accounts)) {
		f.checkRate(f.widest(f.Config.Accounts[name]))
	}
	return f.faults
}

func (f *Fleet) checkCall(c *Call) {
	switch {
	case c.lost || c.gone:
		return
	case c.finals == 0 && f.now > c.Deadline.Add(lateness):
		f.fault("%s has no final answer", c.Request)
	case c.finals > 1:
		f.fault("%s has %d final answers", c.Request, c.finals)
	case c.finals == 1 && c.EndedAt > c.Deadline.Add(lateness) && !f.wasPaused(c):
		f.fault("%s has its final answer %s after its deadline", c.Request, c.EndedAt.Sub(c.Deadline))
	}
	if c.Refusal != nil && c.Refusal.Execution == event.NotRun && c.runs > 0 {
		f.fault("%s was refused as not run (%s), and ran %d times", c.Request, c.Refusal.Reason, c.runs)
	}
	if c.Refusal != nil && (c.Refusal.RetryAfter < 0 || passing[c.Refusal.Reason] && c.Refusal.RetryAfter == 0) {
		f.fault("%s was refused (%s) and may come back after %s", c.Request, c.Refusal.Reason, c.Refusal.RetryAfter)
	}
}

// passing are the reasons after which a caller must be told when to come back.
// A call over the account's rate is told so too, unless it costs more than the
// whole burst.
var passing = map[event.Reason]bool{
	event.ReasonDeadline: true, event.ReasonQueueFull: true, event.ReasonNoBackend: true, event.ReasonTableUnavailable: true,
	event.ReasonRunningElsewhere: true, event.ReasonStopping: true, event.ReasonIsolated: true, event.ReasonCrash: true,
}

// wasPaused reports whether the call's instance could have been frozen; the
// fleet keeps no record of pauses, so the tests that pause set it.
func (f *Fleet) wasPaused(c *Call) bool {
	for _, n := range f.Nodes {
		if n.ID == c.at {
			return n.everPaused
		}
	}
	return true
}

// checkOnce counts the runs of each non-idempotent call over all servers.
func (f *Fleet) checkOnce() {
	type name struct {
		account id.Account
		key     string
	}
	runs := make(map[name]int)
	for _, c := range f.Calls {
		if c.Key == "" {
			continue
		}
		k := name{c.Account, c.Key}
		before := runs[k]
		runs[k] += c.runs
		if before <= 1 && runs[k] > 1 {
			f.fault("order %s of %s ran %d times", c.Key, c.Account, runs[k])
		}
	}
}

// spent is what a call used, and between which moments it was charged.
type spent struct {
	from, to clock.Time
	tokens   float64
}

// widest returns the account with the largest rate and burst that it had during
// the run: instances learn of a change at different moments.
func (f *Fleet) widest(a config.Account) config.Account {
	for _, was := range f.rates {
		if was.Name == a.Name {
			a.Rate, a.Burst = max(a.Rate, was.Rate), max(a.Burst, was.Burst)
		}
	}
	return a
}

// checkRate counts at the servers what an account used. In every window, what
// arrived and ran within it was charged within it, and must fit the rate and
// burst.
func (f *Fleet) checkRate(a config.Account) {
	var all []spent
	for _, c := range f.Calls {
		if c.Account == a.Name && c.runs > 0 {
			tokens := float64(c.Prompt + c.got)
			if c.Service != "" {
				tokens = float64(f.Config.Services[c.Service].Tokens)
			}
			all = append(all, spent{c.Arrived, c.firstRun, tokens})
		}
	}
	slices.SortFunc(all, func(x, y spent) int { return cmp.Compare(x.to, y.to) })
	for _, first := range all {
		sum := 0.0
		for _, s := range all {
			if s.from < first.from {
				continue
			}
			sum += s.tokens
			limit := a.Burst + a.Rate*s.to.Sub(first.from).Seconds()
			if sum > limit*(1+1e-9) {
				f.fault("account %s used %.0f tokens between %s and %s, allowed are %.0f", a.Name, sum, time.Duration(first.from), time.Duration(s.to), limit)
				return
			}
		}
	}
}

// Heal ends all faults: nodes run, the network and the table work.
func (f *Fleet) Heal() {
	f.Net.Heal()
	f.Table.Heal()
	f.Store.Slow = 0
	for _, s := range f.Servers {
		s.LoseOrders, s.LateOrders, s.LoseAnswers, s.DoubleOrders, s.DieAfterRun = 0, 0, 0, 0, 0
	}
	for _, n := range f.Nodes {
		if n.paused {
			n.resume()
		}
		n.Restart()
	}
}

// IdleHours returns the accelerator hours that idle artifacts took up, each by
// its share of the accelerator's memory.
func (f *Fleet) IdleHours() float64 {
	var sum time.Duration
	for _, s := range f.Servers {
		s.noteIdle()
		sum += s.idleFor
	}
	return sum.Hours()
}
