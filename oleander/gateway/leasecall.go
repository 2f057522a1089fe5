package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/leader"
	"oleanderdale.org/core/gateway/revision"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/process/boottime"
)

// The store may be unreachable for one machine only. If that machine held the lease,
// the lease would end, and nobody could send orders for its term and the quiet
// period, about 5 s. So if the store does not answer a call for a lease row soon,
// another instance makes the call as well. This is safe because the store checks the
// row's version in any case.

// hedgeDelay is when an unanswered call is also made through another instance.
const hedgeDelay = 120 * time.Millisecond

// maxLeaseCallBytes bounds a leaseCall and a leaseAnswer on the wire, which are far shorter.
const maxLeaseCallBytes = 16 << 10

// leaseCall is a read or write of a lease row.
type leaseCall struct {
	Name   ports.LeaseName   `json:"name"`
	Write  bool              `json:"write"`
	Record leader.Record     `json:"record"`
	Expect revision.Revision `json:"expect"`
}

// leaseAnswer is the outcome of a leaseCall. OK is false if the outcome is unknown.
type leaseAnswer struct {
	OK     bool              `json:"ok"`
	Result leader.Result     `json:"result"`
	Row    leader.Row        `json:"row"` // read
	At     revision.Revision `json:"at"`  // revision of the written row
	Era    int64             `json:"era"` // of the store, as known to the instance that made the call
}

// callLeaseStore makes a call from this instance.
func (g *Gateway) callLeaseStore(ctx context.Context, c leaseCall) leaseAnswer {
	began := boottime.Now()
	if c.Write {
		result, at := g.store.WriteLease(ctx, c.Name, c.Record, c.Expect)
		g.recordStoreCall("lease-write", began, resultError(result))
		return leaseAnswer{OK: result != leader.Unknown, Result: result, At: at, Era: g.store.Era()}
	}
	row, err := g.store.Lease(ctx, c.Name)
	g.recordStoreCall("lease-read", began, err)
	return leaseAnswer{OK: err == nil, Row: row, Era: g.store.Era()}
}

func resultError(r leader.Result) error {
	if r == leader.Unknown {
		return ports.ErrUnavailable
	}
	return nil
}

// callLease makes a call from this instance and, if the answer is late or unknown,
// through another one. The first known outcome counts.
func (g *Gateway) callLease(ctx context.Context, c leaseCall) leaseAnswer {
	direct := make(chan leaseAnswer, 1)
	go func() { direct <- g.callLeaseStore(ctx, c) }()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	select {
	case a := <-direct:
		if a.OK {
			return a
		}
		return g.callLeaseViaPeer(ctx, c)
	case <-hedge.C:
	}
	viaPeer := make(chan leaseAnswer, 1)
	go func() { viaPeer <- g.callLeaseViaPeer(ctx, c) }()
	for range 2 {
		select {
		case a := <-direct:
			if a.OK {
				return a
			}
		case a := <-viaPeer:
			if a.OK {
				return a
			}
		}
	}
	return leaseAnswer{Result: leader.Unknown}
}

// callLeaseViaPeer makes a call through an instance that reaches the store.
func (g *Gateway) callLeaseViaPeer(ctx context.Context, c leaseCall) leaseAnswer {
	unknown := leaseAnswer{Result: leader.Unknown}
	address := g.peerReachingStore()
	if address == "" {
		return unknown
	}
	body, err := json.Marshal(c)
	if err != nil {
		g.log.Error().Err(err).Msg("lease: encoding a call failed")
		return unknown
	}
	began := boottime.Now()
	a, err := postLease(ctx, address, body)
	if err != nil {
		g.log.Warn().Err(err).Str("through", address).Msg("lease: call through another instance failed")
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
		return a, errors.Wrap(err, "gateway: lease call through another instance")
	}
	resp, err := peerHTTPClient().Do(r)
	if err != nil {
		return a, errors.Wrap(err, "gateway: lease call through another instance")
	}
	defer func() { _ = resp.Body.Close() }()
	return a, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxLeaseCallBytes)).Decode(&a), "gateway: lease call through another instance")
}

// peerReachingStore returns the address of a live instance that reaches the store, or
// "".
func (g *Gateway) peerReachingStore() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	for _, m := range g.members.All(now) {
		if peer := g.peerStates[m.Name]; peer != nil && m.Live(now) && !peer.storeUnreachable {
			return m.Address
		}
	}
	return ""
}

// serveLease makes a call on behalf of another instance.
func (g *Gateway) serveLease(w http.ResponseWriter, r *http.Request) {
	var c leaseCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxLeaseCallBytes)).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), leaseTimeout)
	defer cancel()
	if err := json.NewEncoder(w).Encode(g.callLeaseStore(ctx, c)); err != nil {
		g.log.Warn().Err(err).Msg("lease: sending an answer to another instance failed")
	}
}
