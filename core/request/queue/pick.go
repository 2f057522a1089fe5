package queue

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/message"
)

// Candidate is a replica with its load as far as this owner knows it.
type Candidate struct {
	Replica
	// ActiveRequests counts the turns in use of this owner and, as of the last
	// report, the requests of others.
	ActiveRequests int
	// OwnTurns counts the turns in use of this owner.
	OwnTurns int

	server *server
}

// Filter decides whether a request may be sent to a server.
type Filter interface {
	Keep(ask *message.TurnRequest, c *Candidate) bool
}

// Scorer rates a server for a request; a higher score is better. all holds the
// candidates that passed the filters.
type Scorer interface {
	Score(ask *message.TurnRequest, c *Candidate, all []Candidate) float64
}

// Picker chooses a server for a request.
type Picker interface {
	// Pick returns the index of a candidate, or -1 if none is suitable.
	Pick(ask *message.TurnRequest, all []Candidate) int
}

// FilterFunc adapts a function to the Filter interface.
type FilterFunc func(ask *message.TurnRequest, c *Candidate) bool

// Keep implements Filter.
func (f FilterFunc) Keep(ask *message.TurnRequest, c *Candidate) bool { return f(ask, c) }

// Ready accepts servers that have the target loaded and accept new requests.
func Ready(_ *message.TurnRequest, c *Candidate) bool { return c.State == Loaded && c.usable() }

// HasCapacity accepts servers with fewer requests than their concurrency.
func HasCapacity(_ *message.TurnRequest, c *Candidate) bool { return c.ActiveRequests < c.Concurrency }

// NotAvoided accepts servers that the request has not failed on.
func NotAvoided(ask *message.TurnRequest, c *Candidate) bool {
	return !slices.Contains(ask.Avoid, c.Backend)
}

// LeastLoaded prefers the server with the smallest part of its concurrency in use.
type LeastLoaded struct{}

// Score implements Scorer. The score is between -1 (full) and 0 (idle).
func (LeastLoaded) Score(_ *message.TurnRequest, c *Candidate, _ []Candidate) float64 {
	return -float64(c.ActiveRequests) / float64(max(c.Concurrency, 1))
}

// DefaultMaxLoadRatio is the default of PrefixAffinity.MaxLoadRatio.
const DefaultMaxLoadRatio = 1.25

// PrefixAffinity prefers the same server for the same prompt prefix, because the
// prefix is probably cached there, unless that server would have more than
// MaxLoadRatio times the mean load.
type PrefixAffinity struct{ MaxLoadRatio float64 }

// Score implements Scorer. The score is 0 without a prefix or above
// MaxLoadRatio, otherwise between 2 and 3.
func (p PrefixAffinity) Score(ask *message.TurnRequest, c *Candidate, all []Candidate) float64 {
	if ask.PrefixHash == 0 {
		return 0
	}
	total := 1
	for i := range all {
		total += all[i].ActiveRequests
	}
	if float64(c.ActiveRequests+1) > math.Ceil(p.MaxLoadRatio*float64(total)/float64(len(all))) {
		return 0
	}
	return 2 + affinity(ask.PrefixHash, c)
}

// affinity maps a prefix and a server to a number between 0 and 1 (rendezvous
// hashing).
func affinity(prefix uint64, c *Candidate) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(c.Backend))
	return float64(d.Sum64()) / math.MaxUint64
}

// Chain is a Picker that chooses the candidate with the highest sum of scores among
// those that pass all filters; the first one wins a tie.
type Chain struct {
	Filters []Filter
	Scorers []Scorer
}

// DefaultPicker returns the policy that README.md describes.
func DefaultPicker() Chain {
	return Chain{
		Filters: []Filter{FilterFunc(Ready), FilterFunc(NotAvoided), FilterFunc(HasCapacity)},
		Scorers: []Scorer{PrefixAffinity{MaxLoadRatio: DefaultMaxLoadRatio}, LeastLoaded{}},
	}
}

// Pick implements Picker. It reorders all.
func (p Chain) Pick(ask *message.TurnRequest, all []Candidate) int {
	n := 0
	for i := range all {
		if p.keep(ask, &all[i]) {
			all[n], all[i] = all[i], all[n]
			n++
		}
	}
	best, bestScore := -1, math.Inf(-1)
	for i := range all[:n] {
		if s := p.score(ask, &all[i], all[:n]); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func (p Chain) keep(ask *message.TurnRequest, c *Candidate) bool {
	for _, f := range p.Filters {
		if !f.Keep(ask, c) {
			return false
		}
	}
	return true
}

func (p Chain) score(ask *message.TurnRequest, c *Candidate, all []Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scorers {
		sum += s.Score(ask, c, all)
	}
	return sum
}
