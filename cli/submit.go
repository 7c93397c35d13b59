package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rackspur/api"
	"rackspur/caller"
	"rackspur/observe"
	"rackspur/settings"
)

// submitSettings holds the settings of "rackspur submit".
type submitSettings struct {
	entries string
	token   string
	timeout time.Duration
	output  string
}

func (s *submitSettings) define(fs *pflag.FlagSet) *settings.Set {
	set := settings.NewSet(fs)
	set.String(&s.entries, "entry", "http://127.0.0.1:8080", "base URLs of entry boxes, separated by commas")
	set.String(&s.token, "token", "", "credentials: member:secret").Require()
	set.Duration(&s.timeout, "timeout", 30*time.Second, "longest time to wait for a final answer", time.Millisecond, time.Hour)
	set.Choice(&s.output, "output", "text", "form of the output", "text", "json")
	return set
}

func newSubmit() *cobra.Command {
	var s submitSettings
	var c commonSettings
	cmd := &cobra.Command{
		Use:   "submit [FILE]",
		Short: "Send a job and print its whole answer",
		Long: `Send a job from a file, or from standard input if no file or - is given.
The job is sent again under the same id when an answer is lost.

Exit codes: 0 complete, 3 failed, 4 refused and not run, 5 outcome unknown,
2 wrong settings or a bad job, 1 any other error.`,
		Example: `  rackspur submit --token ghanta:SECRET job.json
  echo '{"kind":"clash-check","tasks":[{"payload":{"ms":80}}]}' | rackspur submit --token ghanta:SECRET`,
		Args: cobra.MaximumNArgs(1),
	}
	set := s.define(cmd.Flags())
	c.define(set)
	cmd.RunE = checked(set, func(cmd *cobra.Command, args []string) error {
		job, err := readJob(cmd.InOrStdin(), args)
		if err != nil {
			return err
		}
		flush, err := observe.StartTracing(cmd.Context(), observe.TraceExporter(c.trace), c.traceEndpoint, "caller", cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		defer func() { _ = flush(context.Background()) }()
		return submit(cmd, &s, job)
	})
	return cmd
}

// readJob reads a job from a file or from in and checks that it can be parsed.
func readJob(in io.Reader, args []string) ([]byte, error) {
	var text []byte
	var err error
	if len(args) == 0 || args[0] == "-" {
		text, err = io.ReadAll(in)
	} else {
		text, err = os.ReadFile(args[0])
	}
	if err != nil {
		return nil, exitWith(ExitUsage, "job: %v", err)
	}
	var job api.Job
	if err := json.Unmarshal(text, &job); err != nil {
		return nil, exitWith(ExitUsage, "job: cannot be parsed: %v", err)
	}
	return text, nil
}

func submit(cmd *cobra.Command, s *submitSettings, job []byte) error {
	ctx, span := observe.Span(cmd.Context(), "caller.submit")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	client := caller.New(strings.Split(s.entries, ","), s.token)
	stop := showProgress(cmd.ErrOrStderr())
	defer stop()
	ids, refused, err := client.IDs(ctx, 1)
	if err != nil {
		return exitWith(ExitUnknown, "requesting an id: %v; nothing was sent", err)
	}
	if refused != nil {
		return printReply(cmd, s, refused)
	}
	reply, err := client.SubmitRaw(ctx, ids[0], job)
	stop()
	if err != nil {
		return exitWith(ExitUnknown, "outcome of submission %s unknown: %v", ids[0], err)
	}
	return printReply(cmd, s, reply)
}

// printReply prints a reply and returns an error with the exit code of its outcome.
func printReply(cmd *cobra.Command, s *submitSettings, r *caller.Reply) error {
	out := cmd.OutOrStdout()
	if r.Answer != nil {
		printAnswer(out, s.output, r.Answer)
		return nil
	}
	p := r.Problem
	if s.output == "json" {
		printJSON(out, p)
	} else {
		printResults(out, p.Results)
	}
	switch p.Outcome {
	case api.Failed, api.Forgotten:
		return exitWith(ExitFailed, "failed: %s %s", p.Reason, p.Detail)
	case api.NotRun:
		return exitWith(ExitNotRun, "not run: %s %s (retry after %d ms)", p.Reason, p.Detail, p.RetryAfterMS)
	case api.Unknown:
		return exitWith(ExitUnknown, "outcome unknown: %s %s", p.Reason, p.Detail)
	}
	return exitWith(ExitUsage, "%s %s: %s", p.Title, p.Reason, p.Detail)
}

func printAnswer(out io.Writer, form string, a *api.Answer) {
	if form == "json" {
		printJSON(out, a)
		return
	}
	fmt.Fprintf(out, "%s %s, %d tasks, configuration %d\n", a.ID, a.Outcome, len(a.Results), a.Version)
	printResults(out, a.Results)
}

func printResults(out io.Writer, results []api.TaskResult) {
	for _, t := range results {
		fmt.Fprintf(out, "%4d %-11s %-16s %s%s\n", t.Index, t.Status, t.Target, t.Result, t.Error)
	}
}

func printJSON(out io.Writer, v any) {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}

// progressInterval is the interval at which the progress line is updated.
const progressInterval = time.Second

// showProgress prints the elapsed waiting time to w if it is a terminal, until the
// returned function is called. That function may be called more than once.
func showProgress(w io.Writer) func() {
	f, ok := w.(*os.File)
	if !ok || !isTerminal(f) {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	start := time.Now()
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				fmt.Fprintf(f, "\rwaiting for the answer, %s", time.Since(start).Round(time.Second))
			}
		}
	}()
	return cancel
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
