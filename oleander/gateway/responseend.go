package gateway

import (
	"net/http"

	"github.com/rs/zerolog"

	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/oleander/connection/callerconn"
	"oleanderdale.org/oleander/connection/rawhttp"
)

// responseEnd says how the response of the last attempt ended, for the final log line.
type responseEnd struct {
	withConnection bool // the response had neither a length nor chunks
	relayed        bool // it came over a connection of another instance
	partialBytes   int  // of a stream, after its last complete event
	verdict        ending.Verdict
}

func newResponseEnd(c *rawhttp.Conn, resp *http.Response) responseEnd {
	return responseEnd{withConnection: rawhttp.EndsWithConnection(resp), relayed: c.Indirect}
}

// judge decides whether the response, which was read to its end, is whole. s describes a
// stream; nil: the response is none.
func (r *responseEnd) judge(s *ending.Stream) ending.Verdict {
	r.verdict = ending.Response{EndsWithConnection: r.withConnection, Stream: s}.Verdict()
	return r.verdict
}

// log adds what is not the rule.
func (r responseEnd) log(e *zerolog.Event) *zerolog.Event {
	if r.withConnection {
		e = e.Bool("ended_with_connection", true).Stringer("end", r.verdict)
	}
	if r.relayed {
		e = e.Bool("relayed", true)
	}
	if r.partialBytes > 0 {
		e = e.Int("partial_event_bytes", r.partialBytes)
	}
	return e
}

// beginUnframed prepares the caller's response for an end that only its connection tells.
func (x *exchange) beginUnframed() { x.unframed = callerconn.BeginUnframed(x.w, x.r) }
