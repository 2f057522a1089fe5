// Package processes runs a deployment as in production: each instance and each
// simulated external service is a separate process, and they communicate over
// TCP on the loopback interface.
package processes

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Zones lists the availability zones of the deployment in testdata.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	startTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
	// firstHostNumber is the last byte of the first instance's address.
	firstHostNumber = 11
	// maxLogLines is how many log lines of a process that exited are reported.
	maxLogLines = 20
	// maxNetworkAttempts limits the search for an unused loopback network.
	maxNetworkAttempts = 1000
)

// Cluster is a running deployment.
type Cluster struct {
	Dir       string // holds binaries, certificates, configuration and logs
	Instances []*Instance
	APIKey    string
	platform  *process
	backends  []*process
	urls      map[string]string // of the platform services, by name
	// network is the first three bytes of this cluster's loopback addresses;
	// networkReservation keeps other clusters from using them. Each cluster has its
	// own network because outgoing connections of other processes can take a port of
	// 127.0.0.1 that was free a moment ago: an instance then failed to start, and its
	// callers were refused.
	network            string
	networkReservation net.Listener

	mu        sync.Mutex
	processes []*process
}

// Instance is one instance. Its name and addresses stay when it is restarted.
type Instance struct {
	Name, Zone                               string
	CallerAddress, AdminAddress, PeerAddress string
	process                                  *process
}

// process is an operating system process started by a Cluster.
type process struct {
	name    string
	cmd     *exec.Cmd
	logPath string // file with its standard error
	done    chan struct{}
	err     error
}

