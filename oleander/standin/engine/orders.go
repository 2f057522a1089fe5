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

const maxOrderBytes = 64 << 10 // bytes

// orderAnswer is the JSON answer of an order.
type orderResponse struct {
	Order  id.Order `json:"order"`
	Detail string   `json:"detail"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o client.OrderRequest
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil || o.Order == "" {
		http.Error(w, "order can't be decoded", http.StatusBadRequest)
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

// loseOrder closes the connection if a knob says that the order is lost or late.
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

// Order carries out an order and returns its HTTP status with a sentence.
func (e *Engine) HandleOrder(o client.OrderRequest) (status int, detail string) {
	leaving := e.faults.Get().Leaving
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing {
		if o.Fencing < e.fencing {
			e.recorder.usage.StaleFencing++
			return http.StatusConflict, "a larger fencing number was seen"
		}
		e.fencing = o.Fencing
	}
	switch o.Kind {
	case event.OrderFence:
		return http.StatusAccepted, "fencing number noted"
	case event.OrderLoad:
		return e.handleLoad(o, leaving)
	case event.OrderUnload:
		return e.handleUnload(o)
	}
	return http.StatusUnprocessableEntity, "unknown kind of order"
}

func (e *Engine) handleLoad(o client.OrderRequest, leaving bool) (status int, detail string) {
	if o.Artifact == "" || o.Bytes <= 0 || o.LoadTime < 0 {
		return http.StatusUnprocessableEntity, "artifact, bytes and load time are needed"
	}
	if h := e.held[o.Artifact]; h != nil {
		return e.handleRepeatedLoad(o, h)
	}
	if e.usedBytes()+o.Bytes > e.settings.MemoryBytes {
		e.recorder.violations.Overcommit++
		return http.StatusUnprocessableEntity, "not enough memory"
	}
	if leaving {
		return http.StatusUnprocessableEntity, "leaving"
	}
	e.startLoad(o)
	return http.StatusAccepted, "loading"
}

// orderHeld answers an order to load what is held already.
func (e *Engine) handleRepeatedLoad(o client.OrderRequest, h *heldArtifact) (status int, detail string) {
	switch {
	case h.order == o.Order:
		return http.StatusAccepted, "order was taken before"
	case h.state == message.Loading:
		e.recorder.violations.DuplicateLoad++
		return http.StatusUnprocessableEntity, "loading by another order"
	case h.state == message.Unloading:
		return http.StatusUnprocessableEntity, "unloading"
	}
	return http.StatusAccepted, "loaded"
}

func (e *Engine) startLoad(o client.OrderRequest) {
	ctx, cancel := context.WithCancel(e.bootCtx)
	h := &heldArtifact{artifact: o.Artifact, order: o.Order, bytes: o.Bytes, state: message.Loading, cancel: cancel}
	e.held[o.Artifact] = h
	level := e.cacheLevel(o.Artifact)
	e.recorder.countLoad(level)
	crash := e.faults.Consume(func(f *Faults) *int { return &f.CrashLoads })
	go e.runLoad(ctx, h, level, o.LoadTime, crash)
}

// runLoad takes the time of a load, and then marks h as loaded.
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

func (e *Engine) transferWeights(ctx context.Context, a id.Artifact, level message.CacheLevel, d time.Duration) error {
	switch level {
	case message.CacheMemory:
		return sleep(ctx, time.Duration(float64(d)*e.settings.HostCacheLoadFactor))
	case message.CacheDisk:
		return sleep(ctx, time.Duration(float64(d)*e.settings.DiskCacheLoadFactor))
	}
	return e.settings.Store.Load(ctx, a.IsAdapter(), d)
}

// orderUnload ends a load, or frees the memory once the last request has ended.
func (e *Engine) handleUnload(o client.OrderRequest) (status int, detail string) {
	h := e.held[o.Artifact]
	if h == nil {
		return http.StatusAccepted, "not held"
	}
	if h.running == 0 {
		e.remove(h)
		return http.StatusAccepted, "unloaded"
	}
	h.state = message.Unloading
	h.order = o.Order
	return http.StatusAccepted, "unloads after its last request"
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	e.checkAPIKey(r, nil)
	e.abortIfDown()
	report := e.Report()
	e.server.Sleep(e.faults.Get().ReportDelay)
	w.Header().Set("Content-Type", "application/json")
	switch {
	case e.faults.Consume(func(f *Faults) *int { return &f.MalformedReports }):
		// The client may be gone; there is nobody left to tell.
		_, _ = w.Write([]byte(`{"bytes": "many"`))
	case e.faults.Consume(func(f *Faults) *int { return &f.OversizedReports }):
		_, _ = w.Write([]byte(strings.Repeat(" ", client.MaxReport+1)))
	default:
		serve.WriteJSON(w, http.StatusOK, report)
	}
}
