package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLoadShedding(t *testing.T) {
	overload := together(steady(0, 10, 10, 1, 0, 1, 2, 3, 4, 5), func() []Event {
		return []Event{RequestStats{Proxy: 0, Class: 0, Requests: 10}, RequestStats{Proxy: 0, Class: 1, Requests: 10}}
	})
	h := newHarness(t, nil)
	h.rounds(8, overload)
	low, ok := h.admission["0/1"]
	require.True(t, ok, "overload sheds the class with the lowest priority weight per response time")
	assert.Less(t, low.Level, 0.9)
	assert.LessOrEqual(t, low.RetryMode, 1, "no class is retried after an attempt that may have been executed")
	if high, ok := h.admission["0/2"]; ok {
		assert.GreaterOrEqual(t, high.Level, low.Level)
	}
	h.rounds(50, steady(0, 10, 0, 0.3, 0, 1, 2, 3, 4, 5))
	assert.Equal(t, 1.0, h.admission["0/1"].Level)
	disabled := newHarness(t, func(settings map[string]any, _ []Entry) { settings["admission"] = "off" })
	disabled.rounds(8, overload)
	for _, l := range disabled.admission {
		assert.Equal(t, 1.0, l.Level, "without load shedding, only retry modes are commanded")
	}
}

// TestLoadSheddingByRate guards against sending admitted shares to proxies that expect rate limits. Such proxies took a
// share of 1 as a limit of one request per second and rejected four of five requests of a customer whose proxies
// receive 24 requests per second (scenario calm+mass with seed 3, 30 nodes, one zone and admission by rate).
func TestLoadSheddingByRate(t *testing.T) {
	demand := func() []Event {
		return []Event{
			RequestStats{Proxy: 0, Class: 0, Requests: 15, SpanMs: 1000},
			RequestStats{Proxy: 0, Class: 1, Requests: 5, SpanMs: 1000},
		}
	}
	h := newHarness(t, func(settings map[string]any, _ []Entry) {
		settings["admission"] = "rate"
		settings["retry_default"] = 1.0
	})
	h.rounds(8, together(steady(0, 10, 2, 0.3, 0, 1, 2, 3, 4, 5), demand))
	require.Equal(t, 2, h.admission["0/1"].RetryMode, "some attempts fail, so that retries are enabled")
	assert.Greater(t, h.admission["0/1"].Level, 1000.0, "without overload, all requests are admitted")
	h.rounds(3, together(steady(0, 10, 10, 1, 0, 1, 2, 3, 4, 5), demand))
	assert.Less(t, h.admission["0/1"].Level, 15.0, "overload sheds the class with the lowest priority weight per response time")
	assert.Greater(t, h.admission["0/1"].Level, 0.5)
	assert.GreaterOrEqual(t, h.admission["0/2"].Level, 5.0, "the other class is not shed yet")
	h.rounds(50, together(steady(0, 10, 0, 0.3, 0, 1, 2, 3, 4, 5), demand))
	assert.Greater(t, h.admission["0/1"].Level, 1000.0, "after the overload, all requests are admitted again")
	h = newHarness(t, func(settings map[string]any, _ []Entry) { settings["admission"] = "rate" })
	h.rounds(30, steady(0, 10, 10, 1, 0, 1, 2, 3, 4, 5))
	for _, l := range h.admission {
		assert.Greater(t, l.Level, 0.0, "a zone without requests still admits some")
	}
}

func TestRetryPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		util, firstWait float64
		failed, want    int
	}{
		"some attempts fail at moderate load": {0.3, 0.8, 2, 2},
		"no attempts fail":                    {0.3, 0.8, 0, 1},
		"high load":                           {0.8, 0.8, 2, 1},
		"a retry would be too late":           {0.3, 1.2, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["first_wait"] = c.firstWait })
			h.rounds(6, steady(0, 10, c.failed, c.util, 0, 1, 2, 3, 4, 5))
			assert.Equal(t, c.want, h.admission["0/1"].RetryMode)
			assert.Equal(t, 1, h.admission["0/2"].RetryMode, "non-replayable requests keep the default retry mode")
		})
	}
}

// TestDefaultRetryMode guards against review case 8: the deployment's default retry mode was ordered for all classes, so
// that proxies repeated requests that an endpoint may have executed, although executing them twice does harm.
func TestDefaultRetryMode(t *testing.T) {
	uniqued := func(group string, windowMs float64) map[string]any {
		return map[string]any{"repeats": "uniqued", "group": group, "window": windowMs, "client_timeout": 3000.0}
	}
	for name, c := range map[string]struct {
		class   map[string]any
		ownZone bool
		want    []int // retry mode by the deployment's default, 0 to 3
	}{
		"replayable":                            {map[string]any{"repeats": "replayable"}, false, []int{0, 1, 2, 3}},
		"non-replayable":                        {map[string]any{"repeats": "non-replayable"}, false, []int{0, 1, 1, 1}},
		"unspecified":                           {map[string]any{}, false, []int{0, 1, 1, 1}},
		"uniqued at all endpoints":              {uniqued("all", 3000), false, []int{0, 1, 2, 3}},
		"uniqued for less than a request lasts": {uniqued("all", 2999), false, []int{0, 1, 1, 1}},
		"uniqued in each zone":                  {uniqued("zone", 3000), false, []int{0, 1, 1, 1}},
		"uniqued in each zone, never crosses":   {uniqued("zone", 3000), true, []int{0, 1, 2, 3}},
		"uniqued in each cell":                  {uniqued("cell", 3000), true, []int{0, 1, 1, 1}},
		"uniqued for an unknown time": {
			map[string]any{"repeats": "uniqued", "group": "all"}, false, []int{0, 1, 1, 1},
		},
		"uniqued in an unknown group": {
			map[string]any{"repeats": "uniqued", "window": 3000.0, "client_timeout": 3000.0}, false, []int{0, 1, 1, 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for mode, want := range c.want {
				h := newHarness(t, func(settings map[string]any, _ []Entry) {
					settings["retry_default"] = float64(mode)
					settings["req_kinds"] = []any{c.class}
					settings["kind_own_zone"] = []any{c.ownZone}
				})
				h.rounds(3, steady(0, 10, 0, 0.3, 0, 1, 2, 3, 4, 5))
				require.Contains(t, h.admission, "0/1")
				assert.Equal(t, want, h.admission["0/1"].RetryMode, "default %d", mode)
			}
		})
	}
}
