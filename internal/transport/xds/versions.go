package xds

import (
	"strconv"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/wire"
)

const (
	// maxRefusals is the number of consecutive refusals (NACK) after which a stream is closed.
	maxRefusals = 3
	// maxAckRequests is the largest number of unanswered ack requests; the oldest ones are dropped. It bounds the
	// memory for a client that never subscribes to endpoints and therefore answers none.
	maxAckRequests = 1024
)

// versions assigns version numbers to the EDS responses of a stream and tracks their acknowledgements.
type versions struct {
	newest      int          // version of the last response sent; 0: none
	acked       int          // last version that the client has acknowledged; 0: none
	sentAt      time.Time    // time of sending the first version after acked last equalled newest
	refusals    int          // number of consecutive refusals
	ackRequests []ackRequest // unanswered, sorted by version
}

// ackRequest is an OpAckRequest. It is answered when the client acknowledges its version or a later one.
type ackRequest struct {
	number  int
	version int // the first version sent after the request
	addedAt time.Time
}

// addAckRequest adds an ack request to the next version.
func (v *versions) addAckRequest(number int, now time.Time) {
	v.ackRequests = append(v.ackRequests, ackRequest{number, v.newest + 1, now})
	v.ackRequests = v.ackRequests[max(0, len(v.ackRequests)-maxAckRequests):]
}

// startNext increments the version. A response with the new version is sent now.
func (v *versions) startNext(now time.Time) {
	if v.acked == v.newest {
		v.sentAt = now
	}
	v.newest++
}

// handleAnswer processes an acknowledgement (ACK) or a refusal (NACK) of the version that a nonce identifies. It
// returns the answers to the ack requests of all acknowledged versions, or a status error that ends the stream: the
// nonce is invalid or the client has refused maxRefusals times in a row.
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

// takeAnsweredRequests removes the ack requests of all acknowledged versions and returns the answers to them.
func (v *versions) takeAnsweredRequests() (answered []wire.Done) {
	for len(v.ackRequests) > 0 && v.ackRequests[0].version <= v.acked {
		m := v.ackRequests[0]
		answered = append(answered, wire.Done{Mark: m.number, TookMs: milliseconds(time.Since(m.addedAt))})
		v.ackRequests = v.ackRequests[1:]
	}
	return answered
}

// overdue reports whether a version has been unacknowledged for longer than within.
func (v *versions) overdue(within time.Duration) bool {
	return v.acked < v.newest && time.Since(v.sentAt) > within
}
