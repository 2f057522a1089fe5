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
	avoid     bool    // was asked before and did not start the load
	standby   bool    // the artifact is pre-authorised there
	base      float64 // 1: the adapter's model is there; 0.5: pre-authorised there
	bytes     int64   // to load, with the adapter's model if it is not there
	level     message.CacheLevel
	state     message.LoadState
	free      int64 // bytes
	evictable int64 // bytes of artifacts that run nothing, or go already
	running   int
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
	filterFunc(func(c candidate) bool { return c.standby || c.free+c.evictable >= c.bytes }),
}

// The weights make each scorer outweigh those that follow it. The adapter's
// model counts before its own place: loading a model takes much longer.
var scorers = []weighted{
	{scorerFunc(scoreFresh), 32},
	{scorerFunc(scoreBase), 16},
	{scorerFunc(scoreStandby), 6},
	{scorerFunc(scoreCache), 3},
	{scorerFunc(scoreFree), 1},
	{scorerFunc(scoreLoad), 1},
}

func scoreFresh(c candidate) float64 { return one(!c.avoid) }

func scoreStandby(c candidate) float64 { return one(c.standby) }

func scoreCache(c candidate) float64 { return float64(2-levelRank(c.level)) / 2 }

func scoreBase(c candidate) float64 { return c.base }

func scoreFree(c candidate) float64 { return one(c.free >= c.bytes) }

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
	base, bytes := p.baseAt(v, c)
	free := v.free
	if p.standbys[c.Name] == "" {
		free = max(free, v.poolFree()) // it can get its standby right there
	}
	return candidate{
		backend: v.name, artifact: c, group: v.group.Name, usable: v.usable(), avoid: v.name == avoid,
		standby: p.standbys[c.Name] == v.name, level: v.level(c.Name), state: v.held[c.Name].State,
		base: base, bytes: bytes,
		free: free, evictable: v.idle, running: v.report.Running,
	}
}

// baseAt scores v by the model that c needs, and returns the bytes that a load
// of c there takes.
func (p *Placement) baseAt(v *view, c config.Artifact) (score float64, bytes int64) {
	m, needed := p.base(c.Name)
	switch {
	case !needed:
		return 0, c.Bytes
	case v.held[m].State == message.Loaded || v.held[m].State == message.Loading:
		return 1, c.Bytes
	}
	bytes = c.Bytes + p.cfg.Artifacts[m].Bytes
	if p.standbys[m] == v.name {
		return 0.5, bytes
	}
	return 0, bytes
}
