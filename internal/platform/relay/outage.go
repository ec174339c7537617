package relay

import (
	"errors"
	"time"
)

// Pauses after failed calls and probes.
const (
	// minBackoff is the pause after the first failure. It doubles with each further failure, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum pause.
	maxBackoff = 320 * time.Millisecond
	// notStartedBackoff is the pause after errRunNotStarted. It does not increase, because the relay is reachable and the
	// start of the run does not depend on the number of calls.
	notStartedBackoff = 100 * time.Millisecond
)

// outage is a period in which the relay accepts no calls. It lasts from the start of the first failed call to the first
// call that succeeds, or to the first successful probe if the queue is empty then. Only the goroutine of Sender.Run
// uses it.
//
// An outage is inactive (reportedUntil is zero) or active. While it is active, Sender sends only probes until the relay
// responds to one. begin makes an outage active; Sender.endOutage replaces it with an inactive one.
type outage struct {
	startedAt     time.Time     // start of the first failed call
	reportedUntil time.Time     // end of the period reported to the controller; zero if inactive
	failures      int           // number of failed calls and probes
	backoff       time.Duration // pause after the next failure
}

// newOutage returns an inactive outage whose first pause is minBackoff.
func newOutage() outage { return outage{backoff: minBackoff} }

// active reports whether an outage is in progress.
func (o *outage) active() bool { return !o.reportedUntil.IsZero() }

// begin makes the outage active, with callStart as the start time of the failed call. It does nothing if the outage is
// already active.
func (o *outage) begin(callStart time.Time) {
	if o.active() {
		return
	}
	o.startedAt = callStart
	o.reportedUntil = callStart
}

// unreportedMs returns the time since the last report to the controller, in ms, and records that it is reported now. It
// returns at least 1, because 0 in a report means the end of the outage.
func (o *outage) unreportedMs() float64 {
	now := time.Now()
	elapsed := max(1, float64(now.Sub(o.reportedUntil))/float64(time.Millisecond))
	o.reportedUntil = now
	return elapsed
}

// nextPause returns the pause after a failure and doubles the following one, up to maxBackoff. After errRunNotStarted
// it returns notStartedBackoff and resets the following pause to minBackoff.
func (o *outage) nextPause(failure error) time.Duration {
	if errors.Is(failure, errRunNotStarted) {
		o.backoff = minBackoff
		return notStartedBackoff
	}
	current := o.backoff
	o.backoff = min(2*o.backoff, maxBackoff)
	return current
}
