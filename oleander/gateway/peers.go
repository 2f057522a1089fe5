package gateway

import (
	"net"
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/members"
	"oleanderdale.org/core/gateway/origin"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/core/gateway/revision"
)

// maxDatagram is the receive buffer, larger than any UDP payload.
const maxDatagram = 64 << 10

// demandMsg reports the requests that wait at an instance for a model or adapter.
type demandMsg struct {
	_              struct{} `cbor:",toarray"`
	Group          string
	Model          string
	Adapter        string
	Requests       int
	WaitedMS       int64
	Priority       int
	DueMS          int64 // until the newest request misses its objective; 0: none has one
	AllowedRegions regions.Set

	origin origin.Requirement // see packet.DemandOrigins
}

// departureMsg reports a backend server that drains or is gone.
type departureMsg struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64
	Gone        bool
	// Era and Version are the store revision up to which the server is gone.
	Era, Version int64
}

// heartbeatMsg is sent by each instance to all others several times a second.
// Counters run since the process started, so a lost message loses no counts.
type heartbeatMsg struct {
	_                struct{} `cbor:",toarray"`
	Name             string
	Incarnation      uint64
	Address          string
	Zone             string
	Manifest         uint64
	Leaving          bool
	Announcement     *announcementMsg          // from the holder of the fleet lease
	Ack              *ackMsg                   // to the holder of the fleet lease
	StoreUnreachable bool                      // calls of the sender to the store fail
	ServersStale     bool                      // and it does not see backend servers come and go
	OwnedAccounts    []ownedAccountMsg         // accounts whose quota the sender grants
	Handovers        []handoverMsg             // accounts that a stopping sender hands to others
	Running          map[string]map[string]int // by backend server and model; totals are under model ""
	ArrivalCounts    map[string]uint64         // by model, those that changed recently; to the lease holder
	Demand           []demandMsg               // to the lease holder
	Departures       []departureMsg            // to the lease holder
	Strength         int                       // ranks the candidates for the leases
	CrashCounts      map[uint64]uint32         // from older versions; see suspectsMsg
	Era              int64                     // of the store
	Evacuations      []evacuationMsg
	ZoneAnnouncement *announcementMsg // from the holder of the sender's zone lease
	ZoneAck          *ackMsg          // to the holder of the sender's zone lease
}

// announcementMsg says how long the holder of a lease keeps it.
type announcementMsg struct {
	_           struct{} `cbor:",toarray"`
	Fencing     int64
	Sequence    uint64 // of the heartbeat; other instances acknowledge the last one received
	Version     int64
	RemainingMS int64
	// QuietRemainingMS is the rest of the quiet period before the holder sends orders.
	QuietRemainingMS int64
}

// ackMsg tells the holder of a lease that its heartbeats are received.
type ackMsg struct {
	_        struct{} `cbor:",toarray"`
	Fencing  int64
	Sequence uint64
}

// serverMsg lists the models loaded on a backend server and, if Info is set, describes
// the server itself.
type serverMsg struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Incarnation int64
	Engine      bool // Models is valid
	Models      []modelMsg
	Info        *infoMsg

	software *string // see softwareMsg; nil: not named
}

// infoMsg is the part of a server's entry that every instance needs.
type infoMsg struct {
	_       struct{} `cbor:",toarray"`
	Address string
	Zone    string
	Group   string
	Slots   int
	Leaving bool
	ColdMS  int64 // remaining time in which the server is cold
	// Era and Version are the store revision of the server's entry.
	Era, Version int64
}

// revision returns the store revision of the server's entry.
func (i *infoMsg) revision() revision.Revision {
	return revision.Revision{Era: i.Era, Version: i.Version}
}

// goneMsg reports that a server is gone as of a store revision.
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

// stateMsg is sent by the holder of a lease about the backend servers: changes at
// once, everything periodically.
type stateMsg struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Fencing int64
	Servers []serverMsg
	Gone    []goneMsg // servers removed recently
	// Zone is set if the sender speaks for its zone only, because the holder of the
	// fleet lease is silent.
	Zone string
	// ServerIDs lists all servers, if the sender has read them from the store since
	// it took the lease; otherwise it is nil.
	ServerIDs []string
}

// forecastMsg is sent by a planner to instances with requests for models that are not
// available soon.
type forecastMsg struct {
	_       struct{} `cbor:",toarray"`
	Fencing int64
	Models  []expectedModelMsg
	Zone    string // see stateMsg.Zone
}

// expectedModelMsg says when a model is expected to be available.
type expectedModelMsg struct {
	_              struct{} `cbor:",toarray"`
	Group          string
	Model          string
	Adapter        string // "" for the model itself
	ReadyInMS      int64  // counted from sending
	AllowedRegions regions.Set

	origin origin.Requirement // see packet.ForecastOrigins
}

