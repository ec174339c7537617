package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// healthyAfter returns how long after a time the tables were sound again: from then on until another time, in each
// second, fewer than a part of the attempts went to some endpoints.
func healthyAfter(o *Outcome, struck []string, from, to, part float64) float64 {
	names, tries, bad := map[string]bool{}, map[int]float64{}, map[int]float64{}
	for _, n := range struck {
		names[n] = true
	}
	for _, e := range o.Events {
		if e.What == eventlog.Arrive && e.At >= from && e.At < to {
			s := int((e.At - from) / 1000)
			tries[s]++
			if names[e.Who] {
				bad[s]++
			}
		}
	}
	sound := 0.0
	for s, n := range tries {
		if bad[s] > part*n {
			sound = max(sound, float64(s+1)*1000)
		}
	}
	return sound
}

// TestNoState guards pilots that come back in the middle of a rough day with no record and no list, to proxies under
// heavy load, half of which have just started with standing tables, while endpoints hang, drain and are cold: the rules
// hold, and the tables are sound again soon after there is a list. Beside it the same day with state.
func TestNoState(t *testing.T) {
	const back, listed, healed = 17200, 21000, 28000
	for seed := 3; seed < 7; seed++ {
		var service [2]float64
		for i, record := range []bool{false, true} {
			d, err := scenario.Load("no-state")
			require.NoError(t, err)
			d.Seed, d.Record = seed, record
			o, err := Play{Scenario: d, Audited: true, KeepEvents: true}.Run(t.Context())
			require.NoError(t, err)
			assert.True(t, o.Report.Kept(), "seed %d, record %v", seed, record)
			for name, starts := range o.Starts {
				assert.Equal(t, !record, starts[1].Verdict.Cold(), "%s of seed %d", name, seed)
			}
			service[i] = o.Report.Service.All.Share()
			w := o.Report.Service.Windows
			sound := healthyAfter(o, []string{"a-std-0", "b-std-0"}, back, healed, 0.08) // half of an even share
			assert.LessOrEqual(t, sound, float64(listed-back+5000), "seed %d, record %v", seed, record)
			t.Logf("seed %d, record %v: service %.3f, from 15 s %.3f %.3f %.3f, sound %.0f ms after the return",
				seed, record, service[i], w[3].Share(), w[4].Share(), w[5].Share(), sound)
		}
		assert.Greater(t, service[0], service[1]-0.03, "seed %d", seed)
	}
}
