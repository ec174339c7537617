package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// ReportStats counts accepted reports and malformed input.
type ReportStats struct {
	// Reports is the number of aggregated reports received from a relay.
	Reports int `json:"Reports"`
	// Malformed is the number of malformed inputs and commands.
	Malformed int `json:"Odd"`
	// SpanMs is the sum of the periods covered by the relay's reports, in ms.
	SpanMs float64 `json:"SpanMs"`
	// Listed is the number of endpoints on the current list. It is only set with a relay.
	Listed int `json:"Listed"`
}

// Report adds a proxy's load report to the aggregator, which passes it to the decider at the end of the period. It is
// safe for concurrent use.
func (c *Core) Report(nowMs float64, s Stream, sums *wire.LoadReport) {
	c.reports.accept(nowMs, s, sums)
}

// appendTelemetry appends the events from load reports in this turn: replayed ones in a replay, otherwise those of the
// aggregator.
func (c *Core) appendTelemetry(events []planner.Event) []planner.Event {
	switch {
	case c.options.Relay != nil: // the relay's reports are inputs that handleInput has processed
		return events
	case c.options.Replayed:
		events = append(events, c.recordedTelemetry...)
		c.recordedTelemetry = nil
		return events
	default:
		return c.flushReports(events)
	}
}

// flushReports appends the events from the aggregator and sends the proxies their new reporting parameters.
func (c *Core) flushReports(events []planner.Event) []planner.Event {
	events, requests, malformed := c.reports.flush(events, c.nowMs, c.options.Metrics)
	for _, r := range requests {
		if err := r.stream.RequestPace(r.pace); err != nil {
			r.stream.Close(err.Error())
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(malformed)) {
		c.reportMalformed(reason, fmt.Sprint(malformed[reason]))
	}
	return events
}
