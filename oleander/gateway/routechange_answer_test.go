package gateway

import (
	"net/http"
	"sync"
	"testing"

	"oleanderdale.org/core/gateway/manifest"
)

// Guards against a server's own 503 that passes for a promise since the route came to forbid repeats while the request ran.
func TestServersOwnRefusalIsNoPromiseAfterTheRouteChanged(t *testing.T) {
	f := newFixture(t, config(1))
	runs := newRunCounts()
	var changed sync.Once
	f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		runs.add(r)
		changed.Do(func() {
			f.setVersion(func(m *manifest.Manifest) {
				route := m.Match(testHost, "/read/")
				route.Kind, route.MaxAttempts = manifest.NonIdempotent, 1
			})
		})
		w.Header().Set(testSigned, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	got := f.ask(http.MethodPost, f.start()+"/read/x", testID, subjectID)
	runs.check(t, subjectID, got.status, 1)
}
