package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"oleanderdale.org/oleander/standin/internal/serve"
)

// storePoll is the longest time between two looks at the store's fault knobs
// while loads are in transit.
const faultPollInterval = 50 * time.Millisecond

// StoreSettings says what a WeightStore can do.
type StoreSettings struct {
	// LoadsPerSecond is how many loads start in a second; 0 means no limit.
	LoadsPerSecond float64
	// LoadsAtOnce model loads run together at full speed; more share it.
	// 0 means no limit.
	LoadsAtOnce int
	// AdaptersInTransit adapter loads run together at full speed; more share
	// it. 0 means no limit.
	AdaptersInTransit int
}

// StoreFaults are the fault knobs of a WeightStore.
type StoreFaults struct {
	// Down stops all loads where they are.
	Down bool `json:"down"`
	// SlowFactor divides the speed of all loads; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
}

// WeightStore is a stand-in for the rate-limited store of the checkpoints. All
// engines of a deployment share one. Its handler serves the fault knobs only.
type WeightStore struct {
	settings StoreSettings
	faults   serve.FaultSettings[StoreFaults]

	mu           sync.Mutex
	nextStart    time.Time
	advancedAt   time.Time // when the transfers were advanced
	transfers    []*transfer
	timer        *time.Timer
	maxInTransit int
}

// transfer is one load in transit.
type transfer struct {
	adapter   bool
	remaining time.Duration // at full speed
	done      chan struct{}
}

// NewWeightStore returns a store without loads.
func NewWeightStore(s StoreSettings) *WeightStore { return &WeightStore{settings: s} }

// Faults returns the fault knobs as they are.
func (s *WeightStore) Faults() StoreFaults { return s.faults.Get() }

// SetFaults replaces the fault knobs.
func (s *WeightStore) SetFaults(f StoreFaults) { s.faults.Set(f) }

// ServeHTTP shows and takes the fault knobs.
func (s *WeightStore) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.faults.ServeHTTP(w, r) }

// InTransit returns the number of loads that draw on the store now, and the
// most there ever were.
func (s *WeightStore) InTransit() (now, peak int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.transfers), s.maxInTransit
}

// Load returns when a load that takes d alone has ended, or with the error of
// ctx.
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

// reserveStart returns when the next load may start.
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

// advance moves all transfers on to now and ends those that are complete.
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

// speeds returns the shares of full speed that each load gets now.
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

// share returns what each of n gets if limit run at full speed.
func sharedSpeed(limit, n int) float64 {
	if limit <= 0 || n <= limit {
		return 1
	}
	return float64(limit) / float64(n)
}

// plan looks again when the first transfer can be complete.
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

// sleep waits for d, or returns the error of ctx.
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
