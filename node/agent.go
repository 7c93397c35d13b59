package node

import (
	"context"
	"net"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"rackspur/gate"
	"rackspur/member"
	"rackspur/peer"
	"rackspur/peer/peerpb"
	"rackspur/rpc"
)

// Agent is a box that runs the gate of a target.
type Agent struct {
	options  Options
	target   gate.Target
	listener net.Listener
	log      logr.Logger
	driver   *gate.Driver
	seeds    *seeds
	box      member.Box
}

// NewAgent returns an agent and starts listening for other boxes. Calls to the target
// are cancelled when the context ends.
func NewAgent(ctx context.Context, o Options, target gate.Target) (*Agent, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, eris.Wrap(ErrServe, err.Error())
	}
	o.listening(listener)
	incarnation := o.Node + "~" + uuid.NewString()[:8]
	g := gate.New(gateOptions(o, incarnation))
	a := &Agent{
		options: o, target: target, listener: listener, log: o.Log,
		driver: gate.NewDriver(ctx, g, target, o.Log),
		seeds:  newSeeds(o.Seeds, o.Advertise, o.Metrics),
		box:    member.Box{Node: o.Node, Role: member.RoleAgent, Zone: o.Domain, Address: o.Advertise, Incarnation: incarnation},
	}
	a.gauges()
	return a, nil
}

// Driver returns the gate's driver.
func (a *Agent) Driver() *gate.Driver { return a.driver }

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	server := rpc.NewServer(a.options.Metrics)
	peerpb.RegisterPeerServer(server, &peer.Server{
		Node: a.options.Node, Incarnation: a.box.Incarnation, Gate: a.driver, Direct: a.options.Store, Metrics: a.options.Metrics, Log: a.log,
	})
	go func() { _ = server.Serve(a.listener) }()
	defer server.Stop()
	store := peer.NewRelayedStore(a.options.Store, a, a.options.Metrics, a.log)
	go member.KeepRegistered(ctx, store, a.box, a.log)
	d := &descriptions{store: store, node: a.options.Node, driver: a.driver, unreadable: a.options.Unreadable, log: a.log}
	go d.run(ctx)
	if a.options.ReadEvacuations != nil {
		go newEvacuationWatch(a.options, store, a.driver).run(ctx)
	}
	seeker := &ownerSeeker{store: store, gate: a.driver, box: a.box, metrics: a.options.Metrics, unreadable: a.options.Unreadable, log: a.log}
	go seeker.run(ctx)
	a.driver.Run(ctx)
	return nil
}

// Sample implements peer.Peers.Sample with the seeds.
func (a *Agent) Sample(n int) []peerpb.PeerClient { return a.seeds.some(n) }

// Stop drains the gate: it accepts no more orders and waits until no run is left or the
// context ends.
func (a *Agent) Stop(ctx context.Context) { a.driver.Drain(ctx) }
