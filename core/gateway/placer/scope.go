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
	ScopeNone Scope = iota
	ScopeZone
	ScopeFleet
)

// String names a scope for logs.
func (s Scope) String() string { return [...]string{"nothing", "zone", "fleet"}[s] }

// LeaseStatus is what an instance may do, as it knows.
type LeaseStatus struct {
	HoldsFleetLease bool
	// CanOrderZone says that it may give the orders of its own zone now.
	CanOrderZone bool
	// FleetHolderSilence is how long the holder of the fleet's lease was not heard.
	FleetHolderSilence time.Duration
}

// ScopeOf returns what an instance plans for. A holder that is not heard for silence is
// taken to be gone.
func ScopeOf(r LeaseStatus, silence time.Duration) Scope {
	switch {
	case r.HoldsFleetLease:
		return ScopeFleet
	case r.CanOrderZone && r.FleetHolderSilence > silence:
		return ScopeZone
	}
	return ScopeNone
}

// Reachability says how an availability zone's engines can be ordered from here.
type Reachability int

// The kinds of reach.
const (
	Reachable   Reachability = iota // by the holder of its lease
	NoHolder                        // there is no holder now; the engines serve
	Unreachable                     // no instance of the zone is heard: its engines are out of reach
)
