package instance

import (
	"time"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/request/queue"
)

// servers shows the backend servers to the queues and to those who ask them.
type servers struct{ i *Instance }

// Snapshot implements queue.Replicas.
func (s *servers) Snapshot(a id.Artifact) []queue.Replica {
	placed := s.i.places.Snapshot(a)
	list := make([]queue.Replica, 0, len(placed))
	for _, r := range placed {
		list = append(list, replicaOf(r))
	}
	return list
}

func replicaOf(r placement.Replica) queue.Replica {
	state := queue.Cold
	switch r.State {
	case message.Loaded:
		state = queue.Loaded
	case message.Loading:
		state = queue.Loading
	}
	return queue.Replica{
		Backend: r.Backend, Address: r.Address, State: state, Running: r.Running, Reported: r.Reported,
		Concurrency: r.Concurrency, Leaving: r.Leaving, Down: r.Down, ReadyIn: r.ReadyIn,
	}
}

// Servers implements queue.Replicas: plain services are always loaded.
func (s *servers) Servers(service id.Service) []queue.Replica {
	c := s.i.cfg
	if c == nil {
		return nil
	}
	group := c.Groups[c.Services[service].Group]
	var list []queue.Replica
	for _, m := range s.i.members.Backends() {
		if m.Group != group.Name || m.Zone != s.i.set.Zone {
			continue
		}
		b := id.Backend(m.Name)
		list = append(list, queue.Replica{
			Backend: b, Address: m.Address, State: queue.Loaded, Concurrency: group.Concurrency,
			Leaving: m.Leaving, Down: s.i.members.Down(s.i.now, b),
		})
	}
	return list
}

// Estimate implements queue.Replicas.
func (s *servers) Estimate(a id.Artifact) time.Duration { return s.i.places.Estimate(a) }

// Zones implements turn.Targets: the own zone first, then the others by name.
func (s *servers) Zones(t queue.Target) []id.Zone {
	c := s.i.cfg
	if c == nil {
		return nil
	}
	group := groupOf(c, t)
	own := s.i.set.Zone
	var zones []id.Zone
	has := make(map[id.Zone]bool)
	for _, m := range s.i.members.Backends() {
		if m.Group == group && !m.Leaving {
			has[m.Zone] = true
		}
	}
	if has[own] {
		zones = append(zones, own)
	}
	for _, z := range c.Fleet.Zones {
		if has[z] && z != own {
			zones = append(zones, z)
		}
	}
	return zones
}

func groupOf(c *config.Config, t queue.Target) id.Group {
	if t.Service != "" {
		return c.Services[t.Service].Group
	}
	return c.Artifacts[t.Artifact].Group
}