// Build compiles the binaries into dir.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"oleanderdale.org/oleander/cmd/oleander", "oleanderdale.org/oleander/cmd/oleanderd")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Start starts the platform, the backend servers and perZone instances in each
// zone, applies the configuration file and waits until all instances are ready.
// dir holds the binaries.
func Start(ctx context.Context, dir, config string, perZone int) (*Cluster, error) {
	c := &Cluster{Dir: dir, urls: make(map[string]string)}
	err := c.reserveNetwork()
	if err == nil {
		err = c.start(ctx, config, perZone)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, config string, perZone int) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	if err := c.configure(ctx, config); err != nil {
		return err
	}
	for _, z := range Zones {
		if err := c.startBackends(ctx, z); err != nil {
			return err
		}
	}
	for _, z := range Zones {
		for n := range perZone {
			if err := c.addInstance(ctx, z, n); err != nil {
				return err
			}
		}
	}
	for _, inst := range c.Instances {
		if err := inst.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

var urlPattern = regexp.MustCompile(`(?m)^(table|objects|list) (\S+)$`)

func (c *Cluster) startPlatform(ctx context.Context) error {
	p, out, err := c.spawn("platform", "oleander", "standin", "platform",
		"--table", "127.0.0.1:0", "--objects", "127.0.0.1:0", "--list", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.platform = p
	return waitUntil(ctx, "the platform", func() bool {
		for _, m := range urlPattern.FindAllStringSubmatch(readFile(out), -1) {
			c.urls[m[1]] = m[2]
		}
		return len(c.urls) == 3
	})
}

// configure creates the certificates and an API key, and applies the configuration.
func (c *Cluster) configure(ctx context.Context, config string) error {
	if _, err := c.Oleander(ctx, "tls", "new", c.Dir); err != nil {
		return err
	}
	out, err := c.Oleander(ctx, "key", "new", "--account", "technicians", "--label", "proving")
	if err != nil {
		return err
	}
	c.APIKey = regexp.MustCompile(`odk_\w+`).FindString(out)
	_, doc, found := strings.Cut(out, "---\n")
	if c.APIKey == "" || !found {
		return errors.New("key new printed no API key")
	}
	if err := os.WriteFile(filepath.Join(c.Dir, "key.yaml"), []byte(doc), 0o600); err != nil {
		return err
	}
	body, err := os.ReadFile(config)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.configPath(), body, 0o600); err != nil {
		return err
	}
	_, err = c.Apply(ctx)
	return err
}

func (c *Cluster) configPath() string { return filepath.Join(c.Dir, "deployment.yaml") }

// Apply applies the configuration files in Dir with `oleander apply`. Before any
// instance is added it does not wait for instances to apply the new version.
func (c *Cluster) Apply(ctx context.Context, extraArgs ...string) (string, error) {
	args := append([]string{"apply", c.configPath(), filepath.Join(c.Dir, "key.yaml")}, c.platformFlags()...)
	if len(c.Instances) == 0 {
		args = append(args, "--wait", "0")
	} else {
		args = append(args, "--instances", strings.Join(c.AdminAddresses(), ","))
	}
	return c.Oleander(ctx, append(args, extraArgs...)...)
}

// AdminAddresses returns the admin addresses of the instances.
func (c *Cluster) AdminAddresses() []string {
	var all []string
	for _, inst := range c.Instances {
		all = append(all, inst.AdminAddress)
	}
	return all
}

func (c *Cluster) platformFlags() []string {
	return []string{
		"--table-url", c.urls["table"], "--object-url", c.urls["objects"],
	}
}

// Oleander runs the operators' command line tool and returns its standard output.
func (c *Cluster) Oleander(ctx context.Context, args ...string) (string, error) {
	cmd := exec.CommandContext(ctx, filepath.Join(c.Dir, "oleander"), args...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	return out.String(), errors.Wrapf(err, "oleander %s: %s", strings.Join(args, " "), errs.String())
}

func (c *Cluster) startBackends(ctx context.Context, zone string) error {
	p, out, err := c.spawn("backends-"+zone, "oleander", "standin", "backends", c.configPath(),
		"--zone", zone, "--list", c.urls["list"], "--group", "workers", "--desk", "desk", "--engines", "3", "--services", "1")
	if err != nil {
		return err
	}
	c.backends = append(c.backends, p)
	return waitUntil(ctx, p.name, func() bool { return strings.Contains(readFile(out), "\nready\n") })
}

// BackendAddresses returns the addresses of the backend servers by name, as
// their processes printed them. The line "ready" has no address and is left out.
func (c *Cluster) BackendAddresses() map[string]string {
	all := make(map[string]string)
	for _, z := range Zones {
		for _, line := range strings.Split(readFile(filepath.Join(c.Dir, "backends-"+z+".out")), "\n") {
			if name, address, ok := strings.Cut(line, " "); ok {
				all[name] = address
			}
		}
	}
	return all
}

func (c *Cluster) addInstance(ctx context.Context, zone string, n int) error {
	host := fmt.Sprintf("%s.%d", c.network, firstHostNumber+len(c.Instances))
	inst := &Instance{
		Name: fmt.Sprintf("%s-%d", zone, n+1), Zone: zone,
		CallerAddress: host + ":8080", AdminAddress: host + ":8081", PeerAddress: host + ":8082",
	}
	if err := c.registerInstance(ctx, inst); err != nil {
		return err
	}
	c.Instances = append(c.Instances, inst)
	return c.StartInstance(inst)
}

// registerInstance adds an instance to the platform's instance list.
func (c *Cluster) registerInstance(ctx context.Context, inst *Instance) error {
	body := fmt.Sprintf(`{"address":%q,"zone":%q}`, inst.PeerAddress, inst.Zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.urls["list"]+"/"+inst.Name, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// StartInstance starts the process of an instance, also again after it has exited.
func (c *Cluster) StartInstance(inst *Instance) error {
	p, _, err := c.spawn(inst.Name, "oleanderd",
		"--name", inst.Name, "--zone", inst.Zone, "--listen", inst.CallerAddress, "--admin", inst.AdminAddress, "--peer", inst.PeerAddress,
		"--table-url", c.urls["table"], "--object-url", c.urls["objects"], "--list-url", c.urls["list"],
		"--tls-ca", filepath.Join(c.Dir, "ca.pem"), "--tls-cert", filepath.Join(c.Dir, "instance.pem"),
		"--tls-key", filepath.Join(c.Dir, "instance-key.pem"),
		"--list-every", "500ms", "--drain-delay", "1s", "--grace", "20s", "--lease-term", "6s")
	inst.process = p
	return err
}

// Terminate sends SIGTERM, which asks the instance to stop gracefully, and waits
// until its process has exited.
func (inst *Instance) Terminate() error {
	if err := inst.process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-inst.process.done
	return inst.process.err
}

// Kill sends SIGKILL and waits until the process has exited.
func (inst *Instance) Kill() error {
	err := inst.process.cmd.Process.Kill()
	<-inst.process.done
	return err
}

// Pause suspends the process with SIGSTOP until Resume.
func (inst *Instance) Pause() error { return inst.process.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (inst *Instance) Resume() error { return inst.process.cmd.Process.Signal(syscall.SIGCONT) }

// Exited reports whether the process has exited.
func (inst *Instance) Exited() bool {
	select {
	case <-inst.process.done:
		return true
	default:
		return false
	}
}

// readyTimeout is how long Ready waits for a response.
const readyTimeout = time.Second

// Ready reports whether the instance's readiness endpoint returns 200.
func (inst *Instance) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.AdminAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until the instance is ready. If the process exits, it returns
// an error with the end of the log without waiting for the timeout.
func (inst *Instance) AwaitReady(ctx context.Context) error {
	err := waitUntil(ctx, inst.Name, func() bool { return inst.Exited() || inst.Ready(ctx) })
	if err == nil && inst.Exited() {
		return errors.Errorf("%s exited unexpectedly: %v\n%s", inst.Name, inst.process.err, lastLines(inst.process.logPath, maxLogLines))
	}
	return err
}

// Metrics returns the instance's metrics in their text format.
func (inst *Instance) Metrics(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+inst.AdminAddress+"/metrics", nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// spawn starts a binary in Dir with its output in files, and returns the path of
// the file with its standard output.
func (c *Cluster) spawn(name, binary string, args ...string) (*process, string, error) {
	path := filepath.Join(c.Dir, name+".out")
	out, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, "", err
	}
	defer out.Close()
	logPath := filepath.Join(c.Dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, "", err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(c.Dir, binary), args...)
	cmd.Stdout, cmd.Stderr = out, log
	if err := cmd.Start(); err != nil {
		return nil, "", errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, logPath: logPath, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, path, nil
}

// Close kills all processes that the cluster started and releases its network.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if c.networkReservation != nil {
		_ = c.networkReservation.Close()
	}
}

// Logs returns the last lines of each instance's log, to report a failed test.
func (c *Cluster) Logs(lines int) string {
	var b strings.Builder
	for _, inst := range c.Instances {
		fmt.Fprintf(&b, "== %s\n%s\n", inst.Name, lastLines(filepath.Join(c.Dir, inst.Name+".log"), lines))
	}
	return b.String()
}

func lastLines(path string, lines int) string {
	all := strings.Split(strings.TrimSpace(readFile(path)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}

func readFile(path string) string {
	b, _ := os.ReadFile(path)
	return string(b)
}

// waitUntil polls until done returns true, for at most startTimeout. subject is
// named in the error.
func waitUntil(ctx context.Context, subject string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%s was not ready in time", subject)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// reserveNetwork picks a loopback network that no other cluster uses and listens
// on one of its addresses to reserve it.
func (c *Cluster) reserveNetwork() error {
	for range maxNetworkAttempts {
		network := fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), 1+rand.IntN(250))
		l, err := net.Listen("tcp", network+".1:8079")
		if err == nil {
			c.network, c.networkReservation = network, l
			return nil
		}
	}
	return errors.New("found no unused loopback network")
}
