// Package engine is the client for the control interface of a backend server:
// its report of itself and the orders it takes. docs/api/engine.openapi.yaml
// describes the interface.
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

// The errors of Report.
var (
	// ErrUnavailable says that the backend server could not be reached, did
	// not answer in time or answered with an error.
	ErrUnavailable = errors.New("engine: not available")
	// ErrDamaged says that the answer is not a report.
	ErrMalformed = errors.New("engine: report can't be decoded")
	// ErrTooLarge says that the report is longer than MaxReport.
	ErrTooLarge = errors.New("engine: report is too large")
)

// The limits of a call.
const (
	// DefaultTimeout ends a call if Settings.Timeout is 0.
	DefaultTimeout = 3 * time.Second
	// MaxReport is the longest report that is read, in bytes.
	MaxReportSize = 4 << 20
)

// The paths of the control interface.
const (
	ReportPath = "/control/report"
	OrdersPath = "/control/orders"
)

// Settings sets up a Client.
type Settings struct {
	// Timeout ends each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// ObserveOrder, if set, is told why an order's result is not
	// event.OrderAccepted. It must be safe for concurrent use.
	OnOrderFailure func(OrderRequest, event.OrderResult, error)
}

// OrderRequest is the JSON body of an order.
type OrderRequest struct {
	Order    id.Order        `json:"order"`
	Kind     event.OrderKind `json:"kind"`
	Artifact id.Artifact     `json:"artifact,omitempty"` // none in event.OrderFence
	Bytes    int64           `json:"bytes,omitempty"`
	// LoadTime is the time of a load from remote, alone on the weight store,
	// in nanoseconds on the wire.
	LoadTime time.Duration `json:"load_time,omitempty"`
	Fencing  id.Fencing    `json:"fencing"`
}

// Client is safe for concurrent use.
type Client struct {
	settings Settings
	reports  *http.Client
	orders   *http.Client
}

// New returns a client. Reports share connections; each order opens its own,
// so that a connection which the server closed meanwhile costs no order.
func New(s Settings) *Client {
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	return &Client{
		settings: s,
		reports:  wire.NewClient(wire.Options{MaxBodySize: MaxReportSize}),
		orders:   wire.NewClient(wire.Options{MaxBodySize: MaxReportSize, DisableKeepAlives: true}),
	}
}

// Report reads the report of the backend server at addr (host:port). The error
// is ErrUnavailable, ErrDamaged or ErrTooLarge, wrapped.
func (c *Client) FetchReport(ctx context.Context, addr string) (message.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	body, err := wire.GetJSON(ctx, c.reports, "http://"+addr+ReportPath)
	if err != nil {
		return message.Report{}, convertError(err)
	}
	return decodeReport(body)
}

// decodeReport allows unknown fields, so that an engine may be newer.
func decodeReport(body []byte) (message.Report, error) {
	var r message.Report
	if err := json.Unmarshal(body, &r); err != nil {
		return message.Report{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if r.Boot == "" || r.Bytes < 0 || r.Running < 0 {
		return message.Report{}, errors.Wrap(ErrMalformed, "boot is missing or a number is negative")
	}
	for _, h := range r.Held {
		if !validHeldArtifact(h) {
			return message.Report{}, errors.Wrapf(ErrMalformed, "held artifact %q", h.Artifact)
		}
	}
	return r, nil
}

func validHeldArtifact(h message.Held) bool {
	if h.Artifact == "" || h.Bytes < 0 || h.Running < 0 || h.Idle < 0 {
		return false
	}
	switch h.State {
	case message.Loading, message.Loaded, message.Unloading:
		return true
	}
	return false
}

// Order sends an order to the backend server at addr (host:port), once. Any
// doubt about whether the order was taken gives event.OrderUnknown: it may
// still be carried out later.
func (c *Client) SendOrder(ctx context.Context, addr string, o OrderRequest) event.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	result, err := c.postOrder(ctx, addr, o)
	if c.settings.OnOrderFailure != nil && result != event.OrderAccepted {
		c.settings.OnOrderFailure(o, result, err)
	}
	return result
}

func (c *Client) postOrder(ctx context.Context, addr string, o OrderRequest) (event.OrderResult, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return event.OrderUnknown, errors.Wrap(err, "encode order")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return event.OrderUnknown, errors.Wrap(err, "build order")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.orders.Do(req)
	if err != nil {
		return event.OrderUnknown, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusAccepted {
		return event.OrderAccepted, nil
	}
	return resultFromStatus(resp.StatusCode), errors.Errorf("engine: order answered with status %d", resp.StatusCode)
}

// orderResult reads the status of an order that was not accepted.

func resultFromStatus(status int) event.OrderResult {
	switch status {
	case http.StatusConflict:
		return event.OrderOldFencing
	case http.StatusUnprocessableEntity:
		return event.OrderRefused
	}
	return event.OrderUnknown
}

// convert turns an error of the transport into one of this package.
func convertError(err error) error {
	if errors.Is(err, wire.ErrTooLarge) {
		return ErrTooLarge
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
