package record

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// TestHostileTurns guards a recovery against a record that reads well and makes no sense: what names nobody, or is no
// figure, is left out, and neither panics nor makes room for a billion endpoints.
func TestHostileTurns(t *testing.T) {
	inf := math.Inf(1)
	nan := math.NaN()
	statsTurn := func(m planner.EndpointStats) Turn { return turnOf(Input{Kind: KindEndpointStats, Event: m}) }
	infinite := planner.Load{"util": inf}
	infiniteCheck := planner.HealthCheckResult{Load: infinite}
	for name, c := range map[string]struct {
		turn    Turn
		corrupt bool
	}{
		"endpoint below":      {statsTurn(planner.EndpointStats{Endpoint: -1, Attempts: 1, SpanMs: 1}), false},
		"endpoint beyond":     {statsTurn(planner.EndpointStats{Endpoint: 1 << 40, Attempts: 1, SpanMs: 1}), false},
		"zone beyond":         {statsTurn(planner.EndpointStats{Zone: 1 << 40, Attempts: 1, SpanMs: 1}), false},
		"zone below":          {statsTurn(planner.EndpointStats{Zone: -5, Attempts: 1, SpanMs: 1}), false},
		"load infinite":       {statsTurn(planner.EndpointStats{Attempts: 1, SpanMs: 1, Load: infinite}), false},
		"mean not a number":   {statsTurn(planner.EndpointStats{Attempts: 1, SpanMs: 1, MeanMs: nan}), false},
		"kind beyond":         {turnOf(Input{Kind: KindRequestStats, Event: planner.RequestStats{Class: 1 << 40}}), false},
		"slice's kind beyond": {turnOf(Input{Kind: KindSliceStats, Event: planner.SliceStats{Class: -1}}), false},
		"probe's load":        {turnOf(Input{Kind: KindHealthChecked, Text: "x", HealthCheck: infiniteCheck}), false},
		"no time":             {Turn{AtMs: nan}, true},
		"before all time":     {Turn{AtMs: -inf}, true},
		"beyond all time":     {Turn{AtMs: 1e300}, true},
		"terms that are none": {turnOf(Input{Kind: KindSettingsChanged, Text: "[1]"}), true},
	} {
		t.Run(name, func(t *testing.T) {
			malformed := 0
			options := restoreOptions(t)
			options.Malformed = func(string, ...string) { malformed++ }
			turns := append([]Turn{listedTurn}, throughCodec(t, c.turn)...)
			turns = append(turns, Turn{AtMs: 5000})
			err := Restore(controller.NewCore(options), turns)
			if c.corrupt {
				assert.ErrorIs(t, err, ErrCorrupt)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, 1, malformed)
		})
	}
}

// TestPanickingPlanner guards a recovery against a planner that panics on a record.
func TestPanickingPlanner(t *testing.T) {
	options := restoreOptions(t)
	options.Decider = panickingDecider{}
	err := Restore(controller.NewCore(options), []Turn{{}})
	assert.ErrorContains(t, err, "the module panics on the record: index")
}

// listedTurn lists one endpoint.
var listedTurn = Turn{Inputs: []Input{{
	Kind:    KindEndpointsListed,
	Message: &wire.List{Whole: true, Entries: []wire.Entry{{Endpoint: "x", Zone: "a", Weight: 1}}},
}}}

func turnOf(in Input) Turn { return Turn{Inputs: []Input{in}} }

// restoreOptions returns the options of a core that is to be restored, with the planner that ships.
func restoreOptions(t *testing.T) controller.Options {
	settings := map[string]any{
		"zones":     []any{"a"},
		"req_kinds": []any{map[string]any{"name": "read"}},
		"fields":    []any{"util"},
	}
	options, err := optionsFromSettings(settings)
	require.NoError(t, err)
	options.Decider = planner.New(1, settings)
	options.Settings = settings
	return options
}

// throughCodec returns a turn as it is read from the disk.
func throughCodec(t *testing.T, turn Turn) []Turn {
	encoded, err := AppendTurn(nil, &turn)
	require.NoError(t, err)
	turns, err := DecodeTurns(encoded)
	require.NoError(t, err)
	return turns
}

// panickingDecider is a planner with a fault.
type panickingDecider struct{}

// Handle panics.
func (panickingDecider) Handle(float64, []planner.Event) []planner.Command {
	panic("index out of range")
}

// Reconfigure does nothing.
func (panickingDecider) Reconfigure(map[string]any) {}
