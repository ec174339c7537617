package relay

import "time"

// outage is a time in which the relay takes no calls, from the first that failed.
type outage struct {
	since         time.Time     // the first call that failed began
	reportedUntil time.Time     // until when the module has been told of it; zero: there is no outage
	failures      int           // calls and probes that failed
	backoff       time.Duration // after the next failure
}

func (o *outage) active() bool { return !o.reportedUntil.IsZero() }

// unreportedMs returns the milliseconds since the module was last told, more than 0.
func (o *outage) unreportedMs() float64 {
	now := time.Now()
	lasted := max(1, float64(now.Sub(o.reportedUntil))/float64(time.Millisecond))
	o.reportedUntil = now
	return lasted
}
