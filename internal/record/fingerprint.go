package record

import (
	"fmt"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// The run that a planner's fingerprint is taken of. Stored lives hold fingerprints: a change of anything here, or of
// what the planner does in this run, makes each of them one of another planner, and the next start a cold one.
const (
	fingerprintSeed      = 7
	fingerprintSteps     = 240 // of fingerprintStepMs: one minute
	fingerprintStepMs    = 250.0
	fingerprintEndpoints = 9
	fingerprintProxies   = 4
	fingerprintZones     = 3
	fingerprintPrime     = 1099511628211 // of FNV with 64 bits; joins the digests of the steps
)

// Fingerprint tells planners apart by what they do: it is the digest of the commands that one gives through a minute of
// faults which is the same each time.
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

// fingerprintEvents returns what a step brings: all endpoints and proxies at first, then a control round and a load
// report each second, and a change of the endpoint list halfway.
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

// fingerprintReport returns what was met at each endpoint. Endpoint 2 fails all requests for a quarter of the run.
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

// fingerprintListChange drains one endpoint and adds another that has just started.
func fingerprintListChange(nowMs float64) planner.Event {
	return planner.EndpointUpdate{Entries: []planner.Entry{
		{Endpoint: 4, Zone: 1, Weight: 1, Phase: planner.Draining},
		{Endpoint: 9, Zone: 0, Weight: 2, Started: nowMs},
	}}
}
