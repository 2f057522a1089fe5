package wire

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// GetJSON fetches a JSON document and returns its bytes. The error wraps
// ErrTooLarge if the document exceeds Options.MaxBodySize of the client; any other
// error means that the document could not be fetched.
func GetJSON(ctx context.Context, c *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Accept", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("unexpected status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "read response")
}
