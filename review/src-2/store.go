package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is a row of the store, as in the store's protocol.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver,omitempty"`
	Removed bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

// storeMode is how the store treats the calls of one endpoint.
type storeMode int32

const (
	storeServes storeMode = iota
	storeBusy             // 503, nothing is done
	storeResets           // the connection is reset, nothing is done
	storeSilent           // no answer, nothing is done
	storeLoses            // done, not answered
	storeLate             // writes are done after lateBy if their condition holds then, not answered
)

// store is a stand-in of the platform's store with the rows calls.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	era     int64
	changed chan struct{}
	start   time.Time
	copied  map[rowKey]row
	copyVer int64
	lateBy  time.Duration
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), start: time.Now(), lateBy: 3 * time.Second}
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

// put writes a row as the operator and the workers do.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Value: value, Version: s.version}
	s.wake()
	return s.version
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey{table, "", key}] = row{Table: table, Key: key, Version: s.version, Removed: true}
	s.wake()
}

// copyNow keeps a copy, and comeBack returns the store from it in a new era.
func (s *store) copyNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied, s.copyVer = make(map[rowKey]row), s.version
	for k, r := range s.rows {
		s.copied[k] = r
	}
}

func (s *store) comeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.version = make(map[rowKey]row), s.copyVer
	for k, r := range s.copied {
		s.rows[k] = r
	}
	s.era++
	s.wake()
}

// endpoint is the store as some callers see it.
type endpoint struct {
	s    *store
	mode atomic.Int32
	addr string
}

func (s *store) listen(ip string) *endpoint {
	e := &endpoint{s: s}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cantRun("listen for the store: %v", err)
	}
	e.addr = l.Addr().String()
	go http.Serve(l, e)
	return e
}

func (e *endpoint) set(m storeMode) { e.mode.Store(int32(m)) }

func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch m := storeMode(e.mode.Load()); {
	case m == storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case m == storeResets:
		reset(w)
		return
	case m == storeSilent:
		<-r.Context().Done()
		return
	case m == storeLate && r.Method == http.MethodPost:
		time.AfterFunc(e.s.lateBy, func() { e.s.transact(body) })
		<-r.Context().Done()
		return
	case m == storeLoses && r.Method == http.MethodPost:
		e.s.transact(body)
		<-r.Context().Done()
		return
	}
	status, out := 0, map[string]any{}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-get":
		status, out = e.s.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		status, out = e.s.feed(r, q.Get("table"), after, time.Duration(ms)*time.Millisecond)
	case "/v1/rows-tx":
		status, out = e.s.transact(body)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	switch storeMode(e.mode.Load()) { // a call that waited while the store went away
	case storeBusy, storeResets, storeSilent:
		reset(w)
		return
	}
	e.s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(e.s.era, 10))
	e.s.mu.Unlock()
	out["now_ms"] = time.Since(e.s.start).Milliseconds() + 1
	b, _ := json.Marshal(out)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// reset resets the connection of a response.
func reset(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (s *store) get(table, part, from, to string) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for k, r := range s.rows {
		if k.table == table && k.part == part && !r.Removed && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return 200, map[string]any{"rows": rows, "has_more": false, "ver": s.version}
}

func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) (int, map[string]any) {
	end := time.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after > s.version || era != s.era {
			s.mu.Unlock()
			return 410, map[string]any{}
		}
		rows := []row{}
		for k, v := range s.rows {
			if k.table == table && v.Version > after {
				rows = append(rows, v)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		out, changed := map[string]any{"rows": rows, "has_more": false, "ver": s.version}, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return 200, out
		}
		select {
		case <-changed:
		case <-end:
			return 200, out
		case <-r.Context().Done():
			return 200, out
		}
	}
}

func (s *store) transact(body []byte) (int, map[string]any) {
	var tx struct {
		Precondition, Puts, Remove []row
	}
	if json.Unmarshal(body, &tx) != nil {
		return 400, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := []row{}, true
	for _, c := range tx.Precondition {
		r, known := s.rows[rowKey{c.Table, c.Part, c.Key}]
		v := r.Version
		if !known || r.Removed {
			v = 0
		} else {
			current = append(current, r)
		}
		ok = ok && v == c.Version
	}
	if !ok {
		return 412, map[string]any{"rows": current, "ver": s.version}
	}
	s.version++
	for _, p := range tx.Puts {
		if p.Table == "op" || p.Table == "servers" {
			return 403, map[string]any{}
		}
		p.Version = s.version
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
	}
	for _, p := range tx.Remove {
		s.rows[rowKey{p.Table, p.Part, p.Key}] = row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Removed: true}
	}
	s.wake()
	return 200, map[string]any{"ver": s.version}
}
