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

// EngineHarness gives the contract tests engines and control over them.
type EngineHarness interface {
	// Engines returns the adapter under test.
	Engines() ports.Engines
	// StartEngine starts an engine that has one model loaded and memory for maxModels,
	// and returns its address. Loading a model takes LoadTime.
	StartEngine(id, model string, maxModels int) (address string)
	// StopResponding makes an engine respond to no call from now on.
	StopResponding(id string)
}

// LoadTime is how long an engine of an EngineHarness takes to load a model.
const LoadTime = 100 * time.Millisecond

// TestEngines tests the contract of ports.Engines. open returns a new harness for each
// case.
func TestEngines(t *testing.T, open func(t *testing.T) EngineHarness) {
	cases := []struct {
		name string
		run  func(t *testing.T, e *engineCase)
	}{
		{"load and unload", testLoadAndUnload},
		{"order with another precondition", testPrecondition},
		{"order during another", testBusy},
		{"order for a loaded model", testAlreadyDone},
		{"order to the address of another server", testWrongServer},
		{"no response", testNoResponse},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := open(t)
			c.run(t, &engineCase{t: t, harness: h, address: h.StartEngine("e1", "warm", 2)})
		})
	}
}

// engineCase is a test case with one engine.
type engineCase struct {
	t       *testing.T
	harness EngineHarness
	address string
}

func (e *engineCase) sendOrder(ctx context.Context, kind placer.OrderKind, model string, precondition int64) placer.OrderResult {
	result, _ := e.harness.Engines().SendOrder(ctx, placer.Order{
		Server: "e1", Address: e.address, Kind: kind, Model: model, Precondition: precondition,
	}, "instance", 1)
	return result
}

// expect sends an order and fails the test if it has another result.
func (e *engineCase) expect(result placer.OrderResult, kind placer.OrderKind, model string, precondition int64) {
	e.t.Helper()
	if got := e.sendOrder(soon(e.t), kind, model, precondition); got != result {
		e.t.Errorf("%s %s after %d orders: %v, want %v", kind, model, precondition, got, result)
	}
}

// waitIdle waits until the engine carries out no order and returns its report.
func (e *engineCase) waitIdle() placer.Report {
	e.t.Helper()
	for end := time.Now().Add(20 * LoadTime); time.Now().Before(end); time.Sleep(LoadTime / 10) {
		r, _, err := e.harness.Engines().FetchReport(soon(e.t), ports.Route{Address: e.address, Server: "e1"})
		if err != nil {
			e.t.Fatal(err)
		}
		if !r.Busy {
			return r
		}
	}
	e.t.Fatal("the engine is still busy after 20 load times")
	return placer.Report{}
}

// hasModel reports whether a report lists a model as loaded.
func hasModel(r placer.Report, model string) bool {
	_, ok := (&directory.Entry{LoadedModels: r.LoadedModels}).LoadedModel(model)
	return ok
}

func testLoadAndUnload(t *testing.T, e *engineCase) {
	if r := e.waitIdle(); r.Sequence != 0 || !hasModel(r, "warm") || hasModel(r, "cold") {
		t.Fatalf("at the start: %+v", r)
	}
	e.expect(placer.Accepted, placer.Load, "cold", 0)
	if r := e.waitIdle(); r.Sequence != 1 || !hasModel(r, "cold") {
		t.Errorf("after a load: %+v", r)
	}
	e.expect(placer.Accepted, placer.Unload, "warm", 1)
	if r := e.waitIdle(); r.Sequence != 2 || hasModel(r, "warm") {
		t.Errorf("after an unload: %+v", r)
	}
}

// An order takes effect only if it names the number of orders accepted so far. Of two
// equal orders, one takes effect.
func testPrecondition(t *testing.T, e *engineCase) {
	e.expect(placer.Busy, placer.Load, "cold", 1)
	e.expect(placer.Accepted, placer.Unload, "warm", 0)
	e.waitIdle()
	e.expect(placer.Busy, placer.Unload, "warm", 0)
	if r := e.waitIdle(); r.Sequence != 1 {
		t.Errorf("%d orders accepted, want one", r.Sequence)
	}
}

func testBusy(_ *testing.T, e *engineCase) {
	e.expect(placer.Accepted, placer.Load, "cold", 0)
	e.expect(placer.Busy, placer.Unload, "warm", 1)
	e.waitIdle()
	e.expect(placer.Accepted, placer.Unload, "warm", 1)
}

func testAlreadyDone(t *testing.T, e *engineCase) {
	e.expect(placer.AlreadyDone, placer.Load, "warm", 0)
	if r := e.waitIdle(); r.Sequence != 0 {
		t.Errorf("%d orders accepted, want none", r.Sequence)
	}
}

func testWrongServer(t *testing.T, e *engineCase) {
	got, _ := e.harness.Engines().SendOrder(soon(t), placer.Order{Server: "e2", Address: e.address, Kind: placer.Unload, Model: "warm"}, "instance", 1)
	if got != placer.WrongServer {
		t.Errorf("result %v, want that of a wrong server", got)
	}
	if _, _, err := e.harness.Engines().FetchReport(soon(t), ports.Route{Address: e.address, Server: "e2"}); err == nil {
		t.Error("a report of another server was accepted")
	}
}

