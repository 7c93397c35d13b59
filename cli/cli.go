// Package cli implements the rackspur command line.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"rackspur/observe"
	"rackspur/settings"
)

// Exit codes. ExitFailed, ExitNotRun and ExitUnknown report the outcome of a
// submission.
const (
	ExitOK      = 0
	ExitError   = 1
	ExitUsage   = 2
	ExitFailed  = 3
	ExitNotRun  = 4
	ExitUnknown = 5
)

// Version is the version of rackspur.
const Version = "0.1.0"

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error implements error.Error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// exitWith returns an error that makes the program exit with a code.
func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	catchHangUp(args)
	root := newRoot()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "rackspur:", err)
	var exit *exitError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.Is(err, settings.ErrInvalid):
		return ExitUsage
	}
	return ExitError
}

// catchHangUp keeps SIGHUP from terminating a role on the platform, even before
// the role handles it. The platform sends it when settings have changed.
func catchHangUp(args []string) {
	if len(args) > 0 && args[0] == commandPlatform {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "rackspur",
		Short:         "Dispatch jobs of short tasks, each task started at most once",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return exitWith(ExitUsage, "%v", err)
	})
	root.AddCommand(
		newEntry(), newAgent(), newDev(), newStandin(),
		newSubmit(), newLoad(), newBound(), newApply(), newConfig(), newPolicy(), newStatus(), newDrain(),
		newPlatform(), newSettings(), newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			fmt.Fprintln(cmd.OutOrStdout(), "rackspur", Version)
		},
	}
}

// checked returns a RunE that checks the command's settings and then calls run.
func checked(set *settings.Set, run func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := set.Check(); err != nil {
			return err
		}
		return run(cmd, args)
	}
}

// commonSettings holds the settings shared by all serving roles.
type commonSettings struct {
	logFormat     string
	verbosity     int
	trace         string
	traceEndpoint string
}

func (c *commonSettings) define(set *settings.Set) {
	set.Choice(&c.logFormat, "log-format", "text", "form of log lines", "text", "json")
	set.Int(&c.verbosity, "verbosity", 0, "how much is logged", 0, 4)
	set.Choice(&c.trace, "trace", "none", "where trace spans go", "none", "stderr", "otlp")
	set.Address(&c.traceEndpoint, "trace-endpoint", "127.0.0.1:4317", "address of the OTLP collector")
}

func (c *commonSettings) logger(w io.Writer) logr.Logger {
	return observe.NewLogger(w, observe.LogFormat(c.logFormat), c.verbosity)
}

// serve runs a role with tracing set up.
func (c *commonSettings) serve(ctx context.Context, service string, run func(context.Context, logr.Logger) error) error {
	flush, err := observe.StartTracing(ctx, observe.TraceExporter(c.trace), c.traceEndpoint, service, os.Stderr)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	return eris.Wrap(run(ctx, c.logger(os.Stderr)), service)
}
