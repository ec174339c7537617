package relay

import (
	"errors"
	"time"
)

// Pauses between calls during an outage.
const (
	// minBackoff is the pause after the first failure. It doubles with each further one, up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// notStartedBackoff is the constant pause after errRunNotStarted: the relay is reachable, and the start of the run
	// does not depend on how often it is asked.
	notStartedBackoff = 100 * time.Millisecond
)

// outage is a period in which the relay takes no calls, from the first failed call to the first answered one. It is
// owned by the goroutine of Sender.Run.
//
// States: inactive (reportedUntil is zero; calls are sent as they are queued) and active (only probes are sent until
// one is answered). begin makes it active; Sender.endOutage replaces it by an inactive one.
type outage struct {
	startedAt     time.Time     // start of the first failed call
	reportedUntil time.Time     // end of the period reported to the controller; zero if inactive
	failures      int           // failed calls and probes
	backoff       time.Duration // pause after the next failure
}

// newOutage returns an inactive outage with the initial backoff.
func newOutage() outage { return outage{backoff: minBackoff} }

func (o *outage) active() bool { return !o.reportedUntil.IsZero() }

// begin makes the outage active from the start of the failed call. It does nothing if it is active already.
func (o *outage) begin(callStart time.Time) {
	if o.active() {
		return
	}
	o.startedAt = callStart
	o.reportedUntil = callStart
}

// unreportedMs returns the milliseconds since the last report to the controller and marks them as reported. It returns
// at least 1, because a report of 0 means the end of the outage.
func (o *outage) unreportedMs() float64 {
	now := time.Now()
	elapsed := max(1, float64(now.Sub(o.reportedUntil))/float64(time.Millisecond))
	o.reportedUntil = now
	return elapsed
}

// nextPause returns the pause after a failure and doubles the next one.
func (o *outage) nextPause(failure error) time.Duration {
	if errors.Is(failure, errRunNotStarted) {
		o.backoff = minBackoff
		return notStartedBackoff
	}
	current := o.backoff
	o.backoff = min(2*o.backoff, maxBackoff)
	return current
}
