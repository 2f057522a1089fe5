package gateway

import (
	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/leader"
)

// leaseReleaseMsg goes with a heartbeat whose sender has released the holders of earlier
// eras of the store, or has ended its part in an election; see package leader. It is left
// out in normal operation, where each instance acknowledges the holder or is it. Older
// versions neither send nor read it: their part of the fleet then prevents the shorter wait.
type leaseReleaseMsg struct {
	Name         string `cbor:"1,keyasint,omitempty"`
	Incarnation  uint64 `cbor:"2,keyasint,omitempty"`
	Era          int64  `cbor:"3,keyasint,omitempty"`
	Fleet        bool   `cbor:"4,keyasint,omitempty"` // holders of the fleet lease
	Zone         bool   `cbor:"5,keyasint,omitempty"` // holders of the lease of the sender's zone
	FleetStopped bool   `cbor:"6,keyasint,omitempty"` // the sender takes no further part in the election
	ZoneStopped  bool   `cbor:"7,keyasint,omitempty"` // likewise for its zone
}

// heartbeatPacket adds this instance's part in the elections to its heartbeat. The caller holds mu.
func (g *Gateway) heartbeatPacket(now clock.Time, heartbeat *heartbeatMsg) packet {
	released := func(l *leader.Lease) bool {
		era, ok := l.Release(now)
		return ok && era == heartbeat.Era
	}
	m := leaseReleaseMsg{
		Name: heartbeat.Name, Incarnation: heartbeat.Incarnation, Era: heartbeat.Era,
		Fleet: released(g.fleetLease), Zone: released(g.zoneLease),
		FleetStopped: g.fleetLease.Stopped(), ZoneStopped: g.zoneLease.Stopped(),
	}
	if !m.Fleet && !m.Zone && !m.FleetStopped && !m.ZoneStopped {
		return packet{Heartbeat: heartbeat}
	}
	return packet{Heartbeat: heartbeat, LeaseRelease: &m}
}

// recordPeerStatus records what a heartbeat says about its sender's part in the elections.
// The caller holds mu.
func (g *Gateway) recordPeerStatus(now clock.Time, b *heartbeatMsg, m *leaseReleaseMsg) {
	if b.Name == g.settings.Name {
		return
	}
	if m == nil || m.Name != b.Name || m.Incarnation != b.Incarnation {
		m = &leaseReleaseMsg{}
	}
	id := machineID(b.Name, b.Address)
	g.fleetLease.HandlePeerStatus(now, id, b.Incarnation, leader.PeerStatus{
		Released: m.Fleet, Era: m.Era, Stopped: m.FleetStopped,
	})
	if b.Zone == g.settings.Zone {
		g.zoneLease.HandlePeerStatus(now, id, b.Incarnation, leader.PeerStatus{
			Released: m.Zone, Era: m.Era, Stopped: m.ZoneStopped,
		})
	}
}
