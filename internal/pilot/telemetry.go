package pilot

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// Report takes a proxy's sums, also in between turns; the intake passes them on when its period is over.
func (c *Core) Report(nowMs float64, s Stream, sums *wire.Sums) { c.reports.accept(nowMs, s, sums) }

// tell adds what the intake passes on, and asks streams for what it wants of them.
func (c *Core) collectTelemetry(events []brain.Note) []brain.Note {
	events, asks, unknown := c.reports.flush(events, c.now, c.plan.Meter)
	for _, a := range asks {
		if err := a.stream.Ask(a.pace); err != nil {
			a.stream.Close(err.Error())
		}
	}
	for _, what := range slices.Sorted(maps.Keys(unknown)) {
		c.reportMalformed(what, fmt.Sprint(unknown[what]))
	}
	return events
}

// Believed counts what the core took in of reports, for the pilot's own book-keeping.
type Believed struct {
	Reports, Odd int
	SpanMs       float64 // that all reports covered
	Listed       int     // endpoints on the list as held
}
