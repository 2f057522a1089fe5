package gateway

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
)

var (
	metricName   = regexp.MustCompile(`(?m)^(oleanderd_\w+?)(?:_bucket|_sum|_count)?[ {]`)
	requestOrKey = regexp.MustCompile(`r1|secret`)
)

// Every metric is documented in docs/OPERATIONS.md, and no metric name or label
// contains a request or a key: their number would grow without bound.
func TestMetricsAreDocumented(t *testing.T) {
	f := newFixture(t, config(1))
	f.backend("a", "plain", firstThenOK(hangUp))
	f.backend("b", "llm", twoEvents, "warm")
	url := f.start()
	f.ask(http.MethodPost, url+"/order/")
	f.ask(http.MethodPost, url+"/stream/", testModel, "warm")
	f.ask(http.MethodPost, url+"/stream/", testModel, "cold")
	resp, err := http.Get("http://" + f.gateways[0].settings.PeerAddress + pathMetrics)
	if err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, m := range metricName.FindAllStringSubmatch(string(text), -1) {
		names[m[1]] = true
	}
	if len(names) < 15 {
		t.Errorf("only %d metrics found", len(names))
	}
	for name := range names {
		if !strings.Contains(string(page), name) {
			t.Errorf("%s is not documented in docs/OPERATIONS.md", name)
		}
	}
	if requestOrKey.Match(text) {
		t.Errorf("a request or a key appears in\n%s", text)
	}
}
