package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCollapse checks which operations are dropped, one rule a case.
func TestCollapse(t *testing.T) {
	set := func(table int, endpoint string, weight float64) Op {
		return Op{Kind: OpSetWeight, Table: table, Endpoint: endpoint, Weight: weight}
	}
	for _, c := range []struct {
		name     string
		in, want []Op
	}{
		{
			"the last weight of a line counts",
			[]Op{set(1, "x", 1), set(1, "y", 1), set(1, "x", 2)},
			[]Op{set(1, "y", 1), set(1, "x", 2)},
		},
		{"lines of other tables stay", []Op{set(1, "x", 1), set(2, "x", 2)}, []Op{set(1, "x", 1), set(2, "x", 2)}},
		{
			"a clear drops earlier lines and levels of its table",
			[]Op{set(1, "x", 1), {Kind: OpSetAdmission, Table: 1}, {Kind: OpClearTable, Table: 1}, set(1, "x", 2)},
			[]Op{{Kind: OpClearTable, Table: 1}, set(1, "x", 2)},
		},
		{
			"a level of all tables outlives a reset",
			[]Op{{Kind: OpSetAdmission, Table: AllTables}, {Kind: OpAssignTable, Table: AllTables}},
			[]Op{{Kind: OpSetAdmission, Table: AllTables}, {Kind: OpAssignTable, Table: AllTables}},
		},
		{
			"exclusions outlive a reset, the last of an endpoint counts",
			[]Op{{Kind: OpSetExcluded, Endpoint: "x", Remove: true}, {Kind: OpSetExcluded, Endpoint: "x"}, {Kind: OpAssignTable}},
			[]Op{{Kind: OpSetExcluded, Endpoint: "x"}, {Kind: OpAssignTable}},
		},
		{
			"each mark is answered",
			[]Op{{Kind: OpAckRequest, AckNumber: 1}, {Kind: OpAckRequest, AckNumber: 2}},
			[]Op{{Kind: OpAckRequest, AckNumber: 1}, {Kind: OpAckRequest, AckNumber: 2}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, Collapse(c.in))
		})
	}
}
