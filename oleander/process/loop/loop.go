// Package loop runs the core: one goroutine owns it, takes events from a
// channel and hands the effects to the packages that carry them out. Nothing
// in the loop blocks on the outside; whatever takes time runs in a goroutine
// of its own and comes back as an event.
package loop

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/process/metric"
)

// queueLength bounds the events that wait for the core. When it is full,
// whoever reports waits, which slows the sources instead of using up memory.
const queueLength = 8192

// slowHandle is logged: while one event is handled, no other can be.
const slowEventThreshold = 50 * time.Millisecond

// Core is what the loop runs.
type Core interface {
	Handle(now clock.Time, e event.Event) []event.Effect
}

// Executor carries out effects. Execute must not block.
type Executor interface {
	Execute(e event.Effect)
}

// Loop owns a Core.
type Loop struct {
	core     Core
	executor Executor
	events   chan event.Event
	calls    chan func()
	done     chan struct{}
	timer    *time.Timer
	log      zerolog.Logger
}

// New returns a Loop that does not run yet.
func New(core Core, log zerolog.Logger) *Loop {
	return &Loop{
		core: core, log: log,
		events: make(chan event.Event, queueLength), calls: make(chan func()),
		done: make(chan struct{}), timer: time.NewTimer(0),
	}
}

// Post hands in an event. It is dropped once the loop has ended.
func (l *Loop) Post(e event.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// Offer hands in an event that may be lost, such as a message from another
// instance; it is dropped when the queue is full.
func (l *Loop) TryPost(e event.Event) {
	select {
	case l.events <- e:
	default:
		metric.LoopOverflow.Inc()
	}
}

// Ask runs f between two events, for a consistent look at the core. It returns
// false if the loop has ended.
func (l *Loop) Do(f func()) bool {
	finished := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(finished) }:
		<-finished
		return true
	case <-l.done:
		return false
	}
}

// Run handles events until ctx ends.
func (l *Loop) Run(ctx context.Context, x Executor) {
	l.executor = x
	defer close(l.done)
	for {
		select {
		case e := <-l.events:
			l.handle(e)
		case <-l.timer.C:
			l.handle(event.Woken{})
		case f := <-l.calls:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func (l *Loop) handle(e event.Event) {
	start := time.Now()
	for _, effect := range l.core.Handle(boottime.Now(), e) {
		l.execute(effect)
	}
	elapsed := time.Since(start)
	metric.Events.Inc()
	metric.HandleDuration.Update(elapsed.Seconds())
	if elapsed > slowEventThreshold {
		l.log.Warn().Dur("took", elapsed).Type("event", e).Msg("loop: slow event")
	}
}

func (l *Loop) execute(effect event.Effect) {
	if t, ok := effect.(event.SetTimer); ok {
		if t.At == clock.Never {
			l.timer.Stop()
			return
		}
		l.timer.Reset(max(0, boottime.Until(t.At)))
		return
	}
	l.executor.Execute(effect)
}
