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
	require.True(t, ok, "overload sheds the class of the least priority weight for its time")
	assert.Less(t, low.Level, 0.9)
	assert.LessOrEqual(t, low.RetryMode, 1, "no class is retried after an attempt that may have run")
	if high, ok := h.admission["0/2"]; ok {
		assert.GreaterOrEqual(t, high.Level, low.Level)
	}
	h.rounds(50, steady(0, 10, 0, 0.3, 0, 1, 2, 3, 4, 5))
	assert.Equal(t, 1.0, h.admission["0/1"].Level)
	disabled := newHarness(t, func(settings map[string]any, _ []Entry) { settings["admission"] = "off" })
	disabled.rounds(8, overload)
	for _, l := range disabled.admission {
		assert.Equal(t, 1.0, l.Level, "retry modes are set, levels are not")
	}
}

// TestLoadSheddingByRate guards proxies that take levels as rates of their own: a share of 1, taken as one request a
// second, had them reject four of five requests of a customer whose proxies bring 24 (calm+mass of seed 3 with 30
// nodes, one zone, admission by rate).
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
	require.Equal(t, 2, h.admission["0/1"].RetryMode, "some are retried")
	assert.Greater(t, h.admission["0/1"].Level, 1000.0, "and all are admitted")
	h.rounds(3, together(steady(0, 10, 10, 1, 0, 1, 2, 3, 4, 5), demand))
	assert.Less(t, h.admission["0/1"].Level, 15.0, "overload sheds the class of the least priority weight for its time")
	assert.Greater(t, h.admission["0/1"].Level, 0.5)
	assert.GreaterOrEqual(t, h.admission["0/2"].Level, 5.0, "and the other not yet")
	h.rounds(50, together(steady(0, 10, 0, 0.3, 0, 1, 2, 3, 4, 5), demand))
	assert.Greater(t, h.admission["0/1"].Level, 1000.0, "then all are admitted again")
	h = newHarness(t, func(settings map[string]any, _ []Entry) { settings["admission"] = "rate" })
	h.rounds(30, steady(0, 10, 10, 1, 0, 1, 2, 3, 4, 5))
	for _, l := range h.admission {
		assert.Greater(t, l.Level, 0.0, "no zone without requests is closed")
	}
}

func TestRetryPolicy(t *testing.T) {
	for name, c := range map[string]struct {
		util, firstWait float64
		failed, want    int
	}{
		"some fail, load is modest": {0.3, 0.8, 2, 2},
		"none fail":                 {0.3, 0.8, 0, 1},
		"load is high":              {0.8, 0.8, 2, 1},
		"it would come too late":    {0.3, 1.2, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["first_wait"] = c.firstWait })
			h.rounds(6, steady(0, 10, c.failed, c.util, 0, 1, 2, 3, 4, 5))
			assert.Equal(t, c.want, h.admission["0/1"].RetryMode)
			assert.Equal(t, 1, h.admission["0/2"].RetryMode, "never what is non-replayable")
		})
	}
}
