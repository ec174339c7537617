package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
)

// maxRejections is how many consecutive calls the relay may reject as a whole before the last of them is dropped. A
// malformed call is never accepted, but the answer itself may have been corrupted.
const maxRejections = 3

// callFailed requeues or drops a failed call, reports the outage and pauses. Every decision to retry a whole call is
// made here.
func (s *Sender) callFailed(ctx context.Context, callStart time.Time, failed call, err error) {
	s.Counters.FailedCalls.Add(1)
	var repeatedAcks []int
	switch {
	case errors.Is(err, errRunNotStarted): // expected before the run; not logged
	case errors.Is(err, errOutcomeUnknown):
		repeatedAcks = s.handleUnknownOutcome(failed, err)
	case errors.Is(err, errRejected):
		failed = s.handleRejection(failed, err)
	default: // errNotExecuted
		s.log.Warn("relay call failed", zap.Int("commands", len(failed)), zap.Error(err))
	}
	s.queue.requeueMerged(failed)
	s.pauseAfterFailure(ctx, callStart, repeatedAcks, err)
}

// handleUnknownOutcome records that the commands of a call may be executed twice. It returns the ack requests whose
// commands the controller has to count twice. probe limits this to one retry per outage.
//
// The first part of a turn that was split into several calls has no ack request. It returns those of the next queued
// call then, which also covers the part behind it. Counting that part twice is too much, which the next ack corrects;
// not counting the first part twice would be too little, which nothing corrects.
func (s *Sender) handleUnknownOutcome(failed call, err error) (repeatedAcks []int) {
	s.Counters.OutcomeUnknown.Add(int64(len(failed)))
	repeatedAcks = failed.ackNumbers()
	if len(repeatedAcks) == 0 {
		repeatedAcks = s.queue.nextAckNumbers()
	}
	s.log.Warn("relay call outcome unknown, retrying",
		zap.Int("commands", len(failed)), zap.Ints("ack_requests", repeatedAcks), zap.Error(err))
	return repeatedAcks
}

// handleRejection returns what to retry of a call that was rejected as a whole: all of it, or nothing after maxRejections.
func (s *Sender) handleRejection(failed call, err error) call {
	s.rejections++
	if s.rejections < maxRejections {
		return failed
	}
	s.log.Error("relay call dropped", zap.Int("commands", len(failed)), zap.Error(err))
	s.Counters.Dropped.Add(int64(len(failed)))
	s.rejections = 0
	return nil
}

// retryHalted returns what to retry of the commands from the one at which the relay halted: all of them the first
// time, in case the answer was corrupted, then all but that one. The relay sends nothing of a halted command to any
// proxy, so the retry costs the proxies nothing.
func (s *Sender) retryHalted(rest call) call {
	rest = slices.Clone(rest)
	if !rest[0].halted {
		rest[0].halted = true
		return rest
	}
	s.log.Warn("command dropped, the relay halts at it", zap.ByteString("command", rest[0].encoded))
	s.Counters.Dropped.Add(1)
	return rest[1:]
}

// probe makes an empty call, which costs the proxies nothing, and reports whether the relay answers. Retries wait for
// that, so a call has an unknown outcome at most once per outage, however long it lasts, and its commands are sent at
// most twice. The answer has to be decodable: with a relay whose answers are all corrupted, the outcome of the retry
// would be unknown as well, and the call would be executed again each time.
func (s *Sender) probe(ctx context.Context) bool {
	address := s.queue.currentAddress()
	s.Counters.Probes.Add(1)
	resp, err := s.connection.roundTrip(ctx, address, nil)
	if err == nil {
		_, err = parseResponse(resp.body, 0)
	}
	if err == nil || errors.Is(err, errRejected) {
		return true
	}
	s.log.Debug("relay unreachable", zap.Int("attempts", s.outage.failures), zap.Error(err))
	s.queue.requeueMerged(nil)
	s.pauseAfterFailure(ctx, time.Now(), nil, err)
	return false
}

// pauseAfterFailure reports to the controller for how long the relay has taken nothing, and pauses. Queued commands
// have not been sent: if the controller believed them sent, the commands planned meanwhile would overflow the relay's
// channel once it recovers.
func (s *Sender) pauseAfterFailure(ctx context.Context, callStart time.Time, repeatedAcks []int, failure error) {
	s.connection.close()
	s.outage.begin(callStart)
	s.outage.failures++
	s.post(ctx, controller.RelayStalled{ForMs: s.outage.unreportedMs(), Repeated: repeatedAcks})
	backoff.Sleep(ctx, s.outage.nextPause(failure))
}

// endOutage ends an active outage and reports that to the controller. answered is the call that was answered, or nil
// if the queue is empty.
func (s *Sender) endOutage(ctx context.Context, answered call) {
	if s.outage.active() {
		s.log.Info("relay accepts calls again", zap.Duration("after", time.Since(s.outage.startedAt)),
			zap.Int("attempts", s.outage.failures), zap.Int("commands", len(answered)), zap.Ints("ack_requests", answered.ackNumbers()))
		s.post(ctx, controller.RelayStalled{})
	}
	s.outage = newOutage()
}
