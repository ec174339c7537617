package record

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// TestHostileTurns guards a recovery against a record that reads well and makes no sense: what names nobody, or is no
// figure, is left out, and neither panics nor makes room for a billion endpoints.
func TestHostileTurns(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for name, c := range map[string]struct {
		turn Turn
		torn bool
	}{
		"endpoint below":      {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Endpoint: -1, Tries: 1, SpanMs: 1}}}}, false},
		"endpoint beyond":     {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Endpoint: 1 << 40, Tries: 1, SpanMs: 1}}}}, false},
		"zone beyond":         {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Zone: 1 << 40, Tries: 1, SpanMs: 1}}}}, false},
		"zone below":          {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Zone: -5, Tries: 1, SpanMs: 1}}}}, false},
		"load infinite":       {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Tries: 1, SpanMs: 1, Load: brain.Load{"util": inf}}}}}, false},
		"mean not a number":   {Turn{Inputs: []Input{{Kind: Met, Note: brain.Met{Tries: 1, SpanMs: 1, MeanMs: nan}}}}, false},
		"kind beyond":         {Turn{Inputs: []Input{{Kind: Demand, Note: brain.Demand{Kind: 1 << 40}}}}, false},
		"slice's kind beyond": {Turn{Inputs: []Input{{Kind: SliceDemand, Note: brain.SliceDemand{Kind: -1}}}}, false},
		"probe's load":        {Turn{Inputs: []Input{{Kind: Probed, Text: "x", Probe: brain.Probed{Load: brain.Load{"util": inf}}}}}, false},
		"no time":             {Turn{AtMs: nan}, true},
		"before all time":     {Turn{AtMs: -inf}, true},
		"beyond all time":     {Turn{AtMs: 1e300}, true},
		"terms that are none": {Turn{Inputs: []Input{{Kind: Retermed, Text: "[1]"}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			terms := map[string]any{"zones": []any{"a"}, "req_kinds": []any{map[string]any{"name": "read"}}, "fields": []any{"util"}}
			plan, err := optionsFromSettings(terms)
			require.NoError(t, err)
			plan.Decider, plan.Terms = brain.New(1, terms), terms
			odd := 0
			plan.Odd = func(string, ...string) { odd++ }
			core := pilot.NewCore(plan)
			b, err := Append(nil, &c.turn) // by way of the disk
			require.NoError(t, err)
			bad, err := Turns(b)
			require.NoError(t, err)
			turns := append([]Turn{{Inputs: []Input{{Kind: Listed, Message: &wire.List{Whole: true, Entries: []wire.Entry{{Endpoint: "x", Zone: "a", Weight: 1}}}}}}}, bad...)
			if err := Restore(core, append(turns, Turn{AtMs: 5000})); c.torn {
				assert.ErrorIs(t, err, ErrTorn)
			} else {
				assert.NoError(t, err)
				assert.Equal(t, 1, odd)
			}
		})
	}
	panics := panickingDecider{}
	plan, err := optionsFromSettings(map[string]any{"zones": []any{"a"}, "req_kinds": []any{"read"}})
	require.NoError(t, err)
	plan.Decider, plan.Terms = panics, map[string]any{}
	assert.ErrorContains(t, Restore(pilot.NewCore(plan), []Turn{{}}), "the module panics on the record: index")
}

// panickingDecider is a module with a fault.
type panickingDecider struct{}

func (panickingDecider) Handle(float64, []brain.Note) []brain.Order { panic("index out of range") }

// Reconfigure does nothing.
func (panickingDecider) Reconfigure(map[string]any) {}
