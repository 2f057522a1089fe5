// Package configcodec encodes configuration changes and whole configurations for
// rows, objects and messages.
//
// A change is encoded as JSON. A whole configuration, called a snapshot, is encoded
// as its version and the change from the empty configuration, in gzipped JSON.
// Decoding rejects unknown fields: an instance that ignored a field would silently
// run with a configuration other than the one that was applied.
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

// MaxEncodedSize is the maximum size of an encoded change, and of a snapshot before
// compression, in bytes.
const MaxEncodedSize = 64 << 20

var (
	// ErrTooLarge means that a change or snapshot exceeds MaxEncodedSize.
	ErrTooLarge = errors.New("configuration is larger than 64 MiB")
	// ErrMalformed means that the bytes are not a valid encoded change or snapshot.
	ErrMalformed = errors.New("encoded configuration is malformed")
)

// snapshot is the JSON form of a whole configuration.
type snapshot struct {
	Version id.ConfigVersion `json:"version"`
	Items   version.Change   `json:"items"`
}

// EncodeChange encodes a change. The encoding is deterministic. The error is
// ErrTooLarge.
func EncodeChange(c version.Change) ([]byte, error) { return encode(c) }

// DecodeChange decodes the output of EncodeChange. The error wraps ErrTooLarge or
// ErrMalformed.
func DecodeChange(b []byte) (version.Change, error) {
	var c version.Change
	if err := decode(b, &c); err != nil {
		return version.Change{}, err
	}
	return c, nil
}

// EncodeSnapshot encodes the whole configuration c. The error is ErrTooLarge.
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

// DecodeSnapshot decodes the output of EncodeSnapshot. The error wraps ErrTooLarge
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

// DecodeConfig executes the effect event.DecodeConfig.
func DecodeConfig(e event.DecodeConfig) event.ConfigDecoded {
	c, err := decodeVersion(e)
	if err != nil {
		return event.ConfigDecoded{Version: e.Version, Err: err.Error()}
	}
	return event.ConfigDecoded{Version: e.Version, Config: c}
}

// EncodeConfig executes the effect event.EncodeConfig.
func EncodeConfig(e event.EncodeConfig) event.ConfigEncoded {
	b, err := EncodeSnapshot(e.Config)
	if err != nil {
		return event.ConfigEncoded{Version: e.Config.Version, Err: err.Error()}
	}
	return event.ConfigEncoded{Version: e.Config.Version, Snapshot: b}
}

// decodeVersion decodes the configuration and checks that it has the expected
// version.
func decodeVersion(e event.DecodeConfig) (*config.Config, error) {
	c, err := decodeSnapshotOrChange(e)
	if err != nil {
		return nil, err
	}
	if c.Version != e.Version {
		return nil, errors.Wrapf(ErrMalformed, "got version %d, want %d", c.Version, e.Version)
	}
	return c, nil
}

// decodeSnapshotOrChange decodes the snapshot if there is one, or else applies the
// change to the base.
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
		return errors.Wrap(ErrMalformed, "data after the JSON value")
	}
	return nil
}

// decompress decompresses b. It limits the size of the output, because a few bytes
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
