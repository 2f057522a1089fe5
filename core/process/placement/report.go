package placement

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// requestReport requests the engine's report when it is due.
func (p *Placement) requestReport(o *ownedBackend, now clock.Time, out *event.Outbox) {
	v := p.views[o.name]
	if v == nil {
		return
	}
	p.updateAvailability(o, v, now)
	if v.unlisted || now.Before(o.nextReportAt) {
		return
	}
	o.nextReportAt = now.Add(p.settings.ReportInterval)
	out.Add(event.FetchReport{Backend: o.name, Address: v.address})
}

// updateAvailability updates whether the backend server is down or leaving.
// Leaving is never cleared.
func (p *Placement) updateAvailability(o *ownedBackend, v *backendView, now clock.Time) {
	if down := now.Sub(o.lastReportAt) >= p.settings.DownAfter; down != o.down {
		o.down, o.stateChanged = down, true
	}
	if leaving := v.hasLeft(now); leaving != o.leaving {
		o.leaving, o.stateChanged = leaving, true
	}
}

// HandleReport handles an engine's report. One that was requested before the
// last one is ignored.
func (p *Placement) HandleReport(now clock.Time, r event.BackendReport, out *event.Outbox) {
	p.now = now
	o := p.owned[r.Backend]
	if o == nil || !r.OK || (o.reportKnown && r.RequestedAt.Before(o.reportAskedAt) && !p.disabled.reportFreshness) {
		return
	}
	p.recordUses(o, now, r.Report)
	o.stateChanged = o.stateChanged || reportChanged(o.report, r.Report)
	o.report, o.reportAskedAt, o.reportKnown, o.lastReportAt = r.Report, r.RequestedAt, true, now
	if p.disabled.reportFreshness {
		o.reportAskedAt = now
	}
	o.held = make(map[id.Artifact]message.HeldArtifact, len(r.Report.Held))
	for _, h := range r.Report.Held {
		o.held[h.Artifact] = h
	}
	if v := p.views[o.name]; v != nil && r.Report.Leaving {
		v.leaving, o.leaving = true, true
	}
	p.updateLoaded(o, now)
	p.adoptPool(o, now)
	p.advance(o, now, out)
	p.broadcastState(o, now, out)
}

// reportChanged reports whether a change must be sent to the zone at once.
func reportChanged(before, after message.Report) bool {
	if len(before.Held) != len(after.Held) || before.Leaving != after.Leaving || before.BootID != after.BootID {
		return true
	}
	for i, h := range after.Held {
		if before.Held[i].Artifact != h.Artifact || before.Held[i].State != h.State {
			return true
		}
	}
	return false
}

// recordUses reports the requests served by loaded replicas to the keep-alive
// policy.
func (p *Placement) recordUses(o *ownedBackend, now clock.Time, report message.Report) {
	if o.report.BootID != report.BootID {
		return
	}
	for _, h := range report.Held {
		if before, ok := o.held[h.Artifact]; ok && h.Uses > before.Uses {
			p.recordArrival(now, h.Artifact)
		}
	}
}

func (p *Placement) recordArrival(now clock.Time, a id.Artifact) {
	p.policy.RecordArrival(now, a)
	p.lastUsed[a] = now
}

// updateLoaded updates the replicas that finished loading, or are no longer
// loaded.
func (p *Placement) updateLoaded(o *ownedBackend, now clock.Time) {
	for _, a := range o.sortedArtifacts() {
		replica := o.replicas[a]
		if o.held[a].State != message.Loaded {
			replica.loadedAt = 0
			continue
		}
		if replica.loadedAt == 0 {
			replica.loadedAt = now
			p.recordLoadTime(o, replica, now)
		}
	}
}
