// Package badcallers stands in for callers that stop midway, send too much or read nothing, and measures what
// the process that serves them holds.
package badcallers

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pieceBytes = 4 << 10
	blockBytes = 64 << 10
	// returnPause is the time from the end of a connection until its caller opens the next one.
	returnPause = 5 * time.Millisecond
	// retryPause is the same for a caller that was closed or refused before it had sent all.
	retryPause  = 100 * time.Millisecond
	dialTimeout = 10 * time.Second
)

// Request is what all callers of a crowd ask for.
type Request struct {
	Host, Path string
	Header     string // lines that end with CRLF
	IDHeader   string // names the request
	ListHeader string // takes a list of ID:NUMBER
	BodyBytes  int    // the largest body that is allowed
}

// head returns a request's head without the empty line that ends it.
func (r Request) head(id string) string {
	return "POST " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n" + r.IDHeader + ": " + id + "\r\n" + r.Header
}

// Kind is one way to misbehave.
type Kind struct {
	Name    string
	Callers int
	// Send writes to a new connection and returns when it has nothing more to send.
	Send func(w io.Writer, r Request, id string) error
	// Reads says that answers are read. Other callers leave them with the kernel.
	Reads bool
	// Returns says that a caller whose connection was closed comes back at once.
	Returns bool
}

// Crowd is a running crowd.
type Crowd struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	// opened counts the connections, closed those that the server closed.
	opened, closed atomic.Int64
}

// Start lets all callers of a kind come to an address at once.
func Start(address string, r Request, k Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{cancel: cancel}
	for i := range k.Callers {
		c.running.Go(func() { c.call(ctx, address, r, k, i) })
	}
	return c
}

// Opened returns how many connections were opened so far, and how many of them the server closed.
func (c *Crowd) Opened() (opened, closed int64) { return c.opened.Load(), c.closed.Load() }

// Stop closes all connections and waits for the callers.
func (c *Crowd) Stop() {
	c.cancel()
	c.running.Wait()
}

// call visits the server until a visit came to the end of what it sends, or for as long as the crowd runs if the
// kind returns.
func (c *Crowd) call(ctx context.Context, address string, r Request, k Kind, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		done := c.visit(ctx, address, r, k, fmt.Sprintf("crowd-%d-%d", i, n))
		pause := retryPause
		switch {
		case k.Returns:
			pause = returnPause
		case done:
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// visit opens a connection and stays until the server closes it or the crowd is stopped. It reports whether the
// caller has sent all that it wants to, or got an answer.
func (c *Crowd) visit(ctx context.Context, address string, r Request, k Kind, id string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	c.opened.Add(1)
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	ended, answer := make(chan struct{}), int64(0)
	if k.Reads {
		go func() {
			defer close(ended)
			answer, _ = io.Copy(io.Discard, conn)
		}()
	}
	err = k.Send(conn, r, id)
	switch {
	case err != nil:
		_ = conn.Close()
	case k.Returns:
		_, _ = io.Copy(io.Discard, conn)
	case !k.Reads:
		<-ctx.Done()
	}
	if k.Reads {
		<-ended
	}
	if ctx.Err() == nil {
		c.closed.Add(1)
	}
	return err == nil || answer > 0
}

// write writes texts and stops at the first error.
func write(w io.Writer, texts ...string) error {
	for _, t := range texts {
		if _, err := io.WriteString(w, t); err != nil {
			return err
		}
	}
	return nil
}

var block = bytes.Repeat([]byte("x"), blockBytes)

// fill writes so many bytes, so many at a time.
func fill(w io.Writer, total, atATime int) error {
	for total > 0 {
		n, err := w.Write(block[:min(total, atATime, len(block))])
		if err != nil {
			return err
		}
		total -= n
	}
	return nil
}

// lengthShort sends all of a body with a length but its last byte.
func lengthShort(size func(Request) int, atATime int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		if err := write(w, r.head(id), fmt.Sprintf("Content-Length: %d\r\n\r\n", size(r))); err != nil {
			return err
		}
		return fill(w, size(r)-1, atATime)
	}
}

func largest(r Request) int { return r.BodyBytes }

// announced announces one size and sends less.
func announced(announce, send int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		if err := write(w, r.head(id), fmt.Sprintf("Content-Length: %d\r\n\r\n", announce)); err != nil {
			return err
		}
		return fill(w, send, blockBytes)
	}
}

const chunkedHead = "Transfer-Encoding: chunked\r\n\r\n"

// oneChunk sends all of one chunk but its last byte.
func oneChunk(w io.Writer, r Request, id string) error {
	if err := write(w, r.head(id), chunkedHead, fmt.Sprintf("%x\r\n", r.BodyBytes)); err != nil {
		return err
	}
	return fill(w, r.BodyBytes-1, blockBytes)
}

// tinyChunks sends a body in chunks of one byte without the last chunk.
func tinyChunks(w io.Writer, r Request, id string) error {
	if err := write(w, r.head(id), chunkedHead); err != nil {
		return err
	}
	const together = 1024
	chunks := strings.Repeat("1\r\nx\r\n", together)
	for sent := 0; sent+together < r.BodyBytes; sent += together {
		if err := write(w, chunks); err != nil {
			return err
		}
	}
	return nil
}

// endlessChunks sends so many bytes in chunks of 64 KB, without an end.
func endlessChunks(total int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		if err := write(w, r.head(id), chunkedHead); err != nil {
			return err
		}
		for sent := 0; sent < total; sent += blockBytes {
			if err := write(w, fmt.Sprintf("%x\r\n", blockBytes), string(block), "\r\n"); err != nil {
				return err
			}
		}
		return nil
	}
}

