package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/internal/testutil"
)

const (
	// smallBuffer is the size of the receive buffers of callers that read late, in bytes.
	smallBuffer = 4 << 10
	// lastPart is what follows the last full part of a response, in bytes.
	lastPart = 1000
)

// Guards against the last part of a response without length that is not yet sent when the instance ends, and whose lack passes for the end.
func TestUnsentRestOfUnframedResponseIsNoEnd(t *testing.T) {
	for _, memory := range []int64{0, 64 << 20} {
		t.Run(fmt.Sprintf("memory %d MB", memory>>20), func(t *testing.T) {
			f := newFixture(t, config(1))
			f.memory, f.slots = memory, 1000
			f.backend("s", "plain", func(w http.ResponseWriter, r *http.Request) {
				var size int
				_, _ = fmt.Sscanf(r.URL.Path, "/order/%d", &size)
				unframed(0, strings.Repeat("x", size))(w, r)
			})
			f.start()
			g := f.gateways[0]
			l := testutil.Listen(t)
			var conns atomic.Int64
			server := &http.Server{Handler: g, ReadHeaderTimeout: time.Second, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				ctx = callerconn.With(ctx, c)
				_ = c.(*net.TCPConn).SetWriteBuffer(int(conns.Add(1)) * 512)
				return ctx
			}}
			go func() { _ = server.Serve(l) }()
			ended := make(chan struct{})
			var callers, sent sync.WaitGroup
			for i := range 240 {
				size := firstBodyBuffer + i%3*membudget.Chunk + lastPart
				sent.Add(1)
				callers.Go(func() {
					c, err := net.Dial("tcp", l.Addr().String())
					if err != nil {
						t.Error(err)
						sent.Done()
						return
					}
					defer func() { _ = c.Close() }()
					_ = c.(*net.TCPConn).SetReadBuffer(smallBuffer)
					_, _ = fmt.Fprintf(c, "POST /order/%d HTTP/1.1\r\nHost: %s\r\n%s: r%d\r\n%s: secret\r\nContent-Length: 0\r\n\r\n", size, testHost, testID, i, testKey)
					sent.Done()
					<-ended
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK && len(body) != size {
						t.Errorf("%d of %d bytes, then a plain end", len(body), size)
					}
				})
			}
			sent.Wait()
			time.Sleep(700 * time.Millisecond)
			_ = server.Close()
			close(ended)
			callers.Wait()
		})
	}
}
