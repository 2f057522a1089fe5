package placer

import "time"

// Scope says which engines an instance plans for.
//
// The holder of the fleet's lease plans for all engines. Orders to the engines of an
// availability zone are given by the holder of that zone's lease alone, whoever planned
// them: engines that don't check fencing numbers obey two of them in turn. While the
// holder of the fleet's lease is silent, that of a zone plans for its own zone, so a zone
// that is cut off goes on loading models, and the death of one instance stops the orders
// to one zone at most.
type Scope int

// The scopes.
const (
	Nothing Scope = iota
	Zone
	Fleet
)

// String names a scope for logs.
func (s Scope) String() string { return [...]string{"nothing", "zone", "fleet"}[s] }

// Rights is what an instance may do, as it knows.
type Rights struct {
	HoldsFleet bool
	// OrdersZone says that it may give the orders of its own zone now.
	OrdersZone bool
	// FleetSilence is how long the holder of the fleet's lease was not heard.
	FleetSilence time.Duration
}

// ScopeOf returns what an instance plans for. A holder that is not heard for silence is
// taken to be gone.
func ScopeOf(r Rights, silence time.Duration) Scope {
	switch {
	case r.HoldsFleet:
		return Fleet
	case r.OrdersZone && r.FleetSilence > silence:
		return Zone
	}
	return Nothing
}

// Reach says how an availability zone's engines can be ordered from here.
type Reach int

// The kinds of reach.
const (
	Ordered Reach = iota // by the holder of its lease
	Held                 // there is no holder now; the engines serve
	Cut                  // no instance of the zone is heard: its engines are out of reach
)
