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

// fixedKeepAlives are the keep-alive times of the baselines.
var fixedKeepAlives = []time.Duration{30 * time.Second, 2 * time.Minute, 10 * time.Minute, 30 * time.Minute}

// Report holds the results of all runs of one workload and seed.
type Report struct {
	Workload          *Workload
	Seed              uint64
	Runs              []*Result // the first is of the shipped policy
	SingleAccountRuns map[id.Account]*Result
}

// RunAll runs a workload with the shipped policy, with each baseline, and with the
// shipped policy for each account alone. At most parallelism runs are in progress.
func RunAll(w *Workload, seed uint64, parallelism int) (*Report, error) {
	r := &Report{Workload: w, Seed: seed, SingleAccountRuns: make(map[id.Account]*Result)}
	policies := []Policy{Shipped, {Name: "equal split, nothing lent", EqualSplit: true},
		{Name: "first come, first served", FIFO: true}, {Name: "random replica", RandomReplica: true}}
	for _, t := range fixedKeepAlives {
		policies = append(policies, Policy{Name: "fixed keep-alive " + t.String(), FixedKeepAlive: t})
	}
	r.Runs = make([]*Result, len(policies))
	var mu sync.Mutex
	var runErr error
	jobs := make(chan func() error)
	var wg sync.WaitGroup
	for range parallelism {
		wg.Go(func() {
			for job := range jobs {
				if err := job(); err != nil {
					mu.Lock()
					runErr = errors.Wrap(err, "measure")
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
	return r, runErr
}

// Print writes the measurements as tables.
func (r *Report) Print(out io.Writer) error {
	shipped := r.Runs[0]
	fmt.Fprintf(out, "%s, seed %d: %g hours, %d calls, %d of them cold\n\n", r.Workload.Name, r.Seed, r.Workload.Hours, shipped.Calls, shipped.ColdCalls)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "POLICY\tCOLD\tP50\tP99\tWORST\tREFUSED\tALL CALLS P95\tP99\tIDLE HOURS\tLOADS\tREFUSED WITHIN RATE\tWORST-SERVED ACCOUNT\tTOKENS RELATIVE TO RUN ALONE\t")
	for _, run := range r.Runs {
		account, ratio := WorstServedAccount(run, r.SingleAccountRuns)
		fmt.Fprintf(w, "%s\t%d\t%.1f s\t%.1f s\t%.1f s\t%d\t%.1f s\t%.1f s\t%.1f\t%d\t%d\t%s\t%.3f\t\n", run.Policy, run.ColdCalls,
			millisToSeconds(run.ColdTTFT.ValueAtQuantile(50)), millisToSeconds(run.ColdTTFT.ValueAtQuantile(99)), millisToSeconds(run.ColdTTFT.Max()),
			run.ColdFailed, millisToSeconds(run.TTFT.ValueAtQuantile(95)), millisToSeconds(run.TTFT.ValueAtQuantile(99)), run.IdleAcceleratorHours, run.Loads, sumCounts(run.RefusedWithinRate), account, ratio)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	fmt.Fprintf(out, "\nas shipped, refused within the rate:%s\nas shipped, refused in total:%s\n", formatReasons(shipped.RefusedWithinRate), formatReasons(shipped.Refused))
	r.printAccounts(out)
	for _, run := range r.Runs {
		for _, f := range run.Violations {
			fmt.Fprintf(out, "VIOLATION with %s: %s\n", run.Policy, f)
		}
	}
	return nil
}

func (r *Report) printAccounts(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nACCOUNT\tCALLS\tGOODPUT\tALONE\tMEAN TTFT\tALONE\t")
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

func millisToSeconds(ms int64) float64 { return float64(ms) / 1000 }

func sumCounts[K comparable](m map[K]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// Dimensions of a plot.
const (
	plotWidth   = 7 * vg.Inch
	plotHeight  = 4.5 * vg.Inch
	labelOffset = vg.Length(12)
)

// Plot writes a PNG with the 99th percentile of the time to the first token over
// the idle accelerator hours, with a point for each keep-alive policy.
func (r *Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d", r.Workload.Name, r.Seed)
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "p99 of the time to the first token, all calls, s"
	p.Add(plotter.NewGrid())
	for n, run := range r.Runs {
		if !run.KeepAliveOnly {
			continue // the plot compares keep-alive times only
		}
		at := plotter.XYs{{X: run.IdleAcceleratorHours, Y: millisToSeconds(run.TTFT.ValueAtQuantile(99))}}
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
		l.Offset = vg.Point{Y: labelOffset * vg.Length(n%2)} // keeps the labels of adjacent points from overlapping
		p.Add(s, l)
	}
	p.X.Max *= 1.3
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "plot")
}
