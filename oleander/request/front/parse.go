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

// Header names of the callers' interface.
const (
	headerIdempotency = "Idempotency-Key"
	headerDeadline    = "Request-Timeout" // seconds
	headerPriority    = "Priority"        // RFC 9218
	headerRequest     = "Request-Id"
	headerReplay      = "Idempotent-Replayed"
)

const (
	bearer = "Bearer "
	// bytesPerToken estimates the tokens of a prompt; the engines' tokenizers
	// differ, and the charge has to be known before an engine is.
	bytesPerToken = 4
	// prefixBytes of a prompt choose the server that may have it cached.
	prefixBytes      = 1024
	maxIdempotency   = 128
	maxAnswerTokens  = 1 << 20
	keyMinimumLength = 16 // shorter strings are no keys, and would be found anywhere
)

// badCall says what is wrong with a call, in words for the caller.
type badCall struct {
	reason event.Reason
	detail string
}

// Error implements error.
func (b *badCall) Error() string { return "front: " + b.detail }

func bad(detail string) error { return &badCall{reasonBad, detail} }

// problemOf turns an error of reading a call into a problem.
func problemOf(err error) problem {
	var b *badCall
	if !errors.As(err, &b) {
		b = &badCall{reasonBad, "the call can't be read"}
	}
	return problem{Reason: b.reason, Status: reasons[b.reason].status, Ran: event.NotRun, Detail: b.detail}
}

// readBody reads the body within the limits of size and time.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(f.settings.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.settings.MaxBody))
	_ = c.SetReadDeadline(time.Time{})
	var tooBig *http.MaxBytesError
	switch {
	case errors.As(err, &tooBig):
		return nil, &badCall{reasonTooBig, "the body is larger than " + strconv.FormatInt(f.settings.MaxBody, 10) + " bytes"}
	case errors.Is(err, errTimeout):
		return nil, &badCall{reasonTimeout, "the body did not come in time"}
	case err != nil:
		return nil, bad("the body could not be read")
	}
	return body, nil
}

// keyOf takes the key out of the headers. Only its digest goes further.
func keyOf(r *http.Request) (key string, digest id.Digest, err error) {
	authorization := r.Header.Get("Authorization")
	if len(authorization) <= len(bearer) || !strings.EqualFold(authorization[:len(bearer)], bearer) {
		return "", "", &badCall{event.ReasonKey, "send your key as Authorization: Bearer KEY"}
	}
	key = strings.TrimSpace(authorization[len(bearer):])
	return key, apikey.Digest(key), nil
}

// read reads the body of a call and what all calls have in common.
func (f *Front) read(w http.ResponseWriter, r *http.Request) ([]byte, event.Call, error) {
	body, err := f.readBody(w, r)
	if err != nil {
		return nil, event.Call{}, err
	}
	call, err := f.base(r, body)
	return body, call, err
}

// base reads what all calls have in common.
func (f *Front) base(r *http.Request, body []byte) (event.Call, error) {
	key, digest, err := keyOf(r)
	if err != nil {
		return event.Call{}, err
	}
	// A copy of the key anywhere else would reach the backend server.
	if len(key) >= keyMinimumLength && (bytes.Contains(body, []byte(key)) || strings.Contains(r.URL.RawQuery, key) || strings.Contains(r.URL.Path, key)) {
		return event.Call{}, bad("the call holds a copy of the key outside the Authorization header")
	}
	deadline, err := f.deadline(r)
	if err != nil {
		return event.Call{}, err
	}
	class, err := classOf(r)
	if err != nil {
		return event.Call{}, err
	}
	return event.Call{
		Request: f.nextRequest(), KeyDigest: digest, Class: class,
		Deadline: boottime.FromNow(deadline), BodyDigest: callDigest(r, body),
	}, nil
}

func callDigest(r *http.Request, body []byte) id.Digest {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = h.Write(body)
	return id.Digest(hex.EncodeToString(h.Sum(nil)))
}

