package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rackspur/config"
	"rackspur/entry"
	"rackspur/observe"
	"rackspur/policy"
	"rackspur/settings"
	"rackspur/store"
)

// operatorTimeout is the timeout of a request to the operators' port.
const operatorTimeout = 5 * time.Second

// operatorSettings holds the settings of the operators' commands.
type operatorSettings struct {
	platform string
	ops      string
	output   string
}

func (s *operatorSettings) definePlatform(fs *pflag.FlagSet) *settings.Set {
	set := settings.NewSet(fs)
	set.URL(&s.platform, "platform", "http://127.0.0.1:7100", "base URL of the platform's service")
	set.Choice(&s.output, "output", "text", "form of the output", "text", "json")
	return set
}

func (s *operatorSettings) defineOps(fs *pflag.FlagSet) *settings.Set {
	set := settings.NewSet(fs)
	set.URL(&s.ops, "ops", "http://127.0.0.1:8081", "operators' URL of an entry box")
	set.Choice(&s.output, "output", "text", "form of the output", "text", "json")
	return set
}

func (s *operatorSettings) store() *config.Store {
	return config.NewStore(store.NewClient(s.platform))
}

func newApply() *cobra.Command {
	var s operatorSettings
	var base int
	var author string
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Check a declaration and have it accepted",
		Long: `Check a declaration whole and have it accepted as the next version.

--base names the version that the declaration was made from; without it, the
version in force is taken. If another change came first, nothing is written and
the conflict names that change.`,
		Example: `  rackspur apply --base 4 rackspur.yaml`,
		Args:    cobra.ExactArgs(1),
	}
	set := s.definePlatform(cmd.Flags())
	set.Int(&base, "base", -1, "version that the declaration was made from (-1: the one in force)", -1, 1<<30)
	set.String(&author, "author", "", "who makes the change (default: the user's name)")
	cmd.RunE = checked(set, func(cmd *cobra.Command, args []string) error {
		d, err := readDocument(args[0])
		if err != nil {
			return err
		}
		return apply(cmd, &s, d, base, author)
	})
	return cmd
}

func readDocument(file string) (*config.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, exitWith(ExitUsage, "declaration: %v", err)
	}
	d, err := config.Parse(text)
	if err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	if err := policy.Check(d.Policies); err != nil {
		return nil, &exitError{code: ExitUsage, err: err}
	}
	return d, nil
}

func apply(cmd *cobra.Command, s *operatorSettings, d *config.Document, base int, author string) error {
	store := s.store()
	if base < 0 {
		r, err := store.Current(cmd.Context())
		if err != nil {
			return err
		}
		base = 0
		if r != nil {
			base = int(r.Version)
		}
	}
	if u, err := user.Current(); author == "" && err == nil {
		author = u.Username
	}
	r, err := store.Apply(cmd.Context(), config.Change{ID: uuid.NewString(), Base: uint64(base), Author: author, Document: d})
	if errors.Is(err, config.ErrConflict) {
		return exitWith(ExitNotRun, "%v", err)
	}
	if err != nil {
		return err
	}
	if s.output == "json" {
		printJSON(cmd.OutOrStdout(), r)
		return nil
	}
	fmt.Fprintf(cmd.OutOrStdout(), "accepted as version %d, change %s\n", r.Version, r.ChangeID)
	return nil
}

func newConfig() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Look at the accepted configuration"}
	cmd.AddCommand(newConfigShow(), newConfigHistory(), newConfigStatus(), newConfigCheck(), newConfigSecret())
	return cmd
}

func newConfigShow() *cobra.Command {
	var s operatorSettings
	cmd := &cobra.Command{Use: "show", Short: "Print the accepted declaration as JSON", Args: cobra.NoArgs}
	set := s.definePlatform(cmd.Flags())
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		r, err := s.store().Current(cmd.Context())
		if err != nil {
			return err
		}
		if r == nil {
			return exitWith(ExitError, "no configuration has been accepted yet")
		}
		printJSON(cmd.OutOrStdout(), r)
		return nil
	})
	return cmd
}

