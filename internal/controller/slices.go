package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// sliceCountSetting is the name of the decider's setting for the number of slices in the deployment.
const sliceCountSetting = "slices"

// keyRange is the half-open range [from, to) of a slice's keys. An empty to means that the range has no upper bound.
type keyRange struct{ from, to string }

// assignedSlices holds the key ranges of the slices assigned to this pilot, by slice number. The table of a slice has
// the same number.
type assignedSlices map[int]keyRange

// numbers returns the numbers of the assigned slices in ascending order.
func (a assignedSlices) numbers() []int { return slices.Sorted(maps.Keys(a)) }

// has reports whether a slice is assigned to this pilot.
func (a assignedSlices) has(number int) bool {
	_, assigned := a[number]
	return assigned
}

// assignSlice processes that a slice has been assigned to this pilot or revoked. On assignment the proxies are sent the
// slice's key range and its stored lines, which apply until the decider changes them. Slice numbers that the deployment
// does not have are rejected: slices and zones share the numbering of tables, so such a number would delete the table
// of a zone at all proxies.
func (c *Core) assignSlice(events []planner.Event, update *wire.Slices) []planner.Event {
	if count, _ := c.options.Settings[sliceCountSetting].(float64); float64(update.Slice) >= count {
		c.reportMalformed(malformedSlice, fmt.Sprint(update.Slice))
		return events
	}
	c.reports.assignSlice(update.Slice, update.Given)
	c.tables.remove(update.Slice)
	delete(c.slices, update.Slice)
	if update.Given {
		c.slices[update.Slice] = keyRange{update.From, update.To}
	}
	events = append(events, planner.SliceAssignment{Slice: update.Slice, Assigned: update.Given})
	events = c.storedLines(events, update)
	for _, s := range c.sessions.inOrder() {
		if update.Given {
			c.sendSlice(s, update.Slice)
		} else {
			c.outbox.add(s, wire.Op{Kind: wire.OpAssignRange, Table: update.Slice, Remove: true})
		}
	}
	return events
}

// storedLines adds the stored lines of a slice to its table and appends an event for each. Lines with an unknown
// endpoint or an invalid weight are skipped.
func (c *Core) storedLines(events []planner.Event, update *wire.Slices) []planner.Event {
	for _, l := range update.Lines {
		endpoint, known := c.endpoints.find(l.Endpoint)
		if !known || !update.Given || !planner.ValidWeight(l.Weight) {
			c.reportMalformed(malformedStoredLine, l.Endpoint, fmt.Sprint(l.Weight))
			continue
		}
		events = append(events, planner.SliceWeight{Slice: update.Slice, Endpoint: endpoint, Weight: l.Weight})
		c.tables.table(update.Slice).weights[endpoint] = l.Weight
	}
	return events
}

// sendSlice sends the key range, the lines and the admission levels of a slice to a proxy.
func (c *Core) sendSlice(s *session, number int) {
	keys := c.slices[number]
	c.outbox.add(s, wire.Op{Kind: wire.OpAssignRange, Table: number, From: keys.from, To: keys.to})
	c.sendTable(s, number, nil, false)
}
