package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

func (c *Core) admit(o brain.Admit) {
	if o.Table == brain.EveryTable {
		c.globalLevels[o.Kinds] = o
		for _, s := range c.sessions.inOrder() {
			c.outbox.add(s, admissionOp(o))
		}
		return
	}
	c.table(o.Table).levels[o.Kinds] = o
	c.sendToUsers(o.Table, admissionOp(o))
}

func admissionOp(o brain.Admit) wire.Op {
	return wire.Op{Kind: wire.OpAdmit, Table: o.Table, Kinds: o.Kinds, Weight: o.Level, Again: o.Again}
}
