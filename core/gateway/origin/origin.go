// Package origin remembers which version of the servers' software began each stream. What two
// versions write does not fit together, so a stream that is taken up, by an instance's second
// try or by its caller at any instance, goes on at servers of that version only.
//
// The instance that forwards the first event of a stream remembers its version and tells a few
// other instances, its keepers, so that the end of an instance loses nothing. An instance that
// does not know a stream asks the others. Nothing is guessed: a stream of which nobody knows the
// version goes on only if there was but one.
package origin

import (
	"strings"
	"time"

	"oleanderdale.org/core/clock"
)

// Requirement is the version at which a stream must go on. The zero Requirement is that of a new
// stream and allows any.
type Requirement struct {
	Begun    bool
	Software string
}

// At returns the requirement of a stream that began at a version.
func At(software string) Requirement { return Requirement{Begun: true, Software: software} }

// Allows reports whether the stream may run at a version.
func (r Requirement) Allows(software string) bool { return !r.Begun || r.Software == software }

// Compare orders requirements: that of a new stream first, the others by version.
func (r Requirement) Compare(o Requirement) int {
	if r.Begun != o.Begun {
		if o.Begun {
			return -1
		}
		return 1
	}
	return strings.Compare(r.Software, o.Software)
}

// Stream identifies a stream by a hash of the ID of the request that brought its first event.
type Stream uint64

// Record says at which version a stream began, and for how long that matters.
type Record struct {
	Stream   Stream
	Software string
	Left     time.Duration // until the caller gives up for good
}

const (
	// maxRecords bounds the records of a Book, some 100 bytes each.
	maxRecords = 1 << 16
	// maxLeft bounds how long a record is kept.
	maxLeft = 2 * time.Minute
)

// Book holds the records of an instance: of the streams that it began, and of those that it
// keeps for others. It is not safe for concurrent use.
type Book struct {
	records map[Stream]record
}

type record struct {
	software string
	until    clock.Time
	own      bool // the stream began at this instance
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{records: make(map[Stream]record)} }

// Began records a stream that began at this instance.
func (b *Book) Began(now clock.Time, r Record) { b.put(now, r, true) }

// Keep records a stream that began at another instance.
func (b *Book) Keep(now clock.Time, r Record) { b.put(now, r, false) }

func (b *Book) put(now clock.Time, r Record, own bool) {
	old, known := b.records[r.Stream]
	if known && now.Before(old.until) {
		return // a stream begins once
	}
	if r.Left <= 0 || !known && len(b.records) >= maxRecords {
		return
	}
	b.records[r.Stream] = record{software: r.Software, until: now.Add(min(r.Left, maxLeft)), own: own}
}

// Lookup returns the version at which a stream began.
func (b *Book) Lookup(now clock.Time, s Stream) (Record, bool) {
	r, ok := b.records[s]
	if !ok || !now.Before(r.until) {
		return Record{}, false
	}
	return Record{Stream: s, Software: r.software, Left: r.until.Sub(now)}, true
}

// Own returns the records of streams that began at this instance.
func (b *Book) Own(now clock.Time) []Record {
	var own []Record
	for s, r := range b.records {
		if r.own && now.Before(r.until) {
			own = append(own, Record{Stream: s, Software: r.software, Left: r.until.Sub(now)})
		}
	}
	return own
}

// Expire drops the records that no longer matter.
func (b *Book) Expire(now clock.Time) {
	for s, r := range b.records {
		if !now.Before(r.until) {
			delete(b.records, s)
		}
	}
}

// Len returns the number of records.
func (b *Book) Len() int { return len(b.records) }
