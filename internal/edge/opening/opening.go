// Package opening is how a gRPC transport waits for the first message of a stream, whatever its messages are.
package opening

import (
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// First returns a stream's first message, as recv returns it. A stream on which nothing comes within a time is ended
// with the status DeadlineExceeded and the text why, as it would else stand for as long as its connection does.
//
// The goroutine that waits in recv ends with the stream, when the caller returns from its handler.
func First[M any](within time.Duration, why string, recv func() (M, error)) (M, error) {
	type result struct {
		message M
		err     error
	}
	received := make(chan result, 1)
	go func() {
		message, err := recv()
		received <- result{message, err}
	}()
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case first := <-received:
		return first.message, first.err
	case <-timer.C:
		var none M
		return none, status.Error(codes.DeadlineExceeded, why)
	}
}
