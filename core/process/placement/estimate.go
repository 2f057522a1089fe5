package placement

import (
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// Load times by cache level, as parts of the time from remote, until loads were
// seen; and the weight of a new one.
const (
	memoryPart = 0.1
	diskPart   = 0.4
	newWeight  = 0.2
)

// loadTimes learns how long loads take, as a part of the configured time.
type loadTimes struct{ memory, disk, remote float64 }

func (l *loadTimes) part(c message.CacheLevel) *float64 {
	switch c {
	case message.CacheMemory:
		return &l.memory
	case message.CacheDisk:
		return &l.disk
	}
	return &l.remote
}

func levelRank(c message.CacheLevel) int {
	switch c {
	case message.CacheMemory:
		return 0
	case message.CacheDisk:
		return 1
	}
	return 2
}

// loaded learns from a load that ended.
func (p *Placement) loaded(o *owned, w *work, now clock.Time) {
	c, ok := p.artifact(w.artifact)
	if !ok || w.sentAt == 0 || c.LoadTime <= 0 {
		return
	}
	part := p.times.part(w.level)
	took := now.Sub(w.sentAt)
	// The end of a load is seen by a process that may have been frozen, or late
	// by a report. Learned as it is, that would have calls for cold models refused
	// that there is time for.
	took = min(took, slowLoad*max(c.LoadTime, time.Second))
	*part += newWeight * (float64(took)/float64(max(c.LoadTime, time.Second)) - *part)
	w.sentAt = 0
}

// loadTime is how long c is expected to take from a cache level.
func (p *Placement) loadTime(c config.Artifact, l message.CacheLevel) time.Duration {
	return time.Duration(*p.times.part(l) * float64(c.LoadTime))
}

// readyIn is how long until c is expected to be loaded on v.
func (p *Placement) readyIn(v *view, c config.Artifact) time.Duration {
	switch v.held[c.Name].State {
	case message.Loaded:
		return 0
	case message.Loading:
		if d := p.demands[c.Name]; d != nil && d.loadingAt != 0 {
			return max(p.loadTime(c, v.level(c.Name))-p.now.Sub(d.loadingAt), 0)
		}
	}
	t := p.loadTime(c, v.level(c.Name))
	if v.level(c.Name) == message.CacheRemote {
		t += p.queue
	}
	return t
}

// storeQueue is how long a load waits for the weight store: the loads beyond
// what it runs at once, at the rate at which it starts them.
func (p *Placement) storeQueue(mine message.LoadsInTransit) time.Duration {
	s := &p.store
	others, _ := s.others(p.now)
	over := mine.Models + others.Models + 1 - s.models
	if s.models == 0 || s.perSecond <= 0 || over <= 0 {
		return 0
	}
	return time.Duration(float64(over) / s.perSecond * float64(time.Second))
}

// EstimateReadyIn returns the expected time until a is loaded somewhere in the zone:
// 0 if it is, the rest of a load under way, or the time of the best load if it
// were decided now. It is Unreachable if no backend server can be used.
func (p *Placement) EstimateReadyIn(a id.Artifact) time.Duration {
	c, ok := p.artifact(a)
	best := NotLoadable
	if !ok {
		return best
	}
	for _, v := range p.sorted {
		if v.group.Name == c.Group && v.usable() {
			best = min(best, p.readyIn(v, c))
		}
	}
	return best
}

// NotLoadable is the estimate for an artifact that no usable backend server can
// load.
const NotLoadable = 24 * time.Hour
