package cli

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"rackspur/load/bound"
	"rackspur/settings"
)

// boundSettings holds the settings of "rackspur bound".
type boundSettings struct {
	factors  string
	seeds    int
	deadTime time.Duration
}

// defaultDeadTime is the time for which the users' platform keeps a task's CPU
// allocated after its run (docs/DECISIONS.md).
const defaultDeadTime = 2500 * time.Microsecond

func newBound() *cobra.Command {
	var s boundSettings
	cmd := &cobra.Command{
		Use:   "bound [SCENARIO]",
		Short: "Tell how much of a load could be served at best",
		Long: `Play a scenario, the shipped one (rating) or one from a file, against targets with
one queue that sees everything, and tell what is in time. Nothing is sent.`,
		Example: `  rackspur bound --factors 1,1.6,2 --seeds 5`,
		Args:    cobra.MaximumNArgs(1),
	}
	set := settings.NewSet(cmd.Flags())
	set.String(&s.factors, "factors", "1,1.2,1.4,1.6,1.8,2", "factors of the rates, separated by commas")
	set.Int(&s.seeds, "seeds", 5, "how many loads are drawn for each factor", 1, 1000)
	set.Duration(&s.deadTime, "dead", defaultDeadTime, "time that each task holds its room beyond its run", 0, time.Second)
	cmd.RunE = checked(set, func(cmd *cobra.Command, args []string) error {
		return runBound(cmd.OutOrStdout(), &s, append(args, "rating")[0])
	})
	return cmd
}

func runBound(out io.Writer, s *boundSettings, name string) error {
	scenario, err := bound.Read(name)
	if err != nil {
		return &exitError{code: ExitUsage, err: err}
	}
	factors, err := parseFactors(s.factors)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "factor\torder\tearned\tworst kind\tin time\tlate\tdropped")
	for _, factor := range factors {
		for _, order := range []bound.Order{bound.OrderSlack, bound.OrderWorth} {
			writeBound(out, factor, order, simulateSeeds(scenario, s, factor, order))
		}
	}
	return nil
}

// parseFactors parses a comma-separated list of rate factors.
func parseFactors(text string) ([]float64, error) {
	var factors []float64
	for _, field := range strings.Split(text, ",") {
		factor, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil || factor <= 0 || factor > 100 {
			return nil, exitWith(ExitUsage, "factors: %q is not a number above 0 and at most 100", field)
		}
		factors = append(factors, factor)
	}
	return factors, nil
}

// simulateSeeds simulates a load with each seed and sums the outcomes of each kind.
func simulateSeeds(scenario *bound.Scenario, s *boundSettings, factor float64, order bound.Order) map[string]bound.Outcome {
	total := map[string]bound.Outcome{}
	for seed := range s.seeds {
		for kind, o := range scenario.Simulate(factor, uint64(seed)+1, order, s.deadTime) {
			sum := total[kind]
			sum.Add(o)
			total[kind] = sum
		}
	}
	return total
}

func writeBound(out io.Writer, factor float64, order bound.Order, kinds map[string]bound.Outcome) {
	var all bound.Outcome
	var shares []float64
	for _, o := range kinds {
		all.Add(o)
		shares = append(shares, o.Earned/o.Worth)
	}
	n := float64(all.Jobs)
	fmt.Fprintf(out, "%.2f\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", factor, order, all.Earned/all.Worth, slices.Min(shares),
		float64(all.InTime)/n, float64(all.Late)/n, float64(all.Dropped)/n)
}
