// Command oleanderd is the entry instance of oleanderdale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"oleanderdale.org/oleander/process/daemon"
)

// exitFailed is the exit code of an instance that could not start or go on.
const exitFailed = 1

func main() {
	var s daemon.Settings
	kong.Parse(&s, kong.Name("oleanderd"),
		kong.Description("Entry instance of oleanderdale: serves rarely used models and the plain services beside them."),
		kong.UsageOnError())
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "oleanderd:", err)
		os.Exit(exitFailed)
	}
}

func run(s daemon.Settings) error {
	level := zerolog.InfoLevel
	if s.Debug {
		level = zerolog.DebugLevel
	}
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	i, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignals(i, cancel)
	return i.Run(ctx)
}

// stopOnSignals stops gracefully at the first signal, and at once at the second.
func stopOnSignals(i *daemon.Instance, atOnce context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	i.Stop()
	<-signals
	atOnce()
}
