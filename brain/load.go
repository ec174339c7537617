package brain

// This file estimates an endpoint's load from its load reports: smoothing and ageing, a load from a queue or, by
// Little's law, from the requests in flight where no utilization is reported, and the speed that reports show.

import "math"

func (e *endpoint) takeReport(l Load) {
	load, ok := l["util"]
	if rate := l["rate"]; ok && load > 0.15 && rate > 0 {
		e.speeds.add(rate/load/math.Max(e.Weight, 1e-3), speedsOfEndpoint)
		e.planner.speeds.add(rate/load/math.Max(e.Weight, 1e-3), speedsOfEndpoint*float64(len(e.planner.endpoints)))
	}
	if q, has := l["waiting"]; has && !ok {
		load, ok = (math.Sqrt(q*q+4*q)-q)/2+q/fullQueue, true
	}
	if n := l["in_hand"]; !ok && n > 0 && l["rate"] > 0 { // not how many tells a load, but how long
		e.residence += (n/l["rate"] - e.residence) * pick(e.residence > 0, 0.25, 1)
		e.bestResidence = math.Min(e.residence, pick(e.bestResidence > 0, e.bestResidence, e.residence))
		load, ok = 1-e.bestResidence/e.residence, true
	}
	if ok {
		if gap := e.planner.now - e.updatedAt; gap < staleMs {
			e.interval += (gap - e.interval) / 4
		}
		e.load, e.updatedAt = e.load+(load-e.load)*pick(e.load < 0 || e.planner.now-e.updatedAt > staleMs, 1, latestReportGain), e.planner.now
	}
}
