package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/message"
)

// capacityView is what a queue sees of its servers at one moment.
type capacityView struct {
	replicas      []Replica
	usableServers int           // usable, in whatever state
	readyIn       time.Duration // until one has the target loaded
	notLoading    bool          // none has it, and none is loading it
	capacity      int           // requests at a time on those that have it
	freeCapacity  int           // of capacity
}

// hasServerFor reports whether there is a usable server that the request does not
// avoid.
func (v *capacityView) hasServerFor(ask *message.TurnAsk) bool {
	for i := range v.replicas {
		r := &v.replicas[i]
		if r.usable() && !slices.Contains(ask.Avoid, r.Backend) {
			return true
		}
	}
	return false
}

func (o *Owner) targetReplicas(t Target) []Replica {
	if t.Service != "" {
		return o.replicas.ServiceReplicas(t.Service)
	}
	return o.replicas.ArtifactReplicas(t.Artifact)
}

func (o *Owner) viewCapacity(now clock.Time, q *targetQueue) capacityView {
	v := capacityView{replicas: o.targetReplicas(q.target)}
	loading := time.Duration(-1)
	cold := 0
	for i := range v.replicas {
		r := &v.replicas[i]
		s := o.servers[r.Backend]
		if s != nil && s.leaving {
			r.Leaving = true
		}
		if !r.usable() {
			continue
		}
		v.usableServers++
		switch r.State {
		case Loaded:
			v.capacity += r.Concurrency
			v.freeCapacity += max(r.Concurrency-s.activeRequests(r), 0)
		case Loading:
			if loading < 0 || r.ReadyIn < loading {
				loading = r.ReadyIn
			}
			cold = max(cold, r.Concurrency)
		case Cold:
			cold = max(cold, r.Concurrency)
		}
	}
	if v.capacity > 0 || v.usableServers == 0 {
		return v
	}
	v.capacity, v.freeCapacity = cold, cold
	v.readyIn = loading
	v.notLoading = loading < 0
	if v.notLoading {
		v.readyIn = o.replicas.EstimateLoadTime(q.target.Artifact)
	}
	return v
}

// activeRequests is what the server runs, as far as this owner knows.
func (s *server) activeRequests(r *Replica) int {
	if s == nil {
		return r.Running
	}
	s.applyReport(r)
	return len(s.turns) + s.othersRunning
}

// position is where a request stands in its class.
type position struct {
	ownAhead     int     // requests of its account before it
	virtualStart float64 // virtual time at which it starts
}

// positionOf returns where e stands; e may be new, or wait already.
func (c *class) positionOf(e *request, weight float64) position {
	f := c.flow(e.ask.Account)
	if f == nil {
		return position{virtualStart: c.virtualTime}
	}
	p := position{virtualStart: max(c.virtualTime, f.virtualFinish)}
	for _, b := range f.requests {
		if b == e {
			break
		}
		p.ownAhead++
		p.virtualStart += tokenCost(b) / weight
	}
	return p
}

// estimateWait estimates how long a request waits for others once the target is
// loaded.
func (o *Owner) estimateWait(e *request, v *capacityView) time.Duration {
	if e.parked {
		return 0
	}
	p := e.queue.classes[e.level].positionOf(e, o.weight(e.ask.Account))
	return o.estimateWaitAt(e, p, v)
}

func (o *Owner) estimateWaitAt(e *request, p position, v *capacityView) time.Duration {
	inClass := float64(p.ownAhead) + e.queue.classes[e.level].estimateAhead(p.virtualStart, e.ask.Account)
	ahead := inClass
	for l := range e.level {
		ahead += float64(e.queue.classes[l].size)
	}
	if ahead < float64(v.freeCapacity) {
		return 0
	}
	turn := o.turnInterval(e.queue, v)
	wait := time.Duration((ahead - float64(v.freeCapacity) + 1) * float64(turn))
	if e.level == levelBatch {
		// At least one batch request goes in each BatchBound.
		wait = min(wait, time.Duration((inClass+1)*float64(o.settings.MaxBatchDelay+turn)))
	}
	return wait
}

// turnInterval is the mean time between two turns that come free.
func (o *Owner) turnInterval(q *targetQueue, v *capacityView) time.Duration {
	service := q.meanServiceTime
	if service == 0 {
		service = o.settings.InitialServiceTime
	}
	return service / time.Duration(max(v.capacity, 1))
}

// drainTime is how long the queue needs for all that waits in it.
func (o *Owner) drainTime(q *targetQueue, v *capacityView) time.Duration {
	return max(v.readyIn+time.Duration(q.size())*o.turnInterval(q, v), minRetryAfter)
}
