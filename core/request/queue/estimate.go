package queue

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/message"
)

// view is what a queue sees of its servers at one moment.
type view struct {
	replicas []Replica
	servers  int           // usable, in whatever state
	ready    time.Duration // until one has the target loaded
	cold     bool          // none has it, and none is loading it
	capacity int           // requests at a time on those that have it
	free     int           // of capacity
}

// offers reports whether there is a usable server that the request does not
// avoid.
func (v *view) offers(ask *message.TurnRequest) bool {
	for i := range v.replicas {
		r := &v.replicas[i]
		if r.usable() && !slices.Contains(ask.Avoid, r.Backend) {
			return true
		}
	}
	return false
}

func (o *Owner) snapshot(t Target) []Replica {
	if t.Service != "" {
		return o.replicas.Servers(t.Service)
	}
	return o.replicas.Snapshot(t.Artifact)
}

func (o *Owner) view(now clock.Time, q *targetQueue) view {
	v := view{replicas: o.snapshot(q.target)}
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
		v.servers++
		switch r.State {
		case Loaded:
			v.capacity += r.Concurrency
			v.free += max(r.Concurrency-s.load(r), 0)
		case Loading:
			if loading < 0 || r.ReadyIn < loading {
				loading = r.ReadyIn
			}
			cold = max(cold, r.Concurrency)
		case Cold:
			cold = max(cold, r.Concurrency)
		}
	}
	if v.capacity > 0 || v.servers == 0 {
		return v
	}
	v.capacity, v.free = cold, cold
	v.ready = loading
	v.cold = loading < 0
	if v.cold {
		v.ready = o.replicas.Estimate(q.target.Artifact)
	}
	return v
}

// load is what the server runs, as far as this owner knows.
func (s *server) load(r *Replica) int {
	if s == nil {
		return r.Running
	}
	s.note(r)
	return len(s.open) + s.others
}

// place is where a request stands in its class.
type place struct {
	own   int     // requests of its account before it
	start float64 // virtual time at which it starts
}

// place returns where e stands; e may be new, or wait already.
func (c *class) place(e *entry, weight float64) place {
	f := c.flow(e.ask.Account)
	if f == nil {
		return place{start: c.virtual}
	}
	p := place{start: max(c.virtual, f.finish)}
	for _, b := range f.entries {
		if b == e {
			break
		}
		p.own++
		p.start += cost(b) / weight
	}
	return p
}

// waitOf estimates how long a request waits for others once the target is
// loaded.
func (o *Owner) waitOf(e *entry, v *view) time.Duration {
	if e.parked {
		return 0
	}
	p := e.queue.classes[e.level].place(e, o.weight(e.ask.Account))
	return o.waitAt(e, p, v)
}

func (o *Owner) waitAt(e *entry, p place, v *view) time.Duration {
	inClass := float64(p.own) + e.queue.classes[e.level].ahead(p.start, e.ask.Account)
	ahead := inClass
	for l := range e.level {
		ahead += float64(e.queue.classes[l].size)
	}
	if ahead < float64(v.free) {
		return 0
	}
	turn := o.turnTime(e.queue, v)
	wait := time.Duration((ahead - float64(v.free) + 1) * float64(turn))
	if e.level == levelBatch {
		// At least one batch request goes in each BatchBound.
		wait = min(wait, time.Duration((inClass+1)*float64(o.set.BatchBound+turn)))
	}
	return wait
}

// turnTime is the mean time between two turns that come free.
func (o *Owner) turnTime(q *targetQueue, v *view) time.Duration {
	service := q.service
	if service == 0 {
		service = o.set.InitialService
	}
	return service / time.Duration(max(v.capacity, 1))
}

// drainTime is how long the queue needs for all that waits in it.
func (o *Owner) drainTime(q *targetQueue, v *view) time.Duration {
	return max(v.ready+time.Duration(q.size())*o.turnTime(q, v), minRetry)
}