// packet is one datagram. Exactly one field is set, except that details go with what they
// describe. Instances of older versions ignore fields that they do not know.
type packet struct {
	Heartbeat      *heartbeatMsg      `cbor:"1,keyasint,omitempty"`
	State          *stateMsg          `cbor:"2,keyasint,omitempty"`
	Forecast       *forecastMsg       `cbor:"3,keyasint,omitempty"`
	Acquire        *acquireMsg        `cbor:"4,keyasint,omitempty"`
	AcquireReply   *acquireReplyMsg   `cbor:"5,keyasint,omitempty"`
	Release        *releaseMsg        `cbor:"6,keyasint,omitempty"`
	Ping           *pingMsg           `cbor:"7,keyasint,omitempty"`
	Forward        []byte             `cbor:"8,keyasint,omitempty"` // an encoded packet to handle and to relay to the other instances of the receiver's zone
	Dispatch       *dispatchMsg       `cbor:"11,keyasint,omitempty"`
	Choice         *choiceMsg         `cbor:"12,keyasint,omitempty"`
	Watcher        *watcherMsg        `cbor:"10,keyasint,omitempty"`
	Order          *orderMsg          `cbor:"13,keyasint,omitempty"`
	OrderResult    *orderResultMsg    `cbor:"14,keyasint,omitempty"`
	ChoiceDetail   *choiceDetailMsg   `cbor:"15,keyasint,omitempty"`
	Feedback       *feedbackMsg       `cbor:"16,keyasint,omitempty"`
	DispatchDetail *dispatchDetailMsg `cbor:"17,keyasint,omitempty"` // with Dispatch
	AcquireDetail  *acquireDetailMsg  `cbor:"18,keyasint,omitempty"` // with Acquire
	Paces          *pacesMsg          `cbor:"19,keyasint,omitempty"`
	LeaseRelease   *leaseReleaseMsg   `cbor:"20,keyasint,omitempty"` // with Heartbeat
	Suspects       *suspectsMsg       `cbor:"22,keyasint,omitempty"` // with Heartbeat, or alone if urgent
	Links          *linksMsg          `cbor:"23,keyasint,omitempty"` // with Heartbeat
	StateSoftware  softwareMsg        `cbor:"24,keyasint,omitempty"` // with State
	Origins        *originsMsg        `cbor:"25,keyasint,omitempty"`
	OriginQuery    *originQueryMsg    `cbor:"26,keyasint,omitempty"`
	QueryOrigin    *string            `cbor:"27,keyasint,omitempty"` // with Dispatch: the version at which a stream goes on
	DemandOrigins  map[int]string     `cbor:"28,keyasint,omitempty"` // with Heartbeat: likewise, by index in Demand
	// ForecastOrigins goes with Forecast: likewise, by index in Models.
	ForecastOrigins map[int]string `cbor:"29,keyasint,omitempty"`
	ChoiceSoftware  *string        `cbor:"30,keyasint,omitempty"` // with Choice: the version of the chosen server
	Probe           *probeMsg      `cbor:"31,keyasint,omitempty"`
	InDoubt         bool           `cbor:"32,keyasint,omitempty"` // with Heartbeat: there may have been crashes of which the sender can't know
	Late            bool           `cbor:"33,keyasint,omitempty"` // with Heartbeat: the sender does not keep up with what it receives
	Versions        uint64         `cbor:"34,keyasint,omitempty"` // with Heartbeat: see Directory.SoftwareHash
	// AcquireReplyDetail goes with AcquireReply.
	AcquireReplyDetail *acquireReplyDetailMsg `cbor:"21,keyasint,omitempty"`
	Relayed            [][]byte               `cbor:"9,keyasint,omitempty"` // encoded packets relayed by another instance of the zone
}

// encode encodes a packet. On an error, which is logged, the message has no body.
func (g *Gateway) encode(p packet) message {
	body, err := cbor.Marshal(p)
	if err != nil {
		g.log.Error().Err(err).Str("kind", p.kind()).Msg("peers: encoding a message failed")
	}
	return message{kind: p.kind(), body: body}
}

// kind labels a packet in the metrics.
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
	case p.Order != nil, p.OrderResult != nil:
		return "order"
	case p.Feedback != nil:
		return "feedback"
	case p.Paces != nil:
		return "pace"
	case p.Suspects != nil, p.Probe != nil:
		return "suspects"
	case p.Origins != nil, p.OriginQuery != nil:
		return "origin"
	}
	return "tokens"
}

// peerTransport exchanges datagrams between instances. Messages are small and
// repeated, so a lost one does no harm; a connection to each instance would cost more
// CPU time than the messages themselves.
type peerTransport struct {
	conn      *net.UDPConn
	countSent func(kind string, bytes int, otherZone bool)
}

// message is an encoded packet.
type message struct {
	kind string // label in the metrics
	body []byte // empty: not sent
}

// recipient is the destination of a message.
type recipient struct {
	address   string
	otherZone bool
}

// recipient returns the destination for an instance.
func (g *Gateway) recipient(m *members.Member) recipient {
	return recipient{address: m.Address, otherZone: m.Zone != g.settings.Zone}
}

func newPeerTransport(address string, sent func(kind string, bytes int, otherZone bool)) (*peerTransport, error) {
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

// send sends a message to each recipient. A failed send counts as a lost datagram.
func (p *peerTransport) send(m message, to []recipient) {
	if len(m.body) == 0 {
		return
	}
	for _, r := range to {
		a, err := netip.ParseAddrPort(r.address)
		if err != nil {
			continue // the row of this instance has no valid address
		}
		_, _ = p.conn.WriteToUDPAddrPort(m.body, a)
		p.countSent(m.kind, len(m.body), r.otherZone)
	}
}

// receive calls handle for each packet, and onError for each error, until the socket is
// closed.
func (p *peerTransport) receive(handle func(packet), onError func(error)) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			onError(err)
			continue
		}
		var m packet
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			onError(err)
			continue
		}
		handle(m)
	}
}

func (p *peerTransport) close() { _ = p.conn.Close() }

// member returns the sender as package members describes it.
func (b *heartbeatMsg) member() members.Member {
	return members.Member{
		Name: b.Name, Address: b.Address, Zone: b.Zone, Incarnation: b.Incarnation, Strength: b.Strength, Leaving: b.Leaving,
	}
}

// sendAll sends each message to its recipients.
func (g *Gateway) sendAll(out []outgoing) {
	for _, m := range out {
		g.peers.send(m.message, m.recipients)
	}
}
