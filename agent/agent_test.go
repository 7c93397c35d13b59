package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"rackspur/config"
	"rackspur/dispatch"
	"rackspur/id"
	"rackspur/internal/standin"
	"rackspur/observe"
	"rackspur/policy"
	"rackspur/rpc"
	"rackspur/wire"
)

const testPatience = 20 * time.Second

// newTestAgent returns an agent beside a stand-in target, with a configuration.
func newTestAgent(t *testing.T) (*Agent, *standin.Target) {
	t.Helper()
	target := standin.NewTarget("engine", 4)
	srv := httptest.NewServer(target.Handler())
	t.Cleanup(srv.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	holder, metrics := config.NewHolder(), observe.NewMetrics()
	a, err := New(Parts{
		Settings: Settings{Listen: address, Ops: "127.0.0.1:0", Target: "engine", TargetURL: srv.URL, Slots: 4, Domain: "a",
			Grace: time.Second, StopTimeout: testPatience, LongestLease: testPatience, Report: time.Second, KeepMB: 1},
		Config:   holder,
		Policy:   policy.NewEngine(holder, metrics, logr.Discard()),
		Platform: standin.NewStore(),
		Metrics:  metrics,
		Log:      logr.Discard(),
	})
	if err != nil {
		t.Fatal(err)
	}
	d := &config.Document{
		Members: []config.Member{{Name: "m", Secrets: []string{config.HashSecret("s")}, Weight: 1}},
		Kinds:   []config.Kind{{Name: "k", ExpectMS: 10, LeaseMS: 1000, DeadlineMS: 5000}},
	}
	if err := holder.Offer(&wire.Config{Version: 1, Document: d.Encode()}); err != nil {
		t.Fatal(err)
	}
	return a, target
}

// submitUntilAnswered sends a request until the port answers.
func submitUntilAnswered(ctx context.Context, t *testing.T, a *Agent, r *wire.SubmitRequest) *wire.SubmitReply {
	t.Helper()
	conn, err := rpc.Dial(a.settings.Address(), a.metrics)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for {
		reply, err := wire.NewHomeClient(conn).Submit(ctx, r)
		if err == nil {
			return reply
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		conn.ResetConnectBackoff()
	}
}

// TestRestartOfPortKeepsLedger has the supervisor restart the agent's port. The
// same submission is answered from the ledger and its task does not start again.
func TestRestartOfPortKeepsLedger(t *testing.T) {
	a, target := newTestAgent(t)
	ctx, cancel := context.WithTimeout(t.Context(), testPatience)
	defer cancel()
	a.node.do(func(dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) { return nil, a.node.gate.SetBusy(0) })
	var key [id.KeySize]byte
	var number uint32
	a.node.do(func(now dispatch.Time) ([]dispatch.HomeAction, []dispatch.GateAction) {
		number, key = a.node.home.Ledger().Issue(now + time.Hour)
		return nil, nil
	})
	v := id.Mint(netip.MustParseAddrPort(a.settings.Address()), a.node.incarnation, number, key[:], "m")
	payload, err := json.Marshal(standin.Payload{MS: 10})
	if err != nil {
		t.Fatal(err)
	}
	r := &wire.SubmitRequest{Id: v.String(), Member: "m", Kind: "k", DeadlineMs: 5000, ConfigVersion: 1, Tasks: []*wire.Task{{Payload: payload}}}
	port := &grpcService{agent: a, listener: a.listener}
	var answers []*wire.SubmitReply
	for range 3 {
		serving, stop := context.WithCancel(ctx)
		done := make(chan error, 1)
		go func() { done <- port.Serve(serving) }()
		answers = append(answers, submitUntilAnswered(ctx, t, a, r))
		stop()
		<-done
	}
	for _, got := range answers {
		if got.GetOutcome() != wire.Outcome_OUTCOME_COMPLETE || !proto.Equal(got.GetResults()[0], answers[0].GetResults()[0]) {
			t.Errorf("%v", got)
		}
	}
	if n := len(target.Starts()); n != 1 {
		t.Errorf("%d starts", n)
	}
}
