// Package id defines the identifier types used throughout the core. An identifier
// is an opaque string; only functions of this package may parse one.
package id

import "strings"

type (
	// Instance identifies one run of an entry instance. A restarted process gets
	// a new one, so that it never takes what the previous run owned for its own.
	Instance string
	// Zone names an availability zone.
	Zone string
	// Backend names a backend server.
	Backend string
	// Group names a group of identical backend servers.
	Group string
	// Account names a client account.
	Account string
	// Service names a plain service.
	Service string
	// Artifact names a model ("m") or an adapter of a model ("m:a"), the units
	// that a model engine loads.
	Artifact string
	// Request identifies a request; it is unique over all instances.
	Request string
	// Attempt identifies one attempt to run a request on a backend server.
	Attempt string
	// Order identifies an order to a model engine to load or unload an artifact.
	Order string
	// Digest is a lower-case hexadecimal SHA-256.
	Digest string
)

// Fencing is a fencing number: it grows with each change of ownership, and a
// receiver that checks it refuses orders that carry a smaller number than one it
// has already seen.
type Fencing uint64

// ConfigVersion numbers the accepted configurations from 1; 0 means none.
type ConfigVersion uint64

// AdapterSeparator separates model and adapter in an Artifact.
const AdapterSeparator = ":"

// Adapter returns the artifact for the named adapter of model.
func Adapter(model Artifact, name string) Artifact {
	return model + AdapterSeparator + Artifact(name)
}

// Model returns the model of a, which is a itself unless a is an adapter.
func (a Artifact) Model() Artifact {
	m, _, _ := strings.Cut(string(a), AdapterSeparator)
	return Artifact(m)
}

// IsAdapter reports whether a is an adapter.
func (a Artifact) IsAdapter() bool { return strings.Contains(string(a), AdapterSeparator) }
