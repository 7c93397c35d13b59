package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/spf13/cobra"
	"golang.org/x/net/netutil"

	"rackspur/internal/standin"
	"rackspur/settings"
	"rackspur/store"
	"rackspur/target"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Stand-ins of the platform and of targets, for trials and tests",
	}
	cmd.AddCommand(newStandinPlatform(), newStandinTarget())
	return cmd
}

func newStandinPlatform() *cobra.Command {
	var listen, boxes string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Serve a stand-in of the platform's service",
		Example: `  rackspur standin platform --listen 127.0.0.1:7100 --boxes boxes.json`,
		Args:    cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	set.Address(&listen, "listen", "127.0.0.1:7100", "address to serve")
	set.String(&boxes, "boxes", "", "JSON file with the list of boxes")
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		platformStore := standin.NewStore()
		if boxes != "" {
			if err := readBoxes(platformStore, boxes); err != nil {
				return err
			}
		}
		return serveHTTP(cmd.Context(), listen, platformConnections, standin.PlatformHandler(platformStore))
	})
	return cmd
}

func readBoxes(platformStore *standin.Store, file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return exitWith(ExitUsage, "boxes: %v", err)
	}
	var list []store.Box
	if err := json.Unmarshal(text, &list); err != nil {
		return exitWith(ExitUsage, "boxes: %s: %v", file, err)
	}
	for _, b := range list {
		platformStore.SetBox(b)
	}
	return nil
}

func newStandinTarget() *cobra.Command {
	var listen, name string
	var slots int
	cmd := &cobra.Command{
		Use:     "target",
		Short:   "Serve a stand-in target that holds a slot for each task's run time",
		Example: `  rackspur standin target --listen 127.0.0.1:9001 --name engine-1 --slots 8`,
		Args:    cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	set.Address(&listen, "listen", "127.0.0.1:9001", "address to serve")
	set.String(&name, "name", "", "name of the target").Require()
	set.Int(&slots, "slots", 8, "number of slots", 1, 10_000)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		return serveHTTP(cmd.Context(), listen, target.Connections, standin.NewTarget(name, slots).Handler())
	})
	return cmd
}

// platformConnections bounds the concurrent connections to the stand-in of the
// platform.
const platformConnections = 10_000

// serveHTTP serves a handler over a bounded number of connections until ctx is done.
func serveHTTP(ctx context.Context, listen string, connections int, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	l = netutil.LimitListener(l, connections)
	srv := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
