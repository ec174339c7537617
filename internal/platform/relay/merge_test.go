package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
)

func TestSplit(t *testing.T) {
	var ops []op
	for range 3000 {
		ops = append(ops, op{text: []byte(strings.Repeat("x", 99))})
	}
	n := 0
	for _, call := range split(ops) {
		assert.LessOrEqual(t, len(request("h", call)), 60000+200)
		n += len(call)
	}
	assert.Equal(t, len(ops), n)
	assert.Empty(t, split(nil))
}

func TestClearOutdatesItsTable(t *testing.T) {
	var ops []op
	for _, o := range []brain.Order{brain.SetLine{Table: 1, Weight: 1}, brain.SetLine{Table: 2, Weight: 1}, brain.ClearTable{Table: 1},
		brain.Admit{Table: 1, Kinds: 2, Level: 0.5, Again: 1}, brain.Admit{Table: brain.EveryTable, Level: 1}} {
		p, ok := layOut(o, endpoint, []string{"read", "write"})
		require.True(t, ok)
		ops = append(ops, p)
	}
	var texts []string
	for _, o := range fresh(ops) {
		texts = append(texts, string(o.text))
	}
	assert.Equal(t, []string{`{"verb":"SET","cluster":2,"endpoint":"e0","w":1}`, `{"verb":"DEL","cluster":1}`,
		`{"verb":"LIMIT","cluster":1,"classes":["write"],"level":0.5,"retry":1}`, `{"verb":"LIMIT","level":1,"retry":0}`}, texts)
}
