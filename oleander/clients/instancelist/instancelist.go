// Package instancelist is the client of the platform's list of live and
// leaving instances, which has the form of Prometheus HTTP service discovery:
// a JSON array of target groups. Here each group holds one target, the host and
// port of one instance, with the labels below. The list lags behind the truth.
package instancelist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/clients/internal/wire"
)

// The labels of a target group.
const (
	LabelName    = "__meta_oleanderdale_name"    // unique in the list; needed
	LabelZone    = "__meta_oleanderdale_zone"    // availability zone; needed
	LabelGroup   = "__meta_oleanderdale_group"   // backend group; absent for an entry instance
	LabelLeaving = "__meta_oleanderdale_leaving" // "true" or "false"; absent means "false"
)

// The errors of Read.
var (
	// ErrUnavailable says that the list could not be had in time.
	ErrUnavailable = errors.New("instance list: not available")
	// ErrDamaged says that the answer is not such a list. No part of it is used.
	ErrMalformed = errors.New("instance list: can't be decoded")
	// ErrTooLarge says that the list is longer than MaxList.
	ErrTooLarge = errors.New("instance list: too large")
	// ErrSettings says that the URL is missing.
	ErrInvalidSettings = errors.New("instance list: bad settings")
)

// The limits of a call.
const (
	// DefaultTimeout ends a call if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxList is the longest list that is read, in bytes.
	MaxListSize = 8 << 20
)

// Settings says where the list is.
type Settings struct {
	URL string
	// Timeout ends each call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// TargetGroup is one entry of the list on the wire.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Client is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
}

// New returns a client; the error is ErrSettings.
func New(s Settings) (*Client, error) {
	if s.URL == "" {
		return nil, ErrInvalidSettings
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return &Client{settings: s, http: wire.NewClient(wire.Options{MaxBodySize: MaxListSize})}, nil
}

// Read returns the list, sorted by name. The error is ErrUnavailable,
// ErrDamaged or ErrTooLarge, wrapped; there is no list in part.
func (c *Client) Read(ctx context.Context) ([]event.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	body, err := wire.GetJSON(ctx, c.http, c.settings.URL)
	if err != nil {
		return nil, convertError(err)
	}
	return decodeList(body)
}

func decodeList(body []byte) ([]event.Member, error) {
	var groups []TargetGroup
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&groups); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, errors.Wrap(ErrMalformed, "data after the list")
	}
	if groups == nil {
		return nil, errors.Wrap(ErrMalformed, "not an array")
	}
	return parseMembers(groups)
}

func parseMembers(groups []TargetGroup) ([]event.Member, error) {
	seen := make(map[string]struct{}, len(groups))
	out := make([]event.Member, 0, len(groups))
	for _, g := range groups {
		m, err := parseMember(g)
		if err != nil {
			return nil, err
		}
		if _, ok := seen[m.Name]; ok {
			return nil, errors.Wrapf(ErrMalformed, "two entries named %q", m.Name)
		}
		seen[m.Name] = struct{}{}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

func parseMember(g TargetGroup) (event.Member, error) {
	m := event.Member{
		Name:  g.Labels[LabelName],
		Zone:  id.Zone(g.Labels[LabelZone]),
		Group: id.Group(g.Labels[LabelGroup]),
	}
	if m.Name == "" || m.Zone == "" {
		return m, errors.Wrap(ErrMalformed, "entry without name or availability zone")
	}
	if len(g.Targets) != 1 {
		return m, errors.Wrapf(ErrMalformed, "entry %q has %d targets", m.Name, len(g.Targets))
	}
	m.Address = g.Targets[0]
	if !validAddress(m.Address) {
		return m, errors.Wrapf(ErrMalformed, "entry %q: bad address", m.Name)
	}
	switch g.Labels[LabelLeaving] {
	case "", "false":
	case "true":
		m.Leaving = true
	default:
		return m, errors.Wrapf(ErrMalformed, "entry %q: bad leaving label", m.Name)
	}
	return m, nil
}

func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// convert turns an error of the transport into one of this package.
func convertError(err error) error {
	if errors.Is(err, wire.ErrTooLarge) {
		return ErrTooLarge
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
