package directory

import (
	"maps"
	"time"

	"oleanderdale.org/core/clock"
)

// peerLoadTTL is how long the load reported by another instance is counted.
const peerLoadTTL = 2200 * time.Millisecond

// peerLoad is the load that another instance puts on a server.
type peerLoad struct {
	running map[string]int // requests by model
	heardAt clock.Time     // last report
}

// Running returns the number of requests of all instances on the server.
func (s *Server) Running() int { return s.running }

// RunningForModel returns the number of requests of all instances for a model on
// the server.
func (s *Server) RunningForModel(model string) int {
	n := s.local[model]
	for _, p := range s.peers {
		n += p.running[model]
	}
	return n
}

func sum(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// RequestStarted counts a request of this instance that is sent to a server.
func (d *Directory) RequestStarted(now clock.Time, id, model string) {
	if s := d.servers[id]; s != nil {
		s.local[model]++
		s.running++
		s.lastUsed, s.modelLastUsed[model] = now, now
		d.countPaced(now, s)
	}
}

// RequestEnded counts the end of a request of this instance and records its outcome.
func (d *Directory) RequestEnded(now clock.Time, id, model string, o Outcome) {
	s := d.servers[id]
	if s == nil {
		return
	}
	d.RecordOutcome(now, id, o)
	// A restarted server counts from zero: requests sent before the restart are not
	// in the count.
	if s.local[model] > 0 {
		s.running--
		if s.local[model]--; s.local[model] == 0 {
			delete(s.local, model)
		}
	}
}

// SetPeerLoad replaces the requests that another instance has, by server and model.
func (d *Directory) SetPeerLoad(now clock.Time, peer string, running map[string]map[string]int) {
	for _, id := range d.serversByPeer[peer] {
		if s := d.servers[id]; s != nil && len(running[id]) == 0 {
			s.dropPeerLoad(peer)
		}
	}
	servers := make([]string, 0, len(running))
	for id, n := range running {
		s := d.servers[id]
		if s == nil || len(n) == 0 {
			continue
		}
		s.running += sum(n) - sum(s.peers[peer].running)
		s.peers[peer] = peerLoad{running: n, heardAt: now}
		for model := range n {
			s.modelLastUsed[model] = now
		}
		servers = append(servers, id)
	}
	d.serversByPeer[peer] = servers
}

// GrantPeerRequest counts a request that another instance is about to send to a server.
func (d *Directory) GrantPeerRequest(now clock.Time, peer, id, model string) {
	d.AddPeerRequest(now, peer, id, model)
	if s := d.servers[id]; s != nil {
		d.countPaced(now, s)
	}
}

// AddPeerRequest counts one more request of another instance, which was granted but is not
// in the instance's last report.
func (d *Directory) AddPeerRequest(now clock.Time, peer, id, model string) {
	s := d.servers[id]
	if s == nil {
		return
	}
	p, known := s.peers[peer]
	if !known {
		p.running = make(map[string]int)
		d.serversByPeer[peer] = append(d.serversByPeer[peer], id)
	}
	p.running[model]++
	p.heardAt = now
	s.peers[peer] = p
	s.running++
	s.lastUsed, s.modelLastUsed[model] = now, now
}

// RefreshPeerLoad keeps the load reported by an instance from expiring: the instance
// was heard and its report still applies.
func (d *Directory) RefreshPeerLoad(now clock.Time, peer string) {
	for _, id := range d.serversByPeer[peer] {
		s := d.servers[id]
		if s == nil {
			continue
		}
		if p, ok := s.peers[peer]; ok {
			p.heardAt = now
			s.peers[peer] = p
		}
	}
}

// dropPeerLoad removes the load that an instance puts on the server.
func (s *Server) dropPeerLoad(peer string) {
	s.running -= sum(s.peers[peer].running)
	delete(s.peers, peer)
}

// DropPeerLoad removes the load of an instance that has ended.
func (d *Directory) DropPeerLoad(peer string) {
	for _, id := range d.serversByPeer[peer] {
		if s := d.servers[id]; s != nil {
			s.dropPeerLoad(peer)
		}
	}
	delete(d.serversByPeer, peer)
}

// ExpirePeerLoad removes the load reported by instances that are no longer heard.
func (d *Directory) ExpirePeerLoad(now clock.Time) {
	for _, s := range d.servers {
		for name, p := range s.peers {
			if now.Sub(p.heardAt) > peerLoadTTL {
				s.dropPeerLoad(name)
			}
		}
	}
}

// LocalLoad returns how many requests this instance has on each server, in the form that
// SetPeerLoad takes: the sum over all models is under the empty model name.
func (d *Directory) LocalLoad() map[string]map[string]int {
	load := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			load[id] = map[string]int{"": sum(s.local)}
		}
	}
	return load
}

// LocalLoadByModel returns how many requests this instance has, by server and model.
func (d *Directory) LocalLoadByModel() map[string]map[string]int {
	load := make(map[string]map[string]int)
	for id, s := range d.servers {
		if len(s.local) > 0 {
			load[id] = maps.Clone(s.local)
		}
	}
	return load
}
