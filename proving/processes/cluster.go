// Package processes runs a deployment as it runs in production: each entry
// instance and each stand-in is a process of its own, talking over TCP on the
// loopback interface.
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

// Zones are the availability zones of the deployment in testdata.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

const (
	startLimit = 60 * time.Second
	pollEvery  = 50 * time.Millisecond
	// firstEntry is the last byte of the first entry instance's address.
	firstEntry = 11
	// logLines are shown of a process that ended.
	logLines = 20
	// networkTries bounds the search for a network that nobody uses.
	networkTries = 1000
)

// Cluster is a running deployment.
type Cluster struct {
	Dir       string // binaries, certificates, configuration and logs
	Instances []*Instance
	APIKey    string
	platform  *process
	backends  []*process
	urls      map[string]string // of the platform, by service
	// network is the first three bytes of this cluster's loopback addresses, and
	// claim what keeps another cluster from them. Ports of 127.0.0.1 that were
	// free a moment ago are taken by outgoing connections of whatever runs beside;
	// an instance then could not start, and its callers were refused.
	network string
	claim   net.Listener

	mu      sync.Mutex
	started []*process
}

// Entry is one entry instance. A replaced one keeps its name and addresses.
type Instance struct {
	Name, Zone                               string
	CallerAddress, AdminAddress, PeerAddress string
	proc                                     *process
}

// process is one started process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string // path
	done chan struct{}
	err  error
}

