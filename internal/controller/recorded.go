package controller

import "indigousher/planner"

// acceptRecorded stores recorded telemetry for this turn. appendTelemetry adds it to the events at the position of live
// telemetry.
func (c *Core) acceptRecorded(telemetry []planner.Event) {
	for _, event := range telemetry {
		if c.validRecordedEvent(event) {
			c.recordedTelemetry = append(c.recordedTelemetry, event)
		} else {
			c.reportMalformed(malformedRecordedEvent)
		}
	}
}

// validRecordedEvent reports whether the indices of a recorded event exist and its values are in the range that the
// aggregator produces. This must be checked here because the decider does not check indices.
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

// validRecordedStats reports whether recorded endpoint statistics have existing indices and values in range.
func (c *Core) validRecordedStats(stats planner.EndpointStats) bool {
	for _, value := range stats.Load {
		if !planner.ValidRate(value) {
			return false
		}
	}
	return validIndex(stats.Endpoint, c.endpoints.len()) && validIndex(stats.Zone, c.zones.Len()) &&
		stats.Failed >= 0 && stats.Attempts >= stats.Failed && planner.ValidRate(stats.MeanMs) && planner.ValidRate(stats.SpanMs)
}

// validIndex reports whether 0 <= i < n.
func validIndex(i, n int) bool { return i >= 0 && i < n }
