package controller

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestAssignTableSendsOnlyDifferences checks that a proxy that rejoins with a table in its hello, for example after a
// pilot crashed, is sent only the lines that differ, and that a second assignment sends the whole table.
func TestAssignTableSendsOnlyDifferences(t *testing.T) {
	d := &scriptedDecider{commands: [][]planner.Command{nil, {
		planner.SetWeight{Table: 5, Endpoint: 0, Weight: 1},
		planner.SetWeight{Table: 5, Endpoint: 1, Weight: 2},
		planner.AssignTable{Table: 5, Proxy: 0},
		planner.AssignTable{Table: 5, Proxy: 0},
	}}}
	transport := &fakeTransport{}
	stream := &fakeTransport{}
	c := NewCore(newOptions(d, transport))
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
	h := hello("p", "a", "x")
	h.Tables = []wire.HeldTable{{Table: 5, Lines: []wire.HeldLine{
		{Endpoint: "x", Weight: 1},
		{Endpoint: "gone", Weight: 3},
	}}}
	c.Handle(1, []Input{ProxyJoined{stream, h}})
	c.Channel.Send(1)
	require.Len(t, stream.sent, 1)
	set := func(e string, w float64) wire.Op {
		return wire.Op{Kind: wire.OpSetWeight, Table: 5, Endpoint: e, Weight: w}
	}
	assert.Equal(t, []wire.Op{
		{Kind: wire.OpAssignTable, Table: 5, Classes: 3, KeepLines: true},
		set("y", 2), set("gone", 0),
		{Kind: wire.OpAssignTable, Table: 5, Classes: 3},
		set("x", 1), set("y", 2),
	}, stream.sent[0].Ops)
}
