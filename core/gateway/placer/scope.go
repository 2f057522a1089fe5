package placer

import "time"

// Scope says which engines an instance plans for.
//
// The holder of the fleet lease plans for all engines. Only the holder of a zone's lease
// sends orders to the engines of that availability zone, whichever instance planned them,
// because engines that don't check fencing numbers would obey two senders in turn. While
// the holder of the fleet lease is silent, the holder of a zone's lease plans for its own
// zone. So an isolated zone continues to load models, and the failure of one instance stops
// the orders to one zone at most.
type Scope int

// The scopes.
const (
	ScopeNone Scope = iota
	ScopeZone
	ScopeFleet
)

// String returns the name of a scope for logs.
func (s Scope) String() string { return [...]string{"nothing", "zone", "fleet"}[s] }

// LeaseStatus is what an instance knows of the leases.
type LeaseStatus struct {
	HoldsFleetLease bool
	// CanOrderZone says that it may send orders to the engines of its zone now.
	CanOrderZone bool
	// FleetHolderSilence is the time since the holder of the fleet lease was last heard.
	FleetHolderSilence time.Duration
}

// ScopeOf returns what an instance plans for. A fleet lease holder that was not heard for
// holderTimeout is assumed to be gone.
func ScopeOf(status LeaseStatus, holderTimeout time.Duration) Scope {
	switch {
	case status.HoldsFleetLease:
		return ScopeFleet
	case status.CanOrderZone && status.FleetHolderSilence > holderTimeout:
		return ScopeZone
	}
	return ScopeNone
}

// Reachability says whether the engines of an availability zone can be ordered from here.
type Reachability int

// The values of Reachability.
const (
	Reachable   Reachability = iota // the holder of the zone's lease sends the orders
	NoHolder                        // the lease has no holder; the engines still serve requests
	Unreachable                     // no instance of the zone is heard; its engines are likely unreachable
)
