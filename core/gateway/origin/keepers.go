package origin

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Instance is another instance that may keep records.
type Instance struct {
	Name string
	Zone string
}

const (
	// keptAnywhere and keptInZone are how many keepers a stream has: those in any zone survive
	// that of the instance where it began, the others a cut between zones.
	keptAnywhere = 2
	keptInZone   = 1
	// askAll is the number of instances up to which all are asked. Of more, those that rank
	// highest are: views of who is there differ a little.
	askAll        = 16
	askedAnywhere = 6
	askedInZone   = 4
)

// Keepers returns the instances that an instance of a zone tells of a stream that began there.
func Keepers(s Stream, zone string, others []Instance) []string {
	return choose(s, zone, others, keptAnywhere, keptInZone)
}

// Asked returns the instances that an instance of a zone asks for a stream.
func Asked(s Stream, zone string, others []Instance) []string {
	if len(others) <= askAll {
		return choose(s, zone, others, len(others), 0)
	}
	return choose(s, zone, others, askedAnywhere, askedInZone)
}

// choose returns the first instances in the rendezvous order of a stream, and after these the
// first others of a zone.
func choose(s Stream, zone string, others []Instance, anywhere, inZone int) []string {
	ranked := slices.Clone(others)
	slices.SortFunc(ranked, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(weight(s, b.Name), weight(s, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for i, other := range ranked {
		switch {
		case i < anywhere:
		case inZone > 0 && other.Zone == zone:
			inZone--
		default:
			continue
		}
		names = append(names, other.Name)
	}
	return names
}

func weight(s Stream, name string) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(s))
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(name)
	return d.Sum64()
}
