package portstest

import "testing"

func TestMemoryStore(t *testing.T) {
	TestStore(t, func(*testing.T) StoreHarness { return NewMemoryStore() })
}

func TestMemoryEngines(t *testing.T) {
	TestEngines(t, func(*testing.T) EngineHarness { return NewMemoryEngines() })
}
