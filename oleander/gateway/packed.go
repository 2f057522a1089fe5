package gateway

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strings"
	"sync"
)

// packedManifest is a manifest as stored, and compressed once for all instances that
// fetch it. A version with a thousand routes has a few hundred kilobytes and
// compresses well; uncompressed, forty instances waited seconds for the network link
// of the instance that they fetched it from.
type packedManifest struct {
	plain      []byte
	compressed func() []byte // nil if compression failed
}

func newPackedManifest(plain []byte) *packedManifest {
	return &packedManifest{plain: plain, compressed: sync.OnceValue(func() []byte { return compress(plain) })}
}

func compress(plain []byte) []byte {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil
	}
	if _, err := w.Write(plain); err != nil {
		return nil
	}
	if err := w.Close(); err != nil {
		return nil
	}
	return b.Bytes()
}

// serveManifest sends the current manifest to another instance.
func (g *Gateway) serveManifest(w http.ResponseWriter, r *http.Request) {
	m := g.packedManifest.Load()
	if m == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body := m.plain
	if c := m.compressed(); c != nil && strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		body = c
	}
	_, _ = w.Write(body) // the other instance retries elsewhere
}
