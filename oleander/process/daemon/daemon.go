// Package daemon implements the entry instance: it wires the core, its event loop
// and the connections together, runs them, and shuts them down without
// interrupting calls.
package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/instance"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/clients/instancelist"
	"oleanderdale.org/oleander/clients/objects"
	"oleanderdale.org/oleander/clients/tablesvc"
	"oleanderdale.org/oleander/connection/callermem"
	"oleanderdale.org/oleander/connection/peer"
	"oleanderdale.org/oleander/connection/upstream"
	"oleanderdale.org/oleander/process/burn"
	"oleanderdale.org/oleander/process/logs"
	"oleanderdale.org/oleander/process/loop"
	"oleanderdale.org/oleander/process/metric"
	"oleanderdale.org/oleander/request/front"
)

func itoa(v int64) string { return strconv.FormatInt(v, 10) }

// maxAdminHeaderBytes bounds the heads of requests at the admin address, which are short.
const maxAdminHeaderBytes = 8 << 10

// Instance is one run of an entry instance.
type Instance struct {
	settings     Settings
	name         id.Instance
	log          zerolog.Logger
	core         *instance.Instance
	loop         *loop.Loop
	front        *front.Front
	peers        *peer.Transport
	upstream     *upstream.Client
	instanceList *instancelist.Client
	executor     *executor
	burn         *burn.Recorder
	adminServer  *http.Server

	callerListener, adminListener, peerListener net.Listener
	cancel                                      context.CancelFunc
	ctx                                         context.Context
	goroutines                                  sync.WaitGroup // started by spawn
	stopOnce                                    sync.Once
	stopping                                    chan struct{} // closed when a graceful shutdown starts
	runDone                                     chan struct{} // closed when Run returns
}

// New returns an Instance that does not run yet. It opens the listeners for callers,
// admin and peers, so that an unusable address is reported here, but no outgoing
// connections.
func New(s Settings, log zerolog.Logger) (*Instance, error) {
	name, err := newInstanceName(s.Name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		settings: s, name: name, ctx: ctx, cancel: cancel,
		log:      log.With().Str("instance", string(name)).Str("zone", s.Zone).Logger(),
		upstream: upstream.New(), burn: burn.New(), stopping: make(chan struct{}), runDone: make(chan struct{}),
	}
	if err := i.build(); err != nil {
		i.closeListeners()
		cancel()
		return nil, err
	}
	return i, nil
}

// build creates the listeners, the clients, the core with its loop, and the servers.
func (i *Instance) build() error {
	if err := i.listen(); err != nil {
		return err
	}
	x, err := i.newExecutor()
	if err != nil {
		return err
	}
	i.core = instance.New(i.coreSettings(), invariant.Reporting(i.reportViolation))
	i.loop = loop.New(i.core, i.log)
	frontSettings := front.DefaultSettings()
	frontSettings.Memory = i.settings.MemoryMB << 20
	frontSettings.Instance, frontSettings.MaxBodySize, frontSettings.MaxConnections, frontSettings.DefaultTimeout = i.name, i.settings.MaxBody, i.settings.MaxConnections, i.settings.Deadline
	i.front = front.New(frontSettings, i.loop, i.upstream, x.appliedConfig.Load, i.burn.Observe, i.log)
	server, client, err := peerTLS(i.settings.TLSCA, i.settings.TLSCert, i.settings.TLSKey)
	if err != nil {
		return err
	}
	i.peers, err = peer.New(peer.Settings{
		Self: i.name, Name: i.settings.Name, ServerTLS: server, ClientTLS: client, Log: i.log,
		HandleMessage: func(from id.Instance, m message.Message) { i.loop.TryPost(event.PeerMessage{From: from, Message: m}) },
	})
	if err != nil {
		return err
	}
	x.loop, x.front, x.peers = i.loop, i.front, i.peers
	i.executor = x
	i.adminServer = &http.Server{Handler: i.adminHandler(), ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxAdminHeaderBytes}
	return nil
}

