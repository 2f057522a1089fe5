package front

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dunglas/httpsfv"
	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/process/boottime"
	"oleanderdale.org/oleander/version/apikey"
)

// Headers of requests by callers and of the responses to them.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTimeout = "Request-Timeout" // seconds
	headerPriority       = "Priority"        // RFC 9218
	headerRequestID      = "Request-Id"
	headerReplayed       = "Idempotent-Replayed"
)

const (
	bearerPrefix = "Bearer "
	// bytesPerToken is used to estimate the tokens of a prompt. The tokenizers
	// of engines differ, and the call is charged before an engine is chosen.
	bytesPerToken = 4
	// prefixHashBytes is how much of a prompt is hashed to find a server that
	// may have the prefix cached.
	prefixHashBytes         = 1024
	maxIdempotencyKeyLength = 128
	maxOutputTokens         = 1 << 20
	minKeyLength            = 16 // shorter strings are not keys, and may occur in a body by chance
)

// callError is an error in a request, with a text for the caller.
type callError struct {
	reason     event.Reason
	detail     string
	retryAfter time.Duration // 0: none
}

// Error implements error.
func (b *callError) Error() string { return "front: " + b.detail }

// badRequest returns an error with the reason bad-request.
func badRequest(detail string) error { return &callError{reason: reasonBadRequest, detail: detail} }

// problemFromError returns the problem for an error from reading a call.
func problemFromError(err error) problem {
	var b *callError
	if !errors.As(err, &b) {
		b = &callError{reason: reasonBadRequest, detail: "the call can't be read"}
	}
	return problem{Reason: b.reason, Status: reasonInfos[b.reason].status, Execution: event.NotRun, Detail: b.detail, RetryAfter: b.retryAfter}
}

// parseAPIKey returns the API key in the Authorization header and its digest.
// Only the digest is passed on to the core.
func parseAPIKey(r *http.Request) (key string, digest id.Digest, err error) {
	authorization := r.Header.Get("Authorization")
	if len(authorization) <= len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return "", "", &callError{reason: event.ReasonUnknownKey, detail: "send your key as Authorization: Bearer KEY"}
	}
	key = strings.TrimSpace(authorization[len(bearerPrefix):])
	return key, apikey.Digest(key), nil
}

// readCall reads the body of a request and the headers common to all calls, and opens the call. If it returns nil, the
// request was refused.
func (f *Front) readCall(w http.ResponseWriter, r *http.Request, parse func(body []byte, c *event.Call) error) (*exchange, []byte) {
	body, h, err := f.readBody(w, r)
	if err != nil {
		f.refuseUnread(w, r, err)
		return nil, nil
	}
	call, err := f.parseCall(r, body)
	if err == nil {
		err = parse(body, &call)
	}
	if err != nil {
		h.Close()
		writeProblem(w, problemFromError(err))
		return nil, nil
	}
	x := f.open(call)
	x.body = h
	return x, body
}

// parseCall returns a call with the fields that are common to completions and
// plain services.
func (f *Front) parseCall(r *http.Request, body []byte) (event.Call, error) {
	key, digest, err := parseAPIKey(r)
	if err != nil {
		return event.Call{}, err
	}
	// A copy of the key in the body or the URL would be sent on to the backend
	// server.
	if len(key) >= minKeyLength && (bytes.Contains(body, []byte(key)) || strings.Contains(r.URL.RawQuery, key) || strings.Contains(r.URL.Path, key)) {
		return event.Call{}, badRequest("the call holds a copy of the key outside the Authorization header")
	}
	timeout, err := f.parseTimeout(r)
	if err != nil {
		return event.Call{}, err
	}
	class, err := parseClass(r)
	if err != nil {
		return event.Call{}, err
	}
	return event.Call{
		Request: f.nextRequestID(), KeyDigest: digest, Class: class,
		Deadline: boottime.FromNow(timeout), BodyDigest: requestDigest(r, body),
	}, nil
}

// requestDigest returns a digest of method, URI and body. It identifies the request
// to the checks of idempotency keys and of requests that crash servers.
func requestDigest(r *http.Request, body []byte) id.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = h.Write(body)
	return id.Digest(hex.EncodeToString(h.Sum(nil)))
}

