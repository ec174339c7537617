package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// ReportStats counts what the core took in of reports, for the pilot's own book-keeping.
type ReportStats struct {
	// Reports that came summed up, by a relay.
	Reports int `json:"Reports"`
	// Malformed counts malformed input.
	Malformed int `json:"Odd"`
	// SpanMs is the span that the reports covered.
	SpanMs float64 `json:"SpanMs"`
	// Listed is how many endpoints are on the list as held, where a relay holds the streams.
	Listed int `json:"Listed"`
}

// Report takes in a proxy's report, also in between turns and by any goroutine; the aggregator passes it on when
// its period is over.
func (c *Core) Report(nowMs float64, s Stream, sums *wire.Sums) { c.reports.accept(nowMs, s, sums) }

// appendTelemetry appends what reports come to in this turn, whichever way they come.
func (c *Core) appendTelemetry(events []planner.Event) []planner.Event {
	switch {
	case c.options.Relay != nil: // reports came as inputs, summed up
		return events
	case c.options.Replayed:
		events = append(events, c.recordedTelemetry...)
		c.recordedTelemetry = nil
		return events
	default:
		return c.flushReports(events)
	}
}

// flushReports appends what the aggregator passes on, and asks proxies for what it wants of their reports.
func (c *Core) flushReports(events []planner.Event) []planner.Event {
	events, requests, malformed := c.reports.flush(events, c.nowMs, c.options.Metrics)
	for _, r := range requests {
		if err := r.stream.Ask(r.pace); err != nil {
			r.stream.Close(err.Error())
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(malformed)) {
		c.reportMalformed(reason, fmt.Sprint(malformed[reason]))
	}
	return events
}
