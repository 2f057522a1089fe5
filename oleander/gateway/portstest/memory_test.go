package portstest

import "testing"

func TestMemory(t *testing.T) {
	Store(t, func(*testing.T) Backing { return NewMemory() })
}

func TestMemoryEngines(t *testing.T) {
	Engines(t, func(*testing.T) Fleet { return NewMemoryEngines() })
}
