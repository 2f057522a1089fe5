package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/id"
)

// Parameters of requests to instances.
const (
	pollInterval      = 250 * time.Millisecond
	requestTimeout    = 2 * time.Second
	maxStatusResponse = 64 << 10 // bytes
	// maxConfirmedAge is the age of the last confirmation above which the status
	// command shows an instance as cut off.
	maxConfirmedAge = 15 * time.Second
)

// Status holds the fields that are used of an instance's response to GET /status.
type Status struct {
	Instance id.Instance      `json:"instance"`
	Zone     id.Zone          `json:"zone"`
	Version  id.ConfigVersion `json:"version"`
	Ready    bool             `json:"ready"`
	// ConfirmedAgeMillis is the time since the version was last confirmed to be the
	// newest; -1 if it never was.
	ConfirmedAgeMillis int64 `json:"heard_age_ms"`
}

func (s *Status) cutOff() bool {
	return s.ConfirmedAgeMillis < 0 || time.Duration(s.ConfirmedAgeMillis)*time.Millisecond > maxConfirmedAge
}

var errNoAnswer = errors.New("instance did not answer")

// statusPoller queries instances for their status and keeps the last answers.
type statusPoller struct {
	client    *http.Client
	addresses []string
	answers   []*Status // by index of the address; nil if the last query failed
}

func newStatusPoller(addresses []string) *statusPoller {
	return &statusPoller{
		client:    &http.Client{Timeout: requestTimeout},
		addresses: addresses,
		answers:   make([]*Status, len(addresses)),
	}
}

// poll queries all instances concurrently and waits for their answers.
func (p *statusPoller) poll(ctx context.Context) {
	var wg sync.WaitGroup
	for i, address := range p.addresses {
		wg.Go(func() { p.answers[i], _ = p.fetchStatus(ctx, address) })
	}
	wg.Wait()
}

func (p *statusPoller) fetchStatus(ctx context.Context, address string) (*Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	defer resp.Body.Close()
	var s Status
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Wrap(errNoAnswer, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusResponse)).Decode(&s); err != nil {
		return nil, errors.Wrap(errNoAnswer, err.Error())
	}
	return &s, nil
}

// confirmations compares the last answers with version v. A zone has confirmed v only
// if all its queried instances have at least v, since one with an older version would
// still accept a withdrawn key.
func (p *statusPoller) confirmations(v id.ConfigVersion, zones []id.Zone) confirmations {
	reached, outdated := make(map[id.Zone]bool), make(map[id.Zone]bool)
	var c confirmations
	for i, s := range p.answers {
		if s == nil {
			c.unreachableAddresses = append(c.unreachableAddresses, p.addresses[i])
			continue
		}
		reached[s.Zone] = true
		outdated[s.Zone] = outdated[s.Zone] || s.Version < v
	}
	for _, z := range zones {
		switch {
		case !reached[z]:
			c.unreachableZones = append(c.unreachableZones, z)
		case outdated[z]:
			c.outdated = append(c.outdated, z)
		default:
			c.confirmed = append(c.confirmed, z)
		}
	}
	return c
}

type statusCommand struct {
	Instances []string `help:"Admin addresses (IP:port) of the entry instances." required:""`
}

// Run implements the command. It fails if an instance does not answer or is
// not ready.
func (c *statusCommand) Run(ctx context.Context, s *streams) error {
	a := newStatusPoller(c.Instances)
	a.poll(ctx)
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tZONE\tINSTANCE\tVERSION\tREADY\tNEWEST AS OF")
	allReady := true
	for i, st := range a.answers {
		allReady = allReady && st != nil && st.Ready
		fmt.Fprintln(w, a.addresses[i]+"\t"+formatStatus(st))
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print status")
	}
	if !allReady {
		return errNotAllReady
	}
	return nil
}

func formatStatus(s *Status) string {
	if s == nil {
		return "-\t-\t-\t-\tno answer"
	}
	confirmed := "never heard"
	if s.ConfirmedAgeMillis >= 0 {
		confirmed = (time.Duration(s.ConfirmedAgeMillis) * time.Millisecond).String() + " ago"
	}
	if s.cutOff() {
		confirmed += " (cut off)"
	}
	return fmt.Sprintf("%s\t%s\t%d\t%t\t%s", s.Zone, s.Instance, s.Version, s.Ready, confirmed)
}
