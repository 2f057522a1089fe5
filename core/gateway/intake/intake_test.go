package intake

import (
	"testing"
	"time"

	"oleanderdale.org/core/clock"
)

const start = clock.Time(time.Hour)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestDecide(t *testing.T) {
	link := Settings{RefuseWhenLate: true, LinkBytesPerSecond: 1e6, MaxConnections: 100}
	for name, tc := range map[string]struct {
		settings Settings
		state    State
		carried  int
		want     Verdict
	}{
		"idle":                        {settings: link, want: Take},
		"late":                        {settings: link, state: State{Lag: maxLag}, want: TooLate},
		"late without a bound":        {state: State{Lag: time.Second}, want: Take},
		"late as the others":          {settings: link, state: State{Lag: maxLag, OthersLate: true}, want: Take},
		"link full":                   {settings: link, carried: 130_000, want: LinkFull},
		"link nearly full":            {settings: link, carried: 120_000, want: Take},
		"link of an unknown rate":     {settings: Settings{}, carried: 1 << 30, want: Take},
		"all connections":             {settings: link, state: State{Connections: 100}, want: TooManyConnections},
		"connections without a bound": {state: State{Connections: 1e6}, want: Take},
		"all connections, all late":   {settings: link, state: State{Connections: 100, OthersLate: true}, want: TooManyConnections},
	} {
		g := New(tc.settings)
		g.Decide(start, State{})
		g.Carried(start, tc.carried)
		if got := g.Decide(start.Add(time.Millisecond), tc.state); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// Guards against an instance that says it is ready and takes no connection for seconds.
func TestSomeConnectionsAreTakenAlways(t *testing.T) {
	g := New(Settings{RefuseWhenLate: true})
	taken := 0
	for i := range 2000 {
		if g.Decide(start.Add(ms(i)), State{Lag: time.Second}) == Take {
			taken++
		}
	}
	if want := int(2 * time.Second / minTakeInterval); taken != want {
		t.Errorf("%d connections taken in 2 s, want %d", taken, want)
	}
}

// Guards against a small link that is filled by what one instance reads.
func TestLinkIsNotOverfilled(t *testing.T) {
	const bytesEach = 3600
	g := New(Settings{LinkBytesPerSecond: 1.25e6})
	taken := 0
	for i := range 5290 { // 529 a second
		now := start.Add(time.Duration(i) * 10 * time.Second / 5290)
		if g.Decide(now, State{}) == Take {
			taken++
			g.Carried(now, bytesEach)
		}
	}
	if perSecond := taken * bytesEach / 10; perSecond > 1_100_000 || perSecond < 1_000_000 {
		t.Errorf("%d bytes a second", perSecond)
	}
}

// Guards against connections kept open that load an instance for ever.
func TestCallersAreAskedToClose(t *testing.T) {
	g := New(Settings{RefuseWhenLate: true, MaxConnections: 100})
	g.Decide(start, State{})
	if g.AskToClose(start, 74) {
		t.Error("callers are asked to close their connections at an idle instance")
	}
	if !g.AskToClose(start, 75) {
		t.Error("callers keep their connections near the bound")
	}
	g.Decide(start.Add(ms(1)), State{Lag: maxLag})
	if !g.AskToClose(start.Add(ms(500)), 1) || g.AskToClose(start.Add(ms(1002)), 1) {
		t.Error("callers are asked to close at a late instance for another time than a second")
	}
}
