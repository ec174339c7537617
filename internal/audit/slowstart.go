package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
)

// slowStartSlack is how many reqs of the size at hand chance may bring together beyond a cold endpoint's budget.
const slowStartSlack = 4

// checkSlowStart checks rule 4: the work sent within the span to an endpoint that is cold.
func (a *Auditor) checkSlowStart(e eventlog.Event) {
	ep := a.endpoints[e.Who]
	age, cold := e.At-ep.startedAt, float64(a.settings.Cold.Milliseconds())
	if !ep.slowStart || age > cold {
		return
	}
	span := float64(a.settings.Fall.Milliseconds())
	ep.arrivals = append(ep.arrivals, arrival{e.At, e.Value, a.pilotKnewOfStart(e, ep)})
	for ep.arrivals[0].at < e.At-span {
		ep.arrivals = ep.arrivals[1:]
	}
	sum, known := 0.0, 0.0
	for _, x := range ep.arrivals {
		sum += x.work
		if x.informed {
			known += x.work
		}
	}
	warmth := math.Min(1, a.settings.ColdFrom+(1-a.settings.ColdFrom)*age/cold)
	budget := a.settings.FallMultiple*ep.capacity*warmth*span + slowStartSlack*e.Value
	part := sum / budget
	if known < sum*2/3 {
		part = math.Min(part, 1) // the pilots could not have helped it
	}
	a.report.Verdicts[SlowStartBudget].observe(part, e.At, e.Who, "%.0f ms of work in %.0f ms, %.0f of it informed, %.0f bearable",
		sum, span, known, budget)
}

// pilotKnewOfStart returns whether a proxy's pilot had the time to know of an endpoint's start.
func (a *Auditor) pilotKnewOfStart(e eventlog.Event, ep *endpointState) bool {
	p := a.proxies[e.Peer]
	if p == nil || p.pilot == "" {
		return false
	}
	for _, address := range a.addressesByName[e.Who] {
		t := a.pilot(p.pilot).listed[address]
		if t != nil && a.nameByAddress[address] == e.Who && math.Abs(t.startedAt-ep.startedAt) < 1000 {
			return p.lastCommandAt >= t.startListedAt || e.At >= t.startListedAt+float64(a.settings.DrainGrace.Milliseconds())
		}
	}
	return false
}
