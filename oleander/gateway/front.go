package gateway

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/outlook"
	"oleanderdale.org/core/gateway/poison"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// reason says why the gateway itself answered a request.
type reason string

// The reasons.
const (
	reasonNoConfig   reason = "no-config"
	reasonNoRoute    reason = "no-route"
	reasonKey        reason = "key"
	reasonBody       reason = "body"
	reasonTooLarge   reason = "too-large"
	reasonQuota      reason = "quota"
	reasonNoOwner    reason = "quota-not-known"
	reasonPoison     reason = "crashes-servers"
	reasonNoServer   reason = "no-server"
	reasonNoHome     reason = "no-home"
	reasonNoRoom     reason = "no-room"
	reasonNotLoaded  reason = "not-loaded-in-time"
	reasonNoModel    reason = "unknown-model"
	reasonRefused    reason = "refused-by-servers"
	reasonStopping   reason = "stopping"
	reasonBroken     reason = "broken"
	reasonTimeout    reason = "timeout"
	reasonBrokenOff  reason = "broken-off-midway"
	reasonCallerGone reason = "caller-gone"
	reasonAnswered   reason = "answered"
)

// refusal is an answer of the gateway's own. Statuses 429 and 503 promise that
// the request has not run and will not.
type refusal struct {
	status     int
	reason     reason
	retryAfter time.Duration
	// expectation is what was known of the model that was waited for, heard
	// the age of the last message of the instance that gives orders.
	expectation *outlook.Expectation
	heard       time.Duration
}

// refusalOf returns a refusal of a request that has not run.
func refusalOf(why reason, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: why, retryAfter: retryAfter}
}

const (
	// comeBack is when a request may come again that another instance or a
	// moment later can serve.
	comeBack = 200 * time.Millisecond
	// comeBackLoad is when a model that could not be loaded in time may be there.
	comeBackLoad = time.Second
)

// exchange is one request of a caller.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	call    ports.Call
	route   *manifest.Route
	group   string
	account *manifest.Account
	homes   regions.Set // of the route and the account together
	config  *manifest.Manifest
	body    []byte
	digest  poison.Digest
	grant   grant
	timing  timing

	arrived  clock.Time
	end      clock.Time // of the caller's patience or the route's timeout
	alone    bool       // the attempt chooses its server itself
	sends    int
	ran      int // sends that the server did not reject
	excluded map[string]bool
	server   string // of the last attempt
	queued   time.Duration
	started  bool // a byte of the answer was written
	lastID   string
	events   int
	refusal  *refusal // that ended it
}

// ServeHTTP serves one request. No router stands before it: routers clean
// paths and answer with redirects, and a path is forwarded as it is or refused.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{g: g, w: w, r: r, arrived: boottime.Now(), excluded: make(map[string]bool)}
	x.call = g.dialect.ParseCall(r)
	x.lastID = x.call.LastEventID
	if ref := x.admit(); ref != nil {
		x.refuse(*ref)
		return
	}
	x.serve()
}

// admit finds the route and the account, reads the body, and takes the tokens.
func (x *exchange) admit() *refusal {
	if ref := x.resolve(); ref != nil {
		return ref
	}
	if ref := x.readBody(); ref != nil {
		return ref
	}
	limit := x.route.Timeout
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	x.end = x.arrived.Add(limit)
	if x.g.tooLate(boottime.Now(), limit) {
		return refusalOf(reasonStopping, comeBack)
	}
	x.pickGroup()
	x.digest = x.requestDigest()
	if ref := x.count(); ref != nil {
		return ref
	}
	return x.charge()
}

// resolve finds the route and the account in the configuration in force.
func (x *exchange) resolve() *refusal {
	m := x.g.manifest.Load()
	if m == nil {
		return refusalOf(reasonNoConfig, comeBack)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route := m.Match(x.r.Host, path)
	if route == nil {
		return &refusal{status: http.StatusNotFound, reason: reasonNoRoute}
	}
	x.config, x.route, x.account, x.homes = m, route, nil, route.Homes
	if !m.NeedsKey(route) {
		return nil
	}
	if x.account = m.Account(x.call.APIKey); x.account == nil {
		return &refusal{status: http.StatusUnauthorized, reason: reasonKey}
	}
	homes, ok := regions.Both(route.Homes, x.account.Homes)
	if !ok {
		return refusalOf(reasonNoHome, comeBackLoad)
	}
	x.homes = homes
	return nil
}

func (x *exchange) readBody() *refusal {
	limit := int64(maxBody)
	if n := x.config.Limits.BodyBytes; n > 0 {
		limit = n
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: reasonBody}
	}
	if int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonTooLarge}
	}
	x.body = body
	return nil
}

// requestDigest names the request among those that come again, 0 if it has no
// body: reads of one path are alike without being one request.
func (x *exchange) requestDigest() poison.Digest {
	if len(x.body) == 0 {
		return 0
	}
	d := xxhash.New()
	if x.account != nil {
		_, _ = d.WriteString(x.account.Name)
	}
	_, _ = d.WriteString(x.r.Method + " " + x.r.RequestURI + "\n")
	_, _ = d.Write(x.body)
	return poison.Digest(d.Sum64())
}

