package portstest

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/gateway/ports"
)

// Fleet is engines behind an adapter.
type Fleet interface {
	Engines() ports.Engines
	// Engine starts an engine with room for some models that holds one, and
	// returns its address. Its loads take as long as LoadTime.
	Engine(id, holds string, room int) (address string)
	// Silence makes an engine answer nothing from now on.
	Silence(id string)
}

// LoadTime is how long a load takes at the engines of a Fleet.
const LoadTime = 100 * time.Millisecond

// Engines runs the contract of ports.Engines.
func Engines(t *testing.T, open func(t *testing.T) Fleet) {
	cases := []struct {
		name string
		run  func(t *testing.T, e *engineCase)
	}{
		{"load and unload", testLoadAndUnload},
		{"order under another count", testPrecondition},
		{"order while another is under way", testBusy},
		{"order for a model that is held", testHolds},
		{"order to another server's address", testMisplaced},
		{"no answer", testSilentEngine},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := open(t)
			c.run(t, &engineCase{t: t, fleet: f, address: f.Engine("e1", "warm", 2)})
		})
	}
}

// engineCase is one engine with the orders given to it.
type engineCase struct {
	t       *testing.T
	fleet   Fleet
	address string
}

func (e *engineCase) order(ctx context.Context, kind placer.OrderKind, model string, precondition int64) placer.OrderResult {
	return e.fleet.Engines().Order(ctx, placer.Order{
		Server: "e1", Address: e.address, Kind: kind, Model: model, Precondition: precondition,
	}, "instance", 1)
}

// want fails the test if an order has another answer.
func (e *engineCase) want(answer placer.OrderResult, kind placer.OrderKind, model string, precondition int64) {
	e.t.Helper()
	if got := e.order(soon(e.t), kind, model, precondition); got != answer {
		e.t.Errorf("%s %s after %d orders: %v, want %v", kind, model, precondition, got, answer)
	}
}

// settled returns the report once no order is under way.
func (e *engineCase) settled() placer.Report {
	e.t.Helper()
	for end := time.Now().Add(20 * LoadTime); time.Now().Before(end); time.Sleep(LoadTime / 10) {
		r, err := e.fleet.Engines().Report(soon(e.t), e.address, "e1")
		if err != nil {
			e.t.Fatal(err)
		}
		if !r.Busy {
			return r
		}
	}
	e.t.Fatal("an order is under way for too long")
	return placer.Report{}
}

func holds(r placer.Report, model string) bool {
	_, ok := (&directory.Entry{Holdings: r.LoadedModels}).Holds(model)
	return ok
}

func testLoadAndUnload(t *testing.T, e *engineCase) {
	if r := e.settled(); r.Sequence != 0 || !holds(r, "warm") || holds(r, "cold") {
		t.Fatalf("at the start: %+v", r)
	}
	e.want(placer.Accepted, placer.Load, "cold", 0)
	if r := e.settled(); r.Sequence != 1 || !holds(r, "cold") {
		t.Errorf("after a load: %+v", r)
	}
	e.want(placer.Accepted, placer.Unload, "warm", 1)
	if r := e.settled(); r.Sequence != 2 || holds(r, "warm") {
		t.Errorf("after an unload: %+v", r)
	}
}

// Of two equal orders one takes effect.
func testPrecondition(t *testing.T, e *engineCase) {
	e.want(placer.Busy, placer.Load, "cold", 1)
	e.want(placer.Accepted, placer.Unload, "warm", 0)
	e.settled()
	e.want(placer.Busy, placer.Unload, "warm", 0)
	if r := e.settled(); r.Sequence != 1 {
		t.Errorf("%d orders accepted, want one", r.Sequence)
	}
}

func testBusy(_ *testing.T, e *engineCase) {
	e.want(placer.Accepted, placer.Load, "cold", 0)
	e.want(placer.Busy, placer.Unload, "warm", 1)
	e.settled()
	e.want(placer.Accepted, placer.Unload, "warm", 1)
}

func testHolds(t *testing.T, e *engineCase) {
	e.want(placer.AlreadyDone, placer.Load, "warm", 0)
	if r := e.settled(); r.Sequence != 0 {
		t.Errorf("%d orders accepted, want none", r.Sequence)
	}
}

