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

func (f *fleet) firstNode(int) *fleettest.Node            { return f.Nodes[0] }
func (f *fleet) anyNode(n int) *fleettest.Node            { return f.Nodes[n%9] }
func (f *fleet) slowlyChangingNode(n int) *fleettest.Node { return f.Nodes[n/40%9] }

// aliveInZone0 returns an instance of zone z0 that is neither dead nor
// stopping.
func (f *fleet) aliveInZone0(int) *fleettest.Node {
	for _, n := range f.Nodes {
		if n.Zone == "z0" && !n.Dead && !limiterOf(n).closed {
			return n
		}
	}
	return nil
}

// replace starts a new instance and performs a planned stop of n under load,
// handing its slots over to the new instance.
func (f *fleet) replace(n *fleettest.Node, name string) {
	fresh := f.start(id.Instance(name), n.Zone)
	f.sendTraffic(4*time.Second, 0.95, 10, f.aliveInZone0)
	f.handOver(n, fresh)
	f.sendTraffic(2*time.Second, 0.95, 10, f.aliveInZone0)
	f.Call(n, n.Machine.(*instance).lease.Stop)
	f.Run(time.Second)
	n.Dead = true
}

func TestMain(m *testing.M) {
	fleettest.SetRapidDefaults(25)
	m.Run()
}

// A caller sends 95% of its account's rate, in most cases through one
// instance, while something fails. Requests may only be refused as far as the
// failed part's share explains it, and the caller must never get more than
// rate and burst over all instances; the fleet checks each grant.
func TestFailures(t *testing.T) {
	cases := []struct {
		name             string
		run              func(f *fleet)
		maxWrongRefusals float64 // largest accepted part of conforming requests that are refused
		wantSlots        int     // slots held at the end
	}{
		{"no failure", func(f *fleet) { f.sendTraffic(time.Minute, 0.95, 10, f.firstNode) }, 0, 9},
		{"table down", func(f *fleet) {
			f.Faults.TableDown = true
			f.sendTraffic(10*time.Minute, 0.95, 10, f.firstNode)
		}, 0, 9},
		{"messages lost and duplicated", func(f *fleet) {
			f.Faults.LossRate, f.Faults.DuplicateRate, f.Faults.MaxDelay = 0.2, 0.2, 20*time.Millisecond
			f.sendTraffic(time.Minute, 0.95, 10, f.firstNode)
		}, 0.1, 9},
		{"the holder of one slot dies", func(f *fleet) {
			f.Nodes[4].Dead = true
			f.sendTraffic(time.Minute, 0.95, 10, f.firstNode)
		}, 0.1, 9},
		{"the borrower dies", func(f *fleet) {
			f.sendTraffic(20*time.Second, 0.95, 10, f.firstNode)
			f.Nodes[0].Dead = true
			f.sendTraffic(time.Minute, 0.95, 10, f.aliveInZone0)
		}, 0.15, 9},
		{"a holder is paused for long", func(f *fleet) {
			f.Pause(f.Nodes[4], 40*time.Second)
			f.sendTraffic(time.Minute, 0.95, 10, f.firstNode)
		}, 0.1, 9},
		{"the zone is isolated", func(f *fleet) {
			f.Faults.IsLinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
			f.sendTraffic(time.Minute, 0.95, 10, f.firstNode)
		}, 1 - 1/(3*0.95), 9},
		{"planned stop with the table down", func(f *fleet) {
			f.Faults.TableDown = true
			f.sendTraffic(20*time.Second, 0.95, 10, f.firstNode)
			f.handOver(f.Nodes[0], f.Nodes[3])
			f.sendTraffic(time.Second, 0.95, 10, f.aliveInZone0)
			f.Nodes[0].Dead = true
			f.sendTraffic(2*time.Minute, 0.95, 10, f.aliveInZone0)
			f.Faults.TableDown = false
			f.sendTraffic(time.Minute, 0.95, 10, f.aliveInZone0)
		}, 0.01, 9},
		{"all nine replaced one after another", func(f *fleet) {
			for n := range 9 {
				f.replace(f.Nodes[n], fmt.Sprint("new", n))
			}
			f.sendTraffic(30*time.Second, 0.95, 10, f.aliveInZone0)
		}, 0.01, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, testRate, testBurst, testHooks{}, t.Fatalf)
			c.run(f)
			f.Run(40 * time.Second)
			if got := float64(f.wrongRefusals) / float64(f.conformingCount); got > c.maxWrongRefusals {
				t.Errorf("%d of %d conforming requests refused, %.3f", f.wrongRefusals, f.conformingCount, got)
			}
			if len(f.decisions) != len(f.requested) {
				t.Errorf("%d of %d requests decided", len(f.decisions), len(f.requested))
			}
			if f.slotsHeld() != c.wantSlots {
				t.Errorf("%d slots held, want %d", f.slotsHeld(), c.wantSlots)
			}
		})
	}
}

