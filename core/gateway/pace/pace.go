// Package pace estimates how fast each backend server is, relative to the other servers
// of its group, from the durations of the requests that it answered.
//
// Durations differ much more by the size of a request and by the load of its server than
// by server. So each duration is compared with what the group takes for requests of that
// size at that load, a moving mean in logarithms. A server's pace is the moving mean of
// these differences. Both are kept in bounded state, one cell for each size and load and
// one estimate for each server.
package pace

import (
	"math"
	"math/bits"
	"time"

	"oleanderdale.org/core/clock"
)

const (
	// halfLife is the time without evidence after which the logarithm of a factor has
	// halved. A server found slow gets few requests; the decay makes it a candidate
	// again, and the next requests show whether it has recovered.
	halfLife = 5 * time.Second
	// gain is the largest weight of one duration in the estimate of its server, unless the
	// server changes. It is less in cells whose durations scatter more, so that the
	// estimates of even servers scatter by targetScatter, less than the dead band:
	// requests of a plain service may differ in duration by far more than servers do.
	gain, targetScatter = 0.15, 0.1
	// scatterGain is the weight of one duration in the scatter of its cell, which starts
	// at initialScatter.
	scatterGain, initialScatter = 0.03, 0.25
	// changeGain is the weight if this duration and the one before both differ from the
	// estimate by more than changeThreshold and by more than changeScatters times the
	// scatter of their cells in the same direction: a server that turns slow is noticed
	// within a few requests.
	changeGain, changeScatters = 0.4, 2
	// minEvidence is the weight of evidence, in requests, below which a server's factor
	// is 1; maxEvidence bounds the weight.
	minEvidence, maxEvidence = 2, 20
	// minCellSamples is how many durations a cell needs before others are compared with
	// its mean.
	minCellSamples = 10
	// minCellGain is the least weight of a duration in the mean of its cell.
	minCellGain = 0.02
	// serverShare is the part of a server's pace that is taken out of its durations
	// before they enter the mean of a cell, so that a cell that mostly one server fills
	// does not take that server's pace for the group's. A part of less than 1 keeps the
	// mean of all factors at 1.
	serverShare = 0.5
	// minFactor and maxFactor bound the factors.
	minFactor, maxFactor = 0.33, 4.0
	// toldChange is the change of a factor that is told to other instances.
	toldChange = 0.1
	// maxTold bounds the factors in one message to a few kilobytes.
	maxTold = 100
	// idleTTL is how long the estimate of a server without evidence is kept. After 12
	// half-lives its factor is 1.
	idleTTL = 12 * halfLife
	// cells of a group: sizes are powers of two of prompt tokens.
	minSizeBits, maxSizeBits = 8, 15
)

var (
	// Estimates within deadBand give the factor 1, so that the choices among even servers
	// do not follow the scatter of their durations. From there the factor rises to the
	// estimate, which it reaches at fullEffect: after a step at the dead band, choices
	// would follow estimates that scatter around it.
	deadBand, fullEffect = math.Log(1.15), math.Log(1.5)
	// changeThreshold is the logarithm of a ratio that the scatter of durations seldom
	// reaches twice in a row.
	changeThreshold = math.Log(1.5)
	// maxResidual bounds the difference to its server's estimate with which one duration
	// counts: a long wait behind other prompts is no evidence of the server's pace.
	maxResidual = math.Log(3)
	// maxCellStep bounds the difference with which one duration enters the mean of its
	// cell: a hanging request must not shift what the group is expected to take.
	maxCellStep = math.Log(2)
	// loadClasses are the upper bounds, in requests, of the loads that share a cell.
	loadClasses = [...]float64{1, 3, 6, 10, 16}
)

// Run is how long a server took for a request.
type Run struct {
	PromptTokens int
	FirstEvent   time.Duration // from the send to the first event of a stream; 0 if the response was none
	Run          time.Duration // from the send to the end of the response
	Work         float64       // load of the server when it was chosen, in requests
	// LongestPause is the longest time between two events of a stream as the server sent
	// them; 0 if unknown. TokensRead is the number of prompt tokens that the server read in
	// one go meanwhile, Batch the number of requests that it ran.
	LongestPause time.Duration
	TokensRead   int
	Batch        float64
}

