package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestSplitCalls checks that no call exceeds the relay's size limit and that no command is lost.
func TestSplitCalls(t *testing.T) {
	var commands []command
	for range 3000 {
		commands = append(commands, command{encoded: []byte(strings.Repeat("x", 99))})
	}
	total := 0
	for _, c := range splitCalls(commands) {
		assert.LessOrEqual(t, len(encodeRequest("h", c)), 60000+200)
		total += len(c)
	}
	assert.Equal(t, len(commands), total)
	assert.Empty(t, splitCalls(nil))
}

// TestClearSupersedesItsTable checks that clearing a table supersedes the earlier commands for this table only.
func TestClearSupersedesItsTable(t *testing.T) {
	var commands []command
	for _, c := range []planner.Command{
		planner.SetWeight{Table: 1, Weight: 1},
		planner.SetWeight{Table: 2, Weight: 1},
		planner.ClearTable{Table: 1},
		planner.SetAdmission{Table: 1, Classes: 2, Level: 0.5, RetryMode: 1},
		planner.SetAdmission{Table: planner.EveryTable, Level: 1},
	} {
		encoded, ok := encode(c, endpointName, []string{"read", "write"})
		require.True(t, ok)
		commands = append(commands, encoded)
	}
	var texts []string
	for _, c := range merge(commands) {
		texts = append(texts, string(c.encoded))
	}
	assert.Equal(t, []string{
		`{"verb":"SET","cluster":2,"endpoint":"e0","w":1}`,
		`{"verb":"DEL","cluster":1}`,
		`{"verb":"LIMIT","cluster":1,"classes":["write"],"level":0.5,"retry":1}`,
		`{"verb":"LIMIT","level":1,"retry":0}`,
	}, texts)
}
