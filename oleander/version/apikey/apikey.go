// Package apikey makes the keys that callers show, and their digests.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"
	"strings"

	"oleanderdale.org/core/id"
)

// Prefix starts each key, so that one that turns up where it should not is
// recognised.
const Prefix = "odk_"

const randomBytes = 20 // bytes; 160 random bits, 32 digits of base32

// New returns a new key. It is kept nowhere.
func New() string {
	var b [randomBytes]byte
	rand.Read(b[:]) // never fails: see crypto/rand
	return Prefix + strings.ToLower(base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:]))
}

// Digest returns what is kept of a key.
func Digest(key string) id.Digest {
	sum := sha256.Sum256([]byte(key))
	return id.Digest(hex.EncodeToString(sum[:]))
}
