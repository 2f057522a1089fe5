package gateway

import (
	"context"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// peersEvery is the time between two readings of the instances' rows: a zone
	// that was cut off is forgotten after 45 s. Of two that start at once the later
	// one reads the other's row and says so itself, so one reading is enough.
	// peersRetry is the time to the next one if it failed.
	peersEvery = 40 * time.Second
	peersRetry = time.Second
)

// followPeers writes this instance's row and reads the others'.
func (g *Gateway) followPeers() {
	joined := false
	for {
		if !joined {
			joined = g.join()
		}
		pause := peersEvery
		if read := g.readPeers(); !joined || !read {
			pause = peersRetry
		}
		if !g.sleep(pause) {
			return
		}
	}
}

func (g *Gateway) join() bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began := boottime.Now()
	err := g.store.Join(ctx, ports.Peer{Name: g.set.Name, Address: g.set.Peer, Zone: g.set.Zone})
	g.stored("join", began, err)
	return err == nil
}

// readPeers reads the instances' rows, and reports whether it could.
func (g *Gateway) readPeers() bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began := boottime.Now()
	peers, err := g.store.Peers(ctx)
	g.stored("peers", began, err)
	if err != nil {
		return false
	}
	g.mu.Lock()
	g.knowsPeers = true
	now := boottime.Now()
	for _, p := range peers {
		g.members.Listed(now, p.Name, p.Address, p.Zone)
	}
	g.mu.Unlock()
	g.withTokens(g.quota.Joined)
	return true
}