// A caller sends ten times its rate, through all instances or through one.
// Nine tenths are refused, but the caller must get at least 95% of its rate
// and burst.
func TestOverloadedAccountGetsItsRate(t *testing.T) {
	for _, pick := range []func(*fleet, int) *fleettest.Node{(*fleet).firstNode, (*fleet).anyNode} {
		f := newFleet(8, testRate, testBurst, testHooks{}, t.Fatalf)
		f.sendTraffic(time.Minute, 10, 10, func(n int) *fleettest.Node { return pick(f, n) })
		granted := 0.0
		for req, d := range f.decisions {
			if d.Granted {
				granted += f.requested[req]
			}
		}
		if entitled := testRate*60 + testBurst; granted < 0.95*entitled {
			t.Errorf("%g tokens granted of %g", granted, entitled)
		}
	}
}

// An operator halves rate and burst while most of them are lent out. Once all
// instances have the new limits and the earlier loans have expired, the
// caller must not get more than the new limits.
func TestLowerLimitsWhileTokensAreLent(t *testing.T) {
	f := newFleet(5, testRate, testBurst, testHooks{}, t.Fatalf)
	f.sendTraffic(20*time.Second, 0.95, 10, f.firstNode)
	f.cfg = newConfig(testRate/2, testBurst/2, 3, 3)
	for _, n := range f.Nodes {
		f.Call(n, func(now clock.Time, _ *event.Outbox) { limiterOf(n).Configure(now, f.cfg) })
		f.sendTraffic(time.Second, 0.95, 10, f.firstNode)
	}
	f.Run(limiterOf(f.Nodes[0]).lenderTerm())
	f.granted = bucket{rate: testRate / 2, burst: testBurst / 2, at: f.Now}
	f.sendTraffic(20*time.Second, 0.95, 10, f.firstNode)
}

// A request that can't be granted in time is refused at once, with a time
// after which to retry. One that is larger than the burst is refused without
// such a time.
func TestRefusals(t *testing.T) {
	f := newFleet(6, testRate, testBurst, testHooks{}, t.Fatalf)
	f.request(f.Nodes[0], testBurst+1, time.Hour)
	if d := f.decisions["r0"]; d.Reason != ReasonLargerThanBurst || d.RetryAfter != 0 {
		t.Errorf("larger than the burst: %+v", d)
	}
	f.request(f.Nodes[0], testBurst, time.Second)
	f.Run(50 * time.Millisecond)
	if !f.decisions["r1"].Granted {
		t.Errorf("the whole burst: %+v", f.decisions["r1"])
	}
	f.request(f.Nodes[0], testBurst/2, time.Second)
	f.Run(50 * time.Millisecond)
	if d := f.decisions["r2"]; d.Reason != ReasonOverRate || d.RetryAfter < time.Second {
		t.Errorf("no tokens before the deadline: %+v", d)
	}
	f.request(f.Nodes[0], testBurst/2, 4*time.Second)
	f.Run(4 * time.Second)
	if !f.decisions["r3"].Granted {
		t.Errorf("tokens accrue before the deadline: %+v", f.decisions["r3"])
	}
	f.request(f.Nodes[0], testBurst, time.Minute)
	f.request(f.Nodes[0], 1, time.Minute)
	limiterOf(f.Nodes[0]).Cancel("r4") // as when the caller disconnects
	f.Run(50 * time.Millisecond)
	if _, ok := f.decisions["r4"]; ok || !f.decisions["r5"].Granted {
		t.Errorf("behind a cancelled request: %+v", f.decisions["r5"])
	}
}

