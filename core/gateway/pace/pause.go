package pace

import (
	"math"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// fitSamples is the number of requests over which a fit forgets. Few of them have long
	// prompts, which tell most of what a token takes.
	fitSamples = 1000
	// minTokenSpread, in thousands, and minLoadSpread, in requests, are the standard
	// deviations from which durations tell what a token or a request takes.
	minTokenSpread, minLoadSpread = 0.1, 0.1
	// minIndependence is the part of the variance that tokens and load do not share, from
	// which the effects of the two are told apart.
	minIndependence = 1e-3
	// maxFitTokens and maxFitLoad bound what other instances name.
	maxFitTokens, maxFitLoad = 1 << 20, 1000.0
	// defaultPrefillRate is the assumed number of prompt tokens per second that an engine
	// reads, before enough first events are known: 38 tokens a millisecond, a third of the
	// time for the steps between. The other two bound what is learned.
	defaultPrefillRate, minPrefillRate, maxPrefillRate = 25000.0, 2000.0, 200000.0
	// prefillMargin is the part of the scatter of first events by which a prompt is assumed to
	// take longer: a server whose prompts are taken for read too soon gets too many.
	prefillMargin = 0.5
	// pauseMargin is the part of the scatter of pauses by which a pause is assumed to be longer
	// than expected. With more, long prompts make detours and have a late first event.
	pauseMargin = 1
)

// fit is a moving least-squares fit of a duration in seconds to a number of prompt tokens,
// in thousands, and a load, in requests.
type fit struct {
	samples              float64
	tokens, load, took   float64 // means
	tt, tl, ll, ty, ly   float64 // covariances of tokens, load and duration (y)
	perToken, perRequest float64 // slopes: never negative
	scatter              float64 // moving mean of the absolute logarithms of duration by fit
}

// at returns the fitted duration.
func (f *fit) at(tokens, load float64) float64 {
	return max(0, f.took+f.perToken*(tokens-f.tokens)+f.perRequest*(load-f.load))
}

// ready reports whether the fit has enough samples.
func (f *fit) ready() bool { return f.samples >= minCellSamples }

// add adds a duration. One that is far from the fit counts as less far: a hanging request
// must not decide the slopes.
func (f *fit) add(tokens, load, took float64) {
	f.samples = min(f.samples+1, fitSamples)
	if expected := f.at(tokens, load); f.ready() && expected > 0 {
		ratio := min(max(math.Log(took/expected), -maxResidual), maxResidual)
		f.scatter += scatterGain * (math.Abs(ratio) - f.scatter)
		took = expected * math.Exp(ratio)
	}
	w := 1 / f.samples
	t, l, y := tokens-f.tokens, load-f.load, took-f.took
	f.tokens, f.load, f.took = f.tokens+w*t, f.load+w*l, f.took+w*y
	move := func(covariance *float64, product float64) { *covariance = (1 - w) * (*covariance + w*product) }
	move(&f.tt, t*t)
	move(&f.tl, t*l)
	move(&f.ll, l*l)
	move(&f.ty, t*y)
	move(&f.ly, l*y)
	f.solve()
}

// solve computes the slopes. One that would be negative is 0 and leaves all to the other.
func (f *fit) solve() {
	f.perToken, f.perRequest = slope(f.ty, f.tt, minTokenSpread), slope(f.ly, f.ll, minLoadSpread)
	if f.perToken == 0 || f.perRequest == 0 {
		return
	}
	independent := f.tt*f.ll - f.tl*f.tl
	if independent < minIndependence*f.tt*f.ll {
		f.perRequest = 0
		return
	}
	perToken, perRequest := (f.ty*f.ll-f.ly*f.tl)/independent, (f.ly*f.tt-f.ty*f.tl)/independent
	switch {
	case perRequest < 0:
		f.perRequest = 0
	case perToken < 0:
		f.perToken = 0
	default:
		f.perToken, f.perRequest = perToken, perRequest
	}
}

