// Command oleanderd is the entry instance of oleanderdale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"oleanderdale.org/oleander/process/daemon"
	"oleanderdale.org/oleander/process/logs"
	"oleanderdale.org/platform"
)

// exitFailure is the exit code of an instance that fails to start or stops on an error.
const exitFailure = 1

// heapShare is the part of the machine's memory that the Go runtime keeps to. The rest is for memory that it does not
// count, such as socket buffers.
const heapShare = 0.6

// commands is the command line of oleanderd; serve is the default command.
type commands struct {
	Serve    daemon.Settings `cmd:"" default:"withargs" help:"Serve oleanderdale's own interface."`
	Platform struct{}        `cmd:"" help:"Serve on the users' machines, as their settings file says."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("oleanderd"),
		kong.Description("Entry instance of oleanderdale: serves rarely used models and the plain services beside them."),
		kong.UsageOnError())
	var err error
	if parsed.Command() == "platform" {
		err = platform.Run(os.Stdout)
	} else {
		err = run(c.Serve)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "oleanderd:", err)
		os.Exit(exitFailure)
	}
}

func run(s daemon.Settings) error {
	level := zerolog.InfoLevel
	if s.Debug {
		level = zerolog.DebugLevel
	}
	zerolog.TimeFieldFormat = logs.TimeFormat
	logWriter := logs.New(os.Stdout)
	defer logWriter.Close()
	log := zerolog.New(logWriter).Level(level).With().Timestamp().Logger()
	debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
	i, err := daemon.New(s, log)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go stopOnSignals(i, cancel)
	return i.Run(ctx)
}

// stopOnSignals starts a graceful shutdown on the first signal and stops
// immediately on a later interrupt. A later SIGTERM says nothing new.
func stopOnSignals(i *daemon.Instance, stopNow context.CancelFunc) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	i.Stop()
	for s := range signals {
		if s == os.Interrupt {
			stopNow()
			return
		}
	}
}
