package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/process/certs"
	"oleanderdale.org/oleander/standin/deployment"
	"oleanderdale.org/oleander/standin/engine"
	"oleanderdale.org/oleander/standin/instancelist"
	"oleanderdale.org/oleander/version/configfile"
)

// standinCommands run stand-ins as separate processes, for tests.
type standinCommands struct {
	Platform platformStandin `cmd:"" help:"Run a stand-in of the platform: table service, object store, instance list."`
	Backends backendsStandin `cmd:"" help:"Run stand-ins of the backend servers of one availability zone."`
}

type platformStandin struct {
	Table   string `help:"Address of the table service, IP:port." default:"127.0.0.1:9000"`
	Objects string `help:"Address of the object store, IP:port." default:"127.0.0.1:9001"`
	List    string `help:"Address of the instance list, IP:port." default:"127.0.0.1:9002"`
}

// Run implements the command. It runs until ctx ends.
func (c *platformStandin) Run(ctx context.Context, s *streams) error {
	p, err := deployment.StartPlatform(deployment.PlatformAddresses{Table: c.Table, Objects: c.Objects, List: c.List})
	if err != nil {
		return err
	}
	defer p.Close()
	fmt.Fprintf(s.out, "table %s\nobjects %s\nlist %s\n", p.TableURL, p.ObjectURL, p.ListURL)
	<-ctx.Done()
	return nil
}

type backendsStandin struct {
	Files     []string      `arg:"" help:"Configuration files that name the groups." type:"path"`
	Zone      string        `help:"Availability zone." required:""`
	List      string        `help:"URL of the instance list stand-in, where the servers are registered." required:""`
	Group     string        `help:"Group of the model engines." required:""`
	Desk      string        `help:"Group of the plain services." required:""`
	Engines   int           `help:"Model engines to run." default:"3"`
	Services  int           `help:"Plain services to run." default:"1"`
	TokenTime time.Duration `help:"Time that a token takes." default:"5ms"`
}

// Run implements the command. It runs until ctx ends.
func (c *backendsStandin) Run(ctx context.Context, s *streams) error {
	configuration, err := configfile.Load(c.Files...)
	if err != nil {
		return err
	}
	b, err := deployment.StartBackends(c.settings(configuration))
	if err != nil {
		return err
	}
	defer b.Close()
	for _, m := range b.Members {
		if err := register(ctx, c.List, m); err != nil {
			return err
		}
		fmt.Fprintf(s.out, "%s %s\n", m.Name, m.Address)
	}
	fmt.Fprintln(s.out, "ready")
	<-ctx.Done()
	return nil
}

func (c *backendsStandin) settings(conf *config.Config) deployment.BackendSettings {
	return deployment.BackendSettings{
		Zone: id.Zone(c.Zone), Engines: c.Engines, Services: c.Services, TokenTime: c.TokenTime,
		Store: engine.NewWeightStore(engine.StoreSettings{
			LoadsPerSecond: conf.Fleet.LoadsPerSecond, LoadsAtOnce: conf.Fleet.LoadsAtOnce, AdaptersInTransit: conf.Fleet.AdaptersInTransit,
		}),
		EngineGroup: conf.Groups[id.Group(c.Group)], ServiceGroup: conf.Groups[id.Group(c.Desk)],
	}
}

// register adds a backend server to the stand-in instance list.
func register(ctx context.Context, listURL string, m event.Member) error {
	body, err := json.Marshal(instancelist.Instance{Address: m.Address, Zone: string(m.Zone), Group: string(m.Group)})
	if err != nil {
		return errors.Wrap(err, "register backend server")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, listURL+"/"+m.Name, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "register backend server")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "register backend server")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("register backend server %s: %s", m.Name, resp.Status)
	}
	return nil
}

// tlsCommands create certificates.
type tlsCommands struct {
	New tlsNewCommand `cmd:"" help:"Make an authority and a certificate for the instances of a deployment."`
}

type tlsNewCommand struct {
	Dir   string        `arg:"" help:"Folder for the three files; nothing there is overwritten." type:"existingdir"`
	Valid time.Duration `help:"How long the certificate is valid." default:"2160h"`
}

// Run implements the command.
func (c *tlsNewCommand) Run(s *streams) error {
	if c.Valid <= 0 {
		return errors.Wrapf(errUsage, "--valid=%s: allowed is any time above 0", c.Valid)
	}
	if err := certs.Write(c.Dir, c.Valid); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "wrote %s, %s and %s\n", certs.CAFile, certs.CertFile, certs.KeyFile)
	return nil
}
