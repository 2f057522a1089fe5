package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Account reports how the requests of a client account were served.
type Account struct {
	Name string `json:"name"`
	// Requests counts all requests. WithinRate counts those that a single token
	// bucket with the account's rate and burst admits in order of arrival.
	Requests   int `json:"asked"`
	WithinRate int `json:"within"`
	// Answered counts the requests of WithinRate that were answered, AnsweredShare is
	// their share.
	Answered      int     `json:"got"`
	AnsweredShare float64 `json:"share"`
	// RefusedWithinRate counts the requests refused by the account's quota although
	// the token bucket admits them.
	RefusedWithinRate int `json:"refused_within"`
	// MaxOverGrant is the highest number of tokens granted beyond rate and burst in
	// any eight seconds; negative if there were none.
	MaxOverGrant float64 `json:"beyond"`
}

// reasonQuota is the reason of a refusal by an account's quota.
const reasonQuota = "quota"

// overGrantWindow is the length of the window in which granted tokens are compared
// with rate and burst.
const overGrantWindow = 8 * time.Second

// tokenBucket is a reference bucket for one account, which sees all its requests in
// order of arrival. It tells which of them a central limiter would have admitted.
type tokenBucket struct {
	limits     []rateLimit
	limitIndex int // of the limit in force, in limits
	tokens     float64
	updatedAt  int64
	started    bool
	row        Account
	grants     []grant
}

// grant is the tokens granted to a request and the limit then in force.
type grant struct {
	at     int64
	tokens float64
	limit  rateLimit
}

// accounts evaluates all accounts, ordered by the share of answered requests, lowest
// first. The requests must be sorted by arrival.
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

// limitAt returns the limit in force at a time, or nil if there is none. Times must
// not decrease between calls.
func (j *tokenBucket) limitAt(at int64) *rateLimit {
	for j.limitIndex+1 < len(j.limits) && j.limits[j.limitIndex+1].since <= at {
		j.limitIndex++
	}
	if j.limitIndex >= len(j.limits) || j.limits[j.limitIndex].rate <= 0 {
		return nil
	}
	return &j.limits[j.limitIndex]
}

// takeTokens takes the tokens of a request from the bucket and reports whether it had
// enough.
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

// recordGrant records the tokens granted to a request, at the time when its wait for
// them ended.
func (j *tokenBucket) recordGrant(r request) {
	if l := j.limitAt(r.arrived); l != nil {
		at := r.arrived + int64(r.limitWait)*int64(time.Millisecond)
		j.grants = append(j.grants, grant{at: at, tokens: r.cost, limit: *l})
	}
}

// maxOverGrant returns the highest number of tokens granted beyond rate and burst in
// any window.
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
