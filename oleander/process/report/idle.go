package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Idle reports how long models were loaded on engines without being used, computed
// from the logged orders and requests. A model loaded before the first log line
// counts from its first use or order.
type Idle struct {
	HeldHours float64     `json:"held_hours"`
	IdleHours float64     `json:"idle_hours"`
	MostIdle  []IdleModel `json:"worst"` // sorted by idle time, longest first
}

// IdleModel reports the same for one model on all engines.
type IdleModel struct {
	Model     string  `json:"model"`
	HeldHours float64 `json:"held_hours"`
	IdleHours float64 `json:"idle_hours"`
}

// maxIdleModels is the number of models that are listed.
const maxIdleModels = 10

// placement is a model on an engine.
type placement struct{ server, model string }

// residency records when a model was loaded on an engine and when it was used.
type residency struct {
	loaded   []span // the last one is open while isLoaded
	uses     []span
	isLoaded bool
}

// span is a period in Unix nanoseconds; an open one has to == 0.
type span struct{ from, to int64 }

func (b *Builder) residencyOf(p placement) *residency {
	r := b.residencies[p]
	if r == nil {
		r = &residency{}
		b.residencies[p] = r
	}
	return r
}

// addOrder records an order to load or unload a model. Orders that the engine did not
// accept and orders for adapters are ignored.
func (b *Builder) addOrder(l *line) {
	if l.Adapter != "" || l.Answer != "accepted" && l.Answer != "holds" {
		return
	}
	r, at := b.residencyOf(placement{b.intern(l.Server), b.intern(l.Model)}), l.Time.UnixNano()
	if l.Order == "load" {
		r.markLoaded(at)
	} else {
		r.markUnloaded(at)
	}
}

func (r *residency) markLoaded(at int64) {
	if !r.isLoaded {
		r.loaded, r.isLoaded = append(r.loaded, span{from: at}), true
	}
}

func (r *residency) markUnloaded(at int64) {
	if r.isLoaded {
		r.loaded[len(r.loaded)-1].to, r.isLoaded = at, false
	}
}

// recordUse records a request that used a model on an engine.
func (b *Builder) recordUse(p placement, from, to int64) {
	r := b.residencyOf(p)
	r.markLoaded(from)
	r.uses = append(r.uses, span{from, to})
}

// idleTime sums up the time in which models were loaded but not used.
func (b *Builder) idleTime() Idle {
	byModel := make(map[string]*IdleModel)
	var total Idle
	for p, r := range b.residencies {
		held := 0.0
		for _, s := range r.loaded {
			if s.to == 0 {
				s.to = b.to.UnixNano()
			}
			held += hours(s.to - s.from)
		}
		idle := max(0, held-hours(unionLength(r.uses)))
		m := byModel[p.model]
		if m == nil {
			m = &IdleModel{Model: p.model}
			byModel[p.model] = m
		}
		m.HeldHours, m.IdleHours = m.HeldHours+held, m.IdleHours+idle
		total.HeldHours, total.IdleHours = total.HeldHours+held, total.IdleHours+idle
	}
	for _, name := range slices.Sorted(maps.Keys(byModel)) {
		total.MostIdle = append(total.MostIdle, *byModel[name])
	}
	slices.SortStableFunc(total.MostIdle, func(x, y IdleModel) int { return cmp.Compare(y.IdleHours, x.IdleHours) })
	total.MostIdle = total.MostIdle[:min(maxIdleModels, len(total.MostIdle))]
	return total
}

// unionLength returns the length of the union of the spans.
func unionLength(spans []span) int64 {
	slices.SortFunc(spans, func(x, y span) int { return cmp.Compare(x.from, y.from) })
	total, end := int64(0), int64(0)
	for _, s := range spans {
		if from := max(s.from, end); s.to > from {
			total += s.to - from
			end = s.to
		}
	}
	return total
}

func hours(ns int64) float64 { return time.Duration(ns).Hours() }