// count counts the request, and refuses one that crashes the servers that run it.
func (x *exchange) count() *refusal {
	g := x.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.budget.Request(now, x.group)
	if x.digest != 0 && g.poison.Refused(now, x.digest) {
		return refusalOf(reasonPoison, 0)
	}
	return nil
}

// need says what the request needs of a backend server.
func (x *exchange) need() directory.Need {
	return directory.Need{
		Group: x.group, Model: x.call.Model, Adapter: x.call.Adapter,
		Affinity: x.affinity(), Zone: x.g.set.Zone, Homes: x.homes, Exclude: x.excluded,
	}
}

// affinityFrom is the length, in tokens, from which shared prompt parts decide the
// server. An engine reads some 40 tokens a millisecond, so shorter ones are read
// anew within a few steps of its batch, and whoever has least to do is sooner there.
// Value of five days with trouble on three deployments, with affinity for all, for
// long parts, for none: 0.741, 0.751, 0.737 (parts of 6,300 and 200 tokens, ten
// plays); 0.638, 0.646, 0.669 and 0.646, 0.643, 0.653 (mostly 155, five each).
const affinityFrom = 1000

// affinity is the hash of the prompt parts that other requests share, which
// are all but the last; 0 if they are short.
func (x *exchange) affinity() uint64 {
	if x.call.Model == "" || len(x.call.PromptParts) < 2 {
		return 0
	}
	shared := 0
	for _, p := range x.call.PromptParts[:len(x.call.PromptParts)-1] {
		shared += p.Tokens
	}
	if shared < affinityFrom {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(x.call.Model + "/" + x.call.Adapter)
	for _, p := range x.call.PromptParts[:len(x.call.PromptParts)-1] {
		_, _ = d.WriteString(p.ID)
		_, _ = d.Write(binary.LittleEndian.AppendUint32(nil, uint32(p.Tokens)))
	}
	return max(1, d.Sum64())
}

// urgency is the rank of the request at the backend server: the account's goes
// before the route's.
func (x *exchange) urgency() int {
	if x.account != nil && x.account.Priority != manifest.NoPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// refuse answers with a refusal; the request is over.
func (x *exchange) refuse(ref refusal) {
	if !x.started {
		x.writeRefusal(ref)
	}
	x.refund()
	x.refusal = &ref
	x.finish(ref.status, ref.reason)
}

func (x *exchange) writeRefusal(ref refusal) {
	h := x.w.Header()
	h.Set("Content-Type", "application/problem+json")
	if ref.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(map[string]any{"status": ref.status, "title": string(ref.reason)})
	if err != nil {
		x.g.log.Error().Err(err).Msg("front: refusal not encoded")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(ref.status)
	_, _ = x.w.Write(body)
}

// finish logs and counts the outcome.
func (x *exchange) finish(status int, why reason) {
	total := boottime.Now().Sub(x.arrived)
	x.g.metrics.request(why, total)
	level := zerolog.InfoLevel
	if why != reasonAnswered && why != reasonCallerGone {
		level = zerolog.WarnLevel // kept before successes when lines are left out
	}
	e := x.g.log.WithLevel(level).Str("request", x.call.ID).Int("status", status).Str("reason", string(why))
	if x.route != nil {
		e = e.Str("route", x.route.Name).Uint64("config", x.config.Version)
		late := !x.inTime()
		e = x.timing.log(e.Bool("in_time", !late && why == reasonAnswered), objectives{x.route.Objective, x.route.PauseObjective}, late)
	}
	if x.account != nil {
		e = x.grant.log(e.Str("account", x.account.Name).Float64("charged", x.grant.tokens))
	}
	if x.call.Model != "" {
		e = e.Str("model", x.call.Model).Str("adapter", x.call.Adapter).Int("prompt_tokens", x.call.PromptTokens).Int("tokens", x.call.TotalTokens)
	}
	if x.sends > 0 {
		e = e.Str("server", x.server).Int("sends", x.sends).Int("ran", x.ran)
	}
	if x.events > 0 {
		e = e.Int("events", x.events)
	}
	if r := x.refusal; r != nil && r.retryAfter > 0 {
		e = e.Int64("retry_after_ms", r.retryAfter.Milliseconds())
	}
	if r := x.refusal; r != nil && r.expectation != nil {
		e = e.Bool("orders_given", !r.expectation.Blind).Int64("holder_heard_ms", r.heard.Milliseconds())
		if ready := r.expectation.Ready; ready != 0 {
			e = e.Int64("model_expected_ms", ready.Sub(boottime.Now()).Milliseconds())
		}
	}
	e.Int64("queued_ms", x.queued.Milliseconds()).Int64("total_ms", total.Milliseconds()).Msg("front: request ended")
}
