package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"oleanderdale.org/core/gateway/directory"
	"oleanderdale.org/core/gateway/ending"
	"oleanderdale.org/core/gateway/eventstream"
	"oleanderdale.org/core/gateway/membudget"
	"oleanderdale.org/oleander/connection/rawhttp"
	"oleanderdale.org/oleander/process/boottime"
)

// relayStream forwards a stream in whole events: a server may fail in the middle of
// an event, and a stream that continues at another server must not repeat half of
// one.
func (x *exchange) relayStream(t target, c *rawhttp.Conn, resp *http.Response) attemptResult {
	var pending []byte
	var scanner eventstream.Scanner
	resumed := x.lastEventID != ""
	x.releaseBodyBeforeResponse()
	buffer := make([]byte, 4<<10)
	for {
		readFrom := boottime.Now()
		n, err := resp.Body.Read(buffer)
		waited := boottime.Now().Sub(readFrom)
		if n > 0 {
			x.g.serverHeard(t, c)
		}
		end := scanner.Scan(buffer[:n])
		if end > 0 {
			end += len(pending)
		}
		pending = append(pending, buffer[:n]...)
		if err != nil {
			x.responseEnd.partialBytes = len(pending) - end
		}
		x.timing.serverRead(waited, end > 0)
		if end > 0 {
			x.beginStream(t)
			x.recordSurvival()
			if writeErr := x.forwardEvents(resp, pending[:end]); writeErr != nil {
				c.Abort()
				x.g.attemptEnded(t.id, x.call.Model, directory.Neutral)
				x.possibleRuns++
				return x.writeFailed(resp.StatusCode, writeErr)
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case len(pending) > maxEventBytes:
			return x.attemptFailed(t, c, errEventTooBig)
		case err == io.EOF:
			return x.streamEnded(t, c, resp, &ending.Stream{InEvent: scanner.InEvent(), Events: scanner.Events(), Resumed: resumed})
		case err != nil:
			return x.attemptFailed(t, c, bodyError(c, err))
		}
		if x.mayFailOver() {
			pause := max(minEventTimeout, eventTimeoutFactor*x.route.PauseObjective)
			c.SetReadDeadline(wallTime(min(x.deadline.Add(responseGrace), boottime.Now().Add(pause))))
		}
	}
}

// streamEnded ends a stream whose server sent no more.
func (x *exchange) streamEnded(t target, c *rawhttp.Conn, resp *http.Response, s *ending.Stream) attemptResult {
	verdict := x.responseEnd.judge(s)
	switch {
	case verdict == ending.BrokenOff:
		return x.attemptFailed(t, c, errors.New("stream ended in the middle of an event or before the first"))
	case verdict == ending.Unconfirmed && x.responseStarted && x.unframed == nil:
		// An earlier server's part is on its way in chunks, and a last one would claim the end.
		return x.attemptFailed(t, c, invalidf("end of the resumed stream is not confirmed"))
	}
	if verdict == ending.Unconfirmed {
		return x.streamUnconfirmed(t, c, resp)
	}
	x.releaseConn(c, resp)
	x.attemptAnswered(t, resp.StatusCode)
	x.endStream(resp)
	return resultDone
}

// writeResponseHead writes the status and headers, which remain those of the first
// server.
func (x *exchange) writeResponseHead(resp *http.Response) {
	copyHeader(x.w.Header(), resp.Header)
	if x.responseEnd.withConnection || !x.r.ProtoAtLeast(1, 1) {
		x.beginUnframed()
	}
	x.beginResponse()
	x.w.WriteHeader(resp.StatusCode)
}

// forwardEvents writes whole events.
func (x *exchange) forwardEvents(resp *http.Response, events []byte) error {
	x.timing.firstEventArrived()
	x.endPrefill()
	x.limitWriteTime()
	if !x.responseStarted {
		x.writeResponseHead(resp)
	}
	for part := range slices.Chunk(events, membudget.Chunk) {
		x.limitWriteTime()
		if _, err := x.w.Write(part); err != nil {
			return errors.Wrap(err, "front: write response")
		}
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return errors.Wrap(err, "front: flush response")
	}
	x.timing.partForwarded(x.arrived)
	x.recordEvents(events)
	x.unconfirmed = nil
	x.continuation.Continued()
	x.returnRetries()
	return nil
}

// recordEvents remembers the ID of the last event, after which another server would
// continue.
func (x *exchange) recordEvents(events []byte) {
	for _, line := range strings.FieldsFunc(string(events), func(r rune) bool { return r == '\n' || r == '\r' }) {
		if id, ok := strings.CutPrefix(line, "id:"); ok {
			x.lastEventID = strings.TrimSpace(id)
			x.eventCount++
		}
	}
}
