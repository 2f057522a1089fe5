// Package operator implements oleander, the command line for operators. Every setting
// is a flag and an environment variable.
package operator

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"oleanderdale.org/oleander/version/configfile"
	"oleanderdale.org/oleander/version/publish"
)

// Exit codes.
const (
	ExitOK           = 0
	ExitFailure      = 1 // nothing was applied, or a command failed
	ExitUsage        = 2 // bad usage or invalid files
	ExitConflict     = 3 // another operator's change came first
	ExitUnknown      = 4 // may or may not have been applied; it is safe to repeat the command
	ExitNotConfirmed = 5 // applied, but not confirmed by all instances in time
)

// envPrefix is the prefix of the environment variables of all settings.
const envPrefix = "OLEANDER"

// commands is the command line of oleander.
type commands struct {
	Check   checkCommand    `cmd:"" help:"Check files without applying them."`
	Plan    planCommand     `cmd:"" help:"Show what applying files would change."`
	Apply   applyCommand    `cmd:"" help:"Apply files as a whole and wait until every availability zone confirms."`
	Status  statusCommand   `cmd:"" help:"Show which configuration version each instance has."`
	Burn    burnCommand     `cmd:"" help:"Report service-level burn by client account and class."`
	Explain explainCommand  `cmd:"" help:"Print the story of one request from the log lines of all processes."`
	Report  reportCommand   `cmd:"" help:"Report from the log lines of all processes how callers were served, and where the time went."`
	Key     keyCommands     `cmd:"" help:"Make keys of client accounts."`
	TLS     tlsCommands     `cmd:"" name:"tls" help:"Make certificates for the traffic between instances."`
	Standin standinCommands `cmd:"" help:"Run stand-ins of what the system runs beside, for tests."`
	Dev     devCommand      `cmd:"" help:"Run a small deployment in one process, for trying out."`
}

// streams are the outputs of a command: out for results, progress for progress
// messages.
type streams struct{ out, progress io.Writer }

// Run executes a command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	parser, err := kong.New(&commands{},
		kong.Name("oleander"),
		kong.Description("Operates oleanderdale by applying declarative files."),
		kong.DefaultEnvars(envPrefix),
		kong.Writers(stdout, stderr),
	)
	if err != nil {
		return finish(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "oleander: %v\n", err)
		return ExitUsage
	}
	parsed.BindTo(ctx, (*context.Context)(nil))
	return finish(stderr, parsed.Run(&streams{out: stdout, progress: stderr}))
}

// finish prints err, if any, and returns the exit code.
func finish(stderr io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var invalid *configfile.InvalidError
	if errors.As(err, &invalid) {
		fmt.Fprintln(stderr, invalid) // each line starts with the file name
		return ExitUsage
	}
	fmt.Fprintf(stderr, "oleander: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var conflict *publish.ConflictError
	switch {
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, publish.ErrOutcomeUnknown):
		return ExitUnknown
	case errors.Is(err, errNotConfirmed):
		return ExitNotConfirmed
	case errors.Is(err, errUsage), errors.Is(err, publish.ErrInvalid),
		errors.Is(err, configfile.ErrRead), errors.Is(err, configfile.ErrNoFiles):
		return ExitUsage
	}
	return ExitFailure
}

var (
	errUsage        = errors.New("bad usage")
	errNotConfirmed = errors.New("applied, but not confirmed everywhere")
	errNotAllReady  = errors.New("not every instance answered and is ready")
)