// cellKey identifies the runs whose durations are compared.
type cellKey struct {
	stream     bool
	size, load int
}

func (r Run) cell() (cellKey, time.Duration) {
	k := cellKey{stream: r.FirstEvent > 0}
	if r.PromptTokens > 0 {
		k.size = min(max(bits.Len(uint(r.PromptTokens)), minSizeBits), maxSizeBits)
	}
	for k.load < len(loadClasses) && r.Work >= loadClasses[k.load] {
		k.load++
	}
	if k.stream {
		return k, r.FirstEvent
	}
	return k, r.Run
}

// cell is the moving mean of the logarithms of durations.
type cell struct {
	mean    float64
	scatter float64 // moving mean of the absolute differences to the servers' estimates
	samples int
}

// server is the estimate of one server.
type server struct {
	incarnation int64
	log         float64 // estimate: logarithm of the ratio to the group
	changing    int     // 1 or -1 if the last duration was far above or below the estimate, else 0
	evidence    float64 // weight at the last duration, in requests
	at          clock.Time
	// cached is the factor at cachedAt, for the choices among many servers at one time; 0: none.
	cached   float64
	cachedAt clock.Time
	// told is the estimate that others have since toldAt.
	told   float64
	toldAt clock.Time
}

// decay returns what is left at now of a value of an earlier time.
func decay(now, at clock.Time) float64 {
	return math.Exp2(-max(0, now.Sub(at).Seconds()) / halfLife.Seconds())
}

// group is what the servers of a group have in common.
type group struct {
	cells map[cellKey]*cell
	// first is fitted to the first events, pause to the longest pauses of streams;
	// pauseScatter is the moving mean of the absolute differences of the logarithms of
	// pauses to the servers' estimates.
	first, pause fit
	pauseScatter float64
}

// Estimator estimates the paces of servers and the pauses on them. It is not safe for
// concurrent use.
type Estimator struct {
	groups  map[string]*group
	servers map[string]*server
	pauses  map[string]*server // by the pauses of streams, relative to the fit of the group
}

// New returns an Estimator without evidence.
func New() *Estimator {
	return &Estimator{groups: make(map[string]*group), servers: make(map[string]*server), pauses: make(map[string]*server)}
}

// serverOf returns the estimate of an incarnation of a server, decayed to now; nil if the
// incarnation is outdated.
func serverOf(servers map[string]*server, now clock.Time, id string, incarnation int64) *server {
	s := servers[id]
	switch {
	case s == nil || s.incarnation < incarnation:
		s = &server{incarnation: incarnation}
		servers[id] = s
	case s.incarnation > incarnation:
		return nil
	}
	d := decay(now, s.at)
	s.log, s.evidence, s.at, s.cached = s.log*d, s.evidence*d, max(now, s.at), 0
	return s
}

// Record records how long a server of a group took for a request.
func (e *Estimator) Record(now clock.Time, groupName, id string, incarnation int64, r Run) {
	k, took := r.cell()
	if took <= 0 {
		return
	}
	s := serverOf(e.servers, now, id, incarnation)
	if s == nil {
		return
	}
	g := e.groups[groupName]
	if g == nil {
		g = &group{cells: make(map[cellKey]*cell), pauseScatter: initialScatter}
		e.groups[groupName] = g
	}
	g.recordFirstEvent(r, s.factor(now))
	e.recordPause(now, g, id, incarnation, r)
	c := g.cells[k]
	if c == nil {
		c = &cell{mean: math.Log(took.Seconds()), scatter: initialScatter}
		g.cells[k] = c
	}
	ratio := math.Log(took.Seconds()) - c.mean
	c.samples++
	if c.samples > minCellSamples {
		s.add(ratio, c.scatter)
		c.scatter += scatterGain * (math.Min(math.Abs(ratio-s.log), maxResidual) - c.scatter)
	}
	step := ratio - serverShare*s.log
	c.mean += max(minCellGain, 1/float64(c.samples)) * min(max(step, -maxCellStep), maxCellStep)
}

