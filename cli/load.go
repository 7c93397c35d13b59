package cli

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rackspur/load"
	"rackspur/settings"
)

// loadSettings holds the settings of "rackspur load".
type loadSettings struct {
	entries  string
	tokens   string
	percent  int
	duration time.Duration
	bursts   string
	output   string
	plot     string
}

func newLoad() *cobra.Command {
	var s loadSettings
	cmd := &cobra.Command{
		Use:   "load SCENARIO",
		Short: "Send a load and report response times against the ideal",
		Long: `Send the load of a scenario, shipped (ghanta, acquirer) or from a file, to
entry boxes whose targets are stand-ins, and report response times against the
ideal. Submissions arrive at their times whatever became of earlier ones.`,
		Example: `  rackspur load ghanta --entry http://127.0.0.1:8080 --tokens ghanta:dev-secret --plot ghanta.png`,
		Args:    cobra.ExactArgs(1),
	}
	set := settings.NewSet(cmd.Flags())
	set.String(&s.entries, "entry", "http://127.0.0.1:8080", "base URLs of entry boxes, separated by commas")
	set.String(&s.tokens, "tokens", "", "credentials of the members, member:secret, separated by commas").Require()
	set.Int(&s.percent, "load", 0, "offered work in percent of the slots (0: the scenario's)", 0, 1000)
	set.Duration(&s.duration, "duration", 0, "time in which submissions arrive (0: the scenario's)", 0, time.Hour)
	set.Choice(&s.bursts, "bursts", "on", "whether the scenario's bursts are sent", "on", "off")
	set.Choice(&s.output, "output", "text", "form of the report", "text", "json")
	set.String(&s.plot, "plot", "", "file for a plot, .png or .svg")
	cmd.RunE = checked(set, func(cmd *cobra.Command, args []string) error {
		return runLoad(cmd, &s, args[0])
	})
	return cmd
}

func runLoad(cmd *cobra.Command, s *loadSettings, name string) error {
	scenario, err := load.Read(name)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	if s.percent > 0 {
		scenario.Load = float64(s.percent) / 100
	}
	if s.duration > 0 {
		scenario.Duration = s.duration
	}
	if s.bursts == "off" {
		scenario.Bursts = nil
	}
	if err := scenario.Check(); err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	tokens := map[string]string{}
	for _, token := range strings.Split(s.tokens, ",") {
		member, _, ok := strings.Cut(token, ":")
		if !ok {
			return exitWith(ExitUsage, "tokens: must have the form member:secret,member:secret")
		}
		tokens[member] = token
	}
	report, err := load.Run(cmd.Context(), scenario, load.Options{Entries: strings.Split(s.entries, ","), Tokens: tokens})
	if err != nil {
		return err
	}
	if s.plot != "" {
		if err := report.WritePlot(s.plot); err != nil {
			return err
		}
	}
	if s.output == "json" {
		printJSON(cmd.OutOrStdout(), report)
		return nil
	}
	return report.WriteText(cmd.OutOrStdout())
}
