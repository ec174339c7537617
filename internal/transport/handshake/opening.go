// Package handshake is how a gRPC edge waits for the first message of a stream, whatever its messages are. It decides nothing;
// the edges that speak gRPC call it.
package handshake

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ReceiveFirst waits for a stream's first message, no longer than within: a stream that says nothing is ended with why, as it
// would stand for as long as its connection does. The waiting itself ends with the stream.
func ReceiveFirst[M any](within time.Duration, why string, recv func() (M, error)) (M, error) {
	type first struct {
		m   M
		err error
	}
	came := make(chan first, 1)
	go func() { m, err := recv(); came <- first{m, err} }()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case f := <-came:
		return f.m, f.err
	case <-timer.C:
		var none M
		return none, status.Error(codes.DeadlineExceeded, why)
	}
}
