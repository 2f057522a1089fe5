package processes

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// balanceEvery is how often the balancer looks at the instances.
const balanceEvery = 100 * time.Millisecond

// Balancer stands for the platform's balancer: it hands out instances that
// said lately that they take calls.
type Balancer struct {
	mu    sync.Mutex
	ready []*Instance
	next  atomic.Uint64
	stop  context.CancelFunc
	done  chan struct{}
}

// NewBalancer watches the entries until Close.
func NewBalancer(ctx context.Context, entries []*Instance) *Balancer {
	ctx, cancel := context.WithCancel(ctx)
	b := &Balancer{stop: cancel, done: make(chan struct{})}
	b.look(ctx, entries)
	go func() {
		defer close(b.done)
		for ctx.Err() == nil {
			time.Sleep(balanceEvery)
			b.look(ctx, entries)
		}
	}()
	return b
}

func (b *Balancer) look(ctx context.Context, entries []*Instance) {
	var ready []*Instance
	for _, e := range entries {
		if e.Ready(ctx) {
			ready = append(ready, e)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ctx.Err() == nil {
		b.ready = ready
	}
}

// Pick returns an instance that takes calls, nil if there is none.
func (b *Balancer) Pick() *Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))]
}

// Close ends the watching.
func (b *Balancer) Close() {
	b.stop()
	<-b.done
}
