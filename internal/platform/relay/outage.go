package relay

import "time"

// outage is a time in which the relay takes no calls, from the first that failed.
type outage struct {
	since time.Time     // the first call that failed began
	told  time.Time     // until when the module has been told of it; zero: there is no outage
	tries int           // calls and probes that failed
	pause time.Duration // after the next failure
}

func (o *outage) lasts() bool { return !o.told.IsZero() }

// lasted returns the milliseconds since the module was last told, more than 0.
func (o *outage) lasted() float64 {
	now := time.Now()
	lasted := max(1, float64(now.Sub(o.told))/float64(time.Millisecond))
	o.told = now
	return lasted
}
