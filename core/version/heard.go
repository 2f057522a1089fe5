package version

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
)

// heard tells when the version in force was last known to be the newest.
type heard struct {
	known bool
	at    clock.Time
	// latest is the newest confirmation of any version; it counts for the
	// version in force once that is as high.
	latest struct {
		known   bool
		version id.ConfigVersion
		at      clock.Time
	}
}

// note takes that v was the newest version at the time at.
func (h *heard) note(v id.ConfigVersion, at clock.Time) {
	l := &h.latest
	if l.known && (v < l.version || (v == l.version && at <= l.at)) {
		return
	}
	l.known, l.version, l.at = true, v, at
}

func (h *heard) confirm(inForce *config.Config) {
	l := h.latest
	if !l.known || inForce == nil || inForce.Version != l.version {
		return
	}
	if !h.known || l.at > h.at {
		h.known, h.at = true, l.at
	}
}
