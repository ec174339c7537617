package planner

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSlowStart(t *testing.T) {
	h := newHarness(t, nil)
	h.now = 100000
	h.step(restarted(h.now - 500))
	last := 0.0
	for age := 1.5; age < 9; age++ {
		h.rounds(1, nil)
		share := h.share(0, 0)
		assert.LessOrEqual(t, share, 0.5*(0.1+0.9*age/10)*1.2)
		assert.GreaterOrEqual(t, share, last-1e-9)
		last = share
	}
	h.rounds(4, nil)
	assert.InDelta(t, 0.5, h.share(0, 0), 0.1, "full weight after the warm-up")
}

func TestSlowStartUnderFaults(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		ejectsAfter float64
		lastOfZone  bool // the other endpoint of its zone is gone
		justStarted bool // the planner has just started
		events      func() []Event
		maxShare    float64
	}{
		"normal operation":                                         {5, false, false, steady(0, 20, 0, 0.3, all...), 0.37},
		"many attempts fail: no requests":                          {5, false, false, steady(0, 10, 10, 0.3, all...), 0},
		"high load: no requests":                                   {5, false, false, steady(0, 20, 0, 0.9, all...), 0},
		"high load, proxies do not eject: some requests":           {0, false, false, steady(0, 20, 0, 0.9, all...), 0.4},
		"planner just started: no requests":                        {5, false, true, steady(0, 20, 0, 0.3, all...), 0},
		"last endpoint of its zone: limited":                       {5, true, false, steady(0, 20, 0, 0.3, all...), 0.45},
		"last endpoint of its zone, proxies do not eject: limited": {0, true, false, steady(0, 20, 0, 0.3, all...), 0.45},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["ejects_after"] = c.ejectsAfter })
			if !c.justStarted {
				h.rounds(8, c.events)
			}
			list := []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: h.now - 5000}}
			if c.lastOfZone {
				list = append(list, Entry{Endpoint: 1, Zone: 0, Weight: 2, Phase: Gone})
			}
			h.step(EndpointUpdate{Mode: Delta, Entries: list})
			if name == "normal operation" { // half of the zone's weight, times the warm-up fraction of 0.55
				assert.LessOrEqual(t, h.share(0, 0), 0.5*0.55+0.005)
			}
			h.rounds(2, c.events)
			assert.LessOrEqual(t, h.share(0, 0), c.maxShare)
			assert.Equal(t, c.maxShare > 0, h.share(0, 0) > 0)
		})
	}
}

// TestSlowStartUnderSurge guards against overloading an endpoint that warms up while failed requests are repeated: its
// share has to decrease with the surge of demand.
func TestSlowStartUnderSurge(t *testing.T) {
	var shares []float64
	for _, requests := range []int{20, 60} {
		h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["ejects_after"] = 0.0 })
		events := func() []Event {
			all := attempts(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5)
			for k := range 2 {
				all = append(all, RequestStats{Proxy: 0, Class: k, Requests: requests / 2, SpanMs: 1000})
			}
			return all
		}
		h.rounds(40, events)
		h.step(restarted(h.now - 5000))
		h.rounds(1, events)
		shares = append(shares, h.share(0, 0))
	}
	assert.Less(t, shares[1], 0.7*shares[0], "%v", shares)
}

// TestSlowStartAmongTrials guards against overloading an endpoint that warms up while all other endpoints are on trial:
// requests that exceed the limits of the trials must not be routed to it (incident 019).
func TestSlowStartAmongTrials(t *testing.T) {
	h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["ejects_after"] = 0.0 })
	h.rounds(8, steady(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5))
	h.rounds(10, together(steady(0, 0, 9, -1, 1, 2, 3, 4, 5), steady(0, 20, 0, 0.3, 0)))
	h.step(restarted(h.now - 4000))
	trials := 0
	for range 4 {
		h.rounds(1, steady(0, 1, 0, -1, 1, 2, 3, 4, 5))
		trials += h.trialCount()
		if trials > 0 {
			assert.LessOrEqual(t, h.share(0, 0), 0.3)
		}
	}
	assert.Positive(t, trials)
}

// trialCount returns the number of trials that have been logged.
func (h *harness) trialCount() int {
	count := 0
	for _, line := range h.logs {
		if strings.Contains(line, "trial") {
			count++
		}
	}
	return count
}

// TestFewWarmingEndpointsGetNoRequests guards against failures of endpoints that warm up when the other endpoints of
// their zone are lost. While all requests of the zone would be three times the load at which they fail, they get no
// requests (deployment jadran-docs-later, scenario rules-4 with seed 3276554681, violation of the rule failback).
func TestFewWarmingEndpointsGetNoRequests(t *testing.T) {
	for name, c := range map[string]struct {
		util, age float64
		used      bool
	}{
		"just started":           {0.6, 500, false},
		"older":                  {0.6, 5000, true},
		"just started, low load": {0.3, 500, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["ejects_after"] = 5.0 })
			load := steady(0, 20, 0, c.util, 0, 1, 2, 3, 4, 5)
			h.rounds(8, load)
			h.step(restarted(h.now - c.age))
			h.rounds(2, load)
			assert.Equal(t, c.used, h.share(0, 0) > 0)
		})
	}
}

// TestSlowStartInCrowdedZone guards against overloading endpoints that warm up in a zone with a larger fraction of the
// proxies than of the endpoints. If the zone is cut off from the others, its endpoints get all of its requests, which
// is more than the mean load suggests (scenario zone+mass with seed 5: 47% of the proxies and a third of the endpoints,
// 3.9 times the capacity of an endpoint).
func TestSlowStartInCrowdedZone(t *testing.T) {
	for name, c := range map[string]struct {
		proxies int // number of the 90 proxies that are in its zone
		used    bool
	}{"a third of the proxies": {30, true}, "nearly all proxies": {88, false}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["ejects_after"] = 5.0
				settings["proxy_count"] = 90.0
				settings["fall_multiple"] = 1.0
				settings["backlog"] = 1e5
				settings["lines_per_s"] = 1e5
			})
			for i := 2; i < 90; i++ {
				zone := 1
				if i <= c.proxies {
					zone = 0
				}
				h.step(ProxyJoined{Proxy: i, Zone: zone, Rate: 1})
			}
			load := steady(0, 20, 0, 0.45, 0, 1, 2, 3, 4, 5)
			h.rounds(8, load)
			h.step(restarted(h.now - 2500))
			h.rounds(2, load)
			assert.Equal(t, c.used, h.share(0, 0) > 0)
		})
	}
}
