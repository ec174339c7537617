package xds

import (
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/wire"
)

const (
	// maxRefusals is the number of consecutive refusals that end a stream.
	maxRefusals = 3
	// maxMarks bounds the marks of a client that does not subscribe to endpoints; the oldest ones are dropped.
	maxAckRequests = 1024
)

// versions numbers the EDS responses of a stream and tracks their acknowledgements.
type versions struct {
	newest      int // the newest one sent
	acked       int
	sentAt      time.Time    // of the oldest unacknowledged version
	refusals    int          // consecutive
	ackRequests []ackRequest // unanswered, in the order of their versions
}

// mark is answered by the acknowledgement of its version.
type ackRequest struct {
	number  int
	version int
	addedAt time.Time
}

// addMark adds a mark to the next version.
func (v *versions) addAckRequest(number int, now time.Time) {
	v.ackRequests = append(v.ackRequests, ackRequest{number, v.newest + 1, now})
	v.ackRequests = v.ackRequests[max(0, len(v.ackRequests)-maxAckRequests):]
}

// next starts the next version, which is sent now.
func (v *versions) startNext(now time.Time) {
	if v.acked == v.newest {
		v.sentAt = now
	}
	v.newest++
}

// answered processes the answer to the version that a nonce identifies, an acknowledgement (ACK) or a refusal (NACK).
// It returns the marks that are answered, or a status that ends the stream.
func (v *versions) handleAnswer(nonce string, refused bool) ([]wire.Done, error) {
	version, err := strconv.Atoi(nonce)
	if err != nil || version > v.newest {
		return nil, status.Errorf(codes.InvalidArgument, "version %q answered, %d was sent", nonce, v.newest)
	}
	if refused {
		v.refusals++
		if v.refusals >= maxRefusals {
			return nil, status.Error(codes.Aborted, "assignments are refused again and again")
		}
		return nil, nil
	}
	v.refusals = 0
	v.acked = max(v.acked, version)
	return v.takeAnsweredRequests(), nil
}

// takeAnswered removes and returns the marks of all acknowledged versions.
func (v *versions) takeAnsweredRequests() (answered []wire.Done) {
	for len(v.ackRequests) > 0 && v.ackRequests[0].version <= v.acked {
		m := v.ackRequests[0]
		answered = append(answered, wire.Done{Mark: m.number, TookMs: milliseconds(time.Since(m.addedAt))})
		v.ackRequests = v.ackRequests[1:]
	}
	return answered
}

// overdue reports whether an acknowledgement has been due for longer than within.
func (v *versions) overdue(within time.Duration) bool {
	return v.acked < v.newest && time.Since(v.sentAt) > within
}