// An error in the accounting would give a caller tokens that don't exist.
// Each invariant check must report it, so that the request is refused
// instead.
func TestAssertions(t *testing.T) {
	var out event.Outbox
	cases := map[string]func(lim *Limiter, a *account){
		"rate-negative":   func(lim *Limiter, a *account) { a.balance = -2; a.checkInvariants(lim) },
		"rate-over-burst": func(lim *Limiter, a *account) { a.balance *= 2; a.checkInvariants(lim) },
		"rate-overspent":  func(lim *Limiter, a *account) { lim.spend(a, 2*a.balance, &out) },
		"rate-overlent": func(lim *Limiter, a *account) {
			lim.hooks.overLend = true
			lim.handleLoanRequest(0, "j", message.LoanRequest{ID: 1, Account: "a0", Rate: 2 * a.rate}, &out)
		},
	}
	for name, corrupt := range cases {
		lim, _ := newUsedAccounts(t, 1)
		var got []string
		lim.check = invariant.Reporting(func(v invariant.Violation) { got = append(got, v.Name) })
		corrupt(lim, lim.accounts["a0"])
		if len(got) != 1 || got[0] != name {
			t.Errorf("%s: reported %v", name, got)
		}
	}
}

// The reply to a loan request is lost and the request is repeated. If the
// tokens were lent a second time, callers would wait for tokens that no
// instance has.
func TestRetriedLoanRequest(t *testing.T) {
	for _, doubleLending := range []bool{false, true} {
		lim := newSingleInstance(1)
		lim.hooks.lendTwice = doubleLending
		var out event.Outbox
		for range 2 {
			lim.HandleMessage(0, "j", message.LoanRequest{ID: 1, Account: "a0", Tokens: 1e6}, &out)
		}
		sent := out.Take()
		if again := sent[0] != sent[1] || lim.accounts["a0"].balance != 1e9-1e6; again != doubleLending {
			t.Errorf("double lending %v: sent %v, left %g", doubleLending, sent, lim.accounts["a0"].balance)
		}
	}
}

// Disables each safeguard in turn. Without it a caller gets more than its
// rate and burst, and the reference bucket or an invariant check must detect
// that.
func TestSafeguardsAreNeeded(t *testing.T) {
	overload := func(f *fleet) {
		f.Faults.LossRate, f.Faults.MaxDelay = 0.1, 20*time.Millisecond
		f.sendTraffic(30*time.Second, 3, 25, f.slowlyChangingNode)
	}
	cases := []struct {
		name  string
		hooks testHooks
		run   func(f *fleet)
	}{
		{"deduct before sending", testHooks{lendWithoutDeducting: true}, overload},
		{"lent capacity reserved", testHooks{keepLentCapacity: true}, overload},
		{"no more lent than held", testHooks{overLend: true}, overload},
		{"lease checked before a spend", testHooks{skipLeaseCheck: true}, func(f *fleet) {
			n := f.Nodes[4]
			f.Pause(n, time.Minute)
			f.Run(50 * time.Second)
			f.sendTraffic(5*time.Second, 3, 25, f.firstNode)
			n.TableUnreachable = true
			f.Run(5 * time.Second)
			f.sendTraffic(20*time.Second, 3, 25, f.anyNode)
		}},
		{"slot unused after the handover", testHooks{keepAfterHandover: true}, func(f *fleet) {
			f.handOver(f.Nodes[0], f.Nodes[3])
			f.sendTraffic(10*time.Second, 3, 25, f.anyNode)
		}},
	}
	for _, c := range cases {
		for _, disabled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/disabled=%v", c.name, disabled), func(t *testing.T) {
				var hooks testHooks
				if disabled {
					hooks = c.hooks
				}
				detected := false
				f := newFleet(7, testRate, testBurst, hooks, func(string, ...any) { detected = true })
				func() {
					defer func() { detected = recover() != nil || detected }()
					c.run(f)
				}()
				if detected != disabled {
					t.Errorf("violation detected: %v", detected)
				}
			})
		}
	}
}

