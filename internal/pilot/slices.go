package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// keyRange is which keys fall into a slice.
type keyRange struct{ from, to string }

// slice turns a slice that is given or taken into notes: its charge, and the lines stored of it. Proxies learn the range
// of its keys and the stored lines, which stand until the module orders others. A slice's number is that of its table, so
// one that the deployment does not have would wipe a zone's table at every proxy.
func (c *Core) assignSlice(events []brain.Note, x *wire.Slices) []brain.Note {
	if most, _ := c.plan.Terms["slices"].(float64); float64(x.Slice) >= most {
		c.reportMalformed(malformedSlice, fmt.Sprint(x.Slice))
		return events
	}
	c.reports.assignSlice(x.Slice, x.Given)
	delete(c.tables, x.Slice)
	if delete(c.sliceRanges, x.Slice); x.Given {
		c.sliceRanges[x.Slice] = keyRange{x.From, x.To}
	}
	events = append(events, brain.SliceCharge{Slice: x.Slice, Given: x.Given})
	for _, l := range x.Lines {
		if i, known := c.endpoints.find(l.Endpoint); known && x.Given && brain.SoundWeight(l.Weight) {
			events = append(events, brain.SliceLine{Slice: x.Slice, Endpoint: i, Weight: l.Weight})
			c.table(x.Slice).lines[i] = l.Weight
		} else {
			c.reportMalformed(malformedStoredLine, l.Endpoint, fmt.Sprint(l.Weight))
		}
	}
	for _, s := range c.sessions.inOrder() {
		if x.Given {
			c.sendSlice(s, x.Slice)
		} else {
			c.outbox.add(s, wire.Op{Kind: wire.OpRange, Table: x.Slice, Out: true})
		}
	}
	return events
}

// layRange sends a slice's range of keys with its lines and levels to a proxy.
func (c *Core) sendSlice(s *session, number int) {
	r := c.sliceRanges[number]
	c.outbox.add(s, wire.Op{Kind: wire.OpRange, Table: number, From: r.from, To: r.to})
	c.sendTable(s, number, nil, false)
}
