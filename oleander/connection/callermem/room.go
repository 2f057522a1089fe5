package callermem

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/eviction"
)

// Listen listens for callers and others that send short requests. The kernel receives little ahead on the connections.
func Listen(address string) (net.Listener, error) {
	l := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}}
	return l.Listen(context.Background(), "tcp", address)
}

// hasRoomForConnection reports whether one more connection may be open.
func (a *Account) hasRoomForConnection() bool {
	return a.settings.MaxConnections == 0 || a.Connections() < a.settings.MaxConnections
}

// MakeRoomForConnection closes the caller furthest behind if as many connections are open as are allowed.
func (a *Account) MakeRoomForConnection() {
	if a.hasRoomForConnection() {
		return
	}
	var victims []*Conn
	a.update(func(clock.Time) {
		if len(a.conns)-a.evicting >= a.settings.MaxConnections {
			victims = a.furthest(nil, 1, func(*Conn) int64 { return 1 })
		}
	})
	closeAll(victims)
}

// Admit charges a new connection. It returns false if there is no room for it; the connection is open then.
func (a *Account) Admit(conn net.Conn) (net.Conn, bool) {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, true
	}
	_ = t.SetWriteBuffer(sendBuffer)
	c := &Conn{TCPConn: t, account: a, headPaid: freeHeadBytes}
	c.state.Enter(now(), eviction.Head)
	a.MakeRoomForConnection()
	if !a.chargeConnection(c, connectionBytes, false) {
		return conn, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if max := a.settings.MaxConnections; max > 0 && len(a.conns)-a.evicting >= max {
		a.connections.Release(c.charged)
		return conn, false
	}
	a.conns[c] = struct{}{}
	return c, true
}

// chargeConnection charges bytes of a connection or its request, and closes others to make room for them.
func (a *Account) chargeConnection(c *Conn, n int64, ofRequest bool) bool {
	ok := a.tryConnection(c, n, ofRequest)
	if ok {
		return true
	}
	var victims []*Conn
	a.update(func(clock.Time) {
		victims = a.furthest(c, a.connections.Missing(n), func(o *Conn) int64 { return o.charged })
	})
	closeAll(victims) // gives back what they hold at once
	return a.tryConnection(c, n, ofRequest)
}

func (a *Account) tryConnection(c *Conn, n int64, ofRequest bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed || !a.connections.Charge(n) {
		return false
	}
	c.charged += n
	if ofRequest {
		c.requestBytes += n
	}
	return true
}

// chargeRequest charges what a request takes beside its body.
func (a *Account) chargeRequest(c *Conn) {
	if !a.chargeConnection(c, requestBytes, true) {
		c.overloaded.Store(true)
	}
}

// endRequest gives back what the request on a connection took.
func (a *Account) endRequest(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return
	}
	a.connections.Release(c.requestBytes)
	c.charged -= c.requestBytes
	c.requestBytes = 0
}

// widen lets the kernel receive more of a large body ahead, if there is memory for that.
func (a *Account) widen(c *Conn, size int64) {
	if c == nil || size <= receiveBuffer || c.wide || !a.tryConnection(c, largeReceiveBuffer-receiveBuffer, false) {
		return
	}
	c.wide = true
	_ = c.SetReadBuffer(largeReceiveBuffer)
}

// remove gives back what a connection holds, once.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	a.connections.Release(c.charged)
	delete(a.conns, c)
	if c.evicted.Load() {
		a.evicting--
	}
}

// makeRoom chooses callers whose bodies and responses make way for missing bytes, beside those that were chosen
// before. The caller holds mu.
func (a *Account) makeRoom(needs *Conn, missing int64) []*Conn {
	for c := range a.conns {
		if c.evicted.Load() {
			missing -= a.held(c)
		}
	}
	return a.furthest(needs, missing, a.held)
}

// held returns the bytes of a connection's bodies and responses. The caller holds mu.
func (a *Account) held(c *Conn) int64 {
	total := int64(0)
	for _, id := range c.holdings {
		total += a.budget.Size(id)
	}
	return total
}

// furthest chooses the callers furthest behind until they give back the missing bytes. One that gives back nothing is
// not chosen. The caller holds mu.
func (a *Account) furthest(needs *Conn, missing int64, gives func(*Conn) int64) []*Conn {
	if missing <= 0 {
		return nil
	}
	var conns []*Conn
	var states []eviction.State
	for c := range a.conns {
		if c == needs || c.evicted.Load() || gives(c) == 0 {
			continue
		}
		c.mu.Lock()
		conns, states = append(conns, c), append(states, c.state)
		c.mu.Unlock()
	}
	var victims []*Conn
	for at := now(); missing > 0; {
		i := eviction.Furthest(at, states)
		if i < 0 {
			break
		}
		c, state := conns[i], states[i]
		states[i].Enter(at, eviction.Busy) // not twice
		if !c.makeWay(state.Phase) {
			continue
		}
		victims = append(victims, c)
		missing -= gives(c)
		a.evicting++
		a.evictions.add(a.settings.Log, state.Phase, state.Behind(at))
		if a.settings.OnEviction != nil {
			a.settings.OnEviction(state.Phase)
		}
	}
	return victims
}

// makeWay marks a connection as evicted, unless it has left a phase since, or the instance is behind rather than the
// caller. A body that was read to its end is so not given up: its request may already be on its way to a server.
func (c *Conn) makeWay(p eviction.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.Phase != p || p != eviction.Response && c.hasArrived() {
		return false
	}
	c.evicted.Store(true)
	return true
}

// refuseAll ends callers whose bodies and responses make way. One whose body is read gets a refusal.
func refuseAll(victims []*Conn) {
	for _, c := range victims {
		c.mu.Lock()
		body := c.state.Phase == eviction.Body
		c.mu.Unlock()
		if !body {
			c.end()
			continue
		}
		_ = c.SetReadDeadline(time.Unix(1, 0))
		time.AfterFunc(evictGrace, c.reset)
	}
}

// closeAll closes connections that make way.
func closeAll(victims []*Conn) {
	for _, c := range victims {
		c.end()
	}
}
