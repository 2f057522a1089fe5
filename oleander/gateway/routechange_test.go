package gateway

import (
	"net/http"
	"sync"
	"testing"

	"oleanderdale.org/core/gateway/manifest"
)

// Guards against a request that is sent once more though its route, as of the configuration in force, does not allow that any more.
func TestRouteThatBecomesNonIdempotentIsNotRepeated(t *testing.T) {
	for name, change := range map[string]func(r *manifest.Route){
		"non-idempotent":       func(r *manifest.Route) { r.Kind, r.MaxAttempts = manifest.NonIdempotent, 1 },
		"one attempt":          func(r *manifest.Route) { r.MaxAttempts = 1 },
		"stream not resumable": func(r *manifest.Route) { r.Kind, r.Resumable, r.MaxAttempts = manifest.Stream, false, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, config(1))
			runs := newRunCounts()
			var changed sync.Once
			for _, id := range []string{"a", "b"} {
				f.backend(id, "plain", func(_ http.ResponseWriter, r *http.Request) {
					runs.add(r)
					changed.Do(func() { f.setVersion(func(m *manifest.Manifest) { change(m.Match(testHost, "/read/")) }) })
					panic(http.ErrAbortHandler)
				})
			}
			got := f.ask(http.MethodPost, f.start()+"/read/x", testID, subjectID)
			runs.check(t, subjectID, got.status, 1)
		})
	}
}
