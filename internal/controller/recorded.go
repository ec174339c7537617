package controller

import "indigousher/planner"

// acceptRecorded keeps recorded telemetry for this turn; the decider hears of it where live telemetry would stand.
func (c *Core) acceptRecorded(telemetry []planner.Note) {
	for _, event := range telemetry {
		if c.validRecordedEvent(event) {
			c.recorded = append(c.recorded, event)
		} else {
			c.reportMalformed(malformedRecordedEvent)
		}
	}
}

// validRecordedEvent returns whether a recorded event names what there is, in figures that the intake would have
// passed on. The decider takes any index for one that it may use.
func (c *Core) validRecordedEvent(event planner.Note) bool {
	switch event := event.(type) {
	case planner.Met:
		return c.validRecordedMet(event)
	case planner.Demand:
		return validIndex(event.Proxy, c.proxies.Len()) && validIndex(event.Kind, c.kinds.Len()) &&
			event.Reqs >= 0 && planner.Sound(event.SpanMs)
	case planner.SliceDemand:
		return validIndex(event.Kind, c.kinds.Len()) && event.Reqs >= 0 && planner.Sound(event.SpanMs)
	}
	return false
}

// validRecordedMet returns whether the recorded statistics of an endpoint may be used.
func (c *Core) validRecordedMet(met planner.Met) bool {
	for _, figure := range met.Load {
		if !planner.Sound(figure) {
			return false
		}
	}
	return validIndex(met.Endpoint, c.endpoints.len()) && validIndex(met.Zone, c.zones.Len()) &&
		met.Failed >= 0 && met.Tries >= met.Failed && planner.Sound(met.MeanMs) && planner.Sound(met.SpanMs)
}

// validIndex returns whether i is an index into n things.
func validIndex(i, n int) bool { return i >= 0 && i < n }
