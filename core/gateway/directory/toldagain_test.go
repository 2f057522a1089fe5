package directory

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oleanderdale.org/core/clock"
	"oleanderdale.org/core/gateway/brittle"
	"oleanderdale.org/core/gateway/serverlimit"
)

// told is what instances tell each other of a server, as ages or remaining times.
type told struct {
	at clock.Time // of its receipt
	to int
	record
}

type record func(now clock.Time, d *Directory)

// feedback returns what an instance tells of a server.
type feedback func(d *Directory, now clock.Time, s *Server) Feedback

// retell lets directories tell each other what they know of a server, as instances do for 2.5 s after they heard it themselves.
func retell(directories []*Directory, report func(now clock.Time, d *Directory) record) (end clock.Time) {
	rng := rand.New(rand.NewPCG(1, 66))
	var messages []told
	for now := start; now < start.Add(3*time.Second); now = now.Add(5 * time.Millisecond) {
		kept := messages[:0]
		for _, m := range messages {
			if m.at > now {
				kept = append(kept, m)
				continue
			}
			m.record(now, directories[m.to])
		}
		messages = kept
		for from, d := range directories {
			if now.Sub(start) > 2500*time.Millisecond || rng.IntN(40) > 0 {
				continue
			}
			tell := report(now, d)
			for to := range directories {
				if to != from {
					messages = append(messages, told{now.Add(time.Duration(1+rng.IntN(20)) * time.Millisecond), to, tell})
				}
			}
		}
	}
	return start.Add(3 * time.Second)
}

// Guards against what a server said once and grows younger each time that it is told on.
func TestFeedbackToldOnStaysWhereItWas(t *testing.T) {
	const (
		rest = 10 * time.Second
		// A message takes 20 ms.
		maxLate = 25 * time.Millisecond
	)
	tells := map[string]feedback{"to all": (*Directory).OwnFeedback, "to one": (*Directory).KnownFeedback}
	for _, tc := range []struct {
		name   string
		happen func(d *Directory)
		report func(now clock.Time, d *Directory, tell feedback) record
		late   func(now clock.Time, d *Directory) time.Duration
	}{
		{
			"limit", func(d *Directory) {
				d.RecordLimit("s0", 1, serverlimit.Statement{Limited: true, PerSecond: 5, At: start})
			},
			func(now clock.Time, d *Directory, tell feedback) record {
				said := *tell(d, now, d.Get("s0")).Limit
				age := now.Sub(said.At)
				return func(now clock.Time, d *Directory) {
					said.At = now.Add(-age)
					d.HearLimit("s0", 1, said)
				}
			},
			func(_ clock.Time, d *Directory) time.Duration {
				said, _ := d.Get("s0").LimitStatement()
				return said.At.Sub(start)
			},
		},
		{
			"rest", func(d *Directory) {
				d.RecordRest(start, "s0", rest)
				d.RecordRestOfAny(start, "s0", rest)
			},
			func(now clock.Time, d *Directory, tell feedback) record {
				left := tell(d, now, d.Get("s0")).Rest
				return func(now clock.Time, d *Directory) { d.RecordRestOfAny(now, "s0", left) }
			},
			func(now clock.Time, d *Directory) time.Duration {
				return d.Get("s0").RestRemaining(now) - (rest - now.Sub(start))
			},
		},
		{
			"brittle", func(d *Directory) { d.RecordBrittle("g", brittle.Statement{Brittle: true, Survived: 8, At: start}) },
			func(now clock.Time, d *Directory, tell feedback) record {
				said := *tell(d, now, d.Get("s0")).Brittle
				age := now.Sub(said.At)
				return func(now clock.Time, d *Directory) {
					said.At = now.Add(-age)
					d.HearBrittle("g", said)
				}
			},
			func(now clock.Time, d *Directory) time.Duration {
				said, _ := d.BrittleStatement(now, "g")
				return said.At.Sub(start)
			},
		},
	} {
		for _, instances := range []int{9, 36} {
			for to, tell := range tells {
				t.Run(fmt.Sprintf("%s, %d instances, told %s", tc.name, instances, to), func(t *testing.T) {
					var directories []*Directory
					for range instances {
						d := newDirectory(1)
						tc.happen(d)
						directories = append(directories, d)
					}
					end := retell(directories, func(now clock.Time, d *Directory) record { return tc.report(now, d, tell) })
					late := time.Duration(0)
					for _, d := range directories {
						late = max(late, tc.late(end, d))
					}
					if late > maxLate {
						t.Errorf("said to have been %v later than it was", late)
					}
				})
			}
		}
	}
}