func newConfigHistory() *cobra.Command {
	var s operatorSettings
	cmd := &cobra.Command{Use: "history", Short: "List the accepted changes", Args: cobra.NoArgs}
	set := s.definePlatform(cmd.Flags())
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		records, err := s.store().History(cmd.Context())
		if err != nil {
			return err
		}
		if s.output == "json" {
			printJSON(cmd.OutOrStdout(), records)
			return nil
		}
		w := newTable(cmd.OutOrStdout(), "VERSION\tTIME\tAUTHOR\tCHANGE")
		for _, r := range records {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\n", r.Version, r.Time.Format(time.RFC3339), r.Author, r.ChangeID)
		}
		return w.Flush()
	})
	return cmd
}

func newConfigStatus() *cobra.Command {
	var s operatorSettings
	cmd := &cobra.Command{Use: "status", Short: "Show which version is in force where", Args: cobra.NoArgs}
	set := s.defineOps(cmd.Flags())
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		st, err := s.status()
		if err != nil {
			return err
		}
		if s.output == "json" {
			printJSON(cmd.OutOrStdout(), st)
			return nil
		}
		w := newTable(cmd.OutOrStdout(), "PROCESS\tVERSION")
		fmt.Fprintf(w, "%s\t%d\n", st.Name, st.Version)
		for _, a := range st.Agents {
			fmt.Fprintf(w, "%s\t%d\n", a.Target, a.Version)
		}
		return w.Flush()
	})
	return cmd
}

func newConfigCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a declaration without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := readDocument(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "the declaration is good")
			return nil
		},
	}
}

func newConfigSecret() *cobra.Command {
	return &cobra.Command{
		Use:   "secret",
		Short: "Draw a secret for a member and print it with its hash",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			secret := config.NewSecret()
			fmt.Fprintf(cmd.OutOrStdout(), "secret (for the member): %s\nhash (for the declaration): %s\n", secret, config.HashSecret(secret))
		},
	}
}

func newTable(w io.Writer, head string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, head)
	return t
}

// status fetches the status of an entry box.
func (s *operatorSettings) status() (*entry.Status, error) {
	client := &http.Client{Timeout: operatorTimeout}
	res, err := client.Get(s.ops + observe.PathStatus)
	if err != nil {
		return nil, exitWith(ExitError, "entry box: %v", err)
	}
	defer res.Body.Close()
	var st entry.Status
	if err := json.NewDecoder(res.Body).Decode(&st); err != nil {
		return nil, exitWith(ExitError, "entry box: %v", err)
	}
	return &st, nil
}

func newStatus() *cobra.Command {
	var s operatorSettings
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show targets, load, versions and leaving as an entry box sees them",
		Example: `  rackspur status --ops http://127.0.0.1:8081`,
		Args:    cobra.NoArgs,
	}
	set := s.defineOps(cmd.Flags())
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		st, err := s.status()
		if err != nil {
			return err
		}
		if s.output == "json" {
			printJSON(cmd.OutOrStdout(), st)
			return nil
		}
		fmt.Fprintf(cmd.OutOrStdout(), "entry box %s, failure domain %s, configuration %d, ready %t\n", st.Name, st.Domain, st.Version, st.Ready)
		w := newTable(cmd.OutOrStdout(), "TARGET\tDOMAIN\tADDRESS\tLINKED\tLEAVING\tRUNNING\tWAITING\tPACE\tVERSION")
		for _, a := range st.Agents {
			fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d/%d\t%d\t%d\t%d\n", a.Target, a.Domain, a.Address, a.Linked, a.Leaving, a.Running, a.Slots, a.Waiting, a.Pace, a.Version)
		}
		return w.Flush()
	})
	return cmd
}

func newDrain() *cobra.Command {
	var s operatorSettings
	cmd := &cobra.Command{
		Use:     "drain TARGET",
		Short:   "Let a target finish what runs and give it no new work",
		Example: `  rackspur drain engine-3 --ops http://127.0.0.1:8081`,
		Args:    cobra.ExactArgs(1),
	}
	set := s.defineOps(cmd.Flags())
	cmd.RunE = checked(set, func(cmd *cobra.Command, args []string) error {
		client := &http.Client{Timeout: operatorTimeout}
		res, err := client.Post(s.ops+observe.PathDrain+"/"+args[0], "application/json", nil)
		if err != nil {
			return exitWith(ExitError, "entry box: %v", err)
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusAccepted {
			body, _ := io.ReadAll(res.Body)
			return exitWith(ExitError, "drain %s: %s", args[0], body)
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s is leaving\n", args[0])
		return nil
	})
	return cmd
}
