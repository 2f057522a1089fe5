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

// addRequest counts a request of the account.
func (t *tokenBucket) addRequest(r request) {
	t.row.Requests++
	within := t.takeTokens(r)
	served := r.result == inTime || r.result == late
	if within {
		t.row.WithinRate++
		if r.reason == reasonQuota {
			t.row.RefusedWithinRate++
		}
	}
	if within && served {
		t.row.Answered++
	}
	if served || r.result == failed || r.result == disconnected {
		t.recordGrant(r)
	}
}

// limitAt returns the limit in force at a time, or nil if there is none. Times must
// not decrease between calls.
func (t *tokenBucket) limitAt(at int64) *rateLimit {
	for t.limitIndex+1 < len(t.limits) && t.limits[t.limitIndex+1].since <= at {
		t.limitIndex++
	}
	if t.limitIndex >= len(t.limits) || t.limits[t.limitIndex].rate <= 0 {
		return nil
	}
	return &t.limits[t.limitIndex]
}

// takeTokens takes the tokens of a request from the bucket and reports whether it had
// enough.
func (t *tokenBucket) takeTokens(r request) bool {
	l := t.limitAt(r.arrived)
	if l == nil {
		return true
	}
	if !t.started {
		t.started, t.tokens = true, l.burst
	} else {
		t.tokens += l.rate * time.Duration(r.arrived-t.updatedAt).Seconds()
	}
	t.tokens, t.updatedAt = min(t.tokens, l.burst), r.arrived
	if t.tokens < min(r.cost, l.burst) {
		return false
	}
	t.tokens -= r.cost
	return true
}

// recordGrant records the tokens granted to a request, at the time when its wait for
// them ended.
func (t *tokenBucket) recordGrant(r request) {
	if l := t.limitAt(r.arrived); l != nil {
		at := r.arrived + int64(r.limitWait)*int64(time.Millisecond)
		t.grants = append(t.grants, grant{at: at, tokens: r.cost, limit: *l})
	}
}

// maxOverGrant returns the highest number of tokens granted beyond rate and burst in
// any window.
func maxOverGrant(grants []grant) float64 {
	slices.SortFunc(grants, func(x, y grant) int { return cmp.Compare(x.at, y.at) })
	sum, highest, oldest := 0.0, 0.0, 0
	for i, g := range grants {
		sum += g.tokens
		for grants[oldest].at <= g.at-int64(overGrantWindow) {
			sum -= grants[oldest].tokens
			oldest++
		}
		if over := sum - g.limit.burst - g.limit.rate*overGrantWindow.Seconds(); i == 0 || over > highest {
			highest = over
		}
	}
	return highest
}
