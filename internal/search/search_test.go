package search

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/audit"
	"indigousher/internal/controller"
	"indigousher/internal/scenario"
	"indigousher/planner"
)

// TestDraftsAreValidScenarios checks for many seeds and fleet sizes that the text of a generated draft is a valid
// scenario file with all its faults, that the same seed gives the same draft, and that most fault types occur.
func TestDraftsAreValidScenarios(t *testing.T) {
	faultTypes := map[string]bool{}
	for seed := range 300 {
		d := Draw(seed, 10+seed)
		x, err := d.Scenario()
		require.NoError(t, err, "%s", d.Text())
		assert.Len(t, x.Faults, len(d.Faults))
		assert.Equal(t, d.Text(), Draw(seed, 10+seed).Text())
		for _, fault := range x.Faults {
			faultTypes[fault.Type] = true
		}
	}
	assert.Greater(t, len(faultTypes), 22)
}

// neverExcludes wraps a decider and drops the commands that remove endpoints from tables. It is the defect that
// TestShrunk finds.
type neverExcludes struct{ controller.Decider }

func (h neverExcludes) Handle(now float64, events []planner.Event) (out []planner.Command) {
	for _, o := range h.Decider.Handle(now, events) {
		if _, is := o.(planner.SetExcluded); is {
			continue
		}
		if s, is := o.(planner.SetWeight); is && s.Weight == 0 {
			continue
		}
		out = append(out, o)
	}
	return out
}

// TestShrunk checks that the search finds a defect that is injected into the planner's commands, and that Shrink
// reduces the draft to a single fault that triggers it.
func TestShrunk(t *testing.T) {
	s := &Search{Decide: func(seed int64, settings map[string]any) controller.Decider {
		return neverExcludes{planner.New(seed, settings)}
	}}
	d := Draw(7, 12)
	d.Faults = append(d.Faults, scenario.Fault{Type: "drain", At: 9e9, Duration: 8e9, Fraction: 0.3}, scenario.Fault{Type: "burst", At: 4e9, Duration: 2e9, Size: 1.2},
		scenario.Fault{Type: "reconnect", At: 6e9, Fraction: 0.5})
	d.sortFaults()
	f, err := s.Play(t.Context(), d)
	require.NoError(t, err)
	require.NotEmpty(t, f.ViolatedRules)
	require.Greater(t, f.LimitFractions[audit.DrainDeadline], 1.0)
	f.ViolatedRules = []string{audit.DrainDeadline.String() + ": injected"}
	small, err := s.Shrink(t.Context(), f)
	require.NoError(t, err)
	require.Len(t, small.Draft.Faults, 1, "%s", small.Draft.Text())
	assert.Contains(t, []string{"drain", "preempt", "replace", "crash", "vanish", "zone_loss"}, small.Draft.Faults[0].Type)
	kept, err := (&Search{}).Play(t.Context(), small.Draft)
	require.NoError(t, err)
	assert.Empty(t, kept.ViolatedRules, "the planner without the injected defect")
}

// TestClimbApproachesLimit checks that Climb comes closer to the limit of a rule.
func TestClimbApproachesLimit(t *testing.T) {
	s := &Search{}
	f, err := s.Play(t.Context(), Draw(3, 12))
	require.NoError(t, err)
	best := f
	for seed := uint64(1); seed < 6 && best.LimitFractions == f.LimitFractions; seed++ { // a climb may find no improvement within its few steps
		best, err = s.Climb(t.Context(), f, audit.ChannelQueue, 10, seed)
		require.NoError(t, err)
	}
	assert.Greater(t, best.LimitFractions[audit.ChannelQueue], f.LimitFractions[audit.ChannelQueue])
}
