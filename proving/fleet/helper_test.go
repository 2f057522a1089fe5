package fleet

import (
	"fmt"
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
)

// ready returns a fleet of three zones that has started.
func ready(t *testing.T, seed uint64, change func(*Settings)) *Fleet {
	t.Helper()
	f := small(t, seed, change)
	f.Run(warmUp)
	for _, n := range f.Nodes {
		if !n.Ready {
			t.Fatalf("%s is not ready after %s", n.Name, warmUp)
		}
	}
	return f
}

func (f *Fleet) zoneServers(z id.Zone, g id.Group) []*Server {
	var all []*Server
	for _, s := range f.Servers {
		if s.Zone == z && s.Group.Name == g {
			all = append(all, s)
		}
	}
	return all
}

// until lets time pass until cond holds, and fails the test if it never does.
func (f *Fleet) until(t *testing.T, what string, limit time.Duration, cond func() bool) {
	t.Helper()
	const step = 5 * time.Millisecond
	for end := f.now.Add(limit); f.now < end; {
		if cond() {
			return
		}
		f.Run(step)
	}
	if !cond() {
		t.Fatalf("not within %s: %s", limit, what)
	}
}

// every calls do now and then for a while; n counts the calls.
func (f *Fleet) every(d, length time.Duration, do func(n int)) {
	for n := range int(length / d) {
		do(n)
		f.Run(d)
	}
}

func wantWhole(t *testing.T, calls ...*Call) {
	t.Helper()
	const shown = 3
	missing := 0
	for _, c := range calls {
		if c.Whole {
			continue
		}
		if missing++; missing <= shown {
			t.Errorf("%s for %s%s at %s: want an answer, got %s", c.Request, c.Artifact, c.Service, c.at, c.ending())
		}
	}
	if missing > shown {
		t.Errorf("%d of %d calls were not answered", missing, len(calls))
	}
}

func wantRefused(t *testing.T, c *Call, r event.Reason, ran event.Execution) {
	t.Helper()
	if c.Refusal == nil || c.Refusal.Reason != r || c.Refusal.Execution != ran {
		t.Errorf("%s at %s: want %s/%s, got %s", c.Request, c.at, r, ran, c.ending())
	}
}

// wantFault shows that a check can fail: a broken part must show.
func wantFault(t *testing.T, f *Fleet, what string) {
	t.Helper()
	if faults := f.Faults(); len(faults) == 0 {
		t.Errorf("%s, and no check fired", what)
	}
}

// loads counts the loads at the engines of a zone.
func (f *Fleet) loads(z id.Zone) int {
	n := 0
	for _, s := range f.zoneServers(z, "workers") {
		n += s.Loads
	}
	return n
}

// rateFleet returns a fleet whose accounts call the lookup service at 100
// tokens a call, so that rates are met without many calls.
func rateFleet(t *testing.T, seed uint64, change func(*Settings)) *Fleet {
	t.Helper()
	return ready(t, seed, func(s *Settings) {
		l := s.Config.Services[Lookup]
		l.Tokens = lookupTokens
		s.Config.Services[Lookup] = l
		if change != nil {
			change(s)
		}
	})
}

const lookupTokens = 100

func lookup(account id.Account, n int) Spec {
	return Spec{Account: account, Service: Lookup, Within: 5 * time.Second, Body: fmt.Sprint("lookup", n)}
}

func order(s id.Service, key, body string) Spec {
	return Spec{Account: "b", Service: s, Key: key, Body: body, Within: 10 * time.Second}
}
