package instance

import (
	"slices"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process/placement"
	"oleanderdale.org/core/request/queue"
)

// servers lists the backend servers for the queues and for their clients.
type servers struct{ i *Instance }

// ArtifactReplicas implements queue.ReplicaSource. If the artifact is loaded on a usable
// server, the servers without it are left out: with hundreds of engines in a zone,
// listing them all for each turn took most of the time of a request.
func (s *servers) ArtifactReplicas(a id.Artifact) []queue.Replica {
	holding := s.convert(s.i.placement.HeldReplicas(a))
	if slices.ContainsFunc(holding, func(r queue.Replica) bool { return r.State == queue.Loaded && !r.Down && !r.Leaving }) {
		return holding
	}
	return s.convert(s.i.placement.Replicas(a))
}

func (s *servers) convert(placed []placement.Replica) []queue.Replica {
	list := make([]queue.Replica, 0, len(placed))
	for _, r := range placed {
		list = append(list, queueReplica(s.i.now, r))
	}
	return list
}

// reportMaxAge is the age at which a reported number of running requests is
// ignored. A server whose owner is gone is not reported on any more; if it was
// full, it would seem full forever and its queue would not move. The turns granted
// here still limit its load.
const reportMaxAge = 5 * time.Second

func queueReplica(now clock.Time, r placement.Replica) queue.Replica {
	state := queue.Cold
	switch r.State {
	case message.Loaded:
		state = queue.Loaded
	case message.Loading:
		state = queue.Loading
	}
	running := r.Running
	if now.Sub(r.ReportedAt) > reportMaxAge {
		running = 0
	}
	return queue.Replica{
		Backend: r.Backend, Address: r.Address, State: state, Running: running, ReportedAt: r.ReportedAt,
		Concurrency: r.Concurrency, Leaving: r.Leaving, Down: r.Down, ReadyIn: r.ReadyIn,
	}
}

// ServiceReplicas implements queue.ReplicaSource: plain services are always loaded.
func (s *servers) ServiceReplicas(service id.Service) []queue.Replica {
	c := s.i.cfg
	if c == nil {
		return nil
	}
	group := c.Groups[c.Services[service].Group]
	var list []queue.Replica
	for _, m := range s.i.members.Backends() {
		if m.Group != group.Name || m.Zone != s.i.settings.Zone {
			continue
		}
		b := id.Backend(m.Name)
		list = append(list, queue.Replica{
			Backend: b, Address: m.Address, State: queue.Loaded, Concurrency: group.Concurrency,
			Leaving: m.Leaving, Down: s.i.members.IsDown(s.i.now, b),
		})
	}
	return list
}

// EstimateLoadTime implements queue.ReplicaSource.
func (s *servers) EstimateLoadTime(a id.Artifact) time.Duration {
	return s.i.placement.EstimateReadyIn(a)
}

// Zones implements turn.ZoneSource: the instance's own zone first, then the others
// in the order of the configuration.
func (s *servers) Zones(t queue.Target) []id.Zone {
	c := s.i.cfg
	if c == nil {
		return nil
	}
	group := groupOf(c, t)
	zones, ok := s.i.zonesByGroup[group]
	if !ok {
		zones = s.findZones(c, group)
		s.i.zonesByGroup[group] = zones
	}
	return zones
}

// findZones scans the list of all servers. Instance.zonesByGroup caches the result
// until the list or the configuration changes.
func (s *servers) findZones(c *config.Config, group id.Group) []id.Zone {
	own := s.i.settings.Zone
	has := make(map[id.Zone]bool)
	for _, m := range s.i.members.Backends() {
		if m.Group == group && !m.Leaving {
			has[m.Zone] = true
		}
	}
	var zones []id.Zone
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

// groupOf returns the group whose servers serve t.
func groupOf(c *config.Config, t queue.Target) id.Group {
	if t.Service != "" {
		return c.Services[t.Service].Group
	}
	return c.Artifacts[t.Artifact].Group
}
