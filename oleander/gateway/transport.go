package gateway

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/gateway/revision"
)

// maxDatagram is the largest that UDP carries.
const maxDatagram = 64 << 10

// wantMsg tells what waits at an instance for a model or adapter.
type wantMsg struct {
	_        struct{} `cbor:",toarray"`
	Group    string
	Model    string
	Adapter  string
	Requests int
	WaitedMS int64
	Priority int
	DueMS    int64 // until the objective of the newest is missed; 0: it has none
	Homes    regions.Set
}

// leftMsg tells of a backend server that leaves, or has left.
type departureMsg struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
	Gone   bool
	// Era and Version are the revision of the store up to which it is gone.
	Era, Version int64
}

// beatMsg is what an instance tells all others several times a second. Counters
// count from its start, so a lost message loses nothing.
type heartbeatMsg struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	Incarnation      uint64
	Address          string
	Zone             string
	Manifest         uint64
	Leaving          bool
	Claim            *claimMsg                 // of the holder of the lease
	Echo             *echoMsg                  // to it
	StoreUnreachable bool                      // a call of its own to the store failed of late
	ServersStale     bool                      // and it does not see servers come and leave
	OwnedAccounts    []ownedAccountMsg         // accounts whose tokens this instance hands out
	Handovers        []handoverMsg             // those that it left to others, since it stops
	Running          map[string]map[string]int // by backend server and model; under "" if the model is not told
	ArrivalCounts    map[string]uint64         // by model, those that changed of late; to the holder of the lease
	Wants            []wantMsg                 // to the holder of the lease
	Departures       []departureMsg            // to the holder of the lease
	Strength         int                       // for the choice among candidates for the lease
	FailedRuns       map[poison.Digest]uint32
	Era              int64           // of the store
	Evacuations      []evacuationMsg // evacuations
	ZoneClaim        *claimMsg       // of the holder of the lease of the sender's zone
	ZoneEcho         *echoMsg        // to it
}

// claimMsg tells the right of the holder of the lease.
type claimMsg struct {
	_           struct{} `cbor:",toarray"`
	Fencing     int64
	Sequence    uint64 // of the message; the others name the last one they heard
	Version     int64
	RemainingMS int64
	// OrdersInMS is the rest of the quiet time before the holder gives orders.
	OrdersInMS int64
}

// echoMsg tells the holder of the lease that it is heard.
type echoMsg struct {
	_        struct{} `cbor:",toarray"`
	Fencing  int64
	Sequence uint64
}

// serverMsg tells what one backend server holds, and now and then what it is.
type serverMsg struct {
	_      struct{} `cbor:",toarray"`
	Server string
	Born   int64
	Engine bool // Models is told
	Models []modelMsg
	Info   *infoMsg
}

// infoMsg is the part of a server's entry that every instance needs.
type infoMsg struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Zone    string
	Group   string
	Slots   int
	Leaving bool
	ColdMS  int64 // that it still bears little
	// Era and Version are the revision of the store that wrote its entry.
	Era, Version int64
}

// revision returns the revision of the store that wrote the entry told.
func (i *infoMsg) revision() revision.Revision {
	return revision.Revision{Era: i.Era, Version: i.Version}
}

// goneMsg tells of a server that left, up to a revision of the store.
type goneMsg struct {
	_            struct{} `cbor:",toarray"`
	Server       string
	Era, Version int64
}

type modelMsg struct {
	_        struct{} `cbor:",toarray"`
	Model    string
	Adapters []string
}

// stateMsg is what the holder of the lease tells of the backend servers:
// what changed, and everything now and then.
type stateMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Fencing int64
	Servers []serverMsg
	Gone    []goneMsg // servers that left of late
	// Zone is set if the sender speaks for its zone alone, since the holder of the fleet's
	// lease is silent.
	Zone string
	// All names all servers that the sender knows, where it read them from the
	// store since it holds the lease; nil: it is not told.
	ServerIDs []string
}

// forecastMsg is what the holder of the lease tells those that wait for models
// which are not there soon.
type forecastMsg struct {
	_       struct{} `cbor:",toarray"`
	Fencing int64
	Models  []expectedModelMsg
	Zone    string // as of a stateMsg
}

// expectedMsg tells when a model is expected to be usable.
type expectedModelMsg struct {
	_         struct{} `cbor:",toarray"`
	Group     string
	Model     string
	Adapter   string // "": the model
	ReadyInMS int64  // from the sending
	Homes     regions.Set
}

