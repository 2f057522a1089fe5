// Package deployment starts the stand-ins that a deployment depends on: the
// platform (table service, object store, instance list) and the backend servers
// of each availability zone. `oleander dev` runs all of them in one process; tests
// run the platform and each zone's backend servers in separate processes.
package deployment

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/standin/engine"
	"oleanderdale.org/oleander/standin/instancelist"
	"oleanderdale.org/oleander/standin/objects"
	"oleanderdale.org/oleander/standin/service"
	"oleanderdale.org/oleander/standin/tablesvc"
)

// server is implemented by every stand-in.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// serverGroup runs servers until they are closed.
type serverGroup struct {
	servers []server
	serving sync.WaitGroup
}

// start runs s on a new listener at address and returns the address that it
// listens on.
func (g *serverGroup) start(address string, s server) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "deployment: listen")
	}
	g.servers = append(g.servers, s)
	g.serving.Add(1)
	go func() {
		defer g.serving.Done()
		_ = s.Serve(l) // returns after Close
	}()
	return l.Addr().String(), nil
}

// Close closes all servers and waits until they have stopped.
func (g *serverGroup) Close() {
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.serving.Wait()
}

// Platform is a running stand-in for the platform.
type Platform struct {
	serverGroup
	Table   *tablesvc.Table
	Objects *objects.Store
	List    *instancelist.List

	TableURL, ObjectURL, ListURL string
}

// PlatformAddresses are the addresses that the platform's services listen on. An
// empty address means a free port of the loopback interface.
type PlatformAddresses struct{ Table, Objects, List string }

// anyLoopbackPort listens on a free port of the loopback interface.
const anyLoopbackPort = "127.0.0.1:0"

// listSeed seeds the random order of the entries of an instance list that
// shuffles them.
const listSeed = 1

// StartPlatform starts the services of the platform.
func StartPlatform(a PlatformAddresses) (*Platform, error) {
	p := &Platform{Table: tablesvc.New(), Objects: objects.New(), List: instancelist.New(listSeed)}
	for _, s := range []struct {
		url     *string
		address string
		server  server
		path    string
	}{
		{&p.TableURL, a.Table, p.Table, ""},
		{&p.ObjectURL, a.Objects, p.Objects, ""},
		{&p.ListURL, a.List, p.List, instancelist.ListPath},
	} {
		address := s.address
		if address == "" {
			address = anyLoopbackPort
		}
		actual, err := p.start(address, s.server)
		if err != nil {
			p.Close()
			return nil, err
		}
		*s.url = "http://" + actual + s.path
	}
	return p, nil
}

// BackendSettings say which backend servers of an availability zone to run.
type BackendSettings struct {
	Zone      id.Zone
	Host      string              // IP address to listen on; 127.0.0.1 if empty
	Engines   int                 // number of engines in EngineGroup
	Services  int                 // number of services in ServiceGroup
	Store     *engine.WeightStore // shared by all engines
	Bytes     int64               // not used: EngineGroup.MemoryBytes is the engines' memory
	TokenTime time.Duration       // time to generate one token

	EngineGroup  config.Group
	ServiceGroup config.Group
}

// Backends are the running backend servers of one availability zone.
type Backends struct {
	serverGroup
	Engines  []*engine.Engine
	Services []*service.Service
	Members  []event.Member // entries of the servers for the instance list
}

// StartBackends starts the backend servers of a zone.
func StartBackends(s BackendSettings) (*Backends, error) {
	if s.Host == "" {
		s.Host = "127.0.0.1"
	}
	b := &Backends{}
	for n := range s.Engines {
		name := fmt.Sprintf("%s-engine-%d", s.Zone, n+1)
		e := engine.New(engine.Settings{
			Name: name, MemoryBytes: s.EngineGroup.MemoryBytes, HostCacheBytes: s.EngineGroup.MemoryBytes, DiskCacheBytes: 4 * s.EngineGroup.MemoryBytes,
			Store: s.Store, TokenTime: s.TokenTime, Concurrency: s.EngineGroup.Concurrency,
			ChecksFencing: s.EngineGroup.ChecksFencing, PersistsFencing: true, Resumes: s.EngineGroup.Resumes,
		})
		b.Engines = append(b.Engines, e)
		if err := b.addServer(s, name, s.EngineGroup.Name, e); err != nil {
			return nil, err
		}
	}
	for n := range s.Services {
		name := fmt.Sprintf("%s-service-%d", s.Zone, n+1)
		v := service.New()
		b.Services = append(b.Services, v)
		if err := b.addServer(s, name, s.ServiceGroup.Name, v); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// addServer starts v and adds its entry for the instance list. If it can't be
// started, all servers are closed.
func (b *Backends) addServer(s BackendSettings, name string, g id.Group, v server) error {
	address, err := b.start(net.JoinHostPort(s.Host, "0"), v)
	if err != nil {
		b.Close()
		return err
	}
	b.Members = append(b.Members, event.Member{Name: name, Address: address, Zone: s.Zone, Group: g})
	return nil
}
