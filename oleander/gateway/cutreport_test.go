package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/placer"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/gateway/ports"
	"oleanderdale.org/oleander/internal/testutil"
)

// cutEngines are engines that an instance reaches over others alone.
type cutEngines struct {
	ports.Engines
	cut *atomic.Bool
}

func (e cutEngines) FetchReport(ctx context.Context, to ports.Route) (placer.Report, ports.Feedback, error) {
	if to.Dial == nil && e.cut.Load() {
		return placer.Report{}, ports.Feedback{}, rawhttp.ErrNotSent
	}
	if to.Dial != nil {
		c, err := to.Dial(ctx)
		if err != nil {
			return placer.Report{}, ports.Feedback{}, err
		}
		_ = c.Close()
	}
	return e.Engines.FetchReport(ctx, to)
}

// Guards against engines that start while the instance that plans for the fleet reaches none, and that get no orders.
func TestEnginesThatStartWhileThePlannerIsCutOff(t *testing.T) {
	f := newFixture(t, config(1))
	f.zones = []string{"y", "z"}
	var cut atomic.Bool
	f.wrapEngines = func(gateway int, e ports.Engines) ports.Engines {
		if gateway == 0 {
			return cutEngines{e, &cut}
		}
		return e
	}
	f.backend("early", "llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1) }, "warm")
	f.startHolder()
	url := f.start()
	testutil.WaitFor(t, func() bool { return f.mayOrder(1) && f.planScope(0) == placer.ScopeFleet })
	cut.Store(true)
	f.store.RemoveServer("early")
	late := f.backend("late", "llm", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1) })
	served := func() bool {
		return f.ask(http.MethodPost, url+"/stream/", testModel, "cold", testWait, "1000").status == http.StatusOK
	}
	for end := time.Now().Add(5 * time.Second); !served(); {
		if time.Now().After(end) {
			t.Fatalf("no order to the engine in 5 s: %v", f.engines.OrderSenders(late.address))
		}
	}
}

// Guards against reports of engines that have ended, each of which is asked for through another instance in vain.
func TestReportsThatAreAskedForThroughARelay(t *testing.T) {
	g := &Gateway{links: newServerLinks()}
	for _, c := range []struct {
		name      string
		err       error
		want, cut bool // cut: wanted of an instance that is cut off
	}{
		{"no connection", rawhttp.ErrNotSent, true, true},
		{"refused", notSentFor(syscall.ECONNREFUSED), false, true},
		{"timed out", notSentFor(context.DeadlineExceeded), true, true},
		{"no response", errors.New("reset"), false, false},
	} {
		if got := g.mayBeOwnLink(c.err); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
		cut := &Gateway{links: newServerLinks()}
		cut.links.monitor.ProbeEnded(2, 1, false)
		if got := cut.mayBeOwnLink(c.err); got != c.cut {
			t.Errorf("%s, cut off: %t, want %t", c.name, got, c.cut)
		}
	}
}

// notSentFor returns the error of a connection that was not opened, for a reason.
func notSentFor(reason error) error {
	dial := func(context.Context) (net.Conn, error) { return nil, reason }
	_, _, err := rawhttp.DoOver(context.Background(), "127.0.0.1:1", dial, rawhttp.Request{Method: http.MethodGet, Target: "/"}, 1)
	return err
}
