package gateway

import (
	"net/http"
	"testing"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/core/gateway/regions"
	"oleanderdale.org/oleander/internal/testutil"
)

// The allowed regions of a route and of an account each apply, and so does their
// intersection. A request without any region left, or in use, is refused at once;
// other routes are served.
func TestAllowedRegions(t *testing.T) {
	c := config(1)
	for _, r := range []struct {
		prefix  string
		regions []string
	}{{"/east/", []string{"east"}}, {"/west/", []string{"west"}}, {"/both/", []string{"east", "west"}}, {"/south/", []string{"south"}}} {
		c.AddRoute(&manifest.Route{
			Name: r.prefix, Host: testHost, Prefix: r.prefix, Kind: manifest.Idempotent, Timeout: testGrace, MaxAttempts: 2,
			Targets: []manifest.Target{{Group: "plain", Weight: 1}}, AllowedRegions: regions.Of(r.regions),
		})
	}
	account := &manifest.Account{Name: "bound", Priority: manifest.NoPriority, AllowedRegions: regions.Of([]string{"east"})}
	c.Accounts["bound"] = account
	c.AddKey(manifest.DigestOf("bound-key"), account)

	f := newFixture(t, c)
	f.regions = map[string]string{"ze": "east", "zw": "west", "z": "north"}
	servers := map[string]*backend{"e": f.backend("e", "plain", ok), "w": f.backend("w", "plain", ok)}
	f.moveServer("e", "ze")
	f.moveServer("w", "zw")
	url := f.start()
	testutil.WaitFor(t, func() bool { return f.gateways[0].knowsServer("e") && f.gateways[0].knowsServer("w") })

	tests := []struct {
		path, key string
		server    string // "" for any; "-" if refused
	}{
		{"/east/x", "secret", "e"}, {"/west/x", "secret", "w"}, {"/both/x", "secret", ""}, {"/read/x", "secret", ""},
		{"/both/x", "bound-key", "e"}, {"/read/x", "bound-key", "e"}, {"/west/x", "bound-key", "-"}, {"/south/x", "secret", "-"},
	}
	for _, tc := range tests {
		before := map[string]int{"e": servers["e"].requests(), "w": servers["w"].requests()}
		for range 10 {
			a := f.ask(http.MethodGet, url+tc.path, testKey, tc.key)
			if want := tc.server == "-"; (a.status == http.StatusServiceUnavailable) != want {
				t.Fatalf("%s with %s: status %d", tc.path, tc.key, a.status)
			}
		}
		for id, b := range servers {
			if b.requests() > before[id] && tc.server != "" && tc.server != id {
				t.Errorf("%s with %s reached %s", tc.path, tc.key, id)
			}
		}
	}
}
