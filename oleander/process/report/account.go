package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Account is what a client account got of what it asked within its rate.
type Account struct {
	Name string `json:"name"`
	// Asked counts all its requests, Within those that one token bucket with the
	// account's rate and burst lets through, in the order in which they arrived.
	Requests   int `json:"asked"`
	WithinRate int `json:"within"`
	// Got is how many as many as Within were answered, Share its part.
	Answered      int     `json:"got"`
	AnsweredShare float64 `json:"share"`
	// RefusedWithin were refused for the account's limit although that bucket
	// had their tokens.
	RefusedWithinRate int `json:"refused_within"`
	// Beyond is how many tokens more than rate and burst allow were granted in
	// the worst window of eight seconds; below zero: none.
	MaxOverGrant float64 `json:"beyond"`
}

// reasonLimit is the reason of a refusal by an account's limit.
const reasonLimit = "quota"

// beyondWindow is the time over which what was granted is compared with rate
// and burst.
const beyondWindow = 8 * time.Second

// judge is one account's token bucket that sees all its requests in order.
type judge struct {
	limits  []limit
	at      int // in limits
	level   float64
	updated int64
	started bool
	row     Account
	granted []spent
}

// spent is what a request was granted, and the limit that was in force.
type spent struct {
	at     int64
	tokens float64
	limit  limit
}

// accounts judges all accounts by the requests in order, the worst served first.
func (b *Builder) accounts() []Account {
	judges := make(map[string]*judge)
	for _, r := range b.requests {
		if r.account == "" {
			continue
		}
		j := judges[r.account]
		if j == nil {
			limits := b.limits[r.account]
			slices.SortFunc(limits, func(x, y limit) int { return cmp.Compare(x.since, y.since) })
			j = &judge{limits: limits, row: Account{Name: r.account}}
			judges[r.account] = j
		}
		j.take(r)
	}
	var rows []Account
	for _, name := range slices.Sorted(maps.Keys(judges)) {
		j := judges[name]
		if j.row.WithinRate > 0 {
			j.row.AnsweredShare = float64(j.row.Answered) / float64(j.row.WithinRate)
		}
		j.row.MaxOverGrant = beyond(j.granted)
		rows = append(rows, j.row)
	}
	slices.SortStableFunc(rows, func(x, y Account) int { return cmp.Compare(x.AnsweredShare, y.AnsweredShare) })
	return rows
}

func (j *judge) take(r request) {
	j.row.Requests++
	within := j.spend(r)
	served := r.result == inTime || r.result == late
	if within {
		j.row.WithinRate++
		if r.reason == reasonLimit {
			j.row.RefusedWithinRate++
		}
	}
	if within && served {
		j.row.Answered++
	}
	if served || r.result == failed || r.result == gone {
		j.grant(r)
	}
}

// limit returns the limit in force at a moment, nil without one.
func (j *judge) limit(at int64) *limit {
	for j.at+1 < len(j.limits) && j.limits[j.at+1].since <= at {
		j.at++
	}
	if j.at >= len(j.limits) || j.limits[j.at].rate <= 0 {
		return nil
	}
	return &j.limits[j.at]
}

// spend takes a request's tokens from the bucket, and reports whether they were
// there.
func (j *judge) spend(r request) bool {
	l := j.limit(r.arrived)
	if l == nil {
		return true
	}
	if !j.started {
		j.started, j.level = true, l.burst
	} else {
		j.level += l.rate * time.Duration(r.arrived-j.updated).Seconds()
	}
	j.level, j.updated = min(j.level, l.burst), r.arrived
	if j.level < min(r.cost, l.burst) {
		return false
	}
	j.level -= r.cost
	return true
}

// grant notes what was granted, once the request had waited for it.
func (j *judge) grant(r request) {
	if l := j.limit(r.arrived); l != nil {
		at := r.arrived + int64(r.limit)*int64(time.Millisecond)
		j.granted = append(j.granted, spent{at: at, tokens: r.cost, limit: *l})
	}
}

// beyond returns how much more than rate and burst was granted in the worst
// window.
func beyond(granted []spent) float64 {
	slices.SortFunc(granted, func(x, y spent) int { return cmp.Compare(x.at, y.at) })
	sum, most, first := 0.0, 0.0, 0
	for i, g := range granted {
		sum += g.tokens
		for granted[first].at <= g.at-int64(beyondWindow) {
			sum -= granted[first].tokens
			first++
		}
		if over := sum - g.limit.burst - g.limit.rate*beyondWindow.Seconds(); i == 0 || over > most {
			most = over
		}
	}
	return most
}
