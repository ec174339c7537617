// Package handshake receives the first message of a gRPC stream within a deadline.
package handshake

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ReceiveFirst returns a stream's first message, or the error of recv. If nothing arrives in time it returns the status
// DeadlineExceeded with the text why: the stream would otherwise stay open for as long as its connection.
//
// The goroutine that waits in recv ends with the stream, that is when the caller returns from its handler.
func ReceiveFirst[M any](timeout time.Duration, timeoutText string, recv func() (M, error)) (M, error) {
	type result struct {
		message M
		err     error
	}
	received := make(chan result, 1)
	go func() {
		message, err := recv()
		received <- result{message, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case first := <-received:
		return first.message, first.err
	case <-timer.C:
		var none M
		return none, status.Error(codes.DeadlineExceeded, timeoutText)
	}
}
