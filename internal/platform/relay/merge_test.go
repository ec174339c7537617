package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
)

func TestSplitCalls(t *testing.T) {
	var commands []command
	for range 3000 {
		commands = append(commands, command{encoded: []byte(strings.Repeat("x", 99))})
	}
	n := 0
	for _, call := range splitCalls(commands) {
		assert.LessOrEqual(t, len(encodeRequest("h", call)), 60000+200)
		n += len(call)
	}
	assert.Equal(t, len(commands), n)
	assert.Empty(t, splitCalls(nil))
}

func TestClearSupersedesItsTable(t *testing.T) {
	var commands []command
	for _, o := range []brain.Order{brain.SetLine{Table: 1, Weight: 1}, brain.SetLine{Table: 2, Weight: 1}, brain.ClearTable{Table: 1},
		brain.Admit{Table: 1, Kinds: 2, Level: 0.5, Again: 1}, brain.Admit{Table: brain.EveryTable, Level: 1}} {
		p, ok := encode(o, endpoint, []string{"read", "write"})
		require.True(t, ok)
		commands = append(commands, p)
	}
	var texts []string
	for _, o := range merge(commands) {
		texts = append(texts, string(o.encoded))
	}
	assert.Equal(t, []string{`{"verb":"SET","cluster":2,"endpoint":"e0","w":1}`, `{"verb":"DEL","cluster":1}`,
		`{"verb":"LIMIT","cluster":1,"classes":["write"],"level":0.5,"retry":1}`, `{"verb":"LIMIT","level":1,"retry":0}`}, texts)
}
