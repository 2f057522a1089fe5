// Package boottime reads the clock that goes on counting while the machine is
// suspended. A lease counted on a clock that stops would outlive its term.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"oleanderdale.org/core/clock"
)

// Now returns the time since the machine booted.
func Now() clock.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return clock.Time(ts.Nano())
}

// In returns the reading d from now.
func FromNow(d time.Duration) clock.Time { return Now().Add(d) }

// Until returns the time left until t; it is negative when t has passed.
func Until(t clock.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline returns a context that ends at t.
func WithDeadline(ctx context.Context, t clock.Time) (context.Context, context.CancelFunc) {
	if t == clock.Never {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, Until(t))
}
