package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/rendezvous"
)

// Periods and limits of what instances tell one another about loads.
const (
	loadsFresh   = 3 * time.Second
	tellEvery    = time.Second
	tellMost     = 64 // instances told; beyond that the limit is kept by parts
	slowLoad     = 3  // a load that takes this many times as long is not counted
	leastPerLoad = 50 * time.Millisecond
)

// weightStore keeps loads from slowing one another at the weight store. It is a
// soft limit, kept by messages: instances that don't hear from one another
// exceed it together, and none of them stops.
type weightStore struct {
	perSecond float64
	models    int // at once at full speed; 0: no limit
	adapters  int
	heardOf   map[id.Instance]heardLoads
	nextStart clock.Time
	told      message.LoadsInTransit
	tellAt    clock.Time
}

type heardLoads struct {
	message.LoadsInTransit
	at clock.Time
}

func newWeightStore() weightStore { return weightStore{heardOf: map[id.Instance]heardLoads{}} }

func (s *weightStore) limits(f config.Fleet) {
	s.perSecond, s.models, s.adapters = f.LoadsPerSecond, f.LoadsAtOnce, f.AdaptersInTransit
}

func (s *weightStore) heard(now clock.Time, from id.Instance, m message.LoadsInTransit) {
	s.heardOf[from] = heardLoads{m, now}
}

// others sums what fresh messages of other instances say, and names the most
// urgent class that waits there.
func (s *weightStore) others(now clock.Time) (sum message.LoadsInTransit, busy int) {
	for i, h := range s.heardOf {
		if now.Sub(h.at) > loadsFresh {
			delete(s.heardOf, i)
			continue
		}
		sum.Models += h.Models
		sum.Adapters += h.Adapters
		if h.MostUrgent != "" && (sum.MostUrgent == "" || urgency(h.MostUrgent) < urgency(sum.MostUrgent)) {
			sum.MostUrgent = h.MostUrgent
		}
		if h.Models+h.Adapters > 0 || h.MostUrgent != "" {
			busy++
		}
	}
	return sum, busy
}

// mayStart reports whether the load that w asks for may draw on the weight
// store now, and counts it if so. One whose checkpoint is cached always may.
func (s *weightStore) mayStart(p *Placement, o *owned, w *want, now clock.Time) bool {
	if p.levelAt(o.name, w.artifact) != message.CacheRemote {
		return true
	}
	w.gatedAt = now
	others, busy := s.others(now)
	if now.Before(s.nextStart) || p.outranked(w, others.MostUrgent, now) || !s.slot(p, w, others, now) {
		return false
	}
	w.gatedAt = 0
	if s.perSecond > 0 {
		pause := time.Duration(float64(time.Second) / s.perSecond * float64(busy+1))
		s.nextStart = now.Add(max(pause, leastPerLoad))
	}
	return true
}

// slot reports whether one more load runs at full speed.
func (s *weightStore) slot(p *Placement, w *want, others message.LoadsInTransit, now clock.Time) bool {
	mine := p.inTransit(now)
	if w.artifact.IsAdapter() {
		return s.adapters == 0 || mine.Adapters+others.Adapters < s.adapters
	}
	return s.models == 0 || mine.Models+others.Models < s.models
}

// outranked reports whether a more urgent load waits for the weight store, here
// or at an instance that said so. A batch load must not slow one that a
// technician waits for.
func (p *Placement) outranked(w *want, elsewhere config.Class, now clock.Time) bool {
	if elsewhere != "" && urgency(elsewhere) < urgency(w.class) {
		return true
	}
	for _, b := range p.names {
		for _, other := range p.owned[b].wants {
			if other != w && other.gated(now) && compareWants(other, w) < 0 {
				return true
			}
		}
	}
	return false
}

// inTransit counts the loads of this instance's backend servers.
func (p *Placement) inTransit(now clock.Time) message.LoadsInTransit {
	var sum message.LoadsInTransit
	for _, b := range p.names {
		o := p.owned[b]
		for _, w := range o.works {
			if !o.loading(w) || p.stuck(w, now) {
				continue
			}
			if w.artifact.IsAdapter() {
				sum.Adapters++
			} else {
				sum.Models++
			}
		}
		for _, w := range o.wants {
			if w.gated(now) && (sum.MostUrgent == "" || urgency(w.class) < urgency(sum.MostUrgent)) {
				sum.MostUrgent = w.class
			}
		}
	}
	return sum
}

// stuck reports whether a load takes so long that the others go on without it.
func (p *Placement) stuck(w *work, now clock.Time) bool {
	c, _ := p.artifact(w.artifact)
	return w.sent && now.Sub(w.sentAt) > slowLoad*max(c.LoadTime, time.Second)
}

// tellLoads tells the other instances, of all zones, while there is something
// to tell, and once when it is over.
func (p *Placement) tellLoads(now clock.Time, out *event.Outbox) {
	s := &p.store
	m := p.inTransit(now)
	p.queue = p.storeQueue(m)
	if now.Before(s.tellAt) || (m == s.told && m == message.LoadsInTransit{}) {
		return
	}
	s.told, s.tellAt = m, now.Add(tellEvery)
	for _, i := range rendezvous.Rank("loads", p.members.Live(), tellMost) {
		if i != p.set.Instance {
			out.Send(i, m)
		}
	}
}
