package cli

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/thejerf/suture/v4"

	"rackspur/agent"
	"rackspur/api"
	"rackspur/caller"
	"rackspur/config"
	"rackspur/entry"
	"rackspur/internal/standin"
	"rackspur/observe"
	"rackspur/policy"
	"rackspur/settings"
	"rackspur/store"
	"rackspur/target"
)

//go:embed dev.yaml
var devDeclaration []byte

// devToken is the token of the first member of the example declaration.
const devToken = "ghanta:dev-secret"

// devTasks is the number of tasks of the job that dev sends.
const devTasks = 380

// devSettings holds the settings of "rackspur dev".
type devSettings struct {
	listen  string
	ops     string
	targets int
	slots   int
	once    string
}

func newDev() *cobra.Command {
	var s devSettings
	var c commonSettings
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run everything in one process, with stand-ins, and send one job",
		Long: `Run a platform stand-in, targets, agents and an entry box in one process,
apply the example declaration, and send a job of 380 tasks. With --once=false it
goes on serving until it is stopped.`,
		Example: `  rackspur dev
  rackspur dev --once=false --trace stderr --verbosity 1`,
		Args: cobra.NoArgs,
	}
	set := settings.NewSet(cmd.Flags())
	set.Address(&s.listen, "listen", "127.0.0.1:8080", "callers' address")
	set.Address(&s.ops, "ops", "127.0.0.1:8081", "operators' address")
	set.Int(&s.targets, "targets", 11, "number of targets", 1, 64)
	set.Int(&s.slots, "slots", 8, "slots of each target", 1, 1000)
	set.Choice(&s.once, "once", "true", "whether to stop after the first job", "true", "false")
	c.define(set)
	cmd.RunE = checked(set, func(cmd *cobra.Command, _ []string) error {
		return c.serve(cmd.Context(), "dev", func(ctx context.Context, log logr.Logger) error {
			if c.verbosity == 0 {
				log = logr.Discard()
			}
			return runDev(ctx, cmd, &s, log)
		})
	})
	return cmd
}

// serviceFunc adapts a function to suture.Service.
type serviceFunc func(context.Context) error

// Serve implements suture.Service.Serve.
func (f serviceFunc) Serve(ctx context.Context) error { return f(ctx) }

func runDev(ctx context.Context, cmd *cobra.Command, s *devSettings, log logr.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New("dev", suture.Spec{EventHook: func(e suture.Event) { log.Info("Supervisor event.", "event", e.String()) }})
	platformStore := standin.NewStore()
	if err := devConfigure(ctx, platformStore); err != nil {
		return err
	}
	addresses, err := freeAddresses(addressesPerAgent * s.targets)
	if err != nil {
		return err
	}
	for i := range s.targets {
		if err := devAgent(sup, platformStore, s, i, addresses[addressesPerAgent*i:], log); err != nil {
			return err
		}
	}
	if err := devEntry(sup, platformStore, s, log); err != nil {
		return err
	}
	done := sup.ServeBackground(ctx)
	if err := devJob(ctx, cmd, s); err != nil {
		return err
	}
	if s.once == "false" {
		fmt.Fprintf(cmd.OutOrStdout(), "serving callers at http://%s with token %s; operators at http://%s\n", s.listen, devToken, s.ops)
		<-ctx.Done()
	}
	cancel()
	<-done
	return nil
}

func devConfigure(ctx context.Context, platformStore *standin.Store) error {
	d, err := config.Parse(devDeclaration)
	if err != nil {
		return err
	}
	_, err = config.NewStore(platformStore).Apply(ctx, config.Change{ID: uuid.NewString(), Author: "dev", Document: d})
	return err
}

// freeAddresses returns n distinct loopback addresses with unused ports.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// devDomains lists the failure domains of the example declaration.
var devDomains = []string{"lahore-a", "lahore-b", "lahore-c"}