// A caller sends up to four times its rate through any instance while
// messages are lost, duplicated and delayed, the table fails, and instances
// pause, die, start and stop. In any combination the caller must not get more
// than rate and burst over all instances, and each request must get one
// answer.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), testRate, testBurst, testHooks{}, t.Fatalf)
		for n := range rapid.IntRange(1, 12).Draw(t, "faults") {
			f.randomFault(t, n)
			share := rapid.Float64Range(0.2, 4).Draw(t, "share")
			step := rapid.IntRange(1, 7).Draw(t, "step")
			d := time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second
			f.sendTraffic(d, share, rapid.Float64Range(5, 100).Draw(t, "tokens"), func(n int) *fleettest.Node {
				return f.Nodes[n*step/3%len(f.Nodes)]
			})
		}
		f.Run(time.Minute)
		for req, n := range f.entryNode {
			if _, ok := f.decisions[req]; !ok && !n.Dead {
				t.Fatalf("%s at %s has no answer", req, n.Name)
			}
		}
	})
}

func (f *fleet) randomFault(t *rapid.T, step int) {
	node := f.Nodes[rapid.IntRange(0, len(f.Nodes)-1).Draw(t, "node")]
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0, 1:
		f.Pause(node, time.Duration(rapid.IntRange(100, 40_000).Draw(t, "pause"))*time.Millisecond)
	case 2:
		node.Dead = true
		f.start(id.Instance(fmt.Sprint("n", step)), node.Zone)
	case 3:
		f.Faults.TableDown = !f.Faults.TableDown
	case 4:
		f.Faults.LostReplyRate = 0.5 - f.Faults.LostReplyRate
	case 5:
		f.Faults.IsolatedZones["z0"] = !f.Faults.IsolatedZones["z0"]
	case 6:
		f.Faults.IsLinkCut = func(a, b *fleettest.Node) bool { return a.Zone != b.Zone }
	case 7:
		f.Faults.IsLinkCut = nil
		f.Faults.LossRate, f.Faults.DuplicateRate, f.Faults.MaxDelay = 0.1, 0.1, 50*time.Millisecond
	case 8:
		if to := f.zonePeerOf(node); to != nil && !node.Dead && !f.Paused(node) && !limiterOf(node).closed {
			f.handOver(node, to)
			f.Run(time.Second)
			f.Call(node, node.Machine.(*instance).lease.Stop)
		}
	case 9:
		if !node.Dead && !f.Paused(node) {
			f.refund(node, 20)
		}
	}
}

// zonePeerOf returns another running instance of the same zone, or nil.
func (f *fleet) zonePeerOf(n *fleettest.Node) *fleettest.Node {
	for _, peer := range f.Nodes {
		if peer != n && peer.Zone == n.Zone && !peer.Dead && !f.Paused(peer) && !limiterOf(peer).closed {
			return peer
		}
	}
	return nil
}

// newSingleInstance returns a limiter that holds all slots of a fleet with
// one instance.
func newSingleInstance(accounts int) *Limiter {
	const burst = 1e9
	cfg := newConfig(1, burst, 1, 1)
	for n := range accounts {
		name := id.Account(fmt.Sprint("a", n))
		cfg.Accounts[name] = config.Account{Name: name, Rate: 1e6, Burst: burst}
	}
	lim := New(Settings{Instance: "i", Zone: "z0"}, validLease{}, singleMember{}, nil)
	lim.Configure(0, cfg)
	var out event.Outbox
	lim.Tick(0, &out)
	answer := func(rows ...table.Row) {
		for _, e := range out.Take() {
			switch e := e.(type) {
			case event.TableRead:
				lim.HandleTableResult(0, event.TableResult{Op: e.Op, Rows: rows}, &out)
			case event.TableCommit:
				lim.HandleTableResult(0, event.TableResult{Op: e.Op}, &out)
			}
		}
	}
	answer() // the read finds no row, so the slot is acquired
	answer() // took effect
	lim.Tick(0, &out)
	answer(table.Row{Key: slotKey{"z0", 0}.rowKey(), Version: 1, Body: table.Slot{Zone: "z0", Holder: "i", Fencing: 1}})
	return lim
}

// validLease is a lease that is always valid.
type validLease struct{ process.LeaseStatus }