func (f *Front) deadline(r *http.Request) (time.Duration, error) {
	v := r.Header.Get(headerDeadline)
	if v == "" {
		return f.settings.DefaultDeadline, nil
	}
	s, err := strconv.ParseFloat(v, 64)
	if err != nil || !(s > 0) || s > f.settings.MaxDeadline.Seconds() {
		return 0, bad(headerDeadline + " takes seconds above 0 and up to " + strconv.Itoa(int(f.settings.MaxDeadline.Seconds())))
	}
	return time.Duration(s * float64(time.Second)), nil
}

// Bounds of the urgency of RFC 9218 for our classes.
const (
	urgencyUrgent      = 1 // 0 and 1
	urgencyInteractive = 4 // 2 to 4; above: batch
	urgencyMost        = 7
)

// classOf reads the Priority header; "" if there is none.
func classOf(r *http.Request) (config.Class, error) {
	values := r.Header.Values(headerPriority)
	if len(values) == 0 {
		return "", nil
	}
	dict, err := httpsfv.UnmarshalDictionary(values)
	if err != nil {
		return "", bad("the Priority header is not of the form of RFC 9218, such as u=3")
	}
	member, ok := dict.Get("u")
	if !ok {
		return "", nil
	}
	item, _ := member.(httpsfv.Item)
	u, ok := item.Value.(int64)
	switch {
	case !ok || u < 0 || u > urgencyMost:
		return "", bad("the urgency in the Priority header goes from 0 to 7")
	case u <= urgencyUrgent:
		return config.Urgent, nil
	case u <= urgencyInteractive:
		return config.Interactive, nil
	}
	return config.Batch, nil
}

// completionFields are the fields of a completion that the system looks at;
// the rest goes to the engine as it came.
type completionFields struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	N                   *int              `json:"n"`
	MaxTokens           *int              `json:"max_tokens"`
	MaxCompletionTokens *int              `json:"max_completion_tokens"`
	Prompt              json.RawMessage   `json:"prompt"`
	Messages            []json.RawMessage `json:"messages"`
}

// readCompletion fills call from the JSON of a completion.
func readCompletion(chat bool, body []byte, call *event.Call) (stream bool, err error) {
	var c completionFields
	if err := json.Unmarshal(body, &c); err != nil {
		return false, bad("the body is not a JSON object of a completion: " + jsonDetail(err))
	}
	if c.Model == "" {
		return false, bad(`the field "model" is missing`)
	}
	if chat && len(c.Messages) == 0 {
		return false, bad(`the field "messages" is missing or empty`)
	}
	if !chat && len(c.Prompt) == 0 {
		return false, bad(`the field "prompt" is missing`)
	}
	if c.N != nil && *c.N != 1 {
		return false, bad(`the field "n" takes 1 only`)
	}
	limit := c.MaxCompletionTokens
	if limit == nil {
		limit = c.MaxTokens
	}
	if limit != nil {
		if *limit < 1 || *limit > maxAnswerTokens {
			return false, bad(`the field "max_tokens" is out of range`)
		}
		call.AnswerTokens = *limit
	}
	prompt := promptOf(c)
	call.Artifact = id.Artifact(c.Model)
	call.PromptTokens = len(prompt)/bytesPerToken + 1
	call.PrefixHash = xxhash.Sum64(prompt[:min(prefixBytes, len(prompt))])
	return c.Stream, nil
}

func promptOf(c completionFields) []byte {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b bytes.Buffer
	for _, m := range c.Messages {
		b.Write(m)
	}
	return b.Bytes()
}

// jsonDetail says where JSON is wrong without repeating any of it.
func jsonDetail(err error) string {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "wrong at byte " + strconv.FormatInt(syntax.Offset, 10)
	case errors.As(err, &kind):
		return "the field " + strconv.Quote(kind.Field) + " has the wrong type"
	}
	return "it breaks off"
}

// idempotencyKey reads and checks the Idempotency-Key header; "" if none.
func idempotencyKey(r *http.Request) (string, error) {
	k := strings.Trim(r.Header.Get(headerIdempotency), `"`)
	if len(k) > maxIdempotency {
		return "", bad("the Idempotency-Key is longer than 128 characters")
	}
	for _, c := range k {
		if c <= ' ' || c > '~' || c == '/' {
			return "", bad("the Idempotency-Key takes printable ASCII without spaces and slashes")
		}
	}
	return k, nil
}
