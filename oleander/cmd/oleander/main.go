// Command oleander is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"oleanderdale.org/oleander/process/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