func testMisplaced(t *testing.T, e *engineCase) {
	got := e.fleet.Engines().Order(soon(t), placer.Order{Server: "e2", Address: e.address, Kind: placer.Unload, Model: "warm"}, "instance", 1)
	if got != placer.WrongServer {
		t.Errorf("%v, want misplaced", got)
	}
	if _, err := e.fleet.Engines().Report(soon(t), e.address, "e2"); err == nil {
		t.Error("a report of another server was taken")
	}
}

func testSilentEngine(t *testing.T, e *engineCase) {
	e.fleet.Silence("e1")
	if got := e.order(brief(t), placer.Load, "cold", 0); got != placer.NoResponse {
		t.Errorf("%v, want silent", got)
	}
	if _, err := e.fleet.Engines().Report(brief(t), e.address, "e1"); err == nil {
		t.Error("no error")
	}
}

// MemoryEngines are engines in memory. Their addresses are their ids.
type MemoryEngines struct {
	mu      sync.Mutex
	engines map[string]*memoryEngine // by address
}

type memoryEngine struct {
	id       string
	sequence int64
	models   map[string]bool
	loading  string
	until    time.Time
	loadTime time.Duration
	silent   bool
	holders  []string // of the orders, in turn
}

// Holders returns who gave orders to an engine, in turn.
func (m *MemoryEngines) Holders(address string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.engines[address].holders)
}

// NewMemoryEngines returns a Fleet without engines.
func NewMemoryEngines() *MemoryEngines {
	return &MemoryEngines{engines: make(map[string]*memoryEngine)}
}

// Engines implements Fleet.
func (m *MemoryEngines) Engines() ports.Engines { return m }

// Engine implements Fleet.
func (m *MemoryEngines) Engine(id, holds string, _ int) string {
	m.Add(id, id, LoadTime, holds)
	return id
}

// Add starts an engine at an address. A load takes loadTime, 0: none.
func (m *MemoryEngines) Add(id, address string, loadTime time.Duration, models ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &memoryEngine{id: id, models: make(map[string]bool), loadTime: loadTime}
	for _, name := range models {
		e.models[name] = true
	}
	m.engines[address] = e
}

// Silence implements Fleet.
func (m *MemoryEngines) Silence(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[id].silent = true
}

// Holds reports whether the engine at an address holds a model.
func (m *MemoryEngines) Holds(address, model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[address]
	e.settle()
	return e.models[model]
}

func (e *memoryEngine) settle() {
	if e.loading != "" && !time.Now().Before(e.until) {
		e.models[e.loading], e.loading = true, ""
	}
}

// at returns the engine at an address; it waits for ctx if that is silent.
func (m *MemoryEngines) at(ctx context.Context, address string) *memoryEngine {
	m.mu.Lock()
	e := m.engines[address]
	silent := e == nil || e.silent
	m.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil
	}
	return e
}

// Order implements ports.Engines.
func (m *MemoryEngines) Order(ctx context.Context, o placer.Order, holder string, _ int64) placer.OrderResult {
	e := m.at(ctx, o.Address)
	if e == nil {
		return placer.NoResponse
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(e.holders); n == 0 || e.holders[n-1] != holder {
		e.holders = append(e.holders, holder)
	}
	e.settle()
	switch {
	case o.Server != e.id:
		return placer.WrongServer
	case o.Precondition != e.sequence || e.loading != "":
		return placer.Busy
	case e.models[o.Model] == (o.Kind == placer.Load):
		return placer.AlreadyDone
	case o.Kind == placer.Load:
		e.loading, e.until = o.Model, time.Now().Add(e.loadTime)
	default:
		delete(e.models, o.Model)
	}
	e.sequence++
	return placer.Accepted
}

// Report implements ports.Engines.
func (m *MemoryEngines) Report(ctx context.Context, address, server string) (placer.Report, error) {
	e := m.at(ctx, address)
	if e == nil {
		return placer.Report{}, errors.New("memory: no answer")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e.settle()
	if e.id != server {
		return placer.Report{}, errors.Errorf("memory: %s is not %s", e.id, server)
	}
	r := placer.Report{Sequence: e.sequence, Busy: e.loading != ""}
	for name := range e.models {
		r.LoadedModels = append(r.LoadedModels, directory.Holding{Model: name})
	}
	return r, nil
}
