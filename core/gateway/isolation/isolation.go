// Package isolation tells when an instance is cut off from the others and from the
// store.
//
// Such an instance can't ask for tokens of accounts or for a backend server, and no
// model is loaded for its callers, while the other instances of its zone, or of the
// next one, could serve them. So it tells the balancer that it is not ready, and
// closes callers' connections after their answers; whoever still comes is served as
// well as it can.
//
// Silence alone is no proof: the others may be dead, or this instance may have been
// frozen. It counts as cut off only if neither the store nor another instance could
// be reached since the silence began.
package isolation

import (
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// silence of all other zones, or of the own zone if there is no other, makes an
	// instance look whether it is cut off: several times the longest pause between
	// the heartbeats of all others.
	silence = 700 * time.Millisecond
	// lookAgain is the time between two looks while it is silent.
	lookAgain = 500 * time.Millisecond
	// provedFor is how long reaching somebody speaks against a cut.
	provedFor = 1500 * time.Millisecond
)

// Detector is what one instance knows of its own connection. It is not safe for
// concurrent use.
type Detector struct {
	zone       string
	heardOwn   clock.Time // 0: never
	heardOther clock.Time // an instance of another zone; 0: never
	looked     clock.Time // a look began
	reached    clock.Time
	failed     clock.Time // a look reached nobody
}

// New returns the Detector of an instance in a zone.
func New(zone string) *Detector { return &Detector{zone: zone} }

// Heard takes that an instance of a zone was heard.
func (d *Detector) Heard(now clock.Time, zone string) {
	if zone == d.zone {
		d.heardOwn = now
	} else {
		d.heardOther = now
	}
}

// Reached takes that the store or another instance answered.
func (d *Detector) Reached(now clock.Time) { d.reached = now }

// Failed takes that a look reached nobody.
func (d *Detector) Failed(now clock.Time) { d.failed = now }

// lastHeard is when somebody was heard who would have to be; 0: nobody ever was.
func (d *Detector) lastHeard() clock.Time {
	if d.heardOther != 0 {
		return d.heardOther
	}
	return d.heardOwn
}

func (d *Detector) silent(now clock.Time) bool {
	last := d.lastHeard()
	return last != 0 && now.Sub(last) > silence
}

// LookDue reports, once, that the instance has to look whether it reaches anybody.
func (d *Detector) LookDue(now clock.Time) bool {
	if !d.silent(now) || now.Sub(d.looked) < lookAgain || now.Sub(d.reached) < provedFor && d.reached != 0 {
		return false
	}
	d.looked = now
	return true
}

// CutOff reports whether the instance is cut off.
func (d *Detector) CutOff(now clock.Time) bool {
	return d.silent(now) && d.failed > d.lastHeard() && d.failed > d.reached
}

// LastReached is when the store or another instance answered last; 0: never.
func (d *Detector) LastReached() clock.Time { return d.reached }
