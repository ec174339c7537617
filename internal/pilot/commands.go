package pilot

import (
	"fmt"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// carryOut does one order.
func (c *Core) carryOut(o brain.Order) {
	if c.relay(o) {
		return
	}
	switch o := o.(type) {
	case brain.SetLine:
		c.setLine(o)
	case brain.ClearTable:
		delete(c.tables, o.Table)
		c.toUsers(o.Table, wire.Op{Kind: wire.OpClear, Table: o.Table})
	case brain.Bind:
		c.bind(o)
	case brain.Withdraw:
		c.withdraw(o)
	case brain.Admit:
		c.admit(o)
	case brain.Mark:
		for _, s := range c.inOrder() {
			if s.pending != nil || o.All {
				c.write(s, wire.Op{Kind: wire.OpMark, Number: o.Number})
				s.marks = append(s.marks, o.Number)
				s.marks = s.marks[max(0, len(s.marks)-mostMarks):]
			}
		}
	case brain.Probe:
		c.plan.Prober.Probe(c.endpoints.Name(o.Endpoint))
	case brain.Tell:
		c.plan.Peers.Tell(o.Peer, o.Text)
	case brain.WakeAt:
		c.alarms.push(o.AtMs, o.Name)
	case brain.Watch:
		c.plan.List.Watch(o.On)
	case brain.FetchList:
		c.plan.List.Fetch()
	case brain.Log:
		c.plan.Log(o.Text)
	default:
		c.odd("order that can't be carried out", fmt.Sprintf("%T", o))
	}
}