// addressesPerAgent counts the addresses of the target, the agent and the agent's
// operators' port.
const addressesPerAgent = 3

func devAgent(sup *suture.Supervisor, platformStore *standin.Store, s *devSettings, i int, addresses []string, log logr.Logger) error {
	name := fmt.Sprintf("engine-%d", i+1)
	domain := devDomains[i%len(devDomains)]
	t := standin.NewTarget(name, s.slots)
	sup.Add(serviceFunc(func(ctx context.Context) error { return serveHTTP(ctx, addresses[0], target.Connections, t.Handler()) }))
	holder := config.NewHolder()
	m := observe.NewMetrics()
	a, err := agent.New(agent.Parts{
		Settings: agent.Settings{
			Listen: addresses[1], Ops: addresses[2], Target: name, TargetURL: "http://" + addresses[0], Slots: s.slots,
			Domain: domain, Grace: time.Second, StopTimeout: 10 * time.Second, LongestLease: 10 * time.Second,
			Report: time.Second, KeepMB: 32,
		},
		Config:   holder,
		Policy:   policy.NewEngine(holder, m, log),
		Platform: platformStore,
		Metrics:  m,
		Log:      log,
	})
	if err != nil {
		return err
	}
	sup.Add(serviceFunc(a.Run))
	platformStore.SetBox(store.Box{Name: name, Role: store.RoleAgent, Address: addresses[1], Domain: domain, State: store.BoxLive})
	return nil
}

func devEntry(sup *suture.Supervisor, platformStore *standin.Store, s *devSettings, log logr.Logger) error {
	platformStore.SetBox(store.Box{Name: "entry-1", Role: store.RoleEntry, Address: s.listen, Domain: devDomains[0], State: store.BoxLive})
	e, err := entry.New(entry.Parts{
		Settings: entry.Settings{
			Name: "entry-1", Listen: s.listen, Ops: s.ops, Domain: devDomains[0], Links: 64, Candidates: 32,
			Grace: time.Second, Poll: time.Second, StopTimeout: 10 * time.Second,
			HeaderTimeout: 5 * time.Second, BodyTimeout: 30 * time.Second,
		},
		Config:   config.NewHolder(),
		Platform: platformStore,
		Metrics:  observe.NewMetrics(),
		Log:      log,
	})
	if err != nil {
		return err
	}
	sup.Add(serviceFunc(e.Run))
	return nil
}

// devJob sends a job and checks the result of every task.
func devJob(ctx context.Context, cmd *cobra.Command, s *devSettings) error {
	job := &api.Job{Kind: "reshuffle"}
	for i := range devTasks {
		payload, _ := json.Marshal(map[string]int{"ms": 50 + i%100, "period": i})
		job.Tasks = append(job.Tasks, api.Task{Payload: payload})
	}
	client := caller.New([]string{"http://" + s.listen}, devToken)
	ids, refused, err := client.IDs(ctx, 1)
	if err != nil || refused != nil {
		return exitWith(ExitError, "requesting an id: %v %v", err, refused)
	}
	start := time.Now()
	reply, err := client.Submit(ctx, ids[0], job)
	if err != nil {
		return err
	}
	if reply.Answer == nil {
		return exitWith(ExitFailed, "job %s: %s %s", reply.Outcome(), reply.Problem.Reason, reply.Problem.Detail)
	}
	for i, r := range reply.Answer.Results {
		var result standin.Result
		if err := json.Unmarshal(r.Result, &result); err != nil || result.Digest != standin.Digest(job.Tasks[i].Payload) {
			return exitWith(ExitFailed, "task %d: the result does not match the payload", i)
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "job %s: %d of %d tasks answered in %s by %d targets, every result checked\n",
		reply.Answer.Outcome, len(reply.Answer.Results), devTasks, time.Since(start).Round(time.Millisecond), s.targets)
	fmt.Fprintln(os.Stderr, "see 'rackspur help' for the commands")
	return nil
}
