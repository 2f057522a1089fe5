package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
	"oleanderdale.org/oleander/clients/engine"
	"oleanderdale.org/oleander/connection/peer"
	"oleanderdale.org/oleander/connection/upstream"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/process/logs"
	"oleanderdale.org/oleander/process/loop"
	"oleanderdale.org/oleander/process/metric"
	"oleanderdale.org/oleander/request/front"
	"oleanderdale.org/oleander/version/configcodec"
)

const (
	// maxTableOperations limits concurrent table operations. When the table
	// hangs, further operations fail immediately, so that requests which need
	// the table are refused before their deadline.
	maxTableOperations = 64
	// engineTimeout limits one call to the control interface of an engine, or a
	// status query to a plain service.
	engineTimeout = 2 * time.Second
	objectTimeout = 5 * time.Second
)

// tableService is the part of the table client that the executor uses.
type tableService interface {
	Read(ctx context.Context, keys []table.Key) ([]table.Row, table.Outcome)
	Scan(ctx context.Context, kind table.Kind, prefix string) ([]table.Row, table.Outcome)
	Commit(ctx context.Context, writes []table.Write) table.Outcome
}

// objectStore is the part of the object store client that the executor uses.
type objectStore interface {
	Get(ctx context.Context, d id.Digest) ([]byte, error)
}

// executor executes the effects of the core.
type executor struct {
	ctx           context.Context
	loop          *loop.Loop
	front         *front.Front
	peers         *peer.Transport
	table         tableService
	objects       objectStore
	engines       *engine.Client
	upstream      *upstream.Client
	log           zerolog.Logger
	tableTimeout  time.Duration // of one table operation
	tableSlots    chan struct{} // one element for each running table operation
	appliedConfig atomic.Pointer[config.Config]
	stopped       chan struct{} // closed when the core has stopped
	stopOnce      sync.Once
	// Availability of the services that the instance depends on; changes are logged.
	tableHealth, objectHealth *logs.Dependency
	engineHealth              *logs.Dependencies
	// loadInfo returns the size and load time of an artifact, or zeros if there is no
	// configuration yet.
	loadInfo func(id.Artifact) (bytes int64, load time.Duration)
}

// Execute implements loop.Executor.
func (x *executor) Execute(e event.Effect) {
	logDecision(x.log, boottime.Now(), e)
	switch e := e.(type) {
	case event.SendPeer:
		x.peers.Send(e.To, e.Message)
	case event.Dispatch:
		x.front.Deliver(e.Request, e)
	case event.Answer:
		x.front.Deliver(e.Request, e)
	case event.Refuse:
		x.front.Deliver(e.Request, e)
	case event.Cancel:
		x.front.Deliver(e.Request, e)
	case event.OrderBackend:
		go x.sendOrder(e)
	case event.FetchReport:
		go x.fetchReport(e)
	case event.QueryStatus:
		go x.queryStatus(e)
	case event.Ready:
		x.front.SetReady(e.Ready)
	case event.ConfigApplied:
		x.appliedConfig.Store(e.Config)
	case event.Stopped:
		x.stopOnce.Do(func() { close(x.stopped) })
	default:
		x.executePlatform(e)
	}
}

// executePlatform executes table, object and configuration effects.
func (x *executor) executePlatform(e event.Effect) {
	switch e := e.(type) {
	case event.TableRead:
		x.runTableOperation("read", e.Op, func(ctx context.Context) ([]table.Row, table.Outcome) { return x.table.Read(ctx, e.Keys) })
	case event.TableScan:
		x.runTableOperation("scan", e.Op, func(ctx context.Context) ([]table.Row, table.Outcome) { return x.table.Scan(ctx, e.Kind, e.Prefix) })
	case event.TableCommit:
		x.runTableOperation("commit", e.Op, func(ctx context.Context) ([]table.Row, table.Outcome) { return nil, x.table.Commit(ctx, e.Writes) })
	case event.ObjectGet:
		go x.getObject(e.Digest)
	case event.DecodeConfig:
		go x.decode(e)
	case event.EncodeConfig:
		go x.encode(e)
	default:
		x.log.Error().Type("effect", e).Msg("daemon: unknown effect")
	}
}

