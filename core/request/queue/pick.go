package queue

import (
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"oleanderdale.org/core/message"
)

// Candidate is a replica with what this owner knows of its load.
type Candidate struct {
	Replica
	// Load is the turns in use of this owner and, as last reported, the
	// requests of others.
	Load int
	// Open is the turns in use of this owner.
	Open int

	server *server
}

// Filter says whether a request may go to a server.
type Filter interface {
	Keep(ask *message.TurnRequest, c *Candidate) bool
}

// Scorer rates a server for a request, the higher the better. All holds the
// candidates that passed the filters.
type Scorer interface {
	Score(ask *message.TurnRequest, c *Candidate, all []Candidate) float64
}

// Picker chooses a server for a request.
type Picker interface {
	// Pick returns the index of a candidate, -1 if none will do.
	Pick(ask *message.TurnRequest, all []Candidate) int
}

// FilterFunc is a function as a Filter.
type FilterFunc func(ask *message.TurnRequest, c *Candidate) bool

// Keep implements Filter.
func (f FilterFunc) Keep(ask *message.TurnRequest, c *Candidate) bool { return f(ask, c) }

// Ready keeps servers that have the target loaded and take new work.
func Ready(_ *message.TurnRequest, c *Candidate) bool { return c.State == Loaded && c.usable() }

// HasRoom keeps servers below their concurrency.
func HasRoom(_ *message.TurnRequest, c *Candidate) bool { return c.Load < c.Concurrency }

// NotAvoided keeps servers that the request did not fail on.
func NotAvoided(ask *message.TurnRequest, c *Candidate) bool {
	return !slices.Contains(ask.Avoid, c.Backend)
}

// LeastLoaded prefers the server with the smallest part of its concurrency in
// use.
type LeastLoaded struct{}

// Score implements Scorer, from -1 (full) to 0 (empty).
func (LeastLoaded) Score(_ *message.TurnRequest, c *Candidate, _ []Candidate) float64 {
	return -float64(c.Load) / float64(max(c.Concurrency, 1))
}

// DefaultAffinityBound is how far above the mean load prefix affinity may fill
// a server.
const DefaultAffinityBound = 1.25

// PrefixAffinity prefers the same server for the same prompt prefix, where it
// is likely cached, unless that server has more than Bound times the mean load.
type PrefixAffinity struct{ Bound float64 }

// Score implements Scorer: 0 without a prefix or beyond the bound, else from 2
// to 3.
func (p PrefixAffinity) Score(ask *message.TurnRequest, c *Candidate, all []Candidate) float64 {
	if ask.PrefixHash == 0 {
		return 0
	}
	total := 1
	for i := range all {
		total += all[i].Load
	}
	if float64(c.Load+1) > math.Ceil(p.Bound*float64(total)/float64(len(all))) {
		return 0
	}
	return 2 + affinity(ask.PrefixHash, c)
}

func affinity(prefix uint64, c *Candidate) float64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], prefix)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(string(c.Backend))
	return float64(d.Sum64()) / math.MaxUint64
}

// Chain is a Picker that takes the best sum of scores among what passes all
// filters; the first one wins a tie.
type Chain struct {
	Filters []Filter
	Scorers []Scorer
}

// DefaultPicker returns the policy of README.md.
func DefaultPicker() Chain {
	return Chain{
		Filters: []Filter{FilterFunc(Ready), FilterFunc(NotAvoided), FilterFunc(HasRoom)},
		Scorers: []Scorer{PrefixAffinity{Bound: DefaultAffinityBound}, LeastLoaded{}},
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
	best, most := -1, math.Inf(-1)
	for i := range all[:n] {
		if s := p.score(ask, &all[i], all[:n]); s > most {
			best, most = i, s
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
