package brain

// This file detects outliers, as a service mesh's outlier detection does: an endpoint that fails for the proxies of a
// zone is ejected from that zone's tables, and let back by a trial on a small share, later with each relapse.
//
// What ejects: updateHealth, by the conditions of isFailing. What lets back: the end of the ejection time, for a
// trial, and answers during it, for more.

import "math"

type zoneHealth struct {
	answered, failed, attempts, failures float64 // since a trial began, and since the endpoint started, fading
	ejected                              bool
	ejectedUntil, nextEjection, trust    float64 // trust: part of its normal weight
}

func (e *endpoint) healthIn(zone int) *zoneHealth {
	if e.health[zone] == nil {
		e.health[zone] = &zoneHealth{trust: 1, nextEjection: firstEjectionMs}
	}
	return e.health[zone]
}

// updateHealth weighs what a zone's proxies show: failures against the others', or failures alone and no report.
func (e *endpoint) updateHealth(r *region, v *zoneHealth) {
	if v.ejected {
		if e.planner.now >= v.ejectedUntil {
			*v = zoneHealth{trust: trialTrust, nextEjection: v.nextEjection, attempts: v.attempts, failures: v.failures}
			e.planner.logf("endpoint %d zone %d: trial", e.Endpoint, r.zone)
		}
		return
	}
	busy := e.load > e.planner.targetLoad && e.planner.now-e.updatedAt < staleMs // overload is the penalty's business
	mute := v.answered < 0.5 && e.planner.now-e.updatedAt > 3*roundMs            // gone quiet, maybe with its whole zone
	failing := v.failed >= 3 && (v.failed > (0.3+1.5*r.failureRate)*(v.answered+v.failed) && !busy || mute)
	if e.Phase == Ready && failing {
		e.planner.logf("endpoint %d zone %d: out, good %.1f bad %.1f all %.2f", e.Endpoint, r.zone,
			v.answered, v.failed, r.failureRate)
		v.ejected, v.ejectedUntil, v.nextEjection = true, e.planner.now+v.nextEjection, math.Min(maxEjectionMs, v.nextEjection*ejectionGrowth)
	} else if v.trust < 1 && v.answered >= 0.3 {
		v.trust = math.Min(1, v.trust*2)
	}
	v.answered, v.failed = v.answered*countFade, v.failed*countFade
}
