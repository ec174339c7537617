package routing

import "indigousher/internal/wire"

// AttemptStarted records that an attempt is sent to an endpoint.
func (r *Router) AttemptStarted(endpoint string) { r.inFlight[endpoint]++ }

// AttemptFinished records the result of an attempt and the load that the endpoint reported in its answer; load is nil
// if there was none. It ejects an endpoint after Policy.EjectAfter consecutive failures.
func (r *Router) AttemptFinished(nowMs float64, endpoint string, succeeded bool, tookMs float64, load []wire.LoadMetric) {
	r.inFlight[endpoint]--
	r.statsOf(endpoint).add(succeeded, tookMs, load)
	if succeeded {
		r.consecutiveFailures[endpoint] = 0
		return
	}
	r.consecutiveFailures[endpoint]++
	if r.policy.EjectAfter > 0 && r.consecutiveFailures[endpoint] >= r.policy.EjectAfter {
		r.eject(endpoint, nowMs+r.policy.EjectionMs)
	}
}

// eject keeps an endpoint from being picked until untilMs, unless no other candidate is left.
func (r *Router) eject(endpoint string, untilMs float64) {
	r.consecutiveFailures[endpoint] = 0
	r.ejectedUntilMs[endpoint] = untilMs
	r.lastEjectionEndsMs = untilMs
}

func (r *Router) isEjected(endpoint string, nowMs float64) bool {
	return r.ejectedUntilMs[endpoint] > nowMs
}
