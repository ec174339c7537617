package planner

// This file detects outliers, as a service mesh's outlier detection does: an endpoint that fails for the proxies of a
// zone is ejected from that zone's tables, and returns through a trial with a small share of requests. Ejections get
// longer with each relapse.
//
// isFailing holds the conditions of an ejection, endEjection those of a trial, and continueTrial those of a return to
// the full weight.

import "math"

const (
	// countDecay is the factor by which counts fade in each round.
	countDecay = 0.6

	// minFailures is the least fading count of failed attempts for an ejection.
	minFailures = 3

	// An endpoint is failing if the fraction of its attempts that fail exceeds the sum of a base and a multiple of
	// the whole zone's failure rate, so that a fault that all share ejects none.
	baseFailureRate       = 0.3
	zoneFailureRateFactor = 1.5

	// minAnswers is the fading count of answers below which an endpoint counts as not answering.
	minAnswers = 0.5

	// reportTimeoutMs is the time without a load report after which an endpoint that does not answer counts as gone or
	// hanging, even if its whole zone is.
	reportTimeoutMs = 3 * roundMs
)

// Ejection and trials.
const (
	firstEjectionMs   = 2000.0
	maxEjectionMs     = 20000.0
	ejectionGrowth    = 2.0  // factor of the ejection time, with each relapse
	trialWeightFactor = 0.12 // fraction of its normal weight that an endpoint on trial has
	trialWeightGrowth = 2.0  // growth of the trust in a round of a trial with answers
	minTrialAnswers   = 0.3  // fading count of answers that a trial needs
)

// zoneHealth is the health of an endpoint as the proxies of one zone see it. An endpoint may be unreachable for one
// zone and healthy for the others.
type zoneHealth struct {
	answered float64 // attempts with an answer since the last trial began, fading
	failed   float64 // attempts that failed since then, fading

	attempts float64 // since the endpoint started, fading
	failures float64 // of these

	ejected      bool
	ejectedUntil float64 // ms
	nextEjection float64 // duration of the next ejection, ms
	weightFactor float64 // fraction of its normal weight; below 1 on trial
}

// healthIn returns the endpoint's health for the proxies of a zone.
func (e *endpoint) healthIn(zone int) *zoneHealth {
	if e.health[zone] == nil {
		e.health[zone] = &zoneHealth{weightFactor: 1, nextEjection: firstEjectionMs}
	}
	return e.health[zone]
}

// count adds attempts.
func (h *zoneHealth) count(stats EndpointStats) {
	attempts := float64(stats.Attempts)
	failures := float64(stats.Failed)
	h.answered += math.Max(0, attempts-failures)
	h.failed += failures
	h.attempts += attempts
	h.failures += failures
}

// updateHealth ejects an endpoint that fails for a region's proxies, starts a trial when an ejection ends, and
// extends a trial while there are answers.
func (e *endpoint) updateHealth(r *region, h *zoneHealth) {
	switch {
	case h.ejected:
		e.endEjection(r, h)
	case e.Phase == Ready && e.isFailing(r, h):
		e.planner.logf("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			h.answered, h.failed, r.failureRate)
		h.eject(e.planner.now)
		h.decayTrialCounts()
	default:
		h.continueTrial()
		h.decayTrialCounts()
	}
	h.attempts *= countDecay
	h.failures *= countDecay
}

// isFailing returns whether an endpoint fails for a region's proxies: more than others do while it is not overloaded,
// or without any answer or report. Overload is handled by the penalty.
func (e *endpoint) isFailing(r *region, h *zoneHealth) bool {
	if h.failed < minFailures {
		return false
	}
	now := e.planner.now
	overloaded := e.load.value > e.planner.targetLoad && e.load.age(now) < staleMs
	silent := h.answered < minAnswers && e.load.age(now) > reportTimeoutMs
	failureLimit := (baseFailureRate + zoneFailureRateFactor*r.failureRate) * (h.answered + h.failed)
	return h.failed > failureLimit && !overloaded || silent
}

// eject takes the endpoint out of the zone's tables.
func (h *zoneHealth) eject(now float64) {
	h.ejected = true
	h.ejectedUntil = now + h.nextEjection
	h.nextEjection = math.Min(maxEjectionMs, h.nextEjection*ejectionGrowth)
}

// endEjection starts a trial once the ejection time is over, without the evidence that led to the ejection.
func (e *endpoint) endEjection(r *region, h *zoneHealth) {
	if e.planner.now < h.ejectedUntil {
		return
	}
	h.ejected = false
	h.ejectedUntil = 0
	h.weightFactor = trialWeightFactor
	h.answered = 0
	h.failed = 0
	e.planner.logf("endpoint %d zone %d: trial", e.Endpoint, r.zone)
}

// continueTrial raises the trust in an endpoint on trial if it has answered.
func (h *zoneHealth) continueTrial() {
	if h.weightFactor < 1 && h.answered >= minTrialAnswers {
		h.weightFactor = math.Min(1, h.weightFactor*trialWeightGrowth)
	}
}

// decayTrialCounts reduces the weight of older attempts.
func (h *zoneHealth) decayTrialCounts() {
	h.answered *= countDecay
	h.failed *= countDecay
}
