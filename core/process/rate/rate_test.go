package rate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/config"
	"oleanderdale.org/core/event"
	"oleanderdale.org/core/id"
	"oleanderdale.org/core/invariant"
	"oleanderdale.org/core/message"
	"oleanderdale.org/core/process"
	"oleanderdale.org/core/process/fleettest"
	"oleanderdale.org/core/table"
)

const (
	testRate  = 100.0
	testBurst = 300.0
)

func (f *fleet) one(int) *fleettest.Node      { return f.Nodes[0] }
func (f *fleet) all(n int) *fleettest.Node    { return f.Nodes[n%9] }
func (f *fleet) moving(n int) *fleettest.Node { return f.Nodes[n/40%9] }

// alive returns an instance of zone z0 that is not stopping.
func (f *fleet) alive(int) *fleettest.Node {
	for _, n := range f.Nodes {
		if n.Zone == "z0" && !n.Dead && !holder(n).closed {
			return n
		}
	}
	return nil
}

// replace starts a new instance and stops n as planned, its slots going to a
// zone-mate, under load.
func (f *fleet) replace(n *fleettest.Node, name string) {
	fresh := f.start(id.Instance(name), n.Zone)
	f.traffic(4*time.Second, 0.95, 10, f.alive)
	f.handOver(n, fresh)
	f.traffic(2*time.Second, 0.95, 10, f.alive)
	f.Do(n, n.Machine.(*instance).lease.Stop)
	f.Run(time.Second)
	n.Dead = true
}

func TestMain(m *testing.M) {
	fleettest.FixSeed(25)
	m.Run()
}

// A caller sends 95% of its account's rate, most of the time through one
// instance, while something fails. It must not be refused but for what the
// failed part's share explains, and never get more than rate and burst over
// all instances together (the fleet's oracle checks each grant).
func TestFailures(t *testing.T) {
	cases := []struct {
		name  string
		run   func(f *fleet)
		wrong float64 // largest part of the honest requests that may be refused
		slots int     // held at the end
	}{
		{"nothing", func(f *fleet) { f.traffic(time.Minute, 0.95, 10, f.one) }, 0, 9},
		{"table down", func(f *fleet) {
			f.Faults.TableDown = true
			f.traffic(10*time.Minute, 0.95, 10, f.one)
		}, 0, 9},
		{"messages lost and doubled", func(f *fleet) {
			f.Faults.Loss, f.Faults.Dup, f.Faults.Delay = 0.2, 0.2, 20*time.Millisecond
			f.traffic(time.Minute, 0.95, 10, f.one)
		}, 0.1, 9},
		{"a holder of a ninth dies", func(f *fleet) {
			f.Nodes[4].Dead = true
			f.traffic(time.Minute, 0.95, 10, f.one)
		}, 0.1, 9},
		{"the borrower dies", func(f *fleet) {
			f.traffic(20*time.Second, 0.95, 10, f.one)
			f.Nodes[0].Dead = true
			f.traffic(time.Minute, 0.95, 10, f.alive)
		}, 0.15, 9},
		{"a holder is paused for long", func(f *fleet) {
			f.Pause(f.Nodes[4], 40*time.Second)
			f.traffic(time.Minute, 0.95, 10, f.one)
		}, 0.1, 9},
		{"the zone is cut off", func(f *fleet) {
			f.Faults.LinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
			f.traffic(time.Minute, 0.95, 10, f.one)
		}, 1 - 1/(3*0.95), 9},
		{"planned stop with the table down", func(f *fleet) {
			f.Faults.TableDown = true
			f.traffic(20*time.Second, 0.95, 10, f.one)
			f.handOver(f.Nodes[0], f.Nodes[3])
			f.traffic(time.Second, 0.95, 10, f.alive)
			f.Nodes[0].Dead = true
			f.traffic(2*time.Minute, 0.95, 10, f.alive)
			f.Faults.TableDown = false
			f.traffic(time.Minute, 0.95, 10, f.alive)
		}, 0.01, 9},
		{"all nine replaced one after another", func(f *fleet) {
			for n := range 9 {
				f.replace(f.Nodes[n], fmt.Sprint("new", n))
			}
			f.traffic(30*time.Second, 0.95, 10, f.alive)
		}, 0.01, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, testRate, testBurst, hooks{}, t.Fatalf)
			c.run(f)
			f.Run(40 * time.Second)
			if got := float64(f.wrong) / float64(f.insideAll); got > c.wrong {
				t.Errorf("%d of %d honest requests refused, %.3f", f.wrong, f.insideAll, got)
			}
			if len(f.decided) != len(f.asked) {
				t.Errorf("%d of %d requests decided", len(f.decided), len(f.asked))
			}
			if f.slotsHeld() != c.slots {
				t.Errorf("%d slots held, want %d", f.slotsHeld(), c.slots)
			}
		})
	}
}