// packet is one datagram; one of its fields is set.
type packet struct {
	Heartbeat   *heartbeatMsg   `cbor:"1,keyasint,omitempty"`
	State       *stateMsg       `cbor:"2,keyasint,omitempty"`
	Forecast    *forecastMsg    `cbor:"3,keyasint,omitempty"`
	Ask         *quotaAskMsg    `cbor:"4,keyasint,omitempty"`
	Reply       *quotaReplyMsg  `cbor:"5,keyasint,omitempty"`
	Return      *quotaReturnMsg `cbor:"6,keyasint,omitempty"`
	Ping        *pingMsg        `cbor:"7,keyasint,omitempty"`
	Forward     []byte          `cbor:"8,keyasint,omitempty"` // a packet that is also for the other instances of the receiver's zone
	Dispatch    *dispatchMsg    `cbor:"11,keyasint,omitempty"`
	Choice      *choiceMsg      `cbor:"12,keyasint,omitempty"`
	Watcher     *watcherMsg     `cbor:"10,keyasint,omitempty"`
	Order       *orderMsg       `cbor:"13,keyasint,omitempty"`
	OrderAnswer *orderAnswerMsg `cbor:"14,keyasint,omitempty"`
	Relayed     [][]byte        `cbor:"9,keyasint,omitempty"` // packets that another instance of the zone passes on
}

// encode encodes a packet.
func (g *Gateway) encode(p packet) message {
	body, err := cbor.Marshal(p)
	if err != nil {
		g.log.Error().Err(err).Str("kind", p.kind()).Msg("peers: message not encoded")
	}
	return message{kind: p.kind(), body: body}
}

// kind names what a packet is, for the metrics.
func (p packet) kind() string {
	switch {
	case p.Heartbeat != nil && p.Heartbeat.ArrivalCounts != nil:
		return "demand"
	case p.Heartbeat != nil:
		return "beat"
	case p.State != nil:
		return "state"
	case p.Forecast != nil:
		return "forecast"
	case p.Relayed != nil:
		return "relayed"
	case p.Watcher != nil:
		return "word"
	case p.Dispatch != nil, p.Choice != nil:
		return "dispatch"
	case p.Order != nil, p.OrderAnswer != nil:
		return "order"
	}
	return "tokens"
}

// peers sends and receives datagrams between instances. They are small and
// repeated, so a lost one does no harm; a connection to each instance would
// cost more processor time than all they say.
type peerTransport struct {
	conn      *net.UDPConn
	countSent func(kind string, bytes int, otherZone bool)
}

// message is an encoded packet.
type message struct {
	kind string // for the metrics
	body []byte // nil: not to be sent
}

// recipient is an instance that a message goes to.
type recipient struct {
	address   string
	otherZone bool
}

// recipient returns where to write to an instance.
func (g *Gateway) recipient(m *members.Member) recipient {
	return recipient{address: m.Address, otherZone: m.Zone != g.settings.Zone}
}

func newPeers(address string, sent func(kind string, bytes int, otherZone bool)) (*peerTransport, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "gateway: peer address %q", address)
	}
	c, err := net.ListenUDP("udp4", a)
	if err != nil {
		return nil, errors.Wrapf(err, "gateway: listen on %s", address)
	}
	return &peerTransport{conn: c, countSent: sent}, nil
}

// send sends a message to each recipient. An error is a lost datagram.
func (p *peerTransport) send(m message, to []recipient) {
	if len(m.body) == 0 {
		return
	}
	for _, r := range to {
		a, err := netip.ParseAddrPort(r.address)
		if err != nil {
			continue // a row of an instance that can't be written to
		}
		_, _ = p.conn.WriteToUDPAddrPort(m.body, a)
		p.countSent(m.kind, len(m.body), r.otherZone)
	}
}

// receive calls take for each packet until the socket is closed.
func (p *peerTransport) receive(take func(packet), bad func(error)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			bad(err)
			continue
		}
		var m packet
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			bad(err)
			continue
		}
		take(m)
	}
}

func (p *peerTransport) close() { _ = p.conn.Close() }

// heardAs returns another instance as its heartbeat describes it.
func (b *heartbeatMsg) member() members.Member {
	return members.Member{
		Name: b.Name, Address: b.Address, Zone: b.Zone, Incarnation: b.Incarnation, Strength: b.Strength, Leaving: b.Leaving,
	}
}

// sendAll sends messages.
func (g *Gateway) sendAll(out []outgoing) {
	for _, m := range out {
		g.peers.send(m.message, m.recipients)
	}
}
