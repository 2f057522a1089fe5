package catalog

import (
	"maps"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// maxTransfers is how many instances one instance gives its entries to at a time. Those
	// that are refused ask the ones that are being served. More share one link, fewer leave
	// it idle between pages.
	maxTransfers = 4
	// transferTimeout is the time after the last request for a page after which a transfer
	// counts as broken off.
	transferTimeout = 2 * time.Second
	// maxAdvised bounds the list of instances that a busy one names.
	maxAdvised = 32
)

// Source decides to how many instances this one gives its entries at a time. It is not safe
// for concurrent use. The zero value serves nobody yet.
type Source struct {
	active map[string]clock.Time // last request of each instance that is being served
	served []string              // those that got all entries, the latest last
}

// Admit reports whether an instance that asks for a page is served, and otherwise which
// others have the entries or get them. An instance that is being served always is.
func (s *Source) Admit(now clock.Time, name string) (ok bool, others []string) {
	maps.DeleteFunc(s.active, func(_ string, at clock.Time) bool { return now.Sub(at) > transferTimeout })
	if _, active := s.active[name]; !active && len(s.active) >= maxTransfers {
		return false, slices.AppendSeq(slices.Clone(s.served), maps.Keys(s.active))
	}
	if s.active == nil {
		s.active = make(map[string]clock.Time)
	}
	s.active[name] = now
	return true, nil
}

// Completed records that an instance got the last page.
func (s *Source) Completed(name string) {
	delete(s.active, name)
	s.served = slices.DeleteFunc(s.served, func(n string) bool { return n == name })
	s.served = append(s.served, name)
	s.served = s.served[max(0, len(s.served)-maxAdvised):]
}