// openHead sends so many bytes of a head without its end.
func openHead(size int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		head := r.head(id)
		if err := write(w, head); err != nil {
			return err
		}
		const line = "X-Filler: " // and 100 bytes
		for sent := len(head); sent < size; sent += len(line) + 102 {
			if err := write(w, line, string(block[:100]), "\r\n"); err != nil {
				return err
			}
		}
		return nil
	}
}

// smallHeaders sends a head of small headers with names of their own, and a body without its last byte.
func smallHeaders(size int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		head := strings.Builder{}
		for n := 0; head.Len() < size; n++ {
			head.WriteString(string([]byte{'a' + byte(n%26), 'a' + byte(n/26%26), 'a' + byte(n/676%26)}) + ":\r\n")
		}
		if err := write(w, r.head(id), head.String(), "Content-Length: 100\r\n\r\n"); err != nil {
			return err
		}
		return fill(w, 99, blockBytes)
	}
}

// smallItems sends a head with one header of small items, and a body without its last byte.
func smallItems(size int) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		items := r.ListHeader + ": " + strings.Repeat("1:1,", size/4) + "1:1\r\n"
		if err := write(w, r.head(id), items, "Content-Length: 100\r\n\r\n"); err != nil {
			return err
		}
		return fill(w, 99, blockBytes)
	}
}

// longExtension sends one chunk whose extension does not end.
func longExtension(w io.Writer, r Request, id string) error {
	if err := write(w, r.head(id), chunkedHead, "1;"); err != nil {
		return err
	}
	return fill(w, 1<<20, pieceBytes)
}

// manyTrailers sends a body and trailers without their end.
func manyTrailers(w io.Writer, r Request, id string) error {
	if err := write(w, r.head(id), chunkedHead, "1\r\nx\r\n0\r\n"); err != nil {
		return err
	}
	for range 20_000 {
		if err := write(w, "X-Filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"); err != nil {
			return err
		}
	}
	return nil
}

// whole sends so many whole requests, one after the other.
func whole(count int, size func(Request) int, more string) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		for n := range count {
			if err := write(w, r.head(fmt.Sprint(id, "-", n)), more, fmt.Sprintf("Content-Length: %d\r\n\r\n", size(r))); err != nil {
				return err
			}
			if err := fill(w, size(r), blockBytes); err != nil {
				return err
			}
		}
		return nil
	}
}

func exactly(n int) func(Request) int { return func(Request) int { return n } }

func nothing(io.Writer, Request, string) error { return nil }

// Kinds returns the ways to misbehave. Bodies come from so many callers; for connections more come than the
// server may keep open. largeAnswer is a header with which a backend server answers with several megabytes.
func Kinds(bodies, connections int, largeAnswer string) []Kind {
	return []Kind{
		{Name: "length, a byte short", Callers: bodies, Send: lengthShort(largest, blockBytes), Reads: true},
		{Name: "length, a byte short, in pieces", Callers: bodies, Send: lengthShort(largest, pieceBytes), Reads: true},
		{Name: "one chunk, short", Callers: bodies, Send: oneChunk, Reads: true},
		{Name: "chunks of a byte, short", Callers: bodies, Send: tinyChunks, Reads: true},
		{Name: "1 GB announced, 24 MB sent", Callers: bodies, Send: announced(1<<30, 24<<20), Reads: true},
		{Name: "1 GB announced, 24 MB sent, nothing read", Callers: bodies, Send: announced(1<<30, 24<<20)},
		{Name: "24 MB in chunks", Callers: bodies, Send: endlessChunks(24 << 20), Reads: true},
		{Name: "24 MB in chunks, nothing read", Callers: bodies, Send: endlessChunks(24 << 20)},
		{Name: "heads of 60 KB without end", Callers: connections, Send: openHead(60 << 10), Reads: true},
		{Name: "heads of small headers, a body short", Callers: connections, Send: smallHeaders(30 << 10), Reads: true},
		{Name: "heads of small items, a body short", Callers: connections, Send: smallItems(30 << 10), Reads: true},
		{Name: "heads beyond the limit", Callers: connections, Send: openHead(1 << 20), Reads: true},
		{Name: "long chunk extensions", Callers: bodies, Send: longExtension, Reads: true},
		{Name: "trailers without end", Callers: bodies, Send: manyTrailers, Reads: true},
		{Name: "six whole bodies each, answers not read", Callers: bodies, Send: whole(6, largest, "")},
		{Name: "large answers not read", Callers: bodies, Send: whole(1, exactly(100), largeAnswer)},
		{Name: "whole bodies, answers awaited", Callers: bodies, Send: whole(1, largest, ""), Reads: true},
		{Name: "bodies of 100 bytes, a byte short", Callers: connections, Send: lengthShort(exactly(100), blockBytes), Reads: true},
		{Name: "bodies of 100 bytes, a byte short, that return", Callers: connections, Send: lengthShort(exactly(100), blockBytes), Returns: true},
		{Name: "short heads without end", Callers: connections, Send: openHead(0), Reads: true},
		{Name: "idle connections", Callers: connections, Send: nothing, Reads: true},
		{Name: "one whole request, then idle", Callers: connections, Send: whole(1, exactly(100), ""), Reads: true},
	}
}

// ManyValues sends whole JSON objects of the largest size that hold as many small values as possible.
func ManyValues(begin, end string) func(io.Writer, Request, string) error {
	return func(w io.Writer, r Request, id string) error {
		values := strings.Repeat("0,", (r.BodyBytes-len(begin)-len(end))/2)
		text := begin + strings.TrimSuffix(values, ",") + end
		return write(w, r.head(id), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(text)), text)
	}
}
