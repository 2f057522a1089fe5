package upstream

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// maxOutcome bounds the answer to a status call, in bytes.
const maxStatusBody = 1 << 20

// stateDone is what a service says of a call that it has run.
const stateDone = "done"

// ErrOutcome says that a service did not tell the outcome of a call.
var ErrOutcomeUnknown = errors.New("the service knows no outcome of the call")

// outcomeBody is the answer of a status call: {"state":"done","answer":...}.
type statusBody struct {
	State  string          `json:"state"`
	Answer json.RawMessage `json:"answer"`
}

// Outcome asks a plain service what came of a call. Only "done" is an outcome:
// a service that has not seen the call may still get it.
func (c *Client) QueryStatus(ctx context.Context, address, path, account string) (status int, contentType string, body []byte, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, "", nil, errors.Wrap(err, "upstream: build the status call")
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
