package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// healthyAfter returns the time in ms after from at which the tables exclude the affected endpoints: in each later
// second up to the time to, at most the fraction part of the attempts go to these endpoints.
func healthyAfter(o *Outcome, affected []string, from, to, part float64) float64 {
	names, attempts, toAffected := map[string]bool{}, map[int]float64{}, map[int]float64{}
	for _, n := range affected {
		names[n] = true
	}
	for _, e := range o.Events {
		if e.What == eventlog.Arrive && e.At >= from && e.At < to {
			s := int((e.At - from) / 1000)
			attempts[s]++
			if names[e.Who] {
				toAffected[s]++
			}
		}
	}
	healthyMs := 0.0
	for s, n := range attempts {
		if toAffected[s] > part*n {
			healthyMs = max(healthyMs, float64(s+1)*1000)
		}
	}
	return healthyMs
}

// TestNoState guards against pilots that harm a fleet when they restart without a record and without an endpoint
// list. Meanwhile the load is high, half of the proxies have just started with static tables, and endpoints hang,
// drain or warm up. No rule may be violated, and the tables must exclude hanging endpoints soon after the list is
// available. The same scenario with a record is run for comparison.
func TestNoState(t *testing.T) {
	const restartedMs, listedMs, repairedMs = 17200, 21000, 28000
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
				assert.Equal(t, !record, starts[1].RecoveryDecision.Cold(), "%s of seed %d", name, seed)
			}
			service[i] = o.Report.Service.All.Share()
			w := o.Report.Service.Windows
			healthyMs := healthyAfter(o, []string{"a-std-0", "b-std-0"}, restartedMs, repairedMs, 0.08) // half of the share under an even distribution
			assert.LessOrEqual(t, healthyMs, float64(listedMs-restartedMs+5000), "seed %d, record %v", seed, record)
			t.Logf("seed %d, record %v: service %.3f, windows from 15 s %.3f %.3f %.3f, tables healthy %.0f ms after the restart",
				seed, record, service[i], w[3].Share(), w[4].Share(), w[5].Share(), healthyMs)
		}
		assert.Greater(t, service[0], service[1]-0.03, "seed %d", seed)
	}
}
