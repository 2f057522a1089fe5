package gateway

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/oleander/process/boottime"
)

const (
	// reachTimeout bounds the look whether the store or another instance is reached;
	// both answer within some milliseconds.
	reachTimeout = 400 * time.Millisecond
	// reachTried is how many other instances are tried.
	reachTried = 3
)

// lookIfCutOff looks whether this instance is cut off, if it hears nobody. The
// caller holds mu.
func (g *Gateway) lookIfCutOff(now clock.Time) {
	if cut := g.isolation.CutOff(now); cut != g.cutOff.Load() {
		g.cutOff.Store(cut)
		g.log.Warn().Bool("cut_off", cut).Msg("gateway: reach of the others changed")
	}
	if !g.isolation.LookDue(now) {
		return
	}
	var addresses []string
	for _, m := range g.members.All(now) {
		if m.Zone != g.set.Zone && m.Heard != 0 && len(addresses) < reachTried {
			addresses = append(addresses, m.Address)
		}
	}
	go g.reach(addresses)
}

// reach tries the store and some other instances at once.
func (g *Gateway) reach(addresses []string) {
	ctx, cancel := context.WithTimeout(g.ctx, reachTimeout)
	defer cancel()
	reached := make(chan bool, len(addresses)+1)
	go func() {
		_, _, err := g.store.Lease(ctx)
		reached <- err == nil
	}()
	for _, a := range addresses {
		go func() { reached <- answers(ctx, a) }()
	}
	somebody := false
	for range len(addresses) + 1 {
		somebody = <-reached || somebody
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if somebody {
		g.isolation.Reached(boottime.Now())
	} else {
		g.isolation.Failed(boottime.Now())
	}
}

// answers reports whether a machine answers at all: one whose process is dead
// refuses the connection, one behind a partition is silent.
func answers(ctx context.Context, address string) bool {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return err == nil || errors.Is(err, syscall.ECONNREFUSED)
}
