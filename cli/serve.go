package cli

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"rackspur/agent"
	"rackspur/config"
	"rackspur/entry"
	"rackspur/observe"
	"rackspur/policy"
	"rackspur/settings"
	"rackspur/store"
)

func newEntry() *cobra.Command {
	var s entry.Settings
	var c commonSettings
	cmd := &cobra.Command{
		Use:   "entry",
		Short: "Serve callers on an entry box",
		Example: `  rackspur entry --name entry-1 --domain lahore-a --platform http://127.0.0.1:7100
  RACKSPUR_NAME=entry-1 RACKSPUR_DOMAIN=lahore-a RACKSPUR_PLATFORM=http://127.0.0.1:7100 rackspur entry`,
		Args: cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	s.Define(set)
	c.define(set)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		return c.serve(cmd.Context(), "entry", func(ctx context.Context, log logr.Logger) error {
			return runEntry(ctx, s, log)
		})
	})
	return cmd
}

func runEntry(ctx context.Context, s entry.Settings, log logr.Logger) error {
	e, err := entry.New(entry.Parts{
		Settings: s,
		Config:   config.NewHolder(),
		Platform: store.NewClient(s.Platform),
		Metrics:  observe.NewMetrics(),
		Log:      log,
	})
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

func newAgent() *cobra.Command {
	var s agent.Settings
	var c commonSettings
	cmd := &cobra.Command{
		Use:     "agent",
		Short:   "Serve as home and gate beside a target",
		Example: `  rackspur agent --target engine-1 --target-url http://127.0.0.1:9001 --domain lahore-a --platform http://127.0.0.1:7100`,
		Args:    cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	s.Define(set)
	c.define(set)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		return c.serve(cmd.Context(), "agent", func(ctx context.Context, log logr.Logger) error {
			return runAgent(ctx, s, log)
		})
	})
	return cmd
}

func runAgent(ctx context.Context, s agent.Settings, log logr.Logger) error {
	m := observe.NewMetrics()
	holder := config.NewHolder()
	a, err := agent.New(agent.Parts{
		Settings: s,
		Config:   holder,
		Policy:   policy.NewEngine(holder, m, log),
		Platform: store.NewClient(s.Platform),
		Metrics:  m,
		Log:      log,
	})
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
