package fleet

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

var onceServices = []id.Service{Orders, Desk}

// commits runs do when a transaction over a record of a non-idempotent call
// reaches the table; state tells what it writes.
func (f *Fleet) commits(do func(n *Node, state table.OnceState) Fate) {
	f.Table.OnCommit = func(n *Node, writes []table.Write) Fate {
		for _, w := range writes {
			if body, ok := w.Body.(table.Once); ok {
				return do(n, body.State)
			}
		}
		return CarriedOut
	}
}

// totalRuns counts the runs of all calls.
func totalRuns(calls ...*Call) int {
	n := 0
	for _, c := range calls {
		n += c.runs
	}
	return n
}

// TestOrderRepeatedAtOnce: a caller that heard nothing sends its order again
// through every instance of every zone in the same moment. All insert the same
// row; one wins, and is sent. The others find its row, wait for its holder, and
// answer with the same outcome. The order runs once.
func TestOrderRepeatedAtOnce(t *testing.T) {
	t.Parallel()
	for _, service := range onceServices {
		t.Run(string(service), func(t *testing.T) {
			f := ready(t, 11, nil)
			for _, n := range f.Nodes {
				f.Call(n, order(service, "k", "one"))
			}
			f.Run(15 * time.Second)
			wantWhole(t, f.Calls...)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			noFaults(t, f)
		})
	}
}

// TestOrderEntryKilled: the instance that took an order dies at some point of
// it, and the caller repeats the order through another zone. Before the row is
// written nothing stands, so the repeat runs it. From then on nobody can tell
// whether it was sent: only a service that tells outcomes gives an answer, and
// only if it ran. It never runs twice.
func TestOrderEntryKilled(t *testing.T) {
	t.Parallel()
	killOnInsert := func(fate Fate) func(f *Fleet) {
		return func(f *Fleet) {
			f.commits(func(n *Node, s table.OnceState) Fate {
				f.Table.OnCommit = nil
				n.Kill()
				return fate
			})
		}
	}
	killOnOutcome := func(f *Fleet) {
		f.commits(func(n *Node, s table.OnceState) Fate {
			if s != table.OnceDone {
				return CarriedOut
			}
			f.Table.OnCommit = nil
			n.Kill()
			return RequestLost
		})
	}
	killAfterSend := func(d time.Duration) func(f *Fleet) {
		return func(f *Fleet) {
			f.OnDispatch = func(n *Node, _ *Call) {
				f.OnDispatch = nil
				f.after(d, n.Kill)
			}
		}
	}
	tests := []struct {
		name    string
		fault   func(f *Fleet)
		runs    int
		answers map[id.Service]bool
	}{
		{"before the row is written", killOnInsert(RequestLost), 1, map[id.Service]bool{Orders: true, Desk: true}},
		{"after the row is written", killOnInsert(CarriedOut), 0, nil},
		{"before the server has it", killAfterSend(0), 0, nil},
		{"while it runs", killAfterSend(5 * time.Millisecond), 1, map[id.Service]bool{Orders: true}},
		{"after it ran", killOnOutcome, 1, map[id.Service]bool{Orders: true}},
	}
	for _, test := range tests {
		for _, service := range onceServices {
			t.Run(test.name+" "+string(service), func(t *testing.T) {
				f := ready(t, 12, nil)
				test.fault(f)
				first := f.Call(f.Nodes[0], order(service, "k", "one"))
				f.Run(time.Second)
				if !first.lost {
					t.Fatalf("the first instance was to die, the call got %s", first.ending())
				}
				repeat := f.Call(f.Nodes[4], order(service, "k", "one"))
				f.Run(20 * time.Second)
				again := f.Call(f.Nodes[8], order(service, "k", "one"))
				f.Run(20 * time.Second)
				for _, c := range []*Call{repeat, again} {
					if test.answers[service] {
						wantWhole(t, c)
						continue
					}
					wantRefused(t, c, event.ReasonOutcomeUnknown, event.MayHaveRun)
				}
				if n := totalRuns(f.Calls...); n != test.runs {
					t.Errorf("%d runs, want %d", n, test.runs)
				}
				noFaults(t, f)
			})
		}
	}
}

