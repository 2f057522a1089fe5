// Command measure simulates workloads in virtual time and prints the measurements
// of the core as shipped and of the baselines:
//
//	go run ./proving/cmd/measure --plots DIR proving/measure/workloads/authority.yaml
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"oleanderdale.org/proving/measure"
)

// settings holds the command line arguments.
type settings struct {
	Workloads []string `arg:"" help:"Workload files." type:"existingfile"`
	Seeds     []uint64 `help:"Seeds of the workloads." env:"MEASURE_SEEDS" default:"1"`
	AtOnce    int      `help:"Runs at a time." env:"MEASURE_AT_ONCE" default:"4"`
	Plots     string   `help:"Folder for the plots." env:"MEASURE_PLOTS" type:"existingdir"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Compare policies with simulated workloads in virtual time."))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(s settings) error {
	for _, path := range s.Workloads {
		w, err := measure.Load(path)
		if err != nil {
			return err
		}
		for _, seed := range s.Seeds {
			r, err := measure.RunAll(w, seed, max(1, s.AtOnce))
			if err != nil {
				return err
			}
			if err := r.Print(os.Stdout); err != nil {
				return err
			}
			if s.Plots == "" {
				continue
			}
			if err := r.Plot(filepath.Join(s.Plots, fmt.Sprintf("%s-%d.png", w.Name, seed))); err != nil {
				return err
			}
		}
	}
	return nil
}
