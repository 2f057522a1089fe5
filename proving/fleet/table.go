package fleet

import (
	"slices"
	"strings"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

// Table simulates the table service.
type Table struct {
	fleet        *Fleet
	rows         map[table.Key]table.Row
	Down         bool          // no operation takes effect; all time out with an unknown outcome
	ExtraLatency time.Duration // added to the latency of each operation
	// LostReplyRate is the share of operations that take effect but whose reply
	// is lost, LostRequestRate the share of operations that do not take effect
	// and get no reply.
	LostReplyRate   float64
	LostRequestRate float64

	// OnCommit, if set, is called as a transaction reaches the table, and
	// decides which fault to inject.
	OnCommit func(n *Node, writes []table.Write) CommitFault
	// IgnoreConditions makes the table faulty: it executes every write, whatever
	// its condition.
	IgnoreConditions bool

	Reads, Writes int
}

// CommitFault is a fault injected into one transaction.
type CommitFault int

// Faults of a transaction.
const (
	NoFault     CommitFault = iota
	ReplyLost               // it takes effect, and its reply is lost
	RequestLost             // it does not take effect, and there is no reply
)

// String returns the name of the fault.
func (f CommitFault) String() string {
	return [...]string{"carried-out", "answer-lost", "request-lost"}[f]
}

// tableTimeout is when an instance gives up an operation that gets no reply.
const tableTimeout = 2 * time.Second

func newTable(f *Fleet) *Table {
	return &Table{fleet: f, rows: make(map[table.Key]table.Row)}
}

// Heal ends all injected faults of the table.
func (t *Table) Heal() { t.Down, t.ExtraLatency, t.LostReplyRate, t.LostRequestRate = false, 0, 0, 0 }

// operation executes an operation of a node at the table, with injected faults,
// and posts its result to the node.
func (t *Table) operation(n *Node, op event.Op, fault func() CommitFault, execute func() (table.Outcome, []table.Row)) {
	f, instanceID := t.fleet, n.ID
	replyUnknown := func() {
		n.postToRun(instanceID, event.TableResult{Op: op, Outcome: table.Unknown})
	}
	if f.Network.platformUnreachable(n.Zone) {
		// An unreachable table either refuses connections at once or does not
		// reply.
		if f.random.IntN(2) == 0 {
			f.schedule(time.Millisecond, func() { n.postToRun(instanceID, event.TableResult{Op: op, Outcome: table.NotExecuted}) })
			return
		}
		f.schedule(tableTimeout, replyUnknown)
		return
	}
	roll := f.random.Float64()
	f.schedule(f.jitter(tableLatency/2)+t.ExtraLatency, func() {
		injected := fault()
		if t.Down || roll < t.LostRequestRate || injected == RequestLost {
			f.schedule(tableTimeout, replyUnknown)
			return
		}
		outcome, rows := execute()
		if roll < t.LostRequestRate+t.LostReplyRate || injected == ReplyLost {
			f.schedule(tableTimeout, replyUnknown)
			return
		}
		f.schedule(f.jitter(tableLatency/2), func() {
			n.postToRun(instanceID, event.TableResult{Op: op, Outcome: outcome, Rows: rows})
		})
	})
}

func (t *Table) read(n *Node, e event.TableRead) {
	t.operation(n, e.Op, noCommitFault, func() (table.Outcome, []table.Row) {
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
	t.operation(n, e.Op, noCommitFault, func() (table.Outcome, []table.Row) {
		rows := t.rowsWithPrefix(e.Kind, e.Prefix)
		t.Reads += len(rows)
		return table.Done, rows
	})
}

func (t *Table) rowsWithPrefix(kind table.Kind, prefix string) []table.Row {
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
	fault := func() CommitFault {
		if t.OnCommit == nil {
			return NoFault
		}
		return t.OnCommit(n, writes)
	}
	t.operation(n, e.Op, fault, func() (table.Outcome, []table.Row) { return t.apply(writes), nil })
}

// noCommitFault is for operations that OnCommit is not called for.
func noCommitFault() CommitFault { return NoFault }

// apply executes all writes of a transaction, or none if a condition fails.
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