// add adds the logarithm of the ratio of a duration to the group's; scatter is that of the
// cell.
func (s *server) add(ratio, scatter float64) {
	residual := min(max(ratio-s.log, -maxResidual), maxResidual)
	// A moving mean with the weight g of the newest value scatters by sqrt(g/2) times the
	// scatter of the values.
	g := min(gain, 2*math.Pow(targetScatter/scatter, 2))
	changing := 0
	if math.Abs(residual) > max(changeThreshold, changeScatters*scatter) {
		changing = int(math.Copysign(1, residual))
		if changing == s.changing {
			g = changeGain
		}
	}
	s.log = min(max(s.log+g*residual, math.Log(minFactor)), math.Log(maxFactor))
	s.changing, s.cached = changing, 0
	s.evidence = min(s.evidence+1, maxEvidence)
}

// Factor returns how many times as long as the group an incarnation of a server takes; 1
// if there is too little evidence.
func (e *Estimator) Factor(now clock.Time, id string, incarnation int64) float64 {
	s := e.servers[id]
	if s == nil || s.incarnation != incarnation {
		return 1
	}
	return s.factor(now)
}

func (s *server) factor(now clock.Time) float64 {
	if s.evidence < minEvidence {
		return 1
	}
	if s.cached == 0 || s.cachedAt != now {
		s.cached, s.cachedAt = factorOf(s.log*decay(now, s.at)), now
	}
	return s.cached
}

// factorOf returns the factor for an estimate.
func factorOf(estimate float64) float64 {
	size := math.Abs(estimate)
	switch {
	case size <= deadBand:
		return 1
	case size < fullEffect:
		size = fullEffect * (size - deadBand) / (fullEffect - deadBand)
	}
	return math.Exp(math.Copysign(size, estimate))
}

// estimateOf returns an estimate that gives a factor.
func estimateOf(factor float64) float64 {
	l := math.Log(min(max(factor, minFactor), maxFactor))
	if size := math.Abs(l); size > 0 && size < fullEffect {
		l = math.Copysign(deadBand+size*(fullEffect-deadBand)/fullEffect, l)
	}
	return l
}

// Told is a factor that one instance tells others.
type Told struct {
	Server      string
	Incarnation int64
	Factor      float64
	Evidence    float64 // weight, in requests
}

// Changes returns the factors of the servers with the given IDs that differ by more than
// toldChange from what others have, and takes them for told.
func (e *Estimator) Changes(now clock.Time, ids []string) []Told {
	var all []Told
	for _, id := range ids {
		s := e.servers[id]
		if s == nil || len(all) == maxTold {
			continue
		}
		factor := s.factor(now)
		if others := factorOf(s.told * decay(now, s.toldAt)); math.Abs(factor/others-1) <= toldChange {
			continue
		}
		s.told, s.toldAt = estimateOf(factor), now
		all = append(all, Told{Server: id, Incarnation: s.incarnation, Factor: factor, Evidence: s.evidence * decay(now, s.at)})
	}
	return all
}

// Learn replaces the estimate of a server by one that another instance told, which knows
// the requests of all instances.
func (e *Estimator) Learn(now clock.Time, t Told) {
	if !(t.Factor > 0) || !(t.Evidence >= 0) {
		return
	}
	s := serverOf(e.servers, now, t.Server, t.Incarnation)
	if s == nil {
		return
	}
	s.log, s.cached = estimateOf(t.Factor), 0
	s.evidence = min(max(t.Evidence, minEvidence), maxEvidence)
	s.told, s.toldAt = s.log, now
}

// Expire forgets servers without recent evidence.
func (e *Estimator) Expire(now clock.Time) {
	for _, servers := range []map[string]*server{e.servers, e.pauses} {
		for id, s := range servers {
			if now.Sub(s.at) > idleTTL {
				delete(servers, id)
			}
		}
	}
}
