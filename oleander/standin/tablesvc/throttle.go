package tablesvc

import "time"

// tokenBucket is a token bucket whose capacity is the tokens of one second.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take refills the bucket at rate tokens a second and takes n tokens. An operation
// that needs more than the bucket's capacity passes when the bucket is full, and
// leaves a debt. take reports whether the operation passes.
func (b *tokenBucket) take(rate float64, n int, now time.Time) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < min(rate, float64(n)) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// throttle returns a throttling error if an operation on n rows exceeds the rate of
// b. It must be called with the lock held.
func (t *Table) throttle(b *tokenBucket, n int) *serviceError {
	faults := t.faults.Get()
	rate := faults.ReadsPerSecond
	if b == &t.writeTokens {
		rate = faults.WritesPerSecond
	}
	if rate <= 0 || b.take(rate, n, time.Now()) {
		return nil
	}
	t.counts.Throttled++
	return &serviceError{kind: errThrottled, message: "rate exceeded"}
}
