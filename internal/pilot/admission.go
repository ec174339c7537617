package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

func (c *Core) admit(o brain.Admit) {
	if o.Table == brain.EveryTable {
		c.everywhere[o.Kinds] = o
		for _, s := range c.inOrder() {
			c.write(s, admitOp(o))
		}
		return
	}
	c.table(o.Table).levels[o.Kinds] = o
	c.toUsers(o.Table, admitOp(o))
}

func admitOp(o brain.Admit) wire.Op {
	return wire.Op{Kind: wire.OpAdmit, Table: o.Table, Kinds: o.Kinds, Weight: o.Level, Again: o.Again}
}
