package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	engineMemoryMB = 220000.0
	modelMB        = 72700.0
	modelDisk      = time.Second            // load from the worker's own disk
	modelWarm      = 400 * time.Millisecond // load from its memory
	engineSlots    = 64
)

// order is an order to an engine.
type order struct {
	Op           string `json:"op"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Precondition *int64 `json:"precondition"`
	Holder       string `json:"holder"`
	Fence        int64  `json:"fence"`
}

// engine is a stand-in of a model worker that carries out one order at a time.
type engine struct {
	c       *cluster
	id      string
	service string
	zone    string
	address string
	// onOrder sees each order before it is carried out. If it returns true, the order gets no
	// answer and is not carried out now.
	onOrder func(e *engine, o order) bool

	mu       sync.Mutex
	born     int64
	writes   int
	sequence int64
	models   map[string]bool
	loading  string
	warm     map[string]bool // copies in memory
	disk     []string        // copies on disk
	running  int
	down     bool
	conns    map[net.Conn]bool
	over     []string // orders that exceeded the memory
}

func (c *cluster) newEngine(id, service, zone string, models, disk []string, onOrder func(*engine, order) bool) *engine {
	l, err := net.Listen("tcp", c.network+".101:0")
	check(err)
	e := &engine{c: c, id: id, service: service, zone: zone, address: l.Addr().String(), onOrder: onOrder, disk: disk, conns: make(map[net.Conn]bool)}
	e.boot(models)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	e.writeEntry()
	go func() {
		for {
			time.Sleep(entryInterval)
			e.writeEntry()
		}
	}()
	return e
}

// boot starts the engine; it knows nothing of before but what its disk holds.
func (e *engine) boot(models []string) {
	e.born, e.sequence, e.loading, e.running, e.down = time.Now().UnixMilli(), 0, "", 0, false
	e.models, e.warm = make(map[string]bool), make(map[string]bool)
	for _, m := range models {
		e.models[m], e.warm[m] = true, true
	}
}

// crash resets all connections. The platform removes the engine's entry after three intervals of
// silence. The engine starts again with the same ID after a while.
func (e *engine) crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.c.notef("%s: crashes", e.id)
	time.AfterFunc(3*entryInterval, func() {
		if e.isDown() {
			e.c.store.remove("servers", e.id)
		}
	})
	time.AfterFunc(down, func() {
		e.mu.Lock()
		e.boot(nil)
		e.mu.Unlock()
		e.c.notef("%s: is back with the same ID, empty", e.id)
		e.writeEntry()
	})
}

func (e *engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func names(set map[string]bool) []string {
	list := []string{}
	for n := range set {
		list = append(list, n)
	}
	sort.Strings(list)
	return list
}

func (e *engine) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range names(e.models) {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.writes++
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.writes, "born": e.born, "stage": "both", "models": e.modelList(),
		"at_hand": map[string]any{"in_memory": names(e.warm), "on_disk": e.disk},
	})
	e.mu.Unlock()
	check(err)
	e.c.store.put("servers", e.id, b)
}

func (e *engine) serve(conn net.Conn) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	e.conns[conn] = true
	e.mu.Unlock()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !e.handle(conn, req, body) {
			return
		}
	}
}

// handle answers a request; it returns false if the connection ends.
func (e *engine) handle(conn net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get("X-Oleanderdale-Request-Id")
	if want := req.Header.Get("X-Oleanderdale-Expect-Instance"); want != "" && want != e.id {
		return reply(conn, "421 Misdirected Request", id, "X-Oleanderdale-Instance-Id: "+e.id+"\r\nX-Oleanderdale-Not-Executed: 1\r\n", "")
	}
	switch req.URL.Path {
	case "/v1/report":
		e.mu.Lock()
		b, err := json.Marshal(map[string]any{
			"stage": "both", "models": e.modelList(), "busy": e.loading != "", "sequence": e.sequence, "waiting": 0, "running": e.running,
			"kv_used": 0, "kv_total": 250676, "handles": 0, "coming": []string{}, "at_hand": map[string]any{"in_memory": names(e.warm), "on_disk": e.disk},
		})
		e.mu.Unlock()
		check(err)
		return reply(conn, "200 OK", id, "Content-Type: application/json\r\n", string(b))
	case "/v1/order":
		var o order
		if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
			return reply(conn, "400 Bad Request", id, "", "")
		}
		if e.onOrder(e, o) {
			return true // no answer
		}
		return reply(conn, fmt.Sprintf("%d Order", e.carryOut(o, "")), id, "", "")
	}
	return e.stream(conn, req, id)
}

// carryOut carries an order out and returns the status of the answer.
func (e *engine) carryOut(o order, note string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.decide(o)
	pre := int64(-1)
	if o.Precondition != nil {
		pre = *o.Precondition
	}
	e.c.notef("%s: order %s %s, precondition %d, holder %s, fence %d%s: %d; sequence %d, holds %v, loading %q", e.id, o.Op, o.Model, pre, o.Holder, o.Fence, note, status, e.sequence, names(e.models), e.loading)
	return status
}

func (e *engine) decide(o order) int {
	switch {
	case e.down:
		return http.StatusServiceUnavailable
	case o.Op == "load" && e.models[o.Model] || o.Op == "unload" && !e.models[o.Model]:
		return http.StatusOK
	case e.loading != "" || o.Precondition != nil && *o.Precondition != e.sequence:
		return http.StatusConflict
	}
	e.sequence++
	if o.Op == "unload" {
		delete(e.models, o.Model)
		return http.StatusAccepted
	}
	if need := float64(len(e.models)+1) * modelMB; need > engineMemoryMB {
		e.over = append(e.over, fmt.Sprintf("%s is ordered to load %s beside %v: %.0f MB of %.0f", e.id, o.Model, names(e.models), need, engineMemoryMB))
		go e.crash(time.Minute)
		return http.StatusAccepted
	}
	duration := modelDisk
	if e.warm[o.Model] {
		duration = modelWarm
	}
	e.loading = o.Model
	born := e.born
	time.AfterFunc(duration, func() {
		e.mu.Lock()
		done := e.born == born && !e.down
		if done {
			e.models[o.Model], e.warm[o.Model], e.loading = true, true, ""
		}
		e.mu.Unlock()
		if done {
			e.writeEntry()
		}
	})
	return http.StatusAccepted
}

// stream runs a request, or rejects it if the model is not loaded.
func (e *engine) stream(conn net.Conn, req *http.Request, id string) bool {
	e.mu.Lock()
	ok := e.models[req.Header.Get("X-Oleanderdale-Model")]
	if ok {
		e.running++
	}
	e.mu.Unlock()
	if !ok {
		return reply(conn, "421 Misdirected Request", id, "X-Oleanderdale-Not-Executed: 1\r\n", "")
	}
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Oleanderdale-Request-Id: %s\r\nX-Oleanderdale-Response-Signature: %s.%s\r\nX-Oleanderdale-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id); err != nil {
		return false
	}
	for i := 1; i <= 10; i++ {
		time.Sleep(20 * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func reply(conn net.Conn, status, id, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Oleanderdale-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
	return err == nil
}
