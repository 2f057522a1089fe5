package poison

import (
	"math"
	"slices"
	"time"

	"oleanderdale.org/core/clock"
)

// Requests may wait at their servers for long before they crash them. Then many servers hold one when
// the first crashes, and crashes under runs that were all sent before come one upon the other. Such
// crashes speak against something shared only if it is rare: what many share also stands at servers that
// end together for another reason, such as a loss of power.

const (
	// runCountPeriod is how long runs are counted, at least; they are forgotten after twice that time.
	runCountPeriod = 15 * time.Second
	// maxCounted bounds what is counted in a period.
	maxCounted = 8192
	// maxCauseRate is the greatest share of the crashes that something is taken to cause: others may
	// lie between, and a report may be lost.
	maxCauseRate = 0.9
	// enoughEvidence is the least logarithm of how much better the crashes are explained by something
	// that causes them than by chance. A fleet has thousands of prompt parts.
	enoughEvidence = 13.8
)

// runCounts counts how many runs of this instance shared something, over some time.
type runCounts struct {
	current, previous runCount
	since             clock.Time
}

type runCount struct {
	all  int
	with map[Digest]int
}

func (c *runCounts) add(now clock.Time, shared []Digest) {
	if c.current.with == nil || now.Sub(c.since) >= runCountPeriod {
		c.previous, c.current, c.since = c.current, runCount{with: make(map[Digest]int)}, now
	}
	c.current.add(shared)
}

func (c *runCount) add(shared []Digest) {
	c.all++
	for _, digest := range shared {
		if _, known := c.with[digest]; known || len(c.with) < maxCounted {
			c.with[digest]++
		}
	}
}

// total returns the runs counted and those of them that shared something.
func (c *runCounts) total(digest Digest) (all, with int) {
	return c.current.all + c.previous.all, c.current.with[digest] + c.previous.with[digest]
}

// sampleOpenRuns counts the runs that servers work on now. Sampled from time to time, they count for
// as long as they last: what runs for long stands at many servers, though few requests share it.
func (d *Detector) sampleOpenRuns(now clock.Time) {
	for _, s := range d.ends.starts {
		for _, o := range s.runs {
			if !o.givenUp {
				d.shared.present.add(now, o.Shared)
			}
		}
	}
}

// rarity tells how much of what runs at servers shares something.
type rarity struct {
	l   *sharedCrashes
	met runCount // runs that met the crashes
}

func (l *sharedCrashes) rarity(crashes []*sharedCrash) *rarity {
	r := &rarity{l: l, met: runCount{with: make(map[Digest]int)}}
	for _, c := range crashes {
		for _, run := range c.runs {
			r.met.add(run.Shared)
		}
	}
	return r
}

// share returns at most how much of what runs has a digest that stood at a number of crashes. Of each one run
// is left out, in which it would stand if it caused the crash.
func (r *rarity) share(digest Digest, crashes int) float64 {
	survived, survivedWith := r.l.counts.total(digest)
	present, presentWith := r.l.present.total(digest)
	return max(
		shareOf(survivedWith+max(0, r.met.with[digest]-crashes), survived+max(0, r.met.all-crashes)),
		float64(presentWith)/float64(max(1, present)),
	)
}

// shareOf is with of all, and close to 1 for a few.
func shareOf(with, all int) float64 { return float64(with+1) / float64(all+1) }

// explains reports whether crashes under runs that were sent before the others came are better explained
// by a digest than by chance. The crashes are those since the last run with it that a server survived;
// others may have other reasons.
func (r *rarity) explains(digest Digest, crashes []*sharedCrash) bool {
	with := func(c *sharedCrash) bool { return len(c.runsWith(digest)) > 0 }
	first := max(0, slices.IndexFunc(crashes, with))
	crashes = crashes[first:]
	n := 0
	for _, c := range crashes {
		if with(c) {
			n++
		}
	}
	share, caused := r.share(digest, n), min(maxCauseRate, float64(n)/float64(len(crashes)))
	expected, evidence := 0.0, 0.0
	for _, c := range crashes {
		chance := min(maxCauseRate, 1-math.Pow(1-share, float64(len(c.runs))))
		expected += chance
		if with(c) {
			evidence += math.Log(caused / chance)
		} else {
			evidence += math.Log((1 - caused) / (1 - chance))
		}
	}
	return float64(n) > expected && evidence >= enoughEvidence
}
