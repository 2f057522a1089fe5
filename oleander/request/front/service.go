package front

import (
	"bytes"
	"context"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/connection/upstream"
)

const servicePrefix = "/services/"

// handleService serves calls of plain services, which are not model engines.
func (f *Front) handleService(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["service"]
	x, body := f.readCall(w, r, func(_ []byte, call *event.Call) (err error) {
		call.Service = id.Service(name)
		call.IdempotencyKey, err = parseIdempotencyKey(r)
		return err
	})
	if x == nil {
		return
	}
	defer x.end()
	x.run(w, r, &serviceCall{exchange: x, w: w, r: r, body: body, path: servicePath(r, name)})
}

// servicePath returns the path and query after the name of the service, as sent
// to the backend server.
func servicePath(r *http.Request, name string) string {
	p := strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name)
	if p == "" {
		p = "/"
	}
	if r.URL.RawQuery != "" {
		p += "?" + r.URL.RawQuery
	}
	return p
}

// serviceCall runs the attempts of one call of a plain service.
type serviceCall struct {
	exchange *exchange
	w        http.ResponseWriter
	r        *http.Request
	body     []byte
	path     string
}

func (s *serviceCall) runAttempt(ctx context.Context, d event.Dispatch) event.AttemptEnded {
	ended := event.AttemptEnded{Request: d.Request, Attempt: d.Attempt}
	err := s.send(ctx, d, &ended)
	ended.ResponseStarted = s.exchange.responseStarted
	if err == nil {
		return ended
	}
	var u *upstream.Error
	if !errors.As(err, &u) {
		u = upstream.ClassifyError(ctx, d.Address, err)
	}
	ended.Result, ended.Leaving = u.Result, u.Leaving
	return ended
}

// send sends one attempt. The response of a non-idempotent call is only returned
// in ended: the core records it before it answers the caller.
func (s *serviceCall) send(ctx context.Context, d event.Dispatch, ended *event.AttemptEnded) error {
	r, err := http.NewRequestWithContext(ctx, s.r.Method, "http://"+d.Address+s.path, bytes.NewReader(s.body))
	if err != nil {
		return &upstream.Error{Result: event.AttemptNotSent}
	}
	if d.AtMostOnce {
		r.GetBody = nil // keeps net/http from sending the body a second time
	}
	s.setHeaders(r, d)
	resp, err := s.exchange.front.upstream.Do(r, d.AtMostOnce)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := s.exchange.readResponse(ctx, resp)
	if errors.Is(err, errResponseNotHeld) {
		return &upstream.Error{Result: event.AttemptBroken}
	}
	if err != nil {
		return err
	}
	ended.Status, ended.ContentType, ended.Body = resp.StatusCode, resp.Header.Get("Content-Type"), body
	ended.Unconfirmed = rawhttp.EndsWithConnection(resp)
	if !d.AtMostOnce {
		s.writeResponse(resp, body)
	}
	return nil
}

// writeResponse sends the service's response to the caller.
func (s *serviceCall) writeResponse(resp *http.Response, body []byte) {
	if t := resp.Header.Get("Content-Type"); t != "" {
		s.w.Header().Set("Content-Type", t)
	}
	var unframed *callerconn.Unframed
	if rawhttp.EndsWithConnection(resp) {
		// The service may have crashed midway: a length or chunks would say that it did not.
		unframed = callerconn.BeginUnframed(s.w, s.r)
	}
	s.w.WriteHeader(resp.StatusCode)
	s.exchange.recordResponseStart()
	if _, err := s.w.Write(body); err == nil {
		unframed.End()
	}
}

// forwardedHeaders lists the headers of callers that are forwarded to plain
// services. No other header is, since any could carry an API key.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", headerIdempotencyKey, "Traceparent", "If-Match", "If-None-Match"}

// setHeaders sets the headers of the request to the service. It leaves out values
// that contain the caller's API key.
func (s *serviceCall) setHeaders(r *http.Request, d event.Dispatch) {
	key, _, _ := parseAPIKey(s.r)
	for _, name := range forwardedHeaders {
		name = textproto.CanonicalMIMEHeaderKey(name)
		for _, v := range s.r.Header.Values(name) {
			if !strings.Contains(v, key) {
				r.Header.Add(name, v)
			}
		}
	}
	r.Header.Set(upstream.HeaderAccount, string(d.Account))
	r.Header.Set(upstream.HeaderAttempt, string(d.Attempt))
}
