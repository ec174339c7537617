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

// TestRestoreMalformedTurns guards a recovery against turns that can be decoded but hold invalid values: inputs with an
// unknown endpoint, zone or class or a number that is not finite must be dropped, and must neither cause a panic nor
// the allocation of memory for a billion endpoints.
func TestRestoreMalformedTurns(t *testing.T) {
	inf := math.Inf(1)
	nan := math.NaN()
	statsTurn := func(m planner.EndpointStats) Turn { return turnOf(Input{Kind: KindEndpointStats, Event: m}) }
	infinite := planner.Load{"util": inf}
	infiniteCheck := planner.HealthCheckResult{Load: infinite}
	for name, c := range map[string]struct {
		turn    Turn
		corrupt bool
	}{
		"negative endpoint":     {statsTurn(planner.EndpointStats{Endpoint: -1, Attempts: 1, SpanMs: 1}), false},
		"endpoint out of range": {statsTurn(planner.EndpointStats{Endpoint: 1 << 40, Attempts: 1, SpanMs: 1}), false},
		"zone out of range":     {statsTurn(planner.EndpointStats{Zone: 1 << 40, Attempts: 1, SpanMs: 1}), false},
		"negative zone":         {statsTurn(planner.EndpointStats{Zone: -5, Attempts: 1, SpanMs: 1}), false},
		"infinite load":         {statsTurn(planner.EndpointStats{Attempts: 1, SpanMs: 1, Load: infinite}), false},
		"mean is NaN":           {statsTurn(planner.EndpointStats{Attempts: 1, SpanMs: 1, MeanMs: nan}), false},
		"class out of range":    {turnOf(Input{Kind: KindRequestStats, Event: planner.RequestStats{Class: 1 << 40}}), false},
		"negative slice class":  {turnOf(Input{Kind: KindSliceStats, Event: planner.SliceStats{Class: -1}}), false},
		"infinite check load":   {turnOf(Input{Kind: KindHealthChecked, Text: "x", HealthCheck: infiniteCheck}), false},
		"time is NaN":           {Turn{AtMs: nan}, true},
		"negative time":         {Turn{AtMs: -inf}, true},
		"time out of range":     {Turn{AtMs: 1e300}, true},
		"settings are a list":   {turnOf(Input{Kind: KindSettingsChanged, Text: "[1]"}), true},
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

// TestRestorePanickingPlanner guards a recovery against a planner that panics on a record: Restore returns an error.
func TestRestorePanickingPlanner(t *testing.T) {
	options := restoreOptions(t)
	options.Decider = panickingDecider{}
	err := Restore(controller.NewCore(options), []Turn{{}})
	assert.ErrorContains(t, err, "planner panicked on the record: index")
}

// listedTurn is a turn in which the endpoint list delivers one endpoint.
var listedTurn = Turn{Inputs: []Input{{
	Kind:    KindEndpointsListed,
	Message: &wire.List{Whole: true, Entries: []wire.Entry{{Endpoint: "x", Zone: "a", Weight: 1}}},
}}}

func turnOf(in Input) Turn { return Turn{Inputs: []Input{in}} }

// restoreOptions returns the options of a core for Restore, with the planner of the planner package.
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

// throughCodec encodes a turn and returns the decoded result.
func throughCodec(t *testing.T, turn Turn) []Turn {
	encoded, err := AppendTurn(nil, &turn)
	require.NoError(t, err)
	turns, err := DecodeTurns(encoded)
	require.NoError(t, err)
	return turns
}

// panickingDecider is a planner that panics.
type panickingDecider struct{}

// Handle panics.
func (panickingDecider) Handle(float64, []planner.Event) []planner.Command {
	panic("index out of range")
}

// Reconfigure does nothing.
func (panickingDecider) Reconfigure(map[string]any) {}