// TestOrderTableAnswerLost: a transaction over an order's row takes effect, and
// its answer is lost. At the insert, the row is read back and the order is sent
// once. At the outcome, the row is read back and counts as stored. The caller
// sees its answer, and so does a repeat through another zone.
func TestOrderTableAnswerLost(t *testing.T) {
	t.Parallel()
	for _, at := range []table.OnceState{table.OnceRunning, table.OnceDone} {
		for _, fate := range []Fate{AnswerLost, RequestLost} {
			for _, service := range onceServices {
				t.Run(string(at)+" "+fate.String()+" "+string(service), func(t *testing.T) {
					f := ready(t, 13, nil)
					f.commits(func(_ *Node, s table.OnceState) Fate {
						if s != at {
							return CarriedOut
						}
						f.Table.OnCommit = nil
						return fate
					})
					first := f.Call(f.Nodes[0], order(service, "k", "one"))
					f.Run(12 * time.Second)
					repeat := f.Call(f.Nodes[5], order(service, "k", "one"))
					f.Run(12 * time.Second)
					wantWhole(t, first, repeat)
					if n := totalRuns(f.Calls...); n != 1 {
						t.Errorf("%d runs, want 1", n)
					}
					noFaults(t, f)
				})
			}
		}
	}
}

// TestOrderTableDown: the table has been silent for a while. An order can't be
// recorded, so it is not sent; every instance knows that the table is silent
// from its own renewals, and says "not run" without waiting for one more
// operation to time out. When the table is back the same order runs once.
func TestOrderTableDown(t *testing.T) {
	t.Parallel()
	f := ready(t, 14, nil)
	f.Table.Down = true
	f.Run(15 * time.Second)
	for _, n := range f.Nodes {
		f.Call(n, order(Desk, "k", "one"))
	}
	f.Run(11 * time.Second)
	for _, c := range f.Calls {
		wantRefused(t, c, event.ReasonTableUnavailable, event.NotRun)
		if c.Took() > 100*time.Millisecond {
			t.Errorf("%s was refused after %s", c.Request, c.Took())
		}
		if c.Refusal != nil && c.Refusal.RetryAfter == 0 {
			t.Errorf("%s is not told when to come back", c.Request)
		}
	}
	f.Table.Down = false
	f.Run(10 * time.Second)
	wantOrder := f.Call(f.Nodes[3], order(Desk, "k", "one"))
	f.Run(10 * time.Second)
	wantWhole(t, wantOrder)
	if n := totalRuns(f.Calls...); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	noFaults(t, f)
}

// TestOrderTableGoesDown: the table falls silent in the moment in which an order
// arrives, before anybody knows. The insert times out, and so does reading it
// back: the caller is told "not run" before its deadline, and that is true also
// if the insert took effect, as a repeat shows that runs the order once.
func TestOrderTableGoesDown(t *testing.T) {
	t.Parallel()
	for _, fate := range []Fate{AnswerLost, RequestLost} {
		t.Run(fate.String(), func(t *testing.T) {
			f := ready(t, 15, nil)
			f.commits(func(*Node, table.OnceState) Fate {
				f.Table.OnCommit = nil
				f.Table.Down = true
				return fate
			})
			first := f.Call(f.Nodes[0], order(Desk, "k", "one"))
			f.Run(12 * time.Second)
			if first.Refusal == nil || first.Refusal.Execution != event.NotRun {
				t.Errorf("want a refusal that says not-run, got %s", first.ending())
			}
			f.Table.Down = false
			f.Run(10 * time.Second)
			repeat := f.Call(f.Nodes[7], order(Desk, "k", "one"))
			f.Run(12 * time.Second)
			wantWhole(t, repeat)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			noFaults(t, f)
		})
	}
}

// TestOrderOtherBody: a caller uses an idempotency key again for another order,
// while the first one runs and after it. The row holds the digest of the first
// body, so the second one is refused as not run, through any instance.
func TestOrderOtherBody(t *testing.T) {
	t.Parallel()
	f := ready(t, 16, nil)
	first := f.Call(f.Nodes[0], order(Orders, "k", "one"))
	f.Run(15 * time.Millisecond)
	during := f.Call(f.Nodes[3], order(Orders, "k", "two"))
	f.Run(5 * time.Second)
	after := f.Call(f.Nodes[8], order(Orders, "k", "two"))
	f.Run(10 * time.Second)
	wantWhole(t, first)
	wantRefused(t, during, event.ReasonKeyReuse, event.NotRun)
	wantRefused(t, after, event.ReasonKeyReuse, event.NotRun)
	noFaults(t, f)
}