// Build builds the binaries into dir.
func Build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-o", dir+string(filepath.Separator),
		"oleanderdale.org/oleander/cmd/oleander", "oleanderdale.org/oleander/cmd/oleanderd")
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// Start starts the platform, the backend servers and perZone entry instances
// in each zone, with the configuration file applied, and waits until all take
// calls. dir holds the binaries.
func Start(ctx context.Context, dir, config string, perZone int) (*Cluster, error) {
	c := &Cluster{Dir: dir, urls: make(map[string]string)}
	err := c.claimNetwork()
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
	if err := c.prepare(ctx, config); err != nil {
		return err
	}
	for _, z := range Zones {
		if err := c.startBackends(ctx, z); err != nil {
			return err
		}
	}
	for _, z := range Zones {
		for n := range perZone {
			if err := c.addEntry(ctx, z, n); err != nil {
				return err
			}
		}
	}
	for _, e := range c.Instances {
		if err := e.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

var urlLine = regexp.MustCompile(`(?m)^(table|objects|list) (\S+)$`)

func (c *Cluster) startPlatform(ctx context.Context) error {
	p, out, err := c.spawn("platform", "oleander", "standin", "platform",
		"--table", "127.0.0.1:0", "--objects", "127.0.0.1:0", "--list", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.platform = p
	return poll(ctx, "the platform", func() bool {
		for _, m := range urlLine.FindAllStringSubmatch(readFile(out), -1) {
			c.urls[m[1]] = m[2]
		}
		return len(c.urls) == 3
	})
}

// prepare makes the certificates and a key, and applies the configuration.
func (c *Cluster) prepare(ctx context.Context, config string) error {
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
		return errors.New("key new printed no key")
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

// Apply applies the configuration files in Dir with `oleander apply`.
func (c *Cluster) Apply(ctx context.Context, more ...string) (string, error) {
	args := append([]string{"apply", c.configPath(), filepath.Join(c.Dir, "key.yaml")}, c.platformFlags()...)
	if len(c.Instances) == 0 {
		args = append(args, "--wait", "0")
	} else {
		args = append(args, "--instances", strings.Join(c.AdminAddresses(), ","))
	}
	return c.Oleander(ctx, append(args, more...)...)
}

// Admins lists the admin addresses of the entry instances.
func (c *Cluster) AdminAddresses() []string {
	var all []string
	for _, e := range c.Instances {
		all = append(all, e.AdminAddress)
	}
	return all
}

func (c *Cluster) platformFlags() []string {
	return []string{
		"--table-url", c.urls["table"], "--object-url", c.urls["objects"],
	}
}

// Oleander runs the operators' command line and returns what it printed.
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
	return poll(ctx, p.name, func() bool { return strings.Contains(readFile(out), "\nready\n") })
}

// BackendAddresses returns the addresses of the backend servers by name.
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

func (c *Cluster) addEntry(ctx context.Context, zone string, n int) error {
	host := fmt.Sprintf("%s.%d", c.network, firstEntry+len(c.Instances))
	e := &Instance{
		Name: fmt.Sprintf("%s-%d", zone, n+1), Zone: zone,
		CallerAddress: host + ":8080", AdminAddress: host + ":8081", PeerAddress: host + ":8082",
	}
	if err := c.list(ctx, e); err != nil {
		return err
	}
	c.Instances = append(c.Instances, e)
	return c.StartInstance(e)
}

// list puts an entry instance on the platform's list.
func (c *Cluster) list(ctx context.Context, e *Instance) error {
	body := fmt.Sprintf(`{"address":%q,"zone":%q}`, e.PeerAddress, e.Zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.urls["list"]+"/"+e.Name, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// StartEntry starts the process of an entry instance, again if it has ended.
func (c *Cluster) StartInstance(e *Instance) error {
	p, _, err := c.spawn(e.Name, "oleanderd",
		"--name", e.Name, "--zone", e.Zone, "--listen", e.CallerAddress, "--admin", e.AdminAddress, "--peer", e.PeerAddress,
		"--table-url", c.urls["table"], "--object-url", c.urls["objects"], "--list-url", c.urls["list"],
		"--tls-ca", filepath.Join(c.Dir, "ca.pem"), "--tls-cert", filepath.Join(c.Dir, "instance.pem"),
		"--tls-key", filepath.Join(c.Dir, "instance-key.pem"),
		"--list-every", "500ms", "--drain-delay", "1s", "--grace", "20s", "--lease-term", "6s")
	e.proc = p
	return err
}

// Terminate asks the instance to stop gracefully and waits until it has.
func (e *Instance) Terminate() error {
	if err := e.proc.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-e.proc.done
	return e.proc.err
}

// Kill ends the instance at once.
func (e *Instance) Kill() error {
	err := e.proc.cmd.Process.Kill()
	<-e.proc.done
	return err
}

// Pause freezes the process, Resume lets it go on.
func (e *Instance) Pause() error { return e.proc.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (e *Instance) Resume() error { return e.proc.cmd.Process.Signal(syscall.SIGCONT) }

// Ended reports whether the process has ended by itself.
func (e *Instance) Exited() bool {
	select {
	case <-e.proc.done:
		return true
	default:
		return false
	}
}

// readyTimeout is when an instance that says nothing counts as not ready.
const readyTimeout = time.Second

// Ready reports whether the instance says that it takes calls.
func (e *Instance) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress+"/readyz", nil)
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

// AwaitReady waits until the instance takes calls. It fails at once, with the end
// of its log, if the process has ended.
func (e *Instance) AwaitReady(ctx context.Context) error {
	err := poll(ctx, e.Name, func() bool { return e.Exited() || e.Ready(ctx) })
	if err == nil && e.Exited() {
		return errors.Errorf("%s ended by itself: %v\n%s", e.Name, e.proc.err, lastLines(e.proc.log, logLines))
	}
	return err
}

// Metrics returns the instance's metrics page.
func (e *Instance) Metrics(ctx context.Context) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.AdminAddress+"/metrics", nil)
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

// spawn starts a binary of Dir with its output in files; it returns the path
// of the standard output.
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
	p := &process{name: name, cmd: cmd, log: logPath, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.started = append(c.started, p)
	c.mu.Unlock()
	return p, path, nil
}

// Close ends all processes that this cluster started.
func (c *Cluster) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.started {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	if c.claim != nil {
		_ = c.claim.Close()
	}
}

// Logs returns the last lines of each entry instance's log, for a failed test.
func (c *Cluster) Logs(lines int) string {
	var b strings.Builder
	for _, e := range c.Instances {
		fmt.Fprintf(&b, "== %s\n%s\n", e.Name, lastLines(filepath.Join(c.Dir, e.Name+".log"), lines))
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

func poll(ctx context.Context, what string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for !done() {
		select {
		case <-ctx.Done():
			return errors.Errorf("%s did not get ready", what)
		case <-time.After(pollEvery):
		}
	}
	return nil
}

// claimNetwork takes a loopback network that no other cluster uses.
func (c *Cluster) claimNetwork() error {
	for range networkTries {
		network := fmt.Sprintf("127.%d.%d", 130+rand.IntN(100), 1+rand.IntN(250))
		l, err := net.Listen("tcp", network+".1:8079")
		if err == nil {
			c.network, c.claim = network, l
			return nil
		}
	}
	return errors.New("no loopback network is free")
}
