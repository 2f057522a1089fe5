package report

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Idle is the time in which engines held models that nobody used, by the orders
// and uses that were logged. A model that was there before the first line counts
// from its first use or order on.
type Idle struct {
	HeldHours float64     `json:"held_hours"`
	IdleHours float64     `json:"idle_hours"`
	MostIdle  []IdleModel `json:"worst"` // the most idle ones first
}

// IdleModel is the same for one model over all engines.
type IdleModel struct {
	Model     string  `json:"model"`
	HeldHours float64 `json:"held_hours"`
	IdleHours float64 `json:"idle_hours"`
}

// worstIdle is how many models are named.
const worstIdle = 10

// place is a model on an engine.
type place struct{ server, model string }

// residence is the time in which a model was on an engine.
type residence struct {
	held  []span // the last one may be open
	uses  []span
	there bool
}

// span is a time, in Unix nanoseconds; to 0: open.
type span struct{ from, to int64 }

func (b *Builder) residence(p place) *residence {
	r := b.places[p]
	if r == nil {
		r = &residence{}
		b.places[p] = r
	}
	return r
}

// takeOrder takes an order that an engine accepted.
func (b *Builder) takeOrder(l *line) {
	if l.Adapter != "" || l.Answer != "accepted" && l.Answer != "holds" {
		return
	}
	r, at := b.residence(place{b.intern(l.Server), b.intern(l.Model)}), l.Time.UnixNano()
	if l.Order == "load" {
		r.begin(at)
	} else {
		r.end(at)
	}
}

func (r *residence) begin(at int64) {
	if !r.there {
		r.held, r.there = append(r.held, span{from: at}), true
	}
}

func (r *residence) end(at int64) {
	if r.there {
		r.held[len(r.held)-1].to, r.there = at, false
	}
}

// used takes a request that ran on a place.
func (b *Builder) used(p place, from, to int64) {
	r := b.residence(p)
	r.begin(from)
	r.uses = append(r.uses, span{from, to})
}

// idle sums up the time without use.
func (b *Builder) idle() Idle {
	models := make(map[string]*IdleModel)
	var all Idle
	for p, r := range b.places {
		held := 0.0
		for _, s := range r.held {
			if s.to == 0 {
				s.to = b.to.UnixNano()
			}
			held += hours(s.to - s.from)
		}
		idle := max(0, held-hours(covered(r.uses)))
		m := models[p.model]
		if m == nil {
			m = &IdleModel{Model: p.model}
			models[p.model] = m
		}
		m.HeldHours, m.IdleHours = m.HeldHours+held, m.IdleHours+idle
		all.HeldHours, all.IdleHours = all.HeldHours+held, all.IdleHours+idle
	}
	for _, name := range slices.Sorted(maps.Keys(models)) {
		all.MostIdle = append(all.MostIdle, *models[name])
	}
	slices.SortStableFunc(all.MostIdle, func(x, y IdleModel) int { return cmp.Compare(y.IdleHours, x.IdleHours) })
	all.MostIdle = all.MostIdle[:min(worstIdle, len(all.MostIdle))]
	return all
}

// covered is the time in which at least one of the spans was.
func covered(spans []span) int64 {
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
