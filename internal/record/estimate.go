package record

import (
	"maps"
	"slices"

	"indigousher/planner"
)

const (
	// decayFactor is the fraction of an endpoint's totals that is kept from one period to the next, so that the totals
	// follow its recent behaviour.
	decayFactor = 0.8
	// minAttempts is the number of attempts, after decay, that an endpoint's totals need to be used in an estimate.
	minAttempts = 10
	// maxLoadRatio is the load, as a multiple of the recorded attempts at an endpoint, up to which the endpoint is
	// assumed to answer as recorded.
	maxLoadRatio = 1.5
)

// Estimate estimates the failures and response times that a replay's tables would have led to. It assumes that each
// endpoint's attempts fail and take as long as recorded, and weights them by the share that the tables give the
// endpoint. Recorded and RecordedMs are the recorded values; comparing them with an estimate for the recorded settings
// shows its accuracy. The estimate ignores how a different load would have changed the endpoints' answers.
type Estimate struct {
	Attempts   float64 // number of recorded attempts
	Recorded   float64 // fraction of the attempts that failed in the record
	Failed     float64 // estimated fraction of the attempts that fail with the replay's tables
	RecordedMs float64 // mean response time of the recorded successful attempts, in ms
	MeanMs     float64 // estimated mean response time of the successful attempts, in ms
	Trusted    float64 // fraction of the attempts at endpoints with enough recorded attempts at a similar load
}

// estimator computes an Estimate from the events of a replay.
type estimator struct {
	shares             func() map[int]map[int]float64 // by zone and endpoint, in the replay's current tables
	endpoints          map[int]*attemptTotals         // by endpoint
	sum                Estimate                       // totals, which result divides
	recordedSuccesses  float64                        // successful attempts in the record
	estimatedSuccesses float64                        // successful attempts with the replay's tables
}

// attemptTotals sums the recent attempts at an endpoint. Each period is weighted by decayFactor relative to the next.
type attemptTotals struct {
	attempts  float64
	failed    float64
	succeeded float64
	totalMs   float64 // sum of the response times of the successful attempts, in ms
}

func newEstimator(shares func() map[int]map[int]float64) *estimator {
	return &estimator{shares: shares, endpoints: map[int]*attemptTotals{}}
}

// observe processes the events of a turn. A turn whose events report attempts counts as a period.
func (e *estimator) observe(events []planner.Event) {
	stats := attemptedStats(events)
	if len(stats) == 0 {
		return
	}
	for _, totals := range e.endpoints {
		totals.decay()
	}
	attempts := map[int]map[int]float64{} // by zone and endpoint
	for _, m := range stats {
		e.addStats(m)
		if attempts[m.Zone] == nil {
			attempts[m.Zone] = map[int]float64{}
		}
		attempts[m.Zone][m.Endpoint] += float64(m.Attempts)
	}
	shares := e.shares()
	for _, zone := range slices.Sorted(maps.Keys(attempts)) {
		e.estimateZone(shares[zone], attempts[zone])
	}
}

// attemptedStats returns the endpoint stats among events that report attempts.
func attemptedStats(events []planner.Event) []planner.EndpointStats {
	var stats []planner.EndpointStats
	for _, event := range events {
		if m, ok := event.(planner.EndpointStats); ok && m.Attempts != 0 {
			stats = append(stats, m)
		}
	}
	return stats
}

// decay multiplies the totals by decayFactor.
func (a *attemptTotals) decay() {
	a.attempts *= decayFactor
	a.failed *= decayFactor
	a.totalMs *= decayFactor
	a.succeeded *= decayFactor
}

// addStats adds the stats of an endpoint to its totals and to the recorded values of the estimate.
func (e *estimator) addStats(m planner.EndpointStats) {
	totals := e.endpoints[m.Endpoint]
	if totals == nil {
		totals = &attemptTotals{}
		e.endpoints[m.Endpoint] = totals
	}
	succeeded := float64(m.Attempts - m.Failed)
	totals.attempts += float64(m.Attempts)
	totals.failed += float64(m.Failed)
	totals.totalMs += succeeded * m.MeanMs
	totals.succeeded += succeeded
	e.sum.Recorded += float64(m.Failed)
	e.sum.RecordedMs += succeeded * m.MeanMs
	e.recordedSuccesses += succeeded
}

// estimateZone distributes a zone's attempts by the shares of the replay's tables. The shares of endpoints with too few
// recorded attempts are distributed to the other endpoints in proportion to theirs.
func (e *estimator) estimateZone(shares, attempts map[int]float64) {
	total := 0.0
	for _, endpoint := range slices.Sorted(maps.Keys(attempts)) {
		total += attempts[endpoint]
	}
	e.sum.Attempts += total
	known := e.knownEndpoints(shares)
	knownShare := 0.0
	for _, endpoint := range known {
		knownShare += shares[endpoint]
	}
	if knownShare == 0 {
		return
	}
	for _, endpoint := range known {
		share := shares[endpoint]
		assigned := total * share / knownShare
		e.addEstimate(e.endpoints[endpoint], assigned)
		if assigned <= maxLoadRatio*attempts[endpoint] {
			e.sum.Trusted += total * share
		}
	}
}

// knownEndpoints returns the endpoints that have a share and at least minAttempts attempts, in ascending order.
func (e *estimator) knownEndpoints(shares map[int]float64) []int {
	var known []int
	for _, endpoint := range slices.Sorted(maps.Keys(shares)) {
		if totals := e.endpoints[endpoint]; totals != nil && totals.attempts >= minAttempts {
			known = append(known, endpoint)
		}
	}
	return known
}

// addEstimate adds the estimated results of the attempts assigned to an endpoint.
func (e *estimator) addEstimate(totals *attemptTotals, assigned float64) {
	failureRate := totals.failed / totals.attempts
	e.sum.Failed += assigned * failureRate
	if totals.succeeded > 0 {
		e.sum.MeanMs += assigned * (1 - failureRate) * totals.totalMs / totals.succeeded
		e.estimatedSuccesses += assigned * (1 - failureRate)
	}
}

// result returns the estimate: the totals divided by the number of attempts.
func (e *estimator) result() Estimate {
	r := e.sum
	attempts := max(r.Attempts, 1)
	r.Recorded /= attempts
	r.Failed /= attempts
	r.Trusted /= attempts
	r.RecordedMs /= max(e.recordedSuccesses, 1)
	r.MeanMs /= max(e.estimatedSuccesses, 1)
	return r
}
