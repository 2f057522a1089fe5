// Package loop runs the core as an event loop: one goroutine owns the core,
// receives events from a channel and passes the resulting effects to an Executor.
// The loop never blocks on I/O; slow work runs in other goroutines, which post the
// result as an event.
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

// queueLength is the capacity of the event queue. When it is full, Post blocks,
// which slows the sources down instead of using more memory.
const queueLength = 8192

// slowEventThreshold is the handling time from which an event is logged, since no
// other event is handled meanwhile.
const slowEventThreshold = 50 * time.Millisecond

// Core is the state machine that the loop runs.
type Core interface {
	Handle(now clock.Time, e event.Event) []event.Effect
}

// Executor executes effects. Execute must not block.
type Executor interface {
	Execute(e event.Effect)
}

// Loop is an event loop around a Core.
type Loop struct {
	core     Core
	executor Executor
	events   chan event.Event
	calls    chan func()
	done     chan struct{}
	timer    *time.Timer
	log      zerolog.Logger
}

// New returns a Loop that is not running yet.
func New(core Core, log zerolog.Logger) *Loop {
	return &Loop{
		core: core, log: log,
		events: make(chan event.Event, queueLength), calls: make(chan func()),
		done: make(chan struct{}), timer: time.NewTimer(0),
	}
}

// Post queues an event and blocks while the queue is full. Once the loop has ended,
// events are dropped.
func (l *Loop) Post(e event.Event) {
	select {
	case l.events <- e:
	case <-l.done:
	}
}

// TryPost queues an event that may be lost, such as a message from another
// instance. It drops the event if the queue is full.
func (l *Loop) TryPost(e event.Event) {
	select {
	case l.events <- e:
	default:
		metric.LoopOverflow.Inc()
	}
}

// Do runs f in the loop between two events, so that f sees a consistent state of
// the core. It returns false if the loop has ended.
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
			l.handle(event.TimerFired{})
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
