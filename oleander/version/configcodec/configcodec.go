// Package configcodec is the encoded form of configuration changes and of whole
// configurations, as they stand in rows, objects and messages.
//
// A change is JSON. A whole configuration, a snapshot, is the change that leads
// to it from nothing, together with its version, compressed. Decoding is
// strict: an instance that met a field it does not know would otherwise run on
// a configuration other than the accepted one without a sign of it.
package configcodec

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/version"
)

// MaxBytes bounds an encoded change and a snapshot before compression.
const MaxEncodedSize = 64 << 20

var (
	// ErrTooLarge says that a change or snapshot is above MaxBytes.
	ErrTooLarge = errors.New("configuration is larger than 64 MiB")
	// ErrMalformed says that the bytes are not what this package encodes.
	ErrMalformed = errors.New("configuration can't be decoded")
)

// snapshot is the JSON form of a whole configuration.
type snapshot struct {
	Version id.ConfigVersion `json:"version"`
	Items   version.Change   `json:"items"`
}

// EncodeChange encodes c; the same change always gives the same bytes. The
// error is ErrTooLarge.
func EncodeChange(c version.Change) ([]byte, error) { return encode(c) }

// DecodeChange decodes what EncodeChange made. The error wraps ErrTooLarge or
// ErrMalformed.
func DecodeChange(b []byte) (version.Change, error) {
	var c version.Change
	if err := decode(b, &c); err != nil {
		return version.Change{}, err
	}
	return c, nil
}

// EncodeSnapshot encodes the whole of c. The error is ErrTooLarge.
func EncodeSnapshot(c *config.Config) ([]byte, error) {
	encoded, err := encode(snapshot{Version: c.Version, Items: version.Diff(nil, c)})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return b.Bytes(), nil
}

// DecodeSnapshot decodes what EncodeSnapshot made. The error wraps ErrTooLarge
// or ErrMalformed.
func DecodeSnapshot(b []byte) (*config.Config, error) {
	encoded, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var s snapshot
	if err := decode(encoded, &s); err != nil {
		return nil, err
	}
	c, err := version.Apply(nil, s.Items)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	c.Version = s.Version
	return c, nil
}

// Decode carries out the effect DecodeConfig.
func DecodeConfig(e event.DecodeConfig) event.ConfigDecoded {
	c, err := decodeVersion(e)
	if err != nil {
		return event.ConfigDecoded{Version: e.Version, Err: err.Error()}
	}
	return event.ConfigDecoded{Version: e.Version, Config: c}
}

// Encode carries out the effect EncodeConfig.
func EncodeConfig(e event.EncodeConfig) event.ConfigEncoded {
	b, err := EncodeSnapshot(e.Config)
	if err != nil {
		return event.ConfigEncoded{Version: e.Config.Version, Err: err.Error()}
	}
	return event.ConfigEncoded{Version: e.Config.Version, Snapshot: b}
}

func decodeVersion(e event.DecodeConfig) (*config.Config, error) {
	c, err := decodeSnapshotOrChange(e)
	if err != nil {
		return nil, err
	}
	if c.Version != e.Version {
		return nil, errors.Wrapf(ErrMalformed, "it is version %d, not %d", c.Version, e.Version)
	}
	return c, nil
}

func decodeSnapshotOrChange(e event.DecodeConfig) (*config.Config, error) {
	if e.Snapshot != nil {
		return DecodeSnapshot(e.Snapshot)
	}
	change, err := DecodeChange(e.Change)
	if err != nil {
		return nil, err
	}
	return version.Apply(e.Base, change)
}

func encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(b) > MaxEncodedSize {
		return nil, ErrTooLarge
	}
	return b, nil
}

func decode(b []byte, target any) error {
	if len(b) > MaxEncodedSize {
		return ErrTooLarge
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(target); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.Wrap(ErrMalformed, "something follows its end")
	}
	return nil
}

// inflate decompresses b. The bound is checked on what comes out: a few bytes
// can decompress to more than the memory of an instance.
func decompress(b []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	encoded, err := io.ReadAll(io.LimitReader(z, MaxEncodedSize+1))
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(encoded) > MaxEncodedSize {
		return nil, ErrTooLarge
	}
	return encoded, nil
}
