package audit

import (
	"slices"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// recordLines notes how many lines a kind has.
func (p *proxyState) recordLines(e eventlog.Event, kinds []config.RequestClass) {
	p.lineCounts[e.Kind] = e.N
	p.uncovered = false
	for _, k := range kinds {
		if p.lineCounts[k.Name] == 0 {
			p.uncovered = true
		} else {
			delete(p.uncoveredSince, k.Name)
		}
	}
}

// checkCoverage checks rule 1 for every joined proxy.
func (a *Auditor) checkCoverage() {
	v := &a.report.Verdicts[EndpointCoverage]
	limit := float64(a.settings.BareFor.Milliseconds())
	for _, p := range a.sortedProxies {
		if !p.uncovered {
			v.Checked += len(a.settings.Kinds)
			continue
		}
		name := p.name
		pilot := a.connectedPilot(name, p)
		for _, k := range a.settings.Kinds {
			if pilot == nil || p.lineCounts[k.Name] > 0 || !a.hasWarmEndpoint(pilot, p.zone, k) {
				delete(p.uncoveredSince, k.Name)
				v.Checked++
				continue
			}
			if _, was := p.uncoveredSince[k.Name]; !was {
				p.uncoveredSince[k.Name] = a.checkedAt
			}
			lasts := a.checkedAt - p.uncoveredSince[k.Name]
			v.observe(lasts/limit, a.checkedAt, name, "no line for %s for %.0f ms of %.0f", k.Name, lasts, limit)
		}
	}
}

// hasWarmEndpoint returns whether a pilot's list shows a ready, warm endpoint open to a kind.
func (a *Auditor) hasWarmEndpoint(p *pilotState, zone string, k config.RequestClass) bool {
	for _, t := range p.listed {
		if t.phase == wire.PhaseReady && a.checkedAt-t.startedAt >= float64(a.settings.Cold.Milliseconds()) &&
			(len(k.OnlyMachines) == 0 || slices.Contains(k.OnlyMachines, t.machine)) &&
			(len(k.OnlyZones) == 0 || slices.Contains(k.OnlyZones, t.zone)) && (!k.OwnZone || t.zone == zone) {
			return true
		}
	}
	return false
}
