package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"oleanderdale.org/oleander/process/report"
)

// reportCommand reports from the logs of all processes how callers were served.
type reportCommand struct {
	Logs   []string      `arg:"" optional:"" help:"Log files; none: standard input." type:"existingfile"`
	Window time.Duration `default:"5m" help:"The shorter window of the burn; the longer one has twelve of them."`
	JSON   bool          `name:"json" help:"Print JSON."`
	Plots  string        `help:"Directory to draw pictures into." type:"existingdir" placeholder:"DIR"`
}

// Run implements the command.
func (c *reportCommand) Run(_ context.Context, s *streams) error {
	if c.Window <= 0 {
		return errors.Wrap(errUsage, "--window must be longer than zero")
	}
	builder := report.New(report.Settings{Window: c.Window})
	if err := readLogs(c.Logs, func(name string, r io.Reader) error {
		return builder.Read(&progressReader{r: r, name: name, out: s.progress, lineCount: builder.LineCount})
	}); err != nil {
		return err
	}
	r := builder.Build()
	if c.Plots != "" {
		if err := r.WritePlots(c.Plots); err != nil {
			return err
		}
	}
	if !c.JSON {
		return r.Write(s.out)
	}
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "encode report")
}

// readLogs calls read for each file, or for standard input if there are none.
func readLogs(names []string, read func(name string, r io.Reader) error) error {
	if len(names) == 0 {
		return read("standard input", os.Stdin)
	}
	for _, name := range names {
		if err := readLog(name, read); err != nil {
			return err
		}
	}
	return nil
}

func readLog(name string, read func(string, io.Reader) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(read(name, f), name)
}

// progressInterval is the time between two progress messages.
const progressInterval = 2 * time.Second

// progressReader prints progress messages while a long input is read.
type progressReader struct {
	r          io.Reader
	name       string
	out        io.Writer
	lineCount  func() int
	bytesRead  int64
	reportedAt time.Time
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.bytesRead += int64(n)
	switch now := time.Now(); {
	case p.reportedAt.IsZero():
		p.reportedAt = now
	case now.Sub(p.reportedAt) >= progressInterval:
		p.reportedAt = now
		fmt.Fprintf(p.out, "%s: %d MB, %d lines read\n", p.name, p.bytesRead>>20, p.lineCount())
	}
	return n, err
}
