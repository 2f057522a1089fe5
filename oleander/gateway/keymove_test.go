package gateway

import (
	"net/http"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/manifest"
	"oleanderdale.org/oleander/internal/testutil"
)

// noRefill is a rate at which an account gets nothing back during a test.
const noRefill = 0.001

// twoLimited returns a configuration of two accounts that may send one request at once, and the keys that they have.
func twoLimited(version uint64, rate float64, keys map[string]string) *manifest.Manifest {
	m := config(version)
	m.AddKey(manifest.DigestOf("secret"), nil)
	for _, name := range []string{"account", "second"} {
		a := &manifest.Account{Name: name, Priority: manifest.NoPriority, Rate: rate, Burst: 1}
		m.Accounts[name] = a
		for key, of := range keys {
			if of == name {
				m.AddKey(manifest.DigestOf(key), a)
			}
		}
	}
	return m
}

// playKeyMove sends a request whose server rejects it after a new configuration has given its key to an account, and returns the answers
// to one more request of the account that was charged and of the other one, which has used up its limit before.
func playKeyMove(t *testing.T, to string) (charged, other answer) {
	keys := map[string]string{"secret": "account", "key of second": "second"}
	f := newFixture(t, twoLimited(1, 100, keys))
	f.backend("a", "plain", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testID) != subjectID {
			ok(w, r)
			return
		}
		f.store.SetManifest(twoLimited(3, noRefill, map[string]string{"secret": to, "key of account": "account", "key of second": "second"}))
		awaitVersion(f, 3)
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	url := f.start()
	for _, key := range []string{"secret", "key of second"} { // an account has no tokens before its first request
		testutil.WaitFor(t, func() bool { return f.ask(http.MethodPost, url+"/order/x", testKey, key).status == http.StatusOK })
	}
	time.Sleep(100 * time.Millisecond)
	f.store.SetManifest(twoLimited(2, noRefill, keys))
	awaitVersion(f, 2)
	if got := f.ask(http.MethodPost, url+"/order/x", testKey, "key of second"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	if got := f.ask(http.MethodPost, url+"/order/x", testID, subjectID); got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", got.status)
	}
	other = f.ask(http.MethodPost, url+"/order/x", testKey, "key of second")
	return f.ask(http.MethodPost, url+"/order/x", testKey, "key of account"), other
}

// Guards against an account that pays for a request that did not run, and another one that gets more than its limit.
func TestRefundOfARejectedRequest(t *testing.T) {
	if charged, other := playKeyMove(t, "account"); charged.status != http.StatusOK || other.status != http.StatusTooManyRequests {
		t.Errorf("the account that was charged gets %d, the other one %d", charged.status, other.status)
	}
}

// Guards against an account that pays for a request that did not run, since its key moved to another account meanwhile.
func TestRefundGoesToTheAccountThatWasCharged(t *testing.T) {
	if charged, _ := playKeyMove(t, "second"); charged.status != http.StatusOK {
		t.Errorf("the account that was charged gets %d %s", charged.status, charged.body)
	}
}

// Guards against an account that gets more than its limit, by the refund of a request that another account paid.
func TestRefundOfAnotherAccountRaisesNoLimit(t *testing.T) {
	if _, other := playKeyMove(t, "second"); other.status != http.StatusTooManyRequests {
		t.Errorf("the account that used up its limit gets %d %s", other.status, other.body)
	}
}
