package gateway

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// Guards against a refusal that promises that a request did not run, since there was no memory for the response of its run.
func TestNoMemoryForAResponsePromisesNothing(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 10*mb)
	for name, bound := range map[string]int64{"no bound": 0, "bound": 8 * mb} {
		for path, most := range map[string]int{"/order/x": 1, "/read/x": 2} {
			t.Run(name+path, func(t *testing.T) {
				f := newFixture(t, config(1))
				f.memory = bound
				runs := newRunCounts()
				for _, id := range []string{"a", "b"} {
					f.backend(id, "plain", func(w http.ResponseWriter, r *http.Request) {
						runs.add(r)
						w.Header().Set(testSigned, "1")
						_, _ = w.Write(large)
					})
				}
				url := f.start()
				if bound == 0 {
					f.gateways[0].bufferedBytes.Add(maxBufferedBytes)
				}
				got := f.ask(http.MethodPost, url+path, testID, subjectID)
				runs.check(t, subjectID, got.status, most)
				if runs.of(subjectID) == 0 || got.status != http.StatusBadGateway || !strings.Contains(f.log.String(), errNoMemory.Error()) {
					t.Errorf("status %d after %d runs, so the test proves nothing", got.status, runs.of(subjectID))
				}
			})
		}
	}
}
