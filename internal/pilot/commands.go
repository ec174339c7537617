package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// carryOut does one order.
func (c *Core) execute(o brain.Order) {
	if c.forwardToRelay(o) {
		return
	}
	switch o := o.(type) {
	case brain.SetLine:
		c.setLine(o)
	case brain.ClearTable:
		delete(c.tables, o.Table)
		c.sendToUsers(o.Table, wire.Op{Kind: wire.OpClear, Table: o.Table})
	case brain.Bind:
		c.bind(o)
	case brain.Withdraw:
		c.exclude(o)
	case brain.Admit:
		c.admit(o)
	case brain.Mark:
		for _, s := range c.sortedSessions() {
			if s.pending != nil || o.All {
				c.enqueue(s, wire.Op{Kind: wire.OpMark, Number: o.Number})
				s.unacknowledged = append(s.unacknowledged, o.Number)
				s.unacknowledged = s.unacknowledged[max(0, len(s.unacknowledged)-maxUnacknowledged):]
			}
		}
	case brain.Probe:
		c.plan.Prober.Probe(c.endpoints.Name(o.Endpoint))
	case brain.Tell:
		c.plan.Peers.Tell(o.Peer, o.Text)
	case brain.WakeAt:
		c.timers.set(o.AtMs, o.Name)
	case brain.Watch:
		c.plan.List.Watch(o.On)
	case brain.FetchList:
		c.plan.List.Fetch()
	case brain.Log:
		c.plan.Log(o.Text)
	default:
		c.reportMalformed(malformedCommand, fmt.Sprintf("%T", o))
	}
}
