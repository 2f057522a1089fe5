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
type watches struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	returns int // of the store
}

// begin returns the context of a call that waits, and the returns of the store
// so far.
func (w *watches) begin(ctx context.Context, name string, limit time.Duration) (context.Context, int) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name] = cancel
	return ctx, w.returns
}

// end frees the context, and reports whether the store returned meanwhile.
func (w *watches) end(name string, returns int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancels[name]()
	delete(w.cancels, name)
	return w.returns != returns
}

// storeReturned gives all calls up.
func (w *watches) storeReturned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.returns++
	for _, cancel := range w.cancels {
		cancel()
	}
}

// errWatchAgain says that a call that waited was given up to be made anew.
var errWatchAgain = errors.New("gateway: the store returned while a call waited")
