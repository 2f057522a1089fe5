package dispatch

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
)

const (
	// holdEnds is the number of ended requests over which the mean time for which a request
	// holds a slot is taken.
	holdEnds = 64.0
	// minHoldEnds is the number of ended requests at all servers of a queue from which the
	// mean is used, and the weight of that mean in the mean of a single server: those with
	// the first ends are the ones with short requests.
	minHoldEnds = 4.0
	// holdTTL is how long the mean of a server is kept without a request.
	holdTTL = time.Minute
	// maxTurnedAway bounds the time for which a local dispatcher takes a server for full after
	// it turned a request away: no longer than it takes to hear of its load in a large fleet.
	maxTurnedAway = time.Second
)

// holdTime is the mean time for which a request of another instance, or in a local dispatcher
// of its own instance, holds a slot of a server, from the grant to the message that no longer
// lists it: the time for which slots were held, divided by the number of requests that ended. A
// mean over the ended requests alone would be too short at a new dispatcher, where the first ones
// to end are the short ones.
type holdTime struct {
	count       int // slots held now
	at          clock.Time
	held, ended float64 // moving sums: slot seconds, requests
	endRate     rate    // ended requests
	// turnedAwayUntil is until when a local dispatcher takes the server for full.
	turnedAwayUntil clock.Time
}

// advance adds the time for which slots were held since the last change.
func (h *holdTime) advance(now clock.Time) {
	h.held += float64(h.count) * now.Sub(h.at).Seconds()
	h.at = now
}

// recordHolds learns from a report of an instance how many of its requests have ended. One that
// was not run is not counted: it would make the time for which requests hold slots too short.
func (d *Dispatcher) recordHolds(now clock.Time, inst *instance, m Message) {
	if !d.schedulesLoad(now) {
		d.dropHolds(now, inst)
		return
	}
	counts := make(map[string]int, len(m.Running))
	for id, byModel := range m.Running {
		for _, n := range byModel {
			counts[id] += n
		}
	}
	for _, g := range inst.grants {
		counts[g.server]++
	}
	for id, before := range inst.held {
		if counts[id] < before {
			h := d.holdTimes[id]
			if h == nil {
				continue // only a message with negative counts leads here
			}
			h.advance(now)
			ended := float64(before - counts[id])
			if id == m.NotRun || m.Ended != nil && m.Ended.Unreachable && id == m.Ended.Server {
				ended--
			}
			switch {
			case ended > 0:
				h.turnedAwayUntil = 0
			case id == m.NotRun:
				h.turnedAwayUntil = now.Add(d.ownSlotInterval(id, h))
			}
			h.endRate.add(now, ended)
			keep := max(0, 1-ended/holdEnds)
			h.held, h.ended = h.held*keep, h.ended*keep+ended
		}
		d.addHeld(now, inst, id, counts[id]-before)
	}
	for id, n := range counts {
		d.addHeld(now, inst, id, n-inst.held[id])
	}
}

// ownSlotInterval returns the mean time in which one slot of this instance's part of a server
// becomes free, at most maxTurnedAway.
func (d *Dispatcher) ownSlotInterval(server string, h *holdTime) time.Duration {
	s := d.dir.Get(server)
	if s == nil {
		return 0
	}
	mean := typicalDuration.Seconds()
	if h.ended >= minHoldEnds {
		mean = h.held / h.ended
	}
	return min(maxTurnedAway, time.Duration(mean/(float64(max(1, s.Slots))*d.share)*float64(time.Second)))
}

// pick chooses a server. A local dispatcher takes one that turned a request away for full: the
// load of the other instances is known late, and while it is saturated, they take each slot
// that becomes free there before this instance hears of it. Its queries would be turned away
// one after the other.
func (d *Dispatcher) pick(now clock.Time, req directory.Requirements) directory.Choice {
	c := d.dir.Pick(now, req)
	if !d.local || c.Server == nil || !d.turnedAway(now, c.Server.ID) {
		return c
	}
	exclude := maps.Clone(req.Exclude)
	if exclude == nil {
		exclude = make(map[string]bool)
	}
	for id := range d.holdTimes {
		if d.turnedAway(now, id) {
			exclude[id] = true
		}
	}
	all := c.Candidates
	req.Exclude = exclude
	if c = d.dir.Pick(now, req); c.Server == nil {
		return directory.Choice{AllFull: true, Candidates: all}
	}
	return c
}

func (d *Dispatcher) turnedAway(now clock.Time, server string) bool {
	h := d.holdTimes[server]
	return h != nil && now.Before(h.turnedAwayUntil)
}

// addHeld records that an instance holds n more slots of a server.
func (d *Dispatcher) addHeld(now clock.Time, inst *instance, server string, n int) {
	if n == 0 {
		return
	}
	h := d.holdTimes[server]
	if h == nil {
		h = &holdTime{at: now}
		d.holdTimes[server] = h
	}
	h.advance(now)
	h.count += n
	if inst.held == nil {
		inst.held = make(map[string]int)
	}
	if inst.held[server] += n; inst.held[server] == 0 {
		delete(inst.held, server)
	}
}

// dropHolds forgets the slots that an instance holds.
func (d *Dispatcher) dropHolds(now clock.Time, inst *instance) {
	for id, n := range inst.held {
		d.addHeld(now, inst, id, -n)
	}
}

// capacity is what the servers of a queue can do.
type capacity struct {
	at        clock.Time
	servers   []string // sorted
	perSecond float64  // slots that become free, for all models; 0: unknown
	ended     float64  // requests per second that ended lately, of those that are reported
}

// capacityTTL is how long a capacity is kept before it is computed again, which takes a few
// microseconds per server.
const capacityTTL = 50 * time.Millisecond

// capacityOf returns the capacity of a queue's servers: their slots, divided by the mean time
// for which a request holds one.
func (d *Dispatcher) capacityOf(now clock.Time, q *queue) *capacity {
	c := &q.capacity
	if c.at != 0 && now.Sub(c.at) < capacityTTL {
		return c
	}
	*c = capacity{at: now, servers: c.servers[:0]}
	candidates := d.dir.Candidates(now, q.requirements())
	var all holdTime
	for _, s := range candidates {
		c.servers = append(c.servers, s.ID)
		if h := d.holdTimes[s.ID]; h != nil {
			h.advance(now)
			all.held, all.ended = all.held+h.held, all.ended+h.ended
			c.ended += h.endRate.add(now, 0)
		}
	}
	if all.ended < minHoldEnds {
		return c
	}
	mean := all.held / all.ended
	for _, s := range candidates {
		held, ended := minHoldEnds*mean, minHoldEnds
		if h := d.holdTimes[s.ID]; h != nil {
			held, ended = held+h.held, ended+h.ended
		}
		c.perSecond += float64(max(s.Slots, s.Running())) * ended / held
	}
	return c
}

// overlap returns the part of the servers of other that c has too.
func (c *capacity) overlap(other *capacity) float64 {
	if slices.Equal(c.servers, other.servers) {
		return 1
	}
	shared, i := 0, 0
	for _, id := range other.servers {
		for i < len(c.servers) && c.servers[i] < id {
			i++
		}
		if i < len(c.servers) && c.servers[i] == id {
			shared++
		}
	}
	return float64(shared) / float64(max(1, len(other.servers)))
}
