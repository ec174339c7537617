package grpcedge

import (
	"context"
	"fmt"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"indigousher/internal/edge/opening"
	"indigousher/internal/keys"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// greet reads and checks the hello. What is wrong with an identity only operators hear.
func (s *Server) greet(g grpc.BidiStreamingServer[pb.Upward, pb.Downward]) (*wire.Hello, error) {
	m, err := opening.First(s.door.HelloIn, "a hello must come first", g.Recv)
	if err != nil {
		return nil, err
	}
	h := m.GetHello()
	if h == nil {
		return nil, status.Error(codes.InvalidArgument, "a hello must come first")
	}
	if h.GetVersion() != wire.Version {
		return nil, status.Errorf(codes.FailedPrecondition, "version %d is not spoken here, %d is", h.GetVersion(), wire.Version)
	}
	hello, err := HelloFrom(h)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if s.door.Keys != nil {
		if err := Claims(g.Context(), hello.Proxy, hello.Zone); err != nil {
			s.log.Warn("identity refused", zap.Error(err))
			return nil, status.Error(codes.PermissionDenied, "not let in")
		}
	}
	return hello, nil
}

// Claims checks that a peer's certificate is of the proxy it says it is.
func Claims(ctx context.Context, name, zone string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return keys.ErrIdentity
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return keys.ErrIdentity
	}
	i, err := keys.Peer(info.State)
	if err != nil {
		return err
	}
	if i.Name != name || i.Zone != zone {
		return fmt.Errorf("%s says it is %s of %s: %w", i, name, zone, keys.ErrIdentity)
	}
	return nil
}
