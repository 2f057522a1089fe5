package placement

import (
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// candidate is a backend server as the filters and scorers see it.
type candidate struct {
	backend   id.Backend
	artifact  config.Artifact
	group     id.Group
	usable    bool
	avoid     bool // was asked before and did not start the load
	standby   bool // the artifact is pre-authorised there
	base      bool // the adapter's model is loaded there
	level     message.CacheLevel
	state     message.LoadState
	free      int64 // bytes
	evictable int64 // bytes of artifacts that run nothing, or go already
	running   int
	slots     int // requests at a time
}

// filter says whether a candidate can be used at all.
type filter interface{ pass(c candidate) bool }

// scorer says how good a candidate is, 0 to 1.
type scorer interface{ score(c candidate) float64 }

type filterFunc func(candidate) bool

func (f filterFunc) pass(c candidate) bool { return f(c) }

type scorerFunc func(candidate) float64

func (f scorerFunc) score(c candidate) float64 { return f(c) }

// weighted is a scorer and how much it counts.
type weighted struct {
	scorer scorer
	weight float64
}

var filters = []filter{
	filterFunc(func(c candidate) bool { return c.group == c.artifact.Group }),
	filterFunc(func(c candidate) bool { return c.usable }),
	filterFunc(func(c candidate) bool { return c.state == Cold }),
	filterFunc(func(c candidate) bool { return c.standby || c.free+c.evictable >= c.artifact.Bytes }),
}

// The weights make each scorer outweigh all that follow it, but for the last
// two.
var scorers = []weighted{
	{scorerFunc(scoreFresh), 32},
	{scorerFunc(scoreStandby), 16},
	{scorerFunc(scoreCache), 8},
	{scorerFunc(scoreBase), 4},
	{scorerFunc(scoreFree), 1},
	{scorerFunc(scoreLoad), 1},
}

func scoreFresh(c candidate) float64 { return one(!c.avoid) }

func scoreStandby(c candidate) float64 { return one(c.standby) }

func scoreCache(c candidate) float64 { return float64(2-levelRank(c.level)) / 2 }

func scoreBase(c candidate) float64 { return one(c.base) }

func scoreFree(c candidate) float64 { return one(c.free >= c.artifact.Bytes) }

func scoreLoad(c candidate) float64 { return 1 / float64(1+max(c.running, 0)) }

func one(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// pick returns the backend server to load c on, "" if there is none. The first
// by name wins a tie.
func (p *Placement) pick(c config.Artifact, avoid id.Backend) id.Backend {
	var best id.Backend
	most := -1.0
	for _, v := range p.sorted {
		if v.group.Name != c.Group {
			continue
		}
		one := p.candidate(v, c, avoid)
		if s := rate(one); passes(one) && s > most {
			best, most = v.name, s
		}
	}
	return best
}

func passes(c candidate) bool {
	for _, f := range filters {
		if !f.pass(c) {
			return false
		}
	}
	return true
}

func rate(c candidate) float64 {
	sum := 0.0
	for _, w := range scorers {
		sum += w.weight * w.scorer.score(c)
	}
	return sum
}

func (p *Placement) candidate(v *view, c config.Artifact, avoid id.Backend) candidate {
	one := candidate{
		backend: v.name, artifact: c, group: v.group.Name, usable: v.usable(), avoid: v.name == avoid,
		standby: p.standbys[c.Name] == v.name, level: v.level(c.Name), state: v.held[c.Name].State,
		base: c.Name.IsAdapter() && v.held[c.Name.Model()].State == message.Loaded,
		free: v.free, running: v.report.Running, slots: v.group.Concurrency,
	}
	for _, h := range v.report.Held {
		if h.State == message.Unloading || (h.State == message.Loaded && h.Running == 0) {
			one.evictable += h.Bytes
		}
	}
	return one
}
