// Package apikey creates API keys for callers and computes their digests.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"

	"oleanderdale.org/core/id"
)

// Prefix starts each key, so that a leaked key can be recognised.
const Prefix = "odk_"

const randomBytes = 20 // bytes; 160 random bits, 32 digits of base32

// New returns a new random key. The key is not stored.
func New() string {
	var b [randomBytes]byte
	rand.Read(b[:]) // never returns an error, see crypto/rand
	return Prefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
}

// Digest returns the SHA-256 digest of a key. Only the digest is stored in the
// configuration.
func Digest(key string) id.Digest {
	sum := sha256.Sum256([]byte(key))
	return id.Digest(hex.EncodeToString(sum[:]))
}
