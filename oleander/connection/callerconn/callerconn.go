// Package callerconn keeps the connection of a caller in the context of its requests, and lets it end so that
// the part of a response that ends with its connection does not look whole.
package callerconn

import (
	"context"
	"net"
	"net/http"
)

type key struct{}

// With returns a context with a caller's connection, for http.Server.ConnContext.
func With(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, key{}, c) }

// Of returns the connection of a request's caller, nil if its context has none.
func Of(ctx context.Context) net.Conn {
	c, _ := ctx.Value(key{}).(net.Conn)
	return c
}

// Unframed is a response with neither a length nor chunks, which only the end of its connection ends.
type Unframed struct {
	w http.ResponseWriter
	c lingerer // nil: the connection is not known
}

// lingerer is implemented by net.TCPConn and what stands for one.
type lingerer interface{ SetLinger(sec int) error }

// BeginUnframed prepares a response, before its head is written, for an end that only its connection tells.
// Until End, every end of the connection is a reset, also if the process is killed: a plain end would pass for
// that of the response.
func BeginUnframed(w http.ResponseWriter, r *http.Request) *Unframed {
	if r.ProtoAtLeast(1, 1) {
		w.Header().Set("Transfer-Encoding", "identity") // keeps net/http from sending chunks
	}
	c, _ := Of(r.Context()).(lingerer)
	if c != nil {
		_ = c.SetLinger(0)
	}
	return &Unframed{w, c}
}

// End lets the connection end plainly, once all of the response is with the kernel. It does nothing on a nil Unframed.
func (u *Unframed) End() {
	if u == nil || http.NewResponseController(u.w).Flush() != nil {
		return
	}
	if u.c != nil {
		_ = u.c.SetLinger(-1)
	}
}
