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

// maxRejections is the number of consecutive rejections after which a call is dropped. The relay never accepts a
// malformed call, but a rejection may also be due to a corrupted response, so the first ones are retried.
const maxRejections = 3

// handleFailure puts a failed call back into the queue or drops it, reports the outage to the controller and pauses. It
// decides for all causes of failure whether the whole call is retried. callStart is when the call was started.
func (s *Sender) handleFailure(ctx context.Context, callStart time.Time, failed call, err error) {
	s.Counters.FailedCalls.Add(1)
	var repeatedAcks []int
	switch {
	case errors.Is(err, errRunNotStarted): // expected at startup, therefore not logged
	case errors.Is(err, errOutcomeUnknown):
		repeatedAcks = s.handleUnknownOutcome(failed, err)
	case errors.Is(err, errRejected):
		failed = s.handleRejection(failed, err)
	default: // the remaining cause is errNotExecuted
		s.log.Warn("relay call failed", zap.Int("commands", len(failed)), zap.Error(err))
	}
	s.queue.requeueMerged(failed)
	s.pauseAfterFailure(ctx, callStart, repeatedAcks, err)
}

// handleUnknownOutcome counts and logs a call whose commands may be executed twice, because it is retried. It returns
// the numbers of the ack requests whose commands the controller must count twice. Because of probe, there is at most
// one such retry per outage.
//
// If the commands of one controller turn were split into several calls, only the last call has an ack request. For an
// earlier call, the ack requests of the next queued call that has any are returned; they also cover the commands in
// between. Counting those twice is too high until the next ack corrects it. Not counting the failed call twice would be
// too low, and nothing would correct that.
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

// handleRejection returns the commands to retry of a call that the relay rejected as a whole: all of them, or nil after
// maxRejections consecutive rejections, when the call is dropped.
func (s *Sender) handleRejection(failed call, err error) call {
	s.rejections++
	if s.rejections < maxRejections {
		return failed
	}
	s.log.Error("relay call dropped after repeated rejections", zap.Int("commands", len(failed)), zap.Error(err))
	s.Counters.Dropped.Add(int64(len(failed)))
	s.rejections = 0
	return nil
}

// retryHalted returns the commands to retry after the relay halted at rest[0]. The first time these are all of rest, in
// case the response was corrupted. The second time rest[0] is dropped. The relay sends no part of a command at which it
// halts to a proxy, so the retry adds no load on the proxies.
func (s *Sender) retryHalted(rest call) call {
	rest = slices.Clone(rest)
	if !rest[0].halted {
		rest[0].halted = true
		return rest
	}
	s.log.Warn("command dropped, the relay halted at it twice", zap.ByteString("command", rest[0].encoded))
	s.Counters.Dropped.Add(1)
	return rest[1:]
}

// probe sends an empty call, which adds no load on the proxies, and reports whether the relay responds. During an
// outage no call is retried before a probe succeeds. A call therefore has an unknown outcome at most once per outage,
// however long the outage lasts, and its commands are sent at most twice. A rejection counts as a response. A response
// that cannot be decoded does not: while all responses are corrupted, each retry would have an unknown outcome again
// and the call would be executed repeatedly.
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
	s.log.Debug("relay probe failed", zap.Int("attempts", s.outage.failures), zap.Error(err))
	s.queue.requeueMerged(nil)
	s.pauseAfterFailure(ctx, time.Now(), nil, err)
	return false
}

// pauseAfterFailure reports to the controller for how long the relay has accepted no commands, closes the connection
// and pauses. The controller must know that queued commands have not been sent. Otherwise it would plan more commands
// in the meantime and overflow the relay's channel once the relay recovers.
func (s *Sender) pauseAfterFailure(ctx context.Context, callStart time.Time, repeatedAcks []int, failure error) {
	s.connection.close()
	s.outage.begin(callStart)
	s.outage.failures++
	s.post(ctx, controller.RelayStalled{ForMs: s.outage.unreportedMs(), Repeated: repeatedAcks})
	backoff.Sleep(ctx, s.outage.nextPause(failure))
}

// endOutage ends the outage and, if it was active, reports the end to the controller. accepted is the call that the
// relay has accepted, or nil if the queue was empty.
func (s *Sender) endOutage(ctx context.Context, accepted call) {
	if s.outage.active() {
		s.log.Info("relay accepts calls again", zap.Duration("after", time.Since(s.outage.startedAt)),
			zap.Int("attempts", s.outage.failures), zap.Int("commands", len(accepted)),
			zap.Ints("ack_requests", accepted.ackNumbers()))
		s.post(ctx, controller.RelayStalled{})
	}
	s.outage = newOutage()
}
