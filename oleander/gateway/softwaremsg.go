package gateway

import (
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/origin"
)

// softwareMsg lists by version the indexes of servers in a message. It goes beside the message, as
// earlier versions do not read messages with further fields.
type softwareMsg map[string][]int

func softwareOf(servers []serverMsg) softwareMsg {
	all := make(softwareMsg)
	for i, s := range servers {
		if s.software != nil {
			all[*s.software] = append(all[*s.software], i)
		}
	}
	return all
}

// apply sets the versions of the servers of a decoded message.
func (m softwareMsg) apply(servers []serverMsg) {
	for software, indexes := range m {
		for _, i := range indexes {
			if i >= 0 && i < len(servers) {
				servers[i].software = &software
			}
		}
	}
}

// joinSoftware puts the versions that go beside the messages of a decoded packet into them.
func (p *packet) joinSoftware() {
	if p.State != nil {
		p.StateSoftware.apply(p.State.Servers)
	}
	if p.Choice != nil && p.Choice.Server != nil {
		p.Choice.Server.software = p.ChoiceSoftware
	}
	for i, software := range p.DemandOrigins {
		if p.Heartbeat != nil && i >= 0 && i < len(p.Heartbeat.Demand) {
			p.Heartbeat.Demand[i].origin = origin.At(software)
		}
	}
	for i, software := range p.ForecastOrigins {
		if p.Forecast != nil && i >= 0 && i < len(p.Forecast.Models) {
			p.Forecast.Models[i].origin = origin.At(software)
		}
	}
}

// softwareAfter returns the version of the described server, of which old is known; nil: nothing is.
func (m *serverMsg) softwareAfter(old *directory.Server) string {
	switch {
	case m.software != nil:
		return *m.software
	case old != nil && old.Incarnation == m.Incarnation:
		return old.Software
	}
	return directory.UnknownSoftware(m.Server, m.Incarnation)
}

// originOf returns the requirement of a stream that goes on at a version; nil: of a new one.
func originOf(software *string) origin.Requirement {
	if software == nil {
		return origin.Requirement{}
	}
	return origin.At(*software)
}

// softwareRequired is the inverse of originOf.
func softwareRequired(r origin.Requirement) *string {
	if !r.Begun {
		return nil
	}
	return &r.Software
}
