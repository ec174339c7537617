package record

import (
	"maps"
	"slices"

	"indigousher/planner"
)

const (
	// retention is the part of an endpoint's counts that is kept from one period to the next, so that they follow it.
	decayFactor = 0.8
	// minAttempts is how many attempts, aged ones included, an endpoint needs until its figures say anything.
	minAttempts = 10
	// maxLoadRatio is how many times the attempts that an endpoint got it is held to answer alike.
	maxLoadRatio = 1.5
)

// Estimate is what a replay's tables would have met, as far as the recorded day can tell: each endpoint's attempts fail
// and take as they did then, weighted by the share that the tables give it. Recorded and RecordedMs are what was met in
// truth, so that an estimate for the recorded settings shows how far it can be trusted. What more or less load would
// have changed it can't tell.
type Estimate struct {
	Attempts   float64 // attempts
	Recorded   float64 // part of the attempts that failed, then
	Failed     float64 // part of the attempts that fail, by these tables
	RecordedMs float64 // mean of the attempts that succeeded, then
	MeanMs     float64 // mean of the attempts that succeed, by these tables
	Trusted    float64 // part of the attempts that goes where the record has enough attempts at a like load
}

// estimator adds up an estimate.
type estimator struct {
	shares             func() map[int]map[int]float64 // of endpoints, by zone, as the replay's tables stand
	endpoints          map[int]*attemptTotals
	sum                Estimate // totals; result divides them
	recordedSuccesses  float64
	estimatedSuccesses float64
}

// endpointAnswers is how an endpoint answered lately; each period counts less than the one after it.
type attemptTotals struct {
	attempts  float64
	failed    float64
	succeeded float64
	totalMs   float64 // of those that succeeded
}

func newEstimator(shares func() map[int]map[int]float64) *estimator {
	return &estimator{shares: shares, endpoints: map[int]*attemptTotals{}}
}

// observe takes in the events of a turn. Those that tell of attempts are a period.
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

// attemptedStats returns the events that tell of attempts at an endpoint.
func attemptedStats(events []planner.Event) []planner.EndpointStats {
	var stats []planner.EndpointStats
	for _, event := range events {
		if m, ok := event.(planner.EndpointStats); ok && m.Attempts != 0 {
			stats = append(stats, m)
		}
	}
	return stats
}

// age makes what is known count less.
func (a *attemptTotals) decay() {
	a.attempts *= decayFactor
	a.failed *= decayFactor
	a.totalMs *= decayFactor
	a.succeeded *= decayFactor
}

// addStats adds what was met at an endpoint to what is known of it, and to what was met in truth.
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

// estimateZone spreads a zone's attempts by the shares of the replay's tables. Shares of endpoints of which too little
// is known go to the others in proportion.
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

// knownEndpoints returns those with a share that have been met often enough, in order.
func (e *estimator) knownEndpoints(shares map[int]float64) []int {
	var known []int
	for _, endpoint := range slices.Sorted(maps.Keys(shares)) {
		if totals := e.endpoints[endpoint]; totals != nil && totals.attempts >= minAttempts {
			known = append(known, endpoint)
		}
	}
	return known
}

// addEstimate adds what an endpoint makes of the attempts assigned to it.
func (e *estimator) addEstimate(totals *attemptTotals, assigned float64) {
	failureRate := totals.failed / totals.attempts
	e.sum.Failed += assigned * failureRate
	if totals.succeeded > 0 {
		e.sum.MeanMs += assigned * (1 - failureRate) * totals.totalMs / totals.succeeded
		e.estimatedSuccesses += assigned * (1 - failureRate)
	}
}

// result divides the totals.
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
