package controller

import "indigousher/planner"

// acceptRecorded keeps recorded telemetry for this turn; the decider hears of it where live telemetry would stand.
func (c *Core) acceptRecorded(telemetry []planner.Event) {
	for _, event := range telemetry {
		if c.validRecordedEvent(event) {
			c.recordedTelemetry = append(c.recordedTelemetry, event)
		} else {
			c.reportMalformed(malformedRecordedEvent)
		}
	}
}

// validRecordedEvent returns whether a recorded event names what there is, in figures that the aggregator would
// have passed on. The decider takes any index for one that it may use.
func (c *Core) validRecordedEvent(event planner.Event) bool {
	switch event := event.(type) {
	case planner.EndpointStats:
		return c.validRecordedStats(event)
	case planner.RequestStats:
		return validIndex(event.Proxy, c.proxies.Len()) && validIndex(event.Class, c.classes.Len()) &&
			event.Requests >= 0 && planner.ValidRate(event.SpanMs)
	case planner.SliceStats:
		return validIndex(event.Class, c.classes.Len()) && event.Requests >= 0 && planner.ValidRate(event.SpanMs)
	}
	return false
}

// validRecordedStats returns whether the recorded statistics of an endpoint may be used.
func (c *Core) validRecordedStats(stats planner.EndpointStats) bool {
	for _, value := range stats.Load {
		if !planner.ValidRate(value) {
			return false
		}
	}
	return validIndex(stats.Endpoint, c.endpoints.len()) && validIndex(stats.Zone, c.zones.Len()) &&
		stats.Failed >= 0 && stats.Attempts >= stats.Failed && planner.ValidRate(stats.MeanMs) && planner.ValidRate(stats.SpanMs)
}

// validIndex returns whether i is an index into n things.
func validIndex(i, n int) bool { return i >= 0 && i < n }
