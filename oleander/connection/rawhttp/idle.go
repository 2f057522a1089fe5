package rawhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// sweepInterval is the least time between two sweeps for expired connections.
const sweepInterval = time.Second

// popIdle takes the most recently used idle connection out of the pool. It returns
// nil if there is none.
func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// DropIdle closes all idle connections.
func (p *Pool) DropIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = make(map[string][]*Conn)
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Abort()
		}
	}
}

// Drop closes the idle connections to an address, whose server is gone.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// DropExpired closes the connections that have been idle for too long to be used again, at most once a
// sweepInterval. It is also done when a connection is released.
func (p *Pool) DropExpired() {
	p.mu.Lock()
	expired := p.takeExpired(time.Now())
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}

// takeExpired takes expired connections out of the pool, if a sweep is due. The caller holds mu.
func (p *Pool) takeExpired(now time.Time) (expired []*Conn) {
	if now.Sub(p.swept) < sweepInterval {
		return nil
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// Release returns the connection to the pool. It closes the connection if it cannot
// be reused or if the pool has enough idle ones for the address.
// The body of resp must have been read to its end.
func (c *Conn) Release(resp *http.Response) {
	if resp.Close || resp.ProtoMinor == 0 || c.reader.Buffered() > 0 || EndsWithConnection(resp) {
		c.Close()
		return
	}
	c.onReadTimeout = nil
	c.SetDeadline(time.Time{})
	now := time.Now()
	c.idleDeadline = now.Add(idleTimeout(resp.Header.Get("Keep-Alive")))
	for _, drop := range c.pool.keep(now, c) {
		drop.Close()
	}
}

// ReleaseRejected is Release after a rejection, whose request may be sent again: not on this connection, since a second
// copy of the rejection may still come.
func (c *Conn) ReleaseRejected(resp *http.Response) {
	if len(c.rejectedIDs) >= maxRejectedIDs {
		c.Close()
		return
	}
	c.rejectedIDs = append(c.rejectedIDs, c.lastID)
	c.Release(resp)
}

// keep adds an idle connection, and returns those to close.
func (p *Pool) keep(now time.Time, c *Conn) (drop []*Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	drop = p.takeExpired(now)
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		return append(drop, c)
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	return drop
}

// idleTimeout returns how long a connection may stay idle, from the Keep-Alive
// header of a response.
func idleTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(n)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
