// Package id holds the typed names that every other package of the core uses.
// A name is an opaque string: nothing may be parsed out of it except where a
// function of this package says so.
package id

import "strings"

type (
	// Instance names one run of an entry instance. A restarted process has
	// a new name, so that what the old run owned is never mistaken for its own.
	Instance string
	// Zone names an availability zone.
	Zone string
	// Backend names a backend server.
	Backend string
	// Group names a group of alike backend servers with one owner.
	Group string
	// Account names a client account.
	Account string
	// Service names a plain service.
	Service string
	// Artifact names what a model engine can load: a model ("m") or an
	// adapter of a model ("m:a").
	Artifact string
	// Request names one accepted request; it is unique over all instances.
	Request string
	// Attempt names one try of a request at one backend server.
	Attempt string
	// Order names one load or unload order.
	Order string
	// Digest is a lower-case hexadecimal SHA-256.
	Digest string
)

// Fencing is a number that grows with each change of ownership. A receiver
// that checks it refuses whatever carries a smaller one.
type Fencing uint64

// ConfigVersion numbers the accepted configurations, starting at 1; 0 is none.
type ConfigVersion uint64

// AdapterSeparator stands between model and adapter in an Artifact.
const AdapterSeparator = ":"

// Adapter builds the artifact of adapter name on model.
func Adapter(model Artifact, name string) Artifact {
	return model + AdapterSeparator + Artifact(name)
}

// Model returns the base model of a.
func (a Artifact) Model() Artifact {
	m, _, _ := strings.Cut(string(a), AdapterSeparator)
	return Artifact(m)
}

// IsAdapter reports whether a is an adapter.
func (a Artifact) IsAdapter() bool { return strings.Contains(string(a), AdapterSeparator) }