func (validLease) Valid(clock.Time) bool  { return true }
func (validLease) Ended(id.Instance) bool { return false }

// singleMember is a membership with one instance.
type singleMember struct{ process.Members }

func (singleMember) InZone(id.Zone) []id.Instance { return []id.Instance{"i"} }
func (singleMember) Live() []id.Instance          { return []id.Instance{"i"} }
func (singleMember) ZoneOf(id.Instance) id.Zone   { return "z0" }

func BenchmarkAcquire(b *testing.B) {
	for _, accounts := range []int{10, 1000, 50_000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			lim, names := newUsedAccounts(b, accounts)
			var out event.Outbox
			now := clock.Time(0)
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now++
				lim.Acquire(now, "r", names[n%accounts], 1, now+1, &out)
				if d := lim.Decisions(); len(d) != 1 || !d[0].Granted {
					b.Fatal(d)
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, accounts := range []int{10, 1000, 50_000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			lim, _ := newUsedAccounts(b, accounts)
			var out event.Outbox
			now := clock.Time(0)
			b.ReportAllocs()
			for b.Loop() {
				now++
				lim.Tick(now, &out)
				out.Take()
			}
		})
	}
}

// newUsedAccounts returns a limiter with accounts that have each been granted
// a token, and their names.
func newUsedAccounts(b testing.TB, accounts int) (*Limiter, []id.Account) {
	lim := newSingleInstance(accounts)
	var out event.Outbox
	names := make([]id.Account, accounts)
	for n := range accounts {
		names[n] = id.Account(fmt.Sprint("a", n))
		lim.Acquire(0, "r", names[n], 1, 1, &out)
	}
	if d := lim.Decisions(); !d[0].Granted {
		b.Fatal(d[0])
	}
	return lim, names
}

// BenchmarkWrongfulRefusals sends 95% of an account's rate, in requests of
// random sizes at random times. It reports the part of the conforming
// requests that is refused, and for comparison the part that an equal static
// split of the limits would refuse.
func BenchmarkWrongfulRefusals(b *testing.B) {
	for _, wait := range []time.Duration{time.Millisecond * 100, 2 * time.Second} {
		for _, p := range []string{"one", "all", "moving"} {
			b.Run(fmt.Sprintf("entry=%s/deadline=%s", p, wait), func(b *testing.B) {
				for b.Loop() {
					f := newFleet(1, testRate, testBurst, testHooks{}, b.Fatalf)
					pick := map[string]func(int) *fleettest.Node{"one": f.firstNode, "all": f.anyNode, "moving": f.slowlyChangingNode}[p]
					f.TableOps, f.Messages = 0, 0
					static := f.poissonTraffic(10*time.Minute, wait, pick)
					n := float64(f.conformingCount)
					b.ReportMetric(float64(f.wrongRefusals)/n, "refused/honest")
					b.ReportMetric(float64(static)/n, "refused-static/honest")
					b.ReportMetric(float64(f.TableOps)/float64(len(f.requested)), "table-ops/request")
					b.ReportMetric(float64(f.Messages)/float64(len(f.requested)), "messages/request")
				}
			})
		}
	}
}

// poissonTraffic sends requests at random times and returns how many
// conforming requests a static split over nine buckets would have refused.
func (f *fleet) poissonTraffic(d, wait time.Duration, pick func(n int) *fleettest.Node) int {
	const mean = 10.0
	rng := rand.New(rand.NewPCG(2, 0))
	var split [9]bucket
	refused := 0
	end := f.Now.Add(d)
	for n := 0; f.Now < end; n++ {
		tokens := mean * (0.5 + rng.Float64())
		f.Run(f.offered.timeUntilFits(f.Now, tokens))
		node := pick(n)
		i := slices.Index(f.Nodes, node)
		split[i].rate, split[i].burst = testRate/9, testBurst/9+testRate/9*wait.Seconds()
		conforming := f.conformingCount
		f.request(node, tokens, wait)
		if !split[i].tryAdd(f.Now, tokens) && f.conformingCount > conforming {
			refused++
		}
		f.Run(time.Duration(rng.ExpFloat64() * mean / (0.95 * testRate) * float64(time.Second)))
	}
	f.Run(wait + time.Second)
	return refused
}
