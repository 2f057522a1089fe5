package gateway

import (
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/rawhttp"
)

// forwardResponse forwards a response that must be complete before the caller gets
// any of it.
func (x *exchange) forwardResponse(t target, c *rawhttp.Conn, resp *http.Response) attemptResult {
	if x.g.memory != nil {
		return x.forwardBoundedResponse(t, c, resp)
	}
	parts, size, err := x.readResponse(resp)
	defer x.g.bufferedBytes.Add(-int64(size))
	if errors.Is(err, errNoMemory) {
		return x.noRoomForResponse(t, c)
	}
	if err != nil {
		return x.attemptFailed(t, c, bodyError(c, err))
	}
	if x.bodyBrokenOff(t) {
		return x.attemptFailed(t, c, errServerEnded)
	}
	x.releaseConn(c, resp)
	x.attemptAnswered(t, resp.StatusCode)
	x.writeBufferedHead(resp, size)
	for _, part := range parts {
		if _, err := x.w.Write(part); err != nil {
			return x.callerGone()
		}
	}
	x.unframed.End()
	x.timing.partForwarded(x.arrived)
	x.finish(resp.StatusCode, reasonAnswered)
	return resultDone
}

// noRoomForResponse ends an attempt whose response this instance has no memory for, which is no fault
// of the server.
func (x *exchange) noRoomForResponse(t target, c *rawhttp.Conn) attemptResult {
	c.Abort()
	x.g.attemptEnded(t.id, x.call.Model, directory.Neutral)
	x.g.log.Warn().Str("request", x.call.ID).Str("server", t.id).Err(errNoMemory).Msg("front: attempt failed")
	return resultBroken
}

// maxBufferedBytes bounds what is read of all responses together that must be complete before their
// callers get any of it.
const maxBufferedBytes = 48 << 20

// readResponse reads a response, in parts: a buffer that grows would hold it twice. The caller must
// subtract the size from bufferedBytes.
func (x *exchange) readResponse(resp *http.Response) (parts [][]byte, size int, err error) {
	for next := firstPartSize(resp); ; next = membudget.Chunk {
		part, err := readPart(resp.Body, make([]byte, next))
		parts, size = append(parts, part), size+len(part)
		held := x.g.bufferedBytes.Add(int64(len(part)))
		switch {
		case err == io.EOF || err == nil && resp.ContentLength == int64(size):
			return parts, size, nil
		case err != nil:
			return nil, size, err
		case size > maxResponseBytes:
			return nil, size, invalidf("response larger than %d bytes", maxResponseBytes)
		case held > maxBufferedBytes:
			return nil, size, errNoMemory
		}
	}
}

// firstPartSize returns how much of a response is read at first.
func firstPartSize(resp *http.Response) int {
	if resp.ContentLength < 0 {
		return firstBodyBuffer
	}
	return int(min(resp.ContentLength, membudget.Chunk))
}

// forwardBoundedResponse is forwardResponse with a bound on the memory.
func (x *exchange) forwardBoundedResponse(t target, c *rawhttp.Conn, resp *http.Response) attemptResult {
	x.releaseBodyBeforeResponse()
	parts, err := x.readBoundedResponse(c, resp)
	if err != nil {
		x.releaseResponse()
		if errors.Is(err, errNoMemory) {
			return x.noRoomForResponse(t, c)
		}
		return x.attemptFailed(t, c, bodyError(c, err))
	}
	if x.bodyBrokenOff(t) {
		x.releaseResponse()
		return x.attemptFailed(t, c, errServerEnded)
	}
	x.releaseConn(c, resp)
	x.endTransfer()
	x.releaseBody()
	x.attemptAnswered(t, resp.StatusCode)
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	x.writeBufferedHead(resp, size)
	if err := x.writeBoundedResponse(parts); err != nil {
		return x.writeFailed(resp.StatusCode, err)
	}
	x.unframed.End()
	x.timing.partForwarded(x.arrived)
	x.finish(resp.StatusCode, reasonAnswered)
	return resultDone
}

// writeBufferedHead writes the status and headers of a response of a size. The size goes to the
// caller only if the server confirmed it.
func (x *exchange) writeBufferedHead(resp *http.Response, size int) {
	copyHeader(x.w.Header(), resp.Header)
	switch {
	case x.r.Method == http.MethodHead:
	case x.responseEnd.verdict == ending.Unconfirmed:
		x.beginUnframed()
	default:
		x.w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	x.beginResponse()
	x.w.WriteHeader(resp.StatusCode)
}

// hopByHopHeaders concern one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

func copyHeader(to, from http.Header) {
	h := from.Clone()
	RemoveHopByHopHeaders(h) // not from to, where a stopping instance sets Connection
	maps.Copy(to, h)
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
}
