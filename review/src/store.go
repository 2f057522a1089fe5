package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver,omitempty"`
	Removed bool   `json:"tombstone,omitempty"`
}

// rowsAnswer is the body of the store's answers.
type rowsAnswer struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has_more"`
	Version int64 `json:"ver"`
	NowMS   int64 `json:"now_ms"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store: rows-tx, rows-get and rows-feed. It keeps the
// whole history of row versions, so that no feed is answered with 410.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row as the operator or a worker does, and returns when it is acknowledged.
func (s *store) put(table, key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: value, Version: s.version})
	s.wake()
	return time.Now()
}

// remove removes a row as the platform does.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.wake()
	return time.Now()
}

func (s *store) set(r row) { s.rows[rowKey{r.Table, r.Part, r.Key}] = r }

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	status, answer := http.StatusNotFound, rowsAnswer{}
	switch r.URL.Path {
	case "/v1/rows-tx":
		status, answer = s.transact(body)
	case "/v1/rows-get":
		status, answer = http.StatusOK, s.get(r)
	case "/v1/rows-feed":
		status, answer = http.StatusOK, s.feed(r)
	}
	if answer.Rows == nil {
		answer.Rows = []row{}
	}
	answer.NowMS = time.Since(s.started).Milliseconds() + 1
	b, err := json.Marshal(answer)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) transact(body []byte) (int, rowsAnswer) {
	var tx struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Remove     []row `json:"remove"`
	}
	if json.Unmarshal(body, &tx) != nil {
		return http.StatusBadRequest, rowsAnswer{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed, current := false, []row{}
	for _, c := range tx.Conditions {
		r, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		live := ok && !r.Removed
		if live {
			current = append(current, r)
		}
		if live && r.Version != c.Version || !live && c.Version != 0 {
			failed = true
		}
	}
	if failed {
		return http.StatusPreconditionFailed, rowsAnswer{Rows: current, Version: s.version}
	}
	for _, p := range append(tx.Puts, tx.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, rowsAnswer{Version: s.version}
		}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version, p.Removed = s.version, false
		s.set(p)
	}
	for _, p := range tx.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Removed: true})
	}
	s.wake()
	return http.StatusOK, rowsAnswer{Version: s.version}
}

func (s *store) get(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := rowsAnswer{Version: s.version}
	for k, r := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !r.Removed && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			a.Rows = append(a.Rows, r)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	return a
}

func (s *store) feed(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a := rowsAnswer{Version: s.version}
		for k, r := range s.rows {
			if k.table == q.Get("table") && r.Version > after {
				a.Rows = append(a.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Version < a.Rows[j].Version })
		if len(a.Rows) > 0 {
			return a
		}
		select {
		case <-changed:
		case <-end:
			return a
		case <-r.Context().Done():
			return a
		}
	}
}
