package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a plain service's worker. It serves one request at a time on each
// connection, slots requests at once, and queues a few more; it rejects the others.
type worker struct {
	c           *cluster
	id, service string
	zone        string
	slots       int
	queue       int
	work        time.Duration
	// connectionHold is how long a new connection holds a slot, and closeShare the part of the
	// responses after which the worker closes the connection.
	connectionHold time.Duration
	closeShare     float64
	// extraShare is the part of its answers of which a second copy comes late: where the
	// next response is expected on the same connection.
	extraShare atomic.Value // float64

	address string
	born    int64
	places  chan struct{} // one for each request that runs or waits
	running chan struct{} // one for each slot

	deadlyPath string // of requests that crash the worker when it begins to run them; "": none
	downTime   time.Duration

	mu       sync.Mutex
	dark     bool
	crashes  []time.Time
	deadly   []time.Time // arrivals of deadly requests
	conns    map[net.Conn]bool
	runs     map[string]int
	rejected int
	extras   int
	writes   int
}

func (c *cluster) newWorker(id, service, zone string, slots, queue int, work time.Duration) *worker {
	l, err := net.Listen("tcp", c.network+".101:0")
	check(err)
	w := &worker{
		c: c, id: id, service: service, zone: zone, slots: slots, queue: queue, work: work, address: l.Addr().String(), born: time.Now().UnixMilli(),
		places: make(chan struct{}, slots+queue), running: make(chan struct{}, slots), runs: make(map[string]int),
		conns: make(map[net.Conn]bool),
	}
	w.extraShare.Store(0.0)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = true
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return w
}

// crash lets the worker go dark: it answers nothing on any connection and writes no entry, which
// the platform removes after three intervals of silence. Then it starts again with the same ID,
// and its old connections are reset.
func (w *worker) crash(id string, down time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return
	}
	w.dark = true
	if os.Getenv("RESET") == "1" { // a control: the connections end at once
		for conn := range w.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	w.crashes = append(w.crashes, time.Now())
	w.c.notef("%s: begins to run %s and goes dark", w.id, id)
	time.AfterFunc(3*entryInterval, func() { w.c.store.remove("servers", w.id) })
	time.AfterFunc(down, w.restart)
}

func (w *worker) restart() {
	w.mu.Lock()
	for conn := range w.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	w.dark, w.born = false, time.Now().UnixMilli()
	w.mu.Unlock()
	w.c.notef("%s: is back", w.id)
	w.writeEntry("ready")
}

// silent reports whether the worker is dark.
func (w *worker) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dark
}

// entryInterval is the time between two entries of a worker.
const entryInterval = 1200 * time.Millisecond

// publish writes the worker's entry to the store once an entryInterval.
func (w *worker) publish() {
	w.writeEntry("ready")
	go func() {
		for {
			time.Sleep(entryInterval)
			if !w.silent() {
				w.writeEntry("ready")
			}
		}
	}()
}

func (w *worker) writeEntry(state string) {
	w.mu.Lock()
	w.writes++
	b, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": w.writes, "born": w.born,
	})
	w.mu.Unlock()
	check(err)
	w.c.store.put("servers", w.id, b)
}

// serve serves one connection.
func (w *worker) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	w.holdSlot()
	r := bufio.NewReader(conn)
	extra := "" // a second copy of the last answer, not sent yet
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if w.swallows(req) {
			continue
		}
		if extra != "" {
			w.c.notef("%s: second copy of an earlier answer, where the answer to %s is expected", w.id, req.Header.Get("X-Oleanderdale-Request-Id"))
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
		}
		answer, closes := w.answer(req)
		if w.silent() {
			continue
		}
		if _, err := io.WriteString(conn, answer); err != nil || closes {
			return
		}
		extra = ""
		if rand.Float64() < w.extraShare.Load().(float64) {
			w.mu.Lock()
			w.extras++
			w.mu.Unlock()
			extra = answer
		}
	}
}

// swallows reports whether a request gets no answer since the worker is dark, or goes dark by it.
func (w *worker) swallows(req *http.Request) bool {
	if w.silent() {
		return true
	}
	if w.deadlyPath == "" || req.URL.Path != w.deadlyPath {
		return false
	}
	w.mu.Lock()
	w.deadly = append(w.deadly, time.Now())
	w.mu.Unlock()
	w.crash(req.Header.Get("X-Oleanderdale-Request-Id"), w.downTime)
	return true
}

// holdSlot lets a new connection hold a slot briefly, if one is free.
func (w *worker) holdSlot() {
	if w.connectionHold == 0 {
		return
	}
	select {
	case w.places <- struct{}{}:
		go func() {
			w.running <- struct{}{}
			time.Sleep(w.connectionHold)
			<-w.running
			<-w.places
		}()
	default:
	}
}

// answer runs a request or rejects it, and returns the answer.
func (w *worker) answer(req *http.Request) (text string, closes bool) {
	id := req.Header.Get("X-Oleanderdale-Request-Id")
	if want := req.Header.Get("X-Oleanderdale-Expect-Instance"); want != "" && want != w.id {
		return w.rejection("421 Misdirected Request", id), false
	}
	select {
	case w.places <- struct{}{}:
	default:
		w.mu.Lock()
		w.rejected++
		w.mu.Unlock()
		w.c.notef("%s: %s rejected, the worker is full", w.id, id)
		return w.rejection("503 Service Unavailable", id), false
	}
	w.running <- struct{}{}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.c.notef("%s: %s runs", w.id, id)
	time.Sleep(w.work)
	<-w.running
	<-w.places
	closes = rand.Float64() < w.closeShare
	connection := ""
	if closes {
		connection = "Connection: close\r\n"
	}
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Oleanderdale-Request-Id: %s\r\nX-Oleanderdale-Response-Signature: %s.%s\r\n%sContent-Length: %d\r\n\r\n%s",
		id, w.id, id, connection, len(body), body), closes
}

func (w *worker) rejection(status, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Oleanderdale-Request-Id: %s\r\nX-Oleanderdale-Not-Executed: 1\r\nX-Oleanderdale-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, id, w.id)
}

func (w *worker) runCount(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
