package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// How a call ended.
var (
	errNotExecuted    = errors.New("not carried out")
	errOutcomeUnknown = errors.New("carried out or not")
	errRunNotStarted  = errors.New("the run has not begun")
	errRejected       = errors.New("refused")
)

// probe makes an empty call in an outage and returns whether the relay says anything to it that can be read: one whose
// answers are all spoilt would leave the call uncertain again, and carry it out each time.
func (s *Orders) probe(ctx context.Context, out *outage) bool {
	s.mu.Lock()
	address := s.address
	s.mu.Unlock()
	s.Counters.Probes.Add(1)
	body, _, err := s.roundTrip(ctx, address, nil)
	if err == nil {
		_, err = parseAnswer(body, 0)
	}
	if err == nil || errors.Is(err, errRejected) {
		return true
	}
	s.log.Debug("relay out of reach", zap.Int("tries", out.failures), zap.Error(err))
	s.requeue(nil, true)
	s.pauseAfterFailure(ctx, out, time.Now(), nil, err)
	return false
}

// callFailed puts a call back that failed and notes the outage.
func (s *Orders) callFailed(ctx context.Context, out *outage, began time.Time, call []command, err error) {
	s.Counters.FailedCalls.Add(1)
	var again []int
	switch {
	case errors.Is(err, errRunNotStarted):
	case errors.Is(err, errOutcomeUnknown):
		s.Counters.OutcomeUnknown.Add(int64(len(call)))
		if again = ackNumbers(call); len(again) == 0 {
			again = s.nextAckNumbers()
		}
		s.log.Warn("call uncertain, said again", zap.Int("orders", len(call)), zap.Ints("marks", again), zap.Error(err))
	case errors.Is(err, errRejected):
		if s.rejections++; s.rejections >= maxRejections {
			s.log.Error("call dropped", zap.Int("orders", len(call)), zap.Error(err))
			s.Counters.Dropped.Add(int64(len(call)))
			s.rejections, call = 0, nil
		}
	default:
		s.log.Warn("call failed", zap.Int("orders", len(call)), zap.Error(err))
	}
	s.requeue(call, true)
	s.pauseAfterFailure(ctx, out, began, again, err)
}

// pauseAfterFailure tells the module how long nothing has been taken, and pauses. Lines that wait here have not left: were they taken
// for gone, all that was ordered meanwhile would overfill the relay's channel at once.
func (s *Orders) pauseAfterFailure(ctx context.Context, out *outage, began time.Time, again []int, err error) {
	s.closeConnection()
	if !out.active() {
		out.since, out.reportedUntil = began, began
	}
	out.failures++
	_ = s.inbox.Post(ctx, pilot.RelayStalled{ForMs: out.unreportedMs(), Again: again}) // fails only when all ends
	pauseNow := out.backoff
	out.backoff = min(2*out.backoff, maxBackoff)
	if errors.Is(err, errRunNotStarted) {
		pauseNow, out.backoff = notStartedBackoff, minBackoff
	}
	pause.For(ctx, pauseNow)
}

// endOutage tells the module that the relay takes orders again, if it did not.
func (s *Orders) endOutage(ctx context.Context, out *outage, call []command) {
	if out.active() {
		s.log.Info("relay takes calls again", zap.Duration("after", time.Since(out.since)), zap.Int("tries", out.failures),
			zap.Int("orders", len(call)), zap.Ints("marks", ackNumbers(call)))
		_ = s.inbox.Post(ctx, pilot.RelayStalled{}) // fails only when all ends
	}
	*out = outage{backoff: minBackoff}
}
