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
	loadsTTL           = 3 * time.Second
	loadsInterval      = time.Second
	maxLoadsRecipients = 64 // instances told; beyond that the limit is kept by parts
	slowLoadFactor     = 3  // a load that takes this many times as long is not counted
	minStartInterval   = 50 * time.Millisecond
)

// weightStore keeps loads from slowing one another at the weight store. It is a
// soft limit, kept by messages: instances that don't hear from one another
// exceed it together, and none of them stops.
type weightStore struct {
	loadsPerSecond float64
	maxModels      int // at once at full speed; 0: no limit
	maxAdapters    int
	peers          map[id.Instance]peerLoads
	nextStartAt    clock.Time
	sent           message.LoadsInTransit
	nextSendAt     clock.Time
}

type peerLoads struct {
	message.LoadsInTransit
	receivedAt clock.Time
}

func newWeightStore() weightStore { return weightStore{peers: map[id.Instance]peerLoads{}} }

func (s *weightStore) setLimits(f config.Fleet) {
	s.loadsPerSecond, s.maxModels, s.maxAdapters = f.LoadsPerSecond, f.LoadsAtOnce, f.AdaptersInTransit
}

func (s *weightStore) recordPeerLoads(now clock.Time, from id.Instance, m message.LoadsInTransit) {
	s.peers[from] = peerLoads{m, now}
}

// others sums what fresh messages of other instances say, and names the most
// urgent class that waits there.
func (s *weightStore) peerTotals(now clock.Time) (sum message.LoadsInTransit, activePeers int) {
	for i, h := range s.peers {
		if now.Sub(h.receivedAt) > loadsTTL {
			delete(s.peers, i)
			continue
		}
		sum.Models += h.Models
		sum.Adapters += h.Adapters
		if h.Urgent != "" && (sum.Urgent == "" || classRank(h.Urgent) < classRank(sum.Urgent)) {
			sum.Urgent = h.Urgent
		}
		if h.Models+h.Adapters > 0 || h.Urgent != "" {
			activePeers++
		}
	}
	return sum, activePeers
}

// mayStart reports whether the load that w asks for may draw on the weight
// store now, and counts it if so. One whose checkpoint is cached always may.
func (s *weightStore) tryStart(p *Placement, o *ownedBackend, req *loadRequest, now clock.Time) bool {
	if p.cacheLevelAt(o.name, req.artifact) != message.CacheRemote {
		return true
	}
	req.storeWaitAt = now
	peerTotals, activePeers := s.peerTotals(now)
	if now.Before(s.nextStartAt) || p.moreUrgentWaits(req, peerTotals.Urgent, now) || !s.hasSlot(p, req, peerTotals, now) {
		return false
	}
	req.storeWaitAt = 0
	if s.loadsPerSecond > 0 {
		pause := time.Duration(float64(time.Second) / s.loadsPerSecond * float64(activePeers+1))
		s.nextStartAt = now.Add(max(pause, minStartInterval))
	}
	return true
}

// slot reports whether one more load runs at full speed.
func (s *weightStore) hasSlot(p *Placement, req *loadRequest, peerTotals message.LoadsInTransit, now clock.Time) bool {
	own := p.loadsInTransit(now)
	if req.artifact.IsAdapter() {
		return s.maxAdapters == 0 || own.Adapters+peerTotals.Adapters < s.maxAdapters
	}
	return s.maxModels == 0 || own.Models+peerTotals.Models < s.maxModels
}

// outranked reports whether a more urgent load waits for the weight store, here
// or at an instance that said so. A batch load must not slow one that a
// technician waits for.
func (p *Placement) moreUrgentWaits(req *loadRequest, peerClass config.Class, now clock.Time) bool {
	if peerClass != "" && classRank(peerClass) < classRank(req.class) {
		return true
	}
	for _, b := range p.ownedNames {
		for _, other := range p.owned[b].loadRequests {
			if other != req && other.waitsForStore(now) && compareLoadRequests(other, req) < 0 {
				return true
			}
		}
	}
	return false
}

// inTransit counts the loads of this instance's backend servers.
func (p *Placement) loadsInTransit(now clock.Time) message.LoadsInTransit {
	var sum message.LoadsInTransit
	for _, b := range p.ownedNames {
		o := p.owned[b]
		for _, replica := range o.replicas {
			if !o.usesWeightStore(replica) || p.isSlow(replica, now) {
				continue
			}
			if replica.artifact.IsAdapter() {
				sum.Adapters++
			} else {
				sum.Models++
			}
		}
		for _, req := range o.loadRequests {
			if req.waitsForStore(now) && (sum.Urgent == "" || classRank(req.class) < classRank(sum.Urgent)) {
				sum.Urgent = req.class
			}
		}
	}
	return sum
}

// stuck reports whether a load takes so long that the others go on without it.
func (p *Placement) isSlow(replica *managedReplica, now clock.Time) bool {
	artifact, _ := p.configuredArtifact(replica.artifact)
	return replica.loadSent && now.Sub(replica.loadSentAt) > slowLoadFactor*max(artifact.LoadTime, time.Second)
}

// tellLoads tells the other instances, of all zones, while there is something
// to tell, and once when it is over.
func (p *Placement) broadcastLoads(now clock.Time, out *event.Outbox) {
	s := &p.weightStore
	m := p.loadsInTransit(now)
	p.storeDelay = p.expectedStoreDelay(m)
	if now.Before(s.nextSendAt) || (m == s.sent && m == message.LoadsInTransit{}) {
		return
	}
	s.sent, s.nextSendAt = m, now.Add(loadsInterval)
	for _, i := range rendezvous.Rank("loads", p.members.Live(), maxLoadsRecipients) {
		if i != p.settings.Instance {
			out.Send(i, m)
		}
	}
}
