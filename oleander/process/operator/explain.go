package operator

import (
	"context"
	"io"

	"oleanderdale.org/oleander/process/explain"
)

// explainCommand prints the timeline of one request from log files.
type explainCommand struct {
	Request string   `arg:"" help:"The request's id."`
	Logs    []string `arg:"" optional:"" help:"Log files; none: standard input." type:"existingfile"`
}

// Run implements the command.
func (c *explainCommand) Run(_ context.Context, s *streams) error {
	timeline := explain.New(c.Request)
	if err := readLogs(c.Logs, func(_ string, r io.Reader) error { return timeline.Read(r) }); err != nil {
		return err
	}
	return timeline.Write(s.out)
}
