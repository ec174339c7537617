package grpcapi

import (
	"context"
	"fmt"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"indigousher/internal/identity"
	"indigousher/internal/transport/handshake"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// refusalNoHello is the status text if the first message of a stream is not a Hello or does not arrive in time. It is
// part of the protocol.
const refusalNoHello = "a hello must come first"

// controlStream is the gRPC stream of one proxy.
type controlStream = grpc.BidiStreamingServer[pb.Upward, pb.Downward]

// receiveHello reads and validates the Hello. The error is a status for the proxy. The details of a rejected identity
// are only logged, so that unauthenticated peers learn nothing about accepted identities.
func (s *Server) receiveHello(g controlStream) (*wire.Hello, error) {
	first, err := handshake.ReceiveFirst(s.config.HelloTimeout, refusalNoHello, g.Recv)
	if err != nil {
		return nil, err
	}
	encoded := first.GetHello()
	if encoded == nil {
		return nil, status.Error(codes.InvalidArgument, refusalNoHello)
	}
	if version := encoded.GetVersion(); version != wire.Version {
		return nil, status.Errorf(codes.FailedPrecondition, "version %d is not spoken here, %d is", version, wire.Version)
	}
	hello, err := decodeHello(encoded)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if s.config.Keys != nil {
		if err := CheckIdentity(g.Context(), hello.Proxy, hello.Zone); err != nil {
			s.log.Warn("identity rejected", zap.Error(err))
			return nil, status.Error(codes.PermissionDenied, "not let in")
		}
	}
	return hello, nil
}

// welcome returns the Welcome message for an accepted proxy.
func (s *Server) welcome() *pb.Downward {
	return &pb.Downward{Says: &pb.Downward_Welcome{Welcome: &pb.Welcome{
		Version:  wire.Version,
		Pilot:    s.config.Pilot,
		BeatMs:   uint32(s.config.HeartbeatInterval.Milliseconds()),
		PeriodMs: uint32(s.config.ReportInterval.Milliseconds()),
	}}}
}

// CheckIdentity returns an error unless the peer certificate of the gRPC call in ctx was issued for the given proxy
// name and zone. Calls without TLS are an error.
func CheckIdentity(ctx context.Context, name, zone string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return identity.ErrIdentity
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return identity.ErrIdentity
	}
	certified, err := identity.FromConnection(info.State)
	if err != nil {
		return err
	}
	if certified.Name != name || certified.Zone != zone {
		return fmt.Errorf("certificate of %s does not match proxy %q in zone %q: %w",
			certified, name, zone, identity.ErrIdentity)
	}
	return nil
}
