package version

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// confirmation records when the active version was last confirmed to be the
// newest.
type confirmation struct {
	known bool
	at    clock.Time
	// latest confirms the highest version heard of. It applies to the active
	// version once that is the same.
	latest struct {
		known   bool
		version id.ConfigVersion
		at      clock.Time
	}
}

// record notes that v was the newest version at time at.
func (c *confirmation) record(v id.ConfigVersion, at clock.Time) {
	l := &c.latest
	if l.known && (v < l.version || (v == l.version && at <= l.at)) {
		return
	}
	l.known, l.version, l.at = true, v, at
}

// apply updates the confirmation if the latest one is for the active version.
func (c *confirmation) apply(active *config.Config) {
	l := c.latest
	if !l.known || active == nil || active.Version != l.version {
		return
	}
	if !c.known || l.at > c.at {
		c.known, c.at = true, l.at
	}
}
