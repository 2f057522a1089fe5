// Package engine is the client for the control interface of a backend server. It
// fetches the server's report and sends it orders. The interface is described in
// docs/api/engine.openapi.yaml.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
	"oleanderdale.org/oleander/clients/internal/wire"
)

// Errors of FetchReport.
var (
	// ErrUnavailable means that the backend server could not be reached, did
	// not respond in time or responded with an error.
	ErrUnavailable = errors.New("engine: unavailable")
	// ErrMalformed means that the response is not a valid report.
	ErrMalformed = errors.New("engine: invalid report")
	// ErrTooLarge means that the report exceeds MaxReportSize.
	ErrTooLarge = errors.New("engine: report is too large")
)

// Limits of a call.
const (
	// DefaultTimeout is the timeout of a call if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxReportSize is the maximum size of a report, in bytes.
	MaxReportSize = 4 << 20
)

// URL paths of the control interface.
const (
	ReportPath = "/control/report"
	OrdersPath = "/control/orders"
)

// Settings configures a Client.
type Settings struct {
	// Timeout is the timeout of each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// OnOrderFailure, if set, is called with the result and the cause of each
	// order whose result is not event.OrderAccepted. It must be safe for
	// concurrent use.
	OnOrderFailure func(OrderRequest, event.OrderResult, error)
}

// OrderRequest is the JSON body of an order.
type OrderRequest struct {
	Order    id.Order        `json:"order"`
	Kind     event.OrderKind `json:"kind"`
	Artifact id.Artifact     `json:"artifact,omitempty"` // empty for event.OrderFence
	Bytes    int64           `json:"bytes,omitempty"`
	// LoadTime is the expected time to load the artifact from the weight store
	// while no other load uses it. It is encoded in nanoseconds.
	LoadTime time.Duration `json:"load_time,omitempty"`
	Fencing  id.Fencing    `json:"fencing"`
}

// Client accesses the control interface of backend servers. It is safe for
// concurrent use.
type Client struct {
	settings Settings
	http     *http.Client
}

// New returns a client. Each call opens a new connection: a late second copy of an earlier response would
// be taken for the next one on a connection, and an order sent on an idle connection that the server has
// just closed would end as event.OrderUnknown.
func New(s Settings) *Client {
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return &Client{
		settings: s,
		http:     wire.NewClient(wire.Options{MaxBodySize: MaxReportSize, DisableKeepAlives: true}),
	}
}

// FetchReport fetches the report of the backend server at addr (host:port). The
// error wraps ErrUnavailable, ErrMalformed or ErrTooLarge.
func (c *Client) FetchReport(ctx context.Context, addr string) (message.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	body, err := wire.GetJSON(ctx, c.http, "http://"+addr+ReportPath)
	if err != nil {
		return message.Report{}, convertError(err)
	}
	return decodeReport(body)
}

// decodeReport decodes and validates a report. It ignores unknown fields, so that
// newer engines can add fields.
func decodeReport(body []byte) (message.Report, error) {
	var r message.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return message.Report{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.BootID == "" || r.Bytes < 0 || r.Running < 0 {
		return message.Report{}, errors.Wrap(ErrMalformed, "boot is missing, or bytes or running is negative")
	}
	for _, h := range r.Held {
		if !validHeldArtifact(h) {
			return message.Report{}, errors.Wrapf(ErrMalformed, "invalid held artifact %q", h.Artifact)
		}
	}
	return r, nil
}

// validHeldArtifact reports whether h has a name, a known state and no negative
// number.
func validHeldArtifact(h message.HeldArtifact) bool {
	if h.Artifact == "" || h.Bytes < 0 || h.Running < 0 || h.Idle < 0 {
		return false
	}
	switch h.State {
	case message.Loading, message.Loaded, message.Unloading:
		return true
	}
	return false
}

// SendOrder sends an order to the backend server at addr (host:port), without
// retries. If it is uncertain whether the server accepted the order, the result is
// event.OrderUnknown, and the server may still execute the order later.
func (c *Client) SendOrder(ctx context.Context, addr string, o OrderRequest) event.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	result, err := c.postOrder(ctx, addr, o)
	if c.settings.OnOrderFailure != nil && result != event.OrderAccepted {
		c.settings.OnOrderFailure(o, result, err)
	}
	return result
}

// postOrder sends an order. The error gives the reason if the result is not
// event.OrderAccepted.
func (c *Client) postOrder(ctx context.Context, addr string, o OrderRequest) (event.OrderResult, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return event.OrderUnknown, errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return event.OrderUnknown, errors.Wrap(err, "create order request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return event.OrderUnknown, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusAccepted {
		return event.OrderAccepted, nil
	}
	return resultFromStatus(resp.StatusCode), errors.Errorf("engine: order not accepted: status %d", resp.StatusCode)
}

// resultFromStatus maps the HTTP status of an order that was not accepted to its
// result.

func resultFromStatus(status int) event.OrderResult {
	switch status {
	case http.StatusConflict:
		return event.OrderStaleFencing
	case http.StatusUnprocessableEntity:
		return event.OrderRefused
	}
	return event.OrderUnknown
}

// convertError converts an error of the transport to one of this package.
func convertError(err error) error {
	if errors.Is(err, wire.ErrTooLarge) {
		return ErrTooLarge
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
