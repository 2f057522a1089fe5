// Package dev runs a small but complete deployment in one process on the loopback
// interface, for development: entry instances in three availability zones, and
// stand-ins for the platform, the model engines and the plain services.
package dev

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/clients/objects"
	"oleanderdale.org/oleander/clients/tablesvc"
	"oleanderdale.org/oleander/process/certs"
	"oleanderdale.org/oleander/process/daemon"
	"oleanderdale.org/oleander/process/logs"
	"oleanderdale.org/oleander/standin/deployment"
	"oleanderdale.org/oleander/standin/engine"
	"oleanderdale.org/oleander/version/apikey"
	"oleanderdale.org/oleander/version/configfile"
	"oleanderdale.org/oleander/version/publish"
)

// Settings are the settings of the development deployment.
type Settings struct {
	Port      int           `help:"First port; each instance takes the next ten: callers, admin, peers." env:"OLEANDER_DEV_PORT" default:"8080"`
	Instances int           `help:"Entry instances in each availability zone." env:"OLEANDER_DEV_INSTANCES" default:"2"`
	Engines   int           `help:"Model engines in each availability zone." env:"OLEANDER_DEV_ENGINES" default:"2"`
	TokenTime time.Duration `help:"Time that the stand-in engines take for a token." env:"OLEANDER_DEV_TOKEN_TIME" default:"20ms"`
	Verbose   bool          `help:"Show the instances' logs." env:"OLEANDER_DEV_VERBOSE"`

	Out io.Writer `kong:"-"` // where the addresses and the key are printed; standard output if nil
	Log io.Writer `kong:"-"` // where the instances log, at debug level; nil: to standard error if Verbose
}

//go:embed dev.yaml
var devYAML []byte

const (
	certLifetime     = 24 * time.Hour
	readyTimeout     = 30 * time.Second
	portsPerInstance = 10
	loopback         = "127.0.0.1"
	stopTimeout      = 20 * time.Second
	maxPerZone       = 20 // instances, or engines, per zone
	tableName        = "oleanderdale"
	bucket           = "oleanderdale"
	credential       = "local"
	objectPass       = "localsecret"
	tableRegion      = "local"
)

// Validate checks the settings; kong calls it.
func (s *Settings) Validate() error {
	switch {
	case s.Port < 1024 || s.Port > 60000:
		return errors.Errorf("--port=%d: allowed is 1024 to 60000", s.Port)
	case s.Instances < 1 || s.Instances > maxPerZone:
		return errors.Errorf("--instances=%d: allowed is 1 to %d", s.Instances, maxPerZone)
	case s.Engines < 1 || s.Engines > maxPerZone:
		return errors.Errorf("--engines=%d: allowed is 1 to %d", s.Engines, maxPerZone)
	case s.TokenTime < 0 || s.TokenTime > time.Second:
		return errors.Errorf("--token-time=%s: allowed is 0s to 1s", s.TokenTime)
	}
	return nil
}

// Deployment is a running development deployment.
type Deployment struct {
	Key       string // API key of account technicians
	Instances []*daemon.Instance
	Platform  *deployment.Platform
	Backends  []*deployment.Backends
	Config    *config.Config

	settings Settings
	dir      string // directory of the certificates
	logs     []*logs.Writer
	running  sync.WaitGroup
	failed   chan error // error of the first instance that failed
}

// Run runs the deployment until ctx ends or an instance fails, and then stops it
// gracefully.
func Run(ctx context.Context, s Settings) error {
	d, err := Start(ctx, s)
	if err != nil {
		return err
	}
	defer d.Close()
	out := s.Out
	if out == nil {
		out = os.Stdout
	}
	d.printUsage(out)
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failed:
		return err
	}
}

