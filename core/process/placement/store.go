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

// Intervals and limits of the messages about loads in transit.
const (
	loadsTTL           = 3 * time.Second
	loadsInterval      = time.Second
	maxLoadsRecipients = 64 // instances that receive the message; with more, the limits hold only within subsets
	slowLoadFactor     = 3  // a load that takes longer than this multiple of its load time is not counted
	minStartInterval   = 50 * time.Millisecond
)

// weightStore limits the concurrent loads from the weight store, so that they
// don't slow one another down. The limit is soft, as it relies on messages:
// instances that don't receive each other's messages may exceed it together,
// but none of them is blocked.
type weightStore struct {
	loadsPerSecond float64
	maxModels      int // at once at full speed; 0: no limit
	maxAdapters    int // at once; 0: no limit
	peers          map[id.Instance]peerLoads
	nextStartAt    clock.Time
	sent           message.LoadsInTransit // last message sent
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

// peerTotals adds up the recent messages of other instances, with the most
// urgent class that waits there. It also counts the instances that have loads
// or wait for one.
func (s *weightStore) peerTotals(now clock.Time) (sum message.LoadsInTransit, activePeers int) {
	for instance, peer := range s.peers {
		if now.Sub(peer.receivedAt) > loadsTTL {
			delete(s.peers, instance)
			continue
		}
		sum.Models += peer.Models
		sum.Adapters += peer.Adapters
		if peer.MostUrgent != "" && (sum.MostUrgent == "" || classRank(peer.MostUrgent) < classRank(sum.MostUrgent)) {
			sum.MostUrgent = peer.MostUrgent
		}
		if peer.Models+peer.Adapters > 0 || peer.MostUrgent != "" {
			activePeers++
		}
	}
	return sum, activePeers
}

// tryStart reports whether the requested load may use the weight store now, and
// if so delays the next start. A load whose checkpoint is cached does not use
// it and may always start.
func (s *weightStore) tryStart(p *Placement, o *ownedBackend, req *loadRequest, now clock.Time) bool {
	if p.cacheLevelAt(o.name, req.artifact) != message.CacheRemote {
		return true
	}
	req.storeWaitAt = now
	peerTotals, activePeers := s.peerTotals(now)
	if now.Before(s.nextStartAt) || p.moreUrgentWaits(req, peerTotals.MostUrgent, now) || !s.hasSlot(p, req, peerTotals, now) {
		return false
	}
	req.storeWaitAt = 0
	if s.loadsPerSecond > 0 {
		pause := time.Duration(float64(time.Second) / s.loadsPerSecond * float64(activePeers+1))
		s.nextStartAt = now.Add(max(pause, minStartInterval))
	}
	return true
}

// hasSlot reports whether one more load runs at full speed.
func (s *weightStore) hasSlot(p *Placement, req *loadRequest, peerTotals message.LoadsInTransit, now clock.Time) bool {
	own := p.loadsInTransit(now)
	if req.artifact.IsAdapter() {
		return s.maxAdapters == 0 || own.Adapters+peerTotals.Adapters < s.maxAdapters
	}
	return s.maxModels == 0 || own.Models+peerTotals.Models < s.maxModels
}

// moreUrgentWaits reports whether a more urgent load waits for the weight
// store, here or at another instance. A batch load must not slow down one that
// a technician waits for.
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

// loadsInTransit counts the loads of this instance's backend servers from the
// weight store, and determines the most urgent class that waits for it.
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
			if req.waitsForStore(now) && (sum.MostUrgent == "" || classRank(req.class) < classRank(sum.MostUrgent)) {
				sum.MostUrgent = req.class
			}
		}
	}
	return sum
}

// isSlow reports whether a load takes so long that it no longer counts towards
// the limits.
func (p *Placement) isSlow(replica *managedReplica, now clock.Time) bool {
	artifact, _ := p.configuredArtifact(replica.artifact)
	return replica.loadSent && now.Sub(replica.loadSentAt) > slowLoadFactor*max(artifact.LoadTime, time.Second)
}

// broadcastLoads sends this instance's loads to other instances, in all zones,
// while there are any, and once more when there are none left.
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