// slope returns the slope on a single quantity, 0 if it varies too little to tell.
func slope(covariance, variance, minSpread float64) float64 {
	if variance < minSpread*minSpread {
		return 0
	}
	return max(0, covariance/variance)
}

// recordFirstEvent learns the time to read a prompt from the first event of a stream on a
// server with a pace factor.
func (g *group) recordFirstEvent(r Run, factor float64) {
	if r.FirstEvent > 0 && r.PromptTokens > 0 {
		g.first.add(float64(min(r.PromptTokens, maxFitTokens))/1000, min(r.Work, maxFitLoad), r.FirstEvent.Seconds()/factor)
	}
}

// PrefillRate returns the number of prompt tokens per second that a server of a group with
// the factor 1 is expected to read.
func (e *Estimator) PrefillRate(groupName string) float64 {
	g := e.groups[groupName]
	if g == nil || !g.first.ready() || g.first.perToken == 0 {
		return defaultPrefillRate
	}
	return min(max(1000/g.first.perToken*math.Exp(-prefillMargin*g.first.scatter), minPrefillRate), maxPrefillRate)
}

// recordPause learns from the longest pause of a stream on a server: what tokens and requests
// add to pauses in the group, and how many times as long those of this server are.
func (e *Estimator) recordPause(now clock.Time, g *group, id string, incarnation int64, r Run) {
	if r.LongestPause <= 0 {
		return
	}
	s := serverOf(e.pauses, now, id, incarnation)
	if s == nil {
		return
	}
	tokens, took := float64(r.TokensRead)/1000, r.LongestPause.Seconds()
	if expected := g.pause.at(tokens, r.Batch); g.pause.ready() && expected > 0 {
		ratio := math.Log(took / expected)
		s.add(ratio, g.pauseScatter)
		g.pauseScatter += scatterGain * (math.Min(math.Abs(ratio-s.log), maxResidual) - g.pauseScatter)
	}
	g.pause.add(tokens, r.Batch, took*math.Exp(-serverShare*s.log))
}

// Pauses is the estimate of the pauses on the servers of a group at a time. The zero value
// knows nothing.
type Pauses struct {
	e      *Estimator
	now    clock.Time
	fit    *fit
	margin float64
}

// Pauses returns what is known of the pauses on the servers of a group.
func (e *Estimator) Pauses(now clock.Time, groupName string) Pauses {
	g := e.groups[groupName]
	if g == nil || !g.pause.ready() {
		return Pauses{}
	}
	return Pauses{e: e, now: now, fit: &g.pause, margin: math.Exp(pauseMargin * g.pauseScatter)}
}

// Known reports whether enough streams were seen for an estimate.
func (p Pauses) Known() bool { return p.fit != nil }

// Exceed reports whether the pauses of a stream on an incarnation of a server are expected to
// exceed an objective while the server reads a number of prompt tokens and runs a batch of a
// number of requests. No pause exceeds the objective 0, which is none.
func (p Pauses) Exceed(objective time.Duration, id string, incarnation int64, tokens int, batch float64) bool {
	if p.fit == nil || objective <= 0 {
		return false
	}
	expected := p.margin * p.fit.at(float64(tokens)/1000, batch)
	limit := objective.Seconds()
	// Most servers are decided without their factors, whose look-up takes most of the time.
	switch {
	case expected*maxFactor <= limit:
		return false
	case expected*minFactor > limit:
		return true
	}
	return expected*p.factor(id, incarnation) > limit
}

// factor returns how many times as long as in its group the pauses on a server are: by its
// streams or, without recent ones, by its pace.
func (p Pauses) factor(id string, incarnation int64) float64 {
	if s := p.e.pauses[id]; s != nil && s.incarnation == incarnation && s.evidence*decay(p.now, s.at) >= minEvidence {
		return s.factor(p.now)
	}
	return p.e.Factor(p.now, id, incarnation)
}
