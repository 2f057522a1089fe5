package membudget

// Connections divides the memory for connections and the heads of requests. Bodies and responses have memory
// of their own, so that neither kind takes the other's. It is not safe for concurrent use.
type Connections struct{ bound, held int64 }

// NewConnections returns Connections with this bound in bytes.
func NewConnections(bound int64) *Connections { return &Connections{bound: bound} }

// Charge takes n bytes. It reports whether they are there.
func (c *Connections) Charge(n int64) bool {
	if c.held+n > c.bound {
		return false
	}
	c.held += n
	return true
}

// Release gives n bytes back.
func (c *Connections) Release(n int64) { c.held -= n }

// Missing returns how many bytes have to be released before n can be taken.
func (c *Connections) Missing(n int64) int64 { return c.held + n - c.bound }

// Held returns the bytes taken.
func (c *Connections) Held() int64 { return c.held }
