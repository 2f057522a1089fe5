package gateway

import (
	"context"
	"time"

	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// peersEvery is the time between two readings of the instances' rows while some
	// that are known are silent: a zone that was cut off is forgotten after 45 s, and
	// found again through the rows. Of two that start at once the later one reads
	// the other's row and says so itself, so one reading is enough while all are
	// heard. peersRetry is the time to the next one if it failed.
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
		for again := false; !again; again = !joined || g.missesPeers() {
			lost, ends := g.awaitRow(pause)
			if ends {
				return
			}
			joined = joined && !lost
		}
	}
}

// awaitRow waits for a time, or until the store may have lost this instance's row, which
// it reports.
func (g *Gateway) awaitRow(d time.Duration) (lost, ends bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-g.rejoin:
		lost = true
	case <-g.ctx.Done():
		ends = true
	}
	return lost, ends
}

// missesPeers reports whether an instance that was known is not heard.
func (g *Gateway) missesPeers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.AnyMissing(boottime.Now())
}

func (g *Gateway) join() bool {
	ctx, cancel := context.WithTimeout(g.ctx, storeTimeout)
	defer cancel()
	began := boottime.Now()
	err := g.store.Join(ctx, ports.Peer{Name: g.set.Name, Address: g.set.Peer, Zone: g.set.Zone, Strength: g.set.Strength})
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
		g.members.UpdateFromRow(now, p.Name, p.Address, p.Zone, p.Strength)
	}
	g.mu.Unlock()
	g.withTokens(g.quota.Joined)
	return true
}
