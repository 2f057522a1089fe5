package gateway

import (
	"context"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// peerReadInterval is the time between two readings of the instances' rows while
	// a known instance is silent. A zone that was cut off is forgotten after 45 s and
	// found again through the rows. One reading suffices while all are heard: of two
	// instances that start at once, the later one reads the other's row and contacts
	// it. peerReadRetry is the time until the next attempt after a failure.
	peerReadInterval = 40 * time.Second
	peerReadRetry    = time.Second
)

// syncPeers writes this instance's row and reads the rows of the others.
func (g *Gateway) syncPeers() {
	registered := false
	for {
		if !registered {
			registered = g.registerPeer()
		}
		pause := peerReadInterval
		if read := g.readPeers(); !registered || !read {
			pause = peerReadRetry
		}
		for reread := false; !reread; reread = !registered || g.hasSilentPeers() {
			lost, ended := g.awaitReregister(pause)
			if ended {
				return
			}
			registered = registered && !lost
		}
	}
}

// awaitReregister waits for d, or until the store may have lost this instance's row
// (lost) or the gateway ends.
func (g *Gateway) awaitReregister(d time.Duration) (lost, ended bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.reregister:
		lost = true
	case <-g.ctx.Done():
		ended = true
	}
	return lost, ended
}

// hasSilentPeers reports whether a known instance is not heard.
func (g *Gateway) hasSilentPeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.AnyMissing(boottime.Now())
}

func (g *Gateway) registerPeer() bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began := boottime.Now()
	err := g.store.RegisterPeer(ctx, ports.Peer{Name: g.settings.Name, Address: g.settings.PeerAddress, Zone: g.settings.Zone, Strength: g.settings.Strength})
	g.recordStoreCall("join", began, err)
	return err == nil
}

// readPeers reads the instances' rows and reports whether it succeeded.
func (g *Gateway) readPeers() bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began, era := boottime.Now(), g.store.Era()
	peers, err := g.store.Peers(ctx)
	g.recordStoreCall("peers", began, err)
	if err != nil {
		return false
	}
	g.mu.Lock()
	g.peersRead, g.peersReadEra = true, era
	now := boottime.Now()
	for _, p := range peers {
		g.members.UpdateFromRow(now, p.Name, p.Address, p.Zone, p.Strength)
	}
	g.mu.Unlock()
	g.withQuota(g.limiter.MembersListed)
	return true
}
