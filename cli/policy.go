package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rackspur/observe"
	"rackspur/policy"
	"rackspur/settings"
)

func newPolicy() *cobra.Command {
	cmd := &cobra.Command{Use: "policy", Short: "Read, check, try and watch policies"}
	cmd.AddCommand(newPolicyShow(), newPolicyCheck(), newPolicyTry(), newPolicyWatch())
	return cmd
}

func newPolicyShow() *cobra.Command {
	return &cobra.Command{
		Use:     "show [SET]",
		Short:   "List the shipped sets, or print one",
		Example: `  rackspur policy show batch-sampling`,
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), strings.Join(policy.Names(), "\n"))
				return nil
			}
			source, err := policy.Source(args[0])
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			fmt.Fprint(cmd.OutOrStdout(), source)
			return nil
		},
	}
}

// readProgram compiles the shipped set with the given name or, if there is none, a
// program file.
func readProgram(name string) (*policy.Program, error) {
	source, err := policy.Source(name)
	if err != nil {
		text, fileErr := os.ReadFile(name)
		if fileErr != nil {
			return nil, exitWith(ExitUsage, "%s is neither a shipped set nor a readable file: %v", name, fileErr)
		}
		source = string(text)
	}
	p, err := policy.Compile(name, source)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	return p, nil
}

// hookOrder is the order in which hooks are run and printed.
var hookOrder = []policy.Hook{policy.HookAdmit, policy.HookPlace, policy.HookRetry, policy.HookDrain}

func newPolicyCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE|SET",
		Short: "Compile a program and run it on the samples",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return tryProgram(args[0], func(policy.Hook, policy.Sample, any) {}, func() {
				fmt.Fprintln(cmd.OutOrStdout(), "the program is good")
			})
		},
	}
}

func newPolicyTry() *cobra.Command {
	return &cobra.Command{
		Use:     "try FILE|SET",
		Short:   "Print what a program decides on the samples",
		Example: `  rackspur policy try my-place.star`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return tryProgram(args[0], func(h policy.Hook, s policy.Sample, v any) {
				text, _ := json.Marshal(v)
				fmt.Fprintf(cmd.OutOrStdout(), "%-6s %-38s %s\n", h, s.Name, text)
			}, func() {})
		},
	}
}

// tryProgram runs every hook of a program on every sample. It calls each with each
// result and done if all of them succeeded.
func tryProgram(name string, each func(policy.Hook, policy.Sample, any), done func()) error {
	p, err := readProgram(name)
	if err != nil {
		return err
	}
	for _, h := range hookOrder {
		if !p.Has(h) {
			continue
		}
		for _, s := range policy.Samples() {
			v, err := p.Try(h, s)
			if err != nil {
				return exitWith(ExitUsage, "%s on sample %q: %v", h, s.Name, err)
			}
			each(h, s, v)
		}
	}
	done()
	return nil
}

func newPolicyWatch() *cobra.Command {
	var ops, submission string
	var limit time.Duration
	cmd := &cobra.Command{
		Use:     "watch",
		Short:   "Print the decisions of an agent as they are made",
		Example: `  rackspur policy watch --ops http://127.0.0.1:7001 --submission ID`,
		Args:    cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	set.URL(&ops, "ops", "http://127.0.0.1:7001", "operators' URL of an agent")
	set.String(&submission, "submission", "", "id of the one submission to watch")
	set.Duration(&limit, "for", 0, "how long to watch (0: print what is kept and end)", 0, time.Hour)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		ctx, cancel := context.WithTimeout(cmd.Context(), limit)
		defer cancel()
		return watchDecisions(ctx, cmd, ops, submission)
	})
	return cmd
}

// watchInterval is the polling interval of policy watch.
const watchInterval = 500 * time.Millisecond

func watchDecisions(ctx context.Context, cmd *cobra.Command, ops, submission string) error {
	client := &http.Client{Timeout: operatorTimeout}
	var seen time.Time
	enc := json.NewEncoder(cmd.OutOrStdout())
	for {
		var list []policy.Decision
		res, err := client.Get(ops + observe.PathWatch + "?submission=" + url.QueryEscape(submission))
		if err != nil {
			return exitWith(ExitError, "agent: %v", err)
		}
		err = json.NewDecoder(res.Body).Decode(&list)
		res.Body.Close()
		if err != nil {
			return exitWith(ExitError, "agent: %v", err)
		}
		for _, d := range list {
			if d.At.After(seen) {
				seen = d.At
				_ = enc.Encode(d)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
	}
}
