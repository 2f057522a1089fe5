package callermem

import (
	"context"
	"io"

	"oleanderdale.org/core/gateway/membudget"
)

// ReadAll reads a response of at most limit bytes, each part charged before it is read. length is that of the response,
// or below zero if it is not known. Its errors are those of Charge and of reading, and ErrTooLarge.
func (h *Holding) ReadAll(ctx context.Context, r io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		return h.readLength(ctx, r, length)
	}
	var parts [][]byte
	for total := int64(0); ; {
		if err := h.Charge(ctx, membudget.Chunk); err != nil {
			return nil, err
		}
		part, err := readPart(r, make([]byte, membudget.Chunk))
		if len(part) > 0 {
			parts, total = append(parts, part), total+int64(len(part))
		}
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case err == io.EOF:
			return h.Join(ctx, parts)
		case err != nil:
			return nil, err
		}
	}
}

// readLength reads a response of known length.
func (h *Holding) readLength(ctx context.Context, r io.Reader, length int64) ([]byte, error) {
	body := make([]byte, length) // the kernel gives its pages as they are written
	for read := int64(0); read < length; {
		n := min(membudget.Chunk, length-read)
		if err := h.Charge(ctx, n); err != nil {
			return nil, err
		}
		if _, err := io.ReadFull(r, body[read:read+n]); err != nil {
			return nil, err
		}
		read += n
	}
	h.Complete()
	return body, nil
}
