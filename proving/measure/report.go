package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"oleanderdale.org/core/id"
)

// Fixed keep-alive times of the baselines.
var fixedTimes = []time.Duration{30 * time.Second, 2 * time.Minute, 10 * time.Minute, 30 * time.Minute}

// Report is all runs of one workload and seed.
type Report struct {
	Workload          *Workload
	Seed              uint64
	Runs              []*Result // the shipped policy first
	SingleAccountRuns map[id.Account]*Result
}

// Make plays a workload with the shipped policy, with the baselines, and with
// each account alone, atOnce runs at a time.
func RunAll(w *Workload, seed uint64, atOnce int) (*Report, error) {
	r := &Report{Workload: w, Seed: seed, SingleAccountRuns: make(map[id.Account]*Result)}
	policies := []Policy{Shipped, {Name: "equal split, nothing lent", EqualSplit: true},
		{Name: "first come, first served", FIFO: true}, {Name: "random replica", RandomReplica: true}}
	for _, t := range fixedTimes {
		policies = append(policies, Policy{Name: "fixed keep-alive " + t.String(), FixedKeepAlive: t})
	}
	r.Runs = make([]*Result, len(policies))
	var mu sync.Mutex
	var first error
	jobs := make(chan func() error)
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for job := range jobs {
				if err := job(); err != nil {
					mu.Lock()
					first = errors.Wrap(err, "measure")
					mu.Unlock()
				}
			}
		})
	}
	for n, p := range policies {
		jobs <- func() (err error) {
			r.Runs[n], err = Run(w, seed, p, nil)
			return err
		}
	}
	for _, p := range w.Patterns {
		account := id.Account(p.Account)
		jobs <- func() error {
			res, err := Run(w, seed, Shipped, &AccountFilter{account})
			mu.Lock()
			defer mu.Unlock()
			r.SingleAccountRuns[account] = res
			return err
		}
	}
	close(jobs)
	wg.Wait()
	return r, first
}

// Print writes the four measures as tables.
func (r *Report) Print(out io.Writer) error {
	shipped := r.Runs[0]
	fmt.Fprintf(out, "%s, seed %d: %g hours, %d calls, %d of them cold\n\n", r.Workload.Name, r.Seed, r.Workload.Hours, shipped.Calls, shipped.ColdCalls)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "POLICY\tCOLD\tP50\tP99\tWORST\tREFUSED\tALL CALLS P95\tP99\tIDLE HOURS\tLOADS\tREFUSED INSIDE RATE\tWORST ACCOUNT\tOF WHAT IT GETS ALONE\t")
	for _, run := range r.Runs {
		account, part := WorstServedAccount(run, r.SingleAccountRuns)
		fmt.Fprintf(w, "%s\t%d\t%.1f s\t%.1f s\t%.1f s\t%d\t%.1f s\t%.1f s\t%.1f\t%d\t%d\t%s\t%.3f\t\n", run.Policy, run.ColdCalls,
			seconds(run.ColdTTFT.ValueAtQuantile(50)), seconds(run.ColdTTFT.ValueAtQuantile(99)), seconds(run.ColdTTFT.Max()),
			run.ColdFailed, seconds(run.TTFT.ValueAtQuantile(95)), seconds(run.TTFT.ValueAtQuantile(99)), run.IdleAcceleratorHours, run.Loads, total(run.RefusedWithinRate), account, part)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintf(out, "\nas shipped, refused inside the rate:%s\nas shipped, refused in all:%s\n", reasonList(shipped.RefusedWithinRate), reasonList(shipped.Refused))
	r.printAccounts(out)
	for _, run := range r.Runs {
		for _, f := range run.Violations {
			fmt.Fprintf(out, "FAULT with %s: %s\n", run.Policy, f)
		}
	}
	return nil
}

func (r *Report) printAccounts(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nACCOUNT\tCALLS\tWHOLE\tALONE\tMEAN WAIT\tALONE\t")
	for _, name := range slices.Sorted(maps.Keys(r.Runs[0].Accounts)) {
		a, alone := r.Runs[0].Accounts[name], &AccountResult{}
		if single := r.SingleAccountRuns[name]; single != nil && single.Accounts[name] != nil {
			alone = single.Accounts[name]
		}
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%s\t%s\t\n", name, a.Calls, a.Goodput(), alone.Goodput(),
			a.MeanTTFT().Round(time.Millisecond), alone.MeanTTFT().Round(time.Millisecond))
	}
	_ = w.Flush()
}

func seconds(ms int64) float64 { return float64(ms) / 1000 }

func total[K comparable](m map[K]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// The size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4.5 * vg.Inch
	labelStep  = vg.Length(12)
)

// Plot draws the tail of the time to the first token over idle hours, a point for each policy, as PNG.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Workload.Name, r.Seed)
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "p99 of the time to the first token, all calls, s"
	p.Add(plotter.NewGrid())
	for n, run := range r.Runs {
		if !run.KeepAliveOnly {
			continue // the plot is about keep-alive times
		}
		at := plotter.XYs{{X: run.IdleAcceleratorHours, Y: seconds(run.TTFT.ValueAtQuantile(99))}}
		s, err := plotter.NewScatter(at)
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		s.Shape = draw.CircleGlyph{}
		if n == 0 {
			s.Shape = draw.PyramidGlyph{}
			s.Radius = vg.Points(6)
		}
		l, err := plotter.NewLabels(plotter.XYLabels{XYs: at, Labels: []string{" " + run.Policy}})
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		l.Offset = vg.Point{Y: labelStep * vg.Length(n%2)} // neighbours' labels would meet
		p.Add(s, l)
	}
	p.X.Max *= 1.3
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
