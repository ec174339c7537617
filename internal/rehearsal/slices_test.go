package rehearsal

import (
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// TestSlices checks routing by key slices over both protocols: each attempt must go to the endpoint that owns the key's
// slice or, for a short time after the slice has moved, to its previous owner.
func TestSlices(t *testing.T) {
	t.Parallel()
	day, err := scenario.Load("slices")
	require.NoError(t, err)
	o, err := Play{Scenario: day}.Run(t.Context())
	require.NoError(t, err)
	for _, v := range o.Report.Verdicts {
		assert.True(t, v.Kept(), "%s: %v", v.Rule, v.Violations)
	}
	type assignment struct {
		at    float64
		owner string
	}
	assignments, firstKeys := map[string][]assignment{}, []string{}
	sent, misrouted, moved := 0, 0, 0
	const joinTime, followTime = 1500, 600 // ms: time for all proxies to join, and to follow the move of a slice
	for _, e := range o.EventLog.Events() {
		switch e.What {
		case eventlog.Given:
			if assignments[e.Text] = append(assignments[e.Text], assignment{e.At, e.Peer}); len(assignments[e.Text]) == 1 {
				firstKeys = append(firstKeys, e.Text)
				sort.Strings(firstKeys)
			} else {
				moved++
			}
		case eventlog.Send:
			sent++
			history := assignments[firstKeys[sort.Search(len(firstKeys), func(i int) bool { return firstKeys[i] > e.Text })-1]]
			last := history[len(history)-1]
			toPrevious := len(history) > 1 && e.At < last.at+followTime && e.Peer == history[len(history)-2].owner
			if e.Peer != last.owner && !toPrevious && e.At > joinTime {
				misrouted++
			}
		}
	}
	assert.Greater(t, sent, 2000)
	assert.Equal(t, 6, moved)
	assert.Zero(t, misrouted)
	assert.Greater(t, o.Report.Service.All.Share(), 0.9)
}
