package fleet

import (
	"testing"
	"time"

	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/table"
)

var orderServices = []id.Service{Orders, Desk}

// onOnceCommit calls decide when a transaction that writes the record of a
// non-idempotent call reaches the table; state is the new state of the record.
func (f *Fleet) onOnceCommit(decide func(n *Node, state table.OnceState) CommitFault) {
	f.Table.OnCommit = func(n *Node, writes []table.Write) CommitFault {
		for _, w := range writes {
			if body, ok := w.Body.(table.Once); ok {
				return decide(n, body.State)
			}
		}
		return NoFault
	}
}

// totalRuns returns the number of runs of all the calls.
func totalRuns(calls ...*Call) int {
	n := 0
	for _, c := range calls {
		n += c.runs
	}
	return n
}

// TestOrderSentConcurrently: a caller sends the same order through every
// instance of every zone at the same time. All try to insert the same row and
// one succeeds, which sends the order. The others find the row, wait for its
// holder, and give the same response. The order runs once.
func TestOrderSentConcurrently(t *testing.T) {
	t.Parallel()
	for _, service := range orderServices {
		t.Run(string(service), func(t *testing.T) {
			f := newReadyFleet(t, 11, nil)
			for _, n := range f.Nodes {
				f.Call(n, orderSpec(service, "k", "one"))
			}
			f.Run(15 * time.Second)
			wantCompleted(t, f.Calls...)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestOrderInstanceKilled: the instance that took an order is killed at some
// point, and the caller repeats the order through other zones. If the row was
// not written, the repeat runs the order. If it was, no other instance can know
// whether the order was sent: the repeat is answered only if the order ran and
// the outcome can be queried at the service. The order never runs twice.
func TestOrderInstanceKilled(t *testing.T) {
	t.Parallel()
	killOnInsert := func(fault CommitFault) func(f *Fleet) {
		return func(f *Fleet) {
			f.onOnceCommit(func(n *Node, s table.OnceState) CommitFault {
				f.Table.OnCommit = nil
				n.Kill()
				return fault
			})
		}
	}
	killOnOutcome := func(f *Fleet) {
		f.onOnceCommit(func(n *Node, s table.OnceState) CommitFault {
			if s != table.OnceDone {
				return NoFault
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
				f.schedule(d, n.Kill)
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
		{"after the row is written", killOnInsert(NoFault), 0, nil},
		{"before it reaches the server", killAfterSend(0), 0, nil},
		{"while it runs", killAfterSend(5 * time.Millisecond), 1, map[id.Service]bool{Orders: true}},
		{"after it ran", killOnOutcome, 1, map[id.Service]bool{Orders: true}},
	}
	for _, test := range tests {
		for _, service := range orderServices {
			t.Run(test.name+" "+string(service), func(t *testing.T) {
				f := newReadyFleet(t, 12, nil)
				test.fault(f)
				first := f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
				f.Run(time.Second)
				if !first.connectionLost {
					t.Fatalf("the first instance was not killed, its call got %s", first.describeResult())
				}
				repeat := f.Call(f.Nodes[4], orderSpec(service, "k", "one"))
				f.Run(20 * time.Second)
				secondRepeat := f.Call(f.Nodes[8], orderSpec(service, "k", "one"))
				f.Run(20 * time.Second)
				for _, c := range []*Call{repeat, secondRepeat} {
					if test.answers[service] {
						wantCompleted(t, c)
						continue
					}
					wantRefused(t, c, event.ReasonOutcomeUnknown, event.MayHaveRun)
				}
				if n := totalRuns(f.Calls...); n != test.runs {
					t.Errorf("%d runs, want %d", n, test.runs)
				}
				wantNoViolations(t, f)
			})
		}
	}
}

// TestOrderTableReplyLost: a transaction on the row of an order gets no reply,
// and took effect or did not. The instance reads the row to find out, for the
// insert before it sends the order once, and for the outcome before it counts as
// stored. The caller and a repeat through another zone are answered.
func TestOrderTableReplyLost(t *testing.T) {
	t.Parallel()
	for _, failingState := range []table.OnceState{table.OnceRunning, table.OnceDone} {
		for _, fault := range []CommitFault{ReplyLost, RequestLost} {
			for _, service := range orderServices {
				t.Run(string(failingState)+" "+fault.String()+" "+string(service), func(t *testing.T) {
					f := newReadyFleet(t, 13, nil)
					f.onOnceCommit(func(_ *Node, s table.OnceState) CommitFault {
						if s != failingState {
							return NoFault
						}
						f.Table.OnCommit = nil
						return fault
					})
					first := f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
					f.Run(12 * time.Second)
					repeat := f.Call(f.Nodes[5], orderSpec(service, "k", "one"))
					f.Run(12 * time.Second)
					wantCompleted(t, first, repeat)
					if n := totalRuns(f.Calls...); n != 1 {
						t.Errorf("%d runs, want 1", n)
					}
					wantNoViolations(t, f)
				})
			}
		}
	}
}

// TestOrderTableDown: the table has been down for a while, so that orders cannot
// be recorded and must not be sent. Each instance knows this from its own failed
// renewals, and refuses orders as not run without waiting for another timeout.
// When the table is back the order runs once.
func TestOrderTableDown(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 14, nil)
	f.Table.Down = true
	f.Run(15 * time.Second)
	for _, n := range f.Nodes {
		f.Call(n, orderSpec(Desk, "k", "one"))
	}
	f.Run(11 * time.Second)
	for _, c := range f.Calls {
		wantRefused(t, c, event.ReasonTableUnavailable, event.NotRun)
		if c.Latency() > 100*time.Millisecond {
			t.Errorf("%s was refused after %s", c.Request, c.Latency())
		}
		if c.Refusal != nil && c.Refusal.RetryAfter == 0 {
			t.Errorf("the refusal of %s has no retry time", c.Request)
		}
	}
	f.Table.Down = false
	f.Run(10 * time.Second)
	retried := f.Call(f.Nodes[3], orderSpec(Desk, "k", "one"))
	f.Run(10 * time.Second)
	wantCompleted(t, retried)
	if n := totalRuns(f.Calls...); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	wantNoViolations(t, f)
}

// TestOrderDuringTableFailure: the table goes down just as an order arrives,
// before any instance knows. The insert times out, and so does reading the row
// back. The caller is told "not run" before its deadline. This is true even if
// the insert took effect: a repeat runs the order once.
func TestOrderDuringTableFailure(t *testing.T) {
	t.Parallel()
	for _, fault := range []CommitFault{ReplyLost, RequestLost} {
		t.Run(fault.String(), func(t *testing.T) {
			f := newReadyFleet(t, 15, nil)
			f.onOnceCommit(func(*Node, table.OnceState) CommitFault {
				f.Table.OnCommit = nil
				f.Table.Down = true
				return fault
			})
			first := f.Call(f.Nodes[0], orderSpec(Desk, "k", "one"))
			f.Run(12 * time.Second)
			if first.Refusal == nil || first.Refusal.Execution != event.NotRun {
				t.Errorf("want a refusal that says not-run, got %s", first.describeResult())
			}
			f.Table.Down = false
			f.Run(10 * time.Second)
			repeat := f.Call(f.Nodes[7], orderSpec(Desk, "k", "one"))
			f.Run(12 * time.Second)
			wantCompleted(t, repeat)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestOrderKeyReusedWithOtherBody: a caller reuses an idempotency key for a
// different order, while the first one runs and after it. The row holds the
// digest of the first body, so the other order is refused as not run at any
// instance.
func TestOrderKeyReusedWithOtherBody(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 16, nil)
	first := f.Call(f.Nodes[0], orderSpec(Orders, "k", "one"))
	f.Run(15 * time.Millisecond)
	during := f.Call(f.Nodes[3], orderSpec(Orders, "k", "two"))
	f.Run(5 * time.Second)
	after := f.Call(f.Nodes[8], orderSpec(Orders, "k", "two"))
	f.Run(10 * time.Second)
	wantCompleted(t, first)
	wantRefused(t, during, event.ReasonKeyReuse, event.NotRun)
	wantRefused(t, after, event.ReasonKeyReuse, event.NotRun)
	wantNoViolations(t, f)
}

// TestOrderServerCrashes: a plain service runs an order and crashes before it
// responds. The instance cannot know that the order ran. It queries the outcome
// if the service supports that, and else says that it is unknown. Repeats
// through other zones get the same response, and the order is not sent again.
func TestOrderServerCrashes(t *testing.T) {
	t.Parallel()
	for _, service := range orderServices {
		t.Run(string(service), func(t *testing.T) {
			f := newReadyFleet(t, 17, nil)
			for _, s := range f.Servers {
				s.CrashAfterRuns = 1
			}
			for _, n := range []int{0, 4, 8} {
				f.Call(f.Nodes[n], orderSpec(service, "k", "one"))
				f.Run(12 * time.Second)
			}
			for _, c := range f.Calls {
				if service == Orders {
					wantCompleted(t, c)
					continue
				}
				wantRefused(t, c, event.ReasonOutcomeUnknown, event.MayHaveRun)
			}
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			wantNoViolations(t, f)
		})
	}
}

// TestOrderHolderPausedOrIsolated: the instance that sent an order is paused, or
// its zone is isolated, while the order runs. A repeat through another zone
// finds the row but cannot reach its holder. It may get "unknown" or wait for
// the outcome, but the order must not be sent again.
// TestOutcomeReceivedDuringPause covers the outcome that a paused holder
// receives.
func TestOrderHolderPausedOrIsolated(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *Fleet, n *Node){
		"paused":   func(_ *Fleet, n *Node) { n.Pause(15 * time.Second) },
		"isolated": func(f *Fleet, n *Node) { f.Network.SetIsolated(n.Zone, true) },
	}
	for _, name := range []string{"paused", "isolated"} {
		for _, service := range orderServices {
			t.Run(name+" "+string(service), func(t *testing.T) {
				f := newReadyFleet(t, 18, nil)
				f.OnDispatch = func(n *Node, _ *Call) {
					f.OnDispatch = nil
					f.schedule(5*time.Millisecond, func() { faults[name](f, n) })
				}
				f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
				f.Run(time.Second)
				f.Call(f.Nodes[4], orderSpec(service, "k", "one"))
				f.Run(20 * time.Second)
				f.Heal()
				f.Run(20 * time.Second)
				f.Call(f.Nodes[8], orderSpec(service, "k", "one"))
				f.Run(12 * time.Second)
				if n := totalRuns(f.Calls...); n != 1 {
					t.Errorf("%d runs, want 1", n)
				}
				if last := f.Calls[len(f.Calls)-1]; service == Orders || name == "isolated" {
					wantCompleted(t, last)
				}
				wantNoViolations(t, f)
			})
		}
	}
}

// TestOrderChecksDetectViolations: with a table that ignores conditions every
// instance inserts its row and the order runs more than once; with servers that
// run requests which they report as refused, a refusal as not run is untrue.
func TestOrderChecksDetectViolations(t *testing.T) {
	t.Parallel()
	f := newReadyFleet(t, 19, nil)
	f.Table.IgnoreConditions = true
	for _, n := range f.Nodes {
		f.Call(n, orderSpec(Desk, "k", "one"))
	}
	f.Run(3 * time.Second)
	if n := totalRuns(f.Calls...); n < 2 {
		t.Errorf("%d runs at a table without conditions", n)
	}
	wantViolation(t, f, "an order ran more than once")

	f = newReadyFleet(t, 20, nil)
	for _, s := range f.Servers {
		s.ExecutesRefused = true
	}
	f.Call(f.Nodes[0], modelSpec("", "x"))
	f.Run(30 * time.Second)
	wantViolation(t, f, "a request ran and was refused as not run")
}

// TestOrderInIsolatedZone: an order in an isolated zone cannot be recorded, and
// is refused at once as not run. The caller sends it through another zone, where
// it runs once. When the zone is connected again it gives the same outcome.
func TestOrderInIsolatedZone(t *testing.T) {
	t.Parallel()
	for _, service := range orderServices {
		t.Run(string(service), func(t *testing.T) {
			f := newReadyFleet(t, 110, nil)
			f.Network.SetIsolated("za", true)
			f.Run(15 * time.Second)
			isolated := f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
			f.Run(time.Second)
			wantRefused(t, isolated, event.ReasonTableUnavailable, event.NotRun)
			if isolated.Latency() > 100*time.Millisecond {
				t.Errorf("refused after %s", isolated.Latency())
			}
			elsewhere := f.Call(f.Nodes[4], orderSpec(service, "k", "one"))
			f.Run(5 * time.Second)
			f.Heal()
			f.Run(10 * time.Second)
			afterwards := f.Call(f.Nodes[0], orderSpec(service, "k", "one"))
			f.Run(10 * time.Second)
			wantCompleted(t, elsewhere, afterwards)
			if n := totalRuns(f.Calls...); n != 1 {
				t.Errorf("%d runs, want 1", n)
			}
			wantNoViolations(t, f)
		})
	}
}