// TestOrderServerDies: the plain service runs an order and dies before it
// answers. The entry can't know that it ran. It asks a service that tells
// outcomes, and answers; for the other one it says "unknown". Repeats through
// other zones get the same, and nothing is sent again.
func TestOrderServerDies(t *testing.T) {
	t.Parallel()
	for _, service := range onceServices {
		t.Run(string(service), func(t *testing.T) {
			f := ready(t, 17, nil)
			for _, s := range f.Servers {
				s.DieAfterRun = 1
			}
			for _, n := range []int{0, 4, 8} {
				f.Call(f.Nodes[n], order(service, "k", "one"))
				f.Run(12 * time.Second)
			}
			for _, c := range f.Calls {
				if service == Orders {
					wantWhole(t, c)
					continue
				}
				wantRefused(t, c, event.ReasonOutcomeUnknown, event.MayHaveRun)
			}
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			noFaults(t, f)
		})
	}
}

// TestOrderHolderPausedOrCut: the instance that sent an order is frozen, or its
// zone is cut off from the others, while the order runs. The caller's repeat
// through another zone finds the row and no holder. It may say "unknown" or wait
// for the outcome; it must not send. When the holder is back, repeats agree. What
// a frozen holder makes of an outcome that it has in hand is looked at in
// TestOutcomeInHandAfterPause.
func TestOrderHolderPausedOrCut(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *Fleet, n *Node){
		"paused": func(_ *Fleet, n *Node) { n.Pause(15 * time.Second) },
		"cut":    func(f *Fleet, n *Node) { f.Net.Isolate(n.Zone, true) },
	}
	for _, name := range []string{"paused", "cut"} {
		for _, service := range onceServices {
			t.Run(name+" "+string(service), func(t *testing.T) {
				f := ready(t, 18, nil)
				f.OnDispatch = func(n *Node, _ *Call) {
					f.OnDispatch = nil
					f.after(5*time.Millisecond, func() { faults[name](f, n) })
				}
				f.Call(f.Nodes[0], order(service, "k", "one"))
				f.Run(time.Second)
				f.Call(f.Nodes[4], order(service, "k", "one"))
				f.Run(20 * time.Second)
				f.Heal()
				f.Run(20 * time.Second)
				f.Call(f.Nodes[8], order(service, "k", "one"))
				f.Run(12 * time.Second)
				if n := totalRuns(f.Calls...); n != 1 {
					t.Errorf("%d runs, want 1", n)
				}
				if last := f.Calls[len(f.Calls)-1]; service == Orders || name == "cut" {
					wantWhole(t, last)
				}
				noFaults(t, f)
			})
		}
	}
}

// TestOrderChecksFire shows that the checks above can fail: a table that ignores
// conditions lets every instance insert its row, and the order runs nine times;
// a server that runs what it says it refused makes a "not run" untrue.
func TestOrderChecksFire(t *testing.T) {
	t.Parallel()
	f := ready(t, 19, nil)
	f.Table.IgnoreConditions = true
	for _, n := range f.Nodes {
		f.Call(n, order(Desk, "k", "one"))
	}
	f.Run(3 * time.Second)
	if n := totalRuns(f.Calls...); n < 2 {
		t.Errorf("%d runs at a table without conditions", n)
	}
	wantFault(t, f, "an order ran more than once")

	f = ready(t, 20, nil)
	for _, s := range f.Servers {
		s.RunsRefused = true
	}
	f.Call(f.Nodes[0], model("", "x"))
	f.Run(30 * time.Second)
	wantFault(t, f, "a request ran and was refused as not run")
}

// TestOrderInCutZone: a zone is cut off from the platform and from the other
// zones. An order there can't be recorded, and is refused as not run at once. The
// caller sends it through another zone, where it runs once; after the cut the
// first zone tells the same outcome.
func TestOrderInCutZone(t *testing.T) {
	t.Parallel()
	for _, service := range onceServices {
		t.Run(string(service), func(t *testing.T) {
			f := ready(t, 110, nil)
			f.Net.Isolate("za", true)
			f.Run(15 * time.Second)
			cut := f.Call(f.Nodes[0], order(service, "k", "one"))
			f.Run(time.Second)
			wantRefused(t, cut, event.ReasonTableUnavailable, event.NotRun)
			if cut.Took() > 100*time.Millisecond {
				t.Errorf("refused after %s", cut.Took())
			}
			other := f.Call(f.Nodes[4], order(service, "k", "one"))
			f.Run(5 * time.Second)
			f.Heal()
			f.Run(10 * time.Second)
			back := f.Call(f.Nodes[0], order(service, "k", "one"))
			f.Run(10 * time.Second)
			wantWhole(t, other, back)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			noFaults(t, f)
		})
	}
}