// A caller sends ten times its rate through all instances, or through one. It is
// refused nine tenths of it, but gets at least 95% of its rate and burst.
func TestOverloadStillGetsTheRate(t *testing.T) {
	for _, pick := range []func(*fleet, int) *fleettest.Node{(*fleet).one, (*fleet).all} {
		f := newFleet(8, testRate, testBurst, hooks{}, t.Fatalf)
		f.traffic(time.Minute, 10, 10, func(n int) *fleettest.Node { return pick(f, n) })
		got := 0.0
		for req, d := range f.decided {
			if d.Granted {
				got += f.asked[req]
			}
		}
		if due := testRate*60 + testBurst; got < 0.95*due {
			t.Errorf("%g tokens of %g", got, due)
		}
	}
}

// An operator halves the rate and the burst while most of it is lent. Once the
// change is everywhere and the loans of before have run out, the caller gets no
// more than the new limits.
func TestLoweredWhileLent(t *testing.T) {
	f := newFleet(5, testRate, testBurst, hooks{}, t.Fatalf)
	f.traffic(20*time.Second, 0.95, 10, f.one)
	f.cfg = configOf(testRate/2, testBurst/2, 3, 3)
	for _, n := range f.Nodes {
		f.Do(n, func(now clock.Time, _ *event.Outbox) { holder(n).Configure(now, f.cfg) })
		f.traffic(time.Second, 0.95, 10, f.one)
	}
	f.Run(holder(f.Nodes[0]).loanHold())
	f.granted = bucket{rate: testRate / 2, burst: testBurst / 2, at: f.Now}
	f.traffic(20*time.Second, 0.95, 10, f.one)
}

// What can't be granted is refused at once with when to come back; what is
// larger than the burst is refused for good.
func TestRefusals(t *testing.T) {
	f := newFleet(6, testRate, testBurst, hooks{}, t.Fatalf)
	f.ask(f.Nodes[0], testBurst+1, time.Hour)
	if d := f.decided["r0"]; d.Reason != ReasonTooLarge || d.RetryAfter != 0 {
		t.Errorf("larger than the burst: %+v", d)
	}
	f.ask(f.Nodes[0], testBurst, time.Second)
	f.Run(50 * time.Millisecond)
	if !f.decided["r1"].Granted {
		t.Errorf("the whole burst: %+v", f.decided["r1"])
	}
	f.ask(f.Nodes[0], testBurst/2, time.Second)
	f.Run(50 * time.Millisecond)
	if d := f.decided["r2"]; d.Reason != ReasonRate || d.RetryAfter < time.Second {
		t.Errorf("no tokens before the deadline: %+v", d)
	}
	f.ask(f.Nodes[0], testBurst/2, 4*time.Second)
	f.Run(4 * time.Second)
	if !f.decided["r3"].Granted {
		t.Errorf("tokens accrue before the deadline: %+v", f.decided["r3"])
	}
	f.ask(f.Nodes[0], testBurst, time.Minute)
	f.ask(f.Nodes[0], 1, time.Minute)
	holder(f.Nodes[0]).Cancel("r4") // its caller hung up
	f.Run(50 * time.Millisecond)
	if _, ok := f.decided["r4"]; ok || !f.decided["r5"].Granted {
		t.Errorf("behind a cancelled request: %+v", f.decided["r5"])
	}
}

