package planner

// This file implements outlier detection, as known from service meshes. An endpoint that fails for the proxies of a
// zone is ejected from the tables of that zone. After the ejection it is on trial: it receives a small share of the
// requests, which grows while it answers. Each further ejection lasts longer.
//
// The conditions are in isFailing (ejection), endEjection (start of a trial) and continueTrial (return to the full
// weight).

import "math"

const (
	// countDecay is the factor that is applied to the counts of attempts in each round, so that recent attempts have
	// the most weight.
	countDecay = 0.6

	// minFailures is the decayed count of failed attempts below which an endpoint is not ejected.
	minFailures = 3

	// An endpoint is failing if its failure rate exceeds baseFailureRate plus zoneFailureRateFactor times the failure
	// rate of all attempts of the zone's proxies, so that no endpoint is ejected for a fault common to all.
	baseFailureRate       = 0.3
	zoneFailureRateFactor = 1.5

	// minAnswers is the decayed count of answers below which an endpoint counts as not answering.
	minAnswers = 0.5

	// reportTimeoutMs is the time without a load report, in ms, after which an endpoint that does not answer counts as
	// crashed or hanging, even if all endpoints of its zone fail alike.
	reportTimeoutMs = 3 * roundMs
)

// Durations of ejections, in ms, and constants of trials.
const (
	firstEjectionMs   = 2000.0
	maxEjectionMs     = 20000.0
	ejectionGrowth    = 2.0  // factor by which each ejection is longer than the previous one
	trialWeightFactor = 0.12 // fraction of its normal weight with which an endpoint begins a trial
	trialWeightGrowth = 2.0  // factor applied to that fraction in each round of a trial with answers
	minTrialAnswers   = 0.3  // decayed count of answers below which that fraction does not grow
)

// zoneHealth is the health of an endpoint as observed by the proxies of one zone. An endpoint may be unreachable from
// one zone and healthy for the others. Counts are decayed in each timed round.
type zoneHealth struct {
	answersSinceTrial  float64 // attempts with an answer since the latest trial began
	failuresSinceTrial float64 // attempts that failed since the latest trial began

	attempts float64 // all attempts since the endpoint's process started
	failures float64 // all failed attempts since the endpoint's process started

	ejected      bool
	ejectedUntil float64 // ms, end of the ejection; 0 if not ejected
	nextEjection float64 // ms, duration of the next ejection
	weightFactor float64 // fraction of its normal weight that the endpoint may have: below 1 on trial, otherwise 1
}

// healthIn returns the endpoint's health as observed by the proxies of a zone, creating it when it is first needed.
func (e *endpoint) healthIn(zone int) *zoneHealth {
	if e.health[zone] == nil {
		e.health[zone] = &zoneHealth{weightFactor: 1, nextEjection: firstEjectionMs}
	}
	return e.health[zone]
}

// count adds the attempts and failures of an EndpointStats event.
func (h *zoneHealth) count(stats EndpointStats) {
	attempts := float64(stats.Attempts)
	failures := float64(stats.Failed)
	h.answersSinceTrial += math.Max(0, attempts-failures)
	h.failuresSinceTrial += failures
	h.attempts += attempts
	h.failures += failures
}

// updateHealth ejects an endpoint that fails for a region's proxies, starts a trial when an ejection ends, and raises
// the weight on trial while the endpoint answers. It is called once per timed round.
func (e *endpoint) updateHealth(r *region, h *zoneHealth) {
	switch {
	case h.ejected:
		e.endEjection(r, h)
	case e.Phase == Ready && e.isFailing(r, h):
		e.planner.logf("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			h.answersSinceTrial, h.failuresSinceTrial, r.failureRate)
		h.eject(e.planner.now)
		h.decayTrialCounts()
	default:
		h.continueTrial()
		h.decayTrialCounts()
	}
	h.attempts *= countDecay
	h.failures *= countDecay
}

// isFailing returns whether an endpoint is to be ejected from a region's tables: it fails more than the region's
// endpoints on average and is not overloaded, or it sends neither answers nor load reports. Overloaded endpoints are
// not ejected, since their penalty reduces their load. With fewer than minFailures failures, it returns false.
func (e *endpoint) isFailing(r *region, h *zoneHealth) bool {
	if h.failuresSinceTrial < minFailures {
		return false
	}
	now := e.planner.now
	overloaded := e.load.value > e.planner.targetLoad && e.load.age(now) < staleMs
	silent := h.answersSinceTrial < minAnswers && e.load.age(now) > reportTimeoutMs
	failureLimit := (baseFailureRate + zoneFailureRateFactor*r.failureRate) *
		(h.answersSinceTrial + h.failuresSinceTrial)
	return h.failuresSinceTrial > failureLimit && !overloaded || silent
}

// eject starts an ejection, and makes the next one longer, up to maxEjectionMs.
func (h *zoneHealth) eject(now float64) {
	h.ejected = true
	h.ejectedUntil = now + h.nextEjection
	h.nextEjection = math.Min(maxEjectionMs, h.nextEjection*ejectionGrowth)
}

// endEjection starts a trial once the ejection is over. The counts that led to the ejection are discarded.
func (e *endpoint) endEjection(r *region, h *zoneHealth) {
	if e.planner.now < h.ejectedUntil {
		return
	}
	h.ejected = false
	h.ejectedUntil = 0
	h.weightFactor = trialWeightFactor
	h.answersSinceTrial = 0
	h.failuresSinceTrial = 0
	e.planner.logf("endpoint %d zone %d: trial", e.Endpoint, r.zone)
}

// continueTrial raises the weight of an endpoint on trial if it has answered enough attempts.
func (h *zoneHealth) continueTrial() {
	if h.weightFactor < 1 && h.answersSinceTrial >= minTrialAnswers {
		h.weightFactor = math.Min(1, h.weightFactor*trialWeightGrowth)
	}
}

// decayTrialCounts decays the counts of attempts since the latest trial began.
func (h *zoneHealth) decayTrialCounts() {
	h.answersSinceTrial *= countDecay
	h.failuresSinceTrial *= countDecay
}
