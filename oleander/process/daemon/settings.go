package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/url"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/id"
)

// Settings are the settings of oleanderd. Each is a flag and an environment variable.
type Settings struct {
	Name  string `help:"Name under which the platform's instance list knows this instance." env:"OLEANDERD_NAME" required:""`
	Zone  string `help:"Availability zone of this instance." env:"OLEANDERD_ZONE" required:""`
	Debug bool   `help:"Log at debug level." env:"OLEANDERD_DEBUG"`

	Listen    string `help:"Address for callers, IP:port." env:"OLEANDERD_LISTEN" default:"127.0.0.1:8080"`
	Admin     string `help:"Address for health, status and metrics, IP:port." env:"OLEANDERD_ADMIN" default:"127.0.0.1:8081"`
	Peer      string `help:"Address for other instances, IP:port." env:"OLEANDERD_PEER" default:"127.0.0.1:8082"`
	Advertise string `help:"Address at which other instances reach this one; the peer address if empty." env:"OLEANDERD_ADVERTISE"`

	TableURL    string `help:"URL of the table service." env:"OLEANDERD_TABLE_URL" required:""`
	TableName   string `help:"Table to use." env:"OLEANDERD_TABLE_NAME" default:"oleanderdale"`
	TableRegion string `help:"Region name for the table service." env:"OLEANDERD_TABLE_REGION" default:"local"`
	TableKey    string `help:"Access key for the table service." env:"OLEANDERD_TABLE_KEY" default:"local"`
	TableSecret string `help:"Secret for the table service." env:"OLEANDERD_TABLE_SECRET" default:"local"`
	ObjectURL   string `help:"URL of the object store." env:"OLEANDERD_OBJECT_URL" required:""`
	Bucket      string `help:"Bucket to use." env:"OLEANDERD_BUCKET" default:"oleanderdale"`
	ObjectKey   string `help:"Access key for the object store." env:"OLEANDERD_OBJECT_KEY" default:"local"`
	ObjectPass  string `help:"Secret for the object store." env:"OLEANDERD_OBJECT_SECRET" default:"localsecret"`
	ListURL     string `help:"URL of the platform's instance list." env:"OLEANDERD_LIST_URL" required:""`

	TLSCA   string `name:"tls-ca" help:"File with the certificate authority of the instances (PEM)." env:"OLEANDERD_TLS_CA" type:"existingfile" required:""`
	TLSCert string `name:"tls-cert" help:"File with this instance's certificate (PEM)." env:"OLEANDERD_TLS_CERT" type:"existingfile" required:""`
	TLSKey  string `name:"tls-key" help:"File with this instance's private key (PEM)." env:"OLEANDERD_TLS_KEY" type:"existingfile" required:""`

	LeaseTerm  time.Duration `help:"Term of the session lease." env:"OLEANDERD_LEASE_TERM" default:"9s"`
	ListEvery  time.Duration `help:"How often the instance list is read." env:"OLEANDERD_LIST_EVERY" default:"1s"`
	TableLimit time.Duration `help:"Time limit of one table operation." env:"OLEANDERD_TABLE_LIMIT" default:"2s"`
	DrainDelay time.Duration `help:"How long new calls are still taken after SIGTERM, so that the balancer sees it." env:"OLEANDERD_DRAIN_DELAY" default:"2s"`
	Grace      time.Duration `help:"How long running calls may take to end after that." env:"OLEANDERD_GRACE" default:"60s"`

	MemoryMB       int64         `name:"memory-mb" help:"Memory of the machine, in MB; half of it is for callers." env:"OLEANDERD_MEMORY_MB" default:"512"`
	MaxBody        int64         `help:"Largest body of a call, in bytes." env:"OLEANDERD_MAX_BODY" default:"4194304"`
	MaxConnections int           `help:"Most open connections of callers." env:"OLEANDERD_MAX_CONNECTIONS" default:"4096"`
	Deadline       time.Duration `help:"Deadline of calls that name none." env:"OLEANDERD_DEADLINE" default:"60s"`
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Limits of the durations.
const (
	minLeaseTerm = 2 * time.Second
	maxLeaseTerm = 5 * time.Minute
	minInterval  = 50 * time.Millisecond
	// minMemoryMB is the least memory of a machine, in MB, which the program needs for itself.
	minMemoryMB = 48
)

// SettingError reports an invalid setting and what is allowed.
type SettingError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error implements error.
func (e *SettingError) Error() string {
	return "--" + e.Flag + "=" + e.Value + ": allowed is " + e.Allowed
}

// Validate checks all settings and defaults Advertise to Peer. kong calls it.
func (s *Settings) Validate() error {
	if s.Advertise == "" {
		s.Advertise = s.Peer
	}
	checks := []func() error{
		func() error { return checkName("name", s.Name) },
		func() error { return checkName("zone", s.Zone) },
		func() error { return checkAddress("listen", s.Listen) },
		func() error { return checkAddress("admin", s.Admin) },
		func() error { return checkAddress("peer", s.Peer) },
		func() error { return checkAddress("advertise", s.Advertise) },
		func() error { return checkURL("table-url", s.TableURL) },
		func() error { return checkURL("object-url", s.ObjectURL) },
		func() error { return checkURL("list-url", s.ListURL) },
		func() error { return checkDuration("lease-term", s.LeaseTerm, minLeaseTerm, maxLeaseTerm) },
		func() error { return checkDuration("list-every", s.ListEvery, minInterval, time.Minute) },
		func() error { return checkDuration("table-limit", s.TableLimit, minInterval, s.LeaseTerm/2) },
		func() error { return checkDuration("drain-delay", s.DrainDelay, 0, time.Minute) },
		func() error { return checkDuration("grace", s.Grace, 0, time.Hour) },
		func() error { return checkDuration("deadline", s.Deadline, time.Second, 24*time.Hour) },
		func() error { return checkInteger("memory-mb", s.MemoryMB, minMemoryMB, 1<<20) },
		func() error { return checkInteger("max-body", s.MaxBody, 1024, 64<<20) },
		func() error { return checkInteger("max-connections", int64(s.MaxConnections), 1, 1<<20) },
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func checkName(flag, v string) error {
	if namePattern.MatchString(v) {
		return nil
	}
	return &SettingError{flag, v, "lower-case letters, digits and hyphens, 63 at most"}
}

func checkAddress(flag, v string) error {
	host, _, err := net.SplitHostPort(v)
	if err == nil && net.ParseIP(host) != nil {
		return nil
	}
	return &SettingError{flag, v, "an IP address and a port, such as 10.0.0.1:8080"}
}

func checkURL(flag, v string) error {
	u, err := url.Parse(v)
	if err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" {
		return nil
	}
	return &SettingError{flag, v, "a URL that starts with http:// or https://"}
}

func checkDuration(flag string, v, lower, upper time.Duration) error {
	if v >= lower && v <= upper {
		return nil
	}
	return &SettingError{flag, v.String(), lower.String() + " to " + upper.String()}
}

func checkInteger(flag string, v, lower, upper int64) error {
	if v >= lower && v <= upper {
		return nil
	}
	return &SettingError{flag, itoa(v), itoa(lower) + " to " + itoa(upper)}
}

// newInstanceName returns the name of this run: the platform's name with a random
// suffix, so that a restarted process is never mistaken for the previous one.
func newInstanceName(name string) (id.Instance, error) {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		return "", errors.Wrap(err, "daemon: generate the instance name")
	}
	return id.Instance(name + "." + hex.EncodeToString(b[:])), nil
}
