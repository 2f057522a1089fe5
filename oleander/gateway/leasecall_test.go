package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against the answer of another instance that never ends and fills the memory of the one that asked.
func TestLeaseAnswerWithoutEnd(t *testing.T) {
	sent := make(chan int, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"result":"`)
		n := 0
		for chunk := strings.Repeat("x", 64<<10); ; n += len(chunk) {
			if _, err := io.WriteString(w, chunk); err != nil {
				break
			}
		}
		sent <- n
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if a, err := postLease(ctx, strings.TrimPrefix(s.URL, "http://"), nil); err == nil {
		t.Errorf("answer %+v", a)
	}
	const socketBuffers = 16 << 20
	if n := <-sent; n > socketBuffers {
		t.Errorf("%d MB were read", n>>20)
	}
}
