package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a backend server: a plain service, or a model server if it has room for models.
type worker struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration // of a plain request
	events                  int           // of a stream
	eventEvery              time.Duration
	room                    int // models that fit
	loadTime                time.Duration

	mu        sync.Mutex
	born      int64
	state     string
	models    map[string]bool
	loading   string
	sequence  int64
	entries   int64
	silent    bool // writes no entries
	down      bool // it has crashed
	boot      int
	hook      func(w http.ResponseWriter, r *http.Request, body []byte) bool
	listener  net.Listener
	server    *http.Server
	stopEntry chan struct{}
}

func (c *cluster) addWorker(w *worker, models ...string) *worker {
	w.state, w.born, w.models = "ready", time.Now().UnixMilli(), make(map[string]bool)
	for _, m := range models {
		w.models[m] = true
	}
	l, err := net.Listen("tcp", c.ip(200)+":0")
	if err != nil {
		cantRun("listen for a worker: %v", err)
	}
	w.listener, w.addr = l, l.Addr().String()
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { c.serveWorker(w, rw, r) })}
	go w.server.Serve(l)
	w.stopEntry = make(chan struct{})
	c.workers = append(c.workers, w)
	c.writeEntry(w)
	go func() {
		t := time.NewTicker(1200 * time.Millisecond)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				c.writeEntry(w)
			case <-w.stopEntry:
				return
			}
		}
	}()
	return w
}

// writeEntry writes what the worker says of itself.
func (c *cluster) writeEntry(w *worker) {
	w.mu.Lock()
	if w.silent || w.down {
		w.mu.Unlock()
		return
	}
	w.entries++
	b, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state, "cold_remaining_ms": 0,
		"stage": "both", "models": w.modelList(), "sequence": w.entries, "born": w.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": c.onDisk},
	})
	w.mu.Unlock()
	c.store.put("servers", w.id, b)
}

// crash ends all that runs at a worker, which is back after a while and holds nothing.
func (c *cluster) crash(w *worker, down time.Duration) {
	w.mu.Lock()
	w.boot++
	w.down, w.models, w.loading, w.sequence = true, make(map[string]bool), "", 0
	w.mu.Unlock()
	time.Sleep(down)
	w.mu.Lock()
	w.down, w.born = false, time.Now().UnixMilli()
	w.mu.Unlock()
	c.writeEntry(w)
}

func (w *worker) modelList() []map[string]any {
	list := []map[string]any{}
	for m := range w.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (c *cluster) serveWorker(w *worker, rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Oleanderdale-Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("X-Oleanderdale-Request-Id", r.Header.Get("X-Oleanderdale-Request-Id"))
		rw.Header().Set("X-Oleanderdale-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	down := w.down
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if w.hook != nil && w.hook(rw, r, body) {
		return
	}
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("X-Oleanderdale-Instance-Id", w.id)
	case "/v1/report":
		w.mu.Lock()
		b, _ := json.Marshal(map[string]any{"stage": "both", "models": w.modelList(), "busy": w.loading != "", "sequence": w.sequence,
			"waiting": 0, "running": 0, "kv_used": 0, "kv_total": 200000, "handles": 0})
		w.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_, _ = rw.Write(b)
	case "/v1/order":
		if c.onOrderArrives != nil && c.onOrderArrives(w, body) {
			panic(http.ErrAbortHandler)
		}
		status := c.order(w, body)
		if status == 0 { // it crashed
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(status)
	default:
		c.run(w, rw, r, body)
	}
}

// order carries out an order and returns the status of the answer.
func (c *cluster) order(w *worker, body []byte) int {
	var o struct {
		Op, Model, Holder string
		Precondition      *int64
		Fence             int64
	}
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		return http.StatusBadRequest
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	status := http.StatusAccepted
	switch {
	case o.Precondition != nil && *o.Precondition != w.sequence || w.loading != "":
		status = http.StatusConflict
	case w.models[o.Model] == (o.Op == "load"):
		status = http.StatusOK
	case o.Op == "unload":
		delete(w.models, o.Model)
		w.sequence++
	case len(w.models) >= w.room:
		c.rec.add(event{Kind: "overfull", Worker: w.id, Holder: o.Holder, Fence: o.Fence, Text: fmt.Sprintf("load %s with %d models loaded, room for %d, precondition %d", o.Model, len(w.models), w.room, w.sequence)})
		go c.crash(w, time.Second)
		return 0
	default:
		w.loading = o.Model
		w.sequence++
		boot := w.boot
		time.AfterFunc(w.loadTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.boot != boot {
				return
			}
			w.models[o.Model], w.loading = true, ""
		})
	}
	c.rec.add(event{Kind: "order", Worker: w.id, Holder: o.Holder, Fence: o.Fence, Text: fmt.Sprintf("%s %s -> %d", o.Op, o.Model, status)})
	return status
}

// run runs a request of a client.
func (c *cluster) run(w *worker, rw http.ResponseWriter, r *http.Request, body []byte) {
	id, model := r.Header.Get("X-Oleanderdale-Request-Id"), r.Header.Get("X-Oleanderdale-Model")
	h := rw.Header()
	h.Set("X-Oleanderdale-Request-Id", id)
	if model != "" {
		w.mu.Lock()
		held := w.models[model]
		w.mu.Unlock()
		if !held {
			h.Set("X-Oleanderdale-Instance-Id", w.id)
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
	}
	c.rec.add(event{Kind: "run", Worker: w.id, ID: id, Text: r.Method + " " + r.RequestURI})
	h.Set("X-Oleanderdale-Response-Signature", "sig."+id)
	if model == "" {
		time.Sleep(w.work)
		_, _ = io.WriteString(rw, plainBody(id, body))
		c.rec.add(event{Kind: "ran", Worker: w.id, ID: id})
		return
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h.Set("Content-Type", "text/event-stream")
	w.mu.Lock()
	boot := w.boot
	w.mu.Unlock()
	for i := from + 1; i <= w.events; i++ {
		time.Sleep(w.eventEvery)
		w.mu.Lock()
		ended := w.boot != boot
		w.mu.Unlock()
		if ended {
			c.rec.add(event{Kind: "lost", Worker: w.id, ID: id, Text: "the worker crashed"})
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(rw, streamEvent(id, i)); err != nil || r.Context().Err() != nil {
			c.rec.add(event{Kind: "broken off", Worker: w.id, ID: id, Text: fmt.Sprint("before event ", i)})
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
	c.rec.add(event{Kind: "ran", Worker: w.id, ID: id})
}

func plainBody(id string, body []byte) string {
	return fmt.Sprintf("answer to %s with %d bytes", id, len(body))
}

func streamEvent(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, id) }

func streamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(streamEvent(id, i))
	}
	return b.String()
}
