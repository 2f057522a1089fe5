package wire

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// GetJSON fetches a JSON document. The error wraps ErrTooLarge if it is longer
// than the client allows; any other error says that it could not be had.
func GetJSON(ctx context.Context, c *http.Client, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build the request")
	}
	req.Header.Set("Accept", "application/json")
	resp, err := c.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "send the request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(resp.Body)
	return body, errors.Wrap(err, "read the answer")
}