func (i *Instance) listen() error {
	for _, l := range []struct {
		listener *net.Listener
		flag     string
		address  string
		open     func(address string) (net.Listener, error)
	}{{&i.callerListener, "listen", i.settings.Listen, callermem.Listen}, {&i.adminListener, "admin", i.settings.Admin, callermem.Listen}, {&i.peerListener, "peer", i.settings.Peer, listenTCP}} {
		var err error
		if *l.listener, err = l.open(l.address); err != nil {
			return errors.Wrapf(err, "daemon: --%s=%s", l.flag, l.address)
		}
	}
	return nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

func (i *Instance) closeListeners() {
	for _, l := range []net.Listener{i.callerListener, i.adminListener, i.peerListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// newExecutor creates the clients of the platform's services and of the engines,
// and the executor that uses them.
func (i *Instance) newExecutor() (*executor, error) {
	s := i.settings
	tableClient, err := tablesvc.New(tablesvc.Settings{
		Endpoint: s.TableURL, Region: s.TableRegion, Table: s.TableName,
		AccessKey: s.TableKey, SecretKey: s.TableSecret, Timeout: s.TableLimit,
	})
	if err != nil {
		return nil, errors.Wrap(err, "daemon: table service")
	}
	objectClient, err := objects.New(objects.Settings{
		Endpoint: s.ObjectURL, Region: s.TableRegion, Bucket: s.Bucket, AccessKey: s.ObjectKey, SecretKey: s.ObjectPass,
	})
	if err != nil {
		return nil, errors.Wrap(err, "daemon: object store")
	}
	if i.instanceList, err = instancelist.New(instancelist.Settings{URL: s.ListURL}); err != nil {
		return nil, errors.Wrap(err, "daemon: instance list")
	}
	x := &executor{
		ctx: i.ctx, table: tableClient, objects: objectClient, engines: engine.New(engine.Settings{}), upstream: i.upstream, log: i.log,
		tableHealth: logs.NewDependency(i.log, "table"), objectHealth: logs.NewDependency(i.log, "objects"),
		engineHealth: logs.NewDependencies(i.log, "engine"),
		tableTimeout: s.TableLimit, tableSlots: make(chan struct{}, maxTableOperations), stopped: make(chan struct{}),
	}
	x.loadInfo = func(a id.Artifact) (int64, time.Duration) {
		c := x.appliedConfig.Load()
		if c == nil {
			return 0, 0
		}
		return c.Artifacts[a].Bytes, c.Artifacts[a].LoadTime
	}
	return x, nil
}

func (i *Instance) coreSettings() instance.Settings {
	return instance.Settings{
		Instance: i.name, Zone: id.Zone(i.settings.Zone), Address: i.settings.Advertise,
		LeaseTerm: i.settings.LeaseTerm, DrainDelay: i.settings.DrainDelay, Grace: i.settings.Grace,
	}
}

// reportViolation counts and logs an invariant violation.
func (i *Instance) reportViolation(v invariant.Violation) {
	metric.Violations(v.Name).Inc()
	i.log.Error().Str("invariant", v.Name).Str("detail", v.Detail).Msg("daemon: invariant violated")
}

// Name returns the instance name, which is unique to this run.
func (i *Instance) Name() id.Instance { return i.name }

// CallerAddress returns the address on which callers connect.
func (i *Instance) CallerAddress() string { return i.callerListener.Addr().String() }

// AdminAddress returns the address that serves health, status and metrics.
func (i *Instance) AdminAddress() string { return i.adminListener.Addr().String() }

// Config returns the applied configuration, or nil if there is none yet.
func (i *Instance) Config() *config.Config { return i.executor.appliedConfig.Load() }

// Run serves until a graceful shutdown that Stop requested is complete. If ctx ends
// first, it stops immediately.
func (i *Instance) Run(ctx context.Context) error {
	defer close(i.runDone)
	i.log.Info().Str("callers", i.CallerAddress()).Str("admin", i.AdminAddress()).Msg("daemon: started")
	failed := make(chan error, 3)
	i.spawn(func() { i.loop.Run(i.ctx, i.executor) })
	i.spawn(func() { failed <- ignoreClosed(i.peers.Serve(i.peerListener)) })
	i.spawn(func() { failed <- ignoreClosed(i.adminServer.Serve(i.adminListener)) })
	i.spawn(func() { failed <- ignoreClosed(i.front.Serve(i.callerListener)) })
	i.spawn(i.pollInstanceList)
	err := i.wait(ctx, failed)
	i.shutdown()
	return err
}

// spawn runs f in a goroutine that shutdown waits for.
func (i *Instance) spawn(f func()) {
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		f()
	}()
}

// wait returns when the core has stopped after handing over its work, when ctx
// ends, or with the error of a server that failed.
func (i *Instance) wait(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-i.executor.stopped:
			return nil
		case <-ctx.Done():
			i.log.Warn().Msg("daemon: stopping without draining")
			return nil
		case err := <-failed:
			if err != nil {
				return err
			}
		}
	}
}

// ignoreClosed returns nil for the errors that a server returns after it was closed.
func ignoreClosed(err error) error {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stop requests a graceful shutdown; Run returns when it is complete.
func (i *Instance) Stop() {
	i.stopOnce.Do(func() {
		close(i.stopping)
		i.log.Info().Msg("daemon: graceful shutdown started")
		i.front.SetReady(false)
		i.loop.Post(event.StopRequested{})
	})
}

// shutdown closes the servers and connections. Calls that still run have exceeded
// the grace period.
func (i *Instance) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = i.front.Server().Shutdown(ctx)
	_ = i.front.Server().Close()
	i.peers.Close()
	_ = i.adminServer.Close()
	i.cancel()
	i.upstream.Close()
	i.goroutines.Wait()
	i.log.Info().Msg("daemon: stopped")
}

// pollInstanceList reads the platform's instance list every ListEvery.
func (i *Instance) pollInstanceList() {
	ticker := time.NewTicker(i.settings.ListEvery)
	defer ticker.Stop()
	health := logs.NewDependency(i.log, "instance list")
	for {
		members, err := i.instanceList.Read(i.ctx)
		if i.ctx.Err() == nil {
			health.RecordResult(err == nil)
		}
		switch {
		case err == nil:
			for _, m := range members {
				if m.Group == "" {
					i.peers.SetAddress(id.Instance(m.Name), m.Address)
				}
			}
			i.loop.Post(event.InstanceListRead{Members: members})
		case i.ctx.Err() == nil:
			i.log.Warn().Err(err).Msg("daemon: reading the instance list failed")
		}
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
	}
}
