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
const reasonQuota = "quota"

// beyondWindow is the time over which what was granted is compared with rate
// and burst.
const overGrantWindow = 8 * time.Second

// judge is one account's token bucket that sees all its requests in order.
type tokenBucket struct {
	limits     []rateLimit
	limitIndex int // in limits
	tokens     float64
	updatedAt  int64
	started    bool
	row        Account
	grants     []grant
}

// spent is what a request was granted, and the limit that was in force.
type grant struct {
	at     int64
	tokens float64
	limit  rateLimit
}

// accounts judges all accounts by the requests in order, the worst served first.
func (b *Builder) accounts() []Account {
	buckets := make(map[string]*tokenBucket)
	for _, r := range b.requests {
		if r.account == "" {
			continue
		}
		bucket := buckets[r.account]
		if bucket == nil {
			limits := b.limits[r.account]
			slices.SortFunc(limits, func(x, y rateLimit) int { return cmp.Compare(x.since, y.since) })
			bucket = &tokenBucket{limits: limits, row: Account{Name: r.account}}
			buckets[r.account] = bucket
		}
		bucket.addRequest(r)
	}
	var rows []Account
	for _, name := range slices.Sorted(maps.Keys(buckets)) {
		bucket := buckets[name]
		if bucket.row.WithinRate > 0 {
			bucket.row.AnsweredShare = float64(bucket.row.Answered) / float64(bucket.row.WithinRate)
		}
		bucket.row.MaxOverGrant = maxOverGrant(bucket.grants)
		rows = append(rows, bucket.row)
	}
	slices.SortStableFunc(rows, func(x, y Account) int { return cmp.Compare(x.AnsweredShare, y.AnsweredShare) })
	return rows
}

func (j *tokenBucket) addRequest(r request) {
	j.row.Requests++
	within := j.takeTokens(r)
	served := r.result == inTime || r.result == late
	if within {
		j.row.WithinRate++
		if r.reason == reasonQuota {
			j.row.RefusedWithinRate++
		}
	}
	if within && served {
		j.row.Answered++
	}
	if served || r.result == failed || r.result == disconnected {
		j.recordGrant(r)
	}
}

// limit returns the limit in force at a moment, nil without one.
func (j *tokenBucket) limitAt(at int64) *rateLimit {
	for j.limitIndex+1 < len(j.limits) && j.limits[j.limitIndex+1].since <= at {
		j.limitIndex++
	}
	if j.limitIndex >= len(j.limits) || j.limits[j.limitIndex].rate <= 0 {
		return nil
	}
	return &j.limits[j.limitIndex]
}

// spend takes a request's tokens from the bucket, and reports whether they were
// there.
func (j *tokenBucket) takeTokens(r request) bool {
	l := j.limitAt(r.arrived)
	if l == nil {
		return true
	}
	if !j.started {
		j.started, j.tokens = true, l.burst
	} else {
		j.tokens += l.rate * time.Duration(r.arrived-j.updatedAt).Seconds()
	}
	j.tokens, j.updatedAt = min(j.tokens, l.burst), r.arrived
	if j.tokens < min(r.cost, l.burst) {
		return false
	}
	j.tokens -= r.cost
	return true
}

// grant notes what was granted, once the request had waited for it.
func (j *tokenBucket) recordGrant(r request) {
	if l := j.limitAt(r.arrived); l != nil {
		at := r.arrived + int64(r.limitWait)*int64(time.Millisecond)
		j.grants = append(j.grants, grant{at: at, tokens: r.cost, limit: *l})
	}
}

// beyond returns how much more than rate and burst was granted in the worst
// window.
func maxOverGrant(granted []grant) float64 {
	slices.SortFunc(granted, func(x, y grant) int { return cmp.Compare(x.at, y.at) })
	sum, highest, oldest := 0.0, 0.0, 0
	for i, g := range granted {
		sum += g.tokens
		for granted[oldest].at <= g.at-int64(overGrantWindow) {
			sum -= granted[oldest].tokens
			oldest++
		}
		if over := sum - g.limit.burst - g.limit.rate*overGrantWindow.Seconds(); i == 0 || over > highest {
			highest = over
		}
	}
	return highest
}
