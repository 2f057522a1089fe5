package placement

import (
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/message"
)

// candidate describes a backend server to the filters and scorers.
type candidate struct {
	backend        id.Backend
	artifact       config.Artifact
	group          id.Group
	usable         bool
	avoided        bool    // previous target, which did not start the load
	standby        bool    // the artifact is pre-authorised there
	baseScore      float64 // 1: the adapter's model is there; 0.5: pre-authorised there
	bytes          int64   // memory for the load, including the adapter's model if it is not there
	cacheLevel     message.CacheLevel
	state          message.LoadState
	freeBytes      int64
	evictableBytes int64 // artifacts that are unloading or run no requests
	running        int
}

// filter reports whether a candidate can be used at all.
type filter interface{ pass(c candidate) bool }

// scorer rates a candidate from 0 to 1.
type scorer interface{ score(c candidate) float64 }

type filterFunc func(candidate) bool

func (f filterFunc) pass(c candidate) bool { return f(c) }

type scorerFunc func(candidate) float64

func (f scorerFunc) score(c candidate) float64 { return f(c) }

// weightedScorer is a scorer and its weight in the total score.
type weightedScorer struct {
	scorer scorer
	weight float64
}

var filters = []filter{
	filterFunc(func(c candidate) bool { return c.group == c.artifact.Group }),
	filterFunc(func(c candidate) bool { return c.usable }),
	filterFunc(func(c candidate) bool { return c.state == Cold }),
	filterFunc(func(c candidate) bool { return c.standby || c.freeBytes+c.evictableBytes >= c.bytes }),
}

// Each weight exceeds the sum of those that follow, except for the last two.
// The adapter's model ranks before the adapter's own standby: loading a model
// takes much longer.
var scorers = []weightedScorer{
	{scorerFunc(scoreNotAvoided), 32},
	{scorerFunc(scoreBaseModel), 16},
	{scorerFunc(scoreStandby), 6},
	{scorerFunc(scoreCacheLevel), 3},
	{scorerFunc(scoreFreeMemory), 1},
	{scorerFunc(scoreFewRunning), 1},
}

func scoreNotAvoided(c candidate) float64 { return boolScore(!c.avoided) }

func scoreStandby(c candidate) float64 { return boolScore(c.standby) }

func scoreCacheLevel(c candidate) float64 { return float64(2-levelRank(c.cacheLevel)) / 2 }

func scoreBaseModel(c candidate) float64 { return c.baseScore }

func scoreFreeMemory(c candidate) float64 { return boolScore(c.freeBytes >= c.bytes) }

func scoreFewRunning(c candidate) float64 { return 1 / float64(1+max(c.running, 0)) }

func boolScore(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// pick returns the backend server to load the artifact on, or "" if there is
// none. In a tie the first by name wins.
func (p *Placement) pick(artifact config.Artifact, avoid id.Backend) id.Backend {
	var best id.Backend
	bestScore := -1.0
	for _, v := range p.sortedViews {
		if v.group.Name != artifact.Group {
			continue
		}
		c := p.candidate(v, artifact, avoid)
		if s := totalScore(c); passesFilters(c) && s > bestScore {
			best, bestScore = v.name, s
		}
	}
	return best
}

func passesFilters(c candidate) bool {
	for _, f := range filters {
		if !f.pass(c) {
			return false
		}
	}
	return true
}

func totalScore(c candidate) float64 {
	sum := 0.0
	for _, s := range scorers {
		sum += s.weight * s.scorer.score(c)
	}
	return sum
}

func (p *Placement) candidate(v *backendView, artifact config.Artifact, avoid id.Backend) candidate {
	baseScore, bytes := p.scoreBaseModelAt(v, artifact)
	free := v.freeBytes
	if p.standbyBackends[artifact.Name] == "" {
		free = max(free, v.poolFreeBytes()) // it can be given the standby right there
	}
	return candidate{
		backend: v.name, artifact: artifact, group: v.group.Name, usable: v.usable(), avoided: v.name == avoid,
		standby: p.standbyBackends[artifact.Name] == v.name, cacheLevel: v.cacheLevel(artifact.Name), state: v.held[artifact.Name].State,
		baseScore: baseScore, bytes: bytes,
		freeBytes: free, evictableBytes: v.evictableBytes, running: v.report.Running,
	}
}

// scoreBaseModelAt scores v by whether the model that the artifact needs is
// there, and returns the memory that a load of the artifact takes there.
func (p *Placement) scoreBaseModelAt(v *backendView, artifact config.Artifact) (score float64, bytes int64) {
	model, needed := p.baseModel(artifact.Name)
	switch {
	case !needed:
		return 0, artifact.Bytes
	case v.held[model].State == message.Loaded || v.held[model].State == message.Loading:
		return 1, artifact.Bytes
	}
	bytes = artifact.Bytes + p.cfg.Artifacts[model].Bytes
	if p.standbyBackends[model] == v.name {
		return 0.5, bytes
	}
	return 0, bytes
}
