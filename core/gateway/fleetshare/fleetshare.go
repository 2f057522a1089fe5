// Package fleetshare determines which part of a limit over all instances one instance may
// use.
//
// Only an instance that acts as dispatcher, which chooses servers for other instances, uses
// such a limit for all that it serves. It uses the part that the instances it hears are of
// the fleet, so that dispatchers on both sides of a network partition together do not
// exceed the limit.
package fleetshare

// maxDispatchers bounds how many dispatchers may use parts of a limit at the same time: one
// that hears less than 1/maxDispatchers of the fleet uses none, because the bursts of many
// dispatchers would add up.
const maxDispatchers = 8

// Share determines which part of a limit one instance may use.
type Share struct {
	// Dispatcher says that the instance chooses servers for all instances that it hears.
	Dispatcher bool
	// Live of Known instances are heard; both include this instance.
	Live, Known int
}

// Fraction returns the part of a limit over all instances that an instance with this share
// may use for those that it chooses servers for; 0 if it may use none.
func (s Share) Fraction() float64 {
	if !s.Dispatcher || s.Live*maxDispatchers < s.Known {
		return 0
	}
	return min(1, float64(s.Live)/float64(max(1, s.Known)))
}
