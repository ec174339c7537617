package routing

import "indigousher/internal/wire"

// AttemptStarted counts an attempt that leaves for an endpoint.
func (r *Router) AttemptStarted(endpoint string) { r.inFlight[endpoint]++ }

// AttemptFinished counts an attempt that ended, with the endpoint's load report if its answer had one. An endpoint that
// fails too often in a row is ejected.
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

// eject keeps an endpoint from being picked for a while, as long as there are others.
func (r *Router) eject(endpoint string, untilMs float64) {
	r.consecutiveFailures[endpoint] = 0
	r.ejectedUntilMs[endpoint] = untilMs
	r.lastEjectionEndsMs = untilMs
}

func (r *Router) isEjected(endpoint string, nowMs float64) bool {
	return r.ejectedUntilMs[endpoint] > nowMs
}
