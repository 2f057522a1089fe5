package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	client "oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/standin/internal/serve"
)

const maxOrderBytes = 64 << 10

// orderResponse is the JSON body of the response to an order.
type orderResponse struct {
	Order  id.Order `json:"order"`
	Detail string   `json:"detail"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o client.OrderRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil || o.Order == "" {
		http.Error(w, "order is malformed", http.StatusBadRequest)
		return
	}
	e.checkAPIKey(r, nil)
	e.abortIfDown()
	e.injectOrderFault(o)
	status, detail := e.HandleOrder(o)
	if e.faults.Consume(func(f *Faults) *int { return &f.LoseOrderResponses }) {
		serve.Abort()
	}
	serve.WriteJSON(w, status, orderResponse{Order: o.Order, Detail: detail})
}

// injectOrderFault closes the connection if the faults say that the order is lost
// or late. A late order is executed in the background.
func (e *Engine) injectOrderFault(o client.OrderRequest) {
	if e.faults.Consume(func(f *Faults) *int { return &f.LoseOrders }) {
		serve.Abort()
	}
	if !e.faults.Consume(func(f *Faults) *int { return &f.LateOrders }) {
		return
	}
	delay := e.faults.Get().LateOrderDelay
	go func() {
		e.server.Sleep(delay)
		e.server.Sleep(e.remainingDowntime())
		select {
		case <-e.server.Done():
		default:
			e.HandleOrder(o)
		}
	}()
	serve.Abort()
}

// HandleOrder executes an order and returns its HTTP status and an explanation.
func (e *Engine) HandleOrder(o client.OrderRequest) (status int, detail string) {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing {
		if o.Fencing < e.fencing {
			e.recorder.usage.StaleFencing++
			return http.StatusConflict, "stale fencing number: a higher one was seen"
		}
		e.fencing = o.Fencing
	}
	switch o.Kind {
	case event.OrderFence:
		return http.StatusAccepted, "fencing number recorded"
	case event.OrderLoad:
		return e.handleLoad(o, leaving)
	case event.OrderUnload:
		return e.handleUnload(o)
	}
	return http.StatusUnprocessableEntity, "unknown kind of order"
}

// handleLoad handles an order to load an artifact. It must be called with the lock
// held, as must handleRepeatedLoad and handleUnload.
func (e *Engine) handleLoad(o client.OrderRequest, leaving bool) (status int, detail string) {
	if o.Artifact == "" || o.Bytes <= 0 || o.LoadTime < 0 {
		return http.StatusUnprocessableEntity, "artifact, bytes and load time are required"
	}
	if h := e.held[o.Artifact]; h != nil {
		return e.handleRepeatedLoad(o, h)
	}
	if e.usedBytes()+o.Bytes > e.settings.MemoryBytes {
		e.recorder.violations.Overcommit++
		return http.StatusUnprocessableEntity, "not enough memory"
	}
	if leaving {
		return http.StatusUnprocessableEntity, "the server is leaving"
	}
	e.startLoad(o)
	return http.StatusAccepted, "loading"
}

// handleRepeatedLoad handles an order to load an artifact that is loaded, loading
// or unloading already.
func (e *Engine) handleRepeatedLoad(o client.OrderRequest, h *heldArtifact) (status int, detail string) {
	switch {
	case h.order == o.Order:
		return http.StatusAccepted, "order was accepted before"
	case h.state == message.Loading:
		e.recorder.violations.DuplicateLoad++
		return http.StatusUnprocessableEntity, "already loading by another order"
	case h.state == message.Unloading:
		return http.StatusUnprocessableEntity, "the artifact is unloading"
	}
	return http.StatusAccepted, "loaded"
}

// startLoad reserves the memory for an artifact and loads it in the background.
// It must be called with the lock held.
func (e *Engine) startLoad(o client.OrderRequest) {
	ctx, cancel := context.WithCancel(e.bootCtx)
	h := &heldArtifact{artifact: o.Artifact, order: o.Order, bytes: o.Bytes, state: message.Loading, cancel: cancel}
	e.held[o.Artifact] = h
	level := e.cacheLevel(o.Artifact)
	e.recorder.countLoad(level)
	crash := e.faults.Consume(func(f *Faults) *int { return &f.CrashLoads })
	go e.runLoad(ctx, h, level, o.LoadTime, crash)
}

// runLoad waits for the time of a load and then marks h as loaded. If crash is
// set, it crashes the engine after half of d instead.
func (e *Engine) runLoad(ctx context.Context, h *heldArtifact, level message.CacheLevel, d time.Duration, crash bool) {
	defer h.cancel()
	if crash {
		if sleep(ctx, d/2) == nil {
			e.Crash()
		}
		return
	}
	if e.transferWeights(ctx, h.artifact, level, d) != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held[h.artifact] != h || h.state != message.Loading {
		return
	}
	h.state = message.Loaded
	h.loadedAt = time.Now()
	h.idleSince = h.loadedAt
	e.disk.add(h.artifact, h.bytes)
}

// transferWeights waits for the time that a load takes from the given level, if d
// is the time from the remote store.
func (e *Engine) transferWeights(ctx context.Context, a id.Artifact, level message.CacheLevel, d time.Duration) error {
	switch level {
	case message.CacheMemory:
		return sleep(ctx, time.Duration(float64(d)*e.settings.HostCacheLoadFactor))
	case message.CacheDisk:
		return sleep(ctx, time.Duration(float64(d)*e.settings.DiskCacheLoadFactor))
	}
	return e.settings.Store.Load(ctx, a.IsAdapter(), d)
}

// handleUnload removes an artifact and cancels its load if it is loading. If
// requests run on it, the memory is freed when the last one has ended.
func (e *Engine) handleUnload(o client.OrderRequest) (status int, detail string) {
	h := e.held[o.Artifact]
	if h == nil {
		return http.StatusAccepted, "the artifact is not loaded"
	}
	if h.running == 0 {
		e.remove(h)
		return http.StatusAccepted, "unloaded"
	}
	h.state = message.Unloading
	h.order = o.Order
	return http.StatusAccepted, "unloading once its last request has ended"
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	e.checkAPIKey(r, nil)
	e.abortIfDown()
	report := e.Report()
	e.server.Sleep(e.faults.Get().ReportDelay)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case e.faults.Consume(func(f *Faults) *int { return &f.MalformedReports }):
		// A write error only means that the client has disconnected.
		_, _ = w.Write([]byte(`{"bytes": "many"`))
	case e.faults.Consume(func(f *Faults) *int { return &f.OversizedReports }):
		_, _ = w.Write([]byte(strings.Repeat(" ", client.MaxReportSize+1)))
	default:
		serve.WriteJSON(w, http.StatusOK, report)
	}
}