func testNoResponse(t *testing.T, e *engineCase) {
	e.harness.StopResponding("e1")
	if got := e.sendOrder(brief(t), placer.Load, "cold", 0); got != placer.NoResponse {
		t.Errorf("result %v, want that of no response", got)
	}
	if _, _, err := e.harness.Engines().FetchReport(brief(t), ports.Route{Address: e.address, Server: "e1"}); err == nil {
		t.Error("report without a response: no error")
	}
}

// MemoryEngines implements EngineHarness and ports.Engines with engines in memory.
type MemoryEngines struct {
	mu      sync.Mutex
	engines map[string]*memoryEngine // by address
}

type memoryEngine struct {
	feedback     ports.Feedback
	id           string
	sequence     int64
	models       map[string]bool
	loading      string
	loadedAt     time.Time
	loadTime     time.Duration
	unresponsive bool
	senders      []string // who sent orders, in order, without immediate repeats
}

// OrderSenders returns the holders that sent orders to an engine, in order and without
// immediate repeats.
func (m *MemoryEngines) OrderSenders(address string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.engines[address].senders)
}

// NewMemoryEngines returns a MemoryEngines without engines.
func NewMemoryEngines() *MemoryEngines {
	return &MemoryEngines{engines: make(map[string]*memoryEngine)}
}

// Engines implements EngineHarness.
func (m *MemoryEngines) Engines() ports.Engines { return m }

// StartEngine implements EngineHarness. The address of the engine is its ID.
func (m *MemoryEngines) StartEngine(id, model string, _ int) string {
	m.AddEngine(id, id, LoadTime, model)
	return id
}

// AddEngine adds an engine with some models loaded. Loading a model takes loadTime.
func (m *MemoryEngines) AddEngine(id, address string, loadTime time.Duration, models ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := &memoryEngine{id: id, models: make(map[string]bool), loadTime: loadTime}
	for _, name := range models {
		e.models[name] = true
	}
	m.engines[address] = e
}

// StopResponding implements EngineHarness.
func (m *MemoryEngines) StopResponding(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.engines[id].unresponsive = true
}

// HasModel reports whether the engine at an address has a model loaded.
func (m *MemoryEngines) HasModel(address, model string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[address]
	e.finishLoad()
	return e.models[model]
}

// finishLoad completes a load whose time is over.
func (e *memoryEngine) finishLoad() {
	if e.loading != "" && !time.Now().Before(e.loadedAt) {
		e.models[e.loading], e.loading = true, ""
	}
}

// lookup returns the engine at an address. If none responds there, it waits until ctx
// ends and returns nil.
func (m *MemoryEngines) lookup(ctx context.Context, address string) *memoryEngine {
	m.mu.Lock()
	e := m.engines[address]
	unresponsive := e == nil || e.unresponsive
	m.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil
	}
	return e
}

// SendOrder implements ports.Engines.
func (m *MemoryEngines) SendOrder(ctx context.Context, o placer.Order, holder string, _ int64) (placer.OrderResult, ports.Feedback) {
	e := m.lookup(ctx, o.Address)
	if e == nil {
		return placer.NoResponse, ports.Feedback{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n := len(e.senders); n == 0 || e.senders[n-1] != holder {
		e.senders = append(e.senders, holder)
	}
	e.finishLoad()
	switch {
	case o.Server != e.id:
		return placer.WrongServer, e.feedbackTo(o.Server)
	case o.Precondition != e.sequence || e.loading != "":
		return placer.Busy, e.feedbackTo(o.Server)
	case e.models[o.Model] == (o.Kind == placer.Load):
		return placer.AlreadyDone, e.feedbackTo(o.Server)
	case o.Kind == placer.Load:
		e.loading, e.loadedAt = o.Model, time.Now().Add(e.loadTime)
	default:
		delete(e.models, o.Model)
	}
	e.sequence++
	return placer.Accepted, e.feedbackTo(o.Server)
}

// FetchReport implements ports.Engines.
func (m *MemoryEngines) FetchReport(ctx context.Context, to ports.Route) (placer.Report, ports.Feedback, error) {
	e := m.lookup(ctx, to.Address)
	if e == nil {
		return placer.Report{}, ports.Feedback{}, errors.New("memory: no response")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	e.finishLoad()
	if e.id != to.Server {
		return placer.Report{}, ports.Feedback{}, errors.Errorf("memory: server %s is not %s", e.id, to.Server)
	}
	r := placer.Report{Sequence: e.sequence, Busy: e.loading != ""}
	for name := range e.models {
		r.LoadedModels = append(r.LoadedModels, directory.LoadedModel{Model: name})
	}
	return r, e.feedback, nil
}

// Ping implements ports.Engines.
func (m *MemoryEngines) Ping(ctx context.Context, to ports.Route, _ string) error {
	_, _, err := m.FetchReport(ctx, to)
	return err
}

// feedbackTo returns what the engine says about itself to a call for a server.
func (e *memoryEngine) feedbackTo(server string) ports.Feedback {
	if server != e.id {
		return ports.Feedback{}
	}
	return e.feedback
}

// SetFeedback sets what an engine says about itself in its responses.
func (m *MemoryEngines) SetFeedback(id string, f ports.Feedback) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range m.engines {
		if e.id == id {
			e.feedback = f
		}
	}
}
