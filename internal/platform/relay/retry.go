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
	errNotSent   = errors.New("not carried out")
	errUncertain = errors.New("carried out or not")
	errLimit     = errors.New("the run has not begun")
	errRefused   = errors.New("refused")
)

// reached makes an empty call in an outage and returns whether the relay says anything to it that can be read: one whose
// answers are all spoilt would leave the call uncertain again, and carry it out each time.
func (r *Orders) reached(ctx context.Context, out *outage) bool {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	r.Counters.Probes.Add(1)
	body, _, err := r.exchange(ctx, address, nil)
	if err == nil {
		_, err = parse(body, 0)
	}
	if err == nil || errors.Is(err, errRefused) {
		return true
	}
	r.log.Debug("relay out of reach", zap.Int("tries", out.tries), zap.Error(err))
	r.back(nil, true)
	r.wait(ctx, out, time.Now(), nil, err)
	return false
}

// failed puts a call back that failed and notes the outage.
func (r *Orders) failed(ctx context.Context, out *outage, began time.Time, call []op, err error) {
	r.Counters.Failed.Add(1)
	var again []int
	switch {
	case errors.Is(err, errLimit):
	case errors.Is(err, errUncertain):
		r.Counters.Uncertain.Add(int64(len(call)))
		if again = marks(call); len(again) == 0 {
			again = r.nextMarks()
		}
		r.log.Warn("call uncertain, said again", zap.Int("orders", len(call)), zap.Ints("marks", again), zap.Error(err))
	case errors.Is(err, errRefused):
		if r.refused++; r.refused >= mostRefuse {
			r.log.Error("call dropped", zap.Int("orders", len(call)), zap.Error(err))
			r.Counters.Dropped.Add(int64(len(call)))
			r.refused, call = 0, nil
		}
	default:
		r.log.Warn("call failed", zap.Int("orders", len(call)), zap.Error(err))
	}
	r.back(call, true)
	r.wait(ctx, out, began, again, err)
}

// wait tells the module how long nothing has been taken, and pauses. Lines that wait here have not left: were they taken
// for gone, all that was ordered meanwhile would overfill the relay's channel at once.
func (r *Orders) wait(ctx context.Context, out *outage, began time.Time, again []int, err error) {
	r.hangUp()
	if !out.lasts() {
		out.since, out.told = began, began
	}
	out.tries++
	_ = r.inbox.Post(ctx, pilot.RelayStalled{ForMs: out.lasted(), Again: again}) // fails only when all ends
	pauseNow := out.pause
	out.pause = min(2*out.pause, pauseMost)
	if errors.Is(err, errLimit) {
		pauseNow, out.pause = limitPause, pauseLeast
	}
	pause.For(ctx, pauseNow)
}

// over tells the module that the relay takes orders again, if it did not.
func (r *Orders) over(ctx context.Context, out *outage, call []op) {
	if out.lasts() {
		r.log.Info("relay takes calls again", zap.Duration("after", time.Since(out.since)), zap.Int("tries", out.tries),
			zap.Int("orders", len(call)), zap.Ints("marks", marks(call)))
		_ = r.inbox.Post(ctx, pilot.RelayStalled{}) // fails only when all ends
	}
	*out = outage{pause: pauseLeast}
}
