package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// maxRejections is how often the relay may reject calls in a row, each as a whole, before the last of them is
// dropped. One that it can't read will never be accepted, but the answer may have been spoilt on its way.
const maxRejections = 3

// callFailed puts a failed call back, or drops it, and pauses. What may be sent again is decided here.
func (s *Orders) callFailed(ctx context.Context, began time.Time, failed call, err error) {
	s.Counters.FailedCalls.Add(1)
	var repeatedAcks []int
	switch {
	case errors.Is(err, errRunNotStarted): // no fault, and nothing to be said
	case errors.Is(err, errOutcomeUnknown):
		repeatedAcks = s.outcomeUnknown(failed, err)
	case errors.Is(err, errRejected):
		failed = s.rejected(failed, err)
	default: // errNotExecuted
		s.log.Warn("call failed", zap.Int("orders", len(failed)), zap.Error(err))
	}
	s.queue.requeueMerged(failed)
	s.pauseAfterFailure(ctx, began, repeatedAcks, err)
}

// outcomeUnknown notes that a call may be executed twice and returns the ack requests among whose commands that is,
// for the controller to count them twice. probe limits it to once for an outage.
//
// A part of a turn that was too long for one call has no ack request; the next one that waits then stands for it. To
// count the other part twice as well is too much, which the next ack shows; not to count this one would be too
// little.
func (s *Orders) outcomeUnknown(failed call, err error) (repeatedAcks []int) {
	s.Counters.OutcomeUnknown.Add(int64(len(failed)))
	repeatedAcks = failed.ackNumbers()
	if len(repeatedAcks) == 0 {
		repeatedAcks = s.queue.nextAckNumbers()
	}
	s.log.Warn("call uncertain, said again",
		zap.Int("orders", len(failed)), zap.Ints("marks", repeatedAcks), zap.Error(err))
	return repeatedAcks
}

// rejected returns what to send again of a call that was rejected as a whole: all of it, or nothing after
// maxRejections.
func (s *Orders) rejected(failed call, err error) call {
	s.rejections++
	if s.rejections < maxRejections {
		return failed
	}
	s.log.Error("call dropped", zap.Int("orders", len(failed)), zap.Error(err))
	s.Counters.Dropped.Add(int64(len(failed)))
	s.rejections = 0
	return nil
}

// retryHalted returns what to send again of the commands from the one that the relay halted at: all of them the first
// time, in case the answer was wrong, then all but that one. The relay writes nothing of it to any proxy, so that
// trying costs them nothing.
func (s *Orders) retryHalted(rest call) call {
	rest = slices.Clone(rest)
	if !rest[0].halted {
		rest[0].halted = true
		return rest
	}
	s.log.Warn("order dropped: the relay halts at it", zap.ByteString("order", rest[0].encoded))
	s.Counters.Dropped.Add(1)
	return rest[1:]
}

// probe makes an empty call, which costs the proxies nothing, and returns whether the relay answers. Only then is
// anything sent again: so a call has an unknown outcome once in an outage, however long that is, and its commands
// cross twice at most. The answer has to be readable, too: a relay whose answers are all spoilt would leave the
// call's outcome unknown again, and execute it each time.
func (s *Orders) probe(ctx context.Context) bool {
	address := s.queue.currentAddress()
	s.Counters.Probes.Add(1)
	answer, err := s.connection.roundTrip(ctx, address, nil)
	if err == nil {
		_, err = parseAnswer(answer.body, 0)
	}
	if err == nil || errors.Is(err, errRejected) {
		return true
	}
	s.log.Debug("relay out of reach", zap.Int("tries", s.outage.failures), zap.Error(err))
	s.queue.requeueMerged(nil)
	s.pauseAfterFailure(ctx, time.Now(), nil, err)
	return false
}

// pauseAfterFailure tells the controller for how long the relay has taken nothing, and pauses. Commands that wait here
// have not left: were they taken for sent, all that comes meanwhile would overfill the relay's channel at once.
func (s *Orders) pauseAfterFailure(ctx context.Context, began time.Time, repeatedAcks []int, failure error) {
	s.connection.close()
	s.outage.begin(began)
	s.outage.failures++
	s.post(ctx, pilot.RelayStalled{ForMs: s.outage.unreportedMs(), Again: repeatedAcks})
	pause.For(ctx, s.outage.nextPause(failure))
}

// endOutage tells the controller that the relay takes commands again, if it did not. answered is the call that was
// answered; nil where nothing waits any more.
func (s *Orders) endOutage(ctx context.Context, answered call) {
	if s.outage.active() {
		s.log.Info("relay takes calls again", zap.Duration("after", time.Since(s.outage.since)),
			zap.Int("tries", s.outage.failures), zap.Int("orders", len(answered)), zap.Ints("marks", answered.ackNumbers()))
		s.post(ctx, pilot.RelayStalled{})
	}
	s.outage = newOutage()
}
