// Package rpc sets up the gRPC connections between our own processes: bounds,
// keepalive, counters and trace spans are the same everywhere.
package rpc

import (
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"rackspur/observe"
)

const (
	// MaxMessage bounds a message in bytes: the largest body of a request and
	// what travels with it.
	MaxMessage = 80 << 20

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// keepaliveFloor is the shortest keepalive that a server puts up with.
	keepaliveFloor = 5 * time.Second
	connectTimeout = time.Second
	// windowBytes is the flow control window of a stream and of a connection.
	windowBytes = 1 << 20
)

// Dial returns a connection to another process. It connects at first use.
func Dial(address string, m *observe.Metrics) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithStatsHandler(m.Messages()),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
	)
}

// NewServer returns a server for our own processes.
func NewServer(m *observe.Metrics) *grpc.Server {
	return grpc.NewServer(
		grpc.StatsHandler(m.Messages()),
		grpc.StatsHandler(otelgrpc.NewServerHandler()),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveFloor, PermitWithoutStream: true}),
	)
}
