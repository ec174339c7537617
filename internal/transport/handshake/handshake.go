// Package handshake receives the first message of a gRPC stream with a timeout.
package handshake

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ReceiveFirst calls recv and returns its result, the first message of a stream. If recv does not return within
// timeout, ReceiveFirst returns a status error with the code DeadlineExceeded and the text timeoutText. Without the
// timeout, a stream without messages would stay open as long as its connection.
//
// ReceiveFirst calls recv in a goroutine, which after a timeout continues until the stream ends. This is the case when
// the caller returns from its gRPC handler.
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
