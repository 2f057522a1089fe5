package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oleanderdale.org/oleander/internal/testutil"
)

const (
	partPeriod = 9 * time.Second
	// Sends later than partKnownAfter after the fifth crash count as late.
	partKnownAfter   = 2 * time.Second
	maxLatePartSends = 3
	// partServedAfter is when the sound requests must be served again, after the fifth crash.
	partServedAfter = 3 * time.Second
	// minServedPeriod is how long sound requests are counted at least, maxPartPeriod how long that is awaited.
	minServedPeriod = time.Second
	maxPartPeriod   = 3 * partPeriod
	partDowntime    = 800 * time.Millisecond
	partEventPause  = 15 * time.Millisecond
	partEvents      = 12
	deadlyPart      = "deadly"
	// deadlyPeriod and soundPeriod are the times between two requests of a kind.
	deadlyPeriod = 140 * time.Millisecond
	soundPeriod  = 100 * time.Millisecond
)

// partEngines are engines that crash under each request with deadlyPart: all that they run
// breaks, and they serve nothing for partDowntime.
type partEngines struct {
	mu      sync.Mutex
	crashes []time.Time
	sends   []time.Time // of requests with the part that reached an engine that was up
	// eventsBefore is how many events a request with the part gets before the crash.
	eventsBefore int
	unframed     bool // responses end with their connections
}

func (c *partEngines) handler() http.HandlerFunc {
	var downUntil atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		if time.Now().UnixNano() < downUntil.Load() {
			panic(http.ErrAbortHandler)
		}
		deadly := strings.Contains(r.Header.Get(testParts), deadlyPart)
		if deadly {
			c.mu.Lock()
			c.sends = append(c.sends, time.Now())
			c.mu.Unlock()
		}
		if c.unframed {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		last, _ := strconv.Atoi(r.Header.Get(testLast))
		for i := last + 1; i <= partEvents; i++ {
			time.Sleep(partEventPause)
			if time.Now().UnixNano() < downUntil.Load() {
				panic(http.ErrAbortHandler)
			}
			if deadly && i > last+c.eventsBefore {
				downUntil.Store(time.Now().Add(partDowntime).UnixNano())
				c.mu.Lock()
				c.crashes = append(c.crashes, time.Now())
				c.mu.Unlock()
				panic(http.ErrAbortHandler)
			}
			events(w, i, i)
		}
	}
}

// endAfterCrashes ends a play after partPeriod, or later if sound requests could not be counted for long enough.
func (c *partEngines) endAfterCrashes(end func()) {
	began := time.Now()
	time.Sleep(partPeriod)
	for time.Now().Before(c.after(partServedAfter+minServedPeriod)) && time.Since(began) < maxPartPeriod {
		time.Sleep(10 * time.Millisecond)
	}
	end()
}

// after returns a time after the fifth crash, or after the last one if there are fewer.
func (c *partEngines) after(d time.Duration) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) == 0 {
		return time.Time{}
	}
	return c.crashes[min(4, len(c.crashes)-1)].Add(d)
}

func (c *partEngines) lateSends() (late, crashes int) {
	known := c.after(partKnownAfter)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.sends {
		if at.After(known) {
			late++
		}
	}
	return late, len(c.crashes)
}

// partScenario sends requests with deadlyPart, no two alike, through three instances, beside
// sound ones of the same account, route and model that share their other parts.
type partScenario struct {
	deadly       func(n int) string // prompt parts of the nth request with the part
	sound        []string           // prompt parts but the last of each kind of sound requests
	eventsBefore int
	unframed     bool
	path         string
}

type soundAnswer struct {
	kind   int
	at     time.Time
	served bool
}

