package fleet

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// Table is the fake of the table service.
type Table struct {
	fleet *Fleet
	rows  map[table.Key]table.Row
	Down  bool          // nothing is carried out; answers time out as unknown
	Slow  time.Duration // added to each operation
	// LoseAnswers is the share of operations that take effect and whose
	// answer is lost; LoseRequests that of those that don't take effect.
	LoseAnswers  float64
	LoseRequests float64

	// OnCommit, if set, decides what becomes of each transaction as it reaches
	// the table.
	OnCommit func(n *Node, writes []table.Write) Fate
	// IgnoreConditions makes it a broken table that carries out every write.
	IgnoreConditions bool

	Reads, Writes int
}

// Fate is what becomes of one transaction.
type Fate int

// What may become of a transaction.
const (
	CarriedOut  Fate = iota
	AnswerLost       // it takes effect and its answer is lost
	RequestLost      // it does not take effect, and there is no answer
)

// String names the fate.
func (f Fate) String() string {
	return [...]string{"carried-out", "answer-lost", "request-lost"}[f]
}

const tableTimeout = 2 * time.Second

func newTable(f *Fleet) *Table {
	return &Table{fleet: f, rows: make(map[table.Key]table.Row)}
}

// Heal ends all faults of the table.
func (t *Table) Heal() { t.Down, t.Slow, t.LoseAnswers, t.LoseRequests = false, 0, 0, 0 }

// operation carries out do at the table and answers n.
func (t *Table) operation(n *Node, op event.Op, fate func() Fate, do func() (table.Outcome, []table.Row)) {
	f, run := t.fleet, n.ID
	unknown := func() {
		n.postTo(run, event.TableResult{Op: op, Outcome: table.Unknown})
	}
	if f.Net.platformCut(n.Zone) {
		// A cut shows as a refused connection now and then, else as silence.
		if f.random.IntN(2) == 0 {
			f.after(time.Millisecond, func() { n.postTo(run, event.TableResult{Op: op, Outcome: table.NotExecuted}) })
			return
		}
		f.after(tableTimeout, unknown)
		return
	}
	lost := f.random.Float64()
	f.after(f.jitter(toTable/2)+t.Slow, func() {
		special := fate()
		if t.Down || lost < t.LoseRequests || special == RequestLost {
			f.after(tableTimeout, unknown)
			return
		}
		outcome, rows := do()
		if lost < t.LoseRequests+t.LoseAnswers || special == AnswerLost {
			f.after(tableTimeout, unknown)
			return
		}
		f.after(f.jitter(toTable/2), func() {
			n.postTo(run, event.TableResult{Op: op, Outcome: outcome, Rows: rows})
		})
	})
}

func (t *Table) read(n *Node, e event.TableRead) {
	t.operation(n, e.Op, usual, func() (table.Outcome, []table.Row) {
		t.Reads += len(e.Keys)
		var rows []table.Row
		for _, k := range e.Keys {
			if r, ok := t.rows[k]; ok {
				rows = append(rows, r)
			}
		}
		return table.Done, rows
	})
}

func (t *Table) scan(n *Node, e event.TableScan) {
	t.operation(n, e.Op, usual, func() (table.Outcome, []table.Row) {
		rows := t.withPrefix(e.Kind, e.Prefix)
		t.Reads += len(rows)
		return table.Done, rows
	})
}

func (t *Table) withPrefix(kind table.Kind, prefix string) []table.Row {
	var rows []table.Row
	for k, r := range t.rows {
		if k.Kind == kind && strings.HasPrefix(k.ID, prefix) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b table.Row) int { return strings.Compare(a.Key.ID, b.Key.ID) })
	return rows
}

func (t *Table) commit(n *Node, e event.TableCommit) {
	writes := slices.Clone(e.Writes)
	fate := func() Fate {
		if t.OnCommit == nil {
			return CarriedOut
		}
		return t.OnCommit(n, writes)
	}
	t.operation(n, e.Op, fate, func() (table.Outcome, []table.Row) { return t.apply(writes), nil })
}

// usual is the fate of an operation that no test looks at.
func usual() Fate { return CarriedOut }

// apply carries out a transaction: all of it or nothing.
func (t *Table) apply(writes []table.Write) table.Outcome {
	t.Writes += len(writes)
	for _, w := range writes {
		if !t.IgnoreConditions && t.rows[w.Key].Version != w.Expect {
			return table.Conflict
		}
	}
	for _, w := range writes {
		switch {
		case w.Check:
		case w.Delete:
			delete(t.rows, w.Key)
		default:
			t.rows[w.Key] = table.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Body: w.Body}
		}
	}
	return table.Done
}

// Once returns the record of a non-idempotent call.
func (t *Table) Once(a id.Account, key string) (table.Once, bool) {
	r, ok := t.rows[table.Key{Kind: table.KindOnce, ID: string(a) + "/" + key}]
	if !ok {
		return table.Once{}, false
	}
	return r.Body.(table.Once), true
}
