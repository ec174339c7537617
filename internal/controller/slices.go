package controller

import (
	"fmt"
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// sliceCountSetting is the decider's setting of how many slices the deployment has.
const sliceCountSetting = "slices"

// keyRange is which keys fall into a slice: those from from up to to, to not included; an empty to has no end.
type keyRange struct{ from, to string }

// assignedSlices are the key ranges of the slices assigned to this pilot, by number, which is that of the slice's
// table.
type assignedSlices map[int]keyRange

// numbers returns the assigned slices in order.
func (a assignedSlices) numbers() []int { return slices.Sorted(maps.Keys(a)) }

// has returns whether a slice is assigned.
func (a assignedSlices) has(number int) bool {
	_, assigned := a[number]
	return assigned
}

// assignSlice takes over that a slice is assigned or no longer, and the lines stored of it. Proxies learn the range of
// its keys and the stored lines, which stand until the decider commands others. A slice's number is that of its table,
// so one that the deployment does not have would wipe a zone's table at every proxy.
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

// storedLines puts the stored lines of a slice into its table and appends them.
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

// sendSlice sends a slice's range of keys with its lines and levels to a proxy.
func (c *Core) sendSlice(s *session, number int) {
	keys := c.slices[number]
	c.outbox.add(s, wire.Op{Kind: wire.OpAssignRange, Table: number, From: keys.from, To: keys.to})
	c.sendTable(s, number, nil, false)
}
