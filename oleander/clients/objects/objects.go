// Package objects is the client for the platform's object store, which speaks the
// S3 protocol. Each object is named by the SHA-256 digest of its content, so Put is
// idempotent and Get detects corrupted content.
package objects

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"
	"github.com/pkg/errors"

	"oleanderdale.org/core/id"
	"oleanderdale.org/oleander/clients/internal/wire"
)

// Errors of the client.
var (
	// ErrNotFound means that the store has no object with this digest.
	ErrNotFound = errors.New("object store: object not found")
	// ErrUnavailable means that the store failed or did not respond in time. A
	// Put may have taken effect.
	ErrUnavailable = errors.New("object store: unavailable")
	// ErrDigestMismatch means that the content does not match its digest.
	ErrDigestMismatch = errors.New("object store: content does not match its digest")
	// ErrTooLarge means that the object exceeds Settings.MaxObjectSize.
	ErrTooLarge = errors.New("object store: object is too large")
	// ErrInvalidSettings means that a setting is missing or malformed.
	ErrInvalidSettings = errors.New("object store: invalid settings")
)

// Defaults of Settings.
const (
	DefaultTimeout       = 10 * time.Second
	DefaultMaxObjectSize = 64 << 20 // bytes
)

// maxErrorResponseSize is added to the size limit of responses, so that error
// responses fit even if objects are small. In bytes.
const maxErrorResponseSize = 64 << 10

// Settings configures a Client.
type Settings struct {
	// Endpoint is the URL of the store, for example "http://10.0.0.1:9000".
	Endpoint  string
	Region    string
	Bucket    string
	Prefix    string // prepended to each object name, for example "config/"
	AccessKey string
	SecretKey string
	// Timeout is the timeout of each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxObjectSize is the maximum size of an object, in bytes; 0 means
	// DefaultMaxObjectSize.
	MaxObjectSize int64
}

// Client reads and writes objects. It is safe for concurrent use.
type Client struct {
	core     *minio.Core
	settings Settings
}

// New returns a client without connecting to the store. The error wraps
// ErrInvalidSettings.
func New(s Settings) (*Client, error) {
	u, err := url.Parse(s.Endpoint)
	if err != nil || u.Host == "" || s.Bucket == "" || s.Region == "" {
		return nil, errors.Wrap(ErrInvalidSettings, "endpoint URL, region and bucket are required")
	}
	if s.Timeout == 0 {
		s.Timeout = DefaultTimeout
	}
	if s.MaxObjectSize == 0 {
		s.MaxObjectSize = DefaultMaxObjectSize
	}
	core, err := minio.NewCore(u.Host, &minio.Options{
		Creds:        credentials.NewStaticV4(s.AccessKey, s.SecretKey, ""),
		Secure:       u.Scheme == "https",
		Transport:    wire.NewTransport(wire.Options{MaxBodySize: s.MaxObjectSize + maxErrorResponseSize}),
		Region:       s.Region,
		BucketLookup: minio.BucketLookupPath,
		MaxRetries:   1,
	})
	if err != nil {
		return nil, errors.Wrap(ErrInvalidSettings, err.Error())
	}
	return &Client{core: core, settings: s}, nil
}

// Digest returns the digest under which body is stored.
func Digest(body []byte) id.Digest {
	sum := sha256.Sum256(body)
	return id.Digest(hex.EncodeToString(sum[:]))
}

// Get returns the object with digest d. The error wraps ErrNotFound,
// ErrUnavailable, ErrDigestMismatch or ErrTooLarge.
func (c *Client) Get(ctx context.Context, d id.Digest) ([]byte, error) {
	if !validDigest(d) {
		return nil, errors.Wrap(ErrNotFound, "invalid digest")
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	r, info, _, err := c.core.GetObject(ctx, c.settings.Bucket, c.objectName(d), minio.GetObjectOptions{})
	if err != nil {
		return nil, convertError(err)
	}
	defer r.Close()
	if info.Size > c.settings.MaxObjectSize {
		return nil, ErrTooLarge
	}
	return c.readVerified(r, d)
}

// readVerified reads the content and checks its size and digest.
func (c *Client) readVerified(r io.Reader, d id.Digest) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.settings.MaxObjectSize+1))
	if err != nil {
		return nil, convertError(err)
	}
	if int64(len(body)) > c.settings.MaxObjectSize {
		return nil, ErrTooLarge
	}
	if Digest(body) != d {
		return nil, ErrDigestMismatch
	}
	return body, nil
}

// Put stores body and returns its digest. The error wraps ErrUnavailable or
// ErrTooLarge. Calling Put again is safe.
func (c *Client) Put(ctx context.Context, body []byte) (id.Digest, error) {
	if int64(len(body)) > c.settings.MaxObjectSize {
		return "", ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.Timeout)
	defer cancel()
	d := Digest(body)
	opts := minio.PutObjectOptions{DisableContentSha256: true}
	_, err := c.core.PutObject(ctx, c.settings.Bucket, c.objectName(d), bytes.NewReader(body), int64(len(body)), "", string(d), opts)
	if err != nil {
		return "", convertError(err)
	}
	return d, nil
}

func (c *Client) objectName(d id.Digest) string { return c.settings.Prefix + string(d) }

func validDigest(d id.Digest) bool {
	b, err := hex.DecodeString(string(d))
	return err == nil && len(b) == sha256.Size
}

// convertError converts an error of the S3 library to one of this package.
func convertError(err error) error {
	if errors.Is(err, wire.ErrTooLarge) {
		return ErrTooLarge
	}
	resp := minio.ToErrorResponse(err)
	if resp.StatusCode == http.StatusNotFound && resp.Code == minio.NoSuchKey {
		return ErrNotFound
	}
	return errors.Wrap(ErrUnavailable, err.Error())
}
