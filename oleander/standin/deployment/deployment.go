// Package deployment puts stand-ins together into what a deployment runs
// beside: the platform (table service, object store, instance list) and the
// backend servers of each availability zone. `oleander dev` runs all of it in
// one process; tests run the parts as processes of their own.
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

// server is what each stand-in is.
type server interface {
	Serve(l net.Listener) error
	Close() error
}

// group runs servers until they are closed.
type serverGroup struct {
	servers []server
	serving sync.WaitGroup
}

// start serves s on a new listener and returns its address.
func (g *serverGroup) start(address string, s server) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "deployment: listen")
	}
	g.servers = append(g.servers, s)
	g.serving.Add(1)
	go func() {
		defer g.serving.Done()
		_ = s.Serve(l) // ends with Close
	}()
	return l.Addr().String(), nil
}

// Close ends all servers.
func (g *serverGroup) Close() {
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.serving.Wait()
}

// Platform is the stand-in of the platform.
type Platform struct {
	serverGroup
	Table   *tablesvc.Table
	Objects *objects.Store
	List    *instancelist.List

	TableURL, ObjectURL, ListURL string
}

// PlatformAddresses say where the platform listens; empty ones choose a free
// port of the loopback interface.
type PlatformAddresses struct{ Table, Objects, List string }

const anyLoopbackPort = "127.0.0.1:0"

// listSeed seeds the order in which a faulty instance list is shown.
const listSeed = 1

// StartPlatform starts the platform.
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
		at, err := p.start(address, s.server)
		if err != nil {
			p.Close()
			return nil, err
		}
		*s.url = "http://" + at + s.path
	}
	return p, nil
}

// BackendSettings say which backend servers to run.
type BackendSettings struct {
	Zone      id.Zone
	Host      string // IP number to listen on; 127.0.0.1 if empty
	Engines   int    // of group EngineGroup
	Services  int    // of group ServiceGroup
	Store     *engine.WeightStore
	Bytes     int64
	TokenTime time.Duration

	EngineGroup  config.Group
	ServiceGroup config.Group
}

// Backends are the running backend servers of one availability zone.
type Backends struct {
	serverGroup
	Engines  []*engine.Engine
	Services []*service.Service
	Members  []event.Member // what the instance list is to show
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

func (b *Backends) addServer(s BackendSettings, name string, g id.Group, v server) error {
	at, err := b.start(net.JoinHostPort(s.Host, "0"), v)
	if err != nil {
		b.Close()
		return err
	}
	b.Members = append(b.Members, event.Member{Name: name, Address: at, Zone: s.Zone, Group: g})
	return nil
}
