package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderdale.org/oleander/standin/internal/serve"
)

// faultPollInterval is the longest time until a change of the store's fault
// settings affects the loads in transit.
const faultPollInterval = 50 * time.Millisecond

// StoreSettings are the limits of a WeightStore.
type StoreSettings struct {
	// LoadsPerSecond is the number of loads that can start in a second; 0 means
	// no limit.
	LoadsPerSecond float64
	// LoadsAtOnce is the number of loads of models that run at full speed
	// together; more loads share the same total speed. 0 means no limit.
	LoadsAtOnce int
	// AdaptersInTransit is the same limit for loads of adapters.
	AdaptersInTransit int
}

// StoreFaults are the faults that a WeightStore injects.
type StoreFaults struct {
	// Down pauses all loads.
	Down bool `json:"down"`
	// SlowFactor is the factor by which all loads slow down; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// WeightStore is a stand-in for the rate-limited store of the checkpoints. All
// engines of a deployment share one. Its handler serves the fault settings only.
type WeightStore struct {
	settings StoreSettings
	faults   serve.FaultSettings[StoreFaults]

	mu           sync.Mutex
	nextStart    time.Time
	advancedAt   time.Time // time up to which the transfers are accounted
	transfers    []*transfer
	timer        *time.Timer
	maxInTransit int
}

// transfer is a load that has started and not ended.
type transfer struct {
	adapter   bool
	remaining time.Duration // rest of the load time at full speed
	done      chan struct{}
}

// NewWeightStore returns a weight store without loads.
func NewWeightStore(s StoreSettings) *WeightStore { return &WeightStore{settings: s} }

// Faults returns the current fault settings.
func (s *WeightStore) Faults() StoreFaults { return s.faults.Get() }

// SetFaults replaces the fault settings.
func (s *WeightStore) SetFaults(f StoreFaults) { s.faults.Set(f) }

// ServeHTTP serves the fault settings, see serve.FaultSettings.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.faults.ServeHTTP(w, r) }

// InTransit returns the current number of loads from the store, and the highest
// number so far.
func (s *WeightStore) InTransit() (now, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transfers), s.maxInTransit
}

// Load waits for the time of a load that takes d at full speed. It returns the
// error of ctx if that ends first.
func (s *WeightStore) Load(ctx context.Context, adapter bool, d time.Duration) error {
	if err := sleep(ctx, time.Until(s.reserveStart())); err != nil {
		return err
	}
	t := &transfer{adapter: adapter, remaining: d, done: make(chan struct{})}
	s.add(t)
	select {
	case <-t.done:
		return nil
	case <-ctx.Done():
		s.remove(t)
		return ctx.Err()
	}
}

// reserveStart returns the time at which the next load may start.
func (s *WeightStore) reserveStart() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.settings.LoadsPerSecond <= 0 {
		return now
	}
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	start := s.nextStart
	s.nextStart = start.Add(time.Duration(float64(time.Second) / s.settings.LoadsPerSecond))
	return start
}

func (s *WeightStore) add(t *transfer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.transfers = append(s.transfers, t)
	s.maxInTransit = max(s.maxInTransit, len(s.transfers))
	s.scheduleAdvance()
}

func (s *WeightStore) remove(t *transfer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.transfers = slices.DeleteFunc(s.transfers, func(o *transfer) bool { return o == t })
	s.scheduleAdvance()
}

// advance accounts the progress of all transfers up to now and removes those that
// are complete. It must be called with the lock held.
func (s *WeightStore) advance() {
	now := time.Now()
	elapsed := now.Sub(s.advancedAt)
	s.advancedAt = now
	model, adapter := s.loadSpeeds()
	s.transfers = slices.DeleteFunc(s.transfers, func(t *transfer) bool {
		speed := model
		if t.adapter {
			speed = adapter
		}
		t.remaining -= time.Duration(float64(elapsed) * speed)
		if t.remaining > 0 {
			return false
		}
		close(t.done)
		return true
	})
}

// loadSpeeds returns the speed of each load of a model and of each load of an
// adapter, as a fraction of full speed. It must be called with the lock held.
func (s *WeightStore) loadSpeeds() (model, adapter float64) {
	f := s.faults.Get()
	if f.Down {
		return 0, 0
	}
	fullSpeed := 1.0
	if f.SlowFactor > 0 {
		fullSpeed = 1 / f.SlowFactor
	}
	adapters := 0
	for _, t := range s.transfers {
		if t.adapter {
			adapters++
		}
	}
	model = fullSpeed * sharedSpeed(s.settings.LoadsAtOnce, len(s.transfers)-adapters)
	adapter = fullSpeed * sharedSpeed(s.settings.AdaptersInTransit, adapters)
	return model, adapter
}

// sharedSpeed returns the speed of each of n loads if up to limit of them run at
// full speed.
func sharedSpeed(limit, n int) float64 {
	if limit <= 0 || n <= limit {
		return 1
	}
	return float64(limit) / float64(n)
}

// scheduleAdvance sets the timer for the next call of advance: when the first
// transfer will be complete, or after faultPollInterval. It must be called with the
// lock held.
func (s *WeightStore) scheduleAdvance() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if len(s.transfers) == 0 {
		return
	}
	wait := faultPollInterval
	model, adapter := s.loadSpeeds()
	for _, t := range s.transfers {
		speed := model
		if t.adapter {
			speed = adapter
		}
		if speed > 0 {
			wait = min(wait, time.Duration(float64(t.remaining)/speed)+1)
		}
	}
	s.timer = time.AfterFunc(wait, s.onTimer)
}

func (s *WeightStore) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	s.scheduleAdvance()
}

// sleep waits for d. It returns the error of ctx if that ends first.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
