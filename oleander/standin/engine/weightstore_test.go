package engine

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

func TestLoadSpeeds(t *testing.T) {
	tests := []struct {
		name             string
		faults           StoreFaults
		models, adapters int
		model, adapter   float64
	}{
		{"alone", StoreFaults{}, 1, 1, 1, 1},
		{"at the limits", StoreFaults{}, 4, 30, 1, 1},
		{"beyond the limits", StoreFaults{}, 8, 60, 0.5, 0.5},
		{"slow", StoreFaults{SlowFactor: 4}, 8, 1, 0.125, 0.25},
		{"down", StoreFaults{Down: true}, 1, 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := NewWeightStore(StoreSettings{LoadsAtOnce: 4, AdaptersInTransit: 30})
			s.SetFaults(test.faults)
			for i := range test.models + test.adapters {
				s.transfers = append(s.transfers, &transfer{adapter: i >= test.models})
			}
			if model, adapter := s.loadSpeeds(); model != test.model || adapter != test.adapter {
				t.Errorf("speeds %v and %v, want %v and %v", model, adapter, test.model, test.adapter)
			}
		})
	}
}

func TestAllLoadsComplete(t *testing.T) {
	s := NewWeightStore(StoreSettings{LoadsPerSecond: 1000, LoadsAtOnce: 2})
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			if err := s.Load(context.Background(), i%2 == 0, 5*time.Millisecond); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if now, peak := s.InTransit(); now != 0 || peak == 0 {
		t.Errorf("%d loads in transit, at most %d", now, peak)
	}
}

func TestCancelledLoadIsRemoved(t *testing.T) {
	s := NewWeightStore(StoreSettings{})
	s.SetFaults(StoreFaults{Down: true})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Load(ctx, false, time.Millisecond) }()
	testutil.WaitFor(t, func() bool { now, _ := s.InTransit(); return now == 1 })
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	if now, _ := s.InTransit(); now != 0 {
		t.Errorf("%d loads in transit", now)
	}
}
