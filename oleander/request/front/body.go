package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/callermem"
)

// refuseWithoutMemory refuses requests for which there is no memory beside their bodies.
func (f *Front) refuseWithoutMemory(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := callermem.BeginRequest(r); err != nil {
			f.refuseUnread(w, r, f.bodyError(r, err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// readBody reads the body of a request, within MaxBodySize and BodyTimeout. The holding, which is nil without a body,
// must be closed.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *callermem.Holding, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil, nil
	}
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(f.settings.BodyTimeout))
	h := f.memory.OpenBody(r.Context(), f.memoryWait(r), nil)
	parts, err := h.ReadBody(r, f.settings.MaxBodySize)
	var body []byte
	if err == nil {
		body, err = h.Join(r.Context(), parts)
	}
	if err != nil {
		h.Close()
		return nil, nil, f.bodyError(r, err)
	}
	_ = c.SetReadDeadline(time.Time{})
	return body, h, nil
}

// memoryWait returns how long a request may wait for memory.
func (f *Front) memoryWait(r *http.Request) time.Duration {
	timeout, err := f.parseTimeout(r)
	if err != nil {
		timeout = f.settings.DefaultTimeout
	}
	return membudget.MaxWait(0, min(timeout, f.settings.BodyTimeout))
}

// bodyError returns the error for a request whose body could not be read.
func (f *Front) bodyError(r *http.Request, err error) error {
	var none *callermem.NoMemoryError
	switch {
	case errors.As(err, &none):
		return &callError{reason: reasonNoMemory, detail: "the instance has no memory for the call now", retryAfter: none.RetryAfter}
	case errors.Is(err, callermem.ErrTooLarge):
		return &callError{reason: reasonTooLarge, detail: "the body is larger than " + strconv.FormatInt(f.settings.MaxBodySize, 10) + " bytes"}
	case callermem.Of(r.Context()).Evicted():
		return &callError{reason: reasonMadeWay, detail: "the body came too slowly while others needed the memory", retryAfter: membudget.MinRetryAfter}
	case errors.Is(err, errReadTimeout):
		return &callError{reason: reasonBodyTimeout, detail: "the body did not come in time"}
	}
	return badRequest("the body could not be read")
}

// refuseUnread refuses a request whose body was not read to its end, and drops a little of the rest. The connection is
// closed: what follows must not be taken for a request.
func (f *Front) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	writeProblem(w, problemFromError(err))
	callermem.Drain(w, r)
}

// readResponse reads a response of at most MaxResponseSize bytes. It is held until the end of the call.
func (x *exchange) readResponse(ctx context.Context, resp *http.Response) ([]byte, error) {
	x.response.Close()
	x.response = x.front.memory.OpenResponse(ctx)
	body, err := x.response.ReadAll(ctx, resp.Body, resp.ContentLength, x.front.settings.MaxResponseSize)
	var none *callermem.NoMemoryError
	if errors.Is(err, callermem.ErrTooLarge) || errors.As(err, &none) {
		return nil, errResponseNotHeld
	}
	return body, errors.Wrap(err, "front: read the response")
}

// errResponseNotHeld says that a response is larger than allowed, or than there is memory for.
var errResponseNotHeld = errors.New("front: response not held")

// end gives back what the call holds.
func (x *exchange) end() {
	x.front.close(x)
	x.body.Close()
	x.response.Close()
}
