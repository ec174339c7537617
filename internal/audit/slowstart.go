package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
)

// slowStartSlack is how many requests of the size at hand chance may bring together beyond the budget of an endpoint
// that warms up.
const slowStartSlack = 4

// sameStartMs is how far an endpoint's start and its start in the endpoint list may lie apart.
const sameStartMs = 1000

// arrival is a request that came to an endpoint while it was warming up.
type arrival struct {
	at       float64 // ms
	work     float64 // ms on one core
	informed bool    // the sender's pilot knew of the start
}

// checkSlowStart checks the rule SlowStartBudget: the work that is sent within a span to an endpoint that warms up
// stays within its budget.
func (a *Auditor) checkSlowStart(e eventlog.Event) {
	endpoint := a.endpoints[e.Who]
	age := e.At - endpoint.startedAt
	warmUpMs := float64(a.settings.Cold.Milliseconds())
	if !endpoint.slowStart || age > warmUpMs {
		return
	}
	span := float64(a.settings.Fall.Milliseconds())
	endpoint.addArrival(arrival{at: e.At, work: e.Value, informed: a.pilotKnewOfStart(e, endpoint)}, span)
	total, informed := endpoint.arrivedWork()

	warmth := math.Min(1, a.settings.ColdFrom+(1-a.settings.ColdFrom)*age/warmUpMs)
	budget := a.settings.FallMultiple*endpoint.capacity*warmth*span + slowStartSlack*e.Value
	fraction := total / budget
	if informed < total*2/3 {
		// Less than two thirds came from proxies whose pilots knew: no pilot could have prevented the overload.
		fraction = math.Min(fraction, 1)
	}
	a.verdict(SlowStartBudget).observe(fraction, e.At, e.Who,
		"%.0f ms of work in %.0f ms, %.0f of it informed, %.0f bearable", total, span, informed, budget)
}

// addArrival adds an arrival and forgets those that lie more than a span, in ms, before it.
func (s *endpointState) addArrival(next arrival, span float64) {
	s.arrivals = append(s.arrivals, next)
	for s.arrivals[0].at < next.at-span {
		s.arrivals = s.arrivals[1:]
	}
}

// arrivedWork returns the work of the kept arrivals in ms, and the part of it that was sent knowingly.
func (s *endpointState) arrivedWork() (total, informed float64) {
	for _, x := range s.arrivals {
		total += x.work
		if x.informed {
			informed += x.work
		}
	}
	return total, informed
}

// pilotKnewOfStart returns whether the pilot of the proxy that sent a request had the time to learn of the endpoint's
// start and to act on it.
func (a *Auditor) pilotKnewOfStart(e eventlog.Event, endpoint *endpointState) bool {
	proxy := a.proxies[e.Peer]
	if proxy == nil || proxy.pilot == "" {
		return false
	}
	pilot := a.pilot(proxy.pilot)
	for _, address := range a.addressesByName[e.Who] {
		listed := pilot.listed[address]
		if listed == nil || a.nameByAddress[address] != e.Who {
			continue
		}
		if math.Abs(listed.startedAt-endpoint.startedAt) < sameStartMs {
			reactionMs := float64(a.settings.DrainGrace.Milliseconds())
			return proxy.lastCommandAt >= listed.startListedAt || e.At >= listed.startListedAt+reactionMs
		}
	}
	return false
}
