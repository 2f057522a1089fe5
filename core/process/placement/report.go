package placement

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// askReport asks for the engine's report when it is due.
func (p *Placement) askReport(o *owned, now clock.Time, out *event.Outbox) {
	v := p.views[o.name]
	if v == nil {
		return
	}
	p.watch(o, v, now)
	if v.gone || now.Before(o.askAt) {
		return
	}
	o.askAt = now.Add(p.set.ReportEvery)
	out.Add(event.FetchReport{Backend: o.name, Address: v.address})
}

// watch follows the signs that a backend server is down or leaving. A sign of
// leaving is never undone.
func (p *Placement) watch(o *owned, v *view, now clock.Time) {
	if down := now.Sub(o.lastGood) >= p.set.DownAfter; down != o.down {
		o.down, o.changed = down, true
	}
	if leaving := v.left(now); leaving != o.leaving {
		o.leaving, o.changed = leaving, true
	}
}

// Report handles an engine's own report.
func (p *Placement) Report(now clock.Time, r event.BackendReport, out *event.Outbox) {
	p.now = now
	o := p.owned[r.Backend]
	if o == nil || !r.OK || (o.known && r.RequestedAt.Before(o.asked) && !p.unsafe.staleReport) {
		return
	}
	p.learn(o, now, r.Report)
	o.changed = o.changed || differs(o.report, r.Report)
	o.report, o.asked, o.known, o.lastGood = r.Report, r.RequestedAt, true, now
	if p.unsafe.staleReport {
		o.asked = now
	}
	o.held = make(map[id.Artifact]message.HeldArtifact, len(r.Report.Held))
	for _, h := range r.Report.Held {
		o.held[h.Artifact] = h
	}
	if v := p.views[o.name]; v != nil && r.Report.Leaving {
		v.leaving, o.leaving = true, true
	}
	p.follow(o, now)
	p.learnPool(o, now)
	p.advance(o, now, out)
	p.broadcast(o, now, out)
}

// differs reports whether the zone should hear of the change at once.
func differs(old, cur message.Report) bool {
	if len(old.Held) != len(cur.Held) || old.Leaving != cur.Leaving || old.BootID != cur.BootID {
		return true
	}
	for i, h := range cur.Held {
		if old.Held[i].Artifact != h.Artifact || old.Held[i].State != h.State {
			return true
		}
	}
	return false
}

// learn tells the keep-alive policy of the requests that warm replicas ran.
func (p *Placement) learn(o *owned, now clock.Time, cur message.Report) {
	if o.report.BootID != cur.BootID {
		return
	}
	for _, h := range cur.Held {
		if before, ok := o.held[h.Artifact]; ok && h.Uses > before.Uses {
			p.arrived(now, h.Artifact)
		}
	}
}

func (p *Placement) arrived(now clock.Time, a id.Artifact) {
	p.policy.Arrived(now, a)
	p.used[a] = now
}

// follow moves the works on with what the report shows.
func (p *Placement) follow(o *owned, now clock.Time) {
	for _, a := range o.sortedWorks() {
		w := o.works[a]
		if o.held[a].State != message.Loaded {
			w.loadedAt = 0
			continue
		}
		if w.loadedAt == 0 {
			w.loadedAt = now
			p.loaded(o, w, now)
		}
	}
}
