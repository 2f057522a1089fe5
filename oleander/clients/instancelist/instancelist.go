// Package instancelist is the client for the platform's list of instances and
// backend servers, live or leaving. The list has the format of Prometheus HTTP
// service discovery: a JSON array of target groups. Each group has one target,
// the host and port of one instance or server, and the labels defined here. The
// list is updated with a delay.
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

// Labels of a target group.
const (
	LabelName    = "__meta_oleanderdale_name"    // unique in the list; required
	LabelZone    = "__meta_oleanderdale_zone"    // availability zone; required
	LabelGroup   = "__meta_oleanderdale_group"   // group of a backend server; absent for an instance
	LabelLeaving = "__meta_oleanderdale_leaving" // "true" or "false"; absent means "false"
)

// Errors of New and Read.
var (
	// ErrUnavailable means that the list could not be fetched, or not within the
	// timeout.
	ErrUnavailable = errors.New("instance list: unavailable")
	// ErrMalformed means that the response is not a valid list. A list with one
	// invalid entry is rejected as a whole.
	ErrMalformed = errors.New("instance list: invalid response")
	// ErrTooLarge means that the list exceeds MaxListSize.
	ErrTooLarge = errors.New("instance list: too large")
	// ErrInvalidSettings means that the URL is missing.
	ErrInvalidSettings = errors.New("instance list: URL is missing")
)

// Limits of a call.
const (
	// DefaultTimeout is the timeout of a call if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxListSize is the maximum size of the list, in bytes.
	MaxListSize = 8 << 20
)

// Settings configures a Client.
type Settings struct {
	URL string
	// Timeout is the timeout of each call; 0 means DefaultTimeout.
	Timeout time.Duration
}

// TargetGroup is the JSON form of one entry of the list.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Client fetches the instance list. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
}

// New returns a client. The error is ErrInvalidSettings.
func New(s Settings) (*Client, error) {
	if s.URL == "" {
		return nil, ErrInvalidSettings
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return &Client{settings: s, http: wire.NewClient(wire.Options{MaxBodySize: MaxListSize})}, nil
}

// Read fetches the list and returns it sorted by name. The error wraps
// ErrUnavailable, ErrMalformed or ErrTooLarge; the list is then nil.
func (c *Client) Read(ctx context.Context) ([]event.Member, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	body, err := wire.GetJSON(ctx, c.http, c.settings.URL)
	if err != nil {
		return nil, convertError(err)
	}
	return decodeList(body)
}

// decodeList decodes and validates the JSON of a whole list.
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

// parseMembers converts the target groups to members, sorted by name, and rejects
// duplicate names.
func parseMembers(groups []TargetGroup) ([]event.Member, error) {
	seen := make(map[string]struct{}, len(groups))
	out := make([]event.Member, 0, len(groups))
	for _, g := range groups {
		m, err := parseMember(g)
		if err != nil {
			return nil, err
		}
		if _, ok := seen[m.Name]; ok {
			return nil, errors.Wrapf(ErrMalformed, "duplicate name %q", m.Name)
		}
		seen[m.Name] = struct{}{}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

// parseMember validates one target group and converts it to a member.
func parseMember(g TargetGroup) (event.Member, error) {
	m := event.Member{
		Name:  g.Labels[LabelName],
		Zone:  id.Zone(g.Labels[LabelZone]),
		Group: id.Group(g.Labels[LabelGroup]),
	}
	if m.Name == "" || m.Zone == "" {
		return m, errors.Wrap(ErrMalformed, "entry has no name or no availability zone")
	}
	if len(g.Targets) != 1 {
		return m, errors.Wrapf(ErrMalformed, "entry %q has %d targets, want 1", m.Name, len(g.Targets))
	}
	m.Address = g.Targets[0]
	if !validAddress(m.Address) {
		return m, errors.Wrapf(ErrMalformed, "entry %q: invalid address", m.Name)
	}
	switch g.Labels[LabelLeaving] {
	case "", "false":
	case "true":
		m.Leaving = true
	default:
		return m, errors.Wrapf(ErrMalformed, "entry %q: invalid label for leaving", m.Name)
	}
	return m, nil
}

// validAddress reports whether a has the form host:port, with a port above 0.
func validAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// convertError converts an error of the transport to one of this package.
func convertError(err error) error {
	if errors.Is(err, wire.ErrTooLarge) {
		return ErrTooLarge
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
