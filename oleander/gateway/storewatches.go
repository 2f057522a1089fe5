package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// watches are the calls that wait for changes. A call that was held when the
// store went silent may never be answered, and nothing tells so: until it times
// out, nobody would hear of a new configuration. So when the store is known to
// be back, these calls are given up and made anew.
type storeWatches struct {
	mu         sync.Mutex
	cancels    map[string]context.CancelFunc
	recoveries int // of the store
}

// begin returns the context of a call that waits, and the returns of the store
// so far.
func (w *storeWatches) begin(ctx context.Context, name string, limit time.Duration) (context.Context, int) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name] = cancel
	return ctx, w.recoveries
}

// end frees the context, and reports whether the store returned meanwhile.
func (w *storeWatches) end(name string, returns int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name]()
	delete(w.cancels, name)
	return w.recoveries != returns
}

// storeReturned gives all calls up.
func (w *storeWatches) storeRecovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recoveries++
	for _, cancel := range w.cancels {
		cancel()
	}
}

// errWatchAgain says that a call that waited was given up to be made anew.
var errWatchRestart = errors.New("gateway: the store returned while a call waited")