// A fault in the sums gives a caller tokens that do not exist. Each assertion
// has to report it, so that the request is refused instead.
func TestAssertions(t *testing.T) {
	var out event.Outbox
	cases := map[string]func(h *Holder, a *account){
		"rate-negative":   func(h *Holder, a *account) { a.balance = -2; a.holdsInvariants(h) },
		"rate-over-burst": func(h *Holder, a *account) { a.balance *= 2; a.holdsInvariants(h) },
		"rate-overspent":  func(h *Holder, a *account) { h.spend(a, 2*a.balance, &out) },
		"rate-overlent": func(h *Holder, a *account) {
			h.hooks.overLend = true
			h.drawn(0, "j", message.LoanRequest{ID: 1, Account: "a0", Rate: 2 * a.rate}, &out)
		},
	}
	for name, breakIt := range cases {
		h, _ := touched(t, 1)
		var got []string
		h.check = invariant.Reporting(func(v invariant.Violation) { got = append(got, v.Name) })
		breakIt(h, h.accounts["a0"])
		if len(got) != 1 || got[0] != name {
			t.Errorf("%s: reported %v", name, got)
		}
	}
}

// The answer to a draw is lost on the way and the draw comes again. If it were
// lent a second time, the caller would wait for tokens that nobody has.
func TestRepeatedDraw(t *testing.T) {
	for _, broken := range []bool{false, true} {
		h := alone(1)
		h.hooks.answerTwice = broken
		var out event.Outbox
		for range 2 {
			h.Peer(0, "j", message.LoanRequest{ID: 1, Account: "a0", Tokens: 1e6}, &out)
		}
		sent := out.Take()
		if again := sent[0] != sent[1] || h.accounts["a0"].balance != 1e9-1e6; again != broken {
			t.Errorf("broken %v: sent %v, left %g", broken, sent, h.accounts["a0"].balance)
		}
	}
}

// Each safeguard is switched off in turn. Without it a caller gets more than
// its rate and burst: the oracle, or an assertion inside, has to notice.
func TestSafeguardsAreNeeded(t *testing.T) {
	skew := func(f *fleet) {
		f.Faults.Loss, f.Faults.Delay = 0.1, 20*time.Millisecond
		f.traffic(30*time.Second, 3, 25, f.moving)
	}
	cases := []struct {
		name  string
		hooks hooks
		run   func(f *fleet)
	}{
		{"deduct before sending", hooks{lendWithoutDeducting: true}, skew},
		{"room set aside", hooks{keepRoom: true}, skew},
		{"no more lent than held", hooks{overLend: true}, skew},
		{"lease asked before a spend", hooks{skipRights: true}, func(f *fleet) {
			n := f.Nodes[4]
			f.Pause(n, time.Minute)
			f.Run(50 * time.Second)
			f.traffic(5*time.Second, 3, 25, f.one)
			n.NoTable = true
			f.Run(5 * time.Second)
			f.traffic(20*time.Second, 3, 25, f.all)
		}},
		{"stop before the handover", hooks{keepAfterHandover: true}, func(f *fleet) {
			f.handOver(f.Nodes[0], f.Nodes[3])
			f.traffic(10*time.Second, 3, 25, f.all)
		}},
	}
	for _, c := range cases {
		for _, broken := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/broken=%v", c.name, broken), func(t *testing.T) {
				var h hooks
				if broken {
					h = c.hooks
				}
				noticed := false
				f := newFleet(7, testRate, testBurst, h, func(string, ...any) { noticed = true })
				func() {
					defer func() { noticed = recover() != nil || noticed }()
					c.run(f)
				}()
				if noticed != broken {
					t.Errorf("violation noticed: %v", noticed)
				}
			})
		}
	}
}

