package record

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// Parameters of the run from which a planner's fingerprint is computed. Lives hold the fingerprint of their planner: a
// change of this run, or of the planner's decisions in it, makes all stored lives count as those of another planner, so
// that the next start is a cold one.
const (
	fingerprintSeed      = 7
	fingerprintSteps     = 240 // of fingerprintStepMs each: one minute
	fingerprintStepMs    = 250.0
	fingerprintEndpoints = 9
	fingerprintProxies   = 4
	fingerprintZones     = 3
	fingerprintPrime     = 1099511628211 // 64-bit FNV prime; combines the digests of the steps
)

// Fingerprint identifies a planner by its decisions. It returns, as 16 hex digits, a digest of the commands that the
// planner returns in a fixed run of one simulated minute with faults.
func Fingerprint(newDecider func(seed int64, settings map[string]any) controller.Decider) string {
	decider := newDecider(fingerprintSeed, fingerprintSettings())
	var sum uint64
	for step := range fingerprintSteps {
		nowMs := float64(step) * fingerprintStepMs
		commands := decider.Handle(nowMs, fingerprintEvents(step, nowMs))
		sum = sum*fingerprintPrime + Digest(commands)
	}
	return fmt.Sprintf("%016x", sum)
}

func fingerprintSettings() map[string]any {
	return map[string]any{
		"req_kinds": []any{
			map[string]any{"name": "a", "payoff": 1.0},
			map[string]any{"name": "b", "payoff": 5.0},
		},
		"fields":       []any{"util", "rate"},
		"admission":    "share",
		"instances":    2.0,
		"proxy_count":  6.0,
		"ejects_after": 5.0,
	}
}

// fingerprintEvents returns the events of a step: all endpoints and proxies in the first step, then a control round and
// the endpoints' stats each second, and a change of the endpoint list halfway.
func fingerprintEvents(step int, nowMs float64) []planner.Event {
	switch {
	case step == 0:
		return fingerprintStart()
	case step%4 == 0:
		return []planner.Event{planner.TimerFired{Name: "gather"}}
	case step%4 == 1:
		return fingerprintReport(step)
	case step == 130:
		return []planner.Event{fingerprintListChange(nowMs)}
	}
	return nil
}

func fingerprintStart() []planner.Event {
	list := planner.EndpointUpdate{Mode: planner.Snapshot}
	for endpoint := range fingerprintEndpoints {
		list.Entries = append(list.Entries, planner.Entry{
			Endpoint: endpoint,
			Zone:     endpoint % fingerprintZones,
			Weight:   float64(1 + endpoint%2),
		})
	}
	events := []planner.Event{list}
	for proxy := range fingerprintProxies {
		events = append(events, planner.ProxyJoined{Proxy: proxy, Zone: proxy % fingerprintZones, Rate: 20})
	}
	return events
}

// fingerprintReport returns the stats of each endpoint. Endpoint 2 fails all attempts for a quarter of the run.
func fingerprintReport(step int) []planner.Event {
	const attempts = 9
	var events []planner.Event
	for endpoint := range fingerprintEndpoints {
		failed := 0
		if endpoint == 2 && step > 60 && step < 120 {
			failed = attempts
		}
		utilization := 0.3 + float64((step+endpoint)%7)/8
		events = append(events, planner.EndpointStats{
			Endpoint: endpoint,
			Zone:     endpoint % fingerprintZones,
			Attempts: attempts,
			Failed:   failed,
			MeanMs:   30,
			SpanMs:   1000,
			Load:     planner.Load{"util": utilization, "rate": 20},
		})
	}
	return events
}

// fingerprintListChange drains endpoint 4 and adds endpoint 9, which has just started.
func fingerprintListChange(nowMs float64) planner.Event {
	return planner.EndpointUpdate{Entries: []planner.Entry{
		{Endpoint: 4, Zone: 1, Weight: 1, Phase: planner.Draining},
		{Endpoint: 9, Zone: 0, Weight: 2, Started: nowMs},
	}}
}
