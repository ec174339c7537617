package wire

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCollapse checks which operations Collapse drops. Each case covers one rule.
func TestCollapse(t *testing.T) {
	set := func(table int, endpoint string, weight float64) Op {
		return Op{Kind: OpSetWeight, Table: table, Endpoint: endpoint, Weight: weight}
	}
	for _, c := range []struct {
		name     string
		in, want []Op
	}{
		{
			"only the last weight of an endpoint is kept",
			[]Op{set(1, "x", 1), set(1, "y", 1), set(1, "x", 2)},
			[]Op{set(1, "y", 1), set(1, "x", 2)},
		},
		{"weights in other tables are kept", []Op{set(1, "x", 1), set(2, "x", 2)}, []Op{set(1, "x", 1), set(2, "x", 2)}},
		{
			"a clear drops earlier weights and levels of its table",
			[]Op{set(1, "x", 1), {Kind: OpSetAdmission, Table: 1}, {Kind: OpClearTable, Table: 1}, set(1, "x", 2)},
			[]Op{{Kind: OpClearTable, Table: 1}, set(1, "x", 2)},
		},
		{
			"a level for all tables is kept when a table is reset",
			[]Op{{Kind: OpSetAdmission, Table: AllTables}, {Kind: OpAssignTable, Table: AllTables}},
			[]Op{{Kind: OpSetAdmission, Table: AllTables}, {Kind: OpAssignTable, Table: AllTables}},
		},
		{
			"only the last exclusion of an endpoint is kept, also across a reset",
			[]Op{
				{Kind: OpSetExcluded, Endpoint: "x", Remove: true},
				{Kind: OpSetExcluded, Endpoint: "x"},
				{Kind: OpAssignTable},
			},
			[]Op{{Kind: OpSetExcluded, Endpoint: "x"}, {Kind: OpAssignTable}},
		},
		{
			"all acknowledgement requests are kept",
			[]Op{{Kind: OpAckRequest, AckNumber: 1}, {Kind: OpAckRequest, AckNumber: 2}},
			[]Op{{Kind: OpAckRequest, AckNumber: 1}, {Kind: OpAckRequest, AckNumber: 2}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, Collapse(c.in))
		})
	}
}