// A caller sends up to four times its rate through any instance while messages
// are lost, doubled and late, the table fails, and instances pause, die, start
// and stop. Whatever the mix, it gets no more than rate and burst over all of
// them, and each request one answer in time.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), testRate, testBurst, hooks{}, t.Fatalf)
		for n := range rapid.IntRange(1, 12).Draw(t, "faults") {
			f.randomFault(t, n)
			share := rapid.Float64Range(0.2, 4).Draw(t, "share")
			step := rapid.IntRange(1, 7).Draw(t, "step")
			d := time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second
			f.traffic(d, share, rapid.Float64Range(5, 100).Draw(t, "tokens"), func(n int) *fleettest.Node {
				return f.Nodes[n*step/3%len(f.Nodes)]
			})
		}
		f.Run(time.Minute)
		for req, n := range f.entry {
			if _, ok := f.decided[req]; !ok && !n.Dead {
				t.Fatalf("%s at %s has no answer", req, n.Name)
			}
		}
	})
}

func (f *fleet) randomFault(t *rapid.T, n int) {
	node := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1:
		f.Pause(node, time.Duration(rapid.IntRange(100, 40_000).Draw(t, "pause"))*time.Millisecond)
	case 2:
		node.Dead = true
		f.start(id.Instance(fmt.Sprint("n", n)), node.Zone)
	case 3:
		f.Faults.TableDown = !f.Faults.TableDown
	case 4:
		f.Faults.LostAnswer = 0.5 - f.Faults.LostAnswer
	case 5:
		f.Faults.ZoneCut["z0"] = !f.Faults.ZoneCut["z0"]
	case 6:
		f.Faults.LinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
	case 7:
		f.Faults.LinkCut = nil
		f.Faults.Loss, f.Faults.Dup, f.Faults.Delay = 0.1, 0.1, 50*time.Millisecond
	case 8:
		if to := f.mateOf(node); to != nil && !node.Dead && !f.Paused(node) && !holder(node).closed {
			f.handOver(node, to)
			f.Run(time.Second)
			f.Do(node, node.Machine.(*instance).lease.Stop)
		}
	case 9:
		if !node.Dead && !f.Paused(node) {
			f.giveBack(node, 20)
		}
	}
}

// mateOf returns another running instance of the same zone, or nil.
func (f *fleet) mateOf(n *fleettest.Node) *fleettest.Node {
	for _, m := range f.Nodes {
		if m != n && m.Zone == n.Zone && !m.Dead && !f.Paused(m) && !holder(m).closed {
			return m
		}
	}
	return nil
}

// alone is a holder of all slots of a fleet of one, without any faults.
func alone(accounts int) *Holder {
	const burst = 1e9
	c := configOf(1, burst, 1, 1)
	for n := range accounts {
		name := id.Account(fmt.Sprint("a", n))
		c.Accounts[name] = config.Account{Name: name, Rate: 1e6, Burst: burst}
	}
	h := New(Settings{Instance: "i", Zone: "z0"}, always{}, nobody{}, nil)
	h.Configure(0, c)
	var out event.Outbox
	h.Tick(0, &out)
	answer := func(rows ...table.Row) {
		for _, e := range out.Take() {
			switch e := e.(type) {
			case event.TableRead:
				h.Table(0, event.TableResult{Op: e.Op, Rows: rows}, &out)
			case event.TableCommit:
				h.Table(0, event.TableResult{Op: e.Op}, &out)
			}
		}
	}
	answer() // reads nothing and acquires
	answer() // took effect
	h.Tick(0, &out)
	answer(table.Row{Key: slotKey{"z0", 0}.row(), Version: 1, Body: table.Slot{Zone: "z0", Holder: "i", Fencing: 1}})
	return h
}

