package audit

import (
	"math"

	"indigousher/internal/testbed/eventlog"
)

// slowStartSlack is the number of requests, each as large as the current one, by which the work sent to an endpoint in
// warm-up may exceed its budget. It allows for requests that happen to arrive together.
const slowStartSlack = 4

// startMatchToleranceMs is the largest difference in ms between an endpoint's start in the event log and a start in the
// pilot's endpoint list at which both count as the same start.
const startMatchToleranceMs = 1000

// arrival is an attempt that arrived at an endpoint during its warm-up.
type arrival struct {
	at       float64 // time in ms
	work     float64 // ms of processing on one core
	informed bool    // the sending proxy's pilot had time to react to the endpoint's start
}

// checkSlowStart checks the rule SlowStartBudget when an attempt arrives: the work sent to an endpoint in warm-up
// during the span Fall is at most FallMultiple times what the endpoint can process in that span, plus slowStartSlack
// requests.
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
		// Less than two thirds of the work came from proxies whose pilots had time to react to the endpoint's start.
		// No pilot could have prevented the overload, so it is not a violation.
		fraction = math.Min(fraction, 1)
	}
	a.verdict(SlowStartBudget).observe(fraction, e.At, e.Who,
		"%.0f ms of work in %.0f ms, %.0f of it informed, %.0f bearable", total, span, informed, budget)
}

// addArrival adds an arrival and removes those that are more than span, in ms, older.
func (s *endpointState) addArrival(next arrival, span float64) {
	s.arrivals = append(s.arrivals, next)
	for s.arrivals[0].at < next.at-span {
		s.arrivals = s.arrivals[1:]
	}
}

// arrivedWork returns the work of the recorded arrivals in ms: all of it, and that of the informed arrivals.
func (s *endpointState) arrivedWork() (total, informed float64) {
	for _, x := range s.arrivals {
		total += x.work
		if x.informed {
			informed += x.work
		}
	}
	return total, informed
}

// pilotKnewOfStart returns whether the pilot of the proxy that sent the attempt knew of the endpoint's start and had
// time to react: it has sent the proxy a message decided since then, or DrainGrace has passed since it was notified.
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
		if math.Abs(listed.startedAt-endpoint.startedAt) < startMatchToleranceMs {
			reactionMs := float64(a.settings.DrainGrace.Milliseconds())
			return proxy.lastCommandAt >= listed.startListedAt || e.At >= listed.startListedAt+reactionMs
		}
	}
	return false
}
