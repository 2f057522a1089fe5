package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxStatusBody limits the response to a status query, in bytes.
const maxStatusBody = 1 << 20

// stateDone is the state of a call that the service has completed.
const stateDone = "done"

// ErrOutcomeUnknown means that a service did not return the outcome of a call.
var ErrOutcomeUnknown = errors.New("the service knows no outcome of the call")

// statusBody is the response to a status query: {"state":"done","answer":...}.
type statusBody struct {
	State  string          `json:"state"`
	Answer json.RawMessage `json:"answer"`
}

// QueryStatus asks a plain service for the outcome of a call, and returns it as a
// response with the service's answer as its body. Any state but "done" is an
// ErrOutcomeUnknown: a service that has not received the call may still receive it.
func (c *Client) QueryStatus(ctx context.Context, address, path, account string) (status int, contentType string, body []byte, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "upstream: build the status query")
	}
	r.Header.Set(HeaderAccount, account)
	resp, err := c.Do(r, false)
	if err != nil {
		return 0, "", nil, err
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return 0, "", nil, errors.Wrapf(ErrOutcomeUnknown, "status %d", resp.StatusCode)
	}
	var o statusBody
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBody)).Decode(&o); err != nil {
		return 0, "", nil, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	if o.State != stateDone || len(o.Answer) == 0 {
		return 0, "", nil, ErrOutcomeUnknown
	}
	return http.StatusOK, "application/json", o.Answer, nil
}
