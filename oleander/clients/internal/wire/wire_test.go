package wire

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"oleanderdale.org/oleander/internal/testutil"
)

// closedBody can be read, but its WriteTo behaves as if the body were already
// closed.
type closedBody struct{ *bytes.Reader }

func (closedBody) WriteTo(io.Writer) (int64, error) { return 0, io.EOF }

func (closedBody) Close() error { return nil }

// A library may close the request body while the transport is still reading to its
// end. The caller must get the response instead of a connection error.
func TestBodyClosedEarly(t *testing.T) {
	url := testutil.Serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	const want = "the whole body"
	req, err := http.NewRequest(http.MethodPost, url, closedBody{bytes.NewReader([]byte(want))})
	if err != nil {
		t.Fatal(err)
	}
	req.ContentLength = int64(len(want))
	resp, err := NewTransport(Options{}).RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != want {
		t.Errorf("response %q, error %v", got, err)
	}
}