// runTableOperation runs one table operation in the background and posts its result.
func (x *executor) runTableOperation(kind string, op event.Op, f func(context.Context) ([]table.Row, table.Outcome)) {
	select {
	case x.tableSlots <- struct{}{}:
	default:
		metric.TableOperations(kind, "crowded").Inc()
		go x.loop.Post(event.TableResult{Op: op, Outcome: table.NotExecuted})
		return
	}
	go func() {
		defer func() { <-x.tableSlots }()
		ctx, cancel := context.WithTimeout(x.ctx, x.tableTimeout)
		defer cancel()
		start := time.Now()
		rows, outcome := f(ctx)
		metric.TableOperations(kind, outcome.String()).Inc()
		metric.RecordTableTime(kind, time.Since(start))
		x.tableHealth.RecordResult(outcome != table.Unknown)
		x.loop.Post(event.TableResult{Op: op, Outcome: outcome, Rows: rows})
	}()
}

// getObject reads an object from the object store and posts the result.
func (x *executor) getObject(d id.Digest) {
	ctx, cancel := context.WithTimeout(x.ctx, objectTimeout)
	defer cancel()
	body, err := x.objects.Get(ctx, d)
	x.objectHealth.RecordResult(err == nil)
	if err != nil {
		x.log.Warn().Err(err).Str("object", string(d)).Msg("config: reading an object failed")
	}
	x.loop.Post(event.ObjectResult{Digest: d, OK: err == nil, Body: body})
}

// sendOrder sends an order to an engine and posts the result.
func (x *executor) sendOrder(e event.OrderBackend) {
	// The order may have been delayed since it was decided, for example by a
	// pause of the process. After NotAfter another instance may own the server
	// and a late order would conflict with its decisions. Servers that check
	// fencing numbers reject it; for the others this is the last check, and the
	// new owner waits until orders already sent have taken effect.
	if boottime.Now() > e.NotAfter {
		metric.Orders(string(e.Kind), "late").Inc()
		logOrder(x.log, e, "not-sent-too-late")
		x.loop.Post(event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: event.OrderUnknown})
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, engineTimeout)
	defer cancel()
	size, loadTime := x.loadInfo(e.Artifact)
	result := x.engines.SendOrder(ctx, e.Address, engine.OrderRequest{
		Order: e.Order, Kind: e.Kind, Artifact: e.Artifact, Bytes: size, LoadTime: loadTime, Fencing: e.Fencing,
	})
	metric.Orders(string(e.Kind), result.String()).Inc()
	logOrder(x.log, e, result.String())
	x.loop.Post(event.OrderAnswered{Backend: e.Backend, Order: e.Order, Result: result})
}

// fetchReport reads the report of an engine and posts it.
func (x *executor) fetchReport(e event.FetchReport) {
	requestedAt := boottime.Now()
	ctx, cancel := context.WithTimeout(x.ctx, engineTimeout)
	defer cancel()
	r, err := x.engines.FetchReport(ctx, e.Address)
	x.engineHealth.RecordResult(string(e.Backend), err == nil)
	x.loop.Post(event.BackendReport{Backend: e.Backend, RequestedAt: requestedAt, OK: err == nil, Report: r})
}

// decode decodes a configuration and posts the result.
func (x *executor) decode(e event.DecodeConfig) {
	decoded := configcodec.DecodeConfig(e)
	if decoded.Err != "" {
		x.log.Error().Uint64("version", uint64(e.Version)).Str("reason", decoded.Err).Msg("config: version not usable, the last one stays")
	}
	x.loop.Post(decoded)
}

func (x *executor) encode(e event.EncodeConfig) { x.loop.Post(configcodec.EncodeConfig(e)) }

// queryStatus asks a plain service for the outcome of a non-idempotent call. Any
// error leaves the outcome unknown.
func (x *executor) queryStatus(e event.QueryStatus) {
	ctx, cancel := context.WithTimeout(x.ctx, engineTimeout)
	defer cancel()
	status, contentType, body, err := x.upstream.QueryStatus(ctx, e.Address, e.Path, string(e.Account))
	if err != nil {
		x.log.Warn().Err(err).Str("request", string(e.Request)).Msg("core: status query failed, outcome unknown")
	}
	x.loop.Post(event.StatusResult{Request: e.Request, Known: err == nil, Status: status, ContentType: contentType, Body: body})
}
