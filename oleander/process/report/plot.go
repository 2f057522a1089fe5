package report

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WritePlots draws cold-starts.png and windows.png in dir.
func (r *Report) WritePlots(dir string) error {
	if err := r.plotColdStarts(filepath.Join(dir, "cold-starts.png")); err != nil {
		return err
	}
	return r.plotWindows(filepath.Join(dir, "windows.png"))
}

// plotColdStarts draws the cumulative distribution of the time to first byte of cold
// starts.
func (r *Report) plotColdStarts(name string) error {
	p := plot.New()
	p.Title.Text = "Cold starts"
	p.X.Label.Text, p.Y.Label.Text = "time to first byte, ms", "share"
	var points plotter.XYs
	for i, ms := range r.ColdStarts.sorted {
		points = append(points, plotter.XY{X: float64(ms), Y: float64(i+1) / float64(len(r.ColdStarts.sorted))})
	}
	return savePlot(p, name, "cold starts", points)
}

// plotWindows draws the results of requests by window.
func (r *Report) plotWindows(name string) error {
	p := plot.New()
	p.Title.Text = "Requests by window"
	p.X.Label.Text, p.Y.Label.Text = "seconds from the start", "requests"
	var inTime, late, refused, failed plotter.XYs
	for _, w := range r.Windows {
		x := w.Start.Sub(r.From).Seconds()
		inTime = append(inTime, plotter.XY{X: x, Y: float64(w.InTime)})
		late = append(late, plotter.XY{X: x, Y: float64(w.Late)})
		refused = append(refused, plotter.XY{X: x, Y: float64(w.Refused)})
		failed = append(failed, plotter.XY{X: x, Y: float64(w.Failed)})
	}
	return savePlot(p, name, "in time", inTime, "late", late, "refused", refused, "failed", failed)
}

// savePlot draws lines, given as alternating names and points, and saves the plot.
func savePlot(p *plot.Plot, name string, lines ...any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "report: plot")
	}
	p.Legend.Top = true
	return errors.Wrap(p.Save(plotWidth, plotHeight, name), "report: plot")
}
