package audit

import (
	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// recordLines records how many endpoints the proxy's table has for the request class of the event.
func (p *proxyState) recordLines(e eventlog.Event, classes []config.RequestClass) {
	p.lineCounts[e.Kind] = e.N
	p.uncovered = false
	for _, class := range classes {
		if p.lineCounts[class.Name] == 0 {
			p.uncovered = true
		} else {
			delete(p.uncoveredSince, class.Name)
		}
	}
}

// checkCoverage checks the rule EndpointCoverage at the time coverageCheckedAt: no connected proxy's table lacks
// endpoints for a request class for longer than BareFor while its pilot knows a warm endpoint for that class.
func (a *Auditor) checkCoverage() {
	for _, proxy := range a.sortedProxies {
		if !proxy.uncovered {
			a.verdict(EndpointCoverage).Checked += len(a.settings.Kinds)
			continue
		}
		pilot := a.connectedPilot(proxy)
		for i := range a.settings.Kinds {
			a.checkClassCoverage(proxy, pilot, &a.settings.Kinds[i])
		}
	}
}

// checkClassCoverage checks one request class of a proxy. The pilot is nil if the proxy is not connected to one.
func (a *Auditor) checkClassCoverage(proxy *proxyState, pilot *pilotState, class *config.RequestClass) {
	verdict := a.verdict(EndpointCoverage)
	if pilot == nil || proxy.lineCounts[class.Name] > 0 || !a.hasWarmEndpoint(pilot, proxy.zone, class) {
		delete(proxy.uncoveredSince, class.Name)
		verdict.Checked++
		return
	}
	since, known := proxy.uncoveredSince[class.Name]
	if !known {
		since = a.coverageCheckedAt
		proxy.uncoveredSince[class.Name] = since
	}
	lasted := a.coverageCheckedAt - since
	limit := float64(a.settings.BareFor.Milliseconds())
	verdict.observe(lasted/limit, a.coverageCheckedAt, proxy.name,
		"no line for %s for %.0f ms of %.0f", class.Name, lasted, limit)
}

// hasWarmEndpoint returns whether the pilot's endpoint list contains an endpoint that is ready, has finished its
// warm-up, and may serve the request class for proxies in the zone.
func (a *Auditor) hasWarmEndpoint(pilot *pilotState, zone string, class *config.RequestClass) bool {
	warmUpMs := float64(a.settings.Cold.Milliseconds())
	for _, listed := range pilot.listed {
		isWarm := a.coverageCheckedAt-listed.startedAt >= warmUpMs
		if listed.phase == wire.PhaseReady && isWarm && listed.mayServe(class, zone) {
			return true
		}
	}
	return false
}
