package operator

import (
	"context"

	"oleanderdale.org/oleander/process/dev"
)

type devCommand struct {
	dev.Settings
}

// Run implements the command.
func (c *devCommand) Run(ctx context.Context) error { return dev.Run(ctx, c.Settings) }
