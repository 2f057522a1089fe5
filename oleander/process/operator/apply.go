package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/version/publish"
)

type applyCommand struct {
	files
	platform
	Author    string            `help:"Who applies; another operator who loses a race is told." env:"OLEANDER_AUTHOR,USER" default:"operator"`
	Base      *id.ConfigVersion `help:"Version that was planned against; a newer one is a conflict."`
	Instances []string          `help:"Admin addresses (IP:port) of the entry instances, which confirm the version."`
	Wait      time.Duration     `help:"How long to wait for the confirmations; 0 does not wait." default:"30s"`
}

// Run implements the command.
func (c *applyCommand) Run(ctx context.Context, s *streams) error {
	if c.Wait > 0 && len(c.Instances) == 0 {
		return errors.Wrap(errUsage, "waiting needs --instances; or give --wait=0")
	}
	wanted, err := c.load()
	if err != nil {
		return err
	}
	p, err := c.publisher()
	if err != nil {
		return err
	}
	result, err := p.Apply(ctx, wanted, c.Author, newApplyID(), c.Base)
	if err != nil {
		return err
	}
	reportResult(s, result)
	if c.Wait <= 0 {
		return nil
	}
	return c.waitConfirmed(ctx, s, result.Version, wanted.Fleet.Zones)
}

func newApplyID() string {
	var b [16]byte
	rand.Read(b[:]) // never fails: see crypto/rand
	return hex.EncodeToString(b[:])
}

func reportResult(s *streams, r publish.Result) {
	if r.Change.Empty() {
		fmt.Fprintf(s.out, "nothing to change: version %d has all of it\n", r.Version)
		return
	}
	fmt.Fprintf(s.out, "applied as version %d\n", r.Version)
}

// waitConfirmed polls the instances until every zone confirms the version.
func (c *applyCommand) waitConfirmed(ctx context.Context, s *streams, v id.ConfigVersion, zones []id.Zone) error {
	ctx, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	poller := newStatusPoller(c.Instances)
	printed := ""
	for {
		poller.poll(ctx)
		result := poller.confirmations(v, zones)
		if line := result.progress(v); line != printed {
			fmt.Fprintln(s.progress, line)
			printed = line
		}
		if result.complete() {
			fmt.Fprintf(s.out, "version %d is in force in every availability zone\n", v)
			return nil
		}
		if waitFunc(pollInterval)(ctx) != nil {
			return errors.Wrap(errNotConfirmed, result.missing())
		}
	}
}

// confirmations tells which zones have confirmed a version.
type confirmations struct {
	confirmed            []id.Zone
	outdated             []id.Zone // at least one instance reported an older version
	unreachableZones     []id.Zone // no instance answered
	unreachableAddresses []string  // instances that did not answer
}

func (c confirmations) complete() bool {
	return len(c.outdated)+len(c.unreachableZones)+len(c.unreachableAddresses) == 0
}

func (c confirmations) progress(v id.ConfigVersion) string {
	line := fmt.Sprintf("version %d: confirmed by %s", v, joinNames(c.confirmed))
	if !c.complete() {
		line += "; " + c.missing()
	}
	return line
}

// missing describes the zones and instances that have not confirmed.
func (c confirmations) missing() string {
	var parts []string
	if len(c.outdated) > 0 {
		parts = append(parts, "still on an older version: "+joinNames(c.outdated))
	}
	if len(c.unreachableZones) > 0 {
		parts = append(parts, "not heard: "+joinNames(c.unreachableZones))
	}
	if len(c.unreachableAddresses) > 0 {
		parts = append(parts, "no answer from "+joinNames(c.unreachableAddresses))
	}
	return strings.Join(parts, "; ")
}

// joinNames joins names with commas.
func joinNames[T ~string](names []T) string {
	if len(names) == 0 {
		return "none"
	}
	texts := make([]string, len(names))
	for i, n := range names {
		texts[i] = string(n)
	}
	return strings.Join(texts, ", ")
}
