// Package boottime reads CLOCK_BOOTTIME, which keeps advancing while the machine
// is suspended. A lease timed by a clock that stops during suspend would outlive
// its term.
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

// FromNow returns the time d after now.
func FromNow(d time.Duration) clock.Time { return Now().Add(d) }

// Until returns the time remaining until t; it is negative if t has passed.
func Until(t clock.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline returns a context that is cancelled at t; clock.Never sets no
// deadline.
func WithDeadline(ctx context.Context, t clock.Time) (context.Context, context.CancelFunc) {
	if t == clock.Never {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, Until(t))
}
