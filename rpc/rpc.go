// Package rpc creates gRPC clients and servers for the connections between rackspur
// processes, with common limits, keepalive, metrics and tracing.
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
	// MaxMessage is the maximum size of a message in bytes. It exceeds the largest
	// request body, to leave space for the other fields.
	MaxMessage = 80 << 20

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// minKeepaliveTime is the shortest interval of keepalive pings that a server
	// accepts.
	minKeepaliveTime = 5 * time.Second
	connectTimeout   = time.Second
	// windowBytes is the initial flow control window of streams and connections.
	windowBytes = 1 << 20
)

// Dial returns a client connection to another process. It connects on first use.
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

// NewServer returns a server for requests of other processes.
func NewServer(m *observe.Metrics) *grpc.Server {
	return grpc.NewServer(
		grpc.StatsHandler(m.Messages()),
		grpc.StatsHandler(otelgrpc.NewServerHandler()),
		grpc.MaxRecvMsgSize(MaxMessage),
		grpc.MaxSendMsgSize(MaxMessage),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minKeepaliveTime, PermitWithoutStream: true}),
	)
}
