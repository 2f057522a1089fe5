package processes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// readinessInterval is the time between two readiness checks of all instances.
const readinessInterval = 100 * time.Millisecond

// Balancer simulates the platform's load balancer. It returns, in turn, the
// instances that were ready at the last check.
type Balancer struct {
	mu    sync.Mutex
	ready []*Instance
	next  atomic.Uint64
	stop  context.CancelFunc
	done  chan struct{}
}

// NewBalancer returns a Balancer that checks the instances until Close.
func NewBalancer(ctx context.Context, instances []*Instance) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{stop: cancel, done: make(chan struct{})}
	b.checkReadiness(ctx, instances)
	go func() {
		defer close(b.done)
		for ctx.Err() == nil {
			time.Sleep(readinessInterval)
			b.checkReadiness(ctx, instances)
		}
	}()
	return b
}

// checkReadiness checks each instance and keeps those that are ready.
func (b *Balancer) checkReadiness(ctx context.Context, instances []*Instance) {
	var ready []*Instance
	for _, inst := range instances {
		if inst.Ready(ctx) {
			ready = append(ready, inst)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() == nil {
		b.ready = ready
	}
}

// Pick returns the next ready instance, or nil if there is none.
func (b *Balancer) Pick() *Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// Close stops the readiness checks.
func (b *Balancer) Close() {
	b.stop()
	<-b.done
}
