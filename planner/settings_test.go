package planner

import (
	"errors"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSettingsDefaults checks the defaults of missing numbers, and that unusable numbers are replaced by them.
func TestSettingsDefaults(t *testing.T) {
	defaults, err := ParseSettings(nil)
	require.NoError(t, err)
	assert.Equal(t, Settings{
		Instances: 1, StaticTableLines: 1e-9, CrossZoneCost: 0.1, WarmUpMs: 10000, WarmUpInitialCapacity: 0.1, FailureLoad: 1,
		FirstRetryWait: 1, BacklogLines: 1000, HeaderLines: 4, MessageLimit: math.MaxFloat64, MessageWindowMs: 10000,
		MaxDeliveryMs: 500, DrainGraceMs: 2000,
	}, defaults)
	keys := []string{
		"instances", "rank", "proxy_count", "standing", "conns_least", "cross_zone", "cold", "cold_from",
		"fall_multiple", "ejects_after", "retry_default", "first_wait", "lines_per_s", "backlog", "head_lines",
		"messages_most", "messages_over", "late_most", "drain_grace", "slices",
	}
	for name, unusable := range map[string]float64{
		"zero": 0, "negative": -3, "infinite": math.Inf(1),
		"not a number": math.NaN(),
	} {
		t.Run(name, func(t *testing.T) {
			raw := map[string]any{}
			for _, key := range keys {
				raw[key] = unusable
			}
			settings, err := ParseSettings(raw)
			require.NoError(t, err, "numbers of the right type")
			assert.Equal(t, defaults, settings)
		})
	}
}

// TestSettingsRead checks that settings of each type are read into their fields.
func TestSettingsRead(t *testing.T) {
	settings, err := ParseSettings(map[string]any{
		"proxy_count": 7.0, "zones": []any{"a", "b"}, "by_zone": true, "slices": 64.0, "discovery": "on_request",
		"fields": []any{"rate", "util"}, "ejects_after": 5.0, "retry_default": 2.9, "admission": "rate", "cold": 500.0,
		"kind_own_zone": []any{false, true}, "standing": nil,
		"req_kinds": []any{
			map[string]any{"payoff": 3.0, "response_target": 250.0, "repeats": "replayable"},
			map[string]any{"only_machines": []any{1.0}, "only_zones": []any(nil), "repeats": "uniqued"},
		},
	})
	require.NoError(t, err)
	assert.Equal(t, 7.0, settings.ProxyCount.Or(1))
	assert.Equal(t, 9.0, settings.MinConnectionLimit.Or(9), "a missing number is replaced by the fallback")
	assert.Equal(t, 2, settings.ZoneCount)
	assert.True(t, settings.OneControllerPerZone && settings.Sliced && settings.DiscoveryOnRequest)
	assert.True(t, settings.ReportsUtilization && settings.ProxiesEject)
	assert.Equal(t, 2, settings.DefaultRetryMode)
	assert.Equal(t, AdmitByRate, settings.Admission)
	assert.Equal(t, 500.0, settings.WarmUpMs)
	assert.Equal(t, []RequestClass{
		{PriorityWeight: 3, ResponseTargetMs: 250, Retryable: true},
		{PriorityWeight: 1, ResponseTargetMs: 1000, OwnZoneOnly: true, OnlyMachines: IndexList{1}},
	}, settings.Classes)
	assert.True(t, settings.Classes[0].OnlyMachines.Allows(5), "an empty list allows all")
	assert.True(t, settings.Classes[1].OnlyMachines.Allows(1))
	assert.False(t, settings.Classes[1].OnlyMachines.Allows(0))
}

// TestSettingsOfWrongType checks that each value of the wrong type is reported and replaced by its default.
func TestSettingsOfWrongType(t *testing.T) {
	for key, c := range map[string]struct {
		raw  any
		want string // the key that the error names
	}{
		"backlog":       {"1500", "backlog"},
		"lines_per_s":   {1500, "lines_per_s"},
		"by_zone":       {"true", "by_zone"},
		"admission":     {1.0, "admission"},
		"zones":         {"a", "zones"},
		"fields":        {[]any{"rate", 1.0}, "fields[1]"},
		"kind_own_zone": {true, "kind_own_zone"},
	} {
		t.Run(key, func(t *testing.T) {
			settings, err := ParseSettings(map[string]any{key: c.raw})
			var wrong *SettingError
			require.ErrorAs(t, err, &wrong)
			assert.Equal(t, c.want, wrong.Key)
			defaults, _ := ParseSettings(nil)
			assert.Equal(t, defaults, settings)
		})
	}
	settings, err := ParseSettings(map[string]any{"req_kinds": []any{
		"none", map[string]any{"payoff": "much", "only_zones": []any{0.5, 2.0}},
	}, "cold": false})
	joined, ok := err.(interface{ Unwrap() []error })
	require.True(t, ok)
	var keys []string
	for _, one := range joined.Unwrap() {
		var wrong *SettingError
		require.True(t, errors.As(one, &wrong))
		keys = append(keys, wrong.Key)
	}
	assert.ElementsMatch(t, []string{"req_kinds[0]", "req_kinds[1].payoff", "req_kinds[1].only_zones[0]", "cold"}, keys)
	require.Len(t, settings.Classes, 2)
	assert.Equal(t, RequestClass{PriorityWeight: 1, ResponseTargetMs: 1000}, settings.Classes[0])
	assert.False(t, settings.Classes[1].OnlyZones.Allows(0), "an element that is not an index allows nothing")
	assert.True(t, settings.Classes[1].OnlyZones.Allows(2))
	assert.ErrorContains(t, err, "setting cold: want a number, got bool")
}

// TestReconfigure checks which settings Reconfigure changes, and that values derived by New stay the same.
func TestReconfigure(t *testing.T) {
	raw := map[string]any{
		"backlog": 100.0, "cross_zone": 0.1, "conns_least": 10.0, "proxy_count": 300.0,
		"req_kinds": []any{map[string]any{"payoff": 2.0}},
	}
	p := New(1, raw)
	target := p.targetLoad
	subsets := p.subsetsOfZone
	require.Greater(t, subsets, 1)
	raw["backlog"] = 200.0
	raw["cross_zone"] = 0.0
	raw["conns_least"] = 1e6
	raw["req_kinds"] = []any{}
	assert.Equal(t, 100.0, p.settings.BacklogLines, "the map is read only by New and Reconfigure")
	p.Reconfigure(raw)
	assert.Equal(t, 200.0, p.settings.BacklogLines)
	assert.Equal(t, 1e6, p.settings.MinConnectionLimit.Or(0))
	assert.Equal(t, target, p.targetLoad)
	assert.Equal(t, subsets, p.subsetsOfZone)
	assert.Len(t, p.classes, 1)
	assert.Len(t, p.groups, 1)
}
