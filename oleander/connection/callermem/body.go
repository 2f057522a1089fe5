package callermem

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"oleanderdale.org/core/eviction"
	"oleanderdale.org/core/gateway/membudget"
)

const (
	// firstPart is the first buffer for a body of unknown length, maxPart the largest.
	firstPart = membudget.SmallBody
	maxPart   = 1 << 20
	// drainTimeout is how long, and drainBytes how much, of the body of a refused request is read and dropped, so
	// that a caller that reads the response only after sending its body gets it.
	drainTimeout = 2 * time.Second
	drainBytes   = 256 << 10
	// resetDelay is how long a connection with unread bytes stays open after its response: closing it resets it, and
	// a caller that is still sending would learn of the reset alone.
	resetDelay = 500 * time.Millisecond
)

// ErrTooLarge says that a body exceeds its limit.
var ErrTooLarge = errors.New("callermem: body larger than allowed")

// ReadBody reads the body of a request of at most limit bytes into parts, each charged before. Its errors are those of
// Charge and of reading, and ErrTooLarge, for a length that is announced before anything is read.
func (h *Holding) ReadBody(r *http.Request, limit int64) ([][]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	var parts [][]byte
	var err error
	if r.ContentLength > 0 {
		parts, err = h.readKnown(r)
	} else {
		parts, err = h.readUnknown(r, limit)
	}
	h.conn.enter(eviction.Busy)
	if err == nil && h.conn.Evicted() {
		return nil, os.ErrDeadlineExceeded
	}
	return parts, err
}

// readKnown reads a body of known length.
func (h *Holding) readKnown(r *http.Request) ([][]byte, error) {
	if err := h.Charge(r.Context(), r.ContentLength); err != nil {
		return nil, err
	}
	h.account.widen(h.conn, r.ContentLength)
	body := make([]byte, r.ContentLength)
	h.conn.enter(eviction.Body)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	// net/http watches the connection for a caller that leaves after the end of the body
	// was read.
	var end [1]byte
	_, _ = r.Body.Read(end[:])
	return [][]byte{body}, nil
}

// readUnknown reads a body of unknown length.
func (h *Holding) readUnknown(r *http.Request, limit int64) ([][]byte, error) {
	h.Grows(limit)
	var parts [][]byte
	total := int64(0)
	for size := min(firstPart, limit); ; size = min(max(total, membudget.Chunk), maxPart, limit-total) {
		if size == 0 {
			return parts, h.expectEnd(r)
		}
		if err := h.Charge(r.Context(), size); err != nil {
			return nil, err
		}
		if len(parts) == 1 {
			h.account.widen(h.conn, total)
		}
		h.conn.enter(eviction.Body)
		part, err := readPart(r.Body, make([]byte, size))
		h.conn.enter(eviction.Busy)
		if len(part) > 0 {
			parts, total = append(parts, part), total+int64(len(part))
		}
		if err == io.EOF {
			h.Complete()
			return parts, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// expectEnd reads the end of a body that is as large as allowed.
func (h *Holding) expectEnd(r *http.Request) error {
	h.conn.enter(eviction.Body)
	var next [1]byte
	n, err := readPart(r.Body, next[:])
	switch {
	case len(n) > 0:
		return ErrTooLarge
	case err == io.EOF:
		h.Complete()
		return nil
	}
	return err
}

// readPart reads until the buffer is full or there is an error. Unlike io.ReadFull it
// returns the reader's own error, which distinguishes the end from a truncated response.
func readPart(r io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		k, err := r.Read(buffer[n:])
		n += k
		if err != nil {
			return buffer[:n], err
		}
	}
	return buffer, nil
}

// Join returns parts that were charged as one text, and gives back what it needs no more.
func (h *Holding) Join(ctx context.Context, parts [][]byte) ([]byte, error) {
	switch len(parts) {
	case 0:
		return nil, nil
	case 1:
		return parts[0], nil
	}
	size, held := 0, 0
	for _, p := range parts {
		size, held = size+len(p), held+cap(p)
	}
	if err := h.Charge(ctx, int64(size)); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, size)
	for i, p := range parts {
		joined = append(joined, p...)
		parts[i] = nil
	}
	h.Release(int64(held))
	return joined, nil
}

// Drain reads and drops a little of what the caller still sends of the body of a refused request, whose response was
// flushed. The connection must be closed afterwards.
func Drain(w http.ResponseWriter, r *http.Request) {
	c := Of(r.Context())
	if r.Header.Get("Expect") != "" || c.Evicted() {
		return // a caller that expects 100 Continue sends nothing
	}
	control := http.NewResponseController(w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return
	}
	c.enter(eviction.Body)
	_, err := io.CopyN(io.Discard, r.Body, drainBytes)
	c.enter(eviction.Response) // until net/http has closed the connection
	if err == nil {
		time.Sleep(resetDelay)
	}
	_ = control.SetReadDeadline(time.Unix(1, 0)) // net/http reads on otherwise
}
