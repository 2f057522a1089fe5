package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// A store may turn one machine away and serve all others. If that machine holds
// the lease, its right would end, and nobody could give orders for the term and
// the quiet time, some five seconds. So a call for the row of the lease that the
// store does not answer soon is made by another instance in this one's name. The
// row's version is checked by the store whoever asks, so nothing else changes.

// hedgeAfter is when a call that has no answer is made through another instance
// as well: a good answer takes 4 ms, one of a slow store up to 300.
const hedgeAfter = 120 * time.Millisecond

// leaseCall is a call for the row of the lease.
type leaseCall struct {
	Name   ports.LeaseName   `json:"name"`
	Write  bool              `json:"write"`
	Record leader.Record     `json:"record"`
	Expect revision.Revision `json:"expect"`
}

// leaseAnswer is what came of it. OK is false if that is not known.
type leaseAnswer struct {
	OK     bool              `json:"ok"`
	Result leader.Result     `json:"result"`
	Row    leader.Row        `json:"row"` // as read
	At     revision.Revision `json:"at"`  // as written
	Era    int64             `json:"era"` // of the store, as the caller knows it
}

// callStore makes a call from this instance.
func (g *Gateway) callStore(ctx context.Context, c leaseCall) leaseAnswer {
	began := boottime.Now()
	if c.Write {
		result, at := g.store.WriteLease(ctx, c.Name, c.Record, c.Expect)
		g.stored("lease-write", began, unknownIs(result))
		return leaseAnswer{OK: result != leader.Unknown, Result: result, At: at, Era: g.store.Era()}
	}
	row, err := g.store.Lease(ctx, c.Name)
	g.stored("lease-read", began, err)
	return leaseAnswer{OK: err == nil, Row: row, Era: g.store.Era()}
}

func unknownIs(r leader.Result) error {
	if r == leader.Unknown {
		return ports.ErrUnavailable
	}
	return nil
}

// callLease makes a call from here and, if it has no answer soon, through
// another instance; the first answer counts.
func (g *Gateway) callLease(ctx context.Context, c leaseCall) leaseAnswer {
	direct := make(chan leaseAnswer, 1)
	go func() { direct <- g.callStore(ctx, c) }()
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	select {
	case a := <-direct:
		if a.OK {
			return a
		}
		return g.callThrough(ctx, c)
	case <-hedge.C:
	}
	through := make(chan leaseAnswer, 1)
	go func() { through <- g.callThrough(ctx, c) }()
	for range 2 {
		select {
		case a := <-direct:
			if a.OK {
				return a
			}
		case a := <-through:
			if a.OK {
				return a
			}
		}
	}
	return leaseAnswer{Result: leader.Unknown}
}

// callThrough makes a call through an instance that reaches the store.
func (g *Gateway) callThrough(ctx context.Context, c leaseCall) leaseAnswer {
	unknown := leaseAnswer{Result: leader.Unknown}
	address := g.peerWithStore()
	if address == "" {
		return unknown
	}
	body, err := json.Marshal(c)
	if err != nil {
		g.log.Error().Err(err).Msg("lease: call not encoded")
		return unknown
	}
	began := boottime.Now()
	a, err := postLease(ctx, address, body)
	if err != nil {
		g.log.Warn().Err(err).Str("through", address).Msg("lease: no answer through another instance")
		return unknown
	}
	g.metrics.storeCall("lease-through", a.OK, boottime.Now().Sub(began))
	if a.OK {
		g.mu.Lock()
		g.lapse.RecordAnswer(boottime.Now())
		g.mu.Unlock()
	}
	return a
}

func postLease(ctx context.Context, address string, body []byte) (leaseAnswer, error) {
	var a leaseAnswer
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathLease, bytes.NewReader(body))
	if err != nil {
		return a, errors.Wrap(err, "gateway: lease")
	}
	resp, err := peerClient().Do(r)
	if err != nil {
		return a, errors.Wrap(err, "gateway: lease")
	}
	defer func() { _ = resp.Body.Close() }()
	return a, errors.Wrap(json.NewDecoder(resp.Body).Decode(&a), "gateway: lease")
}

// peerWithStore returns the address of a live instance that reaches the store.
func (g *Gateway) peerWithStore() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for _, m := range g.members.All(now) {
		if seen := g.peerSeen[m.Name]; seen != nil && m.Live(now) && !seen.storeDown {
			return m.Address
		}
	}
	return ""
}

// serveLease makes a call in another instance's name.
func (g *Gateway) serveLease(w http.ResponseWriter, r *http.Request) {
	var c leaseCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaseTimeout)
	defer cancel()
	if err := json.NewEncoder(w).Encode(g.callStore(ctx, c)); err != nil {
		g.log.Warn().Err(err).Msg("lease: answer not sent to another instance")
	}
}