func (s partScenario) check(t *testing.T) {
	t.Parallel()
	f := newFixture(t, config(1))
	c := &partEngines{eventsBefore: s.eventsBefore, unframed: s.unframed}
	for i := range 3 {
		f.backend(fmt.Sprint("s", i), "llm", c.handler(), "warm")
	}
	urls := []string{f.start(), f.start(), f.start()}
	for _, url := range urls {
		testutil.WaitFor(t, func() bool {
			return f.ask(http.MethodPost, url+s.path, testModel, "warm").status == http.StatusOK
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.endAfterCrashes(cancel)
	var callers sync.WaitGroup
	var mu sync.Mutex
	var answers []soundAnswer
	every := func(period time.Duration, ask func(n int)) {
		callers.Go(func() {
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			for n := 0; ctx.Err() == nil; n++ {
				callers.Go(func() { ask(n) })
				<-ticker.C
			}
		})
	}
	for kind, parts := range s.sound {
		every(soundPeriod, func(n int) {
			at := time.Now()
			got := f.askCtx(context.Background(), http.MethodPost, fmt.Sprintf("%s%s%d-%d", urls[n%3], s.path, kind, n), testID, fmt.Sprintf("sound%d-%d", kind, n),
				testModel, "warm", testParts, fmt.Sprintf("%s,own%d-%d:100", parts, kind, n), testWait, "2000")
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, soundAnswer{kind, at, got.status == http.StatusOK && got.body == eventsText(1, partEvents)})
		})
	}
	every(deadlyPeriod, func(n int) {
		f.askCtx(ctx, http.MethodPost, fmt.Sprintf("%s%sx%d", urls[n%3], s.path, n), testID, fmt.Sprint("deadly", n),
			testModel, "warm", testParts, fmt.Sprintf("%s,end%d:100", s.deadly(n), n), testWait, "2000")
	})
	callers.Wait()
	late, crashes := c.lateSends()
	t.Logf("%d crashes, %d late sends", crashes, late)
	if crashes == 0 {
		t.Fatal("no crash, so the test proves nothing")
	}
	if late > maxLatePartSends {
		t.Errorf("%d sends with the part later than %v after the fifth crash, want at most %d", late, partKnownAfter, maxLatePartSends)
	}
	for kind, parts := range s.sound {
		sent, served := 0, 0
		for _, a := range answers {
			if a.kind == kind && a.at.After(c.after(partServedAfter)) {
				sent++
				if a.served {
					served++
				}
			}
		}
		t.Logf("sound requests with %s: %d of %d served", parts, served, sent)
		if sent == 0 || served < sent*95/100 {
			t.Errorf("sound requests with %s: %d of %d served, want all", parts, served, sent)
		}
	}
}

var soundKinds = []string{"first:1500", "first:1500,second:400", "second:400"}

// Guards against engines that crash one after the other under requests that have but one prompt part in common.
func TestCrashingPromptPartIsRefused(t *testing.T) {
	same := func(parts string) func(int) string { return func(int) string { return parts } }
	anywhere := func(n int) string {
		vary := fmt.Sprintf("v%d:200", n%7)
		return [...]string{"first:1500,deadly:300," + vary, "deadly:300,first:1500," + vary, "first:1500,second:400," + vary + ",deadly:300"}[n%3]
	}
	for name, s := range map[string]partScenario{
		"in the middle":              {deadly: same("first:1500,deadly:300"), sound: soundKinds, path: "/stream/"},
		"first":                      {deadly: same("deadly:300,second:400"), sound: soundKinds, path: "/stream/"},
		"anywhere but last":          {deadly: anywhere, sound: soundKinds, path: "/stream/"},
		"after two events":           {deadly: same("first:1500,deadly:300"), sound: soundKinds, path: "/resume/", eventsBefore: 2},
		"before the first, resumed":  {deadly: anywhere, sound: soundKinds, path: "/resume/"},
		"alone":                      {deadly: same("deadly:300"), sound: soundKinds, path: "/stream/"},
		"beside a part of its own":   {deadly: same("companion:500,deadly:300"), sound: append(soundKinds, "companion:500"), path: "/stream/"},
		"responses without a length": {deadly: anywhere, sound: soundKinds, path: "/resume/", eventsBefore: 2, unframed: true},
	} {
		t.Run(name, s.check)
	}
}