// always is a lease that holds.
type always struct{ process.Rights }

func (always) Valid(clock.Time) bool  { return true }
func (always) Ended(id.Instance) bool { return false }

// nobody is a membership of one.
type nobody struct{ process.Members }

func (nobody) InZone(id.Zone) []id.Instance { return []id.Instance{"i"} }
func (nobody) Live() []id.Instance          { return []id.Instance{"i"} }
func (nobody) ZoneOf(id.Instance) id.Zone   { return "z0" }

func BenchmarkAsk(b *testing.B) {
	for _, accounts := range []int{10, 1000, 50_000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			h, names := touched(b, accounts)
			var out event.Outbox
			now := clock.Time(0)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now++
				h.Ask(now, "r", names[n%accounts], 1, now+1, &out)
				if d := h.Decisions(); len(d) != 1 || !d[0].Granted {
					b.Fatal(d)
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, accounts := range []int{10, 1000, 50_000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			h, _ := touched(b, accounts)
			var out event.Outbox
			now := clock.Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now++
				h.Tick(now, &out)
				out.Take()
			}
		})
	}
}

func touched(b testing.TB, accounts int) (*Holder, []id.Account) {
	h := alone(accounts)
	var out event.Outbox
	names := make([]id.Account, accounts)
	for n := range accounts {
		names[n] = id.Account(fmt.Sprint("a", n))
		h.Ask(0, "r", names[n], 1, 1, &out)
	}
	if d := h.Decisions(); !d[0].Granted {
		b.Fatal(d[0])
	}
	return h, names
}

// BenchmarkWrongfulRefusals sends 95% of an account's rate, in requests of
// random sizes at random moments, and reports the part refused of those that
// keep within rate and burst, next to that of an equal static split.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, wait := range []time.Duration{time.Millisecond * 100, 2 * time.Second} {
		for _, p := range []string{"one", "all", "moving"} {
			b.Run(fmt.Sprintf("entry=%s/deadline=%s", p, wait), func(b *testing.B) {
				for b.Loop() {
					f := newFleet(1, testRate, testBurst, hooks{}, b.Fatalf)
					pick := map[string]func(int) *fleettest.Node{"one": f.one, "all": f.all, "moving": f.moving}[p]
					f.TableOps, f.Messages = 0, 0
					static := f.poisson(10*time.Minute, wait, pick)
					n := float64(f.insideAll)
					b.ReportMetric(float64(f.wrong)/n, "refused/honest")
					b.ReportMetric(float64(static)/n, "refused-static/honest")
					b.ReportMetric(float64(f.TableOps)/float64(len(f.asked)), "table-ops/request")
					b.ReportMetric(float64(f.Messages)/float64(len(f.asked)), "messages/request")
				}
			})
		}
	}
}

// poisson asks at random moments, and returns how many honest requests a
// static split over nine buckets would have refused.
func (f *fleet) poisson(d, wait time.Duration, pick func(n int) *fleettest.Node) int {
	const mean = 10.0
	rng := rand.New(rand.NewPCG(2, 0))
	var split [9]bucket
	refused := 0
	end := f.Now.Add(d)
	for n := 0; f.Now < end; n++ {
		tokens := mean * (0.5 + rng.Float64())
		f.Run(f.honest.until(f.Now, tokens))
		node := pick(n)
		i := slices.Index(f.Nodes, node)
		split[i].rate, split[i].burst = testRate/9, testBurst/9+testRate/9*wait.Seconds()
		honest := f.insideAll
		f.ask(node, tokens, wait)
		if !split[i].fits(f.Now, tokens) && f.insideAll > honest {
			refused++
		}
		f.Run(time.Duration(rng.ExpFloat64() * mean / (0.95 * testRate) * float64(time.Second)))
	}
	f.Run(wait + time.Second)
	return refused
}
