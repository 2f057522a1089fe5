package ending

// ServerState is what became of a server after its response ended with its connection.
type ServerState int

// Server states.
const (
	Lives   ServerState = iota // the same start of the server answers
	Ended                      // nothing listens there, or another server
	Silent                     // neither is known
	Unasked                    // there is nothing to ask it
)

// String returns the name of the state for logs.
func (s ServerState) String() string { return [...]string{"lives", "ended", "silent", "unasked"}[s] }

// Settle decides on an unconfirmed end once the server was asked for a sign of life. A server that ends closes
// its connections plainly. A stream needs the sign of life: its events were sent over seconds, in which the
// server may have ended. Any other response is taken for whole unless the server has ended.
func Settle(s ServerState, stream bool) Verdict {
	if s == Ended || stream && s == Silent {
		return BrokenOff
	}
	return Unconfirmed
}
