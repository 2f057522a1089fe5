package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/message"
)

// capacityView is the state of the servers of a queue at one moment.
type capacityView struct {
	replicas      []Replica
	usableServers int           // neither leaving nor down, loaded or not
	readyIn       time.Duration // time until one has the target loaded
	notLoading    bool          // none has the target loaded or is loading it
	capacity      int           // concurrent requests of the servers that have the target, or of one if none has it
	freeCapacity  int           // part of capacity that is not in use
}

// hasServerFor reports whether there is a usable server that the request does not
// avoid.
func (v *capacityView) hasServerFor(ask *message.TurnRequest) bool {
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

// viewCapacity returns the state of the servers of a queue.
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

// activeRequests returns the number of requests on the server, as far as this owner
// knows.
func (s *server) activeRequests(r *Replica) int {
	if s == nil {
		return r.Running
	}
	s.applyReport(r)
	return len(s.turns) + s.othersRunning
}

// position is the position of a request in its class.
type position struct {
	ownAhead     int     // requests of the same account before it
	virtualStart float64 // virtual time at which it starts
}

// positionOf returns the position of req, which may be new or already waiting.
func (c *class) positionOf(req *request, weight float64) position {
	f := c.flow(req.ask.Account)
	if f == nil {
		return position{virtualStart: c.virtualTime}
	}
	p := position{virtualStart: max(c.virtualTime, f.virtualFinish)}
	for _, other := range f.requests {
		if other == req {
			break
		}
		p.ownAhead++
		p.virtualStart += tokenCost(other) / weight
	}
	return p
}

// estimateWait estimates how long a request waits for others once the target is
// loaded.
func (o *Owner) estimateWait(req *request, v *capacityView) time.Duration {
	if req.parked {
		return 0
	}
	p := req.queue.classes[req.level].positionOf(req, o.weight(req.ask.Account))
	return o.estimateWaitAt(req, p, v)
}

// estimateWaitAt estimates the wait of a request at position p of its class.
func (o *Owner) estimateWaitAt(req *request, p position, v *capacityView) time.Duration {
	inClass := float64(p.ownAhead) + req.queue.classes[req.level].estimateAhead(p.virtualStart, req.ask.Account)
	ahead := inClass
	for l := range req.level {
		ahead += float64(req.queue.classes[l].size)
	}
	if ahead < float64(v.freeCapacity) {
		return 0
	}
	interval := o.turnInterval(req.queue, v)
	wait := time.Duration((ahead - float64(v.freeCapacity) + 1) * float64(interval))
	if req.level == levelBatch {
		// At least one batch request is granted in each MaxBatchDelay.
		wait = min(wait, time.Duration((inClass+1)*float64(o.settings.MaxBatchDelay+interval)))
	}
	return wait
}

// turnInterval returns the mean time between the ends of two turns.
func (o *Owner) turnInterval(q *targetQueue, v *capacityView) time.Duration {
	serviceTime := q.meanServiceTime
	if serviceTime == 0 {
		serviceTime = o.settings.InitialServiceTime
	}
	return serviceTime / time.Duration(max(v.capacity, 1))
}

// drainTime returns how long the queue needs for all requests that wait in it.
func (o *Owner) drainTime(q *targetQueue, v *capacityView) time.Duration {
	return max(v.readyIn+time.Duration(q.size())*o.turnInterval(q, v), minRetryAfter)
}