// parseTimeout reads the Request-Timeout header, in seconds.
func (f *Front) parseTimeout(r *http.Request) (time.Duration, error) {
	v := r.Header.Get(headerRequestTimeout)
	if v == "" {
		return f.settings.DefaultTimeout, nil
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || !(s > 0) || s > f.settings.MaxTimeout.Seconds() {
		return 0, badRequest(headerRequestTimeout + " takes seconds above 0 and up to " + strconv.Itoa(int(f.settings.MaxTimeout.Seconds())))
	}
	return time.Duration(s * float64(time.Second)), nil
}

// Ranges of the urgency parameter of RFC 9218, where 0 is the most urgent, that
// map to the classes.
const (
	maxUrgencyOfUrgent      = 1 // 0 to 1
	maxUrgencyOfInteractive = 4 // 2 to 4; 5 to 7 are class batch
	maxUrgency              = 7
)

// parseClass returns the class that the Priority header asks for, or "" if it does
// not set an urgency.
func parseClass(r *http.Request) (config.Class, error) {
	values := r.Header.Values(headerPriority)
	if len(values) == 0 {
		return "", nil
	}
	dict, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return "", badRequest("the Priority header is not of the form of RFC 9218, such as u=3")
	}
	member, ok := dict.Get("u")
	if !ok {
		return "", nil
	}
	item, _ := member.(httpsfv.Item)
	u, ok := item.Value.(int64)
	switch {
	case !ok || u < 0 || u > maxUrgency:
		return "", badRequest("the urgency in the Priority header goes from 0 to 7")
	case u <= maxUrgencyOfUrgent:
		return config.Urgent, nil
	case u <= maxUrgencyOfInteractive:
		return config.Interactive, nil
	}
	return config.Batch, nil
}

// completionFields holds the fields of a completion request that the front reads.
// The body is sent to the engine unchanged.
type completionFields struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"` // not a slice: many small messages would take 20 times their bytes
}

// parseCompletion sets the fields of call from the JSON body of a completion, and
// reports whether the caller asks for a stream.
func parseCompletion(chat bool, body []byte, call *event.Call) (stream bool, err error) {
	var c completionFields
	if err := json.Unmarshal(body, &c); err != nil {
		return false, badRequest("the body is not a JSON object of a completion: " + describeJSONError(err))
	}
	if c.Model == "" {
		return false, badRequest(`the field "model" is missing`)
	}
	if len(c.Messages) > 0 && c.Messages[0] != '[' && string(c.Messages) != "null" {
		return false, badRequest(`the field "messages" takes an array`)
	}
	messages := readMessages(c.Messages)
	if chat && messages.size == 0 {
		return false, badRequest(`the field "messages" is missing or empty`)
	}
	if !chat && len(c.Prompt) == 0 {
		return false, badRequest(`the field "prompt" is missing`)
	}
	if c.N != nil && *c.N != 1 {
		return false, badRequest(`the field "n" takes 1 only`)
	}
	maxTokens := c.MaxCompletionTokens
	if maxTokens == nil {
		maxTokens = c.MaxTokens
	}
	if maxTokens != nil {
		if *maxTokens < 1 || *maxTokens > maxOutputTokens {
			return false, badRequest(`the field "max_tokens" is out of range`)
		}
		call.MaxOutputTokens = *maxTokens
	}
	size, prefix := messages.size, messages.prefix
	if size == 0 {
		size, prefix = len(c.Prompt), c.Prompt[:min(prefixHashBytes, len(c.Prompt))]
	}
	call.Artifact = id.Artifact(c.Model)
	call.PromptTokens = size/bytesPerToken + 1
	call.PrefixHash = xxhash.Sum64(prefix)
	return c.Stream, nil
}

// describeJSONError says where JSON is invalid, without quoting its content.
func describeJSONError(err error) string {
	var syntaxError *json.SyntaxError
	var typeError *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxError):
		return "wrong at byte " + strconv.FormatInt(syntaxError.Offset, 10)
	case errors.As(err, &typeError):
		return "the field " + strconv.Quote(typeError.Field) + " has the wrong type"
	}
	return "it breaks off"
}

// parseIdempotencyKey returns the checked Idempotency-Key header, or "" if there
// is none.
func parseIdempotencyKey(r *http.Request) (string, error) {
	k := strings.Trim(r.Header.Get(headerIdempotencyKey), `"`)
	if len(k) > maxIdempotencyKeyLength {
		return "", badRequest("the Idempotency-Key is longer than 128 characters")
	}
	for _, c := range k {
		if c <= ' ' || c > '~' || c == '/' {
			return "", badRequest("the Idempotency-Key takes printable ASCII without spaces and slashes")
		}
	}
	return k, nil
}