// Start starts the deployment and returns when all instances are ready.
func Start(ctx context.Context, s Settings) (*Deployment, error) {
	d := &Deployment{settings: s, failed: make(chan error, 1)}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	var err error
	if d.Key, d.Config, err = devConfig(); err != nil {
		return err
	}
	if d.Platform, err = deployment.StartPlatform(deployment.PlatformAddresses{}); err != nil {
		return err
	}
	if err := d.startBackends(); err != nil {
		return err
	}
	if err := d.publish(ctx); err != nil {
		return err
	}
	if err := d.startInstances(); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// devConfig returns a new API key and the configuration that contains its digest.
func devConfig() (string, *config.Config, error) {
	key := apikey.New()
	keyDocument := fmt.Sprintf("kind: key\ndigest: %s\naccount: technicians\nlabel: made by oleander dev\n", apikey.Digest(key))
	c, err := configfile.Parse([]configfile.File{{Name: "dev.yaml", Data: devYAML}, {Name: "key.yaml", Data: []byte(keyDocument)}})
	return key, c, errors.Wrap(err, "dev: configuration")
}

func (d *Deployment) startBackends() error {
	store := engine.NewWeightStore(engine.StoreSettings{
		LoadsPerSecond: d.Config.Fleet.LoadsPerSecond, LoadsAtOnce: d.Config.Fleet.LoadsAtOnce, AdaptersInTransit: d.Config.Fleet.AdaptersInTransit,
	})
	for _, z := range d.Config.Fleet.Zones {
		b, err := deployment.StartBackends(deployment.BackendSettings{
			Zone: z, Engines: d.settings.Engines, Services: 1, Store: store, TokenTime: d.settings.TokenTime,
			EngineGroup: d.Config.Groups["workers"], ServiceGroup: d.Config.Groups["desk"],
		})
		if err != nil {
			return err
		}
		d.Backends = append(d.Backends, b)
		for _, m := range b.Members {
			d.Platform.List.Put(m)
		}
	}
	return nil
}

// publish applies the configuration in the same way as `oleander apply`.
func (d *Deployment) publish(ctx context.Context) error {
	tableClient, err := tablesvc.New(tablesvc.Settings{Endpoint: d.Platform.TableURL, Region: tableRegion, Table: tableName, AccessKey: credential, SecretKey: credential})
	if err != nil {
		return errors.Wrap(err, "dev: table service")
	}
	objectClient, err := objects.New(objects.Settings{Endpoint: d.Platform.ObjectURL, Region: tableRegion, Bucket: bucket, AccessKey: credential, SecretKey: objectPass})
	if err != nil {
		return errors.Wrap(err, "dev: object store")
	}
	publisher := publish.Publisher{Table: tableClient, Objects: objectClient}
	_, err = publisher.Apply(ctx, d.Config, "oleander dev", "dev", nil)
	return errors.Wrap(err, "dev: apply the configuration")
}

func (d *Deployment) startInstances() error {
	dir, err := os.MkdirTemp("", "oleander-dev-")
	if err != nil {
		return errors.Wrap(err, "dev: create the certificate directory")
	}
	d.dir = dir
	if err := certs.Write(dir, certLifetime); err != nil {
		return err
	}
	port := d.settings.Port
	for _, z := range d.Config.Fleet.Zones {
		for n := range d.settings.Instances {
			if err := d.startInstance(z, n, port); err != nil {
				return err
			}
			port += portsPerInstance
		}
	}
	return nil
}

func (d *Deployment) startInstance(z id.Zone, n, port int) error {
	s := d.instanceSettings(fmt.Sprintf("%s-%d", z, n+1), z, port)
	if err := s.Validate(); err != nil {
		return err
	}
	i, err := daemon.New(s, d.logger())
	if err != nil {
		return err
	}
	d.Instances = append(d.Instances, i)
	d.Platform.List.Put(event.Member{Name: s.Name, Address: s.Peer, Zone: z})
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		if err := i.Run(context.Background()); err != nil {
			select {
			case d.failed <- err:
			default:
			}
		}
	}()
	return nil
}

func (d *Deployment) logger() zerolog.Logger {
	switch {
	case d.settings.Log != nil:
		return zerolog.New(zerolog.SyncWriter(d.settings.Log)).With().Timestamp().Logger()
	case d.settings.Verbose:
		w := logs.New(os.Stderr) // each instance has its own budget, as separate processes would
		d.logs = append(d.logs, w)
		return zerolog.New(w).With().Timestamp().Logger()
	}
	return zerolog.Nop()
}

func (d *Deployment) instanceSettings(name string, z id.Zone, port int) daemon.Settings {
	address := func(offset int) string { return net.JoinHostPort(loopback, strconv.Itoa(port+offset)) }
	return daemon.Settings{
		Name: name, Zone: string(z), Listen: address(0), Admin: address(1), Peer: address(2),
		TableURL: d.Platform.TableURL, TableName: tableName, TableRegion: tableRegion, TableKey: credential, TableSecret: credential,
		ObjectURL: d.Platform.ObjectURL, Bucket: bucket, ObjectKey: credential, ObjectPass: objectPass, ListURL: d.Platform.ListURL,
		TLSCA: d.dir + "/" + certs.CAFile, TLSCert: d.dir + "/" + certs.CertFile, TLSKey: d.dir + "/" + certs.KeyFile,
		LeaseTerm: 9 * time.Second, ListEvery: 500 * time.Millisecond, TableLimit: 2 * time.Second,
		DrainDelay: 200 * time.Millisecond, Grace: 5 * time.Second,
		MemoryMB: 128, MaxBody: 4 << 20, MaxConnections: 1024, Deadline: time.Minute,
	}
}

// awaitReady waits until all instances are ready.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range d.Instances {
		for !isReady(ctx, i.AdminAddress()) {
			select {
			case <-ctx.Done():
				return errors.Errorf("dev: instance %s is not ready", i.Name())
			case err := <-d.failed:
				return err
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, admin string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close stops the instances gracefully and then the stand-ins.
func (d *Deployment) Close() {
	for _, i := range d.Instances {
		i.Stop()
	}
	done := make(chan struct{})
	go func() {
		d.running.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(stopTimeout):
	}
	for _, b := range d.Backends {
		b.Close()
	}
	if d.Platform != nil {
		d.Platform.Close()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
	for _, w := range d.logs {
		w.Close()
	}
}

func (d *Deployment) printUsage(w io.Writer) {
	callerAddress := d.Instances[0].CallerAddress()
	adminAddresses := make([]string, len(d.Instances))
	for n, i := range d.Instances {
		adminAddresses[n] = i.AdminAddress()
	}
	fmt.Fprintf(w, `oleander dev is ready: %d entry instances in %d availability zones.

export KEY=%s

curl -N http://%s/v1/chat/completions -H "Authorization: Bearer $KEY" \
  -H 'Content-Type: application/json' \
  -d '{"model":"fault-summary","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"door 7 jams"}]}'

curl http://%s/services/work-orders/orders -H "Authorization: Bearer $KEY" \
  -H 'Idempotency-Key: order-1' -H 'Content-Type: application/json' -d '{"door":7}'

Status and metrics: http://%s/status and /metrics
For oleander status and burn: --instances %s
Stop with Ctrl-C.
`, len(d.Instances), len(d.Config.Fleet.Zones), d.Key, callerAddress, callerAddress, d.Instances[0].AdminAddress(), strings.Join(adminAddresses, ","))
}
