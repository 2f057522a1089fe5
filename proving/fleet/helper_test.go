package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// newReadyFleet returns a fleet of three zones in which all instances are ready.
func newReadyFleet(t *testing.T, seed uint64, modify func(*Settings)) *Fleet {
	t.Helper()
	f := newFleet(t, seed, modify)
	f.Run(startupTime)
	for _, n := range f.Nodes {
		if !n.Ready {
			t.Fatalf("%s is not ready after %s", n.Name, startupTime)
		}
	}
	return f
}

// zoneServers returns the servers of a group in a zone.
func (f *Fleet) zoneServers(z id.Zone, g id.Group) []*Server {
	var all []*Server
	for _, s := range f.Servers {
		if s.Zone == z && s.Group.Name == g {
			all = append(all, s)
		}
	}
	return all
}

// waitFor advances the time until a condition holds, and fails the test if it
// does not within the limit.
func (f *Fleet) waitFor(t *testing.T, what string, limit time.Duration, cond func() bool) {
	t.Helper()
	const step = 5 * time.Millisecond
	for end := f.now.Add(limit); f.now < end; {
		if cond() {
			return
		}
		f.Run(step)
	}
	if !cond() {
		t.Fatalf("did not happen within %s: %s", limit, what)
	}
}

// repeat calls do at regular intervals for some time, with the number of earlier
// calls of it.
func (f *Fleet) repeat(interval, duration time.Duration, do func(n int)) {
	for n := range int(duration / interval) {
		do(n)
		f.Run(interval)
	}
}

// wantCompleted checks that calls got their whole responses.
func wantCompleted(t *testing.T, calls ...*Call) {
	t.Helper()
	const shown = 3
	unanswered := 0
	for _, c := range calls {
		if c.Completed {
			continue
		}
		if unanswered++; unanswered <= shown {
			t.Errorf("%s for %s%s at %s: want a response, got %s", c.Request, c.Artifact, c.Service, c.instance, c.describeResult())
		}
	}
	if unanswered > shown {
		t.Errorf("%d of %d calls were not answered", unanswered, len(calls))
	}
}

// wantRefused checks that a call was refused for a reason, and what the refusal
// says about its execution.
func wantRefused(t *testing.T, c *Call, r event.Reason, ran event.Execution) {
	t.Helper()
	if c.Refusal == nil || c.Refusal.Reason != r || c.Refusal.Execution != ran {
		t.Errorf("%s at %s: want %s/%s, got %s", c.Request, c.instance, r, ran, c.describeResult())
	}
}

// wantViolation checks that a check detects an injected violation.
func wantViolation(t *testing.T, f *Fleet, what string) {
	t.Helper()
	if violations := f.Violations(); len(violations) == 0 {
		t.Errorf("%s, and no check detected it", what)
	}
}

// loadCount returns the number of loads at the engines of a zone.
func (f *Fleet) loadCount(z id.Zone) int {
	n := 0
	for _, s := range f.zoneServers(z, "workers") {
		n += s.Loads
	}
	return n
}

// newRateFleet returns a fleet whose lookup service costs 100 tokens a call, so
// that few calls reach the rate of an account.
func newRateFleet(t *testing.T, seed uint64, modify func(*Settings)) *Fleet {
	t.Helper()
	return newReadyFleet(t, seed, func(s *Settings) {
		l := s.Config.Services[Lookup]
		l.Tokens = lookupTokens
		s.Config.Services[Lookup] = l
		if modify != nil {
			modify(s)
		}
	})
}

const lookupTokens = 100

// lookupSpec is a call of the lookup service.
func lookupSpec(account id.Account, n int) Spec {
	return Spec{Account: account, Service: Lookup, Timeout: 5 * time.Second, Body: fmt.Sprint("lookup", n)}
}

// orderSpec is a call of a non-idempotent service by account b.
func orderSpec(s id.Service, key, body string) Spec {
	return Spec{Account: "b", Service: s, IdempotencyKey: key, Body: body, Timeout: 10 * time.Second}
}
