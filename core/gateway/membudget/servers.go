package membudget

import "slices"

// MaxServerBytes is the most bytes of bodies that an instance sends to one server at once.
// It holds for each instance by itself: instances do not tell each other what they send.
const MaxServerBytes = 8 << 20

// serverSmallPart is the part of a server's limit that only bodies up to SmallBody may use,
// so that small requests do not wait for large ones: sixteen of them at MaxServerBytes.
const serverSmallPart = 32

// transfer is a body that waits to be sent to a server.
type transfer struct {
	id ID
	n  int64
}

// server is a server that bodies are sent to.
type server struct {
	inFlight int64
	waiting  []transfer // in order of arrival; one that fits does not wait for others
}

// Servers counts the bytes of bodies in flight to each server. It is not safe for
// concurrent use.
type Servers struct {
	limit   int64
	servers map[string]*server
	decided []ID
}

// NewServers returns a Servers with a limit of bytes for each server.
func NewServers(limit int64) *Servers {
	return &Servers{limit: limit, servers: make(map[string]*server)}
}

// fits reports whether n more bytes may be sent. A body larger than the limit is sent
// alone.
func (s *Servers) fits(v *server, n int64) bool {
	limit := s.limit
	if n > SmallBody {
		limit -= limit / serverSmallPart
	}
	return v.inFlight == 0 || v.inFlight+n <= limit
}

// Start asks to send n bytes to a server. If it returns false, the transfer waits until
// Decided yields its ID or GiveUp ends the wait.
func (s *Servers) Start(name string, id ID, n int64) bool {
	v := s.servers[name]
	if v == nil {
		v = &server{}
		s.servers[name] = v
	}
	if s.fits(v, n) {
		v.inFlight += n
		return true
	}
	v.waiting = append(v.waiting, transfer{id: id, n: n})
	return false
}

// GiveUp ends the wait of a transfer. It reports whether the transfer was started before.
func (s *Servers) GiveUp(name string, id ID) (started bool) {
	if i := slices.Index(s.decided, id); i >= 0 {
		s.decided = slices.Delete(s.decided, i, i+1)
		return true
	}
	v := s.servers[name]
	if v == nil {
		return true
	}
	before := len(v.waiting)
	v.waiting = slices.DeleteFunc(v.waiting, func(t transfer) bool { return t.id == id })
	started = len(v.waiting) == before
	s.serve(name, v)
	return started
}

// End says that the server is done with n bytes.
func (s *Servers) End(name string, n int64) {
	v := s.servers[name]
	v.inFlight -= n
	s.serve(name, v)
}

func (s *Servers) serve(name string, v *server) {
	v.waiting = slices.DeleteFunc(v.waiting, func(t transfer) bool {
		if !s.fits(v, t.n) {
			return false
		}
		v.inFlight += t.n
		s.decided = append(s.decided, t.id)
		return true
	})
	if v.inFlight == 0 && len(v.waiting) == 0 {
		delete(s.servers, name)
	}
}

// Decided returns the transfers that were started since the last call.
func (s *Servers) Decided() []ID {
	d := s.decided
	s.decided = nil
	return d
}

// InFlight returns the bytes in flight to a server.
func (s *Servers) InFlight(name string) int64 {
	if v := s.servers[name]; v != nil {
		return v.inFlight
	}
	return 0
}
