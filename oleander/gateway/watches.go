package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// storeWatches are the pending calls that wait for changes in the store. If the store
// becomes silent during such a call, it may never be answered; until it times out, a
// new configuration would go unnoticed. So when the store is known to be back,
// pending calls are canceled and restarted.
type storeWatches struct {
	mu         sync.Mutex
	cancels    map[string]context.CancelFunc
	recoveries int // of the store, so far
}

// begin returns the context of a watch and the number of recoveries so far.
func (w *storeWatches) begin(ctx context.Context, name string, limit time.Duration) (context.Context, int) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name] = cancel
	return ctx, w.recoveries
}

// end releases the context and reports whether the store recovered meanwhile.
func (w *storeWatches) end(name string, before int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name]()
	delete(w.cancels, name)
	return w.recoveries != before
}

// storeRecovered cancels all pending watches.
func (w *storeWatches) storeRecovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recoveries++
	for _, cancel := range w.cancels {
		cancel()
	}
}

// errWatchRestart says that a watch was canceled and is to be restarted.
var errWatchRestart = errors.New("gateway: store recovered during a watch")
