// Package emulator plays scenarios in virtual time: the shipped runtime, telemetry, channel and planner, the proxies'
// routing and the audit of the rehearsal, around models of endpoints, network and clients. One seed gives one order of
// events. Nothing here decides anything about routing.
package emulator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigousher/internal/audit"
	"indigousher/internal/controller"
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
)

// Play is one run of a scenario.
type Play struct {
	Scenario *scenario.Scenario
	// Decide makes what decides in a pilot; nil: the planner.
	Decide func(seed int64, settings map[string]any) controller.Decider
	// WithoutPilots leaves the proxies on their static tables.
	WithoutPilots bool
	// Gossip lets pilots send gossip to each other.
	Gossip bool
	// KeepEvents keeps all events in the outcome.
	KeepEvents bool
	// Audited has the five rules checked; leaving it out saves time.
	Audited bool
	// Log takes the planner's log lines; nil: they are dropped.
	Log func(atMs float64, pilot, text string)
	// Trace takes the spans of one run; nil: there are none.
	Trace *Tracer
}

// Outcome is the result of a run.
type Outcome struct {
	Report *audit.Report
	Events []eventlog.Event
	// Digest of all events; the same for the same scenario and program.
	Digest uint64

	ClockEvents      uint64 // timers that fired
	Requests         uint64 // sent by clients
	Attempts         uint64 // forwarded by proxies
	MaxQueueLines    int    // in any pilot's channel
	MaxProxyMessages int    // to one proxy within the span over which messages are counted
	LinesSent        int    // by all pilots
	Malformed        map[string]int

	Starts  map[string][]Start      // of pilots' processes, by pilot
	Latency *hdrhistogram.Histogram // µs, of requests that succeeded
	Load    map[string]float64      // busy fraction of an endpoint's cores since its start, by endpoint
	ZoneOf  map[string]string       // by endpoint

	PilotMs   float64 // real time taken by the pilots' turns
	ElapsedMs float64 // real time of the whole run
}

// Latencies are recorded in µs up to ten minutes, to three significant figures.
const (
	minLatencyMicros   = 1
	maxLatencyMicros   = 600_000_000
	latencySignificant = 3
)

// stepMs is how much virtual time passes between two looks at whether the run was stopped.
const stepMs = 100

func newOutcome() *Outcome {
	return &Outcome{
		Latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificant),
		Load:      map[string]float64{},
		ZoneOf:    map[string]string{},
		Malformed: map[string]int{},
		Starts:    map[string][]Start{},
	}
}

// Run plays the scenario to its end, or until ctx ends. It goes on for twice the longest client timeout after the end,
// so that every request has an outcome.
func (p Play) Run(ctx context.Context) (*Outcome, error) {
	w := newWorld(p)
	elapsed := stopwatch()
	w.startAll()
	w.scheduleClients()
	w.scheduleFaults()
	end := milliseconds(p.Scenario.Length) + 2*slices.Max(w.timeoutsMs)
	for at := 0.0; at < end; {
		at = min(at+stepMs, end)
		w.Until(at)
		if w.err != nil {
			return nil, w.err
		}
		if err := ctx.Err(); err != nil {
			return nil, fmt.Errorf("the day was stopped: %w", err)
		}
	}
	return w.outcome(elapsed()), nil
}

// outcome collects the result at the end of a run.
func (w *World) outcome(elapsedMs float64) *Outcome {
	for _, pilot := range w.pilots {
		if pilot.process != nil {
			w.addPilotCounters(pilot.process)
		}
		w.result.Starts[pilot.location.name] = pilot.Starts
	}
	for _, endpoint := range w.endpoints {
		w.result.ZoneOf[endpoint.Name] = endpoint.Zone
		if process := endpoint.process; process != nil {
			w.result.Load[endpoint.Name] = process.busyMs / max(1, w.now-process.startedAt) / float64(endpoint.Cores)
		}
	}
	w.result.Report = w.auditor.Report()
	w.result.Digest = w.digest.hash
	w.result.ClockEvents = w.Events
	w.result.Attempts = w.Attempts
	w.result.PilotMs = w.PilotMs
	w.result.ElapsedMs = elapsedMs
	return w.result
}

// countStopped adds up what a pilot's process counted, at its end.
func (w *World) addPilotCounters(process *pilotProcess) {
	channel := process.core.Channel
	w.result.MaxQueueLines = max(w.result.MaxQueueLines, channel.MaxLines)
	w.result.MaxProxyMessages = max(w.result.MaxProxyMessages, channel.MaxMessages)
	w.result.LinesSent += channel.Sent
}

// stopwatch starts measuring real time and returns a function that tells how much has passed, in ms.
func stopwatch() func() float64 {
	start := time.Now()
	return func() float64 { return milliseconds(time.Since(start)) }
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
