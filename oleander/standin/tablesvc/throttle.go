package tablesvc

import "time"

// bucket is a token bucket that holds what one second gives.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes n tokens at rate tokens a second. It lets a single operation that
// is larger than the bucket pass when the bucket is full.
func (b *tokenBucket) take(rate float64, n int, now time.Time) bool {
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < min(rate, float64(n)) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// throttle refuses an operation of n rows that goes beyond the rate of b.
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
