package planner

// This file detects outliers, as a service mesh's outlier detection does: an endpoint that fails for the proxies of a
// zone is ejected from that zone's tables, and let back by a trial on a small share, later with each relapse.
//
// What ejects: updateHealth, by the conditions of isFailing. What lets back: the end of the ejection time, for a
// trial, and answers during it, for more.

import "math"

const (
	// countFade is what a round leaves of the counts before it.
	countFade = 0.6

	// minFailures is the number of failed attempts, fading, below which nothing is ejected.
	minFailures = 3

	// An endpoint fails if this part of its attempts does: a base, plus a multiple of the part that fails in the whole
	// zone, so that what all suffer alike ejects nobody.
	baseFailureRate       = 0.3
	zoneFailureRateFactor = 1.5

	// fewAnswers is the number of answers, fading, below which an endpoint counts as answering nothing.
	fewAnswers = 0.5

	// silenceMs without a load report, from an endpoint that answers nothing, shows that it is gone or hangs, also if
	// its whole zone does.
	silenceMs = 3 * roundMs
)

// Ejection and trials.
const (
	firstEjectionMs = 2000.0
	maxEjectionMs   = 20000.0
	ejectionGrowth  = 2.0  // of the next ejection, with each relapse
	trialTrust      = 0.12 // part of its normal weight that an endpoint has on trial
	trustGrowth     = 2.0  // in a round of a trial with good answers
	trialAnswers    = 0.3  // answers, fading, that a trial needs in a round
)

// zoneHealth is the health of an endpoint as the proxies of one zone see it. An endpoint may be out of reach for one
// zone and in order for the others.
type zoneHealth struct {
	answered float64 // attempts with an answer since the last trial began, fading
	failed   float64 // attempts that failed since then, fading

	attempts float64 // since the endpoint started, fading
	failures float64 // of these

	ejected      bool
	ejectedUntil float64 // ms
	nextEjection float64 // how long the next one takes, ms
	trust        float64 // part of its normal weight that the endpoint has; below 1 on trial
}

// healthIn returns the endpoint's health for the proxies of a zone.
func (e *endpoint) healthIn(zone int) *zoneHealth {
	if e.health[zone] == nil {
		e.health[zone] = &zoneHealth{trust: 1, nextEjection: firstEjectionMs}
	}
	return e.health[zone]
}

// count takes in attempts.
func (h *zoneHealth) count(stats EndpointStats) {
	attempts := float64(stats.Attempts)
	failures := float64(stats.Failed)
	h.answered += math.Max(0, attempts-failures)
	h.failed += failures
	h.attempts += attempts
	h.failures += failures
}

// updateHealth ejects an endpoint that fails for a region's proxies, begins a trial when an ejection ends, and has a
// trial go on while answers are good.
func (e *endpoint) updateHealth(r *region, h *zoneHealth) {
	switch {
	case h.ejected:
		e.endEjection(r, h)
	case e.Phase == Ready && e.isFailing(r, h):
		e.planner.logf("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			h.answered, h.failed, r.failureRate)
		h.eject(e.planner.now)
		h.fadeEvidence()
	default:
		h.continueTrial()
		h.fadeEvidence()
	}
	h.attempts *= countFade
	h.failures *= countFade
}

// isFailing returns whether an endpoint fails for a region's proxies: more than others do while it isn't overloaded, or
// without any answer or report. Overload is the penalty's business.
func (e *endpoint) isFailing(r *region, h *zoneHealth) bool {
	if h.failed < minFailures {
		return false
	}
	now := e.planner.now
	overloaded := e.load.value > e.planner.targetLoad && e.load.age(now) < staleMs
	silent := h.answered < fewAnswers && e.load.age(now) > silenceMs
	bound := (baseFailureRate + zoneFailureRateFactor*r.failureRate) * (h.answered + h.failed)
	return h.failed > bound && !overloaded || silent
}

// eject takes the endpoint out of the zone's tables.
func (h *zoneHealth) eject(now float64) {
	h.ejected = true
	h.ejectedUntil = now + h.nextEjection
	h.nextEjection = math.Min(maxEjectionMs, h.nextEjection*ejectionGrowth)
}

// endEjection begins a trial, without the evidence that led to the ejection, once its time is over.
func (e *endpoint) endEjection(r *region, h *zoneHealth) {
	if e.planner.now < h.ejectedUntil {
		return
	}
	h.ejected = false
	h.ejectedUntil = 0
	h.trust = trialTrust
	h.answered = 0
	h.failed = 0
	e.planner.logf("endpoint %d zone %d: trial", e.Endpoint, r.zone)
}

// continueTrial gives an endpoint on trial more weight if it has answered.
func (h *zoneHealth) continueTrial() {
	if h.trust < 1 && h.answered >= trialAnswers {
		h.trust = math.Min(1, h.trust*trustGrowth)
	}
}

// fadeEvidence has older attempts count less.
func (h *zoneHealth) fadeEvidence() {
	h.answered *= countFade
	h.failed *= countFade
}
