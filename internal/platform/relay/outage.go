package relay

import (
	"errors"
	"time"
)

// Pauses between calls in an outage.
const (
	// minBackoff is the pause after the first call that failed; it is doubled with each, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// notStartedBackoff is the pause after the relay said that the run has not begun: it is in reach, and the run comes
	// when it comes.
	notStartedBackoff = 100 * time.Millisecond
)

// outage is a time in which the relay takes no calls, from the first that failed to the first that is answered. It
// belongs to the goroutine of Sender.Run.
//
// States: inactive (reportedUntil is zero; calls go out as they are queued) and active (probes alone go out). begin
// leads from the first to the second, newOutage back.
type outage struct {
	since         time.Time     // when the first call that failed began
	reportedUntil time.Time     // up to when the controller has heard of it; zero: inactive
	failures      int           // calls and probes that failed
	backoff       time.Duration // the pause after the next failure
}

// newOutage returns an inactive one, with backoff at its start.
func newOutage() outage { return outage{backoff: minBackoff} }

func (o *outage) active() bool { return !o.reportedUntil.IsZero() }

// begin makes it active, unless it is, from the start of the call that failed.
func (o *outage) begin(callBegan time.Time) {
	if o.active() {
		return
	}
	o.since = callBegan
	o.reportedUntil = callBegan
}

// unreportedMs returns the milliseconds since the last report to the controller, at least 1, as 0 would end the outage,
// and counts them as reported.
func (o *outage) unreportedMs() float64 {
	now := time.Now()
	elapsed := max(1, float64(now.Sub(o.reportedUntil))/float64(time.Millisecond))
	o.reportedUntil = now
	return elapsed
}

// nextPause returns the pause after a failure and doubles the one after the next.
func (o *outage) nextPause(failure error) time.Duration {
	if errors.Is(failure, errRunNotStarted) {
		o.backoff = minBackoff
		return notStartedBackoff
	}
	current := o.backoff
	o.backoff = min(2*o.backoff, maxBackoff)
	return current
}
