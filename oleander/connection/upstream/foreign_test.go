package upstream

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

func answerTo(path string) string { return fmt.Sprintf(`{"state":"done","answer":%q}`, path) }

// Guards against a caller that gets the answer to another caller's request, since a second copy of it is believed.
func TestSecondCopyIsNoAnswerToTheNextCall(t *testing.T) {
	address := testutil.ServeCopies(t, func(r *http.Request) string { return answerTo(r.URL.Path) })
	c := New()
	defer c.Close()
	for n := range 4 {
		path := fmt.Sprint("/call", n)
		resp, err := c.Do(post(t, "http://"+address+path), n%2 == 1)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if string(body) != answerTo(path) {
			t.Errorf("%s: answer %s", path, body)
		}
		time.Sleep(time.Millisecond) // until a connection would be idle
		if _, _, answer, err := c.QueryStatus(t.Context(), address, path, "a"); err != nil || string(answer) != fmt.Sprintf("%q", path) {
			t.Errorf("status of %s: %s, %v", path, answer, err)
		}
	}
}
