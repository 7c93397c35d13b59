package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"rackspur/agent"
	"rackspur/entry"
	"rackspur/settings"
)

// roles lists the serving roles and the functions that define their settings.
var roles = []struct {
	name   string
	define func(*settings.Set)
}{
	{"entry", func(s *settings.Set) { new(entry.Settings).Define(s); new(commonSettings).define(s) }},
	{"agent", func(s *settings.Set) { new(agent.Settings).Define(s); new(commonSettings).define(s) }},
	{"platform entry", func(s *settings.Set) { new(platformFlags).defineEntry(s); new(platformFlags).define(s) }},
	{"platform agent", func(s *settings.Set) { new(platformFlags).defineAgent(s); new(platformFlags).define(s) }},
}

func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print the settings of each role as tables",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			writeSettings(cmd.OutOrStdout())
		},
	}
}

// writeSettings writes the content of docs/SETTINGS.md.
func writeSettings(w io.Writer) {
	fmt.Fprint(w, `# Settings

Each setting is a flag and an environment variable; the flag wins. All are
checked at start; every wrong one is reported, and the program ends with code 2.
This page is what "rackspur settings" prints; a test holds it to the code.
`)
	for _, r := range roles {
		set := settings.NewSet(pflag.NewFlagSet(r.name, pflag.ContinueOnError))
		r.define(set)
		fmt.Fprintf(w, "\n## rackspur %s\n\n| flag | environment | default | meaning | right values |\n|---|---|---|---|---|\n", r.name)
		for _, s := range set.All() {
			def := s.Default
			if s.Required {
				def = "(required)"
			}
			fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s | %s |\n", s.Name, s.Env(), def, s.Usage, s.Valid)
		}
	}
}
