package gateway

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oleanderdale.org/core/gateway/dispatch"
	"oleanderdale.org/oleander/internal/testutil"
	"oleanderdale.org/oleander/process/boottime"
)

// A caller that reads slowly makes its server look slow, or the pauses of a server are lost
// since its caller reads them as they come.
func TestPauseIsThatOfTheServer(t *testing.T) {
	const pause = 300 * time.Millisecond
	m := config(1)
	m.Match(testHost, "/stream/").PauseObjective = 50 * time.Millisecond
	m.Match(testHost, "/stream/").Timeout = 20 * time.Second
	f := newFixture(t, m)
	f.loadScheduling = On
	big := "data: " + strings.Repeat("x", 2<<10) + "\n\n"
	f.backend("a", "llm", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testSigned, "1")
		events(w, 1, 1)
		if r.Header.Get(testID) == "slow-server" {
			time.Sleep(pause)
			events(w, 2, 2)
			return
		}
		for range 8 << 10 {
			_, _ = io.WriteString(w, big)
		}
	}, "warm")
	url := f.start() + "/stream/"
	field := regexp.MustCompile(` (server_)?pause_ms=(\d+)`)
	for _, id := range []string{"slow-server", "slow-caller"} {
		resp := get(t, http.DefaultClient, url, id)
		if id == "slow-caller" {
			// Until the buffers between server and caller are full, the stream goes on.
			time.Sleep(4 * pause)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		testutil.WaitFor(t, func() bool { return strings.Contains(f.explain(id), "request ended") })
		long := make(map[string]bool)
		for _, m := range field.FindAllStringSubmatch(f.explain(id), -1) {
			ms, _ := strconv.Atoi(m[2])
			long[m[1]] = time.Duration(ms)*time.Millisecond >= pause*2/3
		}
		if !long[""] || long["server_"] != (id == "slow-server") {
			t.Errorf("%s: long pauses %v: %s", id, long, f.explain(id))
		}
	}
}

// The dispatcher takes the pause objective of a query of another instance, which an instance of
// the previous version does not send, for that of the chosen server's streams.
func TestPauseObjectiveIsSent(t *testing.T) {
	_, g := single(t)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadScheduling = true
	g.servers.SetLoadScheduling(true)
	for n, objective := range []time.Duration{0, 250 * time.Millisecond} {
		query := &dispatch.Query{Number: uint64(n + 1), Detail: &dispatch.QueryDetail{Due: time.Second}}
		query.Requirements.Group, query.Requirements.PauseObjective = "plain", objective
		m := dispatch.Message{From: "g9", Incarnation: 1, Sequence: uint64(n + 1), OpenQueries: []uint64{1, 2}, Query: query}
		body, err := cbor.Marshal(packet{Dispatch: g.encodeDispatch(m), DispatchDetail: newDispatchDetail(m)})
		if err != nil {
			t.Fatal(err)
		}
		var p packet
		if err := cbor.Unmarshal(body, &p); err != nil {
			t.Fatal(err)
		}
		g.handleDispatchMsg(boottime.Now(), p.Dispatch, p.DispatchDetail, nil)
		if got := g.servers.Get("a").TightestPause(); got != objective {
			t.Errorf("tightest %v, want %v", got, objective)
		}
	}
}
