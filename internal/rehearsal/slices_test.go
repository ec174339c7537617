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
	type gift struct {
		at    float64
		owner string
	}
	given, firsts := map[string][]gift{}, []string{}
	sent, astray, moved := 0, 0, 0
	const joined, follows = 1500, 600 // ms: time for all proxies to join, and to follow the move of a slice
	for _, e := range o.EventLog.Events() {
		switch e.What {
		case eventlog.Given:
			if given[e.Text] = append(given[e.Text], gift{e.At, e.Peer}); len(given[e.Text]) == 1 {
				firsts = append(firsts, e.Text)
				sort.Strings(firsts)
			} else {
				moved++
			}
		case eventlog.Send:
			sent++
			gifts := given[firsts[sort.Search(len(firsts), func(i int) bool { return firsts[i] > e.Text })-1]]
			last := gifts[len(gifts)-1]
			before := len(gifts) > 1 && e.At < last.at+follows && e.Peer == gifts[len(gifts)-2].owner
			if e.Peer != last.owner && !before && e.At > joined {
				astray++
			}
		}
	}
	assert.Greater(t, sent, 2000)
	assert.Equal(t, 6, moved)
	assert.Zero(t, astray)
	assert.Greater(t, o.Report.Service.All.Share(), 0.9)
}
